//! Scenario tests of combinations of two faults. Each scenario injects them, asserts that they
//! occurred, and ends with the checks for a recovered deployment; the simulation checks the
//! invariants that users rely on at every step.

use rushyoke_core::Policy;
use rushyoke_testkit::{Simulation, job, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Kind};
use std::collections::BTreeSet;

/// Returns a simulation in which services 1 and 2 of four replicas each and array 3 of eight long tasks
/// run on machines of two zones, and the current leader.
fn running_jobs(machines: usize) -> (Simulation, usize) {
    let mut simulation = Simulation::with_policy(machines, Policy::default(), &["a", "b"]);
    simulation.set_task_duration(40.0);
    simulation.run(secs(6));
    simulation.submit(0, service(1, 4));
    simulation.submit(1, service(2, 4));
    simulation.submit(2, job(3, 8));
    simulation.run(secs(5));
    for id in ["wk-000001", "wk-000002"] {
        assert_eq!(simulation.running_tasks(id).len(), 4);
    }
    assert_eq!(simulation.running_tasks("wk-000003").len(), 8);
    let leader = simulation.leader().expect("a leader");
    (simulation, leader)
}

/// Returns the node after the given one, in cyclic order.
fn next_node(node: usize) -> usize {
    (node + 1) % 3
}

/// Cancels a job at a node, and retries until the node confirms it.
fn cancel_until_confirmed(simulation: &mut Simulation, node: usize, id: &str) {
    for _ in 0..60 {
        let state = simulation.cancel(node, id).and_then(|(_, view)| view).map(|view| view.state);
        if state == Some(JobStatus::Cancelled) {
            return;
        }
        simulation.run(millis(300));
    }
    panic!("{id} cannot be cancelled at node {node}");
}

/// Returns the machines on which tasks of a job run.
fn hosts(simulation: &Simulation, id: &str) -> BTreeSet<String> {
    simulation.running_tasks(id).into_iter().map(|(_, machine)| machine).collect()
}

/// Ends all faults, and checks that every accepted job that is still wanted runs or completes, and
/// that no other task runs.
fn check_recovery(simulation: &mut Simulation) {
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
fn jobs_cancelled_during_a_takeover_stop() {
    // The jobs are cancelled at the two remaining nodes, before, while and after the leader's lease expires.
    for delay_ms in [0, 400, 900, 1500, 2100, 2300, 2600, 3500] {
        let (mut simulation, leader) = running_jobs(4);
        let terms = simulation.terms.len();
        simulation.crash_node(leader);
        simulation.run(millis(delay_ms));
        cancel_until_confirmed(&mut simulation, next_node(leader), "wk-000001");
        cancel_until_confirmed(&mut simulation, (leader + 2) % 3, "wk-000003");
        simulation.run(secs(10));
        assert!(simulation.terms.len() > terms, "{delay_ms} ms: no other node led");
        assert!(
            simulation.running_tasks("wk-000001").is_empty() && simulation.running_tasks("wk-000003").is_empty(),
            "{delay_ms} ms"
        );
        simulation.start_node(leader);
        assert_eq!(simulation.starts_after_cancel, 0);
        check_recovery(&mut simulation);
    }
}

#[test]
fn job_cancelled_at_the_new_leader_stops_on_workers_of_the_isolated_old_leader() {
    let (mut simulation, old_leader) = running_jobs(4);
    simulation.partitioned_from_store.insert(old_leader);
    simulation.partitioned_from_peers.insert(old_leader);
    simulation.run(secs(5));
    let new_leader = simulation.leader().expect("a leader");
    assert!(new_leader != old_leader && simulation.had_two_leaders, "only one node leads");
    cancel_until_confirmed(&mut simulation, new_leader, "wk-000001");
    for node in 0..3 {
        simulation.send_status_request(node, "wk-000001");
        simulation.send_submission(node, service(1, 4));
    }
    simulation.run(secs(32));
    assert!(simulation.running_tasks("wk-000001").is_empty());
    check_recovery(&mut simulation);
}

#[test]
fn old_reports_that_reach_a_new_leader_move_no_tasks() {
    // The old reports arrive when the new leader starts, or once it has acted, and do not list the
    // tasks started since.
    for delay_ms in [0, 300, 900, 3000] {
        let (mut simulation, leader) = running_jobs(3);
        simulation.replay_reports_after = Some(millis(delay_ms));
        simulation.run(secs(3));
        simulation.submit(leader, service(4, 12));
        simulation.run(secs(3));
        let before = (simulation.running_tasks("wk-000001"), simulation.running_tasks("wk-000004"));
        simulation.cloud.outage = true;
        let partitioned = hosts(&simulation, "wk-000004").into_iter().next().expect("a host");
        simulation.partitioned_machines.insert(partitioned);
        simulation.crash_node(leader);
        simulation.run(secs(9));
        assert!(simulation.replayed_reports > 5, "too few old reports reached the new leader");
        assert!(simulation.leader().is_some_and(|node| node != leader));
        assert_eq!((simulation.running_tasks("wk-000001"), simulation.running_tasks("wk-000004")), before);
        simulation.start_node(leader);
        simulation.run(secs(30));
        check_recovery(&mut simulation);
    }
}

#[test]
fn jobs_whose_tasks_end_far_apart_complete_across_leader_changes() {
    let (mut simulation, _) = running_jobs(4);
    for number in 4..8 {
        simulation.submit(0, job(number, 2 + number % 2));
    }
    simulation.run(secs(3));
    // The tasks of a job end at slightly different times; one of each job ends long before the others.
    for worker in simulation.workers.values_mut() {
        for task in worker.tasks.iter_mut().filter(|task| task.name.ends_with("/0") && task.name > "wk-000003".into()) {
            task.state_ends_at = simulation.now + secs(1);
        }
    }
    for _ in 0..3 {
        simulation.run(secs(3));
        let leader = simulation.leader().expect("a leader");
        simulation.restart_node(leader, secs(6));
        for number in 4..8 {
            (0..3).for_each(|node| simulation.send_status_request(node, &format!("wk-{number:06}")));
        }
    }
    assert!(simulation.terms.len() > 3, "the leader did not change");
    check_recovery(&mut simulation);
    for number in 4..8 {
        assert_eq!(simulation.job_state(1, &format!("wk-{number:06}")), Some(JobStatus::Done));
    }
}

#[test]
fn team_at_its_limit_waits_for_cancelled_tasks_on_unresponsive_machines() {
    // The team uses 64 of its 64 CPUs. CPUs that a cancelled job may still use count until its tasks
    // are confirmed gone, for the leader that cancelled the job and for the next one.
    for fault in ["partitioned", "frozen", "inbound messages lost"] {
        for takeover in [false, true] {
            let mut simulation =
                Simulation::with_policy(6, Policy { idle_timeout: secs(300), ..Policy::default() }, &["a"]);
            simulation.run(secs(6));
            (1..5).for_each(|id| assert_eq!(simulation.submit(0, service(id, 16)), Some(201)));
            simulation.run(secs(8));
            let used: usize = (1..5).map(|id| simulation.running_tasks(&format!("wk-{id:06}")).len()).sum();
            assert_eq!(used, 64, "the team is not at its limit");
            let leader = simulation.leader().expect("a leader");
            simulation.cloud.outage = true;
            let unresponsive: Vec<String> = hosts(&simulation, "wk-000001").into_iter().take(2).collect();
            for machine in unresponsive {
                match fault {
                    "partitioned" => drop(simulation.partitioned_machines.insert(machine)),
                    "frozen" => drop(simulation.frozen_until.insert(machine, simulation.now + secs(11))),
                    _ => drop(simulation.lost_inbound.insert(machine)),
                }
            }
            simulation.run(millis(100));
            cancel_until_confirmed(&mut simulation, next_node(leader), "wk-000001");
            // The replica fits only on an empty machine.
            simulation.submit(next_node(leader), JobSpec { cpus: 16.0, ..service(5, 1) });
            simulation.run(millis(200));
            if takeover {
                simulation.crash_node(leader);
            }
            simulation.run(secs(8));
            assert!(!simulation.running_tasks("wk-000001").is_empty(), "{fault}: the cancelled tasks ended too early");
            assert!(simulation.running_tasks("wk-000005").is_empty(), "{fault}: the new service did not wait");
            if takeover {
                simulation.start_node(leader);
            }
            simulation.run(secs(40));
            check_recovery(&mut simulation);
            assert_eq!(simulation.running_tasks("wk-000005").len(), 1, "{fault}");
        }
    }
}

#[test]
fn replicas_start_once_while_machines_boot_writes_hang_and_the_leader_crashes() {
    let mut simulation = Simulation::with_policy(1, Policy::default(), &["a"]);
    simulation.boot_time = secs(1);
    simulation.run(secs(6));
    let leader = simulation.leader().expect("a leader");
    simulation.timed_out_txns_until.insert(leader, simulation.now + secs(9));
    (1..5).for_each(|id| simulation.send_submission(next_node(leader), service(id, 12)));
    simulation.run(secs(4));
    assert!(simulation.workers.len() > 1, "no machine booted");
    simulation.restart_node(leader, millis(700));
    simulation.run(secs(15));
    assert!(simulation.terms.len() > 1, "no new term began");
    check_recovery(&mut simulation);
    assert_eq!(simulation.started_tasks, 48, "each replica must start exactly once");
}

#[test]
fn all_controllers_are_down_for_longer_than_a_lease() {
    let (mut simulation, leader) = running_jobs(4);
    (0..3).for_each(|node| simulation.crash_node(node));
    simulation.run(secs(16));
    assert!(simulation.running_tasks("wk-000001").is_empty(), "the leases have not expired");
    simulation.start_node(next_node(leader));
    simulation.run(secs(1));
    cancel_until_confirmed(&mut simulation, next_node(leader), "wk-000002");
    simulation.start_node(leader);
    simulation.start_node((leader + 2) % 3);
    check_recovery(&mut simulation);
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
}

#[test]
fn zone_with_the_leader_is_partitioned_for_longer_than_a_lease() {
    let (mut simulation, leader) = running_jobs(4);
    simulation.partitioned_from_store.insert(leader);
    simulation.partitioned_from_peers.insert(leader);
    let host = hosts(&simulation, "wk-000001").into_iter().next().expect("a host");
    let zone = simulation.workers[&host].zone.clone();
    let in_zone: Vec<String> =
        simulation.workers.values().filter(|worker| worker.zone == zone).map(|worker| worker.name.clone()).collect();
    simulation.cloud.outage = true;
    for machine in simulation.workers.keys().cloned().collect::<Vec<_>>() {
        // Machines in the zone reach only the old leader, all others only the other nodes.
        for node in 0..3 {
            if in_zone.contains(&machine) != (node == leader) {
                simulation.partitioned_links.insert((node, machine.clone()));
            }
        }
    }
    // Workers in the zone have found the node that still responds.
    for machine in &in_zone {
        let worker = simulation.workers.get_mut(machine).expect("the machine is up");
        (worker.node, worker.pending_report) = (leader, None);
    }
    simulation.run(secs(6));
    assert!(simulation.had_two_leaders, "the old leader does not lead on in its zone");
    let new_leader = simulation.leader().expect("a leader");
    cancel_until_confirmed(&mut simulation, new_leader, "wk-000002");
    simulation.run(secs(10));
    let running = simulation.running_tasks("wk-000001");
    assert!(
        running.iter().filter(|(_, machine)| *machine == host).count() > 0,
        "the service does not keep running in the zone: {running:?}"
    );
    simulation.run(secs(8));
    cancel_until_confirmed(&mut simulation, new_leader, "wk-000003");
    simulation.run(secs(10));
    assert!(simulation.running_tasks("wk-000002").is_empty());
    check_recovery(&mut simulation);
}

#[test]
fn leader_changes_ten_times_in_two_minutes_also_during_outages() {
    let (mut simulation, _) = running_jobs(4);
    for round in 0..10 {
        let id = 10 + round;
        simulation.submit(round as usize % 3, job(id, 3));
        if round % 3 == 2 {
            simulation.store.outage = true;
        }
        simulation.run(secs(1));
        let leader = simulation.leader().unwrap_or(round as usize % 3);
        simulation.restart_node(leader, millis(if round % 2 == 0 { 300 } else { 4000 }));
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
    assert!(simulation.terms.len() > 8, "only {} terms", simulation.terms.len());
    check_recovery(&mut simulation);
}

#[test]
fn machines_whose_reports_are_lost_get_no_further_tasks() {
    // The machines respond to direct calls, so they seem alive; but their leases keep expiring.
    let (mut simulation, _) = running_jobs(4);
    let affected: Vec<String> = hosts(&simulation, "wk-000001").into_iter().collect();
    simulation.lost_reports.extend(affected.clone());
    simulation.run(secs(20));
    assert!(simulation.workers[&affected[0]].session > 1, "the lease did not expire");
    let started_before = simulation.started_tasks;
    simulation.run(secs(30));
    assert!(
        simulation.started_tasks <= started_before + 8,
        "{} starts on machines that lose their tasks",
        simulation.started_tasks - started_before
    );
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
    assert!(simulation.running_tasks("wk-000001").iter().all(|(_, machine)| !affected.contains(machine)));
    check_recovery(&mut simulation);
}

#[test]
fn cancelled_task_does_not_resume_after_its_machine_hung() {
    for takeover in [false, true] {
        let (mut simulation, leader) = running_jobs(4);
        let machines = hosts(&simulation, "wk-000001");
        simulation.cloud.outage = true;
        for machine in &machines {
            simulation.frozen_until.insert(machine.clone(), simulation.now + secs(10));
        }
        cancel_until_confirmed(&mut simulation, next_node(leader), "wk-000001");
        if takeover {
            simulation.crash_node(leader);
        }
        simulation.run(secs(9));
        assert!(!simulation.running_tasks("wk-000001").is_empty(), "tasks ended although their leases were valid");
        simulation.run(millis(3500));
        assert!(
            simulation.running_tasks("wk-000001").is_empty(),
            "tasks were not stopped as soon as their machines resumed"
        );
        simulation.start_node(leader);
        check_recovery(&mut simulation);
    }
}

#[test]
fn arrays_bound_to_one_zone_complete_after_the_loss_of_its_machines() {
    let (mut simulation, leader) = running_jobs(4);
    let mut in_zone_a = job(4, 8);
    in_zone_a.zone = Some("a".into());
    simulation.submit(0, in_zone_a);
    let mut in_one_zone = job(5, 6);
    in_one_zone.one_zone = true;
    simulation.submit(1, in_one_zone);
    simulation.run(secs(4));
    let lost: Vec<String> = hosts(&simulation, "wk-000004").union(&hosts(&simulation, "wk-000005")).cloned().collect();
    for machine in &lost {
        simulation.workers.remove(machine);
        simulation.cloud.machines.remove(machine);
    }
    simulation.restart_node(leader, secs(2));
    simulation.run(secs(60));
    check_recovery(&mut simulation);
    assert_eq!(simulation.job_state(0, "wk-000004"), Some(JobStatus::Done));
    assert_eq!(simulation.job_state(0, "wk-000005"), Some(JobStatus::Done));
}
