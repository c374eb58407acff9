//! Scenario tests of copies of direct calls that arrive late, after the call was carried out and answered. A worker
//! executes a copy like any call whose token and session match, so that only a higher token, another session or an
//! entry of the attempt keeps it from starting a task again. The simulation checks the rules at every step.

use std::time::Duration;

use rushyoke_core::{Facts, Policy, Team};
use rushyoke_testkit::{Simulation, Task, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, Priority};
use rushyoke_wire::worker::{Cause, TaskState};

/// Delays of the copies after the attempts have ended, from milliseconds to minutes.
const COPY_DELAYS: [Duration; 11] = [
    millis(10),
    millis(100),
    millis(400),
    millis(1000),
    millis(1800),
    millis(2600),
    secs(4),
    secs(8),
    secs(25),
    secs(70),
    secs(180),
];
/// Duration of tasks that are not to end during a scenario, in seconds.
const LONG_TASK_S: f64 = 2000.0;

/// How the first attempts of job 1 end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Failed,
    Done,
    Refused,
    Preempted,
    PreemptedWithCheckpoint,
    Cancelled,
}

/// What happens besides, from the end of the attempts on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disturbance {
    Nothing,
    /// The machines' next reports are lost.
    ReportsLost,
    LeaderRestartsAtOnce,
    AnotherLeader,
    TwoLeadersLater,
    WorkersRestart,
    WorkersRestartUnderAnotherLeader,
}

impl Disturbance {
    /// Time from which on copies are delivered: a worker that restarts is reached again before.
    fn copies_from(self) -> Duration {
        match self {
            Disturbance::WorkersRestart => secs(8),
            Disturbance::WorkersRestartUnderAnotherLeader => secs(25),
            _ => Duration::ZERO,
        }
    }
}

/// Returns a simulation with long tasks whose direct calls with starts are recorded, and an elected leader.
fn recording_simulation(facts: Facts, machines: usize) -> Simulation {
    let mut simulation = Simulation::with_facts(facts, machines, Policy::default(), &["a", "b"]);
    simulation.cloud.capacity = machines as u32;
    simulation.set_task_duration(LONG_TASK_S);
    simulation.run(secs(6));
    simulation.record_starts = true;
    simulation
}

/// Makes all workers fail every task that they start, or none.
fn fail_all_tasks(simulation: &mut Simulation, fails: bool) {
    simulation.workers.values_mut().for_each(|worker| worker.fails_all_tasks = fails);
}

/// Returns the number of attempts that workers list as exited for this cause.
fn exited(simulation: &Simulation, cause: Cause) -> usize {
    simulation.workers.values().flat_map(|worker| &worker.tasks).filter(|task| task.cause == Some(cause)).count()
}

/// Submits job 1 and runs until its first attempts have ended.
fn end_first_attempts(simulation: &mut Simulation, spec: JobSpec, ending: Ending) {
    match ending {
        Ending::Failed => {
            let tasks = u64::from(spec.tasks);
            fail_all_tasks(simulation, true);
            simulation.submit(0, spec);
            assert!(simulation.run_until(secs(8), |simulation| simulation.failed_tasks >= tasks));
            fail_all_tasks(simulation, false);
        }
        Ending::Done => {
            simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 2.0);
            simulation.submit(0, spec);
            assert!(simulation.run_until(secs(8), |simulation| exited(simulation, Cause::Done) > 0));
        }
        Ending::Refused => {
            let refuse = |simulation: &mut Simulation, cause: Option<Cause>| {
                simulation.workers.values_mut().for_each(|worker| worker.refuses_starts = cause)
            };
            refuse(simulation, Some(Cause::InsufficientResources));
            simulation.submit(0, spec);
            let refused = |simulation: &Simulation| exited(simulation, Cause::InsufficientResources) > 0;
            assert!(simulation.run_until(secs(8), refused));
            refuse(simulation, None);
        }
        Ending::Preempted | Ending::PreemptedWithCheckpoint => {
            let cpus = simulation.workers.len() as u32 * 16;
            let save_s = if ending == Ending::Preempted { 0.0 } else { 2.0 };
            let victim = JobSpec {
                priority: Priority::BestEffort,
                team: "blue".into(),
                checkpoint_interval_s: save_s * 2.0,
                save_s,
                ..job(1, cpus)
            };
            simulation.submit(0, victim);
            assert!(simulation.run_until(secs(10), |simulation| simulation.started_tasks == u64::from(cpus)));
            simulation.send_submission(0, service(2, 4));
            assert!(simulation.run_until(secs(10), |simulation| exited(simulation, Cause::Stopped) > 0));
        }
        Ending::Cancelled => {
            let tasks = u64::from(spec.tasks);
            simulation.submit(0, spec);
            assert!(simulation.run_until(secs(8), |simulation| simulation.started_tasks == tasks));
            simulation.cancel_and_confirm(1, "wk-000001");
        }
    }
}

/// Runs until `time` after `start`.
fn run_to(simulation: &mut Simulation, start: Duration, time: Duration) {
    simulation.run((start + time).saturating_sub(simulation.now));
}

/// Crashes the leader, and starts it again after a pause.
fn restart_leader(simulation: &mut Simulation, pause: Duration) {
    let leader = simulation.leader().expect("a leader");
    simulation.restart_node(leader, pause);
}

/// Restarts all workers; their sessions and numbers begin anew.
fn restart_workers(simulation: &mut Simulation) {
    let machines: Vec<String> = simulation.workers.keys().cloned().collect();
    machines.iter().for_each(|machine| simulation.restart_worker(machine));
}

/// Brings the disturbance about.
fn disturb(simulation: &mut Simulation, disturbance: Disturbance) {
    match disturbance {
        Disturbance::Nothing => {}
        Disturbance::ReportsLost => simulation.lost_reports = simulation.workers.keys().cloned().collect(),
        Disturbance::LeaderRestartsAtOnce => restart_leader(simulation, millis(10)),
        Disturbance::AnotherLeader => restart_leader(simulation, secs(4)),
        Disturbance::TwoLeadersLater => (0..2).for_each(|_| restart_leader(simulation, secs(5))),
        Disturbance::WorkersRestart => {
            simulation.run(secs(3));
            restart_workers(simulation);
        }
        Disturbance::WorkersRestartUnderAnotherLeader => {
            restart_leader(simulation, secs(5));
            simulation.run(secs(8));
            restart_workers(simulation);
        }
    }
}

/// Ends the first attempts of job 1, delivers copies of all their starts after each of the delays, and asserts that these
/// start nothing. The simulation asserts that no rule is broken meanwhile.
fn check_copies(
    simulation: &mut Simulation,
    spec: JobSpec,
    ending: Ending,
    disturbance: Disturbance,
    delays: &[Duration],
) {
    end_first_attempts(simulation, spec, ending);
    let start = simulation.now;
    simulation.record_starts = false;
    // The cloud releases no machine, so that the copies find theirs.
    simulation.cloud.outage = true;
    disturb(simulation, disturbance);
    for delay in delays.iter().filter(|delay| **delay >= disturbance.copies_from()) {
        run_to(simulation, start, *delay);
        simulation.deliver_recorded_starts();
        assert!(simulation.order_copies > 0, "{ending:?}, {disturbance:?}, {delay:?}: no copy was delivered");
        simulation.run(secs(1));
        simulation.lost_reports.clear();
    }
    simulation.run(secs(6));
    assert_eq!(simulation.starts_by_copies, 0, "{ending:?}, {disturbance:?}, copies after {delays:?}");
}

/// Checks one kind of disturbance with each kind of ending, with a single copy for each delay and with several.
fn check_all_endings(disturbance: Disturbance) {
    use Ending::*;
    for ending in [Failed, Done, Refused, Preempted, PreemptedWithCheckpoint, Cancelled] {
        let spec = if ending == Done { job(1, 2) } else { service(1, 2) };
        let single_copies = COPY_DELAYS.iter().map(std::slice::from_ref);
        for delays in single_copies.chain([COPY_DELAYS.as_slice()]) {
            let mut simulation = recording_simulation(facts(0, 3), 2);
            check_copies(&mut simulation, spec.clone(), ending, disturbance, delays);
        }
    }
}

#[test]
fn copies_of_starts_run_no_attempt_that_has_ended() {
    check_all_endings(Disturbance::Nothing);
}

#[test]
fn copies_of_starts_run_no_attempt_while_reports_are_lost() {
    check_all_endings(Disturbance::ReportsLost);
}

#[test]
fn copies_of_starts_run_no_attempt_after_the_leader_was_back_at_once() {
    check_all_endings(Disturbance::LeaderRestartsAtOnce);
}

#[test]
fn copies_of_starts_of_earlier_leaders_run_no_attempt() {
    check_all_endings(Disturbance::AnotherLeader);
    check_all_endings(Disturbance::TwoLeadersLater);
}

#[test]
fn copies_of_starts_run_no_attempt_on_a_worker_that_restarted() {
    check_all_endings(Disturbance::WorkersRestart);
    check_all_endings(Disturbance::WorkersRestartUnderAnotherLeader);
}

#[test]
fn copies_of_starts_break_neither_limits_nor_zones() {
    let team = |cpus| Team { cpus, cpus_max: cpus, gpus: 0.0, gpus_max: 0.0 };
    let at_limit = Facts { teams: [("red".to_owned(), team(4.0))].into(), ..facts(0, 3) };
    let specs = [service(1, 4), JobSpec { spread: true, ..service(1, 4) }, JobSpec { one_zone: true, ..service(1, 4) }];
    for spec in specs {
        for ending in [Ending::Failed, Ending::Refused, Ending::Cancelled] {
            let mut simulation = recording_simulation(at_limit.clone(), 4);
            check_copies(&mut simulation, spec.clone(), ending, Disturbance::Nothing, &COPY_DELAYS);
        }
    }
}

#[test]
fn copies_of_starts_meet_a_new_attempt_on_the_same_machine() {
    let mut simulation = recording_simulation(facts(0, 3), 1);
    check_copies(&mut simulation, service(1, 3), Ending::Refused, Disturbance::Nothing, &COPY_DELAYS);
    assert_eq!((simulation.running_tasks("wk-000001").len(), simulation.started_tasks), (3, 3));
}

#[test]
fn copies_of_starts_run_no_task_twice_that_lost_its_worker() {
    // The worker is back at once, in its first session, and knows no token; a notice moves its tasks elsewhere.
    for delay in COPY_DELAYS {
        let mut simulation = recording_simulation(facts(0, 3), 3);
        simulation.submit(0, service(1, 3));
        assert!(simulation.run_until(secs(8), |simulation| simulation.started_tasks == 3));
        simulation.run(secs(20));
        simulation.cloud.outage = true;
        let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
        simulation.restart_worker(&machine);
        simulation.workers.get_mut(&machine).expect("the machine is up").notice_s = Some(200.0);
        simulation.run(delay);
        simulation.deliver_recorded_starts();
        simulation.run(secs(30));
        assert_eq!(simulation.running_tasks("wk-000001").len(), 3, "{delay:?}");
    }
}

#[test]
fn a_copy_of_a_start_to_the_first_session_runs_nothing_once_a_worker_is_in_it_again() {
    // The worker gets no responses, so that its lease ends and its task moves; then it restarts.
    let mut simulation = recording_simulation(facts(0, 3), 2);
    simulation.submit(0, service(1, 1));
    simulation.run(secs(4));
    simulation.cloud.outage = true;
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    simulation.lost_inbound.insert(machine.clone());
    assert!(simulation.run_until(secs(20), |simulation| simulation.workers[&machine].session == 2));
    simulation.run(secs(6));
    assert_eq!((simulation.running_tasks("wk-000001").len(), simulation.started_tasks), (1, 2));
    simulation.lost_inbound.clear();
    simulation.restart_worker(&machine);
    simulation.run(secs(3));
    simulation.deliver_recorded_starts();
    simulation.run(secs(5));
    assert_eq!((simulation.order_copies, simulation.starts_by_copies), (2, 0));
}

#[test]
fn tokens_of_a_term_are_lower_than_those_of_any_later_leader() {
    // A leader of an earlier version acts with the version of its key, and steps down if a worker shows a higher token.
    let mut simulation = Simulation::with_elected_leader(4);
    simulation.submit(0, JobSpec { cpus: 9.0, ..service(90, 4) });
    let mut raised = 0;
    for number in 0..12 {
        simulation.submit(number as usize % 3, job(number + 1, 6));
        // Tasks end and are forgotten, which raises tokens.
        simulation.run(secs(18));
        let leader = simulation.leader().expect("a leader");
        let term_token = simulation.leader_token(leader).expect("it leads");
        raised += simulation.workers.values().filter(|worker| worker.token > term_token).count();
        let highest_shown = simulation.workers.values().map(|worker| worker.token).max().expect("a worker");
        simulation.crash_node(leader);
        assert!(simulation.run_until(secs(6), |simulation| simulation.leader().is_some()));
        let next_token = simulation.leader().and_then(|node| simulation.leader_token(node)).expect("a leader");
        assert!(next_token > highest_shown, "{next_token} after {highest_shown}");
        simulation.start_node(leader);
    }
    assert!(raised > 0, "no worker was shown a higher token than the leader key's version");
}

#[test]
fn a_worker_that_restarts_is_shown_the_token_at_once() {
    // Until then nothing on it refuses a copy of a call to its first session.
    let cases = [(millis(0), 1), (millis(700), 1), (millis(1500), 2), (secs(4), 5)];
    for (restart_after, session) in cases {
        let mut simulation = Simulation::new(2);
        simulation.workers.values_mut().for_each(|worker| worker.session = session);
        simulation.run(secs(6));
        simulation.submit(0, service(1, 2));
        simulation.run(secs(8) + restart_after);
        let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
        simulation.restart_worker(&machine);
        assert!(simulation.run_until(millis(500), |simulation| simulation.workers[&machine].token > 0));
    }
}

#[test]
fn a_copy_of_a_start_does_not_run_a_failed_task_a_second_time() {
    for delay in COPY_DELAYS {
        let mut simulation = recording_simulation(facts(0, 3), 2);
        simulation.copy_orders_after(&[delay]);
        end_first_attempts(&mut simulation, service(1, 1), Ending::Failed);
        simulation.run(secs(4));
        simulation.copied_orders_after.clear();
        simulation.run(delay + secs(5));
        assert!(simulation.order_copies > 0, "no copy arrived");
        assert_eq!((simulation.running_tasks("wk-000001").len(), simulation.started_tasks), (1, 1), "{delay:?}");
    }
}

#[test]
fn an_attempt_that_runs_again_after_its_end_was_reported_is_stopped() {
    let deployment = Facts { report_interval: secs(3), worker_lease: secs(28), cancel_limit: secs(48), ..facts(0, 3) };
    for delay in [millis(10), millis(100), millis(400), millis(900)] {
        let mut simulation = recording_simulation(deployment.clone(), 1);
        end_first_attempts(&mut simulation, job(1, 2), Ending::Failed);
        let ended = simulation.workers["n-000000"].tasks[0].clone();
        simulation.cancel_and_confirm(1, &job_id(1));
        assert!(simulation.run_until(secs(10), |simulation| simulation.workers["n-000000"].tasks.is_empty()));
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
