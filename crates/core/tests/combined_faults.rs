//! Meetings of two troubles. Each story brings one about, shows that it did occur, and ends
//! with the checks of a day's end; the world checks the users' rules at every step.

use rushyoke_core::Policy;
use rushyoke_testkit::{World, job, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Kind};
use std::collections::BTreeSet;

/// Services 1 and 2 of four replicas each and array 3 of eight long tasks, at work on machines
/// of two zones.
fn at_work(machines: usize) -> (World, usize) {
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
    let leader = world.leader().expect("a lead");
    (world, leader)
}

fn other_than(node: usize) -> usize {
    (node + 1) % 3
}

fn cancel(world: &mut World, node: usize, id: &str) {
    for _ in 0..60 {
        let told = world.cancel(node, id).and_then(|(_, view)| view).map(|view| view.state);
        if told == Some(JobStatus::Cancelled) {
            return;
        }
        world.run(millis(300));
    }
    panic!("{id} cannot be cancelled at node {node}");
}

fn hosts(world: &World, id: &str) -> BTreeSet<String> {
    world.where_runs(id).into_iter().map(|(_, machine)| machine).collect()
}

/// Troubles are over: all that was accepted and is wanted runs or ends, all else is gone.
fn ends_well(world: &mut World) {
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
fn work_changes_hands_while_its_jobs_are_cancelled() {
    // Cancelled before, while and after the leader's lease ends, on either of the nodes that stay.
    for moment in [0, 400, 900, 1500, 2100, 2300, 2600, 3500] {
        let (mut world, leader) = at_work(4);
        let terms = world.terms.len();
        world.crash(leader);
        world.run(millis(moment));
        cancel(&mut world, other_than(leader), "wk-000001");
        cancel(&mut world, (leader + 2) % 3, "wk-000003");
        world.run(secs(10));
        assert!(world.terms.len() > terms, "{moment}: another lead");
        assert!(world.where_runs("wk-000001").is_empty() && world.where_runs("wk-000003").is_empty(), "{moment}");
        world.start_node(leader);
        assert_eq!(world.late_starts, 0);
        ends_well(&mut world);
    }
}

#[test]
fn a_leader_without_store_and_peers_serves_its_workers_while_another_cancels() {
    let (mut world, old) = at_work(4);
    world.no_store.insert(old);
    world.no_peers.insert(old);
    world.run(secs(5));
    let new = world.leader().expect("a lead");
    assert!(new != old && world.two_led, "two lead");
    cancel(&mut world, new, "wk-000001");
    for node in 0..3 {
        world.ask_status(node, "wk-000001");
        world.ask_submit(node, service(1, 4));
    }
    world.run(secs(32));
    assert!(world.where_runs("wk-000001").is_empty());
    ends_well(&mut world);
}

#[test]
fn reports_kept_for_the_next_leader_prove_nothing_there() {
    // They come as it begins, or once it has acted, and do not list what began since.
    for after in [0, 300, 900, 3000] {
        let (mut world, leader) = at_work(3);
        world.keep_for_next = Some(millis(after));
        world.run(secs(3));
        world.submit(leader, service(4, 12));
        world.run(secs(3));
        let before = (world.where_runs("wk-000001"), world.where_runs("wk-000004"));
        world.cloud.outage = true;
        let silent = hosts(&world, "wk-000004").into_iter().next().expect("a host");
        world.cut.insert(silent);
        world.crash(leader);
        world.run(secs(9));
        assert!(world.came_to_next > 5, "old reports came to the new lead");
        assert!(world.leader().is_some_and(|new| new != leader));
        assert_eq!((world.where_runs("wk-000001"), world.where_runs("wk-000004")), before);
        world.start_node(leader);
        world.run(secs(30));
        ends_well(&mut world);
    }
}

#[test]
fn jobs_whose_tasks_end_far_apart_end_once_across_leads() {
    let (mut world, _) = at_work(4);
    for id in 4..8 {
        world.submit(0, job(id, 2 + id % 2));
    }
    world.run(secs(3));
    // The tasks of a job end a little apart; one of each is made to end long before the others.
    for worker in world.workers.values_mut() {
        for task in worker.tasks.iter_mut().filter(|t| t.name.ends_with("/0") && t.name > "wk-000003".into()) {
            task.until = world.now + secs(1);
        }
    }
    for _ in 0..3 {
        world.run(secs(3));
        let leader = world.leader().expect("a lead");
        world.crash(leader);
        world.run(secs(6));
        world.start_node(leader);
        for id in 4..8 {
            (0..3).for_each(|node| world.ask_status(node, &format!("wk-{id:06}")));
        }
    }
    assert!(world.terms.len() > 3, "the leader changed");
    ends_well(&mut world);
    for id in 4..8 {
        assert_eq!(world.state(1, &format!("wk-{id:06}")), Some(JobStatus::Done));
    }
}

#[test]
fn a_team_at_its_limit_waits_for_cancelled_tasks_on_machines_out_of_reach() {
    // 64 CPUs of 64; what a cancelled job may still hold counts until it is proven gone, for the
    // leader that cancelled and for the next one.
    for trouble in ["cut", "hang", "deaf"] {
        for takeover in [false, true] {
            let mut world = World::with(6, Policy { idle_timeout: secs(300), ..Policy::default() }, &["a"]);
            world.run(secs(6));
            (1..5).for_each(|id| assert_eq!(world.submit(0, service(id, 16)), Some(201)));
            world.run(secs(8));
            let used: usize = (1..5).map(|id| world.where_runs(&format!("wk-{id:06}")).len()).sum();
            assert_eq!(used, 64, "the team is at its limit");
            let leader = world.leader().expect("a lead");
            world.cloud.outage = true;
            let out_of_reach: Vec<String> = hosts(&world, "wk-000001").into_iter().take(2).collect();
            for machine in out_of_reach {
                match trouble {
                    "cut" => drop(world.cut.insert(machine)),
                    "hang" => drop(world.hang.insert(machine, world.now + secs(11))),
                    _ => drop(world.deaf.insert(machine)),
                }
            }
            world.run(millis(100));
            cancel(&mut world, other_than(leader), "wk-000001");
            // It fits on no machine but an empty one.
            world.submit(other_than(leader), JobSpec { cpus: 16.0, ..service(5, 1) });
            world.run(millis(200));
            if takeover {
                world.crash(leader);
            }
            world.run(secs(8));
            assert!(!world.where_runs("wk-000001").is_empty(), "{trouble}: still there, as far as anybody can tell");
            assert!(world.where_runs("wk-000005").is_empty(), "{trouble}: it waits");
            if takeover {
                world.start_node(leader);
            }
            world.run(secs(40));
            ends_well(&mut world);
            assert_eq!(world.where_runs("wk-000005").len(), 1, "{trouble}");
        }
    }
}

#[test]
fn new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends() {
    let mut world = World::with(1, Policy::default(), &["a"]);
    world.boot = secs(1);
    world.run(secs(6));
    let leader = world.leader().expect("a lead");
    world.hold_txns.insert(leader, world.now + secs(9));
    (1..5).for_each(|id| world.ask_submit(other_than(leader), service(id, 12)));
    world.run(secs(4));
    assert!(world.workers.len() > 1, "machines came up at once");
    world.crash(leader);
    world.run(millis(700));
    world.start_node(leader);
    world.run(secs(15));
    assert!(world.terms.len() > 1, "another term");
    ends_well(&mut world);
    assert_eq!(world.started, 48, "each replica began once");
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    let (mut world, leader) = at_work(4);
    (0..3).for_each(|node| world.crash(node));
    world.run(secs(16));
    assert!(world.where_runs("wk-000001").is_empty(), "the leases have ended");
    world.start_node(other_than(leader));
    world.run(secs(1));
    cancel(&mut world, other_than(leader), "wk-000002");
    world.start_node(leader);
    world.start_node((leader + 2) % 3);
    ends_well(&mut world);
    assert_eq!(world.where_runs("wk-000001").len(), 4);
}

#[test]
fn a_zone_with_its_workers_and_the_leader_is_cut_off_for_longer_than_a_lease() {
    let (mut world, leader) = at_work(4);
    world.no_store.insert(leader);
    world.no_peers.insert(leader);
    let host = hosts(&world, "wk-000001").into_iter().next().expect("a host");
    let zone = world.workers[&host].zone.clone();
    let inside: Vec<String> = world.workers.values().filter(|w| w.zone == zone).map(|w| w.name.clone()).collect();
    world.cloud.outage = true;
    for machine in world.workers.keys().cloned().collect::<Vec<_>>() {
        // Inside only the old leader is reached, outside only the others.
        for node in 0..3 {
            if inside.contains(&machine) != (node == leader) {
                world.cut_links.insert((node, machine.clone()));
            }
        }
    }
    // Inside, workers find the one that still answers.
    for machine in &inside {
        let worker = world.workers.get_mut(machine).expect("it is up");
        (worker.node, worker.waiting) = (leader, None);
    }
    world.run(secs(6));
    assert!(world.two_led, "the old leader leads on inside");
    let new = world.leader().expect("a lead");
    cancel(&mut world, new, "wk-000002");
    world.run(secs(10));
    let ran = world.where_runs("wk-000001");
    assert!(ran.iter().filter(|(_, machine)| *machine == host).count() > 0, "its work goes on inside: {ran:?}");
    world.run(secs(8));
    cancel(&mut world, new, "wk-000003");
    world.run(secs(10));
    assert!(world.where_runs("wk-000002").is_empty());
    ends_well(&mut world);
}

#[test]
fn leads_change_ten_times_in_two_minutes_also_inside_an_outage() {
    let (mut world, _) = at_work(4);
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
    assert!(world.terms.len() > 8, "{} terms", world.terms.len());
    ends_well(&mut world);
}

#[test]
fn machines_whose_reports_get_lost_hear_commands_and_no_work_is_wasted_on_them() {
    // They answer direct calls, so that they seem to live; but their leases end again and again.
    let (mut world, _) = at_work(4);
    let mute: Vec<String> = hosts(&world, "wk-000001").into_iter().collect();
    world.mute.extend(mute.clone());
    world.run(secs(20));
    assert!(world.workers[&mute[0]].session > 1, "its lease ended");
    let began = world.started;
    world.run(secs(30));
    assert!(world.started <= began + 8, "{} starts on machines that keep nothing", world.started - began);
    assert_eq!(world.where_runs("wk-000001").len(), 4);
    assert!(world.where_runs("wk-000001").iter().all(|(_, machine)| !mute.contains(machine)));
    ends_well(&mut world);
}

#[test]
fn a_cancelled_task_does_not_go_on_after_its_machine_hung() {
    for takeover in [false, true] {
        let (mut world, leader) = at_work(4);
        let machines = hosts(&world, "wk-000001");
        world.cloud.outage = true;
        for machine in &machines {
            world.hang.insert(machine.clone(), world.now + secs(10));
        }
        cancel(&mut world, other_than(leader), "wk-000001");
        if takeover {
            world.crash(leader);
        }
        world.run(secs(9));
        assert!(!world.where_runs("wk-000001").is_empty(), "within their leases");
        world.run(millis(3500));
        assert!(world.where_runs("wk-000001").is_empty(), "stopped as soon as they went on");
        world.start_node(leader);
        ends_well(&mut world);
    }
}

#[test]
fn arrays_bound_to_one_zone_lose_its_machines() {
    let (mut world, leader) = at_work(4);
    let mut bound = job(4, 8);
    bound.zone = Some("a".into());
    world.submit(0, bound);
    let mut together = job(5, 6);
    together.one_zone = true;
    world.submit(1, together);
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
    ends_well(&mut world);
    assert_eq!(world.state(0, "wk-000004"), Some(JobStatus::Done));
    assert_eq!(world.state(0, "wk-000005"), Some(JobStatus::Done));
}
