//! Zones that are lost while leaders crash, step down or change, and while the state service is down.

use rushyoke_core::Policy;
use rushyoke_testkit::{Simulation, job_id, millis, secs};
use rushyoke_wire::job::{JobSpec, JobStatus, Priority};

use crate::support::*;

/// Crashes the leader, and restarts it once another node leads.
fn change_leader(simulation: &mut Simulation, log: &mut StartLog) {
    let leader = simulation.leader().expect("a leader");
    simulation.crash_node(leader);
    log.run(simulation, secs(5));
    simulation.start_node(leader);
    assert!(simulation.leader().is_some_and(|new_leader| new_leader != leader), "no other node leads");
}

#[test]
fn three_flaps_in_five_minutes_with_leader_changes_cause_one_evacuation() {
    let mut simulation = busy_fleet(24, failover_on());
    let zone = zone_without_leader(&simulation);
    let mut log = start_log(&mut simulation);
    let mut starts_per_flap = Vec::new();
    for _ in 0..3 {
        let starts_before = log.starts.len();
        partition_zone(&mut simulation, zone);
        log.run(&mut simulation, secs(20));
        end_partitions(&mut simulation);
        log.run(&mut simulation, secs(20));
        starts_per_flap.push(log.starts.len() - starts_before);
        assert!(matches!(zone_record(&simulation, zone), Some((_, 1))), "{:?}", zone_record(&simulation, zone));
        change_leader(&mut simulation, &mut log);
        log.run(&mut simulation, secs(50));
    }
    assert!(
        starts_per_flap[0] > 20
            && starts_per_flap[1] * 4 <= starts_per_flap[0]
            && starts_per_flap[2] * 4 <= starts_per_flap[0],
        "starts per flap: {starts_per_flap:?}"
    );
    // The first evacuation moved the replicas; none was started twice.
    assert_eq!(log.max_machines_per_task(&[1, 2]), 1, "a replica was started twice");
    check_recovery(&mut simulation);
}

#[test]
fn a_new_leader_continues_a_probation_and_evacuates_nothing_twice() {
    let mut simulation = busy_fleet_with_long_leases(24, failover_on());
    let zone = zone_without_leader(&simulation);
    partition_zone(&mut simulation, zone);
    let mut log = start_log(&mut simulation);
    log.run(&mut simulation, secs(24));
    let evacuated_tasks = log.starts.len();
    assert!(evacuated_tasks > 20, "only {evacuated_tasks} tasks were started elsewhere");
    change_leader(&mut simulation, &mut log);
    assert_eq!(zone_record(&simulation, zone), Some(("lost".into(), 1)));
    log.run(&mut simulation, secs(15));
    assert_eq!(log.max_machines_per_task(&[1, 2]), 1, "a replica was evacuated twice");
    end_partitions(&mut simulation);
    run_until_zone_state(&mut simulation, zone, "returning", secs(10));
    change_leader(&mut simulation, &mut log);
    log.run(&mut simulation, secs(20));
    assert_eq!(zone_record(&simulation, zone), Some(("returning".into(), 1)), "the new leader ended the probation");
    check_recovery(&mut simulation);
    simulation.run(secs(90));
    assert_eq!(zone_state(&simulation, zone), "healthy", "the probation does not end");
}

#[test]
fn a_lost_zone_contains_the_leader() {
    let mut simulation = busy_fleet(24, failover_on());
    let zone = simulation.leader().expect("a leader");
    let running_before = total_running_tasks(&simulation);
    partition_zone(&mut simulation, zone);
    simulation.run(secs(4));
    assert!(simulation.leader().is_some_and(|new_leader| new_leader != zone), "no leader outside the lost zone");
    run_until_zone_state(&mut simulation, zone, "lost", secs(14));
    // The old leader may respond inside the zone for as long as it is allowed to, and the leases outlast that.
    simulation.run(secs(45));
    assert_eq!(total_running_tasks(&simulation), running_before);
    end_partitions(&mut simulation);
    check_recovery(&mut simulation);
}

#[test]
fn a_leader_that_reaches_only_its_own_zone_and_the_store_steps_down() {
    let mut simulation = busy_fleet(24, failover_on());
    let zone = simulation.leader().expect("a leader");
    let zone_machines = machines_in(&simulation, ZONES[zone]);
    let machines: Vec<String> = simulation.workers.keys().cloned().collect();
    simulation.partitioned_from_peers.insert(zone);
    for machine in &machines {
        let links = (0..3).filter(|node| zone_machines.contains(machine) != (*node == zone));
        simulation.partitioned_links.extend(links.map(|node| (node, machine.clone())));
    }
    simulation.run(secs(12));
    assert!(
        simulation.leader().is_some_and(|new_leader| new_leader != zone),
        "the partitioned leader did not step down"
    );
    simulation.run(secs(10));
    let outside = simulation.workers.values().filter(|worker| !zone_machines.contains(&worker.name));
    assert!(
        outside.clone().count() == 16 && outside.clone().all(|worker| worker.session == 1),
        "a lease expired outside the zone"
    );
    simulation.partitioned_links.clear();
    end_partitions(&mut simulation);
    check_recovery(&mut simulation);
}

#[test]
fn a_zone_whose_controller_loses_only_the_store_is_not_declared_lost() {
    // The zone's workers reach only its controller, which relays their reports and the responses.
    let mut simulation = busy_fleet(24, failover_on());
    let zone = zone_without_leader(&simulation);
    let zone_machines = machines_in(&simulation, ZONES[zone]);
    simulation.partitioned_from_store.insert(zone);
    for machine in &zone_machines {
        simulation.partitioned_links.extend((0..3).filter(|node| *node != zone).map(|node| (node, machine.clone())));
        let worker = simulation.workers.get_mut(machine).expect("up");
        (worker.node, worker.pending_report) = (zone, None);
    }
    let running_before = total_running_tasks(&simulation);
    simulation.run(secs(30));
    assert_ne!(zone_state(&simulation, zone), "lost");
    assert_eq!(total_running_tasks(&simulation), running_before);
    assert!(zone_machines.iter().all(|machine| simulation.workers[machine].session == 1), "a lease expired");
    simulation.partitioned_links.clear();
    end_partitions(&mut simulation);
    check_recovery(&mut simulation);
}

#[test]
fn a_second_zone_is_lost_while_the_first_returns_with_or_without_a_store_outage() {
    for store_down in [false, true] {
        let mut simulation = busy_fleet(24, failover_on());
        let zone = zone_without_leader(&simulation);
        let leader = simulation.leader().expect("a leader");
        let second = 3 - zone - leader;
        if store_down {
            simulation.store.outage = true;
        }
        partition_zone(&mut simulation, zone);
        simulation.run(secs(8));
        if store_down {
            let now = simulation.now;
            simulation.store.end_outage(now);
        }
        run_until_zone_state(&mut simulation, zone, "lost", secs(6));
        simulation.run(secs(12));
        end_partitions(&mut simulation);
        run_until_zone_state(&mut simulation, zone, "returning", secs(10));
        partition_zone(&mut simulation, second);
        run_until_zone_state(&mut simulation, second, "lost", secs(9));
        assert_eq!(zone_record(&simulation, zone), Some(("returning".into(), 1)));
        simulation.run(secs(25));
        end_partitions(&mut simulation);
        check_recovery(&mut simulation);
    }
}

#[test]
fn cancellations_hold_for_a_zone_partitioned_with_the_leader() {
    for delay_ms in [0, 2500, 9000, 14_000] {
        let mut simulation = busy_fleet(24, failover_on());
        let zone = simulation.leader().expect("a leader");
        partition_zone(&mut simulation, zone);
        simulation.run(secs(4) + millis(delay_ms));
        let new_leader = simulation.leader().expect("a leader outside the zone");
        let response = simulation.cancel(new_leader, &job_id(1)).and_then(|(_, view)| view).map(|view| view.state);
        assert_eq!(response, Some(JobStatus::Cancelled));
        // The simulation checks that all tasks stop in time.
        simulation.run(secs(31));
        assert_eq!(running_tasks_of(&simulation, 1), 0, "at {delay_ms} ms");
        end_partitions(&mut simulation);
        check_recovery(&mut simulation);
    }
}

#[test]
fn a_leader_without_failover_in_between_does_not_disturb_an_evacuation() {
    let mut simulation = busy_fleet_with_long_leases(24, failover_on());
    let zone = zone_without_leader(&simulation);
    let mut log = start_log(&mut simulation);
    partition_zone(&mut simulation, zone);
    log.run(&mut simulation, secs(24));
    let leader = simulation.leader().expect("a leader");
    let record = simulation.store.rows[ZONES_KEY].0.clone();
    (0..3).for_each(|node| drop(simulation.policy_overrides.insert(node, failover_off())));
    let third_node = 3 - zone - leader;
    simulation.crash_node(third_node);
    simulation.start_node(third_node);
    log.run(&mut simulation, secs(1));
    // The other nodes are down for too short a time for leases to expire.
    simulation.crash_node(leader);
    log.run(&mut simulation, secs(3));
    simulation.start_node(leader);
    log.run(&mut simulation, secs(6));
    assert_eq!(simulation.leader(), Some(third_node));
    end_partitions(&mut simulation);
    log.run(&mut simulation, secs(15));
    assert_eq!(simulation.store.rows[ZONES_KEY].0, record, "a version without failover changed the record");
    // A version with failover leads again: the record that it finds is old, so it assesses the zones anew.
    simulation.policy_overrides.clear();
    for node in [leader, zone] {
        simulation.crash_node(node);
        simulation.start_node(node);
    }
    log.run(&mut simulation, secs(1));
    simulation.crash_node(third_node);
    log.run(&mut simulation, secs(3));
    simulation.start_node(third_node);
    log.run(&mut simulation, secs(12));
    run_until_zone_state(&mut simulation, zone, "returning", secs(12));
    assert_eq!(zone_record(&simulation, zone), Some(("returning".into(), 1)));
    assert_eq!(log.max_machines_per_task(&[1, 2]), 1, "a replica was evacuated twice");
    check_recovery(&mut simulation);
}

#[test]
fn rebalancing_and_failover_work_together() {
    // With this headroom no machine is retired.
    let balance = Some(rushyoke_core::BalanceSettings::default());
    let policy = Policy { balance, headroom_machines: 1000.0, ..failover_on() };
    let mut simulation = fleet(12, policy);
    let checkpointing_job = |id, team: &str| JobSpec {
        checkpoint_interval_s: 10.0,
        save_s: 1.0,
        team: team.into(),
        ..long_job(id, 50, Priority::Normal)
    };
    assert_eq!(simulation.submit(0, checkpointing_job(3, "red")), Some(201));
    assert_eq!(simulation.submit(0, checkpointing_job(4, "blue")), Some(201));
    simulation.run(secs(20));
    let zone = zone_without_leader(&simulation);
    let zone_machines = machines_in(&simulation, ZONES[zone]);
    partition_zone(&mut simulation, zone);
    simulation.run(secs(30));
    assert_eq!((running_tasks_of(&simulation, 3), running_tasks_of(&simulation, 4)), (50, 50));
    end_partitions(&mut simulation);
    let mut log = start_log(&mut simulation);
    log.run(&mut simulation, secs(90));
    let moves_back = log.starts.iter().filter(|(.., machine)| zone_machines.contains(machine)).count();
    assert_eq!(moves_back, 0, "tasks were moved to a zone on probation");
    // Once the zone is healthy, rebalancing moves tasks back to it.
    log.run(&mut simulation, secs(100));
    let moves_back = log.starts.iter().filter(|(.., machine)| zone_machines.contains(machine)).count();
    assert!(moves_back > 0 && log.max_machines_per_task(&[3, 4]) == 1, "{moves_back} moves back to the zone");
    check_recovery(&mut simulation);
}
