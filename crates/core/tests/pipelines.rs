//! Scenario tests of jobs with dependencies. In every scenario the simulation checks that no task
//! starts before all dependencies of its job are done, and that no job is reported as queued or
//! running for longer than `cancel_s` after a direct or indirect dependency of it was cancelled.

use rushyoke_testkit::{Simulation, all_in_state, dependent_job, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Priority};

/// Submits jobs 1 to 5: jobs 2 and 3 depend on 1, job 4 depends on 2 and 3, and job 5 depends on 4.
fn submit_diamond(simulation: &mut Simulation) {
    let specs = [
        dependent_job(1, 3, &[]),
        dependent_job(2, 2, &[1]),
        dependent_job(3, 4, &[1]),
        dependent_job(4, 2, &[2, 3]),
        dependent_job(5, 2, &[4]),
    ];
    for (index, spec) in specs.into_iter().enumerate() {
        assert_eq!(simulation.submit(index % 3, spec), Some(201));
    }
}

#[test]
fn diamond_runs_in_dependency_order_and_waiting_jobs_use_no_quota() {
    let (mut simulation, _) = Simulation::with_short_tasks();
    submit_diamond(&mut simulation);
    simulation.run(secs(3));
    assert_eq!(simulation.running_tasks(&job_id(1)).len(), 3);
    let view = simulation.status(1, &job_id(4)).and_then(|(_, view)| view).expect("the job has a state");
    assert_eq!((view.state, view.dependencies), (JobStatus::Queued, vec![job_id(2), job_id(3)]));
    // Meanwhile, the team's whole limit is available to other jobs.
    simulation.cloud.capacity = 8;
    assert_eq!(simulation.submit(0, JobSpec { cpus: 60.0 / 16.0, ..service(9, 16) }), Some(201));
    simulation.run(secs(40));
    for node in 0..3 {
        assert_eq!(simulation.job_states(node, 1..=5), all_in_state(JobStatus::Done, 5));
    }
    assert!(simulation.checker.checked_dependencies >= 10, "the order of starts was not checked");
    assert!(simulation.store.rows.keys().all(|key| key != "live/wk-000005"));
}

#[test]
fn pipeline_survives_leader_changes_at_any_time() {
    for delay_ms in [500, 4200, 4700, 5200, 6000, 9500, 10_500] {
        let (mut simulation, leader) = Simulation::with_short_tasks();
        submit_diamond(&mut simulation);
        simulation.run(millis(delay_ms));
        simulation.restart_node(leader, secs(5));
        simulation.run(secs(4));
        let next = simulation.leader().expect("a leader");
        simulation.restart_node(next, millis(300));
        simulation.run(secs(35));
        assert!(simulation.terms.len() > 2, "{delay_ms} ms: the leader did not change twice");
        assert_eq!(simulation.job_states(leader, 1..=5), all_in_state(JobStatus::Done, 5), "{delay_ms} ms");
        simulation.check_recovered();
    }
}

#[test]
fn cancelling_a_job_cancels_all_its_dependents() {
    // Direct and indirect dependents are cancelled, whichever job is cancelled and whichever node leads.
    for (root, cancelled_jobs) in [(1, 1..=5), (2, 4..=5), (4, 4..=5)] {
        for delay_ms in [0, 1000, 3000] {
            let (mut simulation, leader) = Simulation::with_short_tasks();
            submit_diamond(&mut simulation);
            simulation.run(millis(delay_ms));
            if delay_ms == 1000 {
                simulation.crash_node(leader);
            }
            let node = (leader + 1) % 3;
            let view = simulation.cancel(node, &job_id(root)).and_then(|(_, view)| view);
            assert_eq!(view.map(|view| view.state), Some(JobStatus::Cancelled));
            if delay_ms == 3000 {
                simulation.crash_node(leader);
            }
            // The node that confirmed the cancellation never reports another state; the others follow at once.
            (1..=5).for_each(|number| simulation.send_status_request((leader + 2) % 3, &job_id(number)));
            assert_eq!(
                simulation.job_states(node, cancelled_jobs.clone()),
                all_in_state(JobStatus::Cancelled, cancelled_jobs.clone().count())
            );
            assert_eq!(
                simulation.submit(node, dependent_job(6, 2, &[*cancelled_jobs.end()])),
                Some(201),
                "a job that depends on a cancelled one must be accepted"
            );
            assert_eq!(simulation.job_states(node, 6..=6), all_in_state(JobStatus::Cancelled, 1));
            simulation.run(secs(30));
            simulation.start_node(leader);
            simulation.run(secs(8));
            let states = simulation.job_states(leader, 1..=6);
            for number in 1..=6 {
                let is_cancelled = number == root || cancelled_jobs.contains(&number) || number == 6;
                let expected = if is_cancelled { JobStatus::Cancelled } else { JobStatus::Done };
                assert_eq!(
                    states[number as usize - 1],
                    Some(expected),
                    "job {root} cancelled at {delay_ms} ms: job {number}"
                );
            }
            assert!(simulation.store.rows.keys().all(|key| !key.starts_with("live/")), "some records are still live");
            let record = &simulation.store.rows[&format!("job/{}", job_id(6))].0;
            assert_eq!(record["state"], "cancelled", "the end of the job must be durable");
        }
    }
}

#[test]
fn dependency_ends_or_is_cancelled_while_the_leader_changes() {
    for delay_ms in [0, 300, 700, 1100, 1600, 2200] {
        let (mut simulation, leader) = Simulation::with_short_tasks();
        submit_diamond(&mut simulation);
        while simulation.checker.finished_tasks(&job_id(1)) < 3 {
            simulation.run(millis(10));
        }
        simulation.run(millis(delay_ms));
        simulation.crash_node(leader);
        let node = (leader + 1) % 3;
        // The job may be done already: then its dependents run.
        let mut final_state = None;
        while final_state.is_none_or(|state: JobStatus| !state.is_final()) {
            final_state = simulation.cancel(node, &job_id(1)).and_then(|(_, view)| view).map(|view| view.state);
            simulation.run(millis(200));
        }
        simulation.run(secs(3));
        simulation.start_node(leader);
        simulation.run(secs(45));
        let expected = final_state.expect("a final state");
        assert_eq!(simulation.job_states(node, 1..=5), all_in_state(expected, 5), "{delay_ms} ms");
    }
}

#[test]
fn orphan_is_reported_as_cancelled_while_no_node_leads() {
    // Without a leader, the end of an orphan is not recorded; its reported state is derived from the cancelled job.
    let (mut simulation, leader) = Simulation::with_short_tasks();
    submit_diamond(&mut simulation);
    let node = (leader + 1) % 3;
    simulation.crash_node(leader);
    simulation.crash_node((leader + 2) % 3);
    simulation.cancel(node, &job_id(1));
    simulation.run(secs(1));
    let record = &simulation.store.rows["job/wk-000005"].0;
    assert_eq!(record["state"], "open", "the end is recorded although no node leads");
    assert_eq!(simulation.job_states(node, 2..=5), all_in_state(JobStatus::Cancelled, 4));
    simulation.start_node(leader);
    simulation.start_node((leader + 2) % 3);
    simulation.run(secs(10));
    (0..3).for_each(|node| assert_eq!(simulation.job_states(node, 2..=5), all_in_state(JobStatus::Cancelled, 4)));
}

#[test]
fn a_new_job_is_not_called_queued_on_an_old_state_of_its_ancestors() {
    // Guards against a submission that is answered from what the node cached of the dependencies, however long ago:
    // an ancestor was cancelled through another node in between.
    let (mut simulation, _) = Simulation::with_short_tasks();
    for node in 0..3 {
        let first = 10 * node as u32;
        assert_eq!(simulation.submit(node, service(first + 1, 1)), Some(201));
        assert_eq!(simulation.submit(node, dependent_job(first + 2, 1, &[first + 1])), Some(201));
        simulation.cancel_and_confirm((node + 1) % 3, &job_id(first + 1));
    }
    simulation.run(secs(31));
    for node in 0..3 {
        let first = 10 * node as u32;
        // The checker looks at the state in the response.
        assert_eq!(simulation.submit(node, dependent_job(first + 3, 1, &[first + 2])), Some(201));
        assert_eq!(simulation.job_state(node, &job_id(first + 3)), Some(JobStatus::Cancelled));
    }
}

#[test]
fn dependencies_must_be_accepted_jobs_and_resubmissions_stay_accepted() {
    let (mut simulation, leader) = Simulation::with_short_tasks();
    assert_eq!(simulation.submit(0, dependent_job(2, 2, &[1])), Some(422), "the dependency was never accepted");
    assert_eq!(simulation.submit(0, dependent_job(3, 2, &[3])), Some(422), "the job depends on itself");
    assert_eq!(simulation.submit(1, dependent_job(1, 2, &[])), Some(201));
    assert_eq!(simulation.submit(2, dependent_job(2, 2, &[1])), Some(201));
    assert_eq!(simulation.submit(0, dependent_job(2, 2, &[1])), Some(200));
    simulation.run(secs(20));
    assert_eq!(simulation.job_states(0, 1..=2), all_in_state(JobStatus::Done, 2));
    // The jobs have ended, and the restarts clear every node's cache.
    (0..3).for_each(|node| simulation.crash_node(node));
    simulation.run(secs(1));
    (0..3).for_each(|node| simulation.start_node(node));
    simulation.run(secs(6));
    assert_eq!(simulation.submit(leader, dependent_job(4, 2, &[1, 2])), Some(201));
    assert_eq!(simulation.submit(0, dependent_job(2, 2, &[1])), Some(200));
    simulation.run(secs(12));
    assert_eq!(simulation.job_states(1, 4..=4), all_in_state(JobStatus::Done, 1));
    // During an outage of the state service, no node knows whether the dependency was accepted.
    simulation.store.outage = true;
    simulation.run(secs(4));
    assert_eq!(simulation.submit(1, dependent_job(5, 2, &[4])), Some(503));
    simulation.clear_faults();
}

#[test]
fn job_inherits_the_priority_of_its_dependents() {
    let (mut simulation, _) = Simulation::with_short_tasks();
    simulation.cloud.capacity = 3;
    // The fleet is full, and the last two jobs of a long queue form a pipeline that ends in a job of high priority.
    let filler = |number: u32| JobSpec { team: "blue".into(), ..job(number, 48) };
    simulation.submit(0, filler(1));
    simulation.submit(0, filler(2));
    simulation.run(secs(1));
    (3..6).for_each(|number| {
        assert_eq!(simulation.submit(0, JobSpec { team: "blue".into(), ..job(number, 16) }), Some(201))
    });
    let low = JobSpec { priority: Priority::BestEffort, cpus: 2.0, team: "blue".into(), ..dependent_job(8, 12, &[]) };
    assert_eq!(simulation.submit(1, low), Some(201));
    let high = JobSpec { priority: Priority::High, team: "blue".into(), ..dependent_job(9, 1, &[8]) };
    assert_eq!(simulation.submit(1, high), Some(201));
    let mut first = None;
    for _ in 0..300 {
        simulation.run(millis(100));
        let has_started = |number: u32| !simulation.running_tasks(&job_id(number)).is_empty();
        first = first.or_else(|| [8, 3, 4, 5].into_iter().find(|number| has_started(*number)));
    }
    assert_eq!(first, Some(8), "job 8 must start before jobs of higher priority that have no urgent dependents");
    simulation.run(secs(40));
    assert_eq!(simulation.job_states(1, 8..=9), all_in_state(JobStatus::Done, 2));
}

#[test]
fn cancellation_reaches_the_end_of_a_long_chain() {
    let (mut simulation, leader) = Simulation::with_short_tasks();
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 200.0);
    simulation.submit(0, service(901, 2));
    simulation.submit(0, dependent_job(1, 1, &[]));
    for number in 2..=300 {
        simulation.send_submission(number as usize % 3, dependent_job(number, 1, &[number - 1]));
        simulation.run(millis(80));
    }
    simulation.run(secs(1));
    let accepted = simulation.checker.accepted_jobs();
    let missing: Vec<u32> = (1..=300).filter(|number| !accepted.contains(&job_id(*number))).collect();
    assert!(missing.is_empty(), "{missing:?} are not accepted");
    simulation.cancel((leader + 1) % 3, &job_id(2));
    simulation.run(secs(25));
    assert_eq!(simulation.job_state(leader, &job_id(300)), Some(JobStatus::Cancelled));
    assert_eq!(simulation.job_state((leader + 2) % 3, &job_id(150)), Some(JobStatus::Cancelled));
    assert!(
        simulation.store.rows.keys().filter(|key| key.starts_with("live/")).count() == 2,
        "records of cancelled jobs are still live"
    );
}
