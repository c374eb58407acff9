//! A state service that is silent, slow or applies transactions late, and the limits of its records.

use rushyoke_testkit::{Simulation, job, secs, service};
use rushyoke_wire::job::JobStatus;

fn other_than(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn a_short_silence_of_the_store_kills_no_work() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.submit(0, service(1, 4));
    simulation.run(secs(4));
    let before = (simulation.running_tasks("wk-000001"), simulation.leader());
    simulation.store.outage = true;
    simulation.run(secs(14));
    assert_eq!(simulation.status(0, "wk-000001").map(|s| s.0), Some(503));
    let now = simulation.now;
    simulation.store.end_outage(now);
    simulation.run(secs(5));
    assert_eq!((simulation.running_tasks("wk-000001"), simulation.leader()), before);
    assert_eq!(simulation.started_tasks, 4);
    assert_eq!(simulation.submit(0, job(2, 2)), Some(201));
}

#[test]
fn a_long_silence_of_the_store_ends_the_leases_and_work_returns() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.submit(0, service(1, 4));
    simulation.run(secs(4));
    simulation.store.outage = true;
    simulation.run(secs(40));
    assert!(simulation.running_tasks("wk-000001").is_empty(), "the leader had to fall silent");
    let now = simulation.now;
    simulation.store.end_outage(now);
    simulation.run(secs(20));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
}

#[test]
fn an_old_page_applied_late_does_not_mislead_the_next_leader() {
    let mut simulation = Simulation::with_elected_leader(3);
    let leader = simulation.leader().expect("a lead");
    let mut spec = service(1, 2);
    spec.cpus = 16.0;
    simulation.timed_out_txns_until.insert(leader, simulation.now + secs(30));
    simulation.submit(other_than(leader), spec);
    simulation.run(secs(1));
    simulation.timed_out_txns_until.clear();
    simulation.run(secs(6));
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    simulation.workers.remove(&machine);
    simulation.run(secs(26));
    // By now the first page, which names the dead machine, has been tried again.
    let before = simulation.running_tasks("wk-000001");
    assert_eq!((before.len(), simulation.started_tasks), (2, 3));
    simulation.crash_node(leader);
    simulation.run(secs(25));
    assert_eq!((simulation.running_tasks("wk-000001"), simulation.started_tasks), (before, 3));
}

#[test]
fn a_late_transaction_does_not_bring_back_old_records() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.submit(0, job(1, 6));
    simulation.run(secs(3));
    let leader = simulation.leader().expect("a lead");
    // What the leader writes for the next seconds is applied 30 s late, if at all.
    simulation.timed_out_txns_until.insert(leader, simulation.now + secs(30));
    simulation.run(secs(2));
    simulation.timed_out_txns_until.clear();
    simulation.run(secs(45));
    assert_eq!(simulation.job_state(1, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(simulation.started_tasks, 6);
}

#[test]
fn an_unanswered_transaction_is_dead_before_the_log_moves_on() {
    // A late copy that is applied after a newer segment was begun would be the last word on
    // its tasks, and say where they were before.
    let mut simulation = Simulation::with_elected_leader(4);
    let small = |id, tasks| {
        let mut spec = job(id, tasks);
        (spec.cpus, spec.memory_gb) = (0.25, 0.1);
        spec
    };
    simulation.submit(0, small(1, 150));
    simulation.run(secs(2));
    let leader = simulation.leader().expect("a lead");
    simulation.timed_out_txns_until.insert(leader, simulation.now + secs(8));
    simulation.submit(other_than(leader), small(2, 10));
    simulation.run(secs(1));
    simulation.timed_out_txns_until.clear();
    // With these the segment is more than full.
    simulation.submit(other_than(leader), small(3, 60));
    simulation.run(secs(20));
    assert_eq!(simulation.late_commits, 0, "a late transaction was applied");
    assert_eq!(simulation.started_tasks, 220);
}

#[test]
fn an_array_of_100_000_tasks_stays_within_the_limits_of_records() {
    let mut simulation = Simulation::with_elected_leader(4);
    // The store refuses (by a panic) any value over 8 KiB and too large a transaction.
    let mut spec = job(1, 100_000);
    spec.cpus = 0.25;
    spec.memory_gb = 0.1;
    assert_eq!(simulation.submit(0, spec), Some(201));
    simulation.run(secs(15));
    assert!(simulation.running_tasks("wk-000001").len() > 100);
    let leader = simulation.leader().expect("a lead");
    simulation.crash_node(leader);
    simulation.run(secs(15));
    assert!(simulation.running_tasks("wk-000001").len() > 100);
    let view = simulation.status(other_than(leader), "wk-000001").and_then(|s| s.1).expect("an answer");
    assert!(view.done.is_some_and(|done| done > 100), "{view:?}");
}

#[test]
fn a_node_serves_its_users_as_soon_as_the_store_is_back() {
    // A node that follows makes no calls while it turns users away, and did not notice.
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.submit(0, job(1, 2));
    let follower = other_than(simulation.leader().expect("a lead"));
    simulation.partitioned_from_store.insert(follower);
    simulation.status(follower, "wk-000001");
    simulation.run(secs(3));
    assert_eq!(simulation.status(follower, "wk-000001").map(|s| s.0), Some(503));
    simulation.partitioned_from_store.clear();
    simulation.run(secs(1));
    assert_eq!(simulation.status(follower, "wk-000001").map(|s| s.0), Some(200));
}

#[test]
fn jobs_that_a_watch_missed_are_read_again() {
    let mut simulation = Simulation::with_elected_leader(2);
    // The store forgets changes so soon that nearly every watch comes too late (410).
    simulation.store.max_log_events = 2;
    for id in 1..9 {
        assert_eq!(simulation.submit(id as usize % 3, job(id, 3)), Some(201));
    }
    simulation.submit(0, service(20, 2));
    simulation.run(secs(40));
    simulation.cancel(1, "wk-000020");
    simulation.run(secs(10));
    for id in 1..9 {
        assert_eq!(simulation.job_state(id as usize % 3, &format!("wk-{id:06}")), Some(JobStatus::Done));
        assert_eq!(simulation.submit(id as usize % 3, job(id, 3)), Some(200), "a repeat");
    }
    assert!(simulation.running_tasks("wk-000020").is_empty());
    assert_eq!(simulation.started_tasks, 26);
}
