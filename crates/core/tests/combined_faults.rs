//! Combinations of two faults. Each scenario injects them, asserts that they occurred, and ends
//! with the checks for a recovered deployment; the simulated world checks the rules for users at
//! every step.

use rushyoke_core::Policy;
use rushyoke_testkit::{World, job, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Kind};
use std::collections::BTreeSet;

/// Returns a world in which services 1 and 2 of four replicas each and array 3 of eight long tasks
/// run on machines of two zones, and the current leader.
fn running_jobs(machines: usize) -> (World, usize) {
    let mut world = World::with(machines, Policy::default(), &["a", "b"]);
    world.task_s = 40.0;
    world.workers.values_mut().for_each(|worker| worker.run_s = 40.0);
    world.run(secs(6));
    world.submit(0, service(1, 4));
    world.submit(1, service(2, 4));
    world.submit(2, job(3, 8));
    world.run(secs(5));
    for id in ["wk-000001", "wk-000002"] {
        assert_eq!(world.where_runs(id).len(), 4);
    }
    assert_eq!(world.where_runs("wk-000003").len(), 8);
    let leader = world.leader().expect("a leader");
    (world, leader)
}

fn next_node(node: usize) -> usize {
    (node + 1) % 3
}

fn cancel_until_confirmed(world: &mut World, node: usize, id: &str) {
    for _ in 0..60 {
        let state = world.cancel(node, id).and_then(|(_, view)| view).map(|view| view.state);
        if state == Some(JobStatus::Cancelled) {
            return;
        }
        world.run(millis(300));
    }
    panic!("{id} cannot be cancelled at node {node}");
}

fn hosts(world: &World, id: &str) -> BTreeSet<String> {
    world.where_runs(id).into_iter().map(|(_, machine)| machine).collect()
}

/// Ends all faults, and checks that every accepted job that is still wanted runs or completes, and
/// that no other task runs.
fn check_recovery(world: &mut World) {
    world.calm();
    world.check_served();
    for id in world.rules.accepted() {
        let state = world.state(0, &id);
        let running = world.where_runs(&id).len() as u32;
        let spec = &world.specs[&id];
        match state {
            Some(JobStatus::Cancelled | JobStatus::Done) => assert_eq!(running, 0, "{id} is {state:?}"),
            _ if spec.kind == Kind::Service => assert_eq!(running, spec.tasks, "{id} is {state:?}"),
            _ => panic!("{id} is {state:?} with {running} tasks running"),
        }
    }
}

#[test]
fn jobs_cancelled_during_a_takeover_stop() {
    // Cancelled before, while and after the leader's lease expires, at both of the remaining nodes.
    for delay_ms in [0, 400, 900, 1500, 2100, 2300, 2600, 3500] {
        let (mut world, leader) = running_jobs(4);
        let terms = world.terms.len();
        world.crash(leader);
        world.run(millis(delay_ms));
        cancel_until_confirmed(&mut world, next_node(leader), "wk-000001");
        cancel_until_confirmed(&mut world, (leader + 2) % 3, "wk-000003");
        world.run(secs(10));
        assert!(world.terms.len() > terms, "{delay_ms} ms: no other node led");
        assert!(world.where_runs("wk-000001").is_empty() && world.where_runs("wk-000003").is_empty(), "{delay_ms} ms");
        world.start_node(leader);
        assert_eq!(world.late_starts, 0);
        check_recovery(&mut world);
    }
}

#[test]
fn job_cancelled_at_the_new_leader_stops_on_workers_of_the_isolated_old_leader() {
    let (mut world, old_leader) = running_jobs(4);
    world.no_store.insert(old_leader);
    world.no_peers.insert(old_leader);
    world.run(secs(5));
    let new_leader = world.leader().expect("a leader");
    assert!(new_leader != old_leader && world.two_led, "only one node leads");
    cancel_until_confirmed(&mut world, new_leader, "wk-000001");
    for node in 0..3 {
        world.ask_status(node, "wk-000001");
        world.ask_submit(node, service(1, 4));
    }
    world.run(secs(32));
    assert!(world.where_runs("wk-000001").is_empty());
    check_recovery(&mut world);
}

#[test]
fn old_reports_that_reach_a_new_leader_move_no_tasks() {
    // The old reports arrive when the new leader starts, or once it has acted, and do not list the
    // tasks started since.
    for delay_ms in [0, 300, 900, 3000] {
        let (mut world, leader) = running_jobs(3);
        world.keep_for_next = Some(millis(delay_ms));
        world.run(secs(3));
        world.submit(leader, service(4, 12));
        world.run(secs(3));
        let before = (world.where_runs("wk-000001"), world.where_runs("wk-000004"));
        world.cloud.outage = true;
        let partitioned = hosts(&world, "wk-000004").into_iter().next().expect("a host");
        world.cut.insert(partitioned);
        world.crash(leader);
        world.run(secs(9));
        assert!(world.came_to_next > 5, "too few old reports reached the new leader");
        assert!(world.leader().is_some_and(|node| node != leader));
        assert_eq!((world.where_runs("wk-000001"), world.where_runs("wk-000004")), before);
        world.start_node(leader);
        world.run(secs(30));
        check_recovery(&mut world);
    }
}

#[test]
fn jobs_whose_tasks_end_far_apart_complete_across_leader_changes() {
    let (mut world, _) = running_jobs(4);
    for number in 4..8 {
        world.submit(0, job(number, 2 + number % 2));
    }
    world.run(secs(3));
    // The tasks of a job end at slightly different times; one of each job ends long before the others.
    for worker in world.workers.values_mut() {
        for task in worker.tasks.iter_mut().filter(|t| t.name.ends_with("/0") && t.name > "wk-000003".into()) {
            task.until = world.now + secs(1);
        }
    }
    for _ in 0..3 {
        world.run(secs(3));
        let leader = world.leader().expect("a leader");
        world.crash(leader);
        world.run(secs(6));
        world.start_node(leader);
        for number in 4..8 {
            (0..3).for_each(|node| world.ask_status(node, &format!("wk-{number:06}")));
        }
    }
    assert!(world.terms.len() > 3, "the leader did not change");
    check_recovery(&mut world);
    for number in 4..8 {
        assert_eq!(world.state(1, &format!("wk-{number:06}")), Some(JobStatus::Done));
    }
}

#[test]
fn team_at_its_limit_waits_for_cancelled_tasks_on_unresponsive_machines() {
    // The team uses 64 of its 64 CPUs. What a cancelled job may still use counts until it is proven
    // to be gone, for the leader that cancelled and for the next one.
    for fault in ["partitioned", "hung", "unreachable"] {
        for takeover in [false, true] {
            let mut world = World::with(6, Policy { idle_timeout: secs(300), ..Policy::default() }, &["a"]);
            world.run(secs(6));
            (1..5).for_each(|id| assert_eq!(world.submit(0, service(id, 16)), Some(201)));
            world.run(secs(8));
            let used: usize = (1..5).map(|id| world.where_runs(&format!("wk-{id:06}")).len()).sum();
            assert_eq!(used, 64, "the team is not at its limit");
            let leader = world.leader().expect("a leader");
            world.cloud.outage = true;
            let unresponsive: Vec<String> = hosts(&world, "wk-000001").into_iter().take(2).collect();
            for machine in unresponsive {
                match fault {
                    "partitioned" => drop(world.cut.insert(machine)),
                    "hung" => drop(world.hang.insert(machine, world.now + secs(11))),
                    _ => drop(world.deaf.insert(machine)),
                }
            }
            world.run(millis(100));
            cancel_until_confirmed(&mut world, next_node(leader), "wk-000001");
            // The replica fits only on an empty machine.
            world.submit(next_node(leader), JobSpec { cpus: 16.0, ..service(5, 1) });
            world.run(millis(200));
            if takeover {
                world.crash(leader);
            }
            world.run(secs(8));
            assert!(!world.where_runs("wk-000001").is_empty(), "{fault}: the cancelled tasks ended too early");
            assert!(world.where_runs("wk-000005").is_empty(), "{fault}: the new service did not wait");
            if takeover {
                world.start_node(leader);
            }
            world.run(secs(40));
            check_recovery(&mut world);
            assert_eq!(world.where_runs("wk-000005").len(), 1, "{fault}");
        }
    }
}

#[test]
fn replicas_start_once_while_machines_boot_writes_hang_and_the_leader_crashes() {
    let mut world = World::with(1, Policy::default(), &["a"]);
    world.boot = secs(1);
    world.run(secs(6));
    let leader = world.leader().expect("a leader");
    world.hold_txns.insert(leader, world.now + secs(9));
    (1..5).for_each(|id| world.ask_submit(next_node(leader), service(id, 12)));
    world.run(secs(4));
    assert!(world.workers.len() > 1, "no machine booted");
    world.crash(leader);
    world.run(millis(700));
    world.start_node(leader);
    world.run(secs(15));
    assert!(world.terms.len() > 1, "no new term began");
    check_recovery(&mut world);
    assert_eq!(world.started, 48, "each replica must start exactly once");
}

#[test]
fn all_controllers_are_down_for_longer_than_a_lease() {
    let (mut world, leader) = running_jobs(4);
    (0..3).for_each(|node| world.crash(node));
    world.run(secs(16));
    assert!(world.where_runs("wk-000001").is_empty(), "the leases have not expired");
    world.start_node(next_node(leader));
    world.run(secs(1));
    cancel_until_confirmed(&mut world, next_node(leader), "wk-000002");
    world.start_node(leader);
    world.start_node((leader + 2) % 3);
    check_recovery(&mut world);
    assert_eq!(world.where_runs("wk-000001").len(), 4);
}

#[test]
fn zone_with_the_leader_is_partitioned_for_longer_than_a_lease() {
    let (mut world, leader) = running_jobs(4);
    world.no_store.insert(leader);
    world.no_peers.insert(leader);
    let host = hosts(&world, "wk-000001").into_iter().next().expect("a host");
    let zone = world.workers[&host].zone.clone();
    let in_zone: Vec<String> =
        world.workers.values().filter(|worker| worker.zone == zone).map(|worker| worker.name.clone()).collect();
    world.cloud.outage = true;
    for machine in world.workers.keys().cloned().collect::<Vec<_>>() {
        // Machines in the zone reach only the old leader, all others only the other nodes.
        for node in 0..3 {
            if in_zone.contains(&machine) != (node == leader) {
                world.cut_links.insert((node, machine.clone()));
            }
        }
    }
    // Workers in the zone have found the node that still responds.
    for machine in &in_zone {
        let worker = world.workers.get_mut(machine).expect("the machine is up");
        (worker.node, worker.waiting) = (leader, None);
    }
    world.run(secs(6));
    assert!(world.two_led, "the old leader does not lead on in its zone");
    let new_leader = world.leader().expect("a leader");
    cancel_until_confirmed(&mut world, new_leader, "wk-000002");
    world.run(secs(10));
    let running = world.where_runs("wk-000001");
    assert!(
        running.iter().filter(|(_, machine)| *machine == host).count() > 0,
        "the service does not keep running in the zone: {running:?}"
    );
    world.run(secs(8));
    cancel_until_confirmed(&mut world, new_leader, "wk-000003");
    world.run(secs(10));
    assert!(world.where_runs("wk-000002").is_empty());
    check_recovery(&mut world);
}

#[test]
fn leader_changes_ten_times_in_two_minutes_also_during_outages() {
    let (mut world, _) = running_jobs(4);
    for round in 0..10 {
        let id = 10 + round;
        world.submit(round as usize % 3, job(id, 3));
        if round % 3 == 2 {
            world.store.outage = true;
        }
        world.run(secs(1));
        let leader = world.leader().unwrap_or(round as usize % 3);
        world.crash(leader);
        world.run(millis(if round % 2 == 0 { 300 } else { 4000 }));
        world.start_node(leader);
        world.run(secs(3));
        if world.store.outage {
            let now = world.now;
            world.store.end_outage(now);
        }
        world.run(secs(5));
        if round % 3 == 1 {
            world.cancel(leader, &format!("wk-{id:06}"));
        }
    }
    assert!(world.terms.len() > 8, "only {} terms", world.terms.len());
    check_recovery(&mut world);
}

#[test]
fn machines_whose_reports_are_lost_get_no_further_tasks() {
    // The machines respond to direct calls, so they seem alive; but their leases keep expiring.
    let (mut world, _) = running_jobs(4);
    let affected: Vec<String> = hosts(&world, "wk-000001").into_iter().collect();
    world.mute.extend(affected.clone());
    world.run(secs(20));
    assert!(world.workers[&affected[0]].session > 1, "the lease did not expire");
    let started_before = world.started;
    world.run(secs(30));
    assert!(
        world.started <= started_before + 8,
        "{} starts on machines that lose their tasks",
        world.started - started_before
    );
    assert_eq!(world.where_runs("wk-000001").len(), 4);
    assert!(world.where_runs("wk-000001").iter().all(|(_, machine)| !affected.contains(machine)));
    check_recovery(&mut world);
}

#[test]
fn cancelled_task_does_not_resume_after_its_machine_hung() {
    for takeover in [false, true] {
        let (mut world, leader) = running_jobs(4);
        let machines = hosts(&world, "wk-000001");
        world.cloud.outage = true;
        for machine in &machines {
            world.hang.insert(machine.clone(), world.now + secs(10));
        }
        cancel_until_confirmed(&mut world, next_node(leader), "wk-000001");
        if takeover {
            world.crash(leader);
        }
        world.run(secs(9));
        assert!(!world.where_runs("wk-000001").is_empty(), "tasks ended although their leases were valid");
        world.run(millis(3500));
        assert!(world.where_runs("wk-000001").is_empty(), "tasks were not stopped as soon as their machines resumed");
        world.start_node(leader);
        check_recovery(&mut world);
    }
}

#[test]
fn arrays_bound_to_one_zone_complete_after_the_loss_of_its_machines() {
    let (mut world, leader) = running_jobs(4);
    let mut in_zone_a = job(4, 8);
    in_zone_a.zone = Some("a".into());
    world.submit(0, in_zone_a);
    let mut in_one_zone = job(5, 6);
    in_one_zone.one_zone = true;
    world.submit(1, in_one_zone);
    world.run(secs(4));
    let lost: Vec<String> = hosts(&world, "wk-000004").union(&hosts(&world, "wk-000005")).cloned().collect();
    for machine in &lost {
        world.workers.remove(machine);
        world.cloud.machines.remove(machine);
    }
    world.crash(leader);
    world.run(secs(2));
    world.start_node(leader);
    world.run(secs(60));
    check_recovery(&mut world);
    assert_eq!(world.state(0, "wk-000004"), Some(JobStatus::Done));
    assert_eq!(world.state(0, "wk-000005"), Some(JobStatus::Done));
}
