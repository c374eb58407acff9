//! Consistency of the responses to users who query every node repeatedly while responses of the
//! state service are late or lost. The simulated world checks each response against everything
//! that any node had reported before the request was sent.

use rushyoke_testkit::{World, job, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

#[test]
fn comparison_in_flight_does_not_answer_later_requests() {
    // Guards against a job reported as done and then as running: a request was answered from a
    // comparison sent for an earlier request, before another node had reported the newer state.
    for final_state in ["accepted", "cancelled", "done"] {
        let mut world = World::settled(2);
        let id = "wk-000001";
        if final_state != "accepted" {
            world.submit(0, if final_state == "done" { job(1, 2) } else { service(1, 2) });
            world.run(secs(3));
            (0..3).for_each(|node| world.ask_status(node, id));
            world.run(millis(200));
        }
        while final_state == "done" && world.rules.finished(id) < 2 {
            world.run(millis(10));
        }
        world.hold_answers.insert(1, world.now + millis(1200));
        world.ask_status(1, id);
        world.run(millis(40));
        match final_state {
            "accepted" => assert_eq!(world.submit(0, job(1, 2)), Some(201)),
            "cancelled" => assert!(world.cancel(0, id).is_some()),
            _ => {
                let mut polls = 0;
                while world.state(0, id) != Some(JobStatus::Done) && polls < 100 {
                    polls += 1;
                }
            }
        }
        assert!(world.rules.is_over(id) || final_state == "accepted", "{final_state}: no node reported the state");
        let responses_before = world.rules.told;
        for _ in 0..5 {
            (0..3).for_each(|node| world.ask_status(node, id));
            world.run(millis(5));
        }
        world.run(secs(3));
        assert!(world.rules.told >= responses_before + 10, "{final_state}: too few requests got a response");
    }
}

#[test]
fn job_evicted_from_the_cache_during_a_comparison_is_not_reported_as_unknown() {
    // The result of the comparison with the state service holds, even if the cache has evicted
    // the job since.
    let policy = rushyoke_core::Policy { job_cache_size: 4, ..rushyoke_core::Policy::default() };
    let mut world = World::with(2, policy, &["a"]);
    world.run(secs(6));
    world.submit(0, service(1, 1));
    world.hold_answers.insert(0, world.now + millis(1000));
    world.ask_status(0, "wk-000001");
    world.run(millis(20));
    world.hold_answers.clear();
    let responses_before = world.rules.told;
    (2..10).for_each(|number| world.ask_submit(0, service(number, 1)));
    world.run(secs(3));
    assert!(world.rules.told > responses_before + 8, "some requests got no response");
}

#[test]
fn transactions_with_lost_responses_are_reported_as_carried_out() {
    // The transactions are carried out at once, and other nodes already read what they wrote.
    let mut world = World::settled(2);
    let leader = world.leader().expect("a leader");
    world.lose_answers.extend(0..3);
    for number in 1..6 {
        world.ask_submit(number as usize % 3, if number % 2 == 0 { service(number, 2) } else { job(number, 2) });
        world.run(millis(300));
        (0..3).for_each(|node| world.ask_status(node, &format!("wk-{number:06}")));
    }
    world.run(secs(2));
    assert!(world.unanswered > 3, "too few responses were lost");
    world.lose_answers.clear();
    world.lose_answers.insert(leader);
    for number in 1..6 {
        let id = format!("wk-{number:06}");
        let other = (leader + 1) % 3;
        assert_eq!(world.submit(other, if number % 2 == 0 { service(number, 2) } else { job(number, 2) }), Some(200));
        if number % 2 == 0 {
            world.cancel(other, &id);
        }
        (0..3).for_each(|node| world.ask_status(node, &id));
    }
    world.run(secs(20));
    assert_eq!(world.leader(), Some(leader), "a lost response ended the leader's term");
    world.calm();
    world.run(secs(20));
    for number in 1..6 {
        let expected = if number % 2 == 0 { JobStatus::Cancelled } else { JobStatus::Done };
        assert_eq!(world.state(next_node(leader), &format!("wk-{number:06}")), Some(expected));
    }
    world.check_served();
}

fn next_node(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn cancellations_queries_and_resubmissions_race_with_the_end_of_the_last_task() {
    for offset in 0..8 {
        let mut world = World::settled(2);
        for number in 1..6 {
            world.submit(number as usize % 3, job(number, 1 + number));
        }
        while world.rules.finished("wk-000005") < 6 {
            world.run(millis(10));
        }
        world.run(millis(70 * offset));
        let mut done_before = 0;
        for number in 1..6 {
            let id = format!("wk-{number:06}");
            (0..3).for_each(|node| world.ask_status(node, &id));
            world.ask_submit(number as usize % 3, job(number, 1 + number));
            let state = world.cancel((number as usize + 1) % 3, &id).and_then(|(_, view)| view).map(|view| view.state);
            done_before += u32::from(state == Some(JobStatus::Done));
            assert!(state.is_some_and(JobStatus::is_final), "{id}: {state:?}");
            world.ask_submit(number as usize % 3, job(number, 1 + number));
            (0..3).for_each(|node| world.ask_status(node, &id));
        }
        world.run(secs(4));
        assert!(offset < 7 || done_before > 0, "no job was done before its cancellation");
        assert!(world.store.rows.keys().all(|key| !key.starts_with("live/")));
    }
}

#[test]
fn one_task_jobs_all_end_while_a_quarter_is_cancelled() {
    let mut world = World::new(4);
    world.check_every = 5;
    world.run(secs(6));
    for number in 1..=400 {
        world.ask_submit(number as usize % 3, job(number, 1));
        world.run(millis(250));
        let id = format!("wk-{number:06}");
        if number % 4 == 0 {
            let view = world.cancel((number as usize + 1) % 3, &id).and_then(|(_, view)| view);
            assert!(view.is_some_and(|view| view.state.is_final()), "{id}");
        }
        (0..3).for_each(|node| world.ask_status(node, &id));
    }
    world.run(secs(20));
    assert_eq!(world.rules.accepted().len(), 400);
    for number in 1..=400 {
        let id = format!("wk-{number:06}");
        let state = world.state(number as usize % 3, &id);
        assert!(
            state == Some(JobStatus::Done) || number % 4 == 0 && state == Some(JobStatus::Cancelled),
            "{id}: {state:?}"
        );
    }
}

#[test]
fn jobs_that_can_never_run_are_rejected_by_every_node_every_time() {
    // Also while the state service responds late, and between resubmissions of an accepted job.
    let mut world = World::settled(1);
    world.submit(0, job(1, 2));
    let invalid_specs = [
        JobSpec { team: "green".into(), ..job(2, 1) },
        JobSpec { cpus: 17.0, ..job(3, 1) },
        JobSpec { zone: Some("z".into()), ..job(4, 1) },
        service(5, 65),
        JobSpec { spread: true, one_zone: true, ..job(6, 4) },
    ];
    for round in 0..3 {
        for (index, spec) in invalid_specs.iter().enumerate() {
            assert_eq!(world.submit((index + round) % 3, spec.clone()), Some(422), "{}", spec.id);
        }
        assert_eq!(world.submit(round, job(1, 2)), Some(200));
        world.hold_answers.insert(round, world.now + millis(600));
        let leader = world.leader().expect("a leader");
        world.crash(leader);
        world.run(millis(500));
        world.start_node(leader);
        world.run(secs(6));
    }
    world.run(secs(10));
    assert_eq!(world.state(1, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(world.rules.accepted(), ["wk-000001"]);
}
