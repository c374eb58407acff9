//! Scenario tests of stop orders for cancelled tasks that are lost, delayed or get late responses. Tasks must have
//! stopped within `cancel_s` of the response that confirmed the cancellation to a user; the simulated world checks
//! this and all other invariants at every step.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_core::{Facts, Policy, Team};
use rushyoke_testkit::{Unreachable, World, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, Priority};
use rushyoke_wire::worker::TaskState;

/// Cancelled tasks have stopped within this time after direct calls reach their machine again (`docs/design.md`).
const STOP_LIMIT_ONCE_REACHABLE: Duration = Duration::from_secs(5);

/// Returns a deployment whose leases last longer than a leader may respond without the state service.
fn facts_with_long_leases() -> Facts {
    Facts { report_interval: secs(4), worker_lease: secs(28), cancel_limit: secs(48), ..facts(0, 3) }
}

/// Returns a world in which all tasks of job 1 run, and the leader.
fn running_job(machines: usize, spec: JobSpec) -> (World, usize) {
    let mut world = World::deployed(facts_with_long_leases(), machines, Policy::default(), &["a"]);
    let tasks = spec.tasks as usize;
    world.workers.values_mut().for_each(|worker| worker.run_s = 200.0);
    world.run(secs(10));
    world.submit(0, spec);
    world.run(secs(24));
    assert_eq!(world.where_runs("wk-000001").len(), tasks);
    let leader = world.leader().expect("a leader");
    (world, leader)
}

/// Like [`running_job`], and also returns a machine of the job whose worker has just reported.
fn running_job_after_report(machines: usize, spec: JobSpec) -> (World, usize, String) {
    let (mut world, leader) = running_job(machines, spec);
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    world.run_until_reported(&machine);
    (world, leader, machine)
}

/// Cancels a job while the network to one of its machines is interrupted, and asserts that all its tasks stop. When
/// the machine's delayed reports arrive, the state service is down, and the leader may no longer respond after the
/// worker's next report. Direct calls get through again after the interruption only if `direct_calls_pass`.
fn check_cancellation_during_interruption(machines: usize, spec: JobSpec, direct_calls_pass: bool) {
    let (mut world, leader, machine) = running_job_after_report(machines, spec);
    let until = world.now + millis(23_300);
    world.lose(&machine, Unreachable::HeldUnconnected, until - world.now);
    if !direct_calls_pass {
        world.hold_orders.insert(machine.clone(), world.now + secs(200));
    }
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.run(secs(8));
    world.cloud.outage = true;
    world.store.outage = true;
    world.run(until - world.now + secs(1));
    assert_eq!(world.workers[&machine].session, 1, "the lease expired");
    world.run(secs(40));
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn a_stop_lost_with_the_response_to_a_delayed_report_is_in_the_next_response() {
    check_cancellation_during_interruption(2, service(1, 4), true);
    check_cancellation_during_interruption(2, service(1, 4), false);
}

#[test]
fn a_response_that_cannot_contain_all_stops_renews_no_lease() {
    let tiny = JobSpec { cpus: 0.02, memory_gb: 0.01, ..service(1, 780) };
    check_cancellation_during_interruption(1, tiny.clone(), true);
    check_cancellation_during_interruption(1, tiny, false);
}

#[test]
fn a_new_leader_still_reading_records_renews_no_lease_if_stops_exceed_a_response() {
    let tiny = JobSpec { cpus: 0.015, memory_gb: 0.01, ..service(1, 1000) };
    let (mut world, leader) = running_job(1, tiny);
    world.hold_lists = Some(("log/", world.now + secs(15)));
    world.hang_watches.insert(leader);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.crash(leader);
    world.run(secs(15));
    assert!(!world.where_runs("wk-000001").is_empty(), "a response contained all stops");
    world.run(secs(10));
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn cancelled_tasks_stop_soon_after_direct_calls_pass_without_responses_to_reports() {
    let (mut world, leader, machine) = running_job_after_report(2, service(1, 4));
    let until = world.now + secs(20);
    world.lose(&machine, Unreachable::HeldUnconnected, until - world.now);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.cloud.outage = true;
    world.store.outage = true;
    world.run(until - world.now);
    assert!(!world.where_runs("wk-000001").is_empty(), "the lease expired");
    world.run(STOP_LIMIT_ONCE_REACHABLE);
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn a_lost_stop_is_retried_to_a_machine_whose_reports_are_lost() {
    let (mut world, leader, machine) = running_job_after_report(2, service(1, 4));
    world.mute.insert(machine.clone());
    world.deaf.insert(machine.clone());
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.run(secs(3));
    assert!(!world.where_runs("wk-000001").is_empty(), "the stop arrived");
    world.deaf.clear();
    world.run(STOP_LIMIT_ONCE_REACHABLE);
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn stops_are_retried_to_a_third_of_4000_machines_within_the_limit_of_direct_calls() {
    let team = Team { cpus: 12_000.0, cpus_max: 40_000.0, gpus: 0.0, gpus_max: 0.0 };
    let facts = Facts {
        teams: BTreeMap::from([("red".into(), team)]),
        report_interval: secs(5),
        worker_lease: secs(40),
        cancel_limit: secs(56),
        max_direct_calls: 300,
        max_job_bytes: 64 << 20,
        ..facts(0, 3)
    };
    let mut world = World::deployed(facts, 4000, Policy::default(), &["a", "b", "c"]);
    world.check_every = 50;
    world.workers.values_mut().for_each(|worker| worker.run_s = 300.0);
    world.run(secs(10));
    let jobs: Vec<String> = (1..=80).map(job_id).collect();
    for number in 1..=80 {
        let spec = JobSpec { cpus: 3.3, spot: false, ..job(number, 150) };
        assert_eq!(world.submit(number as usize % 3, spec), Some(201));
    }
    world.run(secs(30));
    let running = |world: &World| jobs.iter().map(|id| world.where_runs(id).len()).sum::<usize>();
    assert_eq!(running(&world), 80 * 150);
    let leader = world.leader().expect("a leader");
    let zone_machines: Vec<String> = world.workers.values().filter(|w| w.zone == "a").map(|w| w.name.clone()).collect();
    let until = world.now + secs(20);
    zone_machines.iter().for_each(|name| world.lose(name, Unreachable::HeldUnconnected, until - world.now));
    jobs.iter().for_each(|id| world.cancel_told((leader + 1) % 3, id));
    world.cloud.outage = true;
    world.store.outage = true;
    let calls_during = world.most_calls_a_second(leader, (until - world.now).as_secs());
    world.run(until - world.now);
    assert!(running(&world) > 0, "the leases expired");
    let calls_after = world.most_calls_a_second(leader, STOP_LIMIT_ONCE_REACHABLE.as_secs());
    println!(
        "most calls per second: {calls_during} during the interruption, {calls_after} after it; {} at a time",
        world.most_orders
    );
    assert_eq!(running(&world), 0);
    assert!(world.most_orders <= 300, "{} calls at a time", world.most_orders);
}

#[test]
fn a_lost_stop_with_grace_period_is_retried_to_a_machine_whose_reports_are_lost() {
    let checkpointing_job = JobSpec {
        priority: Priority::BestEffort,
        checkpoint_interval_s: 5.0,
        save_s: 5.0,
        estimate_s: 200.0,
        ..job(1, 16)
    };
    let (mut world, _) = running_job(1, checkpointing_job);
    world.cloud.capacity = 1;
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    // Its reports arrive, so the machine counts as reachable until the stops are lost.
    world.deaf.insert(machine.clone());
    world.ask_submit(0, JobSpec { priority: Priority::High, ..service(2, 4) });
    world.run(secs(8));
    let has_saving_task =
        |world: &World| world.workers[&machine].tasks.iter().any(|task| task.state == TaskState::Saving);
    assert!(!has_saving_task(&world), "the stops arrived");
    world.mute.insert(machine.clone());
    world.deaf.clear();
    let until = world.now + STOP_LIMIT_ONCE_REACHABLE;
    while !has_saving_task(&world) && world.now < until {
        world.run(millis(100));
    }
    assert!(has_saving_task(&world));
}
