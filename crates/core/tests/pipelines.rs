//! Jobs that await others. The world checks in every story that no task begins before all that its
//! job awaits is done, and that no job is called queued or running for longer than `cancel_s`
//! after one that it needs was cancelled.

use rushyoke_testkit::{Simulation, all_in_state, dependent_job, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Priority};

/// Jobs 1 to 4: 2 and 3 await 1, and 4 awaits both; 5 awaits 4.
fn diamond(simulation: &mut Simulation) {
    let specs = [
        dependent_job(1, 3, &[]),
        dependent_job(2, 2, &[1]),
        dependent_job(3, 4, &[1]),
        dependent_job(4, 2, &[2, 3]),
        dependent_job(5, 2, &[4]),
    ];
    for (n, spec) in specs.into_iter().enumerate() {
        assert_eq!(simulation.submit(n % 3, spec), Some(201));
    }
}

#[test]
fn a_diamond_runs_in_its_order_and_waiting_jobs_hold_nothing() {
    let (mut simulation, _) = Simulation::with_short_tasks();
    diamond(&mut simulation);
    simulation.run(secs(3));
    assert_eq!(simulation.running_tasks(&job_id(1)).len(), 3);
    let view = simulation.status(1, &job_id(4)).and_then(|(_, view)| view).expect("a state");
    assert_eq!((view.state, view.dependencies), (JobStatus::Queued, vec![job_id(2), job_id(3)]));
    // A team's whole limit is free for others meanwhile.
    simulation.cloud.capacity = 8;
    assert_eq!(simulation.submit(0, JobSpec { cpus: 60.0 / 16.0, ..service(9, 16) }), Some(201));
    simulation.run(secs(40));
    for node in 0..3 {
        assert_eq!(simulation.job_states(node, 1..=5), all_in_state(JobStatus::Done, 5));
    }
    assert!(simulation.checker.dependent_starts >= 10, "the order was checked");
    assert!(simulation.store.rows.keys().all(|key| key != "live/wk-000005"));
}

#[test]
fn a_pipeline_lives_through_changes_of_leader_at_any_moment() {
    for moment in [500, 4200, 4700, 5200, 6000, 9500, 10_500] {
        let (mut simulation, leader) = Simulation::with_short_tasks();
        diamond(&mut simulation);
        simulation.run(millis(moment));
        simulation.crash_node(leader);
        simulation.run(secs(5));
        simulation.start_node(leader);
        simulation.run(secs(4));
        let next = simulation.leader().expect("a lead");
        simulation.crash_node(next);
        simulation.run(millis(300));
        simulation.start_node(next);
        simulation.run(secs(35));
        assert!(simulation.terms.len() > 2, "{moment}: leads changed");
        assert_eq!(simulation.job_states(leader, 1..=5), all_in_state(JobStatus::Done, 5), "{moment}");
        simulation.check_recovered();
    }
}

#[test]
fn a_cancellation_takes_all_that_needs_the_job_with_it() {
    // Directly and through others, whichever is cancelled, and whoever leads.
    for (cancelled, lost) in [(1, 1..=5), (2, 4..=5), (4, 4..=5)] {
        for moment in [0, 1000, 3000] {
            let (mut simulation, leader) = Simulation::with_short_tasks();
            diamond(&mut simulation);
            simulation.run(millis(moment));
            if moment == 1000 {
                simulation.crash_node(leader);
            }
            let node = (leader + 1) % 3;
            let told = simulation.cancel(node, &job_id(cancelled)).and_then(|(_, view)| view);
            assert_eq!(told.map(|view| view.state), Some(JobStatus::Cancelled));
            if moment == 3000 {
                simulation.crash_node(leader);
            }
            // The node that confirmed it never tells anything else; the others follow at once.
            (1..=5).for_each(|id| simulation.send_status_request((leader + 2) % 3, &job_id(id)));
            assert_eq!(
                simulation.job_states(node, lost.clone()),
                all_in_state(JobStatus::Cancelled, lost.clone().count())
            );
            assert_eq!(
                simulation.submit(node, dependent_job(6, 2, &[*lost.end()])),
                Some(201),
                "accepted all the same"
            );
            assert_eq!(simulation.job_states(node, 6..=6), all_in_state(JobStatus::Cancelled, 1));
            simulation.run(secs(30));
            simulation.start_node(leader);
            simulation.run(secs(8));
            let ends = simulation.job_states(leader, 1..=6);
            for id in 1..=6 {
                let gone = id == cancelled || lost.contains(&id) || id == 6;
                let end = if gone { JobStatus::Cancelled } else { JobStatus::Done };
                assert_eq!(ends[id as usize - 1], Some(end), "{cancelled} at {moment}: job {id}");
            }
            assert!(simulation.store.rows.keys().all(|key| !key.starts_with("live/")), "all is closed");
            let record = &simulation.store.rows[&format!("job/{}", job_id(6))].0;
            assert_eq!(record["state"], "cancelled", "its end is durable");
        }
    }
}

#[test]
fn dependencies_that_end_or_are_cancelled_while_the_leader_changes() {
    for moment in [0, 300, 700, 1100, 1600, 2200] {
        let (mut simulation, leader) = Simulation::with_short_tasks();
        diamond(&mut simulation);
        while simulation.checker.finished_tasks(&job_id(1)) < 3 {
            simulation.run(millis(10));
        }
        simulation.run(millis(moment));
        simulation.crash_node(leader);
        let node = (leader + 1) % 3;
        // It may be done already: then the jobs after it go on.
        let mut told = None;
        while told.is_none_or(|state: JobStatus| !state.is_final()) {
            told = simulation.cancel(node, &job_id(1)).and_then(|(_, view)| view).map(|view| view.state);
            simulation.run(millis(200));
        }
        simulation.run(secs(3));
        simulation.start_node(leader);
        simulation.run(secs(45));
        let end = told.expect("an end");
        assert_eq!(simulation.job_states(node, 1..=5), all_in_state(end, 5), "{moment}");
    }
}

#[test]
fn an_orphan_is_never_called_alive_while_nobody_leads() {
    // Without a leader nothing is written down; what is told is derived from the job that was cancelled.
    let (mut simulation, leader) = Simulation::with_short_tasks();
    diamond(&mut simulation);
    let node = (leader + 1) % 3;
    simulation.crash_node(leader);
    simulation.crash_node((leader + 2) % 3);
    simulation.cancel(node, &job_id(1));
    simulation.run(secs(1));
    let record = &simulation.store.rows["job/wk-000005"].0;
    assert_eq!(record["state"], "open", "nobody has written it down");
    assert_eq!(simulation.job_states(node, 2..=5), all_in_state(JobStatus::Cancelled, 4));
    simulation.start_node(leader);
    simulation.start_node((leader + 2) % 3);
    simulation.run(secs(10));
    (0..3).for_each(|node| assert_eq!(simulation.job_states(node, 2..=5), all_in_state(JobStatus::Cancelled, 4)));
}

#[test]
fn only_accepted_jobs_can_be_awaited_and_a_retry_stays_accepted() {
    let (mut simulation, leader) = Simulation::with_short_tasks();
    assert_eq!(simulation.submit(0, dependent_job(2, 2, &[1])), Some(422), "never accepted");
    assert_eq!(simulation.submit(0, dependent_job(3, 2, &[3])), Some(422), "itself");
    assert_eq!(simulation.submit(1, dependent_job(1, 2, &[])), Some(201));
    assert_eq!(simulation.submit(2, dependent_job(2, 2, &[1])), Some(201));
    assert_eq!(simulation.submit(0, dependent_job(2, 2, &[1])), Some(200));
    simulation.run(secs(20));
    assert_eq!(simulation.job_states(0, 1..=2), all_in_state(JobStatus::Done, 2));
    // Long over, and out of every cache.
    (0..3).for_each(|node| simulation.crash_node(node));
    simulation.run(secs(1));
    (0..3).for_each(|node| simulation.start_node(node));
    simulation.run(secs(6));
    assert_eq!(simulation.submit(leader, dependent_job(4, 2, &[1, 2])), Some(201));
    assert_eq!(simulation.submit(0, dependent_job(2, 2, &[1])), Some(200));
    simulation.run(secs(12));
    assert_eq!(simulation.job_states(1, 4..=4), all_in_state(JobStatus::Done, 1));
    // While the store is silent nobody knows.
    simulation.store.outage = true;
    simulation.run(secs(4));
    assert_eq!(simulation.submit(1, dependent_job(5, 2, &[4])), Some(503));
    simulation.clear_faults();
}

#[test]
fn a_job_takes_the_priority_of_those_that_need_it() {
    let (mut simulation, _) = Simulation::with_short_tasks();
    simulation.cloud.capacity = 3;
    // All is full; then a long queue, with a pipeline whose last job matters at its end.
    let filler = |id: u32| JobSpec { team: "blue".into(), ..job(id, 48) };
    simulation.submit(0, filler(1));
    simulation.submit(0, filler(2));
    simulation.run(secs(1));
    (3..6).for_each(|id| assert_eq!(simulation.submit(0, JobSpec { team: "blue".into(), ..job(id, 16) }), Some(201)));
    let low = JobSpec { priority: Priority::BestEffort, cpus: 2.0, team: "blue".into(), ..dependent_job(8, 12, &[]) };
    assert_eq!(simulation.submit(1, low), Some(201));
    let high = JobSpec { priority: Priority::High, team: "blue".into(), ..dependent_job(9, 1, &[8]) };
    assert_eq!(simulation.submit(1, high), Some(201));
    let mut first = None;
    for _ in 0..300 {
        simulation.run(millis(100));
        let begun = |id: u32| !simulation.running_tasks(&job_id(id)).is_empty();
        first = first.or_else(|| [8, 3, 4, 5].into_iter().find(|id| begun(*id)));
    }
    assert_eq!(first, Some(8), "it goes before work of its own priority and above");
    simulation.run(secs(40));
    assert_eq!(simulation.job_states(1, 8..=9), all_in_state(JobStatus::Done, 2));
}

#[test]
fn a_long_chain_ends_as_a_whole() {
    let (mut simulation, leader) = Simulation::with_short_tasks();
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 200.0);
    simulation.submit(0, service(901, 2));
    simulation.submit(0, dependent_job(1, 1, &[]));
    for id in 2..=300 {
        simulation.send_submission(id as usize % 3, dependent_job(id, 1, &[id - 1]));
        simulation.run(millis(80));
    }
    simulation.run(secs(1));
    let accepted = simulation.checker.accepted_jobs();
    let missing: Vec<u32> = (1..=300).filter(|id| !accepted.contains(&job_id(*id))).collect();
    assert!(missing.is_empty(), "{missing:?} are not accepted");
    simulation.cancel((leader + 1) % 3, &job_id(2));
    simulation.run(secs(25));
    assert_eq!(simulation.job_state(leader, &job_id(300)), Some(JobStatus::Cancelled));
    assert_eq!(simulation.job_state((leader + 2) % 3, &job_id(150)), Some(JobStatus::Cancelled));
    assert!(simulation.store.rows.keys().filter(|key| key.starts_with("live/")).count() == 2, "all else is closed");
}
