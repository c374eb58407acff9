//! A state service that is silent, slow or applies transactions late, and the limits of its records.

use rushyoke_testkit::{World, job, secs, service};
use rushyoke_wire::job::JobStatus;

fn other_than(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn a_short_silence_of_the_store_kills_no_work() {
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
fn a_long_silence_of_the_store_ends_the_leases_and_work_returns() {
    let mut world = World::settled(2);
    world.submit(0, service(1, 4));
    world.run(secs(4));
    world.store.outage = true;
    world.run(secs(40));
    assert!(world.where_runs("wk-000001").is_empty(), "the leader had to fall silent");
    let now = world.now;
    world.store.end_outage(now);
    world.run(secs(20));
    assert_eq!(world.where_runs("wk-000001").len(), 4);
}

#[test]
fn an_old_page_applied_late_does_not_mislead_the_next_leader() {
    let mut world = World::settled(3);
    let leader = world.leader().expect("a lead");
    let mut spec = service(1, 2);
    spec.cpus = 16.0;
    world.hold_txns.insert(leader, world.now + secs(30));
    world.submit(other_than(leader), spec);
    world.run(secs(1));
    world.hold_txns.clear();
    world.run(secs(6));
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    world.workers.remove(&machine);
    world.run(secs(26));
    // By now the first page, which names the dead machine, has been tried again.
    let before = world.where_runs("wk-000001");
    assert_eq!((before.len(), world.started), (2, 3));
    world.crash(leader);
    world.run(secs(25));
    assert_eq!((world.where_runs("wk-000001"), world.started), (before, 3));
}

#[test]
fn a_late_transaction_does_not_bring_back_old_records() {
    let mut world = World::settled(2);
    world.submit(0, job(1, 6));
    world.run(secs(3));
    let leader = world.leader().expect("a lead");
    // What the leader writes for the next seconds is applied 30 s late, if at all.
    world.hold_txns.insert(leader, world.now + secs(30));
    world.run(secs(2));
    world.hold_txns.clear();
    world.run(secs(45));
    assert_eq!(world.state(1, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(world.started, 6);
}

#[test]
fn an_unanswered_transaction_is_dead_before_the_log_moves_on() {
    // A late copy that is applied after a newer segment was begun would be the last word on
    // its tasks, and say where they were before.
    let mut world = World::settled(4);
    let small = |id, tasks| {
        let mut spec = job(id, tasks);
        (spec.cpus, spec.memory_gb) = (0.25, 0.1);
        spec
    };
    world.submit(0, small(1, 150));
    world.run(secs(2));
    let leader = world.leader().expect("a lead");
    world.hold_txns.insert(leader, world.now + secs(8));
    world.submit(other_than(leader), small(2, 10));
    world.run(secs(1));
    world.hold_txns.clear();
    // With these the segment is more than full.
    world.submit(other_than(leader), small(3, 60));
    world.run(secs(20));
    assert_eq!(world.late_commits, 0, "a late transaction was applied");
    assert_eq!(world.started, 220);
}

#[test]
fn an_array_of_100_000_tasks_stays_within_the_limits_of_records() {
    let mut world = World::settled(4);
    // The store refuses (by a panic) any value over 8 KiB and too large a transaction.
    let mut spec = job(1, 100_000);
    spec.cpus = 0.25;
    spec.memory_gb = 0.1;
    assert_eq!(world.submit(0, spec), Some(201));
    world.run(secs(15));
    assert!(world.where_runs("wk-000001").len() > 100);
    let leader = world.leader().expect("a lead");
    world.crash(leader);
    world.run(secs(15));
    assert!(world.where_runs("wk-000001").len() > 100);
    let view = world.status(other_than(leader), "wk-000001").and_then(|s| s.1).expect("an answer");
    assert!(view.done.is_some_and(|done| done > 100), "{view:?}");
}

#[test]
fn a_node_serves_its_users_as_soon_as_the_store_is_back() {
    // A node that follows makes no calls while it turns users away, and did not notice.
    let mut world = World::settled(1);
    world.submit(0, job(1, 2));
    let follower = other_than(world.leader().expect("a lead"));
    world.no_store.insert(follower);
    world.status(follower, "wk-000001");
    world.run(secs(3));
    assert_eq!(world.status(follower, "wk-000001").map(|s| s.0), Some(503));
    world.no_store.clear();
    world.run(secs(1));
    assert_eq!(world.status(follower, "wk-000001").map(|s| s.0), Some(200));
}

#[test]
fn jobs_that_a_watch_missed_are_read_again() {
    let mut world = World::settled(2);
    // The store forgets changes so soon that nearly every watch comes too late (410).
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
        assert_eq!(world.submit(id as usize % 3, job(id, 3)), Some(200), "a repeat");
    }
    assert!(world.where_runs("wk-000020").is_empty());
    assert_eq!(world.started, 26);
}
