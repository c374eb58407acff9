//! What users are told when they ask at all nodes, again and again, and answers of the state
//! service are late or lost. The world compares each answer with all that any node told before
//! its question was asked.

use rushyoke_testkit::{World, job, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

#[test]
fn a_look_under_way_does_not_answer_who_asks_later() {
    // Found on a drawn day, by close looks: done, then running. A question was answered by a
    // comparison that had been sent for an earlier one, before another node told the newer state.
    for end in ["accepted", "cancelled", "done"] {
        let mut world = World::settled(2);
        let id = "wk-000001";
        if end != "accepted" {
            world.submit(0, if end == "done" { job(1, 2) } else { service(1, 2) });
            world.run(secs(3));
            (0..3).for_each(|node| world.ask_status(node, id));
            world.run(millis(200));
        }
        while end == "done" && world.rules.finished(id) < 2 {
            world.run(millis(10));
        }
        world.hold_answers.insert(1, world.now + millis(1200));
        world.ask_status(1, id);
        world.run(millis(40));
        match end {
            "accepted" => assert_eq!(world.submit(0, job(1, 2)), Some(201)),
            "cancelled" => assert!(world.cancel(0, id).is_some()),
            _ => {
                let mut polls = 0;
                while world.state(0, id) != Some(JobStatus::Done) && polls < 100 {
                    polls += 1;
                }
            }
        }
        assert!(world.rules.is_over(id) || end == "accepted", "{end}: it was told in time");
        let told = world.rules.told;
        for _ in 0..5 {
            (0..3).for_each(|node| world.ask_status(node, id));
            world.run(millis(5));
        }
        world.run(secs(3));
        assert!(world.rules.told >= told + 10, "{end}: most were answered");
    }
}

#[test]
fn a_job_that_the_cache_loses_during_a_look_is_not_unknown() {
    // Found by reading: what was compared is what is true, even if the cache has lost it since.
    let policy = rushyoke_core::Policy { job_cache_size: 4, ..rushyoke_core::Policy::default() };
    let mut world = World::with(2, policy, &["a"]);
    world.run(secs(6));
    world.submit(0, service(1, 1));
    world.hold_answers.insert(0, world.now + millis(1000));
    world.ask_status(0, "wk-000001");
    world.run(millis(20));
    world.hold_answers.clear();
    let told = world.rules.told;
    (2..10).for_each(|id| world.ask_submit(0, service(id, 1)));
    world.run(secs(3));
    assert!(world.rules.told > told + 8, "all were answered");
}

#[test]
fn transactions_whose_answers_are_lost_are_told_as_they_are() {
    // Carried out at once, while other nodes already read what was written.
    let mut world = World::settled(2);
    let leader = world.leader().expect("a lead");
    world.lose_answers.extend(0..3);
    for id in 1..6 {
        world.ask_submit(id as usize % 3, if id % 2 == 0 { service(id, 2) } else { job(id, 2) });
        world.run(millis(300));
        (0..3).for_each(|node| world.ask_status(node, &format!("wk-{id:06}")));
    }
    world.run(secs(2));
    assert!(world.unanswered > 3, "answers were lost");
    world.lose_answers.clear();
    world.lose_answers.insert(leader);
    for id in 1..6 {
        let name = format!("wk-{id:06}");
        let other = (leader + 1) % 3;
        assert_eq!(world.submit(other, if id % 2 == 0 { service(id, 2) } else { job(id, 2) }), Some(200));
        if id % 2 == 0 {
            world.cancel(other, &name);
        }
        (0..3).for_each(|node| world.ask_status(node, &name));
    }
    world.run(secs(20));
    assert_eq!(world.leader(), Some(leader), "a lost answer ends no term");
    world.calm();
    world.run(secs(20));
    for id in 1..6 {
        let end = if id % 2 == 0 { JobStatus::Cancelled } else { JobStatus::Done };
        assert_eq!(world.state(other_than(leader), &format!("wk-{id:06}")), Some(end));
    }
    world.check_served();
}

fn other_than(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn cancellations_questions_and_repeats_meet_the_end_of_the_last_task() {
    for shift in 0..8 {
        let mut world = World::settled(2);
        for id in 1..6 {
            world.submit(id as usize % 3, job(id, 1 + id));
        }
        while world.rules.finished("wk-000005") < 6 {
            world.run(millis(10));
        }
        world.run(millis(70 * shift));
        let mut kept = 0;
        for id in 1..6 {
            let name = format!("wk-{id:06}");
            (0..3).for_each(|node| world.ask_status(node, &name));
            world.ask_submit(id as usize % 3, job(id, 1 + id));
            let told = world.cancel((id as usize + 1) % 3, &name).and_then(|(_, view)| view).map(|view| view.state);
            kept += u32::from(told == Some(JobStatus::Done));
            assert!(told.is_some_and(JobStatus::is_final), "{name}: {told:?}");
            world.ask_submit(id as usize % 3, job(id, 1 + id));
            (0..3).for_each(|node| world.ask_status(node, &name));
        }
        world.run(secs(4));
        assert!(shift < 7 || kept > 0, "some had ended before");
        assert!(world.store.rows.keys().all(|key| !key.starts_with("live/")));
    }
}

#[test]
fn one_task_jobs_come_for_minutes_and_a_quarter_is_cancelled() {
    let mut world = World::new(4);
    world.check_every = 5;
    world.run(secs(6));
    for id in 1..=400 {
        world.ask_submit(id as usize % 3, job(id, 1));
        world.run(millis(250));
        let name = format!("wk-{id:06}");
        if id % 4 == 0 {
            let told = world.cancel((id as usize + 1) % 3, &name).and_then(|(_, view)| view);
            assert!(told.is_some_and(|view| view.state.is_final()), "{name}");
        }
        (0..3).for_each(|node| world.ask_status(node, &name));
    }
    world.run(secs(20));
    assert_eq!(world.rules.accepted().len(), 400);
    for id in 1..=400 {
        let name = format!("wk-{id:06}");
        let state = world.state(id as usize % 3, &name);
        assert!(
            state == Some(JobStatus::Done) || id % 4 == 0 && state == Some(JobStatus::Cancelled),
            "{name}: {state:?}"
        );
    }
}

#[test]
fn what_can_never_run_is_refused_by_every_node_again_and_again() {
    // Also while the state service answers late, and beside repeats of what was accepted.
    let mut world = World::settled(1);
    world.submit(0, job(1, 2));
    let bad = [
        JobSpec { team: "green".into(), ..job(2, 1) },
        JobSpec { cpus: 17.0, ..job(3, 1) },
        JobSpec { zone: Some("z".into()), ..job(4, 1) },
        service(5, 65),
        JobSpec { spread: true, one_zone: true, ..job(6, 4) },
    ];
    for round in 0..3 {
        for (n, spec) in bad.iter().enumerate() {
            assert_eq!(world.submit((n + round) % 3, spec.clone()), Some(422), "{}", spec.id);
        }
        assert_eq!(world.submit(round, job(1, 2)), Some(200));
        world.hold_answers.insert(round, world.now + millis(600));
        let lead = world.leader().expect("a leader");
        world.crash(lead);
        world.run(millis(500));
        world.start_node(lead);
        world.run(secs(6));
    }
    world.run(secs(10));
    assert_eq!(world.state(1, "wk-000001"), Some(JobStatus::Done));
    assert_eq!(world.rules.accepted(), ["wk-000001"]);
}
