//! Cancellations that meet another trouble. Tasks must be gone within `cancel_s` of the moment at
//! which a user was told; the world checks this, and all other rules, at every step.

use std::time::Duration;

use rushyoke_testkit::{World, job, secs, service};
use rushyoke_wire::job::JobStatus;

/// A service of four replicas at work, and the leader.
fn at_work(machines: usize) -> (World, usize) {
    let mut world = World::new(machines);
    world.run(secs(6));
    world.submit(0, service(1, 4));
    world.run(secs(4));
    assert_eq!(world.where_runs("wk-000001").len(), 4);
    let leader = world.leader().expect("a lead");
    (world, leader)
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
        let (mut world, leader) = at_work(2);
        let other = (leader + 1) % 3;
        world.hang_watches.insert(leader);
        if blind != Blind::WatchHangs {
            world.no_store.insert(leader);
        }
        if blind == Blind::Alone {
            world.no_peers.insert(leader);
        }
        world.run(secs(1));
        world.cancel_told(other, "wk-000001");
        world.no_store.remove(&leader);
        world.run(secs(6));
        assert_eq!(world.leader(), Some(leader), "{blind:?}: it renews its lease");
        assert_eq!(world.where_runs("wk-000001").len(), 4, "{blind:?}: it does not know");
        world.hang_watches.clear();
        world.store.outage = true;
        world.run(secs(60));
        assert!(world.where_runs("wk-000001").is_empty(), "{blind:?}");
        world.calm();
        world.run(secs(10));
        assert_eq!(world.state(leader, "wk-000001"), Some(JobStatus::Cancelled));
    }
}

#[test]
fn a_leader_refused_alone_and_then_all_keeps_no_cancelled_task_alive() {
    // The gap as the users tell it: the refusal, then the outage, before its lease has ended.
    let (mut world, leader) = at_work(2);
    world.no_store.insert(leader);
    world.run(Duration::from_millis(400));
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.run(Duration::from_millis(400));
    world.store.outage = true;
    world.run(secs(10));
    assert_eq!(world.where_runs("wk-000001").len(), 4, "its workers are still answered");
    world.run(secs(50));
    assert!(world.where_runs("wk-000001").is_empty());
    world.calm();
    world.run(secs(10));
    assert!(world.store.rows.keys().all(|key| !key.starts_with("live/")));
}

#[test]
fn a_new_leader_that_has_not_read_the_jobs_keeps_none_alive() {
    // The old leader fell before it could stop anything; the new one answered reports while it
    // read the jobs, which an outage kept it from doing.
    let (mut world, leader) = at_work(2);
    world.hold_lists = Some(("live/", world.now + secs(90)));
    world.hang_watches.insert(leader);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.crash(leader);
    world.run(secs(8));
    assert!(world.leader().is_some_and(|new| new != leader), "another leads");
    world.store.outage = true;
    world.run(secs(70));
    assert!(world.where_runs("wk-000001").is_empty());
    world.calm();
    world.run(secs(15));
    assert_eq!(world.state(leader, "wk-000001"), None, "its process is gone");
    assert_eq!(world.state((leader + 1) % 3, "wk-000001"), Some(JobStatus::Cancelled));
}

#[test]
fn a_new_leader_that_has_read_the_jobs_stops_cancelled_tasks_before_all_else_is_read() {
    // An answer that shows the token, or is given while the records are read, renews a lease too:
    // it stops what is known to be cancelled, and leaves the rest alone.
    let (mut world, leader) = at_work(2);
    world.submit(leader, service(2, 3));
    world.run(secs(3));
    world.hold_lists = Some(("log/", world.now + secs(60)));
    world.hang_watches.insert(leader);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.crash(leader);
    world.run(secs(9));
    assert!(world.leader().is_some_and(|new| new != leader), "another leads");
    assert!(world.where_runs("wk-000001").is_empty());
    world.run(secs(20));
    assert_eq!(world.where_runs("wk-000002").len(), 3);
    assert_eq!(world.started, 7, "nothing was lost");
}

#[test]
fn a_leader_that_never_hears_of_cancellations_gives_way() {
    let (mut world, leader) = at_work(2);
    world.hang_watches.insert(leader);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.run(secs(7));
    assert_eq!(world.leader(), Some(leader));
    world.run(secs(8));
    assert!(world.leader().is_some_and(|new| new != leader), "another leads");
    assert!(world.where_runs("wk-000001").is_empty());
    world.submit((leader + 1) % 3, job(2, 4));
    world.run(secs(5));
    assert_eq!(world.where_runs("wk-000002").len(), 4);
}

#[test]
fn the_answer_that_shows_a_worker_the_new_token_stops_its_cancelled_tasks() {
    // That answer renews the worker's lease like any other, and may be the last that reaches it.
    let (mut world, leader) = at_work(2);
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    world.hold_orders.insert(machine.clone(), world.now + secs(90));
    world.hang_watches.insert(leader);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.crash(leader);
    let old = world.workers[&machine].token;
    while world.workers[&machine].token == old {
        world.run(Duration::from_millis(10));
    }
    world.cut.insert(machine);
    world.run(Duration::from_millis(100));
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn a_task_that_is_saving_ends_at_once_when_its_job_is_cancelled() {
    // The direct stop is lost; the answer to the next report must say it again.
    let mut world = World::new(2);
    world.run(secs(6));
    world.workers.values_mut().for_each(|worker| worker.run_s = 200.0);
    let spec = rushyoke_wire::job::JobSpec { checkpoint_interval_s: 5.0, save_s: 25.0, estimate_s: 200.0, ..job(1, 2) };
    world.submit(0, spec);
    world.run(secs(4));
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    let worker = world.workers.get_mut(&machine).expect("it runs there");
    worker.notice_s = Some(60.0);
    world.run(secs(4));
    let saving = |world: &World| {
        let tasks = &world.workers[&machine].tasks;
        tasks.iter().filter(|t| t.state == rushyoke_wire::worker::TaskState::Saving).count()
    };
    assert!(saving(&world) > 0, "it saves");
    world.hold_orders.insert(machine.clone(), world.now + secs(60));
    world.cancel_told(1, "wk-000001");
    world.run(secs(6));
    assert_eq!(saving(&world), 0);
}
