//! Scenario tests of requests from users: resubmissions, rejections, and limits on memory and on calls to the store.

use rushyoke_core::{Facts, Policy};
use rushyoke_testkit::{Simulation, facts, job, secs, service};
use rushyoke_wire::job::JobStatus;

/// Returns the node after the given one, in cyclic order.
fn next_node(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn a_finished_array_is_done_on_every_node() {
    let mut simulation = Simulation::with_elected_leader(2);
    assert_eq!(simulation.submit(1, job(1, 20)), Some(201));
    simulation.run(secs(2));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 20);
    simulation.run(secs(14));
    for node in 0..3 {
        assert_eq!(simulation.job_state(node, "wk-000001"), Some(JobStatus::Done));
    }
    assert_eq!(simulation.status(2, "wk-000009").map(|response| response.0), Some(404));
}

#[test]
fn invalid_and_excess_submissions_are_rejected_at_once() {
    let mut simulation = Simulation::with_policy(1, Policy { max_jobs: 2, ..Policy::default() }, &["a"]);
    simulation.run(secs(6));
    let mut oversized_spec = job(1, 1);
    oversized_spec.types = Some(vec!["x".repeat(100); 90].into_iter().chain(["m16".to_owned()]).collect());
    assert_eq!(simulation.submit(0, oversized_spec), Some(400));
    let mut unknown_team_job = job(2, 1);
    unknown_team_job.team = "green".into();
    assert_eq!(simulation.submit(1, unknown_team_job), Some(422));
    let mut oversized_task_job = job(3, 1);
    oversized_task_job.cpus = 17.0;
    assert_eq!(simulation.submit(2, oversized_task_job), Some(422));
    assert_eq!(simulation.submit(0, service(4, 65)), Some(422));
    assert_eq!(simulation.submit(0, job(5, 4)), Some(201));
    assert_eq!(simulation.submit(1, job(6, 4)), Some(201));
    simulation.run(secs(3));
    for node in 0..3 {
        assert_eq!(simulation.submit(node, job(7, 4)), Some(429));
        assert_eq!(simulation.submit(node, job(6, 4)), Some(200), "a resubmission was rejected");
    }
    simulation.run(secs(20));
    assert_eq!(simulation.submit(2, job(7, 4)), Some(201));
}

#[test]
fn submissions_beyond_the_memory_limit_are_rejected_at_once() {
    let facts = Facts { max_job_bytes: 40_000, ..facts(0, 3) };
    let mut simulation = Simulation::with_facts(facts, 1, Policy::default(), &["a"]);
    simulation.run(secs(6));
    // There are only three jobs, but with 100,000 tasks each.
    (1..=3).for_each(|id| assert_eq!(simulation.submit(0, job(id, 100_000)), Some(201)));
    simulation.run(secs(3));
    (0..3).for_each(|node| assert_eq!(simulation.submit(node, job(4, 1)), Some(429)));
    assert!(simulation.cancel(0, "wk-000001").is_some());
    simulation.run(secs(6));
    assert_eq!(simulation.submit(0, job(4, 1)), Some(201));
}

#[test]
fn a_done_job_stays_done_on_all_nodes_and_after_crashes() {
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.submit(0, job(1, 3));
    simulation.run(secs(14));
    assert_eq!(simulation.job_state(2, "wk-000001"), Some(JobStatus::Done));
    for node in 0..3 {
        simulation.crash_node(node);
    }
    for node in 0..3 {
        simulation.start_node(node);
    }
    simulation.run(secs(5));
    for node in 0..3 {
        assert_eq!(simulation.job_state(node, "wk-000001"), Some(JobStatus::Done));
        let response = simulation.cancel(node, "wk-000001").expect("a response");
        assert_eq!(response.1.map(|view| view.state), Some(JobStatus::Done));
    }
    // The node has no record of the resubmitted job in memory.
    assert_eq!(simulation.submit(1, job(1, 3)), Some(200));
}

#[test]
fn a_resubmitted_job_runs_once_after_a_crash_of_every_node() {
    let mut simulation = Simulation::with_elected_leader(1);
    assert_eq!(simulation.submit(0, job(1, 4)), Some(201));
    for node in 0..3 {
        simulation.crash_node(node);
    }
    simulation.run(secs(3));
    for node in 0..3 {
        simulation.start_node(node);
    }
    simulation.run(secs(5));
    assert_eq!(simulation.submit(2, job(1, 4)), Some(200));
    simulation.run(secs(20));
    assert_eq!(simulation.job_state(0, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(simulation.started_tasks, 4);
}

#[test]
fn a_full_job_cache_loses_no_job() {
    let mut simulation = Simulation::with_policy(2, Policy { job_cache_size: 2, ..Policy::default() }, &["a"]);
    simulation.run(secs(6));
    for id in 1..9 {
        simulation.submit(id as usize % 3, job(id, 2));
    }
    for wait in [2, 30] {
        simulation.run(secs(wait));
        for node in 0..3 {
            let ids: Vec<String> = (1..9).map(|id| format!("wk-{id:06}")).collect();
            assert_eq!(simulation.statuses_of_all(node, &ids), vec![200; 8]);
            assert_eq!(simulation.submit(node, job(1, 2)), Some(200), "a resubmission");
        }
    }
    assert_eq!(simulation.job_state(0, "wk-000004"), Some(JobStatus::Done));
    assert_eq!(simulation.started_tasks, 16);
}

#[test]
fn status_requests_for_unknown_jobs_do_not_use_up_all_store_calls() {
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.submit(0, service(1, 2));
    let node = next_node(simulation.leader().expect("a leader"));
    let mut ids: Vec<String> = (1000..1400).map(|id| format!("wk-{id:06}")).collect();
    ids.push("wk-000001".into());
    let requests_before = simulation.store.requests;
    let statuses = simulation.statuses_of_all(node, &ids);
    assert_eq!(statuses.iter().filter(|status| **status == 404).count(), 400);
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 1);
    let calls = simulation.store.requests - requests_before;
    assert!(calls <= 40, "{calls} calls to the store");
}
