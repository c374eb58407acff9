//! What users are told when they ask at all nodes, again and again, and answers of the state
//! service are late or lost. The world compares each answer with all that any node told before
//! its question was asked.

use rushyoke_testkit::{Simulation, job, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

#[test]
fn a_look_under_way_does_not_answer_who_asks_later() {
    // Found on a drawn day, by close looks: done, then running. A question was answered by a
    // comparison that had been sent for an earlier one, before another node told the newer state.
    for end in ["accepted", "cancelled", "done"] {
        let mut simulation = Simulation::with_elected_leader(2);
        let id = "wk-000001";
        if end != "accepted" {
            simulation.submit(0, if end == "done" { job(1, 2) } else { service(1, 2) });
            simulation.run(secs(3));
            (0..3).for_each(|node| simulation.send_status_request(node, id));
            simulation.run(millis(200));
        }
        while end == "done" && simulation.checker.finished_tasks(id) < 2 {
            simulation.run(millis(10));
        }
        simulation.delayed_responses_until.insert(1, simulation.now + millis(1200));
        simulation.send_status_request(1, id);
        simulation.run(millis(40));
        match end {
            "accepted" => assert_eq!(simulation.submit(0, job(1, 2)), Some(201)),
            "cancelled" => assert!(simulation.cancel(0, id).is_some()),
            _ => {
                let mut polls = 0;
                while simulation.job_state(0, id) != Some(JobStatus::Done) && polls < 100 {
                    polls += 1;
                }
            }
        }
        assert!(simulation.checker.has_ended(id) || end == "accepted", "{end}: it was told in time");
        let told = simulation.checker.successful_responses;
        for _ in 0..5 {
            (0..3).for_each(|node| simulation.send_status_request(node, id));
            simulation.run(millis(5));
        }
        simulation.run(secs(3));
        assert!(simulation.checker.successful_responses >= told + 10, "{end}: most were answered");
    }
}

#[test]
fn a_job_that_the_cache_loses_during_a_look_is_not_unknown() {
    // Found by reading: what was compared is what is true, even if the cache has lost it since.
    let policy = rushyoke_core::Policy { job_cache_size: 4, ..rushyoke_core::Policy::default() };
    let mut simulation = Simulation::with_policy(2, policy, &["a"]);
    simulation.run(secs(6));
    simulation.submit(0, service(1, 1));
    simulation.delayed_responses_until.insert(0, simulation.now + millis(1000));
    simulation.send_status_request(0, "wk-000001");
    simulation.run(millis(20));
    simulation.delayed_responses_until.clear();
    let told = simulation.checker.successful_responses;
    (2..10).for_each(|id| simulation.send_submission(0, service(id, 1)));
    simulation.run(secs(3));
    assert!(simulation.checker.successful_responses > told + 8, "all were answered");
}

#[test]
fn transactions_whose_answers_are_lost_are_told_as_they_are() {
    // Carried out at once, while other nodes already read what was written.
    let mut simulation = Simulation::with_elected_leader(2);
    let leader = simulation.leader().expect("a lead");
    simulation.lost_txn_responses.extend(0..3);
    for id in 1..6 {
        simulation.send_submission(id as usize % 3, if id % 2 == 0 { service(id, 2) } else { job(id, 2) });
        simulation.run(millis(300));
        (0..3).for_each(|node| simulation.send_status_request(node, &format!("wk-{id:06}")));
    }
    simulation.run(secs(2));
    assert!(simulation.commits_without_response > 3, "answers were lost");
    simulation.lost_txn_responses.clear();
    simulation.lost_txn_responses.insert(leader);
    for id in 1..6 {
        let name = format!("wk-{id:06}");
        let other = (leader + 1) % 3;
        assert_eq!(simulation.submit(other, if id % 2 == 0 { service(id, 2) } else { job(id, 2) }), Some(200));
        if id % 2 == 0 {
            simulation.cancel(other, &name);
        }
        (0..3).for_each(|node| simulation.send_status_request(node, &name));
    }
    simulation.run(secs(20));
    assert_eq!(simulation.leader(), Some(leader), "a lost answer ends no term");
    simulation.clear_faults();
    simulation.run(secs(20));
    for id in 1..6 {
        let end = if id % 2 == 0 { JobStatus::Cancelled } else { JobStatus::Done };
        assert_eq!(simulation.job_state(other_than(leader), &format!("wk-{id:06}")), Some(end));
    }
    simulation.check_recovered();
}

fn other_than(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn cancellations_questions_and_repeats_meet_the_end_of_the_last_task() {
    for shift in 0..8 {
        let mut simulation = Simulation::with_elected_leader(2);
        for id in 1..6 {
            simulation.submit(id as usize % 3, job(id, 1 + id));
        }
        while simulation.checker.finished_tasks("wk-000005") < 6 {
            simulation.run(millis(10));
        }
        simulation.run(millis(70 * shift));
        let mut kept = 0;
        for id in 1..6 {
            let name = format!("wk-{id:06}");
            (0..3).for_each(|node| simulation.send_status_request(node, &name));
            simulation.send_submission(id as usize % 3, job(id, 1 + id));
            let told =
                simulation.cancel((id as usize + 1) % 3, &name).and_then(|(_, view)| view).map(|view| view.state);
            kept += u32::from(told == Some(JobStatus::Done));
            assert!(told.is_some_and(JobStatus::is_final), "{name}: {told:?}");
            simulation.send_submission(id as usize % 3, job(id, 1 + id));
            (0..3).for_each(|node| simulation.send_status_request(node, &name));
        }
        simulation.run(secs(4));
        assert!(shift < 7 || kept > 0, "some had ended before");
        assert!(simulation.store.rows.keys().all(|key| !key.starts_with("live/")));
    }
}

#[test]
fn one_task_jobs_come_for_minutes_and_a_quarter_is_cancelled() {
    let mut simulation = Simulation::new(4);
    simulation.steps_per_check = 5;
    simulation.run(secs(6));
    for id in 1..=400 {
        simulation.send_submission(id as usize % 3, job(id, 1));
        simulation.run(millis(250));
        let name = format!("wk-{id:06}");
        if id % 4 == 0 {
            let told = simulation.cancel((id as usize + 1) % 3, &name).and_then(|(_, view)| view);
            assert!(told.is_some_and(|view| view.state.is_final()), "{name}");
        }
        (0..3).for_each(|node| simulation.send_status_request(node, &name));
    }
    simulation.run(secs(20));
    assert_eq!(simulation.checker.accepted_jobs().len(), 400);
    for id in 1..=400 {
        let name = format!("wk-{id:06}");
        let state = simulation.job_state(id as usize % 3, &name);
        assert!(
            state == Some(JobStatus::Done) || id % 4 == 0 && state == Some(JobStatus::Cancelled),
            "{name}: {state:?}"
        );
    }
}

#[test]
fn what_can_never_run_is_refused_by_every_node_again_and_again() {
    // Also while the state service answers late, and beside repeats of what was accepted.
    let mut simulation = Simulation::with_elected_leader(1);
    simulation.submit(0, job(1, 2));
    let bad = [
        JobSpec { team: "green".into(), ..job(2, 1) },
        JobSpec { cpus: 17.0, ..job(3, 1) },
        JobSpec { zone: Some("z".into()), ..job(4, 1) },
        service(5, 65),
        JobSpec { spread: true, one_zone: true, ..job(6, 4) },
    ];
    for round in 0..3 {
        for (n, spec) in bad.iter().enumerate() {
            assert_eq!(simulation.submit((n + round) % 3, spec.clone()), Some(422), "{}", spec.id);
        }
        assert_eq!(simulation.submit(round, job(1, 2)), Some(200));
        simulation.delayed_responses_until.insert(round, simulation.now + millis(600));
        let lead = simulation.leader().expect("a leader");
        simulation.crash_node(lead);
        simulation.run(millis(500));
        simulation.start_node(lead);
        simulation.run(secs(6));
    }
    simulation.run(secs(10));
    assert_eq!(simulation.job_state(1, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(simulation.checker.accepted_jobs(), ["wk-000001"]);
}
