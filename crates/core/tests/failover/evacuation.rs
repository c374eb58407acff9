//! Zones that are lost: detection, the order in which evacuated tasks are placed, and tasks that must wait.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_core::{FailoverSettings, Policy, Tier};
use rushyoke_testkit::{World, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Priority};

use crate::support::*;

#[test]
fn a_lost_zone_is_declared_within_seconds_and_its_tasks_run_elsewhere() {
    for policy in [failover_on(), failover_off()] {
        let failover_enabled = policy.failover.is_some();
        let mut world = busy_fleet(12, policy);
        let zone = zone_without_leader(&world);
        partition_zone(&mut world, zone);
        if failover_enabled {
            let elapsed = run_until_zone_state(&mut world, zone, "lost", secs(7));
            // Reports are overdue after 2.8 s, a direct call fails after 1.5 s, and the loss must be confirmed.
            assert!(elapsed > secs(3), "declared lost too early: {elapsed:?}");
        }
        let running_before = total_running_tasks(&world);
        world.run(secs(35));
        assert!(
            total_running_tasks(&world) >= running_before,
            "{} of {running_before} run",
            total_running_tasks(&world)
        );
        assert_eq!(world.store.rows.contains_key(ZONES_KEY), failover_enabled);
        end_partitions(&mut world);
        check_recovery(&mut world);
    }
}

#[test]
fn dead_machines_and_a_partly_partitioned_zone_are_not_declared_lost() {
    let mut world = busy_fleet(24, failover_on());
    let zone = zone_without_leader(&world);
    let zone_machines = machines_in(&world, ZONES[zone]);
    world.workers.remove(&zone_machines[0]);
    world.run(secs(20));
    assert_eq!(zone_state(&world, zone), "healthy");
    // Five of the seven remaining machines are partitioned: the zone is suspect, but machines that respond keep
    // their tasks.
    world.cut.extend(zone_machines[1..6].iter().cloned());
    world.run(secs(9));
    assert_eq!(zone_state(&world, zone), "suspect");
    let reachable: Vec<&String> = zone_machines[6..].iter().collect();
    assert!(reachable.iter().all(|name| world.workers[*name].session == 1), "the lease of a reachable machine expired");
    check_recovery(&mut world);
    assert_eq!(zone_record(&world, zone), None);
}

#[test]
fn a_leader_partitioned_from_its_only_zone_declares_nothing_lost() {
    let mut world = World::deployed(deployment_facts(), 6, failover_on(), &["a"]);
    world.run(secs(6));
    assert_eq!(world.submit(0, service(1, 12)), Some(201));
    world.run(secs(3));
    let machines: Vec<String> = world.workers.keys().cloned().collect();
    world.cut.extend(machines);
    world.run(secs(9));
    assert!(!world.store.rows.contains_key(ZONES_KEY), "the state of the only zone was recorded");
    check_recovery(&mut world);
}

/// Returns the number of starts of a later tier while tasks of an earlier tier waited; every task here fits on any
/// machine. `lost_tasks` is the number of tasks that each job lost with the zone. No task waits before the leases
/// expire, at `leases_expire`.
fn inversions(log: &StartLog, tier_order: &[u32], lost_tasks: &BTreeMap<u32, usize>, leases_expire: Duration) -> usize {
    let mut inversions_found = 0;
    for (n, earlier) in
        tier_order.iter().enumerate().filter(|(_, id)| lost_tasks.get(id).is_some_and(|tasks| *tasks > 0))
    {
        let recovered = log.count_of(*earlier) >= lost_tasks[earlier];
        let waited_until = log.time_span_of(*earlier).map(|(_, last)| last).filter(|_| recovered);
        for later in &tier_order[n + 1..] {
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
        let mut world = fleet(12, Policy { placement_sample: 2, ..policy });
        for (id, tasks, class, priority) in job_parameters {
            let team = if id == 4 { "red" } else { "blue" }.to_owned();
            let spec = JobSpec { class: class.into(), team, ..long_job(id, tasks, priority) };
            assert_eq!(world.submit(0, spec), Some(201));
        }
        world.run(secs(10));
        let zone = zone_without_leader(&world);
        let zone_machines = machines_in(&world, ZONES[zone]);
        let tasks_in_zone =
            |id: u32| world.where_runs(&job_id(id)).iter().filter(|(_, m)| zone_machines.contains(m)).count();
        let lost_tasks: BTreeMap<u32, usize> = tier_order.iter().map(|id| (*id, tasks_in_zone(*id))).collect();
        partition_zone(&mut world, zone);
        // Leases last 12 s, and were renewed at most 2 s before the partition.
        let leases_expire = world.now + secs(10);
        let mut log = start_log(&mut world);
        // A burst of the last tier is submitted just as the leases expire.
        log.run(&mut world, secs(9));
        assert_eq!(world.submit(world.leader().expect("a leader"), long_job(6, 60, Priority::BestEffort)), Some(201));
        log.run(&mut world, secs(22));
        let placed: usize = tier_order.iter().map(|id| running_tasks_of(&world, *id)).sum();
        assert_eq!(placed, 128, "resources elsewhere stay unused");
        let recovered_tasks = running_tasks_of(&world, tier_order[0]) + lost_tasks[&tier_order[0]] - 88;
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
        let leader = world.leader().expect("a leader");
        assert!(world.cancel(leader, &job_id(6)).is_some());
        end_partitions(&mut world);
        check_recovery(&mut world);
    }
}

#[test]
fn tasks_bound_to_a_lost_zone_wait_without_blocking_others() {
    let mut world = fleet(12, failover_on());
    let zone = zone_without_leader(&world);
    let zone_bound = JobSpec { zone: Some(ZONES[zone].into()), ..long_job(3, 12, Priority::High) };
    assert_eq!(world.submit(0, zone_bound.clone()), Some(201));
    assert_eq!(world.submit(0, long_job(4, 40, Priority::BestEffort)), Some(201));
    world.run(secs(6));
    partition_zone(&mut world, zone);
    let leader = world.leader().expect("a leader");
    // So many zone-bound jobs that they alone would use up a scheduling pass.
    for id in 100..180 {
        let spec = JobSpec { zone: Some(ZONES[zone].into()), cpus: 0.5, ..long_job(id, 1, Priority::High) };
        assert_eq!(world.submit(leader, spec), Some(201));
    }
    world.run(secs(20));
    assert_eq!(running_tasks_of(&world, 4), 40, "the lower tier waits behind tasks bound to the lost zone");
    assert_eq!(running_tasks_of(&world, 3), 0);
    let single_zone_job = JobSpec { one_zone: true, ..long_job(5, 20, Priority::Normal) };
    assert_eq!(world.submit(leader, single_zone_job), Some(201));
    world.run(secs(4));
    assert_eq!(running_tasks_of(&world, 5), 20, "a single-zone job was placed in the lost zone");
    end_partitions(&mut world);
    world.run(secs(25));
    assert_eq!(running_tasks_of(&world, 3), 12, "tasks bound to the zone were lost");
    check_recovery(&mut world);
}

#[test]
fn machines_are_rented_for_a_lost_zone_only_until_it_returns() {
    for (partition_s, rentals_expected) in [(7, false), (30, true)] {
        let mut world = busy_fleet(12, failover_on());
        world.cloud.capacity = 40;
        let zone = zone_without_leader(&world);
        let machines_before = world.cloud.machines.len();
        partition_zone(&mut world, zone);
        world.run(secs(partition_s));
        let machines_during = world.cloud.machines.len();
        assert!(machines_during > machines_before || !rentals_expected, "no machines were rented in {partition_s} s");
        let elsewhere = world.cloud.machines.iter().skip(machines_before).all(|(_, rented)| rented.zone != ZONES[zone]);
        assert!(elsewhere, "machines were rented in the lost zone");
        end_partitions(&mut world);
        world.run(secs(12));
        assert!(world.cloud.machines.len() <= machines_during, "machines were rented after the zone returned");
        check_recovery(&mut world);
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
        let mut world = fleet(12, failover_policy(settings.clone()));
        let settlement_job = JobSpec { class: "settlement".into(), ..long_job(3, 36, Priority::Normal) };
        assert_eq!(world.submit(0, settlement_job), Some(201));
        assert_eq!(world.submit(1, long_job(4, 36, Priority::Normal)), Some(201));
        world.run(secs(6));
        let zone = zone_without_leader(&world);
        let zone_machines = machines_in(&world, ZONES[zone]);
        let lost_tasks =
            world.where_runs(&job_id(3)).iter().filter(|(_, machine)| zone_machines.contains(machine)).count();
        assert!(lost_tasks > 0);
        partition_zone(&mut world, zone);
        world.run(secs(30));
        // The leases have expired, and there are resources elsewhere.
        assert_eq!(
            (running_tasks_of(&world, 3), running_tasks_of(&world, 4)),
            (36 - lost_tasks, 36),
            "rerun beyond the limit"
        );
        if returns {
            end_partitions(&mut world);
            world.run(secs(12));
        } else {
            // The machines are released to the cloud in the end, which proves that their tasks have ended.
            world.run(secs(40));
        }
        assert_eq!(running_tasks_of(&world, 3), 36, "returns: {returns}");
        check_recovery(&mut world);
    }
}

#[test]
fn rerun_counts_survive_leader_changes() {
    let settings = FailoverSettings {
        max_reruns: BTreeMap::from([("settlement".to_owned(), 1)]),
        machine_retention: secs(60),
        ..FailoverSettings::default()
    };
    let mut world = fleet(12, failover_policy(settings));
    assert_eq!(world.submit(0, JobSpec { class: "settlement".into(), ..long_job(3, 60, Priority::Normal) }), Some(201));
    world.run(secs(6));
    let mut log = start_log(&mut world);
    for round in 0..3 {
        let leader = world.leader().expect("a leader");
        let zone = (leader + 1 + round % 2) % 3;
        partition_zone(&mut world, zone);
        log.run(&mut world, secs(20));
        world.crash(leader);
        log.run(&mut world, secs(8));
        world.start_node(leader);
        end_partitions(&mut world);
        log.run(&mut world, secs(30));
    }
    // Each task may be rerun once before its limit is reached; after that it runs again only once its own machine
    // confirms that it has ended.
    assert_eq!(running_tasks_of(&world, 3), 60);
    let counted = world.store.rows.iter().filter(|(key, _)| key.starts_with("log/") || key.starts_with("task/"));
    let counted = counted.filter(|(_, row)| row.0.to_string().contains("zone_reruns")).count();
    assert!(counted > 0, "no rerun count is recorded");
    check_recovery(&mut world);
}

#[test]
fn cancellations_and_kept_results_in_a_partitioned_zone_are_settled() {
    let mut world = busy_fleet(12, failover_on());
    // Tasks that finish while their zone is partitioned: workers keep the results, and the leader accepts them later.
    for worker in world.workers.values_mut() {
        worker.run_s = 14.0;
    }
    assert_eq!(world.submit(0, JobSpec { estimate_s: 14.0, ..job(5, 24) }), Some(201));
    world.run(secs(11));
    let zone = zone_without_leader(&world);
    let leader = world.leader().expect("a leader");
    let started_before = world.started;
    partition_zone(&mut world, zone);
    world.run(secs(2));
    assert_eq!(
        world.cancel(leader, &job_id(3)).and_then(|(_, view)| view).map(|view| view.state),
        Some(JobStatus::Cancelled)
    );
    // Shorter than the time until a lease expires.
    world.run(millis(2500));
    end_partitions(&mut world);
    world.run(secs(12));
    assert_eq!(world.state(0, &job_id(5)), Some(JobStatus::Done), "a kept result was not accepted");
    assert_eq!(world.started, started_before, "a finished task was run again");
    assert_eq!(running_tasks_of(&world, 3), 0);
    world.run(millis(100));
    check_recovery(&mut world);
}
