//! Meetings of two troubles. Each story brings one about, shows that it did occur, and ends
//! with the checks of a day's end; the world checks the users' rules at every step.

use rushyoke_core::Policy;
use rushyoke_testkit::{Simulation, job, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Kind};
use std::collections::BTreeSet;

/// Services 1 and 2 of four replicas each and array 3 of eight long tasks, at work on machines
/// of two zones.
fn at_work(machines: usize) -> (Simulation, usize) {
    let mut simulation = Simulation::with_policy(machines, Policy::default(), &["a", "b"]);
    simulation.task_duration_s = 40.0;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 40.0);
    simulation.run(secs(6));
    simulation.submit(0, service(1, 4));
    simulation.submit(1, service(2, 4));
    simulation.submit(2, job(3, 8));
    simulation.run(secs(5));
    for id in ["wk-000001", "wk-000002"] {
        assert_eq!(simulation.running_tasks(id).len(), 4);
    }
    assert_eq!(simulation.running_tasks("wk-000003").len(), 8);
    let leader = simulation.leader().expect("a lead");
    (simulation, leader)
}

fn other_than(node: usize) -> usize {
    (node + 1) % 3
}

fn cancel(simulation: &mut Simulation, node: usize, id: &str) {
    for _ in 0..60 {
        let told = simulation.cancel(node, id).and_then(|(_, view)| view).map(|view| view.state);
        if told == Some(JobStatus::Cancelled) {
            return;
        }
        simulation.run(millis(300));
    }
    panic!("{id} cannot be cancelled at node {node}");
}

fn hosts(simulation: &Simulation, id: &str) -> BTreeSet<String> {
    simulation.running_tasks(id).into_iter().map(|(_, machine)| machine).collect()
}

/// Troubles are over: all that was accepted and is wanted runs or ends, all else is gone.
fn ends_well(simulation: &mut Simulation) {
    simulation.clear_faults();
    simulation.check_recovered();
    for id in simulation.checker.accepted_jobs() {
        let state = simulation.job_state(0, &id);
        let running = simulation.running_tasks(&id).len() as u32;
        let spec = &simulation.specs[&id];
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
        let (mut simulation, leader) = at_work(4);
        let terms = simulation.terms.len();
        simulation.crash_node(leader);
        simulation.run(millis(moment));
        cancel(&mut simulation, other_than(leader), "wk-000001");
        cancel(&mut simulation, (leader + 2) % 3, "wk-000003");
        simulation.run(secs(10));
        assert!(simulation.terms.len() > terms, "{moment}: another lead");
        assert!(
            simulation.running_tasks("wk-000001").is_empty() && simulation.running_tasks("wk-000003").is_empty(),
            "{moment}"
        );
        simulation.start_node(leader);
        assert_eq!(simulation.starts_after_cancel, 0);
        ends_well(&mut simulation);
    }
}

#[test]
fn a_leader_without_store_and_peers_serves_its_workers_while_another_cancels() {
    let (mut simulation, old) = at_work(4);
    simulation.partitioned_from_store.insert(old);
    simulation.partitioned_from_peers.insert(old);
    simulation.run(secs(5));
    let new = simulation.leader().expect("a lead");
    assert!(new != old && simulation.had_two_leaders, "two lead");
    cancel(&mut simulation, new, "wk-000001");
    for node in 0..3 {
        simulation.send_status_request(node, "wk-000001");
        simulation.send_submission(node, service(1, 4));
    }
    simulation.run(secs(32));
    assert!(simulation.running_tasks("wk-000001").is_empty());
    ends_well(&mut simulation);
}

#[test]
fn reports_kept_for_the_next_leader_prove_nothing_there() {
    // They come as it begins, or once it has acted, and do not list what began since.
    for after in [0, 300, 900, 3000] {
        let (mut simulation, leader) = at_work(3);
        simulation.replay_reports_after = Some(millis(after));
        simulation.run(secs(3));
        simulation.submit(leader, service(4, 12));
        simulation.run(secs(3));
        let before = (simulation.running_tasks("wk-000001"), simulation.running_tasks("wk-000004"));
        simulation.cloud.outage = true;
        let silent = hosts(&simulation, "wk-000004").into_iter().next().expect("a host");
        simulation.partitioned_machines.insert(silent);
        simulation.crash_node(leader);
        simulation.run(secs(9));
        assert!(simulation.replayed_reports > 5, "old reports came to the new lead");
        assert!(simulation.leader().is_some_and(|new| new != leader));
        assert_eq!((simulation.running_tasks("wk-000001"), simulation.running_tasks("wk-000004")), before);
        simulation.start_node(leader);
        simulation.run(secs(30));
        ends_well(&mut simulation);
    }
}

#[test]
fn jobs_whose_tasks_end_far_apart_end_once_across_leads() {
    let (mut simulation, _) = at_work(4);
    for id in 4..8 {
        simulation.submit(0, job(id, 2 + id % 2));
    }
    simulation.run(secs(3));
    // The tasks of a job end a little apart; one of each is made to end long before the others.
    for worker in simulation.workers.values_mut() {
        for task in worker.tasks.iter_mut().filter(|t| t.name.ends_with("/0") && t.name > "wk-000003".into()) {
            task.state_ends_at = simulation.now + secs(1);
        }
    }
    for _ in 0..3 {
        simulation.run(secs(3));
        let leader = simulation.leader().expect("a lead");
        simulation.crash_node(leader);
        simulation.run(secs(6));
        simulation.start_node(leader);
        for id in 4..8 {
            (0..3).for_each(|node| simulation.send_status_request(node, &format!("wk-{id:06}")));
        }
    }
    assert!(simulation.terms.len() > 3, "the leader changed");
    ends_well(&mut simulation);
    for id in 4..8 {
        assert_eq!(simulation.job_state(1, &format!("wk-{id:06}")), Some(JobStatus::Done));
    }
}

#[test]
fn a_team_at_its_limit_waits_for_cancelled_tasks_on_machines_out_of_reach() {
    // 64 CPUs of 64; what a cancelled job may still hold counts until it is proven gone, for the
    // leader that cancelled and for the next one.
    for trouble in ["cut", "hang", "deaf"] {
        for takeover in [false, true] {
            let mut simulation =
                Simulation::with_policy(6, Policy { idle_timeout: secs(300), ..Policy::default() }, &["a"]);
            simulation.run(secs(6));
            (1..5).for_each(|id| assert_eq!(simulation.submit(0, service(id, 16)), Some(201)));
            simulation.run(secs(8));
            let used: usize = (1..5).map(|id| simulation.running_tasks(&format!("wk-{id:06}")).len()).sum();
            assert_eq!(used, 64, "the team is at its limit");
            let leader = simulation.leader().expect("a lead");
            simulation.cloud.outage = true;
            let out_of_reach: Vec<String> = hosts(&simulation, "wk-000001").into_iter().take(2).collect();
            for machine in out_of_reach {
                match trouble {
                    "cut" => drop(simulation.partitioned_machines.insert(machine)),
                    "hang" => drop(simulation.frozen_until.insert(machine, simulation.now + secs(11))),
                    _ => drop(simulation.lost_inbound.insert(machine)),
                }
            }
            simulation.run(millis(100));
            cancel(&mut simulation, other_than(leader), "wk-000001");
            // It fits on no machine but an empty one.
            simulation.submit(other_than(leader), JobSpec { cpus: 16.0, ..service(5, 1) });
            simulation.run(millis(200));
            if takeover {
                simulation.crash_node(leader);
            }
            simulation.run(secs(8));
            assert!(
                !simulation.running_tasks("wk-000001").is_empty(),
                "{trouble}: still there, as far as anybody can tell"
            );
            assert!(simulation.running_tasks("wk-000005").is_empty(), "{trouble}: it waits");
            if takeover {
                simulation.start_node(leader);
            }
            simulation.run(secs(40));
            ends_well(&mut simulation);
            assert_eq!(simulation.running_tasks("wk-000005").len(), 1, "{trouble}");
        }
    }
}

#[test]
fn new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends() {
    let mut simulation = Simulation::with_policy(1, Policy::default(), &["a"]);
    simulation.boot_time = secs(1);
    simulation.run(secs(6));
    let leader = simulation.leader().expect("a lead");
    simulation.timed_out_txns_until.insert(leader, simulation.now + secs(9));
    (1..5).for_each(|id| simulation.send_submission(other_than(leader), service(id, 12)));
    simulation.run(secs(4));
    assert!(simulation.workers.len() > 1, "machines came up at once");
    simulation.crash_node(leader);
    simulation.run(millis(700));
    simulation.start_node(leader);
    simulation.run(secs(15));
    assert!(simulation.terms.len() > 1, "another term");
    ends_well(&mut simulation);
    assert_eq!(simulation.started_tasks, 48, "each replica began once");
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    let (mut simulation, leader) = at_work(4);
    (0..3).for_each(|node| simulation.crash_node(node));
    simulation.run(secs(16));
    assert!(simulation.running_tasks("wk-000001").is_empty(), "the leases have ended");
    simulation.start_node(other_than(leader));
    simulation.run(secs(1));
    cancel(&mut simulation, other_than(leader), "wk-000002");
    simulation.start_node(leader);
    simulation.start_node((leader + 2) % 3);
    ends_well(&mut simulation);
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
}

#[test]
fn a_zone_with_its_workers_and_the_leader_is_cut_off_for_longer_than_a_lease() {
    let (mut simulation, leader) = at_work(4);
    simulation.partitioned_from_store.insert(leader);
    simulation.partitioned_from_peers.insert(leader);
    let host = hosts(&simulation, "wk-000001").into_iter().next().expect("a host");
    let zone = simulation.workers[&host].zone.clone();
    let inside: Vec<String> = simulation.workers.values().filter(|w| w.zone == zone).map(|w| w.name.clone()).collect();
    simulation.cloud.outage = true;
    for machine in simulation.workers.keys().cloned().collect::<Vec<_>>() {
        // Inside only the old leader is reached, outside only the others.
        for node in 0..3 {
            if inside.contains(&machine) != (node == leader) {
                simulation.partitioned_links.insert((node, machine.clone()));
            }
        }
    }
    // Inside, workers find the one that still answers.
    for machine in &inside {
        let worker = simulation.workers.get_mut(machine).expect("it is up");
        (worker.node, worker.pending_report) = (leader, None);
    }
    simulation.run(secs(6));
    assert!(simulation.had_two_leaders, "the old leader leads on inside");
    let new = simulation.leader().expect("a lead");
    cancel(&mut simulation, new, "wk-000002");
    simulation.run(secs(10));
    let ran = simulation.running_tasks("wk-000001");
    assert!(ran.iter().filter(|(_, machine)| *machine == host).count() > 0, "its work goes on inside: {ran:?}");
    simulation.run(secs(8));
    cancel(&mut simulation, new, "wk-000003");
    simulation.run(secs(10));
    assert!(simulation.running_tasks("wk-000002").is_empty());
    ends_well(&mut simulation);
}

#[test]
fn leads_change_ten_times_in_two_minutes_also_inside_an_outage() {
    let (mut simulation, _) = at_work(4);
    for round in 0..10 {
        let id = 10 + round;
        simulation.submit(round as usize % 3, job(id, 3));
        if round % 3 == 2 {
            simulation.store.outage = true;
        }
        simulation.run(secs(1));
        let leader = simulation.leader().unwrap_or(round as usize % 3);
        simulation.crash_node(leader);
        simulation.run(millis(if round % 2 == 0 { 300 } else { 4000 }));
        simulation.start_node(leader);
        simulation.run(secs(3));
        if simulation.store.outage {
            let now = simulation.now;
            simulation.store.end_outage(now);
        }
        simulation.run(secs(5));
        if round % 3 == 1 {
            simulation.cancel(leader, &format!("wk-{id:06}"));
        }
    }
    assert!(simulation.terms.len() > 8, "{} terms", simulation.terms.len());
    ends_well(&mut simulation);
}

#[test]
fn machines_whose_reports_get_lost_hear_commands_and_no_work_is_wasted_on_them() {
    // They answer direct calls, so that they seem to live; but their leases end again and again.
    let (mut simulation, _) = at_work(4);
    let mute: Vec<String> = hosts(&simulation, "wk-000001").into_iter().collect();
    simulation.lost_reports.extend(mute.clone());
    simulation.run(secs(20));
    assert!(simulation.workers[&mute[0]].session > 1, "its lease ended");
    let began = simulation.started_tasks;
    simulation.run(secs(30));
    assert!(
        simulation.started_tasks <= began + 8,
        "{} starts on machines that keep nothing",
        simulation.started_tasks - began
    );
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
    assert!(simulation.running_tasks("wk-000001").iter().all(|(_, machine)| !mute.contains(machine)));
    ends_well(&mut simulation);
}

#[test]
fn a_cancelled_task_does_not_go_on_after_its_machine_hung() {
    for takeover in [false, true] {
        let (mut simulation, leader) = at_work(4);
        let machines = hosts(&simulation, "wk-000001");
        simulation.cloud.outage = true;
        for machine in &machines {
            simulation.frozen_until.insert(machine.clone(), simulation.now + secs(10));
        }
        cancel(&mut simulation, other_than(leader), "wk-000001");
        if takeover {
            simulation.crash_node(leader);
        }
        simulation.run(secs(9));
        assert!(!simulation.running_tasks("wk-000001").is_empty(), "within their leases");
        simulation.run(millis(3500));
        assert!(simulation.running_tasks("wk-000001").is_empty(), "stopped as soon as they went on");
        simulation.start_node(leader);
        ends_well(&mut simulation);
    }
}

#[test]
fn arrays_bound_to_one_zone_lose_its_machines() {
    let (mut simulation, leader) = at_work(4);
    let mut bound = job(4, 8);
    bound.zone = Some("a".into());
    simulation.submit(0, bound);
    let mut together = job(5, 6);
    together.one_zone = true;
    simulation.submit(1, together);
    simulation.run(secs(4));
    let lost: Vec<String> = hosts(&simulation, "wk-000004").union(&hosts(&simulation, "wk-000005")).cloned().collect();
    for machine in &lost {
        simulation.workers.remove(machine);
        simulation.cloud.machines.remove(machine);
    }
    simulation.crash_node(leader);
    simulation.run(secs(2));
    simulation.start_node(leader);
    simulation.run(secs(60));
    ends_well(&mut simulation);
    assert_eq!(simulation.job_state(0, "wk-000004"), Some(JobStatus::Done));
    assert_eq!(simulation.job_state(0, "wk-000005"), Some(JobStatus::Done));
}
