//! Scenario tests of lowered limits of the state service. The fake state service fails a scenario that exceeds them.

use std::collections::BTreeMap;

use rushyoke_core::{Facts, Policy, Team};
use rushyoke_testkit::{Simulation, all_in_state, facts, job, job_id, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

#[test]
fn lowered_limits_of_the_state_service_block_no_job() {
    // The version in production wrote large values, and the lowered limits allow only small ones.
    let mut simulation = Simulation::with_facts(facts(0, 3), 5, Policy::default(), &["a", "b"]);
    simulation.task_duration_s = 20.0;
    simulation.run(secs(6));
    (1..5).for_each(|id| assert_eq!(simulation.submit(0, service(id, 14)), Some(201)));
    let wide_array = |id| JobSpec { team: "blue".into(), cpus: 0.02, memory_gb: 0.1, ..job(id, 200) };
    (5..8).for_each(|id| assert_eq!(simulation.submit(0, wide_array(id)), Some(201)));
    simulation.run(secs(8));
    let (rows, checker) = (std::mem::take(&mut simulation.store.rows), std::mem::take(&mut simulation.checker));
    let largest = rows.values().map(|(value, ..)| value.to_string().len()).max();
    assert!(largest > Some(2048), "no large values: {largest:?}");
    let lower_limits = Facts { value_bytes: 2048, txn_ops: 5, ..facts(0, 3) };
    let mut simulation = Simulation::with_facts(lower_limits, 5, Policy::default(), &["a", "b"]);
    simulation.task_duration_s = 20.0;
    simulation.steps_per_check = 3;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 20.0);
    (1..5).for_each(|id| drop(simulation.specs.insert(job_id(id), service(id, 14))));
    (5..8).for_each(|id| drop(simulation.specs.insert(job_id(id), wide_array(id))));
    simulation.checker = checker;
    simulation.store.rows = rows.into_iter().filter(|(key, _)| key != "lead").collect();
    simulation.store.revision = simulation.store.rows.values().map(|row| row.1).max().unwrap_or_default();
    (simulation.store.max_txn_writes, simulation.store.max_value_bytes) = (5, 2048);
    simulation.run(secs(50));
    assert_eq!(simulation.submit(1, JobSpec { dependencies: vec![job_id(5), job_id(6)], ..job(10, 5) }), Some(201));
    let queried: Vec<String> = (1..40).map(job_id).collect();
    assert_eq!(
        simulation.statuses_of_all(0, &queried).len(),
        39,
        "some of the queries, too many for one comparison, got no response"
    );
    assert!(simulation.cancel(1, &job_id(4)).is_some());
    for _ in 0..4 {
        let leader = simulation.leader().expect("a leader");
        simulation.restart_node(leader, secs(6));
        simulation.run(secs(25));
    }
    simulation.run(secs(60));
    assert_eq!(simulation.job_states(1, 5..=7), all_in_state(JobStatus::Done, 3));
    assert_eq!(simulation.job_states(2, 10..=10), all_in_state(JobStatus::Done, 1));
    (1..4).for_each(|id| assert_eq!(simulation.running_tasks(&job_id(id)).len(), 14));
    assert!(simulation.running_tasks(&job_id(4)).is_empty());
}

#[test]
fn segments_whose_pages_do_not_fit_are_rewritten_and_deleted() {
    // Half of each page's tasks keep running, so that no page fits, and every segment is half empty.
    let lower_limits = Facts { value_bytes: 1024, txn_ops: 5, ..facts(0, 3) };
    let policy = Policy { speculation: false, ..Policy::default() };
    let mut simulation = Simulation::with_facts(lower_limits, 4, policy, &["a"]);
    (simulation.store.max_txn_writes, simulation.store.max_value_bytes) = (5, 1024);
    // Attempts have many digits, as in a deployment that has run for long.
    simulation.store.revision = 1_000_000_000;
    simulation.steps_per_check = 5;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 900.0);
    simulation.run(secs(6));
    let small_tasks = |id| JobSpec { cpus: 0.02, memory_gb: 0.02, ..job(id, 80) };
    (1..25).for_each(|id| assert_eq!(simulation.submit(0, small_tasks(id)), Some(201)));
    simulation.run(secs(60));
    let segments = |simulation: &Simulation| simulation.store.rows.keys().filter(|key| key.starts_with("log/")).count();
    let segments_before = segments(&simulation);
    assert!(segments_before > 170, "{segments_before} segments");
    for worker in simulation.workers.values_mut() {
        for task in &mut worker.tasks {
            let (_, number) = task.name.rsplit_once('/').expect("a task's name ends with its number");
            if number.parse::<u32>().is_ok_and(|number| number % 2 == 1) {
                task.state_ends_at = simulation.now;
            }
        }
    }
    simulation.run(secs(90));
    assert_eq!(simulation.checker.finished_tasks(&job_id(1)), 40);
    let segments_after = segments(&simulation);
    assert!(segments_after < 150, "{segments_before} segments, then {segments_after}");
    // A new leader finds every task on its machine.
    let leader = simulation.leader().expect("a leader");
    simulation.crash_node(leader);
    simulation.run(secs(20));
    assert_eq!(simulation.started_tasks, 24 * 80, "a task was started twice");
    assert_eq!(simulation.running_tasks(&job_id(7)).len(), 40);
}

#[test]
fn nearly_full_segment_delays_no_placement() {
    // Guards against a delayed write of a placement that just fits into the last segment, but not with the margin
    // that is kept for one more task: it was not written, and no new segment was begun, until something else changed.
    let team = Team { cpus: 400.0, cpus_max: 400.0, gpus: 0.0, gpus_max: 0.0 };
    let mut with_second_segment = 0;
    for tasks in 155..175 {
        let facts = Facts { teams: BTreeMap::from([("red".into(), team.clone())]), ..facts(0, 3) };
        let mut simulation =
            Simulation::with_facts(facts, 12, Policy { service_reserve: 0.0, ..Policy::default() }, &["a"]);
        simulation.set_task_duration(300.0);
        simulation.run(secs(6));
        assert_eq!(simulation.submit(0, JobSpec { spot: false, ..job(1, tasks) }), Some(201));
        simulation.run(secs(8));
        assert_eq!(simulation.running_tasks(&job_id(1)).len() as u32, tasks, "some of {tasks} tasks did not start");
        with_second_segment +=
            usize::from(simulation.store.rows.keys().filter(|key| key.starts_with("log/")).count() > 1);
    }
    assert!((1..20).contains(&with_second_segment), "{with_second_segment} of 20 jobs needed a second segment");
}
