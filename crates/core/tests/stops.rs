//! Stops of cancelled tasks that are lost, held back or answered late. Tasks must be gone within `cancel_s` of
//! the moment at which a user was told; the world checks this, and all other rules, at every step.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_core::{Facts, Policy, Team};
use rushyoke_testkit::{Unreachable, World, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, Priority};
use rushyoke_wire::worker::TaskState;

/// Within this time after a machine can be called again its cancelled tasks are gone (`docs/design.md`).
const GONE_ONCE_REACHED: Duration = Duration::from_secs(5);

/// Leases that last for longer than a leader may answer without the state service.
fn long_leases() -> Facts {
    Facts { report_interval: secs(4), worker_lease: secs(28), cancel_limit: secs(48), ..facts(0, 3) }
}

/// Job 1 at work, and the leader.
fn at_work(machines: usize, spec: JobSpec) -> (World, usize) {
    let mut world = World::deployed(long_leases(), machines, Policy::default(), &["a"]);
    let tasks = spec.tasks as usize;
    world.workers.values_mut().for_each(|worker| worker.run_s = 200.0);
    world.run(secs(10));
    world.submit(0, spec);
    world.run(secs(24));
    assert_eq!(world.where_runs("wk-000001").len(), tasks);
    let leader = world.leader().expect("a leader");
    (world, leader)
}

/// The same, with a machine of the job whose worker has just reported.
fn just_reported(machines: usize, spec: JobSpec) -> (World, usize, String) {
    let (mut world, leader) = at_work(machines, spec);
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    world.run_until_reported(&machine);
    (world, leader, machine)
}

/// A job is cancelled while a machine of it is interrupted. When its held reports arrive the state service is
/// down, and the leader's right to answer lapses after the worker's next report. Calls pass again, or not.
fn cancelled_behind_an_interruption(machines: usize, spec: JobSpec, calls_pass: bool) {
    let (mut world, leader, machine) = just_reported(machines, spec);
    let until = world.now + millis(23_300);
    world.lose(&machine, Unreachable::HeldUnconnected, until - world.now);
    if !calls_pass {
        world.hold_orders.insert(machine.clone(), world.now + secs(200));
    }
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.run(secs(8));
    world.cloud.outage = true;
    world.store.outage = true;
    world.run(until - world.now + secs(1));
    assert_eq!(world.workers[&machine].session, 1, "its lease lasts");
    world.run(secs(40));
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn a_stop_lost_with_the_answer_to_a_held_report_is_in_the_next_answer() {
    cancelled_behind_an_interruption(2, service(1, 4), true);
    cancelled_behind_an_interruption(2, service(1, 4), false);
}

#[test]
fn an_answer_that_cannot_hold_all_stops_renews_no_lease() {
    let tiny = JobSpec { cpus: 0.02, memory_gb: 0.01, ..service(1, 780) };
    cancelled_behind_an_interruption(1, tiny.clone(), true);
    cancelled_behind_an_interruption(1, tiny, false);
}

#[test]
fn a_new_leader_that_still_reads_its_records_answers_only_what_a_line_can_hold() {
    let tiny = JobSpec { cpus: 0.015, memory_gb: 0.01, ..service(1, 1000) };
    let (mut world, leader) = at_work(1, tiny);
    world.hold_lists = Some(("log/", world.now + secs(15)));
    world.hang_watches.insert(leader);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.crash(leader);
    world.run(secs(15));
    assert!(!world.where_runs("wk-000001").is_empty(), "none could be told");
    world.run(secs(10));
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn cancelled_tasks_end_soon_after_their_machine_can_be_called_though_no_report_may_be_answered() {
    let (mut world, leader, machine) = just_reported(2, service(1, 4));
    let until = world.now + secs(20);
    world.lose(&machine, Unreachable::HeldUnconnected, until - world.now);
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.cloud.outage = true;
    world.store.outage = true;
    world.run(until - world.now);
    assert!(!world.where_runs("wk-000001").is_empty(), "its lease lasts");
    world.run(GONE_ONCE_REACHED);
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn a_lost_stop_is_repeated_to_a_machine_whose_reports_reach_nobody() {
    let (mut world, leader, machine) = just_reported(2, service(1, 4));
    world.mute.insert(machine.clone());
    world.deaf.insert(machine.clone());
    world.cancel_told((leader + 1) % 3, "wk-000001");
    world.run(secs(3));
    assert!(!world.where_runs("wk-000001").is_empty(), "the stop is lost");
    world.deaf.clear();
    world.run(GONE_ONCE_REACHED);
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn stops_are_repeated_to_a_third_of_four_thousand_machines_within_the_budget_of_calls() {
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
    let zone: Vec<String> = world.workers.values().filter(|w| w.zone == "a").map(|w| w.name.clone()).collect();
    let until = world.now + secs(20);
    zone.iter().for_each(|name| world.lose(name, Unreachable::HeldUnconnected, until - world.now));
    jobs.iter().for_each(|id| world.cancel_told((leader + 1) % 3, id));
    world.cloud.outage = true;
    world.store.outage = true;
    let during = world.most_calls_a_second(leader, (until - world.now).as_secs());
    world.run(until - world.now);
    assert!(running(&world) > 0, "its leases last");
    let after = world.most_calls_a_second(leader, GONE_ONCE_REACHED.as_secs());
    println!("most calls a second: {during} during the cut, {after} after it; {} at a time", world.most_orders);
    assert_eq!(running(&world), 0);
    assert!(world.most_orders <= 300, "{} calls at a time", world.most_orders);
}

#[test]
fn a_lost_stop_with_grace_is_repeated_to_a_machine_whose_reports_reach_nobody() {
    let saving = JobSpec {
        priority: Priority::BestEffort,
        checkpoint_interval_s: 5.0,
        save_s: 5.0,
        estimate_s: 200.0,
        ..job(1, 16)
    };
    let (mut world, _) = at_work(1, saving);
    world.cloud.capacity = 1;
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    // Its reports arrive, so that it is taken for reachable until the stops are lost.
    world.deaf.insert(machine.clone());
    world.ask_submit(0, JobSpec { priority: Priority::High, ..service(2, 4) });
    world.run(secs(8));
    let saves = |world: &World| world.workers[&machine].tasks.iter().any(|task| task.state == TaskState::Saving);
    assert!(!saves(&world), "the stops are lost");
    world.mute.insert(machine.clone());
    world.deaf.clear();
    let until = world.now + GONE_ONCE_REACHED;
    while !saves(&world) && world.now < until {
        world.run(millis(100));
    }
    assert!(saves(&world));
}
