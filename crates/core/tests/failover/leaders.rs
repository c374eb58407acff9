//! Zones that are lost while leaders crash, step down or change, and while the state service is down.

use rushyoke_core::Policy;
use rushyoke_testkit::{World, job_id, millis, secs};
use rushyoke_wire::job::{JobSpec, JobStatus, Priority};

use crate::support::*;

/// Crashes the leader, and restarts it once another node leads.
fn change_leader(world: &mut World, log: &mut StartLog) {
    let leader = world.leader().expect("a leader");
    world.crash(leader);
    log.run(world, secs(5));
    world.start_node(leader);
    assert!(world.leader().is_some_and(|new_leader| new_leader != leader), "no other node leads");
}

#[test]
fn three_flaps_in_five_minutes_with_leader_changes_cause_one_evacuation() {
    let mut world = busy_fleet(24, failover_on());
    let zone = zone_without_leader(&world);
    let mut log = start_log(&mut world);
    let mut starts_per_flap = Vec::new();
    for _ in 0..3 {
        let starts_before = log.starts.len();
        partition_zone(&mut world, zone);
        log.run(&mut world, secs(20));
        end_partitions(&mut world);
        log.run(&mut world, secs(20));
        starts_per_flap.push(log.starts.len() - starts_before);
        assert!(matches!(zone_record(&world, zone), Some((_, 1))), "{:?}", zone_record(&world, zone));
        change_leader(&mut world, &mut log);
        log.run(&mut world, secs(50));
    }
    assert!(
        starts_per_flap[0] > 20
            && starts_per_flap[1] * 4 <= starts_per_flap[0]
            && starts_per_flap[2] * 4 <= starts_per_flap[0],
        "starts per flap: {starts_per_flap:?}"
    );
    // The first evacuation moved the replicas; none was started twice.
    assert_eq!(log.max_machines_per_task(&[1, 2]), 1, "a replica was started twice");
    check_recovery(&mut world);
}

#[test]
fn a_new_leader_continues_a_probation_and_evacuates_nothing_twice() {
    let mut world = busy_fleet_with_long_leases(24, failover_on());
    let zone = zone_without_leader(&world);
    partition_zone(&mut world, zone);
    let mut log = start_log(&mut world);
    log.run(&mut world, secs(24));
    let evacuated_tasks = log.starts.len();
    assert!(evacuated_tasks > 20, "only {evacuated_tasks} tasks were started elsewhere");
    change_leader(&mut world, &mut log);
    assert_eq!(zone_record(&world, zone), Some(("lost".into(), 1)));
    log.run(&mut world, secs(15));
    assert_eq!(log.max_machines_per_task(&[1, 2]), 1, "a replica was evacuated twice");
    end_partitions(&mut world);
    run_until_zone_state(&mut world, zone, "returning", secs(10));
    change_leader(&mut world, &mut log);
    log.run(&mut world, secs(20));
    assert_eq!(zone_record(&world, zone), Some(("returning".into(), 1)), "the new leader ended the probation");
    check_recovery(&mut world);
    world.run(secs(90));
    assert_eq!(zone_state(&world, zone), "healthy", "the probation does not end");
}

#[test]
fn a_lost_zone_contains_the_leader() {
    let mut world = busy_fleet(24, failover_on());
    let zone = world.leader().expect("a leader");
    let running_before = total_running_tasks(&world);
    partition_zone(&mut world, zone);
    world.run(secs(4));
    assert!(world.leader().is_some_and(|new_leader| new_leader != zone), "no leader outside the lost zone");
    run_until_zone_state(&mut world, zone, "lost", secs(14));
    // The old leader may respond inside the zone for as long as it is allowed to, and the leases outlast that.
    world.run(secs(45));
    assert_eq!(total_running_tasks(&world), running_before);
    end_partitions(&mut world);
    check_recovery(&mut world);
}

#[test]
fn a_leader_that_reaches_only_its_own_zone_and_the_store_steps_down() {
    let mut world = busy_fleet(24, failover_on());
    let zone = world.leader().expect("a leader");
    let inside = machines_in(&world, ZONES[zone]);
    let machines: Vec<String> = world.workers.keys().cloned().collect();
    world.no_peers.insert(zone);
    for machine in &machines {
        let links = (0..3).filter(|node| inside.contains(machine) != (*node == zone));
        world.cut_links.extend(links.map(|node| (node, machine.clone())));
    }
    world.run(secs(12));
    assert!(world.leader().is_some_and(|new_leader| new_leader != zone), "the partitioned leader did not step down");
    world.run(secs(10));
    let outside = world.workers.values().filter(|worker| !inside.contains(&worker.name));
    assert!(
        outside.clone().count() == 16 && outside.clone().all(|worker| worker.session == 1),
        "a lease expired outside the zone"
    );
    world.cut_links.clear();
    end_partitions(&mut world);
    check_recovery(&mut world);
}

#[test]
fn a_zone_whose_controller_loses_only_the_store_is_not_declared_lost() {
    // The zone's workers reach only its controller, which relays their reports and the responses.
    let mut world = busy_fleet(24, failover_on());
    let zone = zone_without_leader(&world);
    let inside = machines_in(&world, ZONES[zone]);
    world.no_store.insert(zone);
    for machine in &inside {
        world.cut_links.extend((0..3).filter(|node| *node != zone).map(|node| (node, machine.clone())));
        let worker = world.workers.get_mut(machine).expect("up");
        (worker.node, worker.waiting) = (zone, None);
    }
    let running_before = total_running_tasks(&world);
    world.run(secs(30));
    assert_ne!(zone_state(&world, zone), "lost");
    assert_eq!(total_running_tasks(&world), running_before);
    assert!(inside.iter().all(|machine| world.workers[machine].session == 1), "a lease expired");
    world.cut_links.clear();
    end_partitions(&mut world);
    check_recovery(&mut world);
}

#[test]
fn a_second_zone_is_lost_while_the_first_returns_with_or_without_a_store_outage() {
    for store_down in [false, true] {
        let mut world = busy_fleet(24, failover_on());
        let zone = zone_without_leader(&world);
        let leader = world.leader().expect("a leader");
        let second = 3 - zone - leader;
        if store_down {
            world.store.outage = true;
        }
        partition_zone(&mut world, zone);
        world.run(secs(8));
        if store_down {
            let now = world.now;
            world.store.end_outage(now);
        }
        run_until_zone_state(&mut world, zone, "lost", secs(6));
        world.run(secs(12));
        end_partitions(&mut world);
        run_until_zone_state(&mut world, zone, "returning", secs(10));
        partition_zone(&mut world, second);
        run_until_zone_state(&mut world, second, "lost", secs(9));
        assert_eq!(zone_record(&world, zone), Some(("returning".into(), 1)));
        world.run(secs(25));
        end_partitions(&mut world);
        check_recovery(&mut world);
    }
}

#[test]
fn cancellations_hold_for_a_zone_partitioned_with_the_leader() {
    for delay_ms in [0, 2500, 9000, 14_000] {
        let mut world = busy_fleet(24, failover_on());
        let zone = world.leader().expect("a leader");
        partition_zone(&mut world, zone);
        world.run(secs(4) + millis(delay_ms));
        let new_leader = world.leader().expect("a leader outside the zone");
        let response = world.cancel(new_leader, &job_id(1)).and_then(|(_, view)| view).map(|view| view.state);
        assert_eq!(response, Some(JobStatus::Cancelled));
        // The simulated world checks that all tasks stop in time.
        world.run(secs(31));
        assert_eq!(running_tasks_of(&world, 1), 0, "at {delay_ms} ms");
        end_partitions(&mut world);
        check_recovery(&mut world);
    }
}

#[test]
fn a_leader_without_failover_in_between_does_not_disturb_an_evacuation() {
    let mut world = busy_fleet_with_long_leases(24, failover_on());
    let zone = zone_without_leader(&world);
    let mut log = start_log(&mut world);
    partition_zone(&mut world, zone);
    log.run(&mut world, secs(24));
    let leader = world.leader().expect("a leader");
    let record = world.store.rows[ZONES_KEY].0.clone();
    (0..3).for_each(|node| drop(world.policy_of.insert(node, failover_off())));
    let third_node = 3 - zone - leader;
    world.crash(third_node);
    world.start_node(third_node);
    log.run(&mut world, secs(1));
    // The other nodes are down for too short a time for leases to expire.
    world.crash(leader);
    log.run(&mut world, secs(3));
    world.start_node(leader);
    log.run(&mut world, secs(6));
    assert_eq!(world.leader(), Some(third_node));
    end_partitions(&mut world);
    log.run(&mut world, secs(15));
    assert_eq!(world.store.rows[ZONES_KEY].0, record, "a version without failover changed the record");
    // A version with failover leads again: the record that it finds is old, so it assesses the zones anew.
    world.policy_of.clear();
    for node in [leader, zone] {
        world.crash(node);
        world.start_node(node);
    }
    log.run(&mut world, secs(1));
    world.crash(third_node);
    log.run(&mut world, secs(3));
    world.start_node(third_node);
    log.run(&mut world, secs(12));
    run_until_zone_state(&mut world, zone, "returning", secs(12));
    assert_eq!(zone_record(&world, zone), Some(("returning".into(), 1)));
    assert_eq!(log.max_machines_per_task(&[1, 2]), 1, "a replica was evacuated twice");
    check_recovery(&mut world);
}

#[test]
fn rebalancing_and_failover_work_together() {
    // With this headroom no machine is retired.
    let balance = Some(rushyoke_core::BalanceSettings::default());
    let policy = Policy { balance, headroom_machines: 1000.0, ..failover_on() };
    let mut world = fleet(12, policy);
    let checkpointing_job = |id, team: &str| JobSpec {
        checkpoint_interval_s: 10.0,
        save_s: 1.0,
        team: team.into(),
        ..long_job(id, 50, Priority::Normal)
    };
    assert_eq!(world.submit(0, checkpointing_job(3, "red")), Some(201));
    assert_eq!(world.submit(0, checkpointing_job(4, "blue")), Some(201));
    world.run(secs(20));
    let zone = zone_without_leader(&world);
    let zone_machines = machines_in(&world, ZONES[zone]);
    partition_zone(&mut world, zone);
    world.run(secs(30));
    assert_eq!((running_tasks_of(&world, 3), running_tasks_of(&world, 4)), (50, 50));
    end_partitions(&mut world);
    let mut log = start_log(&mut world);
    log.run(&mut world, secs(90));
    let moves_back = log.starts.iter().filter(|(.., machine)| zone_machines.contains(machine)).count();
    assert_eq!(moves_back, 0, "tasks were moved to a zone on probation");
    // Once the zone is healthy, rebalancing moves tasks back to it.
    log.run(&mut world, secs(100));
    let moves_back = log.starts.iter().filter(|(.., machine)| zone_machines.contains(machine)).count();
    assert!(moves_back > 0 && log.max_machines_per_task(&[3, 4]) == 1, "{moves_back} moves back to the zone");
    check_recovery(&mut world);
}
