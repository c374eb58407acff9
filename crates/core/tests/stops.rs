//! Stops of cancelled tasks that are lost, held back or answered late. Tasks must be gone within `cancel_s` of
//! the moment at which a user was told; the world checks this, and all other rules, at every step.

use rushyoke_core::{Facts, Policy};
use rushyoke_testkit::{Interruption, World, facts, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

/// Leases that last for longer than a leader may answer without the state service.
fn long_leases() -> Facts {
    Facts { report: secs(4), lease: secs(28), cancel: secs(48), ..facts(0, 3) }
}

/// Job 1 at work, and the leader.
fn at_work(machines: usize, spec: JobSpec) -> (World, usize) {
    let mut world = World::deployed(long_leases(), machines, Policy::default(), &["a"]);
    let tasks = spec.tasks as usize;
    world.run(secs(10));
    world.submit(0, spec);
    world.run(secs(24));
    assert_eq!(world.where_runs("wk-000001").len(), tasks);
    let leader = world.leader().expect("a leader");
    (world, leader)
}

fn cancel(world: &mut World, node: usize, id: &str) {
    let told = world.cancel(node, id).and_then(|(_, view)| view).map(|view| view.state);
    assert_eq!(told, Some(JobStatus::Cancelled));
}

/// Runs until the machine's worker has just been answered.
fn run_until_answered(world: &mut World, machine: &str) {
    while world.workers[machine].waiting.is_none() {
        world.run(millis(10));
    }
    while world.workers[machine].waiting.is_some() {
        world.run(millis(10));
    }
}

/// A job is cancelled while a machine of it is interrupted. When its held reports arrive the state service is
/// down, and the leader's right to answer lapses after the worker's next report.
fn cancelled_behind_an_interruption(machines: usize, spec: JobSpec) {
    let (mut world, leader) = at_work(machines, spec);
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    run_until_answered(&mut world, &machine);
    let cut = Interruption { until: world.now + millis(23_300), connected: false };
    world.interrupted.insert(machine.clone(), cut);
    cancel(&mut world, (leader + 1) % 3, "wk-000001");
    world.run(secs(8));
    world.cloud.outage = true;
    world.store.outage = true;
    world.run(cut.until - world.now + secs(1));
    assert_eq!(world.workers[&machine].session, 1, "its lease lasts");
    world.run(secs(40));
    assert!(world.where_runs("wk-000001").is_empty());
}

#[test]
fn a_stop_lost_with_the_answer_to_a_held_report_is_in_the_next_answer() {
    cancelled_behind_an_interruption(2, service(1, 4));
}

#[test]
fn an_answer_that_cannot_hold_all_stops_renews_no_lease() {
    let tiny = JobSpec { cpus: 0.02, memory_gb: 0.01, ..service(1, 780) };
    cancelled_behind_an_interruption(1, tiny);
}
