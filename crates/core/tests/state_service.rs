//! Scenario tests of a state service that does not respond, is slow or applies transactions late, and of its size
//! limits.

use rushyoke_testkit::{World, job, secs, service};
use rushyoke_wire::job::JobStatus;

/// Returns a node other than the given one.
fn another_node(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn a_short_store_outage_stops_no_task() {
    let mut world = World::settled(2);
    world.submit(0, service(1, 4));
    world.run(secs(4));
    let before = (world.where_runs("wk-000001"), world.leader());
    world.store.outage = true;
    world.run(secs(14));
    assert_eq!(world.status(0, "wk-000001").map(|s| s.0), Some(503));
    let now = world.now;
    world.store.end_outage(now);
    world.run(secs(5));
    assert_eq!((world.where_runs("wk-000001"), world.leader()), before);
    assert_eq!(world.started, 4);
    assert_eq!(world.submit(0, job(2, 2)), Some(201));
}

#[test]
fn tasks_restart_after_a_store_outage_longer_than_the_leases() {
    let mut world = World::settled(2);
    world.submit(0, service(1, 4));
    world.run(secs(4));
    world.store.outage = true;
    world.run(secs(40));
    assert!(world.where_runs("wk-000001").is_empty(), "the tasks outlived their leases");
    let now = world.now;
    world.store.end_outage(now);
    world.run(secs(20));
    assert_eq!(world.where_runs("wk-000001").len(), 4);
}

#[test]
fn an_old_page_applied_late_does_not_mislead_the_next_leader() {
    let mut world = World::settled(3);
    let leader = world.leader().expect("a leader");
    let mut spec = service(1, 2);
    spec.cpus = 16.0;
    world.hold_txns.insert(leader, world.now + secs(30));
    world.submit(another_node(leader), spec);
    world.run(secs(1));
    world.hold_txns.clear();
    world.run(secs(6));
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    world.workers.remove(&machine);
    world.run(secs(26));
    // By now the write of the first page, which names the dead machine, has been retried.
    let placements_before = world.where_runs("wk-000001");
    assert_eq!((placements_before.len(), world.started), (2, 3));
    world.crash(leader);
    world.run(secs(25));
    assert_eq!((world.where_runs("wk-000001"), world.started), (placements_before, 3));
}

#[test]
fn a_late_transaction_does_not_restore_old_records() {
    let mut world = World::settled(2);
    world.submit(0, job(1, 6));
    world.run(secs(3));
    let leader = world.leader().expect("a leader");
    // The leader's transactions of the next two seconds are applied 30 s late, if at all.
    world.hold_txns.insert(leader, world.now + secs(30));
    world.run(secs(2));
    world.hold_txns.clear();
    world.run(secs(45));
    assert_eq!(world.state(1, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(world.started, 6);
}

#[test]
fn an_unanswered_transaction_cannot_apply_after_the_log_advances() {
    // Guards against a late copy of a transaction that is applied after a newer segment was begun: it would
    // override the newer segment with outdated placements.
    let mut world = World::settled(4);
    let small_job = |id, tasks| {
        let mut spec = job(id, tasks);
        (spec.cpus, spec.memory_gb) = (0.25, 0.1);
        spec
    };
    world.submit(0, small_job(1, 150));
    world.run(secs(2));
    let leader = world.leader().expect("a leader");
    world.hold_txns.insert(leader, world.now + secs(8));
    world.submit(another_node(leader), small_job(2, 10));
    world.run(secs(1));
    world.hold_txns.clear();
    // These tasks no longer fit into the segment.
    world.submit(another_node(leader), small_job(3, 60));
    world.run(secs(20));
    assert_eq!(world.late_commits, 0, "a late transaction was applied");
    assert_eq!(world.started, 220);
}

#[test]
fn an_array_of_100_000_tasks_stays_within_record_size_limits() {
    let mut world = World::settled(4);
    // The fake store panics on values over 8 KiB and on transactions that are too large.
    let mut spec = job(1, 100_000);
    spec.cpus = 0.25;
    spec.memory_gb = 0.1;
    assert_eq!(world.submit(0, spec), Some(201));
    world.run(secs(15));
    assert!(world.where_runs("wk-000001").len() > 100);
    let leader = world.leader().expect("a leader");
    world.crash(leader);
    world.run(secs(15));
    assert!(world.where_runs("wk-000001").len() > 100);
    let view = world.status(another_node(leader), "wk-000001").and_then(|s| s.1).expect("a response");
    assert!(view.done.is_some_and(|done| done > 100), "{view:?}");
}

#[test]
fn a_follower_serves_users_as_soon_as_the_store_is_back() {
    // Guards against a follower that does not notice the store's recovery: while it rejects users it makes no
    // calls to the store.
    let mut world = World::settled(1);
    world.submit(0, job(1, 2));
    let follower = another_node(world.leader().expect("a leader"));
    world.no_store.insert(follower);
    world.status(follower, "wk-000001");
    world.run(secs(3));
    assert_eq!(world.status(follower, "wk-000001").map(|s| s.0), Some(503));
    world.no_store.clear();
    world.run(secs(1));
    assert_eq!(world.status(follower, "wk-000001").map(|s| s.0), Some(200));
}

#[test]
fn jobs_missed_by_a_watch_are_read_again() {
    let mut world = World::settled(2);
    // The store discards changes so soon that nearly every watch fails with 410.
    world.store.kept = 2;
    for id in 1..9 {
        assert_eq!(world.submit(id as usize % 3, job(id, 3)), Some(201));
    }
    world.submit(0, service(20, 2));
    world.run(secs(40));
    world.cancel(1, "wk-000020");
    world.run(secs(10));
    for id in 1..9 {
        assert_eq!(world.state(id as usize % 3, &format!("wk-{id:06}")), Some(JobStatus::Done));
        assert_eq!(world.submit(id as usize % 3, job(id, 3)), Some(200), "a resubmission");
    }
    assert!(world.where_runs("wk-000020").is_empty());
    assert_eq!(world.started, 26);
}
