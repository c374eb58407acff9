//! Scenario tests of stop orders for cancelled tasks that are lost, delayed or get late responses. Tasks must have
//! stopped within `cancel_s` of the response that confirmed the cancellation to a user; the simulation checks
//! this and all other invariants at every step.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_core::{Facts, Policy, Team};
use rushyoke_testkit::{MachineFault, Simulation, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, Priority};
use rushyoke_wire::worker::TaskState;

/// Cancelled tasks have stopped within this time after direct calls reach their machine again (`docs/design.md`).
const STOP_LIMIT_ONCE_REACHABLE: Duration = Duration::from_secs(5);

/// Returns the facts of a deployment whose leases last longer than a leader may respond without the state service.
fn facts_with_long_leases() -> Facts {
    Facts { report_interval: secs(4), worker_lease: secs(28), cancel_limit: secs(48), ..facts(0, 3) }
}

/// Returns a simulation in which all tasks of job 1 run, and the leader.
fn running_job(machines: usize, spec: JobSpec) -> (Simulation, usize) {
    let mut simulation = Simulation::with_facts(facts_with_long_leases(), machines, Policy::default(), &["a"]);
    let tasks = spec.tasks as usize;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 200.0);
    simulation.run(secs(10));
    simulation.submit(0, spec);
    simulation.run(secs(24));
    assert_eq!(simulation.running_tasks("wk-000001").len(), tasks);
    let leader = simulation.leader().expect("a leader");
    (simulation, leader)
}

/// Like [`running_job`], and also returns a machine of the job whose worker has just reported.
fn running_job_after_report(machines: usize, spec: JobSpec) -> (Simulation, usize, String) {
    let (mut simulation, leader) = running_job(machines, spec);
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    simulation.run_until_reported(&machine);
    (simulation, leader, machine)
}

/// Cancels a job while the network to one of its machines is interrupted, and asserts that all its tasks stop. When
/// the machine's delayed reports arrive, the state service is down, and the leader may no longer respond after the
/// worker's next report. Direct calls get through again after the interruption only if `direct_calls_pass`.
fn check_cancellation_during_interruption(machines: usize, spec: JobSpec, direct_calls_pass: bool) {
    let (mut simulation, leader, machine) = running_job_after_report(machines, spec);
    let until = simulation.now + millis(23_300);
    simulation.inject_fault(&machine, MachineFault::InterruptedWithoutConnections, until - simulation.now);
    if !direct_calls_pass {
        simulation.delayed_orders_until.insert(machine.clone(), simulation.now + secs(200));
    }
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.run(secs(8));
    simulation.cloud.outage = true;
    simulation.store.outage = true;
    simulation.run(until - simulation.now + secs(1));
    assert_eq!(simulation.workers[&machine].session, 1, "the lease expired");
    simulation.run(secs(40));
    assert!(simulation.running_tasks("wk-000001").is_empty());
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
    let (mut simulation, leader) = running_job(1, tiny);
    simulation.delayed_lists_until = Some(("log/", simulation.now + secs(15)));
    simulation.hung_watches.insert(leader);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.crash_node(leader);
    simulation.run(secs(15));
    assert!(!simulation.running_tasks("wk-000001").is_empty(), "a response contained all stops");
    simulation.run(secs(10));
    assert!(simulation.running_tasks("wk-000001").is_empty());
}

#[test]
fn cancelled_tasks_stop_soon_after_direct_calls_pass_without_responses_to_reports() {
    let (mut simulation, leader, machine) = running_job_after_report(2, service(1, 4));
    let until = simulation.now + secs(20);
    simulation.inject_fault(&machine, MachineFault::InterruptedWithoutConnections, until - simulation.now);
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.cloud.outage = true;
    simulation.store.outage = true;
    simulation.run(until - simulation.now);
    assert!(!simulation.running_tasks("wk-000001").is_empty(), "the lease expired");
    simulation.run(STOP_LIMIT_ONCE_REACHABLE);
    assert!(simulation.running_tasks("wk-000001").is_empty());
}

#[test]
fn a_lost_stop_is_retried_to_a_machine_whose_reports_are_lost() {
    let (mut simulation, leader, machine) = running_job_after_report(2, service(1, 4));
    simulation.lost_reports.insert(machine.clone());
    simulation.lost_inbound.insert(machine.clone());
    simulation.cancel_and_confirm((leader + 1) % 3, "wk-000001");
    simulation.run(secs(3));
    assert!(!simulation.running_tasks("wk-000001").is_empty(), "the stop arrived");
    simulation.lost_inbound.clear();
    simulation.run(STOP_LIMIT_ONCE_REACHABLE);
    assert!(simulation.running_tasks("wk-000001").is_empty());
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
    let zone_machines: Vec<String> =
        simulation.workers.values().filter(|worker| worker.zone == "a").map(|worker| worker.name.clone()).collect();
    let until = simulation.now + secs(20);
    zone_machines.iter().for_each(|name| {
        simulation.inject_fault(name, MachineFault::InterruptedWithoutConnections, until - simulation.now)
    });
    jobs.iter().for_each(|id| simulation.cancel_and_confirm((leader + 1) % 3, id));
    simulation.cloud.outage = true;
    simulation.store.outage = true;
    let calls_during = simulation.max_direct_calls_per_second(leader, (until - simulation.now).as_secs());
    simulation.run(until - simulation.now);
    assert!(running(&simulation) > 0, "the leases expired");
    let calls_after = simulation.max_direct_calls_per_second(leader, STOP_LIMIT_ONCE_REACHABLE.as_secs());
    println!(
        "most calls per second: {calls_during} during the interruption, {calls_after} after it; {} at a time",
        simulation.peak_direct_calls
    );
    assert_eq!(running(&simulation), 0);
    assert!(simulation.peak_direct_calls <= 300, "{} calls at a time", simulation.peak_direct_calls);
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
    let (mut simulation, _) = running_job(1, checkpointing_job);
    simulation.cloud.capacity = 1;
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    // Its reports arrive, so the machine counts as reachable until the stops are lost.
    simulation.lost_inbound.insert(machine.clone());
    simulation.send_submission(0, JobSpec { priority: Priority::High, ..service(2, 4) });
    simulation.run(secs(8));
    let has_saving_task =
        |simulation: &Simulation| simulation.workers[&machine].tasks.iter().any(|task| task.state == TaskState::Saving);
    assert!(!has_saving_task(&simulation), "the stops arrived");
    simulation.lost_reports.insert(machine.clone());
    simulation.lost_inbound.clear();
    let until = simulation.now + STOP_LIMIT_ONCE_REACHABLE;
    while !has_saving_task(&simulation) && simulation.now < until {
        simulation.run(millis(100));
    }
    assert!(has_saving_task(&simulation));
}
