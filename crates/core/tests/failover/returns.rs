//! Zones that return: around the expiry of their leases, with a gradual refill, and with machines that were drained.

use std::time::Duration;

use rushyoke_core::FailoverSettings;
use rushyoke_testkit::{World, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, Priority};

use crate::support::*;

#[test]
fn a_zone_returns_just_before_at_and_after_the_expiry_of_its_leases() {
    // Leases last 12 s: when the zone returns, reruns are not placed yet, are being placed, or already run.
    for partition_ms in [5_000, 11_000, 12_000, 12_600, 13_200, 14_000, 16_000] {
        let mut world = busy_fleet(12, failover_on());
        let zone = zone_without_leader(&world);
        let running_before = total_running_tasks(&world);
        partition_zone(&mut world, zone);
        world.run(millis(partition_ms));
        end_partitions(&mut world);
        let before = world.started;
        let mut log = start_log(&mut world);
        log.run(&mut world, secs(30));
        assert_eq!(total_running_tasks(&world), running_before, "partitioned for {partition_ms} ms");
        assert!(
            log.max_machines_per_task(&[1, 2, 3, 4]) <= 1,
            "partitioned for {partition_ms} ms: started twice since the return"
        );
        // A worker sends its next report 5 s after one that was lost.
        if partition_ms < 6_000 {
            assert_eq!(world.started, before, "a partition shorter than a lease caused restarts");
        }
        check_recovery(&mut world);
    }
}

#[test]
fn evacuated_tasks_stay_where_they_are_when_their_zone_returns() {
    let mut world = busy_fleet(24, failover_on());
    let zone = zone_without_leader(&world);
    partition_zone(&mut world, zone);
    world.run(secs(30));
    let running_before = total_running_tasks(&world);
    let mut log = start_log(&mut world);
    end_partitions(&mut world);
    log.run(&mut world, secs(100));
    assert_eq!((total_running_tasks(&world), log.starts.len()), (running_before, 0), "{:?}", log.starts);
    check_recovery(&mut world);
}

/// Returns the number of starts in each of 60 seconds after a zone has returned from its last partition, with more
/// tasks waiting than fit.
fn starts_per_second_after_return(settings: FailoverSettings, partitions: usize) -> Vec<usize> {
    let mut world = fleet(24, failover_policy(settings));
    for id in [3, 4] {
        let team = if id == 3 { "red" } else { "blue" }.to_owned();
        assert_eq!(world.submit(0, JobSpec { team, ..long_job(id, 190, Priority::Normal) }), Some(201));
    }
    world.run(secs(8));
    let zone = zone_without_leader(&world);
    for n in 0..partitions {
        partition_zone(&mut world, zone);
        world.run(secs(16));
        end_partitions(&mut world);
        if n + 1 < partitions {
            world.run(secs(14));
        }
    }
    let mut starts_per_second = Vec::new();
    let mut log = start_log(&mut world);
    for _ in 0..60 {
        let before = log.starts.len();
        log.run(&mut world, secs(1));
        starts_per_second.push(log.starts.len() - before);
    }
    assert_eq!(running_tasks_of(&world, 3) + running_tasks_of(&world, 4), 380, "{starts_per_second:?}");
    check_recovery(&mut world);
    starts_per_second
}

#[test]
fn a_returned_zone_is_refilled_gradually_and_more_slowly_after_repeated_losses() {
    let seconds_until_full =
        |starts_per_second: &[usize]| starts_per_second.iter().rposition(|n| *n > 0).expect("it is refilled");
    let slow_ramp = FailoverSettings { ramp_share: 0.05, ..FailoverSettings::default() };
    let after_one_loss = starts_per_second_after_return(slow_ramp.clone(), 1);
    let first_start = after_one_loss.iter().position(|n| *n > 0).expect("it is refilled");
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
    for reports_held in [false, true] {
        let mut world = busy_fleet(24, failover_on());
        let zone = zone_without_leader(&world);
        let zone_machines = machines_in(&world, ZONES[zone]);
        let running_before = total_running_tasks(&world);
        // Copies of their reports arrive later than a lease lasts.
        world.copy_reports.extend(zone_machines.iter().map(|machine| (machine.clone(), secs(14))));
        if reports_held {
            let until = world.now + secs(16);
            world.hold_reports.extend(zone_machines.iter().map(|machine| (machine.clone(), until)));
        }
        world.deaf.extend(zone_machines.iter().cloned());
        run_until_zone_state(&mut world, zone, "lost", secs(10));
        world.run(secs(14));
        assert_eq!(total_running_tasks(&world), running_before, "reports held: {reports_held}");
        world.deaf.clear();
        world.hold_reports.clear();
        world.run(secs(40));
        assert_eq!(total_running_tasks(&world), running_before);
        check_recovery(&mut world);
    }
}

/// Returns a fleet, a zone and its machine that is quarantined because it fails all tasks. The cloud is down, so the
/// machine cannot be released.
fn with_a_quarantined_machine() -> (World, usize, String) {
    let mut world = fleet(12, failover_on());
    let zone = zone_without_leader(&world);
    let faulty = machines_in(&world, ZONES[zone])[0].clone();
    world.workers.get_mut(&faulty).expect("up").fails_all = true;
    world.cloud.outage = true;
    for id in 10..16 {
        assert_eq!(world.submit(0, JobSpec { spot: false, ..job(id, 12) }), Some(201));
        world.run(secs(1));
    }
    world.run(secs(12));
    assert!(world.failed > 0, "the faulty machine failed no task");
    (world, zone, faulty)
}

#[test]
fn a_quarantined_machine_in_a_lost_zone_stays_quarantined_under_the_next_leader() {
    let (mut world, zone, faulty) = with_a_quarantined_machine();
    partition_zone(&mut world, zone);
    run_until_zone_state(&mut world, zone, "lost", secs(8));
    assert!(
        world.store.rows[ZONES_KEY].0["drained"]["quarantined"].to_string().contains(&faulty),
        "the quarantine is not recorded"
    );
    world.run(secs(10));
    let leader = world.leader().expect("a leader");
    world.crash(leader);
    world.run(secs(5));
    world.start_node(leader);
    let failed_before = world.failed;
    end_partitions(&mut world);
    world.run(secs(12));
    // Enough tasks for the quarantined machine to get some if it were schedulable.
    assert_eq!(world.submit(0, long_job(30, 112, Priority::Normal)), Some(201));
    world.run(secs(20));
    assert_eq!(world.failed, failed_before, "the quarantined machine got tasks again");
    check_recovery(&mut world);
}

#[test]
fn a_retiring_machine_in_a_lost_zone_gets_no_tasks_that_fit_elsewhere() {
    let mut world = fleet(12, failover_on());
    // A service that fits on one machine; the others are more than enough.
    assert_eq!(world.submit(0, service(1, 6)), Some(201));
    world.run(secs(8));
    let zone = zone_without_leader(&world);
    partition_zone(&mut world, zone);
    run_until_zone_state(&mut world, zone, "lost", secs(8));
    let retiring = world.store.rows[ZONES_KEY].0["drained"]["retiring"].as_array().map_or(0, Vec::len);
    assert!(retiring > 0, "no machine is recorded as retiring");
    end_partitions(&mut world);
    run_until_zone_state(&mut world, zone, "returning", secs(10));
    let mut log = start_log(&mut world);
    let leader = world.leader().expect("a leader");
    assert_eq!(world.submit(leader, long_job(3, 16, Priority::Normal)), Some(201));
    log.run(&mut world, secs(8));
    let zone_machines = machines_in(&world, ZONES[zone]);
    let starts_in_zone = log.starts.iter().filter(|(.., machine)| zone_machines.contains(machine)).count();
    assert!(
        running_tasks_of(&world, 3) == 16 && starts_in_zone <= 16 - 16 * 2 / 3,
        "{starts_in_zone} tasks were placed on retiring machines"
    );
    check_recovery(&mut world);
}

#[test]
fn services_avoid_a_zone_on_probation_while_they_fit_elsewhere() {
    let mut world = fleet(12, failover_on());
    let zone = zone_without_leader(&world);
    partition_zone(&mut world, zone);
    world.run(secs(20));
    end_partitions(&mut world);
    world.run(secs(20));
    assert_eq!(zone_state(&world, zone), "returning");
    let zone_machines = machines_in(&world, ZONES[zone]);
    let leader = world.leader().expect("a leader");
    assert_eq!(world.submit(leader, service(1, 40)), Some(201));
    world.run(secs(4));
    let tasks_in_zone =
        |world: &World, id| world.where_runs(&job_id(id)).iter().filter(|(_, m)| zone_machines.contains(m)).count();
    assert_eq!((running_tasks_of(&world, 1), tasks_in_zone(&world, 1)), (40, 0));
    // The next service fits only with the resources of that zone.
    assert_eq!(world.submit(leader, JobSpec { team: "blue".into(), ..service(2, 100) }), Some(201));
    world.run(secs(6));
    assert_eq!(running_tasks_of(&world, 2), 100);
    check_recovery(&mut world);
}

#[test]
fn operators_exclude_a_zone_and_admit_one_at_once() {
    let excluded = FailoverSettings { excluded_zones: ["b".to_owned()].into(), ..FailoverSettings::default() };
    let mut world = fleet(12, failover_policy(excluded));
    let zone_machines = machines_in(&world, "b");
    assert_eq!(world.submit(0, long_job(3, 128, Priority::Normal)), Some(201));
    world.run(secs(8));
    assert_eq!(running_tasks_of(&world, 3), 128);
    assert!(
        world.where_runs(&job_id(3)).iter().all(|(_, machine)| !zone_machines.contains(machine)),
        "tasks were placed in the excluded zone"
    );
    check_recovery(&mut world);

    let zones = ZONES.map(str::to_owned);
    let admitted = FailoverSettings { admitted_zones: zones.into(), ..FailoverSettings::default() };
    let mut world = busy_fleet(12, failover_policy(admitted));
    let zone = zone_without_leader(&world);
    partition_zone(&mut world, zone);
    run_until_zone_state(&mut world, zone, "lost", secs(8));
    end_partitions(&mut world);
    let elapsed = run_until_zone_state(&mut world, zone, "healthy", secs(8));
    assert!(elapsed < Duration::from_secs(8));
    check_recovery(&mut world);
}
