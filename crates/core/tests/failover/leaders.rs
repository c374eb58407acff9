//! Zones that are lost while leaders end, give way or change, and while the state service is silent.

use rushyoke_core::Policy;
use rushyoke_testkit::{Simulation, job_id, millis, secs};
use rushyoke_wire::job::{JobSpec, JobStatus, Priority};

use crate::support::*;

/// Another process leads from now on; the old one is back after a while.
fn change_leader(simulation: &mut Simulation, starts: &mut Starts) {
    let leader = simulation.leader().expect("a leader");
    simulation.crash_node(leader);
    starts.watch(simulation, secs(5));
    simulation.start_node(leader);
    assert!(simulation.leader().is_some_and(|new| new != leader), "no other leader");
}

#[test]
fn three_flaps_in_five_minutes_with_another_leader_in_each_gap_are_one_evacuation() {
    let mut simulation = at_work(24, on());
    let zone = zone_without_leader(&simulation);
    let mut starts = watching(&mut simulation);
    let mut begun = Vec::new();
    for _ in 0..3 {
        let before = starts.began.len();
        cut(&mut simulation, zone);
        starts.watch(&mut simulation, secs(20));
        restore(&mut simulation);
        starts.watch(&mut simulation, secs(20));
        begun.push(starts.began.len() - before);
        assert!(matches!(recorded(&simulation, zone), Some((_, 1))), "{:?}", recorded(&simulation, zone));
        change_leader(&mut simulation, &mut starts);
        starts.watch(&mut simulation, secs(50));
    }
    assert!(begun[0] > 20 && begun[1] * 4 <= begun[0] && begun[2] * 4 <= begun[0], "begun anew: {begun:?}");
    // The first evacuation moved it; no replica began twice.
    assert_eq!(starts.most(&[1, 2]), 1, "a replica began twice");
    ends_well(&mut simulation);
}

#[test]
fn a_new_leader_forgets_no_probation_and_evacuates_nothing_twice() {
    let mut simulation = at_work_with_long_leases(24, on());
    let zone = zone_without_leader(&simulation);
    cut(&mut simulation, zone);
    let mut starts = watching(&mut simulation);
    starts.watch(&mut simulation, secs(24));
    let evacuated = starts.began.len();
    assert!(evacuated > 20, "{evacuated} tasks began elsewhere");
    change_leader(&mut simulation, &mut starts);
    assert_eq!(recorded(&simulation, zone), Some(("lost".into(), 1)));
    starts.watch(&mut simulation, secs(15));
    assert_eq!(starts.most(&[1, 2]), 1, "evacuated twice");
    restore(&mut simulation);
    until_state(&mut simulation, zone, "returning", secs(10));
    change_leader(&mut simulation, &mut starts);
    starts.watch(&mut simulation, secs(20));
    assert_eq!(recorded(&simulation, zone), Some(("returning".into(), 1)), "probation is forgotten");
    ends_well(&mut simulation);
    simulation.run(secs(90));
    assert_eq!(recorded_state(&simulation, zone), "healthy", "probation does not end");
}

#[test]
fn the_lost_zone_holds_the_leader() {
    let mut simulation = at_work(24, on());
    let zone = simulation.leader().expect("a leader");
    let all = running(&simulation);
    cut(&mut simulation, zone);
    simulation.run(secs(4));
    assert!(simulation.leader().is_some_and(|new| new != zone), "no leader outside");
    until_state(&mut simulation, zone, "lost", secs(14));
    // The old leader may have answered inside for its whole allowance, then a lease.
    simulation.run(secs(45));
    assert_eq!(running(&simulation), all);
    restore(&mut simulation);
    ends_well(&mut simulation);
}

#[test]
fn a_leader_that_keeps_the_state_service_and_loses_all_but_its_zone_gives_way() {
    let mut simulation = at_work(24, on());
    let zone = simulation.leader().expect("a leader");
    let inside = machines_in(&simulation, ZONES[zone]);
    let before: Vec<String> = simulation.workers.keys().cloned().collect();
    simulation.partitioned_from_peers.insert(zone);
    for machine in &before {
        let links = (0..3).filter(|node| inside.contains(machine) != (*node == zone));
        simulation.partitioned_links.extend(links.map(|node| (node, machine.clone())));
    }
    simulation.run(secs(12));
    assert!(simulation.leader().is_some_and(|new| new != zone), "it keeps the others from their work");
    simulation.run(secs(10));
    let outside = simulation.workers.values().filter(|worker| !inside.contains(&worker.name));
    assert!(
        outside.clone().count() == 16 && outside.clone().all(|worker| worker.session == 1),
        "a lease ended outside"
    );
    simulation.partitioned_links.clear();
    restore(&mut simulation);
    ends_well(&mut simulation);
}

#[test]
fn a_zone_whose_controller_keeps_its_peers_and_loses_the_state_service_is_not_lost() {
    // Its workers reach only that controller, which hands their reports on and the answers back.
    let mut simulation = at_work(24, on());
    let zone = zone_without_leader(&simulation);
    let inside = machines_in(&simulation, ZONES[zone]);
    simulation.partitioned_from_store.insert(zone);
    for machine in &inside {
        simulation.partitioned_links.extend((0..3).filter(|node| *node != zone).map(|node| (node, machine.clone())));
        let worker = simulation.workers.get_mut(machine).expect("up");
        (worker.node, worker.pending_report) = (zone, None);
    }
    let all = running(&simulation);
    simulation.run(secs(30));
    assert_ne!(recorded_state(&simulation, zone), "lost");
    assert_eq!(running(&simulation), all);
    assert!(inside.iter().all(|machine| simulation.workers[machine].session == 1), "a lease ended");
    simulation.partitioned_links.clear();
    restore(&mut simulation);
    ends_well(&mut simulation);
}

#[test]
fn a_second_zone_is_lost_while_the_first_returns_and_the_state_service_is_down_during_a_verdict() {
    for down in [false, true] {
        let mut simulation = at_work(24, on());
        let zone = zone_without_leader(&simulation);
        let leader = simulation.leader().expect("a leader");
        let second = 3 - zone - leader;
        if down {
            simulation.store.outage = true;
        }
        cut(&mut simulation, zone);
        simulation.run(secs(8));
        if down {
            let now = simulation.now;
            simulation.store.end_outage(now);
        }
        until_state(&mut simulation, zone, "lost", secs(6));
        simulation.run(secs(12));
        restore(&mut simulation);
        until_state(&mut simulation, zone, "returning", secs(10));
        cut(&mut simulation, second);
        until_state(&mut simulation, second, "lost", secs(9));
        assert_eq!(recorded(&simulation, zone), Some(("returning".into(), 1)));
        simulation.run(secs(25));
        restore(&mut simulation);
        ends_well(&mut simulation);
    }
}

#[test]
fn cancellations_hold_for_a_zone_that_is_cut_off_with_the_leader() {
    for moment in [0, 2500, 9000, 14_000] {
        let mut simulation = at_work(24, on());
        let zone = simulation.leader().expect("a leader");
        cut(&mut simulation, zone);
        simulation.run(secs(4) + millis(moment));
        let new = simulation.leader().expect("a leader outside");
        let told = simulation.cancel(new, &job_id(1)).and_then(|(_, view)| view).map(|view| view.state);
        assert_eq!(told, Some(JobStatus::Cancelled));
        // The world checks that all is gone in time.
        simulation.run(secs(31));
        assert_eq!(count(&simulation, 1), 0, "at {moment} ms");
        restore(&mut simulation);
        ends_well(&mut simulation);
    }
}

#[test]
fn leaders_that_know_nothing_of_zones_lead_in_between() {
    let mut simulation = at_work_with_long_leases(24, on());
    let zone = zone_without_leader(&simulation);
    let mut starts = watching(&mut simulation);
    cut(&mut simulation, zone);
    starts.watch(&mut simulation, secs(24));
    let leader = simulation.leader().expect("a leader");
    let record = simulation.store.rows[RECORD].0.clone();
    (0..3).for_each(|node| drop(simulation.policy_overrides.insert(node, off())));
    let third = 3 - zone - leader;
    simulation.crash_node(third);
    simulation.start_node(third);
    starts.watch(&mut simulation, secs(1));
    // The others are not away for so long that leases end.
    simulation.crash_node(leader);
    starts.watch(&mut simulation, secs(3));
    simulation.start_node(leader);
    starts.watch(&mut simulation, secs(6));
    assert_eq!(simulation.leader(), Some(third));
    restore(&mut simulation);
    starts.watch(&mut simulation, secs(15));
    assert_eq!(simulation.store.rows[RECORD].0, record, "the other version writes what it does not know");
    // One that knows of zones leads again: what it finds is old, and is judged anew.
    simulation.policy_overrides.clear();
    for node in [leader, zone] {
        simulation.crash_node(node);
        simulation.start_node(node);
    }
    starts.watch(&mut simulation, secs(1));
    simulation.crash_node(third);
    starts.watch(&mut simulation, secs(3));
    simulation.start_node(third);
    starts.watch(&mut simulation, secs(12));
    until_state(&mut simulation, zone, "returning", secs(12));
    assert_eq!(recorded(&simulation, zone), Some(("returning".into(), 1)));
    assert_eq!(starts.most(&[1, 2]), 1, "evacuated twice");
    ends_well(&mut simulation);
}

#[test]
fn load_spreading_and_failover_work_together() {
    // So much is kept ready that nothing retires.
    let balance = Some(rushyoke_core::BalanceSettings::default());
    let policy = Policy { balance, headroom_machines: 1000.0, ..on() };
    let mut simulation = fleet(12, policy);
    let saving = |id, team: &str| JobSpec {
        checkpoint_interval_s: 10.0,
        save_s: 1.0,
        team: team.into(),
        ..long(id, 50, Priority::Normal)
    };
    assert_eq!(simulation.submit(0, saving(3, "red")), Some(201));
    assert_eq!(simulation.submit(0, saving(4, "blue")), Some(201));
    simulation.run(secs(20));
    let zone = zone_without_leader(&simulation);
    let there = machines_in(&simulation, ZONES[zone]);
    cut(&mut simulation, zone);
    simulation.run(secs(30));
    assert_eq!((count(&simulation, 3), count(&simulation, 4)), (50, 50));
    restore(&mut simulation);
    let mut starts = watching(&mut simulation);
    starts.watch(&mut simulation, secs(90));
    let home = starts.began.iter().filter(|(.., machine)| there.contains(machine)).count();
    assert_eq!(home, 0, "work was moved to a zone on probation");
    // Once it is healthy, moves home are those of load spreading.
    starts.watch(&mut simulation, secs(100));
    let home = starts.began.iter().filter(|(.., machine)| there.contains(machine)).count();
    assert!(home > 0 && starts.most(&[3, 4]) == 1, "{home} moves home");
    ends_well(&mut simulation);
}
