//! Zones that return: around the expiry of their leases, with a gradual refill, and with machines that were drained.

use std::time::Duration;

use rushyoke_core::FailoverSettings;
use rushyoke_testkit::{Simulation, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, Priority};

use crate::support::*;

#[test]
fn a_zone_returns_just_before_at_and_after_the_expiry_of_its_leases() {
    // Leases last 12 s: when the zone returns, the reruns of its tasks are not placed yet, are being placed, or run.
    for partition_ms in [5_000, 11_000, 12_000, 12_600, 13_200, 14_000, 16_000] {
        let mut simulation = busy_fleet(12, failover_on());
        let zone = zone_without_leader(&simulation);
        let running_before = total_running_tasks(&simulation);
        partition_zone(&mut simulation, zone);
        simulation.run(millis(partition_ms));
        end_partitions(&mut simulation);
        let before = simulation.started_tasks;
        let mut log = start_log(&mut simulation);
        log.run(&mut simulation, secs(30));
        assert_eq!(total_running_tasks(&simulation), running_before, "partitioned for {partition_ms} ms");
        assert!(
            log.max_machines_per_task(&[1, 2, 3, 4]) <= 1,
            "partitioned for {partition_ms} ms: started twice since the return"
        );
        // After a lost report, a worker sends the next one 5 s later.
        if partition_ms < 6_000 {
            assert_eq!(simulation.started_tasks, before, "a partition shorter than a lease caused restarts");
        }
        check_recovery(&mut simulation);
    }
}

#[test]
fn evacuated_tasks_stay_where_they_are_when_their_zone_returns() {
    let mut simulation = busy_fleet(24, failover_on());
    let zone = zone_without_leader(&simulation);
    partition_zone(&mut simulation, zone);
    simulation.run(secs(30));
    let running_before = total_running_tasks(&simulation);
    let mut log = start_log(&mut simulation);
    end_partitions(&mut simulation);
    log.run(&mut simulation, secs(100));
    assert_eq!((total_running_tasks(&simulation), log.starts.len()), (running_before, 0), "{:?}", log.starts);
    check_recovery(&mut simulation);
}

/// Returns the number of starts in each of 60 seconds after a zone has returned from its last partition, with more
/// tasks waiting than fit.
fn starts_per_second_after_return(settings: FailoverSettings, partitions: usize) -> Vec<usize> {
    let mut simulation = fleet(24, failover_policy(settings));
    for id in [3, 4] {
        let team = if id == 3 { "red" } else { "blue" }.to_owned();
        assert_eq!(simulation.submit(0, JobSpec { team, ..long_job(id, 190, Priority::Normal) }), Some(201));
    }
    simulation.run(secs(8));
    let zone = zone_without_leader(&simulation);
    for n in 0..partitions {
        partition_zone(&mut simulation, zone);
        simulation.run(secs(16));
        end_partitions(&mut simulation);
        if n + 1 < partitions {
            simulation.run(secs(14));
        }
    }
    let mut starts_per_second = Vec::new();
    let mut log = start_log(&mut simulation);
    for _ in 0..60 {
        let before = log.starts.len();
        log.run(&mut simulation, secs(1));
        starts_per_second.push(log.starts.len() - before);
    }
    assert_eq!(running_tasks_of(&simulation, 3) + running_tasks_of(&simulation, 4), 380, "{starts_per_second:?}");
    check_recovery(&mut simulation);
    starts_per_second
}

#[test]
fn a_returned_zone_is_refilled_gradually_and_more_slowly_after_repeated_losses() {
    let seconds_until_full =
        |starts_per_second: &[usize]| starts_per_second.iter().rposition(|n| *n > 0).expect("the zone is refilled");
    let slow_ramp = FailoverSettings { ramp_share: 0.05, ..FailoverSettings::default() };
    let after_one_loss = starts_per_second_after_return(slow_ramp.clone(), 1);
    let first_start = after_one_loss.iter().position(|n| *n > 0).expect("the zone is refilled");
    // The zone has 128 CPUs; a twentieth of them is filled in the first second, and the rate doubles every second.
    assert!(
        after_one_loss[first_start] <= 20 && after_one_loss[first_start..first_start + 3].iter().sum::<usize>() <= 70,
        "{after_one_loss:?}"
    );
    let after_three_losses = starts_per_second_after_return(slow_ramp, 3);
    assert!(
        seconds_until_full(&after_three_losses) > seconds_until_full(&after_one_loss),
        "{after_one_loss:?}, {after_three_losses:?}"
    );
}

#[test]
fn a_zone_that_receives_nothing_is_lost_despite_its_old_reports() {
    for reports_delayed in [false, true] {
        let mut simulation = busy_fleet(24, failover_on());
        let zone = zone_without_leader(&simulation);
        let zone_machines = machines_in(&simulation, ZONES[zone]);
        let running_before = total_running_tasks(&simulation);
        // Copies of their reports arrive later than a lease lasts.
        simulation.duplicated_reports_after.extend(zone_machines.iter().map(|machine| (machine.clone(), secs(14))));
        if reports_delayed {
            let until = simulation.now + secs(16);
            simulation.delayed_reports_until.extend(zone_machines.iter().map(|machine| (machine.clone(), until)));
        }
        simulation.lost_inbound.extend(zone_machines.iter().cloned());
        run_until_zone_state(&mut simulation, zone, "lost", secs(10));
        simulation.run(secs(14));
        assert_eq!(total_running_tasks(&simulation), running_before, "reports delayed: {reports_delayed}");
        simulation.lost_inbound.clear();
        simulation.delayed_reports_until.clear();
        simulation.run(secs(40));
        assert_eq!(total_running_tasks(&simulation), running_before);
        check_recovery(&mut simulation);
    }
}

/// Returns a fleet, a zone and its machine that is quarantined because it fails all tasks. The cloud is down, so the
/// machine cannot be released.
fn with_a_quarantined_machine() -> (Simulation, usize, String) {
    let mut simulation = fleet(12, failover_on());
    let zone = zone_without_leader(&simulation);
    let faulty = machines_in(&simulation, ZONES[zone])[0].clone();
    simulation.workers.get_mut(&faulty).expect("up").fails_all_tasks = true;
    simulation.cloud.outage = true;
    for id in 10..16 {
        assert_eq!(simulation.submit(0, JobSpec { spot: false, ..job(id, 12) }), Some(201));
        simulation.run(secs(1));
    }
    simulation.run(secs(12));
    assert!(simulation.failed_tasks > 0, "the faulty machine failed no task");
    (simulation, zone, faulty)
}

#[test]
fn a_quarantined_machine_in_a_lost_zone_stays_quarantined_under_the_next_leader() {
    let (mut simulation, zone, faulty) = with_a_quarantined_machine();
    partition_zone(&mut simulation, zone);
    run_until_zone_state(&mut simulation, zone, "lost", secs(8));
    assert!(
        simulation.store.rows[ZONES_KEY].0["drained"]["quarantined"].to_string().contains(&faulty),
        "the quarantine is not recorded"
    );
    simulation.run(secs(10));
    let leader = simulation.leader().expect("a leader");
    simulation.restart_node(leader, secs(5));
    let failed_before = simulation.failed_tasks;
    end_partitions(&mut simulation);
    simulation.run(secs(12));
    // Enough tasks for the quarantined machine to get some if it were schedulable.
    assert_eq!(simulation.submit(0, long_job(30, 112, Priority::Normal)), Some(201));
    simulation.run(secs(20));
    assert_eq!(simulation.failed_tasks, failed_before, "the quarantined machine got tasks again");
    check_recovery(&mut simulation);
}

#[test]
fn a_retiring_machine_in_a_lost_zone_gets_no_tasks_that_fit_elsewhere() {
    let mut simulation = fleet(12, failover_on());
    // The service fits on one machine; the others exceed what is needed, so some of them retire.
    assert_eq!(simulation.submit(0, service(1, 6)), Some(201));
    simulation.run(secs(8));
    let zone = zone_without_leader(&simulation);
    partition_zone(&mut simulation, zone);
    run_until_zone_state(&mut simulation, zone, "lost", secs(8));
    let retiring = simulation.store.rows[ZONES_KEY].0["drained"]["retiring"].as_array().map_or(0, Vec::len);
    assert!(retiring > 0, "no machine is recorded as retiring");
    end_partitions(&mut simulation);
    run_until_zone_state(&mut simulation, zone, "returning", secs(10));
    let mut log = start_log(&mut simulation);
    let leader = simulation.leader().expect("a leader");
    assert_eq!(simulation.submit(leader, long_job(3, 16, Priority::Normal)), Some(201));
    log.run(&mut simulation, secs(8));
    let zone_machines = machines_in(&simulation, ZONES[zone]);
    let starts_in_zone = log.starts.iter().filter(|(.., machine)| zone_machines.contains(machine)).count();
    assert!(
        running_tasks_of(&simulation, 3) == 16 && starts_in_zone <= 16 - 16 * 2 / 3,
        "{starts_in_zone} tasks were placed on retiring machines"
    );
    check_recovery(&mut simulation);
}

#[test]
fn services_avoid_a_zone_on_probation_while_they_fit_elsewhere() {
    let mut simulation = fleet(12, failover_on());
    let zone = zone_without_leader(&simulation);
    partition_zone(&mut simulation, zone);
    simulation.run(secs(20));
    end_partitions(&mut simulation);
    simulation.run(secs(20));
    assert_eq!(zone_state(&simulation, zone), "returning");
    let zone_machines = machines_in(&simulation, ZONES[zone]);
    let leader = simulation.leader().expect("a leader");
    assert_eq!(simulation.submit(leader, service(1, 40)), Some(201));
    simulation.run(secs(4));
    let tasks_in_zone = |simulation: &Simulation, id| {
        simulation.running_tasks(&job_id(id)).iter().filter(|(_, machine)| zone_machines.contains(machine)).count()
    };
    assert_eq!((running_tasks_of(&simulation, 1), tasks_in_zone(&simulation, 1)), (40, 0));
    // The next service fits only with the resources of that zone.
    assert_eq!(simulation.submit(leader, JobSpec { team: "blue".into(), ..service(2, 100) }), Some(201));
    simulation.run(secs(6));
    assert_eq!(running_tasks_of(&simulation, 2), 100);
    check_recovery(&mut simulation);
}

#[test]
fn operators_exclude_a_zone_and_admit_one_at_once() {
    let excluded = FailoverSettings { excluded_zones: ["b".to_owned()].into(), ..FailoverSettings::default() };
    let mut simulation = fleet(12, failover_policy(excluded));
    let zone_machines = machines_in(&simulation, "b");
    assert_eq!(simulation.submit(0, long_job(3, 128, Priority::Normal)), Some(201));
    simulation.run(secs(8));
    assert_eq!(running_tasks_of(&simulation, 3), 128);
    assert!(
        simulation.running_tasks(&job_id(3)).iter().all(|(_, machine)| !zone_machines.contains(machine)),
        "tasks were placed in the excluded zone"
    );
    check_recovery(&mut simulation);

    let zones = ZONES.map(str::to_owned);
    let admitted = FailoverSettings { admitted_zones: zones.into(), ..FailoverSettings::default() };
    let mut simulation = busy_fleet(12, failover_policy(admitted));
    let zone = zone_without_leader(&simulation);
    partition_zone(&mut simulation, zone);
    run_until_zone_state(&mut simulation, zone, "lost", secs(8));
    end_partitions(&mut simulation);
    let elapsed = run_until_zone_state(&mut simulation, zone, "healthy", secs(8));
    assert!(elapsed < Duration::from_secs(8));
    check_recovery(&mut simulation);
}
