//! Bursts that even out, and what stays where it is.

use std::collections::{BTreeMap, BTreeSet};

use rushyoke_core::{BalanceSettings, Facts, Policy, Team};
use rushyoke_testkit::{Simulation, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, Priority};

use crate::support::*;

#[test]
fn a_burst_that_crowds_on_few_machines_is_even_within_a_minute() {
    let mut simulation = skewed(4, 12, spreading());
    let services: BTreeSet<_> = simulation.running_tasks(&job_id(1)).into_iter().collect();
    let mut paths = Paths::default();
    let before = jain(&simulation, &[1, 2, 3]);
    paths.run(&mut simulation, &[1, 2, 3], secs(64));
    let (moves, most) = paths.moves();
    assert!(before < 0.3 && jain(&simulation, &[1, 2, 3]) > 0.9, "{before}, {:?}", loads(&simulation, &[1, 2, 3]));
    assert_eq!(most, 1, "a task was moved twice");
    assert!((40..=56).contains(&moves), "{moves} moves");
    assert_eq!(
        simulation.running_tasks(&job_id(1)).into_iter().collect::<BTreeSet<_>>(),
        services,
        "a service was moved"
    );
    // It comes to rest: no more moves.
    paths.run(&mut simulation, &[1, 2, 3], secs(60));
    assert!(paths.moves().0 <= moves + 2, "{} moves after {moves}", paths.moves().0);
    assert!(open_moves(&simulation).is_empty(), "moves stay open");
}

#[test]
fn nothing_moves_while_load_spreading_is_off() {
    let mut simulation = skewed(4, 12, Policy { balance: None, ..spreading() });
    let mut paths = Paths::default();
    paths.run(&mut simulation, &[1, 2, 3], secs(64));
    assert_eq!(paths.moves().0, 0);
    assert!(!booked_ever(&simulation));
}

#[test]
fn two_bursts_in_turn_do_not_make_work_go_to_and_fro() {
    let mut simulation = skewed(4, 12, spreading());
    let mut paths = Paths::default();
    let jobs: Vec<u32> = (1..12).collect();
    // Each half minute a burst of the other team, while the one before ends.
    for id in 4..12 {
        let team = if id % 2 == 0 { "red" } else { "blue" };
        let spec = JobSpec { team: team.into(), ..saving(id, 40) };
        assert_eq!(simulation.submit(id as usize % 3, spec), Some(201));
        let before = paths.moves().0;
        paths.run(&mut simulation, &jobs, secs(30));
        if id >= 6 {
            let _ = simulation.cancel(0, &job_id(id - 2));
        }
        let budget = (16.0 * BalanceSettings::default().moves_per_machine / 2.0) as usize;
        assert!(paths.moves().0 - before <= budget + 4, "{} moves in half a minute", paths.moves().0 - before);
    }
    assert!(paths.moves().1 <= 1, "a task was moved twice");
    let tasks = paths.of.len();
    assert!(paths.moves().0 <= tasks, "{} moves of {tasks} tasks", paths.moves().0);
    ends_well(&mut simulation, &mut paths);
}

#[test]
fn a_burst_at_every_teams_limit_moves_within_the_limits() {
    // A task that is stopped counts until it is proven gone, so a move needs no room below the limit
    // but the task's own: the world checks that no team ever uses more.
    let team = || Team { cpus: 16.0, cpus_max: 31.0, gpus: 0.0, gpus_max: 0.0 };
    let teams = BTreeMap::from([("red".into(), team()), ("blue".into(), team())]);
    let mut simulation = Simulation::with_facts(Facts { teams, ..deployment() }, 4, spreading(), &ZONES);
    simulation.task_duration_s = 300.0;
    simulation.boot_time = secs(2);
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    simulation.cloud.capacity = 4;
    simulation.run(secs(6));
    for (id, team) in [(2, "red"), (3, "blue"), (4, "red"), (5, "blue")] {
        assert_eq!(simulation.submit(1, JobSpec { team: team.into(), ..saving(id, 31) }), Some(201));
    }
    simulation.run(secs(28));
    assert_eq!(loads(&simulation, &[2, 3, 4, 5]).values().sum::<usize>(), 62);
    (0..8).for_each(|n| drop(simulation.cloud.add_machine(simulation.now, ZONES[n % 3], false)));
    simulation.cloud.capacity = 12;
    let mut paths = Paths::default();
    paths.run(&mut simulation, &[2, 3, 4, 5], secs(64));
    // What waits for the limit is no reason to leave the machines crowded.
    let even = jain(&simulation, &[2, 3, 4, 5]);
    assert!(even > 0.8 && paths.moves().1 == 1, "{even}, {:?}", loads(&simulation, &[2, 3, 4, 5]));
    assert_eq!(loads(&simulation, &[2, 3, 4, 5]).values().sum::<usize>(), 62, "room below the limit stays unused");
}

#[test]
fn one_teams_burst_leaves_room_for_another_that_comes() {
    let mut late = Vec::new();
    for policy in [spreading(), Policy { balance: None, ..spreading() }] {
        let mut facts = deployment();
        // What the other team wants is beyond its guarantee: no work is stopped for it.
        facts.teams.get_mut("blue").expect("a team").cpus = 1.0;
        let mut simulation = Simulation::with_facts(facts, 12, policy, &ZONES);
        simulation.task_duration_s = 100.0;
        simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 100.0);
        simulation.cloud.capacity = 12;
        simulation.run(secs(6));
        // Far more than there is room for, and a little later a few tasks of another team.
        assert_eq!(simulation.submit(0, JobSpec { estimate_s: 100.0, spot: false, ..job(2, 400) }), Some(201));
        simulation.run(secs(8));
        let blue = JobSpec { estimate_s: 100.0, spot: false, team: "blue".into(), ..job(3, 8) };
        assert_eq!(simulation.submit(1, blue), Some(201));
        let from = simulation.now;
        while simulation.running_tasks(&job_id(3)).len() < 8 && simulation.now < from + secs(60) {
            simulation.run(millis(200));
        }
        late.push(simulation.now - from);
        // What was kept free is not kept for ever.
        simulation.run(secs(30));
        assert_eq!(loads(&simulation, &[2, 3]).values().sum::<usize>(), 192);
    }
    assert!(late[0] < secs(3) && late[1] > secs(30), "a team waits behind another's burst: {late:?}");
}

#[test]
fn a_destination_that_others_want_keeps_the_room_for_a_task_on_its_way() {
    // Tasks save for three seconds while a burst comes that could fill every machine.
    let mut simulation = Simulation::with_facts(deployment(), 2, spreading(), &ZONES);
    simulation.task_duration_s = 300.0;
    simulation.boot_time = secs(2);
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    simulation.cloud.capacity = 2;
    simulation.run(secs(6));
    for id in [2, 3] {
        assert_eq!(simulation.submit(0, JobSpec { save_s: 3.0, ..saving(id, 16) }), Some(201));
    }
    simulation.run(secs(28));
    simulation.cloud.add_machine(simulation.now, "c", false);
    simulation.cloud.capacity = 3;
    until_moves_open(&mut simulation, 1);
    simulation.run(secs(1));
    let open = open_moves(&simulation);
    for (id, kind) in [(4, job(4, 40)), (5, service(5, 12))] {
        let spec = JobSpec { team: "blue".into(), spot: false, estimate_s: 300.0, ..kind };
        assert_eq!(simulation.submit(id as usize % 3, spec), Some(201));
    }
    assert!(!open.is_empty());
    Paths::default().run(&mut simulation, &[2, 3, 4, 5], secs(6));
    for (job, task, from, to) in open {
        let on = simulation.running_tasks(&job).into_iter().find(|(name, _)| *name == format!("{job}/{task}"));
        assert_eq!(on.map(|(_, machine)| machine), Some(to), "{job}/{task} left {from} for nothing");
    }
}

#[test]
fn a_task_is_moved_once_however_often_there_is_more_room_and_another_leader() {
    let mut simulation = skewed(4, 4, spreading());
    let mut paths = Paths::default();
    paths.run(&mut simulation, &[1, 2, 3], secs(50));
    let first = paths.moves();
    assert!((20..=32).contains(&first.0) && first.1 == 1, "{first:?}");
    for round in 0..2 {
        let leader = simulation.leader().expect("a leader");
        simulation.crash_node(leader);
        paths.run(&mut simulation, &[1, 2, 3], secs(4));
        simulation.start_node(leader);
        (0..8).for_each(|n| drop(simulation.cloud.add_machine(simulation.now, ZONES[n % 3], false)));
        simulation.cloud.capacity += 8;
        paths.run(&mut simulation, &[1, 2, 3], secs(60));
        assert_eq!(paths.moves().1, 1, "round {round}: a task was moved twice");
    }
    // Those that were not moved before take the new room.
    assert!(paths.moves().0 > first.0 + 8, "{:?} after {first:?}", paths.moves());
}

#[test]
fn services_production_and_protected_classes_stay_however_crowded_they_are() {
    let settings =
        BalanceSettings { protected_classes: BTreeSet::from(["sheets".to_owned()]), ..BalanceSettings::default() };
    let mut simulation =
        Simulation::with_facts(deployment(), 4, Policy { balance: Some(settings), ..spreading() }, &ZONES);
    simulation.task_duration_s = 300.0;
    simulation.boot_time = secs(2);
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    simulation.cloud.capacity = 4;
    simulation.run(secs(6));
    // All of them save their progress, so that nothing but their kind keeps them where they are.
    let saves = |spec: JobSpec| JobSpec { checkpoint_interval_s: 10.0, save_s: 0.5, spot: false, ..spec };
    let kept = [
        saves(JobSpec { estimate_s: 300.0, ..service(1, 8) }),
        saves(JobSpec { priority: Priority::Normal, estimate_s: 300.0, ..service(2, 8) }),
        JobSpec { priority: Priority::Production, ..saving(3, 16) },
        JobSpec { class: "sheets".into(), ..saving(4, 16) },
    ];
    for spec in kept {
        assert_eq!(simulation.submit(0, spec), Some(201));
        simulation.run(secs(1));
    }
    assert_eq!(simulation.submit(0, JobSpec { team: "blue".into(), ..saving(5, 16) }), Some(201));
    simulation.run(secs(28));
    assert_eq!(loads(&simulation, &[1, 2, 3, 4, 5]).values().sum::<usize>(), 64);
    (0..8).for_each(|n| drop(simulation.cloud.add_machine(simulation.now, ZONES[n % 3], false)));
    simulation.cloud.capacity = 12;
    let mut paths = Paths::default();
    paths.run(&mut simulation, &[1, 2, 3, 4], secs(64));
    assert_eq!(paths.moves().0, 0, "{:?}", paths.of);
    let mut others = Paths::default();
    others.run(&mut simulation, &[5], secs(1));
    let idle = others.of.values().filter(|path| path[0].as_str() >= "n-000004").count();
    assert!(idle >= 8, "{idle} of the others were moved");
}
