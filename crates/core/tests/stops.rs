//! Stops of cancelled tasks that are lost, held back or answered late. Tasks must be gone within `cancel_s` of
//! the moment at which a user was told; the world checks this, and all other rules, at every step.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_core::{Facts, Policy, Team};
use rushyoke_testkit::{MachineFault, Simulation, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, Priority};
use rushyoke_wire::worker::TaskState;

/// Within this time after a machine can be called again its cancelled tasks are gone (`docs/design.md`).
const GONE_ONCE_REACHED: Duration = Duration::from_secs(5);

/// Leases that last for longer than a leader may answer without the state service.
fn long_leases() -> Facts {
    Facts { report_interval: secs(4), worker_lease: secs(28), cancel_limit: secs(48), ..facts(0, 3) }
}

/// Job 1 at work, and the leader.
fn at_work(machines: usize, spec: JobSpec) -> (Simulation, usize) {
    let mut simulation = Simulation::with_facts(long_leases(), machines, Policy::default(), &["a"]);
    let tasks = spec.tasks as usize;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 200.0);
    simulation.run(secs(10));
    simulation.submit(0, spec);
    simulation.run(secs(24));
    assert_eq!(simulation.running_tasks("wk-000001").len(), tasks);
    let leader = simulation.leader().expect("a leader");
    (simulation, leader)
}

/// The same, with a machine of the job whose worker has just reported.
fn just_reported(machines: usize, spec: JobSpec) -> (Simulation, usize, String) {
    let (mut simulation, leader) = at_work(machines, spec);
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    simulation.run_until_reported(&machine);
    (simulation, leader, machine)
}

/// A job is cancelled while a machine of it is interrupted. When its held reports arrive the state service is
/// down, and the leader's right to answer lapses after the worker's next report. Calls pass again, or not.
fn cancelled_behind_an_interruption(machines: usize, spec: JobSpec, calls_pass: bool) {
    let (mut simulation, leader, machine) = just_reported(machines, spec);
    let until = simulation.now + millis(23_300);
    simulation.inject_fault(&machine, MachineFault::InterruptedWithoutConnections, until - simulation.now);
    if !calls_pass {
        simulation.delayed_orders_until.insert(machine.clone(), simulation.now + secs(200));
    }
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.run(secs(8));
    simulation.cloud.outage = true;
    simulation.store.outage = true;
    simulation.run(until - simulation.now + secs(1));
    assert_eq!(simulation.workers[&machine].session, 1, "its lease lasts");
    simulation.run(secs(40));
    assert!(simulation.running_tasks("wk-000001").is_empty());
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
    let (mut simulation, leader) = at_work(1, tiny);
    simulation.delayed_lists_until = Some(("log/", simulation.now + secs(15)));
    simulation.hung_watches.insert(leader);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.crash_node(leader);
    simulation.run(secs(15));
    assert!(!simulation.running_tasks("wk-000001").is_empty(), "none could be told");
    simulation.run(secs(10));
    assert!(simulation.running_tasks("wk-000001").is_empty());
}

#[test]
fn cancelled_tasks_end_soon_after_their_machine_can_be_called_though_no_report_may_be_answered() {
    let (mut simulation, leader, machine) = just_reported(2, service(1, 4));
    let until = simulation.now + secs(20);
    simulation.inject_fault(&machine, MachineFault::InterruptedWithoutConnections, until - simulation.now);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.cloud.outage = true;
    simulation.store.outage = true;
    simulation.run(until - simulation.now);
    assert!(!simulation.running_tasks("wk-000001").is_empty(), "its lease lasts");
    simulation.run(GONE_ONCE_REACHED);
    assert!(simulation.running_tasks("wk-000001").is_empty());
}

#[test]
fn a_lost_stop_is_repeated_to_a_machine_whose_reports_reach_nobody() {
    let (mut simulation, leader, machine) = just_reported(2, service(1, 4));
    simulation.lost_reports.insert(machine.clone());
    simulation.lost_inbound.insert(machine.clone());
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.run(secs(3));
    assert!(!simulation.running_tasks("wk-000001").is_empty(), "the stop is lost");
    simulation.lost_inbound.clear();
    simulation.run(GONE_ONCE_REACHED);
    assert!(simulation.running_tasks("wk-000001").is_empty());
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
    let mut simulation = Simulation::with_facts(facts, 4000, Policy::default(), &["a", "b", "c"]);
    simulation.steps_per_check = 50;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    simulation.run(secs(10));
    let jobs: Vec<String> = (1..=80).map(job_id).collect();
    for number in 1..=80 {
        let spec = JobSpec { cpus: 3.3, spot: false, ..job(number, 150) };
        assert_eq!(simulation.submit(number as usize % 3, spec), Some(201));
    }
    simulation.run(secs(30));
    let running = |simulation: &Simulation| jobs.iter().map(|id| simulation.running_tasks(id).len()).sum::<usize>();
    assert_eq!(running(&simulation), 80 * 150);
    let leader = simulation.leader().expect("a leader");
    let zone: Vec<String> = simulation.workers.values().filter(|w| w.zone == "a").map(|w| w.name.clone()).collect();
    let until = simulation.now + secs(20);
    zone.iter().for_each(|name| {
        simulation.inject_fault(name, MachineFault::InterruptedWithoutConnections, until - simulation.now)
    });
    jobs.iter().for_each(|id| simulation.cancel_and_confirm((leader + 1) % 3, id));
    simulation.cloud.outage = true;
    simulation.store.outage = true;
    let during = simulation.max_direct_calls_per_second(leader, (until - simulation.now).as_secs());
    simulation.run(until - simulation.now);
    assert!(running(&simulation) > 0, "its leases last");
    let after = simulation.max_direct_calls_per_second(leader, GONE_ONCE_REACHED.as_secs());
    println!(
        "most calls a second: {during} during the cut, {after} after it; {} at a time",
        simulation.peak_direct_calls
    );
    assert_eq!(running(&simulation), 0);
    assert!(simulation.peak_direct_calls <= 300, "{} calls at a time", simulation.peak_direct_calls);
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
    let (mut simulation, _) = at_work(1, saving);
    simulation.cloud.capacity = 1;
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    // Its reports arrive, so that it is taken for reachable until the stops are lost.
    simulation.lost_inbound.insert(machine.clone());
    simulation.send_submission(0, JobSpec { priority: Priority::High, ..service(2, 4) });
    simulation.run(secs(8));
    let saves =
        |simulation: &Simulation| simulation.workers[&machine].tasks.iter().any(|task| task.state == TaskState::Saving);
    assert!(!saves(&simulation), "the stops are lost");
    simulation.lost_reports.insert(machine.clone());
    simulation.lost_inbound.clear();
    let until = simulation.now + GONE_ONCE_REACHED;
    while !saves(&simulation) && simulation.now < until {
        simulation.run(millis(100));
    }
    assert!(saves(&simulation));
}
