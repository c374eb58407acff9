//! Failures while tasks are being moved.

use std::collections::BTreeSet;

use rushyoke_core::Policy;
use rushyoke_testkit::{Simulation, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

use crate::support::*;

#[test]
fn the_leader_crashes_in_each_state_of_a_move_with_alternating_versions() {
    // In some cases the next leader has rebalancing disabled, like the version in production, which does not
    // support it; the leader after that has it enabled again.
    let (mut stopped, mut reached_destination) = (0, 0);
    for (delay_ms, old_version_between) in
        [(0, false), (60, true), (300, false), (900, true), (1500, false), (2400, true), (3500, false)]
    {
        let mut simulation = skewed_fleet(4, 8, rebalancing_policy());
        let mut history = TaskHistory::default();
        history.run(&mut simulation, &[1, 2, 3], millis(200));
        run_until_moves_open(&mut simulation, 3);
        history.run(&mut simulation, &[1, 2, 3], millis(delay_ms));
        let leader = simulation.leader().expect("a leader");
        let open = open_moves(&simulation);
        if old_version_between {
            for node in 0..3 {
                simulation.policy_overrides.insert(node, Policy { balance: None, ..rebalancing_policy() });
            }
            // The other nodes already run the old version.
            for other in [(leader + 1) % 3, (leader + 2) % 3] {
                simulation.crash_node(other);
                simulation.start_node(other);
            }
            history.run(&mut simulation, &[1, 2, 3], millis(300));
        }
        simulation.crash_node(leader);
        history.run(&mut simulation, &[1, 2, 3], secs(8));
        let next = simulation.leader().expect("another leader");
        assert_ne!(next, leader);
        if old_version_between {
            let records_before = open_moves(&simulation);
            history.run(&mut simulation, &[1, 2, 3], secs(10));
            assert_eq!(open_moves(&simulation), records_before, "the old version changed the records of moves");
            // All nodes that start from now on support moves again; the leader with the old version crashes last.
            simulation.policy_overrides.clear();
            simulation.start_node(leader);
            let third_node = 3 - next - leader;
            simulation.crash_node(third_node);
            simulation.start_node(third_node);
            history.run(&mut simulation, &[1, 2, 3], secs(1));
            simulation.crash_node(next);
            history.run(&mut simulation, &[1, 2, 3], secs(8));
            assert!(simulation.leader().is_some(), "no leader");
            simulation.start_node(next);
        } else {
            simulation.start_node(leader);
            let placements: BTreeSet<(String, String)> =
                [2, 3].iter().flat_map(|id| simulation.running_tasks(&job_id(*id))).collect();
            for (job, task, source, destination) in open {
                let runs_on = |machine: String| placements.contains(&(format!("{job}/{task}"), machine));
                stopped += usize::from(!runs_on(source));
                reached_destination += usize::from(runs_on(destination));
            }
        }
        history.run(&mut simulation, &[1, 2, 3], secs(60));
        assert!(history.move_counts().1 <= 1, "at {delay_ms} ms: a task was moved twice");
        assert!(
            fairness_index(&simulation, &[1, 2, 3]) > 0.85,
            "at {delay_ms} ms: {:?}",
            tasks_per_machine(&simulation, &[1, 2, 3])
        );
        check_recovery(&mut simulation, &mut history);
    }
    assert!(
        stopped > 3 && reached_destination == stopped,
        "{stopped} tasks were stopped, {reached_destination} of them reached their destination"
    );
}

#[test]
fn destinations_fail_or_become_unreachable_in_each_state_of_a_move() {
    for delay_ms in [0, 200, 500, 900, 1500] {
        for fault in ["dies", "gets a notice", "freezes", "loses inbound messages", "is partitioned"] {
            let (mut simulation, mut history, _, destinations) = fleet_with_open_moves(rebalancing_policy());
            history.run(&mut simulation, &[1, 2, 3], millis(delay_ms));
            let now = simulation.now;
            for machine in &destinations {
                match fault {
                    "dies" => drop(simulation.workers.remove(machine)),
                    "gets a notice" => simulation.workers.get_mut(machine).expect("up").notice_s = Some(20.0),
                    "freezes" => drop(simulation.frozen_until.insert(machine.clone(), now + secs(9))),
                    "loses inbound messages" => drop(simulation.lost_inbound.insert(machine.clone())),
                    _ => drop(simulation.partitioned_machines.insert(machine.clone())),
                }
            }
            history.run(&mut simulation, &[1, 2, 3], secs(30));
            simulation.workers.values_mut().for_each(|worker| worker.notice_s = None);
            check_recovery(&mut simulation, &mut history);
            let fairness = fairness_index(&simulation, &[1, 2, 3]);
            assert!(
                fairness > 0.8,
                "{fault} at {delay_ms} ms: {fairness}, {:?}",
                tasks_per_machine(&simulation, &[1, 2, 3])
            );
        }
    }
}

#[test]
fn sources_are_partitioned_while_saving_and_receive_stops_late() {
    for delay_ms in [0, 200, 500, 900] {
        let (mut simulation, mut history, sources, _) = fleet_with_open_moves(rebalancing_policy());
        // Direct calls are delayed and arrive when the machines are reachable again.
        let reachable_at = simulation.now + millis(delay_ms) + secs(18);
        simulation.delayed_orders_until.extend(sources.iter().map(|machine| (machine.clone(), reachable_at)));
        history.run(&mut simulation, &[1, 2, 3], millis(delay_ms));
        simulation.partitioned_machines.extend(sources.iter().cloned());
        history.run(&mut simulation, &[1, 2, 3], secs(18));
        simulation.partitioned_machines.clear();
        simulation.delayed_orders_until.clear();
        history.run(&mut simulation, &[1, 2, 3], secs(20));
        check_recovery(&mut simulation, &mut history);
    }
}

#[test]
fn a_zone_is_lost_with_some_of_the_open_moves() {
    for zone in ZONES {
        let mut simulation = skewed_fleet(12, 24, rebalancing_policy());
        let mut history = TaskHistory::default();
        history.run(&mut simulation, &[1, 2, 3], millis(200));
        let open_count = run_until_moves_open(&mut simulation, 4);
        let lost_machines: Vec<String> = simulation
            .workers
            .values()
            .filter(|worker| worker.zone == zone)
            .map(|worker| worker.name.clone())
            .collect();
        let affected = open_moves(&simulation)
            .iter()
            .filter(|(_, _, source, destination)| lost_machines.contains(source) || lost_machines.contains(destination))
            .count();
        assert!(affected * 10 >= open_count, "only {affected} of {open_count} moves are affected");
        simulation.partitioned_machines.extend(lost_machines);
        // Once the machines are found unresponsive, no move starts until their state is known.
        history.run(&mut simulation, &[1, 2, 3], secs(7));
        let open_before: BTreeSet<_> = open_moves(&simulation).into_iter().collect();
        history.run(&mut simulation, &[1, 2, 3], secs(4));
        let started_since = open_moves(&simulation).into_iter().filter(|open| !open_before.contains(open)).count();
        assert_eq!(started_since, 0, "moves were started while a third of the machines was unresponsive");
        history.run(&mut simulation, &[1, 2, 3], secs(29));
        simulation.partitioned_machines.clear();
        history.run(&mut simulation, &[1, 2, 3], secs(30));
        check_recovery(&mut simulation, &mut history);
    }
}

#[test]
fn jobs_are_cancelled_in_each_state_of_their_moves() {
    for delay_ms in [0, 100, 200, 350, 500, 700, 900, 1300] {
        let (mut simulation, mut history, _, _) = fleet_with_open_moves(rebalancing_policy());
        history.run(&mut simulation, &[1, 2, 3], millis(delay_ms));
        for id in [2, 3] {
            let response = simulation.cancel(id as usize % 3, &job_id(id)).and_then(|(_, view)| view);
            assert_eq!(response.map(|view| view.state), Some(JobStatus::Cancelled));
        }
        simulation.run(secs(31));
        assert!(simulation.running_tasks(&job_id(2)).is_empty() && simulation.running_tasks(&job_id(3)).is_empty());
        assert!(open_moves(&simulation).is_empty(), "at {delay_ms} ms: moves of cancelled jobs stay open");
        check_recovery(&mut simulation, &mut history);
        // No resources stay reserved: a job can fill the whole fleet.
        let tasks = 12 * 16 - 4;
        assert_eq!(simulation.submit(0, JobSpec { team: "blue".into(), ..checkpointing_job(4, tasks) }), Some(201));
        simulation.run(secs(40));
        assert_eq!(
            simulation.running_tasks(&job_id(4)).len() as u32,
            tasks,
            "at {delay_ms} ms: resources stay reserved"
        );
    }
}

#[test]
fn the_state_service_is_down_or_unreachable_for_the_leader_during_moves() {
    for delay_ms in [0, 200, 600] {
        for (leader_only, outage_s) in [(false, 5), (false, 35), (true, 5), (true, 20)] {
            let (mut simulation, mut history, _, _) = fleet_with_open_moves(rebalancing_policy());
            history.run(&mut simulation, &[1, 2, 3], millis(delay_ms));
            let leader = simulation.leader().expect("a leader");
            if leader_only {
                simulation.partitioned_from_store.insert(leader);
            } else {
                simulation.store.outage = true;
            }
            history.run(&mut simulation, &[1, 2, 3], secs(outage_s));
            simulation.clear_faults();
            history.run(&mut simulation, &[1, 2, 3], secs(50));
            check_recovery(&mut simulation, &mut history);
            let fairness = fairness_index(&simulation, &[1, 2, 3]);
            assert!(
                fairness > 0.8,
                "leader only {leader_only}, {outage_s} s at {delay_ms} ms: {:?}",
                tasks_per_machine(&simulation, &[1, 2, 3])
            );
        }
    }
}

#[test]
fn transactions_of_moves_are_applied_late_or_lose_their_responses() {
    for responses_lost in [false, true] {
        let (mut simulation, mut history, _, _) = fleet_with_open_moves(rebalancing_policy());
        let leader = simulation.leader().expect("a leader");
        for _ in 0..6 {
            if responses_lost {
                simulation.lost_txn_responses.insert(leader);
            } else {
                let until = simulation.now + secs(3);
                simulation.timed_out_txns_until.insert(leader, until);
            }
            history.run(&mut simulation, &[1, 2, 3], millis(1200));
            simulation.lost_txn_responses.clear();
            simulation.timed_out_txns_until.clear();
            history.run(&mut simulation, &[1, 2, 3], secs(3));
        }
        assert!(
            simulation.commits_without_response + simulation.late_commits > 0 || !responses_lost,
            "no response was lost"
        );
        history.run(&mut simulation, &[1, 2, 3], secs(50));
        assert!(history.move_counts().1 <= 1, "a task was moved twice");
        check_recovery(&mut simulation, &mut history);
    }
}

#[test]
fn spot_reclaims_take_sources_and_destinations_of_moves() {
    let mut simulation = Simulation::with_facts(deployment_facts(), 2, rebalancing_policy(), &ZONES);
    simulation.task_duration_s = 300.0;
    simulation.boot_time = secs(2);
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    for n in 0..4 {
        simulation.cloud.add_machine(simulation.now, ZONES[n % 3], true);
    }
    simulation.cloud.capacity = 6;
    simulation.run(secs(8));
    assert_eq!(simulation.submit(0, service(1, 4)), Some(201));
    simulation.run(secs(3));
    for (id, team) in [(2, "red"), (3, "blue")] {
        let spec = JobSpec { spot: true, team: team.into(), ..checkpointing_job(id, 40) };
        assert_eq!(simulation.submit(1, spec), Some(201));
    }
    simulation.run(secs(28));
    for n in 0..8 {
        simulation.cloud.add_machine(simulation.now, ZONES[n % 3], true);
    }
    simulation.cloud.capacity = 20;
    let mut history = TaskHistory::default();
    run_until_moves_open(&mut simulation, 2);
    // Half of the spot machines are reclaimed without notice, the others with notice.
    let spot: Vec<String> =
        simulation.workers.values().filter(|worker| worker.spot).map(|worker| worker.name.clone()).collect();
    for (n, name) in spot.iter().enumerate() {
        if n % 2 == 0 {
            simulation.workers.remove(name);
        } else {
            simulation.workers.get_mut(name).expect("up").notice_s = Some(8.0);
        }
    }
    history.run(&mut simulation, &[1, 2, 3], secs(8));
    for name in spot.iter().skip(1).step_by(2) {
        simulation.workers.remove(name);
        simulation.cloud.machines.remove(name);
    }
    history.run(&mut simulation, &[1, 2, 3], secs(60));
    assert_eq!(tasks_per_machine(&simulation, &[1, 2, 3]).values().sum::<usize>(), 84, "not all tasks run again");
    check_recovery(&mut simulation, &mut history);
}

#[test]
fn a_move_ends_before_the_stop_if_its_destination_fails_before_it_is_recorded() {
    for destinations_gone in [false, true] {
        let mut simulation = skewed_fleet(4, 8, rebalancing_policy());
        let leader = simulation.leader().expect("a leader");
        let until = simulation.now + secs(5);
        simulation.slow_txns_until.insert(leader, until);
        let started = simulation.started_tasks;
        simulation.run(millis(2500));
        assert!(!any_move_recorded(&simulation), "a move is already recorded");
        let idle: Vec<String> = tasks_per_machine(&simulation, &[1, 2, 3])
            .into_iter()
            .filter(|(_, tasks)| *tasks == 0)
            .map(|(name, _)| name)
            .collect();
        assert_eq!(idle.len(), 8);
        for machine in &idle {
            if destinations_gone {
                simulation.workers.remove(machine);
                simulation.cloud.machines.remove(machine);
            } else {
                simulation.workers.get_mut(machine).expect("up").notice_s = Some(25.0);
            }
        }
        simulation.run(secs(3));
        assert!(any_move_recorded(&simulation), "no move was recorded");
        simulation.run(secs(9));
        assert_eq!(
            simulation.started_tasks, started,
            "gone {destinations_gone}: tasks were stopped without a destination"
        );
        assert_eq!(tasks_per_machine(&simulation, &[1, 2, 3]).values().sum::<usize>(), 64);
    }
}

#[test]
fn copies_of_starts_run_no_task_that_was_moved() {
    let mut simulation = skewed_fleet(4, 8, rebalancing_policy());
    let mut history = TaskHistory::default();
    for _ in 0..16 {
        history.run(&mut simulation, &[1, 2, 3], secs(4));
        simulation.deliver_recorded_starts();
    }
    assert!(history.move_counts().0 > 20 && simulation.order_copies > 0, "{:?}", history.move_counts());
    check_recovery(&mut simulation, &mut history);
    assert_eq!(simulation.starts_by_copies, 0);
}
