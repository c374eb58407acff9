//! Zones that are lost: detection, the order in which evacuated tasks are placed, and tasks that must wait.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_core::{FailoverSettings, Policy, Tier};
use rushyoke_testkit::{Simulation, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Priority};

use crate::support::*;

#[test]
fn a_lost_zone_is_declared_within_seconds_and_its_tasks_run_elsewhere() {
    for policy in [failover_on(), failover_off()] {
        let failover_enabled = policy.failover.is_some();
        let mut simulation = busy_fleet(12, policy);
        let zone = zone_without_leader(&simulation);
        partition_zone(&mut simulation, zone);
        if failover_enabled {
            let elapsed = run_until_zone_state(&mut simulation, zone, "lost", secs(7));
            // Reports are overdue after 2.8 s, a direct call fails after 1.5 s, and the loss must be confirmed.
            assert!(elapsed > secs(3), "declared lost too early: {elapsed:?}");
        }
        let running_before = total_running_tasks(&simulation);
        simulation.run(secs(35));
        assert!(
            total_running_tasks(&simulation) >= running_before,
            "{} of {running_before} run",
            total_running_tasks(&simulation)
        );
        assert_eq!(simulation.store.rows.contains_key(ZONES_KEY), failover_enabled);
        end_partitions(&mut simulation);
        check_recovery(&mut simulation);
    }
}

#[test]
fn copies_of_starts_run_no_task_of_an_evacuated_zone() {
    let mut simulation = busy_fleet(12, failover_on());
    let zone = zone_without_leader(&simulation);
    partition_zone(&mut simulation, zone);
    run_until_zone_state(&mut simulation, zone, "lost", secs(7));
    // The copies reach the machines of the zone, too, while nothing else does.
    for _ in 0..10 {
        simulation.run(secs(4));
        simulation.deliver_recorded_starts();
    }
    end_partitions(&mut simulation);
    for _ in 0..10 {
        simulation.run(secs(3));
        simulation.deliver_recorded_starts();
    }
    assert!(simulation.order_copies > 0);
    assert_eq!(simulation.starts_by_copies, 0);
    check_recovery(&mut simulation);
}

#[test]
fn dead_machines_and_a_partly_partitioned_zone_are_not_declared_lost() {
    let mut simulation = busy_fleet(24, failover_on());
    let zone = zone_without_leader(&simulation);
    let zone_machines = machines_in(&simulation, ZONES[zone]);
    simulation.workers.remove(&zone_machines[0]);
    simulation.run(secs(20));
    assert_eq!(zone_state(&simulation, zone), "healthy");
    // Five of the seven remaining machines are partitioned: the zone is suspect, but machines that respond keep
    // their tasks.
    simulation.partitioned_machines.extend(zone_machines[1..6].iter().cloned());
    simulation.run(secs(9));
    assert_eq!(zone_state(&simulation, zone), "suspect");
    let reachable: Vec<&String> = zone_machines[6..].iter().collect();
    assert!(
        reachable.iter().all(|name| simulation.workers[*name].session == 1),
        "the lease of a reachable machine expired"
    );
    check_recovery(&mut simulation);
    assert_eq!(zone_record(&simulation, zone), None);
}

#[test]
fn a_leader_partitioned_from_its_only_zone_declares_nothing_lost() {
    let mut simulation = Simulation::with_facts(deployment_facts(), 6, failover_on(), &["a"]);
    simulation.run(secs(6));
    assert_eq!(simulation.submit(0, service(1, 12)), Some(201));
    simulation.run(secs(3));
    let machines: Vec<String> = simulation.workers.keys().cloned().collect();
    simulation.partitioned_machines.extend(machines);
    simulation.run(secs(9));
    assert!(!simulation.store.rows.contains_key(ZONES_KEY), "the state of the only zone was recorded");
    check_recovery(&mut simulation);
}

/// Returns the number of tasks of a later tier that were started while tasks of an earlier tier waited; every task here
/// fits on any machine. `lost_tasks` is the number of tasks that each job lost with the zone. No task waits before the
/// leases expire, at `leases_expire`.
fn inversions(log: &StartLog, tier_order: &[u32], lost_tasks: &BTreeMap<u32, usize>, leases_expire: Duration) -> usize {
    let mut inversions_found = 0;
    for (index, earlier) in
        tier_order.iter().enumerate().filter(|(_, id)| lost_tasks.get(id).is_some_and(|tasks| *tasks > 0))
    {
        let recovered = log.count_of(*earlier) >= lost_tasks[earlier];
        let waited_until = log.time_span_of(*earlier).map(|(_, last)| last).filter(|_| recovered);
        for later in &tier_order[index + 1..] {
            let prefix = format!("{}/", job_id(*later));
            let started = log.starts.iter().filter(|(_, task, _)| task.starts_with(&prefix));
            let started = started.filter(|(at, ..)| *at >= leases_expire);
            inversions_found += started.filter(|(at, ..)| waited_until.is_none_or(|until| *at < until)).count();
        }
    }
    inversions_found
}

#[test]
fn evacuated_tasks_are_placed_by_tier_when_resources_are_short() {
    // Once by priority, and once by configured tiers in an order that contradicts the priorities.
    let tier = |name: &str, class: &str| Tier { name: name.into(), classes: vec![class.into()] };
    let tiers = vec![tier("first", "reruns"), tier("second", "sheets")];
    let named_tiers = FailoverSettings { tiers, ..FailoverSettings::default() };
    // The whole fleet is full, and a third of it is lost.
    let job_parameters =
        [(3, 88, "sheets", Priority::High), (4, 88, "reruns", Priority::Normal), (5, 16, "lab", Priority::BestEffort)];
    for (policy, tier_order) in [(failover_on(), [3, 4, 5]), (failover_policy(named_tiers), [4, 3, 5])] {
        // Each placement considers few machines, as in a large fleet.
        let mut simulation = fleet(12, Policy { placement_sample: 2, ..policy });
        for (id, tasks, class, priority) in job_parameters {
            let team = if id == 4 { "red" } else { "blue" }.to_owned();
            let spec = JobSpec { class: class.into(), team, ..long_job(id, tasks, priority) };
            assert_eq!(simulation.submit(0, spec), Some(201));
        }
        simulation.run(secs(10));
        let zone = zone_without_leader(&simulation);
        let zone_machines = machines_in(&simulation, ZONES[zone]);
        let tasks_in_zone = |id: u32| {
            simulation.running_tasks(&job_id(id)).iter().filter(|(_, machine)| zone_machines.contains(machine)).count()
        };
        let lost_tasks: BTreeMap<u32, usize> = tier_order.iter().map(|id| (*id, tasks_in_zone(*id))).collect();
        partition_zone(&mut simulation, zone);
        // Leases last 12 s, and were renewed at most 2 s before the partition.
        let leases_expire = simulation.now + secs(10);
        let mut log = start_log(&mut simulation);
        // A burst of the last tier is submitted just as the leases expire.
        log.run(&mut simulation, secs(9));
        assert_eq!(
            simulation.submit(simulation.leader().expect("a leader"), long_job(6, 60, Priority::BestEffort)),
            Some(201)
        );
        log.run(&mut simulation, secs(22));
        let placed: usize = tier_order.iter().map(|id| running_tasks_of(&simulation, *id)).sum();
        assert_eq!(placed, 128, "resources elsewhere stay unused");
        let recovered_tasks = running_tasks_of(&simulation, tier_order[0]) + lost_tasks[&tier_order[0]] - 88;
        assert!(
            lost_tasks[&tier_order[0]] > 20 && recovered_tasks >= 8,
            "{recovered_tasks} of {lost_tasks:?} of the first tier run again"
        );
        assert_eq!(inversions(&log, &tier_order, &lost_tasks, leases_expire), 0, "{:?}", log.starts);
        let tier_order_with_burst = [tier_order[0], tier_order[1], 6];
        assert_eq!(
            inversions(&log, &tier_order_with_burst, &lost_tasks, leases_expire),
            0,
            "a burst of the last tier was started first"
        );
        // The fleet is too small for the whole burst.
        let leader = simulation.leader().expect("a leader");
        assert!(simulation.cancel(leader, &job_id(6)).is_some());
        end_partitions(&mut simulation);
        check_recovery(&mut simulation);
    }
}

#[test]
fn tasks_bound_to_a_lost_zone_wait_without_blocking_others() {
    let mut simulation = fleet(12, failover_on());
    let zone = zone_without_leader(&simulation);
    let zone_bound = JobSpec { zone: Some(ZONES[zone].into()), ..long_job(3, 12, Priority::High) };
    assert_eq!(simulation.submit(0, zone_bound.clone()), Some(201));
    assert_eq!(simulation.submit(0, long_job(4, 40, Priority::BestEffort)), Some(201));
    simulation.run(secs(6));
    partition_zone(&mut simulation, zone);
    let leader = simulation.leader().expect("a leader");
    // There are so many zone-bound jobs that they alone would use up a scheduling pass.
    for id in 100..180 {
        let spec = JobSpec { zone: Some(ZONES[zone].into()), cpus: 0.5, ..long_job(id, 1, Priority::High) };
        assert_eq!(simulation.submit(leader, spec), Some(201));
    }
    simulation.run(secs(20));
    assert_eq!(running_tasks_of(&simulation, 4), 40, "the lower tier waits behind tasks bound to the lost zone");
    assert_eq!(running_tasks_of(&simulation, 3), 0);
    let single_zone_job = JobSpec { one_zone: true, ..long_job(5, 20, Priority::Normal) };
    assert_eq!(simulation.submit(leader, single_zone_job), Some(201));
    simulation.run(secs(4));
    assert_eq!(running_tasks_of(&simulation, 5), 20, "a single-zone job was placed in the lost zone");
    end_partitions(&mut simulation);
    simulation.run(secs(25));
    assert_eq!(running_tasks_of(&simulation, 3), 12, "tasks bound to the zone were lost");
    check_recovery(&mut simulation);
}

#[test]
fn machines_are_rented_for_a_lost_zone_only_until_it_returns() {
    for (partition_s, rentals_expected) in [(7, false), (30, true)] {
        let mut simulation = busy_fleet(12, failover_on());
        simulation.cloud.capacity = 40;
        let zone = zone_without_leader(&simulation);
        let machines_before = simulation.cloud.machines.len();
        partition_zone(&mut simulation, zone);
        simulation.run(secs(partition_s));
        let machines_during = simulation.cloud.machines.len();
        assert!(machines_during > machines_before || !rentals_expected, "no machines were rented in {partition_s} s");
        let all_rented_elsewhere =
            simulation.cloud.machines.iter().skip(machines_before).all(|(_, rented)| rented.zone != ZONES[zone]);
        assert!(all_rented_elsewhere, "machines were rented in the lost zone");
        end_partitions(&mut simulation);
        simulation.run(secs(12));
        assert!(simulation.cloud.machines.len() <= machines_during, "machines were rented after the zone returned");
        check_recovery(&mut simulation);
    }
}

#[test]
fn a_task_at_its_rerun_limit_waits_for_its_zone_or_a_confirmed_release() {
    let settings = FailoverSettings {
        max_reruns: BTreeMap::from([("settlement".to_owned(), 0)]),
        machine_retention: secs(40),
        ..FailoverSettings::default()
    };
    for returns in [true, false] {
        let mut simulation = fleet(12, failover_policy(settings.clone()));
        let settlement_job = JobSpec { class: "settlement".into(), ..long_job(3, 36, Priority::Normal) };
        assert_eq!(simulation.submit(0, settlement_job), Some(201));
        assert_eq!(simulation.submit(1, long_job(4, 36, Priority::Normal)), Some(201));
        simulation.run(secs(6));
        let zone = zone_without_leader(&simulation);
        let zone_machines = machines_in(&simulation, ZONES[zone]);
        let lost_tasks =
            simulation.running_tasks(&job_id(3)).iter().filter(|(_, machine)| zone_machines.contains(machine)).count();
        assert!(lost_tasks > 0);
        partition_zone(&mut simulation, zone);
        simulation.run(secs(30));
        // The leases have expired, and there are resources elsewhere.
        assert_eq!(
            (running_tasks_of(&simulation, 3), running_tasks_of(&simulation, 4)),
            (36 - lost_tasks, 36),
            "rerun beyond the limit"
        );
        if returns {
            end_partitions(&mut simulation);
            simulation.run(secs(12));
        } else {
            // The machines are released to the cloud in the end, which proves that their tasks have ended.
            simulation.run(secs(40));
        }
        assert_eq!(running_tasks_of(&simulation, 3), 36, "returns: {returns}");
        check_recovery(&mut simulation);
    }
}

#[test]
fn rerun_counts_survive_leader_changes() {
    let settings = FailoverSettings {
        max_reruns: BTreeMap::from([("settlement".to_owned(), 1)]),
        machine_retention: secs(60),
        ..FailoverSettings::default()
    };
    let mut simulation = fleet(12, failover_policy(settings));
    assert_eq!(
        simulation.submit(0, JobSpec { class: "settlement".into(), ..long_job(3, 60, Priority::Normal) }),
        Some(201)
    );
    simulation.run(secs(6));
    let mut log = start_log(&mut simulation);
    for round in 0..3 {
        let leader = simulation.leader().expect("a leader");
        let zone = (leader + 1 + round % 2) % 3;
        partition_zone(&mut simulation, zone);
        log.run(&mut simulation, secs(20));
        simulation.crash_node(leader);
        log.run(&mut simulation, secs(8));
        simulation.start_node(leader);
        end_partitions(&mut simulation);
        log.run(&mut simulation, secs(30));
    }
    // Each task may be rerun once before its limit is reached; after that it runs again only once its own machine
    // confirms that it has ended.
    assert_eq!(running_tasks_of(&simulation, 3), 60);
    let records = simulation.store.rows.iter().filter(|(key, _)| key.starts_with("log/") || key.starts_with("task/"));
    let records_with_reruns = records.filter(|(_, row)| row.0.to_string().contains("zone_reruns")).count();
    assert!(records_with_reruns > 0, "no rerun count is recorded");
    check_recovery(&mut simulation);
}

#[test]
fn cancellations_and_kept_results_in_a_partitioned_zone_are_settled() {
    let mut simulation = busy_fleet(12, failover_on());
    // Tasks that finish while their zone is partitioned: workers keep the results, and the leader accepts them later.
    for worker in simulation.workers.values_mut() {
        worker.task_duration_s = 14.0;
    }
    assert_eq!(simulation.submit(0, JobSpec { estimate_s: 14.0, ..job(5, 24) }), Some(201));
    simulation.run(secs(11));
    let zone = zone_without_leader(&simulation);
    let leader = simulation.leader().expect("a leader");
    let started_before = simulation.started_tasks;
    partition_zone(&mut simulation, zone);
    simulation.run(secs(2));
    assert_eq!(
        simulation.cancel(leader, &job_id(3)).and_then(|(_, view)| view).map(|view| view.state),
        Some(JobStatus::Cancelled)
    );
    // The partition ends before a lease expires.
    simulation.run(millis(2500));
    end_partitions(&mut simulation);
    simulation.run(secs(12));
    assert_eq!(simulation.job_state(0, &job_id(5)), Some(JobStatus::Done), "a kept result was not accepted");
    assert_eq!(simulation.started_tasks, started_before, "a finished task was run again");
    assert_eq!(running_tasks_of(&simulation, 3), 0);
    simulation.run(millis(100));
    check_recovery(&mut simulation);
}
