//! Scenario tests of copies of direct calls that arrive late, after the call was carried out and answered. A worker
//! executes a copy like any call whose token and session match, so that only a higher token, another session or an
//! entry of the attempt keeps it from starting a task again. The simulation checks the rules at every step.

use std::time::Duration;

use rushyoke_core::Facts;
use rushyoke_testkit::{Simulation, Task, facts, job, job_id, millis, secs, service};
use rushyoke_wire::worker::TaskState;

/// Delays of the copies, from milliseconds to minutes.
const COPY_DELAYS: [Duration; 8] =
    [millis(10), millis(200), millis(700), millis(1500), secs(3), secs(8), secs(30), secs(150)];
/// Duration of tasks that are not to end during a scenario, in seconds.
const LONG_TASK_S: f64 = 2000.0;

/// Runs a scenario with one copy of each call for each delay, and with several copies.
fn for_each_delay(scenario: impl Fn(&[Duration])) {
    for delay in COPY_DELAYS {
        println!("one copy after {delay:?}");
        scenario(&[delay]);
    }
    println!("copies after {COPY_DELAYS:?}");
    scenario(&COPY_DELAYS);
}

/// Returns a simulation with long tasks on machines that receive late copies, and an elected leader.
fn simulation_with_copies(facts: Facts, machines: usize, delays: &[Duration]) -> Simulation {
    let mut simulation = Simulation::with_facts(facts, machines, Default::default(), &["a", "b"]);
    simulation.cloud.capacity = machines as u32;
    simulation.task_duration_s = LONG_TASK_S;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = LONG_TASK_S);
    simulation.run(secs(6));
    simulation.copy_orders_after(delays);
    simulation
}

/// Makes all workers fail every task that they start, or none.
fn fail_all_tasks(simulation: &mut Simulation, fails: bool) {
    simulation.workers.values_mut().for_each(|worker| worker.fails_all_tasks = fails);
}

/// Runs until the copies of all calls so far have arrived, and asserts that some arrived.
fn run_until_copies_arrived(simulation: &mut Simulation, delays: &[Duration]) {
    let longest = delays.iter().max().copied().unwrap_or_default();
    simulation.copied_orders_after.clear();
    simulation.run(longest + secs(5));
    assert!(simulation.order_copies > 0, "no copy arrived");
}

/// Asserts that a job has this many running tasks, and that this many tasks were started in all.
fn assert_running(simulation: &Simulation, number: u32, running: usize, started: u64) {
    let tasks = simulation.running_tasks(&job_id(number));
    assert_eq!((tasks.len(), simulation.started_tasks), (running, started), "{tasks:?}");
}

#[test]
fn a_copy_of_a_start_does_not_run_a_failed_task_a_second_time() {
    for_each_delay(|delays| {
        let mut simulation = simulation_with_copies(facts(0, 3), 2, delays);
        fail_all_tasks(&mut simulation, true);
        simulation.submit(0, service(1, 1));
        assert!(simulation.run_until(secs(5), |simulation| simulation.failed_tasks == 1));
        fail_all_tasks(&mut simulation, false);
        simulation.run(secs(4));
        run_until_copies_arrived(&mut simulation, delays);
        assert_running(&simulation, 1, 1, 1);
    });
}

/// Runs until a worker has forgotten all its tasks.
fn run_until_forgotten(simulation: &mut Simulation, machine: &str) {
    assert!(simulation.run_until(secs(10), |simulation| simulation.workers[machine].tasks.is_empty()));
}

#[test]
fn an_attempt_that_runs_again_after_its_end_was_reported_is_stopped() {
    let deployment = Facts { report_interval: secs(3), worker_lease: secs(28), cancel_limit: secs(48), ..facts(0, 3) };
    for delay in [millis(10), millis(100), millis(400), millis(900)] {
        let mut simulation = simulation_with_copies(deployment.clone(), 1, &[]);
        fail_all_tasks(&mut simulation, true);
        simulation.submit(0, job(1, 2));
        assert!(simulation.run_until(secs(5), |simulation| simulation.failed_tasks == 2));
        let ended = simulation.workers["n-000000"].tasks[0].clone();
        fail_all_tasks(&mut simulation, false);
        simulation.cancel_and_confirm(1, "wk-000001");
        run_until_forgotten(&mut simulation, "n-000000");
        // No report shows that the worker has forgotten the attempt before it runs again.
        simulation.lost_reports.insert("n-000000".into());
        simulation.run(delay);
        simulation.lost_reports.clear();
        let running = Task { state: TaskState::Running, cause: None, state_ends_at: secs(2000), ..ended };
        simulation.workers.get_mut("n-000000").expect("the machine is up").tasks.push(running);
        simulation.run(secs(10));
        assert!(simulation.running_tasks("wk-000001").is_empty(), "{delay:?}");
    }
}
