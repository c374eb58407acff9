//! Scenario tests of machines that die, fail tasks, receive nothing or report late, and of orders that arrive late.

use std::collections::BTreeSet;
use std::time::Duration;

use rushyoke_testkit::{Simulation, job, secs, service};
use rushyoke_wire::job::JobStatus;

/// Returns the node after the given one, in cyclic order.
fn next_node(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn late_reports_of_an_empty_machine_restart_no_tasks() {
    let mut simulation = Simulation::with_elected_leader(1);
    // Reports that show the machine empty arrive after its tasks have started.
    simulation.delayed_reports_until.insert("n-000000".into(), simulation.now + secs(3));
    simulation.run(secs(2));
    simulation.submit(0, service(1, 5));
    simulation.run(secs(1));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 5);
    simulation.delayed_reports_until.clear();
    simulation.run(secs(15));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 5);
    assert_eq!(simulation.started_tasks, 5);
}

#[test]
fn late_start_order_does_not_run_a_task_twice() {
    let mut simulation = Simulation::with_elected_leader(2);
    for name in ["n-000000", "n-000001"] {
        simulation.delayed_orders_until.insert(name.into(), simulation.now + secs(25));
    }
    simulation.submit(0, job(1, 8));
    // The direct start orders are delayed; the responses to reports carry the same orders.
    simulation.run(secs(8));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 8);
    simulation.delayed_orders_until.clear();
    simulation.run(secs(30));
    assert_eq!(simulation.job_state(0, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(simulation.started_tasks, 8, "a late start order ran a task");
}

#[test]
fn late_start_order_of_a_cancelled_job_runs_nothing() {
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.delayed_orders_until.insert("n-000000".into(), simulation.now + secs(40));
    simulation.submit(0, service(1, 2));
    simulation.run(Duration::from_millis(100));
    simulation.cancel(1, "wk-000001");
    simulation.run(secs(60));
    assert!(simulation.running_tasks("wk-000001").is_empty());
}

#[test]
fn rental_without_a_response_is_not_repeated() {
    let mut simulation = Simulation::with_elected_leader(0);
    simulation.lose_rental_responses = true;
    simulation.submit(0, job(1, 4));
    simulation.run(secs(40));
    assert_eq!(simulation.job_state(0, "wk-000001"), Some(JobStatus::Done));
    assert!(simulation.cloud.rentals <= 2, "{} rentals", simulation.cloud.rentals);
}

#[test]
fn tasks_of_a_dead_machine_run_elsewhere() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.submit(0, service(1, 2));
    simulation.run(secs(4));
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    simulation.workers.remove(&machine);
    simulation.run(secs(10));
    let placements = simulation.running_tasks("wk-000001");
    assert!(placements.len() == 2 && placements.iter().all(|(_, host)| *host != machine), "{placements:?}");
}

#[test]
fn faulty_machine_is_distinguished_from_a_job_that_fails_everywhere() {
    let mut simulation = Simulation::with_elected_leader(3);
    simulation.workers.get_mut("n-000000").expect("the machine is up").fails_all_tasks = true;
    simulation.submit(0, job(1, 30));
    simulation.run(secs(30));
    assert_eq!(simulation.job_state(0, "wk-000001"), Some(JobStatus::Done));
    assert!(!simulation.workers.contains_key("n-000000"), "the machine was not released");
    // Now every machine fails the tasks of one job: no machine is considered faulty.
    for worker in simulation.workers.values_mut() {
        worker.fails_all_tasks = true;
    }
    let before = simulation.workers.len();
    simulation.submit(0, job(2, 2));
    simulation.run(secs(20));
    assert!(simulation.workers.len() >= before, "machines were released because of a failing job");
}

#[test]
fn faulty_machine_in_a_full_fleet_gets_few_tasks() {
    // Guards against placing task after task on a faulty machine: with all others full, it was the
    // only one with free resources, and failed 279 tasks.
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.cloud.capacity = 2;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 60.0);
    simulation.workers.get_mut("n-000000").expect("the machine is up").fails_all_tasks = true;
    simulation.submit(0, job(1, 64));
    simulation.run(secs(20));
    assert!(simulation.failed_tasks <= 16, "{} tasks failed", simulation.failed_tasks);
}

#[test]
fn machine_that_never_boots_is_replaced() {
    let mut simulation = Simulation::with_elected_leader(0);
    simulation.cloud.never_boot.insert("n-000000".into());
    simulation.submit(0, job(1, 4));
    simulation.run(secs(60));
    assert_eq!(simulation.job_state(0, "wk-000001"), Some(JobStatus::Done));
    simulation.run(secs(60));
    assert!(!simulation.cloud.machines.contains_key("n-000000"), "the machine was not released");
}

#[test]
fn spot_notice_moves_tasks_that_cannot_finish() {
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 40.0);
    simulation.submit(0, job(1, 28));
    simulation.run(secs(15));
    let placements = simulation.running_tasks("wk-000001");
    let spot = placements
        .iter()
        .map(|(_, machine)| machine.clone())
        .find(|machine| simulation.workers[machine].spot)
        .expect("a task runs on a spot machine");
    let tasks_on_spot = |simulation: &Simulation| {
        simulation.running_tasks("wk-000001").iter().filter(|(_, machine)| *machine == spot).count()
    };
    simulation.workers.get_mut(&spot).expect("the machine is up").notice_s = Some(4.0);
    simulation.run(secs(3));
    assert_eq!(tasks_on_spot(&simulation), 0);
    simulation.run(secs(60));
    assert_eq!(simulation.job_state(0, "wk-000001"), Some(JobStatus::Done));
}

#[test]
fn machine_that_receives_nothing_is_released_and_its_tasks_run_elsewhere() {
    let mut simulation = Simulation::with_elected_leader(3);
    simulation.cloud.capacity = 3;
    simulation.submit(0, service(1, 3));
    simulation.run(secs(4));
    let (_, unreachable) = simulation.running_tasks("wk-000001")[0].clone();
    // Its reports still arrive now and then; while the cloud is down, it cannot be released.
    simulation.lost_inbound.insert(unreachable.clone());
    simulation.cloud.outage = true;
    simulation.run(secs(13));
    // More tasks than the other machines can run at once; none waits on the unreachable machine.
    simulation.submit(1, job(2, 40));
    for _ in 0..32 {
        simulation.run(secs(1));
        assert_eq!(
            simulation.count_recorded_placements("wk-000002", &unreachable),
            0,
            "a report alone must not make the machine count as reachable"
        );
    }
    assert_eq!(simulation.running_tasks("wk-000001").len(), 3);
    assert_eq!(
        simulation.job_state(2, "wk-000002"),
        Some(JobStatus::Done),
        "the job did not complete on the other machines"
    );
    simulation.cloud.outage = false;
    simulation.run(secs(20));
    assert!(!simulation.workers.contains_key(&unreachable), "the unreachable machine was not released");
}

#[test]
fn machine_that_receives_nothing_gets_no_tasks_after_the_first_failed_call() {
    let mut simulation = Simulation::with_elected_leader(4);
    simulation.cloud.outage = true;
    // Its reports keep arriving, so that it seems alive and idle.
    simulation.lost_inbound.insert("n-000000".into());
    simulation.submit(0, job(1, 8));
    simulation.run(secs(3));
    assert!(
        simulation.count_recorded_placements("wk-000001", "n-000000") > 0,
        "no task was placed on the unreachable machine at first"
    );
    for id in 2..6 {
        simulation.submit(id as usize % 3, job(id, 4));
        simulation.run(secs(1));
        assert_eq!(simulation.count_recorded_placements(&format!("wk-{id:06}"), "n-000000"), 0, "job {id}");
    }
}

#[test]
fn late_copies_of_reports_keep_no_dead_machine_alive() {
    for delay_s in [3, 15] {
        let mut simulation = Simulation::with_elected_leader(3);
        simulation.submit(0, service(1, 3));
        simulation.run(secs(4));
        let (_, dead) = simulation.running_tasks("wk-000001")[0].clone();
        simulation.duplicated_reports_after.insert(dead.clone(), secs(delay_s));
        simulation.run(secs(delay_s + 2));
        // The machine dies, and the cloud cannot confirm it; copies of its reports keep arriving.
        simulation.cloud.outage = true;
        simulation.workers.remove(&dead);
        simulation.run(secs(19));
        let placements = simulation.running_tasks("wk-000001");
        assert!(
            placements.len() == 3 && placements.iter().all(|(_, machine)| *machine != dead),
            "copies {delay_s} s late: {placements:?}"
        );
    }
}

#[test]
fn copies_of_reports_from_before_a_takeover_do_not_count_as_capacity() {
    let mut simulation = Simulation::with_elected_leader(4);
    simulation.duplicated_reports_after.extend((0..4).map(|n| (format!("n-{n:06}"), secs(10))));
    simulation.run(secs(12));
    // Three machines are gone when the leader crashes; copies of their reports reach a new leader
    // that has never known them.
    let leader = simulation.leader().expect("a leader");
    simulation.crash_node(leader);
    for gone in ["n-000001", "n-000002", "n-000003"] {
        simulation.workers.remove(gone);
        simulation.cloud.machines.remove(gone);
    }
    simulation.run(secs(6));
    simulation.submit(next_node(leader), job(1, 40));
    simulation.run(secs(3));
    assert!(simulation.cloud.machines.len() >= 3, "the leader counts on machines that are gone");
    simulation.run(secs(35));
    assert_eq!(simulation.job_state(next_node(leader), "wk-000001"), Some(JobStatus::Done));
    assert_eq!(simulation.started_tasks, 40);
}

#[test]
fn worker_that_restarts_at_once_gets_its_tasks_again() {
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.cloud.capacity = 1;
    simulation.submit(0, service(1, 4));
    simulation.run(secs(100));
    // The numbers of its sessions and reports start again from the beginning, so its reports look like late copies.
    simulation.restart_worker("n-000000");
    simulation.run(secs(8));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
    assert_eq!(simulation.started_tasks, 8);
}

#[test]
fn a_copy_of_a_report_from_before_a_restart_ends_no_placement() {
    // Guards against tasks that run twice: a copy of a report from before a worker's restart arrives after the leader has
    // noticed the restart. Its numbers are higher than those since, so what runs there seemed to be gone.
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.cloud.capacity = 2;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    // Two jobs fill one machine, so that the third one runs on the other.
    for filler in [job(1, 2), job(2, 14)] {
        simulation.submit(0, filler);
        simulation.run(secs(3));
    }
    simulation.submit(0, job(3, 6));
    simulation.run(secs(40));
    let machines: BTreeSet<String> = simulation.running_tasks("wk-000003").into_iter().map(|(_, host)| host).collect();
    let [machine] = Vec::from_iter(machines).try_into().expect("all its tasks run on one machine");
    simulation.duplicated_reports_after.insert(machine.clone(), secs(20));
    simulation.run(secs(4));
    simulation.duplicated_reports_after.clear();
    simulation.restart_worker(&machine);
    simulation.workers.get_mut(&machine).expect("restarted").task_duration_s = 300.0;
    simulation.run(secs(10));
    assert_eq!((simulation.running_tasks("wk-000003").len(), simulation.started_tasks), (6, 28));
    simulation.cancel_and_confirm(0, "wk-000002");
    // The copies arrive. The simulation checks that no task runs twice.
    simulation.run(secs(20));
    assert_eq!((simulation.running_tasks("wk-000003").len(), simulation.started_tasks), (6, 28));
    // What the worker reports since is still learned.
    simulation.cancel_and_confirm(0, "wk-000003");
    simulation.submit(0, job(4, 16));
    simulation.run(secs(5));
    assert!(simulation.running_tasks("wk-000004").iter().any(|(_, host)| *host == machine));
}

#[test]
fn late_start_order_does_not_run_on_a_restarted_worker() {
    let mut simulation = Simulation::with_elected_leader(3);
    simulation.cloud.capacity = 3;
    let mut large_tasks = service(9, 3);
    large_tasks.cpus = 9.0;
    simulation.submit(0, large_tasks);
    simulation.run(secs(100));
    // The workers report to the leader itself, so that it does not count as partitioned.
    let leader = simulation.leader().expect("a leader");
    simulation.workers.values_mut().for_each(|worker| worker.node = leader);
    for name in ["n-000000", "n-000001", "n-000002"] {
        simulation.delayed_orders_until.insert(name.into(), simulation.now + secs(22));
    }
    simulation.submit(0, service(1, 8));
    // The direct start orders are delayed; the responses to reports carry the same orders.
    simulation.run(secs(8));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 8);
    simulation.delayed_orders_until.clear();
    let (_, restarted) = simulation.running_tasks("wk-000001")[0].clone();
    // The restarted worker is in its first session again, which the late start orders match, while the notice
    // moves its tasks elsewhere.
    simulation.restart_worker(&restarted);
    simulation.workers.get_mut(&restarted).expect("the machine is up").notice_s = Some(60.0);
    simulation.cloud.outage = true;
    simulation.run(secs(20));
    simulation.cloud.outage = false;
    simulation.run(secs(20));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 8);
}

#[test]
fn healthy_machine_that_has_not_reported_yet_gets_tasks() {
    // Guards against leaving healthy machines idle, as seen with 4,000 machines: machines that had just booted
    // were considered to have stopped reporting, although they had not reported yet, and got no tasks.
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.cloud.capacity = 2;
    let new_machine = simulation.cloud.add_machine(simulation.now, "a", false);
    simulation.lost_reports.insert(new_machine.clone());
    simulation.boot_time = secs(1);
    // The cloud lists the machine as running, and it responds to calls.
    simulation.run(secs(8));
    assert_eq!(simulation.submit(0, service(1, 24)), Some(201));
    simulation.run(secs(2));
    assert!(
        simulation.running_tasks("wk-000001").iter().any(|(_, machine)| *machine == new_machine),
        "the new machine got no tasks"
    );
    simulation.lost_reports.clear();
    simulation.run(secs(20));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 24);
}
