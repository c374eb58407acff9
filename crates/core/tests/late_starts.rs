//! Scenario tests of starts that reach a worker late for the first time. The worker has restarted meanwhile, and so knows
//! neither the token nor the session of the messages before. The simulation checks the rules at every step.

use std::time::Duration;

use rushyoke_core::Policy;
use rushyoke_testkit::{MachineFault, Simulation, job, millis, secs, service};
use rushyoke_wire::job::JobSpec;

/// Id of the job whose start is late.
const LATE_JOB: &str = "wk-000001";
/// Duration of the tasks that occupy all other machines when the late start is sent, in seconds.
const FILLING_TASK_S: f64 = 11.0;
/// Duration of tasks that do not end during a scenario, in seconds.
const LONG_TASK_S: f64 = 2000.0;

/// Returns a simulation with a leader, in which only the returned machine has room for some seconds.
fn simulation_with_room_on_one_machine(machines: usize) -> (Simulation, String) {
    let mut simulation = Simulation::with_policy(machines, Policy::default(), &["a"]);
    simulation.cloud.capacity = machines as u32;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = FILLING_TASK_S);
    simulation.run(secs(6));
    for filled in 1..machines as u32 {
        let team = if filled % 2 == 0 { "red" } else { "blue" };
        simulation.submit(0, JobSpec { team: team.into(), cpus: 16.0, ..job(100 + filled, 1) });
    }
    assert!(simulation.run_until(secs(5), |simulation| simulation.started_tasks == machines as u64 - 1));
    let has_room = |machine: &&String| simulation.workers[*machine].tasks.is_empty();
    let machine = simulation.workers.keys().find(has_room).expect("a machine has room").clone();
    simulation.run_until_reported(&machine);
    // The tasks that start from now on do not end during a scenario.
    simulation.set_task_duration(LONG_TASK_S);
    (simulation, machine)
}

/// Interrupts the machine's network and submits the job, whose start is then held back for `held_for`.
fn hold_back_start(simulation: &mut Simulation, machine: &str, held_for: Duration, spec: JobSpec) {
    simulation.inject_fault(machine, MachineFault::InterruptedWithOpenConnections, held_for);
    assert_eq!(simulation.submit(0, spec), Some(201));
    simulation.run(millis(500));
    assert!(simulation.running_tasks(LATE_JOB).is_empty(), "the start was not held back");
}

/// Runs to the end of the faults, and asserts that the task runs, once.
fn check_runs_once(simulation: &mut Simulation, case: &str) {
    simulation.run(secs(30));
    simulation.clear_faults();
    simulation.run(secs(30));
    assert_eq!(simulation.running_tasks(LATE_JOB).len(), 1, "{case}");
}

/// Holds a start back for each of these times, and restarts the worker after each of the others. The cloud releases no
/// machine, so that the start finds its machine.
fn check_restarts(spec: &JobSpec, restarts_after: &[Duration], holds: &[Duration]) {
    for restart_after in restarts_after {
        for held_for in holds {
            let (mut simulation, machine) = simulation_with_room_on_one_machine(2);
            simulation.cloud.outage = true;
            hold_back_start(&mut simulation, &machine, *held_for, spec.clone());
            simulation.run(*restart_after);
            simulation.restart_worker(&machine);
            check_runs_once(&mut simulation, &format!("restarted after {restart_after:?}, held for {held_for:?}"));
        }
    }
}

#[test]
fn a_start_held_back_past_the_lease_runs_no_task_twice_on_a_restarted_worker() {
    // Guards against tasks that run twice: the worker's lease counted as expired, and the task was started elsewhere,
    // while a worker that had restarted there had a new lease and accepted the start that was held back.
    check_restarts(&service(1, 1), &[secs(1), secs(5), secs(9)], &[secs(14), secs(16), secs(20)]);
    check_restarts(&job(1, 1), &[secs(1), secs(5), secs(9)], &[secs(14), secs(16), secs(20)]);
}

#[test]
fn a_new_session_from_before_a_restart_does_not_end_a_placement_whose_start_is_held_back() {
    // Guards against tasks that run twice: the report of a new session was held back together with the start, and counted
    // as a proof that the start is refused, though the worker that had sent it was gone.
    check_restarts(&service(1, 1), &[millis(13_500), secs(15)], &[secs(16), secs(20)]);
    check_restarts(&job(1, 1), &[millis(13_500), secs(15)], &[secs(16), secs(20)]);
}

#[test]
fn a_task_whose_start_is_held_back_runs_elsewhere_once_its_machine_is_released() {
    // Guards against a task that waits forever for a machine that is gone, since the leader keeps the machines when most
    // of them do not respond. Machines without such a task are kept.
    for machine_is_dead in [false, true] {
        let (mut simulation, machine) = simulation_with_room_on_one_machine(7);
        let others: Vec<String> = simulation.workers.keys().filter(|name| **name != machine).cloned().collect();
        for other in &others[..4] {
            simulation.inject_fault(other, MachineFault::InterruptedWithOpenConnections, secs(60));
        }
        hold_back_start(&mut simulation, &machine, secs(60), service(1, 1));
        if machine_is_dead {
            simulation.workers.remove(&machine);
        }
        simulation.run(secs(21));
        assert_eq!(simulation.cloud.machines.len(), 7, "a machine was released within two leases");
        simulation.run(secs(9));
        assert_eq!(simulation.running_tasks(LATE_JOB).len(), 1);
        assert!(!simulation.cloud.machines.contains_key(&machine));
        assert!(others.iter().all(|other| simulation.cloud.machines.contains_key(other)));
        check_runs_once(&mut simulation, "after the release");
    }
}

#[test]
fn a_start_that_was_answered_or_never_sent_ends_with_the_lease() {
    // Guards against tasks that wait longer than they have to: a start that cannot arrive any more does not outlive the
    // lease, even if the cloud releases no machine.
    for is_sent in [false, true] {
        let (mut simulation, machine) = simulation_with_room_on_one_machine(2);
        simulation.cloud.outage = true;
        if is_sent {
            simulation.submit(0, service(1, 1));
            assert!(simulation.run_until(secs(2), |simulation| simulation.running_tasks(LATE_JOB).len() == 1));
        }
        simulation.inject_fault(&machine, MachineFault::InterruptedWithoutConnections, secs(60));
        if !is_sent {
            simulation.submit(0, service(1, 1));
        }
        simulation.run(secs(17));
        let hosts: Vec<String> = simulation.running_tasks(LATE_JOB).into_iter().map(|(_, host)| host).collect();
        assert!(hosts.len() == 1 && hosts[0] != machine, "sent: {is_sent}, runs on {hosts:?}");
    }
}

#[test]
fn a_token_shown_before_a_restart_does_not_settle_a_start_that_is_held_back() {
    // Guards against tasks that run twice: the worker had shown a higher token than that of the start, and had then restarted,
    // so that it refused nothing.
    for (held_for, restart_after) in [(secs(30), secs(5)), (secs(30), secs(14)), (secs(45), secs(22))] {
        let (mut simulation, machine) = simulation_with_room_on_one_machine(2);
        simulation.cloud.outage = true;
        let arrives_at = simulation.now + held_for;
        simulation.delayed_orders_until.insert(machine.clone(), arrives_at);
        simulation.submit(0, service(1, 1));
        simulation.run(millis(500));
        simulation.delayed_orders_until.clear();
        // The start is repeated in a response. A short task then ends and is forgotten, which raises the token.
        assert!(simulation.run_until(secs(4), |simulation| simulation.running_tasks(LATE_JOB).len() == 1));
        let token = simulation.workers[&machine].token;
        simulation.workers.get_mut(&machine).expect("it is up").task_duration_s = 1.0;
        simulation.submit(0, job(2, 1));
        assert!(simulation.run_until(secs(8), |simulation| simulation.workers[&machine].token > token));
        // One more start is answered under the higher token.
        simulation.submit(0, job(3, 1));
        simulation.run(secs(3));
        simulation.run_until_reported(&machine);
        let interruption = arrives_at - simulation.now;
        simulation.inject_fault(&machine, MachineFault::InterruptedWithOpenConnections, interruption);
        simulation.run(restart_after);
        simulation.restart_worker(&machine);
        check_runs_once(&mut simulation, &format!("restarted after {restart_after:?}, held for {held_for:?}"));
    }
}

#[test]
fn a_new_leader_runs_no_task_twice_whose_start_by_the_former_leader_is_held_back() {
    // Guards against tasks that run twice: the former leader alone knew that a start had no answer, and the new one took
    // the lease of the machine, which it could not reach, for the end of it.
    for restart_after in [secs(5), secs(20)] {
        let (mut simulation, machine) = simulation_with_room_on_one_machine(2);
        simulation.cloud.outage = true;
        hold_back_start(&mut simulation, &machine, secs(30), service(1, 1));
        let leader = simulation.leader().expect("a leader");
        simulation.restart_node(leader, secs(3));
        simulation.run(restart_after);
        simulation.restart_worker(&machine);
        check_runs_once(&mut simulation, &format!("restarted after {restart_after:?}"));
    }
}
