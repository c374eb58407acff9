//! Machines that die, fail tasks, receive nothing or report late, and orders that arrive late.

use std::time::Duration;

use rushyoke_testkit::{World, job, secs, service};
use rushyoke_wire::job::JobStatus;

fn next_node(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn late_reports_of_an_empty_machine_restart_no_tasks() {
    let mut world = World::settled(1);
    // Reports that show the machine empty arrive after its tasks have started.
    world.hold_reports.insert("n-000000".into(), world.now + secs(3));
    world.run(secs(2));
    world.submit(0, service(1, 5));
    world.run(secs(1));
    assert_eq!(world.where_runs("wk-000001").len(), 5);
    world.hold_reports.clear();
    world.run(secs(15));
    assert_eq!(world.where_runs("wk-000001").len(), 5);
    assert_eq!(world.started, 5);
}

#[test]
fn late_start_order_does_not_run_a_task_twice() {
    let mut world = World::settled(2);
    for name in ["n-000000", "n-000001"] {
        world.hold_orders.insert(name.into(), world.now + secs(25));
    }
    world.submit(0, job(1, 8));
    // The direct start orders are held back; the responses to reports carry the same orders.
    world.run(secs(8));
    assert_eq!(world.where_runs("wk-000001").len(), 8);
    world.hold_orders.clear();
    world.run(secs(30));
    assert_eq!(world.state(0, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(world.started, 8, "a late start order ran a task");
}

#[test]
fn late_start_order_of_a_cancelled_job_runs_nothing() {
    let mut world = World::settled(1);
    world.hold_orders.insert("n-000000".into(), world.now + secs(40));
    world.submit(0, service(1, 2));
    world.run(Duration::from_millis(100));
    world.cancel(1, "wk-000001");
    world.run(secs(60));
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn rental_without_a_response_is_not_repeated() {
    let mut world = World::settled(0);
    world.lose_rental_answers = true;
    world.submit(0, job(1, 4));
    world.run(secs(40));
    assert_eq!(world.state(0, "wk-000001"), Some(JobStatus::Done));
    assert!(world.cloud.rentals <= 2, "{} rentals", world.cloud.rentals);
}

#[test]
fn tasks_of_a_dead_machine_run_elsewhere() {
    let mut world = World::settled(2);
    world.submit(0, service(1, 2));
    world.run(secs(4));
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    world.workers.remove(&machine);
    world.run(secs(10));
    let placements = world.where_runs("wk-000001");
    assert!(placements.len() == 2 && placements.iter().all(|(_, m)| *m != machine), "{placements:?}");
}

#[test]
fn faulty_machine_is_distinguished_from_a_job_that_fails_everywhere() {
    let mut world = World::settled(3);
    world.workers.get_mut("n-000000").expect("the machine is up").fails_all = true;
    world.submit(0, job(1, 30));
    world.run(secs(30));
    assert_eq!(world.state(0, "wk-000001"), Some(JobStatus::Done));
    assert!(!world.workers.contains_key("n-000000"), "the machine was not released");
    // Now every machine fails the tasks of one job: no machine is considered faulty.
    for worker in world.workers.values_mut() {
        worker.fails_all = true;
    }
    let before = world.workers.len();
    world.submit(0, job(2, 2));
    world.run(secs(20));
    assert!(world.workers.len() >= before, "machines were released because of a failing job");
}

#[test]
fn faulty_machine_in_a_full_fleet_gets_few_tasks() {
    // Guards against placing task after task on a faulty machine: with all others full, it was the
    // only one with free resources, and failed 279 tasks.
    let mut world = World::settled(2);
    world.cloud.capacity = 2;
    world.workers.values_mut().for_each(|worker| worker.run_s = 60.0);
    world.workers.get_mut("n-000000").expect("the machine is up").fails_all = true;
    world.submit(0, job(1, 64));
    world.run(secs(20));
    assert!(world.failed <= 16, "{} tasks failed", world.failed);
}

#[test]
fn machine_that_never_boots_is_replaced() {
    let mut world = World::settled(0);
    world.cloud.stillborn.insert("n-000000".into());
    world.submit(0, job(1, 4));
    world.run(secs(60));
    assert_eq!(world.state(0, "wk-000001"), Some(JobStatus::Done));
    world.run(secs(60));
    assert!(!world.cloud.machines.contains_key("n-000000"), "the machine was not released");
}

#[test]
fn spot_notice_moves_tasks_that_cannot_finish() {
    let mut world = World::settled(1);
    world.workers.values_mut().for_each(|worker| worker.run_s = 40.0);
    world.submit(0, job(1, 28));
    world.run(secs(15));
    let placements = world.where_runs("wk-000001");
    let spot = placements
        .iter()
        .map(|(_, m)| m.clone())
        .find(|m| world.workers[m].spot)
        .expect("a task runs on a spot machine");
    let tasks_on_spot = |world: &World| world.where_runs("wk-000001").iter().filter(|(_, m)| *m == spot).count();
    world.workers.get_mut(&spot).expect("the machine is up").notice_s = Some(4.0);
    world.run(secs(3));
    assert_eq!(tasks_on_spot(&world), 0);
    world.run(secs(60));
    assert_eq!(world.state(0, "wk-000001"), Some(JobStatus::Done));
}

#[test]
fn machine_that_receives_nothing_is_released_and_its_tasks_run_elsewhere() {
    let mut world = World::settled(3);
    world.cloud.capacity = 3;
    world.submit(0, service(1, 3));
    world.run(secs(4));
    let (_, unreachable) = world.where_runs("wk-000001")[0].clone();
    // Its reports still arrive now and then; while the cloud is down, it cannot be released.
    world.deaf.insert(unreachable.clone());
    world.cloud.outage = true;
    world.run(secs(13));
    // More tasks than the other machines can run at once; none waits on the unreachable machine.
    world.submit(1, job(2, 40));
    for _ in 0..32 {
        world.run(secs(1));
        assert_eq!(
            world.placed_on("wk-000002", &unreachable),
            0,
            "a report alone must not make the machine count as reachable"
        );
    }
    assert_eq!(world.where_runs("wk-000001").len(), 3);
    assert_eq!(world.state(2, "wk-000002"), Some(JobStatus::Done), "the job did not complete on the other machines");
    world.cloud.outage = false;
    world.run(secs(20));
    assert!(!world.workers.contains_key(&unreachable), "the unreachable machine was not released");
}

#[test]
fn machine_that_receives_nothing_gets_no_tasks_after_the_first_failed_call() {
    let mut world = World::settled(4);
    world.cloud.outage = true;
    // Its reports keep arriving, so that it seems alive and idle.
    world.deaf.insert("n-000000".into());
    world.submit(0, job(1, 8));
    world.run(secs(3));
    assert!(world.placed_on("wk-000001", "n-000000") > 0, "no task was placed on the unreachable machine at first");
    for id in 2..6 {
        world.submit(id as usize % 3, job(id, 4));
        world.run(secs(1));
        assert_eq!(world.placed_on(&format!("wk-{id:06}"), "n-000000"), 0, "job {id}");
    }
}

#[test]
fn late_copies_of_reports_keep_no_dead_machine_alive() {
    for delay_s in [3, 15] {
        let mut world = World::settled(3);
        world.submit(0, service(1, 3));
        world.run(secs(4));
        let (_, dead) = world.where_runs("wk-000001")[0].clone();
        world.copy_reports.insert(dead.clone(), secs(delay_s));
        world.run(secs(delay_s + 2));
        // The machine dies, and the cloud cannot confirm it; copies of its reports keep arriving.
        world.cloud.outage = true;
        world.workers.remove(&dead);
        world.run(secs(19));
        let placements = world.where_runs("wk-000001");
        assert!(
            placements.len() == 3 && placements.iter().all(|(_, m)| *m != dead),
            "copies {delay_s} s late: {placements:?}"
        );
    }
}

#[test]
fn copies_of_reports_from_before_a_takeover_do_not_count_as_capacity() {
    let mut world = World::settled(4);
    world.copy_reports.extend((0..4).map(|n| (format!("n-{n:06}"), secs(10))));
    world.run(secs(12));
    // Three machines are gone when the leader crashes; copies of their reports reach a new leader
    // that has never known them.
    let leader = world.leader().expect("a leader");
    world.crash(leader);
    for gone in ["n-000001", "n-000002", "n-000003"] {
        world.workers.remove(gone);
        world.cloud.machines.remove(gone);
    }
    world.run(secs(6));
    world.submit(next_node(leader), job(1, 40));
    world.run(secs(3));
    assert!(world.cloud.machines.len() >= 3, "the leader counts on machines that are gone");
    world.run(secs(35));
    assert_eq!(world.state(next_node(leader), "wk-000001"), Some(JobStatus::Done));
    assert_eq!(world.started, 40);
}

#[test]
fn worker_that_restarts_at_once_gets_its_tasks_again() {
    let mut world = World::settled(1);
    world.cloud.capacity = 1;
    world.submit(0, service(1, 4));
    world.run(secs(100));
    // Its sessions and report numbers start from the beginning, so its reports look like late copies.
    world.restart_worker("n-000000");
    world.run(secs(8));
    assert_eq!(world.where_runs("wk-000001").len(), 4);
    assert_eq!(world.started, 8);
}

#[test]
fn late_start_order_does_not_run_on_a_restarted_worker() {
    let mut world = World::settled(3);
    world.cloud.capacity = 3;
    let mut large_tasks = service(9, 3);
    large_tasks.cpus = 9.0;
    world.submit(0, large_tasks);
    world.run(secs(100));
    // The workers report to the leader itself, so that it does not count as partitioned.
    let leader = world.leader().expect("a leader");
    world.workers.values_mut().for_each(|worker| worker.node = leader);
    for name in ["n-000000", "n-000001", "n-000002"] {
        world.hold_orders.insert(name.into(), world.now + secs(22));
    }
    world.submit(0, service(1, 8));
    // The direct start orders are held back; the responses to reports carry the same orders.
    world.run(secs(8));
    assert_eq!(world.where_runs("wk-000001").len(), 8);
    world.hold_orders.clear();
    let (_, restarted) = world.where_runs("wk-000001")[0].clone();
    // The late start orders match its first session again, while the notice moves its tasks elsewhere.
    world.restart_worker(&restarted);
    world.workers.get_mut(&restarted).expect("the machine is up").notice_s = Some(60.0);
    world.cloud.outage = true;
    world.run(secs(20));
    world.cloud.outage = false;
    world.run(secs(20));
    assert_eq!(world.where_runs("wk-000001").len(), 8);
}

#[test]
fn healthy_machine_that_has_not_reported_yet_gets_tasks() {
    // Guards against leaving healthy machines idle, seen with 4,000 machines: those that had just booted were
    // considered to report no more, although they had not reported yet, and got no tasks.
    let mut world = World::settled(1);
    world.cloud.capacity = 2;
    let new_machine = world.cloud.add(world.now, "a", false);
    world.mute.insert(new_machine.clone());
    world.boot = secs(1);
    // The cloud lists the machine as running, and it responds to calls.
    world.run(secs(8));
    assert_eq!(world.submit(0, service(1, 24)), Some(201));
    world.run(secs(2));
    assert!(
        world.where_runs("wk-000001").iter().any(|(_, machine)| *machine == new_machine),
        "the new machine got no tasks"
    );
    world.mute.clear();
    world.run(secs(20));
    assert_eq!(world.where_runs("wk-000001").len(), 24);
}
