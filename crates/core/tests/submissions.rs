//! What users submit and are told: retries, refusals, bounds of memory and of calls.

use rushyoke_core::{Facts, Policy};
use rushyoke_testkit::{Simulation, facts, job, secs, service};
use rushyoke_wire::job::JobStatus;

fn other_than(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn an_array_runs_and_is_done_on_every_node() {
    let mut simulation = Simulation::with_elected_leader(2);
    assert_eq!(simulation.submit(1, job(1, 20)), Some(201));
    simulation.run(secs(2));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 20);
    simulation.run(secs(14));
    for node in 0..3 {
        assert_eq!(simulation.job_state(node, "wk-000001"), Some(JobStatus::Done));
    }
    assert_eq!(simulation.status(2, "wk-000009").map(|s| s.0), Some(404));
}

#[test]
fn bad_and_excessive_submissions_are_turned_away_at_once() {
    let mut simulation = Simulation::with_policy(1, Policy { max_jobs: 2, ..Policy::default() }, &["a"]);
    simulation.run(secs(6));
    let mut large = job(1, 1);
    large.types = Some(vec!["x".repeat(100); 90].into_iter().chain(["m16".to_owned()]).collect());
    assert_eq!(simulation.submit(0, large), Some(400));
    let mut stranger = job(2, 1);
    stranger.team = "green".into();
    assert_eq!(simulation.submit(1, stranger), Some(422));
    let mut wide = job(3, 1);
    wide.cpus = 17.0;
    assert_eq!(simulation.submit(2, wide), Some(422));
    assert_eq!(simulation.submit(0, service(4, 65)), Some(422));
    assert_eq!(simulation.submit(0, job(5, 4)), Some(201));
    assert_eq!(simulation.submit(1, job(6, 4)), Some(201));
    simulation.run(secs(3));
    for node in 0..3 {
        assert_eq!(simulation.submit(node, job(7, 4)), Some(429));
        assert_eq!(simulation.submit(node, job(6, 4)), Some(200), "a repeat is always answered");
    }
    simulation.run(secs(20));
    assert_eq!(simulation.submit(2, job(7, 4)), Some(201));
}

#[test]
fn jobs_that_would_take_too_much_memory_are_turned_away_at_once() {
    let facts = Facts { max_job_bytes: 40_000, ..facts(0, 3) };
    let mut simulation = Simulation::with_facts(facts, 1, Policy::default(), &["a"]);
    simulation.run(secs(6));
    // Few jobs, but of a hundred thousand tasks each.
    (1..=3).for_each(|id| assert_eq!(simulation.submit(0, job(id, 100_000)), Some(201)));
    simulation.run(secs(3));
    (0..3).for_each(|node| assert_eq!(simulation.submit(node, job(4, 1)), Some(429)));
    assert!(simulation.cancel(0, "wk-000001").is_some());
    simulation.run(secs(6));
    assert_eq!(simulation.submit(0, job(4, 1)), Some(201));
}

#[test]
fn done_never_goes_back_across_nodes_and_crashes() {
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.submit(0, job(1, 3));
    simulation.run(secs(14));
    assert_eq!(simulation.job_state(2, "wk-000001"), Some(JobStatus::Done));
    for n in 0..3 {
        simulation.crash_node(n);
    }
    for n in 0..3 {
        simulation.start_node(n);
    }
    simulation.run(secs(5));
    for n in 0..3 {
        assert_eq!(simulation.job_state(n, "wk-000001"), Some(JobStatus::Done));
        let answer = simulation.cancel(n, "wk-000001").expect("an answer");
        assert_eq!(answer.1.map(|v| v.state), Some(JobStatus::Done));
    }
    // A repeat of the submission, on a node that knows nothing of it.
    assert_eq!(simulation.submit(1, job(1, 3)), Some(200));
}

#[test]
fn a_repeated_submission_after_a_crash_of_every_node_runs_once() {
    let mut simulation = Simulation::with_elected_leader(1);
    assert_eq!(simulation.submit(0, job(1, 4)), Some(201));
    for n in 0..3 {
        simulation.crash_node(n);
    }
    simulation.run(secs(3));
    for n in 0..3 {
        simulation.start_node(n);
    }
    simulation.run(secs(5));
    assert_eq!(simulation.submit(2, job(1, 4)), Some(200));
    simulation.run(secs(20));
    assert_eq!(simulation.job_state(0, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(simulation.started_tasks, 4);
}

#[test]
fn a_full_cache_of_jobs_forgets_none() {
    let mut simulation = Simulation::with_policy(2, Policy { job_cache_size: 2, ..Policy::default() }, &["a"]);
    simulation.run(secs(6));
    for id in 1..9 {
        simulation.submit(id as usize % 3, job(id, 2));
    }
    for wait in [2, 30] {
        simulation.run(secs(wait));
        for node in 0..3 {
            let asked: Vec<String> = (1..9).map(|id| format!("wk-{id:06}")).collect();
            assert_eq!(simulation.statuses_of_all(node, &asked), vec![200; 8]);
            assert_eq!(simulation.submit(node, job(1, 2)), Some(200), "a repeat");
        }
    }
    assert_eq!(simulation.job_state(0, "wk-000004"), Some(JobStatus::Done));
    assert_eq!(simulation.started_tasks, 16);
}

#[test]
fn a_flood_of_questions_for_unknown_jobs_leaves_calls_for_others() {
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.submit(0, service(1, 2));
    let node = other_than(simulation.leader().expect("a lead"));
    let mut asked: Vec<String> = (1000..1400).map(|id| format!("wk-{id:06}")).collect();
    asked.push("wk-000001".into());
    let before = simulation.store.requests;
    let answers = simulation.statuses_of_all(node, &asked);
    assert_eq!(answers.iter().filter(|status| **status == 404).count(), 400);
    assert_eq!(answers.iter().filter(|status| **status == 200).count(), 1);
    let calls = simulation.store.requests - before;
    assert!(calls <= 40, "{calls} calls to the store");
}
