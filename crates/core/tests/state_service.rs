//! Scenario tests of a state service that does not respond, is slow or applies transactions late, and of its size
//! limits.

use rushyoke_testkit::{Simulation, job, secs, service};
use rushyoke_wire::job::JobStatus;

/// Returns the node after the given one, in cyclic order.
fn next_node(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn a_short_store_outage_stops_no_task() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.submit(0, service(1, 4));
    simulation.run(secs(4));
    let before = (simulation.running_tasks("wk-000001"), simulation.leader());
    simulation.store.outage = true;
    simulation.run(secs(14));
    assert_eq!(simulation.status(0, "wk-000001").map(|response| response.0), Some(503));
    let now = simulation.now;
    simulation.store.end_outage(now);
    simulation.run(secs(5));
    assert_eq!((simulation.running_tasks("wk-000001"), simulation.leader()), before);
    assert_eq!(simulation.started_tasks, 4);
    assert_eq!(simulation.submit(0, job(2, 2)), Some(201));
}

#[test]
fn tasks_restart_after_a_store_outage_longer_than_the_leases() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.submit(0, service(1, 4));
    simulation.run(secs(4));
    simulation.store.outage = true;
    simulation.run(secs(40));
    assert!(simulation.running_tasks("wk-000001").is_empty(), "the tasks outlived their leases");
    let now = simulation.now;
    simulation.store.end_outage(now);
    simulation.run(secs(20));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
}

#[test]
fn an_old_page_applied_late_does_not_mislead_the_next_leader() {
    let mut simulation = Simulation::with_elected_leader(3);
    let leader = simulation.leader().expect("a leader");
    let mut spec = service(1, 2);
    spec.cpus = 16.0;
    simulation.timed_out_txns_until.insert(leader, simulation.now + secs(30));
    simulation.submit(next_node(leader), spec);
    simulation.run(secs(1));
    simulation.timed_out_txns_until.clear();
    simulation.run(secs(6));
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    simulation.workers.remove(&machine);
    simulation.run(secs(26));
    // By now the write of the first page, which names the dead machine, has been retried.
    let placements_before = simulation.running_tasks("wk-000001");
    assert_eq!((placements_before.len(), simulation.started_tasks), (2, 3));
    simulation.crash_node(leader);
    simulation.run(secs(25));
    assert_eq!((simulation.running_tasks("wk-000001"), simulation.started_tasks), (placements_before, 3));
}

#[test]
fn a_late_transaction_does_not_restore_old_records() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.submit(0, job(1, 6));
    simulation.run(secs(3));
    let leader = simulation.leader().expect("a leader");
    // The leader's transactions of the next two seconds are applied 30 s late, if at all.
    simulation.timed_out_txns_until.insert(leader, simulation.now + secs(30));
    simulation.run(secs(2));
    simulation.timed_out_txns_until.clear();
    simulation.run(secs(45));
    assert_eq!(simulation.job_state(1, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(simulation.started_tasks, 6);
}

#[test]
fn an_unanswered_transaction_cannot_apply_after_the_log_advances() {
    // Guards against a transaction that is applied late, after a newer segment was begun: it would override the
    // newer segment with outdated placements.
    let mut simulation = Simulation::with_elected_leader(4);
    let small_job = |id, tasks| {
        let mut spec = job(id, tasks);
        (spec.cpus, spec.memory_gb) = (0.25, 0.1);
        spec
    };
    simulation.submit(0, small_job(1, 150));
    simulation.run(secs(2));
    let leader = simulation.leader().expect("a leader");
    simulation.timed_out_txns_until.insert(leader, simulation.now + secs(8));
    simulation.submit(next_node(leader), small_job(2, 10));
    simulation.run(secs(1));
    simulation.timed_out_txns_until.clear();
    // These tasks no longer fit into the segment.
    simulation.submit(next_node(leader), small_job(3, 60));
    simulation.run(secs(20));
    assert_eq!(simulation.late_commits, 0, "a late transaction was applied");
    assert_eq!(simulation.started_tasks, 220);
}

#[test]
fn an_array_of_100_000_tasks_stays_within_record_size_limits() {
    let mut simulation = Simulation::with_elected_leader(4);
    // The fake store panics on values over 8 KiB and on transactions that are too large.
    let mut spec = job(1, 100_000);
    spec.cpus = 0.25;
    spec.memory_gb = 0.1;
    assert_eq!(simulation.submit(0, spec), Some(201));
    simulation.run(secs(15));
    assert!(simulation.running_tasks("wk-000001").len() > 100);
    let leader = simulation.leader().expect("a leader");
    simulation.crash_node(leader);
    simulation.run(secs(15));
    assert!(simulation.running_tasks("wk-000001").len() > 100);
    let view = simulation.status(next_node(leader), "wk-000001").and_then(|response| response.1).expect("a response");
    assert!(view.done.is_some_and(|done| done > 100), "{view:?}");
}

#[test]
fn a_follower_serves_users_as_soon_as_the_store_is_back() {
    // Guards against a follower that does not notice the store's recovery: while it rejects users it makes no
    // calls to the store.
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.submit(0, job(1, 2));
    let follower = next_node(simulation.leader().expect("a leader"));
    simulation.partitioned_from_store.insert(follower);
    simulation.status(follower, "wk-000001");
    simulation.run(secs(3));
    assert_eq!(simulation.status(follower, "wk-000001").map(|response| response.0), Some(503));
    simulation.partitioned_from_store.clear();
    simulation.run(secs(1));
    assert_eq!(simulation.status(follower, "wk-000001").map(|response| response.0), Some(200));
}

#[test]
fn jobs_missed_by_a_watch_are_read_again() {
    let mut simulation = Simulation::with_elected_leader(2);
    // The store discards changes so soon that nearly every watch fails with 410.
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
        assert_eq!(simulation.submit(id as usize % 3, job(id, 3)), Some(200), "a resubmission");
    }
    assert!(simulation.running_tasks("wk-000020").is_empty());
    assert_eq!(simulation.started_tasks, 26);
}
