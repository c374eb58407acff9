//! Bursts of work that rebalancing evens out, and tasks that must stay on their machines.

use std::collections::{BTreeMap, BTreeSet};

use rushyoke_core::{BalanceSettings, Facts, Policy, Team};
use rushyoke_testkit::{Simulation, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, Priority};

use crate::support::*;

#[test]
fn a_burst_on_few_machines_is_evened_out_within_a_minute() {
    let mut simulation = skewed_fleet(4, 12, rebalancing_policy());
    let services: BTreeSet<_> = simulation.running_tasks(&job_id(1)).into_iter().collect();
    let mut history = TaskHistory::default();
    let fairness_before = fairness_index(&simulation, &[1, 2, 3]);
    history.run(&mut simulation, &[1, 2, 3], secs(64));
    let (moves, max_moves_per_task) = history.move_counts();
    assert!(
        fairness_before < 0.3 && fairness_index(&simulation, &[1, 2, 3]) > 0.9,
        "{fairness_before}, {:?}",
        tasks_per_machine(&simulation, &[1, 2, 3])
    );
    assert_eq!(max_moves_per_task, 1, "a task was moved twice");
    assert!((40..=56).contains(&moves), "{moves} moves");
    assert_eq!(
        simulation.running_tasks(&job_id(1)).into_iter().collect::<BTreeSet<_>>(),
        services,
        "a service was moved"
    );
    // Rebalancing settles and makes almost no further moves.
    history.run(&mut simulation, &[1, 2, 3], secs(60));
    assert!(history.move_counts().0 <= moves + 2, "{} moves after {moves}", history.move_counts().0);
    assert!(open_moves(&simulation).is_empty(), "moves stay open");
}

#[test]
fn no_task_is_moved_while_rebalancing_is_off() {
    let mut simulation = skewed_fleet(4, 12, Policy { balance: None, ..rebalancing_policy() });
    let mut history = TaskHistory::default();
    history.run(&mut simulation, &[1, 2, 3], secs(64));
    assert_eq!(history.move_counts().0, 0);
    assert!(!any_move_recorded(&simulation));
}

#[test]
fn alternating_bursts_do_not_move_tasks_back_and_forth() {
    let mut simulation = skewed_fleet(4, 12, rebalancing_policy());
    let mut history = TaskHistory::default();
    let jobs: Vec<u32> = (1..12).collect();
    // Every 30 s a burst of the other team arrives, and an earlier burst is cancelled.
    for id in 4..12 {
        let team = if id % 2 == 0 { "red" } else { "blue" };
        let spec = JobSpec { team: team.into(), ..checkpointing_job(id, 40) };
        assert_eq!(simulation.submit(id as usize % 3, spec), Some(201));
        let moved_before = history.move_counts().0;
        history.run(&mut simulation, &jobs, secs(30));
        if id >= 6 {
            let _ = simulation.cancel(0, &job_id(id - 2));
        }
        let budget = (16.0 * BalanceSettings::default().moves_per_machine / 2.0) as usize;
        assert!(
            history.move_counts().0 - moved_before <= budget + 4,
            "{} moves in 30 s",
            history.move_counts().0 - moved_before
        );
    }
    assert!(history.move_counts().1 <= 1, "a task was moved twice");
    let tasks = history.machines.len();
    assert!(history.move_counts().0 <= tasks, "{} moves of {tasks} tasks", history.move_counts().0);
    check_recovery(&mut simulation, &mut history);
}

#[test]
fn rebalancing_stays_within_the_quota_limits_of_teams() {
    // A stopped task counts towards the quota until it is confirmed gone, so a move needs no quota besides the
    // task's own. The simulation checks that no team ever exceeds its limit.
    let team = || Team { cpus: 16.0, cpus_max: 31.0, gpus: 0.0, gpus_max: 0.0 };
    let teams = BTreeMap::from([("red".into(), team()), ("blue".into(), team())]);
    let mut simulation = Simulation::with_facts(Facts { teams, ..deployment_facts() }, 4, rebalancing_policy(), &ZONES);
    simulation.task_duration_s = 300.0;
    simulation.boot_time = secs(2);
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    simulation.cloud.capacity = 4;
    simulation.run(secs(6));
    for (id, team) in [(2, "red"), (3, "blue"), (4, "red"), (5, "blue")] {
        assert_eq!(simulation.submit(1, JobSpec { team: team.into(), ..checkpointing_job(id, 31) }), Some(201));
    }
    simulation.run(secs(28));
    assert_eq!(tasks_per_machine(&simulation, &[2, 3, 4, 5]).values().sum::<usize>(), 62);
    (0..8).for_each(|n| drop(simulation.cloud.add_machine(simulation.now, ZONES[n % 3], false)));
    simulation.cloud.capacity = 12;
    let mut history = TaskHistory::default();
    history.run(&mut simulation, &[2, 3, 4, 5], secs(64));
    // Tasks that wait because of the quota limit must not keep the machines crowded.
    let fairness = fairness_index(&simulation, &[2, 3, 4, 5]);
    assert!(
        fairness > 0.8 && history.move_counts().1 == 1,
        "{fairness}, {:?}",
        tasks_per_machine(&simulation, &[2, 3, 4, 5])
    );
    assert_eq!(
        tasks_per_machine(&simulation, &[2, 3, 4, 5]).values().sum::<usize>(),
        62,
        "quota below the limit stays unused"
    );
}

#[test]
fn one_teams_burst_leaves_resources_for_another_team() {
    let mut wait_times = Vec::new();
    for policy in [rebalancing_policy(), Policy { balance: None, ..rebalancing_policy() }] {
        let mut facts = deployment_facts();
        // The other team's job exceeds its guaranteed quota, so nothing is preempted for it.
        facts.teams.get_mut("blue").expect("a team").cpus = 1.0;
        let mut simulation = Simulation::with_facts(facts, 12, policy, &ZONES);
        simulation.set_task_duration(100.0);
        simulation.cloud.capacity = 12;
        simulation.run(secs(6));
        // A job much larger than the fleet, and a little later a few tasks of another team.
        assert_eq!(simulation.submit(0, JobSpec { estimate_s: 100.0, spot: false, ..job(2, 400) }), Some(201));
        simulation.run(secs(8));
        let blue = JobSpec { estimate_s: 100.0, spot: false, team: "blue".into(), ..job(3, 8) };
        assert_eq!(simulation.submit(1, blue), Some(201));
        let submitted_at = simulation.now;
        while simulation.running_tasks(&job_id(3)).len() < 8 && simulation.now < submitted_at + secs(60) {
            simulation.run(millis(200));
        }
        wait_times.push(simulation.now - submitted_at);
        // The resources that were kept free are used in the end.
        simulation.run(secs(30));
        assert_eq!(tasks_per_machine(&simulation, &[2, 3]).values().sum::<usize>(), 192);
    }
    assert!(wait_times[0] < secs(3) && wait_times[1] > secs(30), "a team waits behind another's burst: {wait_times:?}");
}

#[test]
fn a_destination_keeps_resources_reserved_for_a_moving_task() {
    // Tasks save for three seconds, while a burst arrives that could fill every machine.
    let mut simulation = Simulation::with_facts(deployment_facts(), 2, rebalancing_policy(), &ZONES);
    simulation.task_duration_s = 300.0;
    simulation.boot_time = secs(2);
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    simulation.cloud.capacity = 2;
    simulation.run(secs(6));
    for id in [2, 3] {
        assert_eq!(simulation.submit(0, JobSpec { save_s: 3.0, ..checkpointing_job(id, 16) }), Some(201));
    }
    simulation.run(secs(28));
    simulation.cloud.add_machine(simulation.now, "c", false);
    simulation.cloud.capacity = 3;
    run_until_moves_open(&mut simulation, 1);
    simulation.run(secs(1));
    let open = open_moves(&simulation);
    for (id, kind) in [(4, job(4, 40)), (5, service(5, 12))] {
        let spec = JobSpec { team: "blue".into(), spot: false, estimate_s: 300.0, ..kind };
        assert_eq!(simulation.submit(id as usize % 3, spec), Some(201));
    }
    assert!(!open.is_empty());
    TaskHistory::default().run(&mut simulation, &[2, 3, 4, 5], secs(6));
    for (job, task, source, destination) in open {
        let placement = simulation.running_tasks(&job).into_iter().find(|(name, _)| *name == format!("{job}/{task}"));
        assert_eq!(
            placement.map(|(_, machine)| machine),
            Some(destination),
            "{job}/{task} left {source} but does not run on its destination"
        );
    }
}

#[test]
fn a_task_is_moved_only_once_despite_new_machines_and_new_leaders() {
    let mut simulation = skewed_fleet(4, 4, rebalancing_policy());
    let mut history = TaskHistory::default();
    history.run(&mut simulation, &[1, 2, 3], secs(50));
    let counts_before = history.move_counts();
    assert!((20..=32).contains(&counts_before.0) && counts_before.1 == 1, "{counts_before:?}");
    for round in 0..2 {
        let leader = simulation.leader().expect("a leader");
        simulation.crash_node(leader);
        history.run(&mut simulation, &[1, 2, 3], secs(4));
        simulation.start_node(leader);
        (0..8).for_each(|n| drop(simulation.cloud.add_machine(simulation.now, ZONES[n % 3], false)));
        simulation.cloud.capacity += 8;
        history.run(&mut simulation, &[1, 2, 3], secs(60));
        assert_eq!(history.move_counts().1, 1, "round {round}: a task was moved twice");
    }
    // Tasks that were not moved before move to the new machines.
    assert!(history.move_counts().0 > counts_before.0 + 8, "{:?} after {counts_before:?}", history.move_counts());
}

#[test]
fn services_production_jobs_and_protected_classes_are_never_moved() {
    let settings =
        BalanceSettings { protected_classes: BTreeSet::from(["sheets".to_owned()]), ..BalanceSettings::default() };
    let mut simulation = Simulation::with_facts(
        deployment_facts(),
        4,
        Policy { balance: Some(settings), ..rebalancing_policy() },
        &ZONES,
    );
    simulation.task_duration_s = 300.0;
    simulation.boot_time = secs(2);
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    simulation.cloud.capacity = 4;
    simulation.run(secs(6));
    // All of these jobs save checkpoints, so that only their kind, priority or class prevents moves.
    let checkpointing = |spec: JobSpec| JobSpec { checkpoint_interval_s: 10.0, save_s: 0.5, spot: false, ..spec };
    let unmovable_jobs = [
        checkpointing(JobSpec { estimate_s: 300.0, ..service(1, 8) }),
        checkpointing(JobSpec { priority: Priority::Normal, estimate_s: 300.0, ..service(2, 8) }),
        JobSpec { priority: Priority::Production, ..checkpointing_job(3, 16) },
        JobSpec { class: "sheets".into(), ..checkpointing_job(4, 16) },
    ];
    for spec in unmovable_jobs {
        assert_eq!(simulation.submit(0, spec), Some(201));
        simulation.run(secs(1));
    }
    assert_eq!(simulation.submit(0, JobSpec { team: "blue".into(), ..checkpointing_job(5, 16) }), Some(201));
    simulation.run(secs(28));
    assert_eq!(tasks_per_machine(&simulation, &[1, 2, 3, 4, 5]).values().sum::<usize>(), 64);
    (0..8).for_each(|n| drop(simulation.cloud.add_machine(simulation.now, ZONES[n % 3], false)));
    simulation.cloud.capacity = 12;
    let mut history = TaskHistory::default();
    history.run(&mut simulation, &[1, 2, 3, 4], secs(64));
    assert_eq!(history.move_counts().0, 0, "{:?}", history.machines);
    let mut other_history = TaskHistory::default();
    other_history.run(&mut simulation, &[5], secs(1));
    let moved = other_history.machines.values().filter(|machines| machines[0].as_str() >= "n-000004").count();
    assert!(moved >= 8, "{moved} tasks of the other job were moved");
}
