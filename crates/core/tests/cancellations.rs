//! Scenario tests of cancellations that coincide with another fault. Tasks must have stopped within
//! `cancel_s` of the confirmation to the user; the simulation checks this and all other invariants
//! at every step.

use std::time::Duration;

use rushyoke_testkit::{Simulation, job, secs, service};
use rushyoke_wire::job::JobStatus;

/// Returns a simulation in which a service of four replicas runs, and the current leader.
fn running_service(machines: usize) -> (Simulation, usize) {
    let mut simulation = Simulation::new(machines);
    simulation.run(secs(6));
    simulation.submit(0, service(1, 4));
    simulation.run(secs(4));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
    let leader = simulation.leader().expect("a leader");
    (simulation, leader)
}

/// A fault during which a leader keeps renewing its lease without learning what users cancel.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaderFault {
    /// The leader's watch hangs, while its other calls to the state service succeed.
    WatchHangs,
    /// The state service refuses only this leader for a moment, and the leader's watch is not open
    /// again before the outage.
    StoreRefuses,
    /// As [`LeaderFault::StoreRefuses`], and the leader cannot reach the other controllers.
    Isolated,
}

#[test]
fn leader_that_misses_a_cancellation_keeps_no_task_alive_through_an_outage() {
    // Guards against a leader that limits how long it responds to reports by its last lease
    // renewal alone. It misses a cancellation, still renews its lease for seconds, and then responds
    // for as long as it may without the state service, which is down for all nodes.
    for fault in [LeaderFault::WatchHangs, LeaderFault::StoreRefuses, LeaderFault::Isolated] {
        let (mut simulation, leader) = running_service(2);
        let other = (leader + 1) % 3;
        simulation.hung_watches.insert(leader);
        if fault != LeaderFault::WatchHangs {
            simulation.partitioned_from_store.insert(leader);
        }
        if fault == LeaderFault::Isolated {
            simulation.partitioned_from_peers.insert(leader);
        }
        simulation.run(secs(1));
        simulation.cancel_and_confirm(other, "wk-000001");
        simulation.partitioned_from_store.remove(&leader);
        simulation.run(secs(6));
        assert_eq!(simulation.leader(), Some(leader), "{fault:?}: the leader lost its lease");
        assert_eq!(simulation.running_tasks("wk-000001").len(), 4, "{fault:?}: the leader learned of the cancellation");
        simulation.hung_watches.clear();
        simulation.store.outage = true;
        simulation.run(secs(60));
        assert!(simulation.running_tasks("wk-000001").is_empty(), "{fault:?}");
        simulation.clear_faults();
        simulation.run(secs(10));
        assert_eq!(simulation.job_state(leader, "wk-000001"), Some(JobStatus::Cancelled));
    }
}

#[test]
fn outage_after_the_store_refused_the_leader_keeps_no_cancelled_task_alive() {
    // The state service refuses the leader alone, then goes down for all nodes before the
    // leader's lease has expired.
    let (mut simulation, leader) = running_service(2);
    simulation.partitioned_from_store.insert(leader);
    simulation.run(Duration::from_millis(400));
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.run(Duration::from_millis(400));
    simulation.store.outage = true;
    simulation.run(secs(10));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4, "the leader stopped responding to its workers");
    simulation.run(secs(50));
    assert!(simulation.running_tasks("wk-000001").is_empty());
    simulation.clear_faults();
    simulation.run(secs(10));
    assert!(simulation.store.rows.keys().all(|key| !key.starts_with("live/")));
}

#[test]
fn new_leader_that_has_not_read_the_jobs_keeps_no_cancelled_task_alive() {
    // The old leader crashes before it can stop any task. The new leader responds to reports
    // while an outage keeps it from reading the jobs.
    let (mut simulation, leader) = running_service(2);
    simulation.delayed_lists_until = Some(("live/", simulation.now + secs(90)));
    simulation.hung_watches.insert(leader);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.crash_node(leader);
    simulation.run(secs(8));
    assert!(simulation.leader().is_some_and(|node| node != leader), "no other node leads");
    simulation.store.outage = true;
    simulation.run(secs(70));
    assert!(simulation.running_tasks("wk-000001").is_empty());
    simulation.clear_faults();
    simulation.run(secs(15));
    assert_eq!(simulation.job_state(leader, "wk-000001"), None, "a crashed node responded");
    assert_eq!(simulation.job_state((leader + 1) % 3, "wk-000001"), Some(JobStatus::Cancelled));
}

#[test]
fn new_leader_stops_cancelled_tasks_before_it_has_read_all_records() {
    // A response that shows the token, or that is sent while the records are read, renews a lease
    // too: it must stop the tasks known to be cancelled, and leave all other tasks alone.
    let (mut simulation, leader) = running_service(2);
    simulation.submit(leader, service(2, 3));
    simulation.run(secs(3));
    simulation.delayed_lists_until = Some(("log/", simulation.now + secs(60)));
    simulation.hung_watches.insert(leader);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.crash_node(leader);
    simulation.run(secs(9));
    assert!(simulation.leader().is_some_and(|node| node != leader), "no other node leads");
    assert!(simulation.running_tasks("wk-000001").is_empty());
    simulation.run(secs(20));
    assert_eq!(simulation.running_tasks("wk-000002").len(), 3);
    assert_eq!(simulation.started_tasks, 7, "a task was started again");
}

#[test]
fn leader_whose_watch_hangs_is_replaced() {
    let (mut simulation, leader) = running_service(2);
    simulation.hung_watches.insert(leader);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.run(secs(7));
    assert_eq!(simulation.leader(), Some(leader));
    simulation.run(secs(8));
    assert!(simulation.leader().is_some_and(|node| node != leader), "no other node leads");
    assert!(simulation.running_tasks("wk-000001").is_empty());
    simulation.submit((leader + 1) % 3, job(2, 4));
    simulation.run(secs(5));
    assert_eq!(simulation.running_tasks("wk-000002").len(), 4);
}

#[test]
fn first_response_with_the_new_token_stops_cancelled_tasks() {
    // This response renews the worker's lease like any other, and may be the last that reaches it.
    let (mut simulation, leader) = running_service(2);
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    simulation.delayed_orders_until.insert(machine.clone(), simulation.now + secs(90));
    simulation.hung_watches.insert(leader);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.crash_node(leader);
    let old_token = simulation.workers[&machine].token;
    while simulation.workers[&machine].token == old_token {
        simulation.run(Duration::from_millis(10));
    }
    simulation.partitioned_machines.insert(machine);
    simulation.run(Duration::from_millis(100));
    assert!(simulation.running_tasks("wk-000001").is_empty());
}

#[test]
fn cancellation_ends_a_task_that_is_saving_a_checkpoint() {
    // The direct stop order is lost; the response to the next report must repeat it.
    let mut simulation = Simulation::new(2);
    simulation.run(secs(6));
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 200.0);
    let spec = rushyoke_wire::job::JobSpec { checkpoint_interval_s: 5.0, save_s: 25.0, estimate_s: 200.0, ..job(1, 2) };
    simulation.submit(0, spec);
    simulation.run(secs(4));
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    let worker = simulation.workers.get_mut(&machine).expect("the machine has a worker");
    worker.notice_s = Some(60.0);
    simulation.run(secs(4));
    let saving_tasks = |simulation: &Simulation| {
        let tasks = &simulation.workers[&machine].tasks;
        tasks.iter().filter(|task| task.state == rushyoke_wire::worker::TaskState::Saving).count()
    };
    assert!(saving_tasks(&simulation) > 0, "no task is saving");
    simulation.delayed_orders_until.insert(machine.clone(), simulation.now + secs(60));
    simulation.cancel_and_confirm(1, "wk-000001");
    simulation.run(secs(6));
    assert_eq!(saving_tasks(&simulation), 0);
}
