//! Scenario tests of the consistency of responses to users who query every node repeatedly while
//! responses of the state service are late or lost. The simulation checks each response against
//! everything that any node had reported before the request was sent.

use rushyoke_testkit::{Simulation, job, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

#[test]
fn comparison_in_flight_does_not_answer_later_requests() {
    // Guards against a job reported as done and then as running: a node responded to a request with
    // the result of a comparison sent for an earlier request, before another node had reported the
    // newer state.
    for final_state in ["accepted", "cancelled", "done"] {
        let mut simulation = Simulation::with_elected_leader(2);
        let id = "wk-000001";
        if final_state != "accepted" {
            simulation.submit(0, if final_state == "done" { job(1, 2) } else { service(1, 2) });
            simulation.run(secs(3));
            (0..3).for_each(|node| simulation.send_status_request(node, id));
            simulation.run(millis(200));
        }
        while final_state == "done" && simulation.checker.finished_tasks(id) < 2 {
            simulation.run(millis(10));
        }
        simulation.delayed_responses_until.insert(1, simulation.now + millis(1200));
        simulation.send_status_request(1, id);
        simulation.run(millis(40));
        match final_state {
            "accepted" => assert_eq!(simulation.submit(0, job(1, 2)), Some(201)),
            "cancelled" => assert!(simulation.cancel(0, id).is_some()),
            _ => {
                let mut polls = 0;
                while simulation.job_state(0, id) != Some(JobStatus::Done) && polls < 100 {
                    polls += 1;
                }
            }
        }
        assert!(
            simulation.checker.has_ended(id) || final_state == "accepted",
            "{final_state}: no node reported the state"
        );
        let responses_before = simulation.checker.successful_responses;
        for _ in 0..5 {
            (0..3).for_each(|node| simulation.send_status_request(node, id));
            simulation.run(millis(5));
        }
        simulation.run(secs(3));
        assert!(
            simulation.checker.successful_responses >= responses_before + 10,
            "{final_state}: too few requests got a response"
        );
    }
}

#[test]
fn job_evicted_from_the_cache_during_a_comparison_is_not_reported_as_unknown() {
    // The result of the comparison with the state service is reported even if the cache has evicted
    // the job since then.
    let policy = rushyoke_core::Policy { job_cache_size: 4, ..rushyoke_core::Policy::default() };
    let mut simulation = Simulation::with_policy(2, policy, &["a"]);
    simulation.run(secs(6));
    simulation.submit(0, service(1, 1));
    simulation.delayed_responses_until.insert(0, simulation.now + millis(1000));
    simulation.send_status_request(0, "wk-000001");
    simulation.run(millis(20));
    simulation.delayed_responses_until.clear();
    let responses_before = simulation.checker.successful_responses;
    (2..10).for_each(|number| simulation.send_submission(0, service(number, 1)));
    simulation.run(secs(3));
    assert!(simulation.checker.successful_responses > responses_before + 8, "some requests got no response");
}

#[test]
fn transactions_with_lost_responses_are_reported_as_carried_out() {
    // The transactions are carried out at once, and other nodes already read what they wrote.
    let mut simulation = Simulation::with_elected_leader(2);
    let leader = simulation.leader().expect("a leader");
    simulation.lost_txn_responses.extend(0..3);
    for number in 1..6 {
        simulation
            .send_submission(number as usize % 3, if number % 2 == 0 { service(number, 2) } else { job(number, 2) });
        simulation.run(millis(300));
        (0..3).for_each(|node| simulation.send_status_request(node, &format!("wk-{number:06}")));
    }
    simulation.run(secs(2));
    assert!(simulation.commits_without_response > 3, "too few responses were lost");
    simulation.lost_txn_responses.clear();
    simulation.lost_txn_responses.insert(leader);
    for number in 1..6 {
        let id = format!("wk-{number:06}");
        let other = (leader + 1) % 3;
        assert_eq!(
            simulation.submit(other, if number % 2 == 0 { service(number, 2) } else { job(number, 2) }),
            Some(200)
        );
        if number % 2 == 0 {
            simulation.cancel(other, &id);
        }
        (0..3).for_each(|node| simulation.send_status_request(node, &id));
    }
    simulation.run(secs(20));
    assert_eq!(simulation.leader(), Some(leader), "a lost response ended the leader's term");
    simulation.clear_faults();
    simulation.run(secs(20));
    for number in 1..6 {
        let expected = if number % 2 == 0 { JobStatus::Cancelled } else { JobStatus::Done };
        assert_eq!(simulation.job_state(next_node(leader), &format!("wk-{number:06}")), Some(expected));
    }
    simulation.check_recovered();
}

/// Returns the node after the given one, in cyclic order.
fn next_node(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn cancellations_queries_and_resubmissions_race_with_the_end_of_the_last_task() {
    for offset in 0..8 {
        let mut simulation = Simulation::with_elected_leader(2);
        for number in 1..6 {
            simulation.submit(number as usize % 3, job(number, 1 + number));
        }
        while simulation.checker.finished_tasks("wk-000005") < 6 {
            simulation.run(millis(10));
        }
        simulation.run(millis(70 * offset));
        let mut done_before = 0;
        for number in 1..6 {
            let id = format!("wk-{number:06}");
            (0..3).for_each(|node| simulation.send_status_request(node, &id));
            simulation.send_submission(number as usize % 3, job(number, 1 + number));
            let state =
                simulation.cancel((number as usize + 1) % 3, &id).and_then(|(_, view)| view).map(|view| view.state);
            done_before += u32::from(state == Some(JobStatus::Done));
            assert!(state.is_some_and(JobStatus::is_final), "{id}: {state:?}");
            simulation.send_submission(number as usize % 3, job(number, 1 + number));
            (0..3).for_each(|node| simulation.send_status_request(node, &id));
        }
        simulation.run(secs(4));
        assert!(offset < 7 || done_before > 0, "no job was done before its cancellation");
        assert!(simulation.store.rows.keys().all(|key| !key.starts_with("live/")));
    }
}

#[test]
fn one_task_jobs_all_end_while_a_quarter_is_cancelled() {
    let mut simulation = Simulation::new(4);
    simulation.steps_per_check = 5;
    simulation.run(secs(6));
    for number in 1..=400 {
        simulation.send_submission(number as usize % 3, job(number, 1));
        simulation.run(millis(250));
        let id = format!("wk-{number:06}");
        if number % 4 == 0 {
            let view = simulation.cancel((number as usize + 1) % 3, &id).and_then(|(_, view)| view);
            assert!(view.is_some_and(|view| view.state.is_final()), "{id}");
        }
        (0..3).for_each(|node| simulation.send_status_request(node, &id));
    }
    simulation.run(secs(20));
    assert_eq!(simulation.checker.accepted_jobs().len(), 400);
    for number in 1..=400 {
        let id = format!("wk-{number:06}");
        let state = simulation.job_state(number as usize % 3, &id);
        assert!(
            state == Some(JobStatus::Done) || number % 4 == 0 && state == Some(JobStatus::Cancelled),
            "{id}: {state:?}"
        );
    }
}

#[test]
fn jobs_that_can_never_run_are_rejected_by_every_node_every_time() {
    // They are rejected also while the state service responds late, and between resubmissions of an accepted job.
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.submit(0, job(1, 2));
    let invalid_specs = [
        JobSpec { team: "green".into(), ..job(2, 1) },
        JobSpec { cpus: 17.0, ..job(3, 1) },
        JobSpec { zone: Some("z".into()), ..job(4, 1) },
        service(5, 65),
        JobSpec { spread: true, one_zone: true, ..job(6, 4) },
    ];
    for round in 0..3 {
        for (index, spec) in invalid_specs.iter().enumerate() {
            assert_eq!(simulation.submit((index + round) % 3, spec.clone()), Some(422), "{}", spec.id);
        }
        assert_eq!(simulation.submit(round, job(1, 2)), Some(200));
        simulation.delayed_responses_until.insert(round, simulation.now + millis(600));
        let leader = simulation.leader().expect("a leader");
        simulation.restart_node(leader, millis(500));
        simulation.run(secs(6));
    }
    simulation.run(secs(10));
    assert_eq!(simulation.job_state(1, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(simulation.checker.accepted_jobs(), ["wk-000001"]);
}
