//! Cancellations that coincide with another fault. Tasks must be gone within `cancel_s` of the
//! confirmation to the user; the simulated world checks this and all other rules at every step.

use std::time::Duration;

use rushyoke_testkit::{World, job, secs, service};
use rushyoke_wire::job::JobStatus;

/// Returns a world in which a service of four replicas runs, and the current leader.
fn running_service(machines: usize) -> (World, usize) {
    let mut world = World::new(machines);
    world.run(secs(6));
    world.submit(0, service(1, 4));
    world.run(secs(4));
    assert_eq!(world.where_runs("wk-000001").len(), 4);
    let leader = world.leader().expect("a leader");
    (world, leader)
}

/// Faults in which a leader keeps renewing its lease without learning what users cancel.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaderFault {
    /// Its watch hangs, while its other calls succeed.
    WatchHangs,
    /// The state service refuses only this leader for a moment, and its watch is not open again
    /// before the outage.
    StoreRefuses,
    /// In addition, it cannot reach the other controllers.
    Isolated,
}

#[test]
fn leader_that_misses_a_cancellation_keeps_no_task_alive_through_an_outage() {
    // Guards against a leader that limits how long it responds to reports by its last lease
    // renewal alone. It misses a cancellation, still renews its lease for seconds, and then responds
    // for as long as it may without the state service, which is down for all nodes.
    for fault in [LeaderFault::WatchHangs, LeaderFault::StoreRefuses, LeaderFault::Isolated] {
        let (mut world, leader) = running_service(2);
        let other = (leader + 1) % 3;
        world.hang_watches.insert(leader);
        if fault != LeaderFault::WatchHangs {
            world.no_store.insert(leader);
        }
        if fault == LeaderFault::Isolated {
            world.no_peers.insert(leader);
        }
        world.run(secs(1));
        world.cancel_told(other, "wk-000001");
        world.no_store.remove(&leader);
        world.run(secs(6));
        assert_eq!(world.leader(), Some(leader), "{fault:?}: the leader lost its lease");
        assert_eq!(world.where_runs("wk-000001").len(), 4, "{fault:?}: the leader learned of the cancellation");
        world.hang_watches.clear();
        world.store.outage = true;
        world.run(secs(60));
        assert!(world.where_runs("wk-000001").is_empty(), "{fault:?}");
        world.calm();
        world.run(secs(10));
        assert_eq!(world.state(leader, "wk-000001"), Some(JobStatus::Cancelled));
    }
}

#[test]
fn outage_after_the_store_refused_the_leader_keeps_no_cancelled_task_alive() {
    // The state service refuses the leader alone, then goes down for all nodes before the
    // leader's lease has expired.
    let (mut world, leader) = running_service(2);
    world.no_store.insert(leader);
    world.run(Duration::from_millis(400));
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.run(Duration::from_millis(400));
    world.store.outage = true;
    world.run(secs(10));
    assert_eq!(world.where_runs("wk-000001").len(), 4, "the leader stopped responding to its workers");
    world.run(secs(50));
    assert!(world.where_runs("wk-000001").is_empty());
    world.calm();
    world.run(secs(10));
    assert!(world.store.rows.keys().all(|key| !key.starts_with("live/")));
}

#[test]
fn new_leader_that_has_not_read_the_jobs_keeps_no_cancelled_task_alive() {
    // The old leader crashes before it can stop any task. The new leader responds to reports
    // while an outage keeps it from reading the jobs.
    let (mut world, leader) = running_service(2);
    world.hold_lists = Some(("live/", world.now + secs(90)));
    world.hang_watches.insert(leader);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.crash(leader);
    world.run(secs(8));
    assert!(world.leader().is_some_and(|node| node != leader), "no other node leads");
    world.store.outage = true;
    world.run(secs(70));
    assert!(world.where_runs("wk-000001").is_empty());
    world.calm();
    world.run(secs(15));
    assert_eq!(world.state(leader, "wk-000001"), None, "a crashed node responded");
    assert_eq!(world.state((leader + 1) % 3, "wk-000001"), Some(JobStatus::Cancelled));
}

#[test]
fn new_leader_stops_cancelled_tasks_before_it_has_read_all_records() {
    // A response that shows the token, or that is sent while the records are read, renews a lease
    // too: it must stop the tasks known to be cancelled, and leave all other tasks alone.
    let (mut world, leader) = running_service(2);
    world.submit(leader, service(2, 3));
    world.run(secs(3));
    world.hold_lists = Some(("log/", world.now + secs(60)));
    world.hang_watches.insert(leader);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.crash(leader);
    world.run(secs(9));
    assert!(world.leader().is_some_and(|node| node != leader), "no other node leads");
    assert!(world.where_runs("wk-000001").is_empty());
    world.run(secs(20));
    assert_eq!(world.where_runs("wk-000002").len(), 3);
    assert_eq!(world.started, 7, "a task was started again");
}

#[test]
fn leader_whose_watch_hangs_is_replaced() {
    let (mut world, leader) = running_service(2);
    world.hang_watches.insert(leader);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.run(secs(7));
    assert_eq!(world.leader(), Some(leader));
    world.run(secs(8));
    assert!(world.leader().is_some_and(|node| node != leader), "no other node leads");
    assert!(world.where_runs("wk-000001").is_empty());
    world.submit((leader + 1) % 3, job(2, 4));
    world.run(secs(5));
    assert_eq!(world.where_runs("wk-000002").len(), 4);
}

#[test]
fn first_response_with_the_new_token_stops_cancelled_tasks() {
    // This response renews the worker's lease like any other, and may be the last that reaches it.
    let (mut world, leader) = running_service(2);
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    world.hold_orders.insert(machine.clone(), world.now + secs(90));
    world.hang_watches.insert(leader);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.crash(leader);
    let old_token = world.workers[&machine].token;
    while world.workers[&machine].token == old_token {
        world.run(Duration::from_millis(10));
    }
    world.cut.insert(machine);
    world.run(Duration::from_millis(100));
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn cancellation_ends_a_task_that_is_saving_a_checkpoint() {
    // The direct stop order is lost; the response to the next report must repeat it.
    let mut world = World::new(2);
    world.run(secs(6));
    world.workers.values_mut().for_each(|worker| worker.run_s = 200.0);
    let spec = rushyoke_wire::job::JobSpec { checkpoint_interval_s: 5.0, save_s: 25.0, estimate_s: 200.0, ..job(1, 2) };
    world.submit(0, spec);
    world.run(secs(4));
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    let worker = world.workers.get_mut(&machine).expect("the machine has a worker");
    worker.notice_s = Some(60.0);
    world.run(secs(4));
    let saving_tasks = |world: &World| {
        let tasks = &world.workers[&machine].tasks;
        tasks.iter().filter(|task| task.state == rushyoke_wire::worker::TaskState::Saving).count()
    };
    assert!(saving_tasks(&world) > 0, "no task is saving");
    world.hold_orders.insert(machine.clone(), world.now + secs(60));
    world.cancel_told(1, "wk-000001");
    world.run(secs(6));
    assert_eq!(saving_tasks(&world), 0);
}
