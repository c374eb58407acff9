//! Cancellations that meet another trouble. Tasks must be gone within `cancel_s` of the moment at
//! which a user was told; the world checks this, and all other rules, at every step.

use std::time::Duration;

use rushyoke_testkit::{Simulation, job, secs, service};
use rushyoke_wire::job::JobStatus;

/// A service of four replicas at work, and the leader.
fn at_work(machines: usize) -> (Simulation, usize) {
    let mut simulation = Simulation::new(machines);
    simulation.run(secs(6));
    simulation.submit(0, service(1, 4));
    simulation.run(secs(4));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
    let leader = simulation.leader().expect("a lead");
    (simulation, leader)
}

/// The ways in which a leader may go on renewing its lease without hearing what users cancel.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Blind {
    /// Its watch hangs while all else passes.
    WatchHangs,
    /// It alone is refused for a moment, and its watch is not open again before the outage.
    RefusedAlone,
    /// It alone loses the other controllers too.
    Alone,
}

#[test]
fn a_blind_leader_keeps_no_cancelled_task_alive_through_an_outage() {
    // Found by reading: only the last renewal bounded how long reports were answered. The leader
    // did not know of a cancellation, renewed its lease for seconds all the same, and then
    // answered for its whole allowance while the state service was down for all.
    for blind in [Blind::WatchHangs, Blind::RefusedAlone, Blind::Alone] {
        let (mut simulation, leader) = at_work(2);
        let other = (leader + 1) % 3;
        simulation.hung_watches.insert(leader);
        if blind != Blind::WatchHangs {
            simulation.partitioned_from_store.insert(leader);
        }
        if blind == Blind::Alone {
            simulation.partitioned_from_peers.insert(leader);
        }
        simulation.run(secs(1));
        simulation.cancel_and_confirm(other, "wk-000001");
        simulation.partitioned_from_store.remove(&leader);
        simulation.run(secs(6));
        assert_eq!(simulation.leader(), Some(leader), "{blind:?}: it renews its lease");
        assert_eq!(simulation.running_tasks("wk-000001").len(), 4, "{blind:?}: it does not know");
        simulation.hung_watches.clear();
        simulation.store.outage = true;
        simulation.run(secs(60));
        assert!(simulation.running_tasks("wk-000001").is_empty(), "{blind:?}");
        simulation.clear_faults();
        simulation.run(secs(10));
        assert_eq!(simulation.job_state(leader, "wk-000001"), Some(JobStatus::Cancelled));
    }
}

#[test]
fn a_leader_refused_alone_and_then_all_keeps_no_cancelled_task_alive() {
    // The gap as the users tell it: the refusal, then the outage, before its lease has ended.
    let (mut simulation, leader) = at_work(2);
    simulation.partitioned_from_store.insert(leader);
    simulation.run(Duration::from_millis(400));
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.run(Duration::from_millis(400));
    simulation.store.outage = true;
    simulation.run(secs(10));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4, "its workers are still answered");
    simulation.run(secs(50));
    assert!(simulation.running_tasks("wk-000001").is_empty());
    simulation.clear_faults();
    simulation.run(secs(10));
    assert!(simulation.store.rows.keys().all(|key| !key.starts_with("live/")));
}

#[test]
fn a_new_leader_that_has_not_read_the_jobs_keeps_none_alive() {
    // The old leader fell before it could stop anything; the new one answered reports while it
    // read the jobs, which an outage kept it from doing.
    let (mut simulation, leader) = at_work(2);
    simulation.delayed_lists_until = Some(("live/", simulation.now + secs(90)));
    simulation.hung_watches.insert(leader);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.crash_node(leader);
    simulation.run(secs(8));
    assert!(simulation.leader().is_some_and(|new| new != leader), "another leads");
    simulation.store.outage = true;
    simulation.run(secs(70));
    assert!(simulation.running_tasks("wk-000001").is_empty());
    simulation.clear_faults();
    simulation.run(secs(15));
    assert_eq!(simulation.job_state(leader, "wk-000001"), None, "its process is gone");
    assert_eq!(simulation.job_state((leader + 1) % 3, "wk-000001"), Some(JobStatus::Cancelled));
}

#[test]
fn a_new_leader_that_has_read_the_jobs_stops_cancelled_tasks_before_all_else_is_read() {
    // An answer that shows the token, or is given while the records are read, renews a lease too:
    // it stops what is known to be cancelled, and leaves the rest alone.
    let (mut simulation, leader) = at_work(2);
    simulation.submit(leader, service(2, 3));
    simulation.run(secs(3));
    simulation.delayed_lists_until = Some(("log/", simulation.now + secs(60)));
    simulation.hung_watches.insert(leader);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.crash_node(leader);
    simulation.run(secs(9));
    assert!(simulation.leader().is_some_and(|new| new != leader), "another leads");
    assert!(simulation.running_tasks("wk-000001").is_empty());
    simulation.run(secs(20));
    assert_eq!(simulation.running_tasks("wk-000002").len(), 3);
    assert_eq!(simulation.started_tasks, 7, "nothing was lost");
}

#[test]
fn a_leader_that_never_hears_of_cancellations_gives_way() {
    let (mut simulation, leader) = at_work(2);
    simulation.hung_watches.insert(leader);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.run(secs(7));
    assert_eq!(simulation.leader(), Some(leader));
    simulation.run(secs(8));
    assert!(simulation.leader().is_some_and(|new| new != leader), "another leads");
    assert!(simulation.running_tasks("wk-000001").is_empty());
    simulation.submit((leader + 1) % 3, job(2, 4));
    simulation.run(secs(5));
    assert_eq!(simulation.running_tasks("wk-000002").len(), 4);
}

#[test]
fn the_answer_that_shows_a_worker_the_new_token_stops_its_cancelled_tasks() {
    // That answer renews the worker's lease like any other, and may be the last that reaches it.
    let (mut simulation, leader) = at_work(2);
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    simulation.delayed_orders_until.insert(machine.clone(), simulation.now + secs(90));
    simulation.hung_watches.insert(leader);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.crash_node(leader);
    let old = simulation.workers[&machine].token;
    while simulation.workers[&machine].token == old {
        simulation.run(Duration::from_millis(10));
    }
    simulation.partitioned_machines.insert(machine);
    simulation.run(Duration::from_millis(100));
    assert!(simulation.running_tasks("wk-000001").is_empty());
}

#[test]
fn a_task_that_is_saving_ends_at_once_when_its_job_is_cancelled() {
    // The direct stop is lost; the answer to the next report must say it again.
    let mut simulation = Simulation::new(2);
    simulation.run(secs(6));
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 200.0);
    let spec = rushyoke_wire::job::JobSpec { checkpoint_interval_s: 5.0, save_s: 25.0, estimate_s: 200.0, ..job(1, 2) };
    simulation.submit(0, spec);
    simulation.run(secs(4));
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    let worker = simulation.workers.get_mut(&machine).expect("it runs there");
    worker.notice_s = Some(60.0);
    simulation.run(secs(4));
    let saving = |simulation: &Simulation| {
        let tasks = &simulation.workers[&machine].tasks;
        tasks.iter().filter(|t| t.state == rushyoke_wire::worker::TaskState::Saving).count()
    };
    assert!(saving(&simulation) > 0, "it saves");
    simulation.delayed_orders_until.insert(machine.clone(), simulation.now + secs(60));
    simulation.cancel_and_confirm(1, "wk-000001");
    simulation.run(secs(6));
    assert_eq!(saving(&simulation), 0);
}
