//! Failures in the midst of moves.

use std::collections::BTreeSet;

use rushyoke_core::Policy;
use rushyoke_testkit::{Simulation, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

use crate::support::*;

#[test]
fn the_leader_ends_in_each_state_of_a_move_and_versions_take_turns() {
    // The next leader has load spreading switched off, as the version in production, which does not
    // know of it; the one after has it on again.
    let (mut left, mut finished) = (0, 0);
    for (moment, old_between) in
        [(0, false), (60, true), (300, false), (900, true), (1500, false), (2400, true), (3500, false)]
    {
        let mut simulation = skewed(4, 8, spreading());
        let mut paths = Paths::default();
        paths.run(&mut simulation, &[1, 2, 3], millis(200));
        until_moves_open(&mut simulation, 3);
        paths.run(&mut simulation, &[1, 2, 3], millis(moment));
        let leader = simulation.leader().expect("a leader");
        let open = open_moves(&simulation);
        if old_between {
            for node in 0..3 {
                simulation.policy_overrides.insert(node, Policy { balance: None, ..spreading() });
            }
            // The others run the old version from before.
            for other in [(leader + 1) % 3, (leader + 2) % 3] {
                simulation.crash_node(other);
                simulation.start_node(other);
            }
            paths.run(&mut simulation, &[1, 2, 3], millis(300));
        }
        simulation.crash_node(leader);
        paths.run(&mut simulation, &[1, 2, 3], secs(8));
        let next = simulation.leader().expect("another leader");
        assert_ne!(next, leader);
        if old_between {
            let stale = open_moves(&simulation);
            paths.run(&mut simulation, &[1, 2, 3], secs(10));
            assert_eq!(open_moves(&simulation), stale, "the old version writes what it does not know");
            // All that start from now on know of moves again; the old version's leader ends last.
            simulation.policy_overrides.clear();
            simulation.start_node(leader);
            let third = 3 - next - leader;
            simulation.crash_node(third);
            simulation.start_node(third);
            paths.run(&mut simulation, &[1, 2, 3], secs(1));
            simulation.crash_node(next);
            paths.run(&mut simulation, &[1, 2, 3], secs(8));
            assert!(simulation.leader().is_some(), "no leader");
            simulation.start_node(next);
        } else {
            simulation.start_node(leader);
            let runs: BTreeSet<(String, String)> =
                [2, 3].iter().flat_map(|id| simulation.running_tasks(&job_id(*id))).collect();
            for (job, task, from, to) in open {
                let is_on = |machine: String| runs.contains(&(format!("{job}/{task}"), machine));
                left += usize::from(!is_on(from));
                finished += usize::from(is_on(to));
            }
        }
        paths.run(&mut simulation, &[1, 2, 3], secs(60));
        assert!(paths.moves().1 <= 1, "at {moment} ms: a task was moved twice");
        assert!(jain(&simulation, &[1, 2, 3]) > 0.85, "at {moment} ms: {:?}", loads(&simulation, &[1, 2, 3]));
        ends_well(&mut simulation, &mut paths);
    }
    assert!(left > 3 && finished == left, "{left} tasks were stopped, {finished} of them moved");
}

#[test]
fn destinations_die_get_notice_or_fall_silent_in_each_state_of_a_move() {
    for moment in [0, 200, 500, 900, 1500] {
        for trouble in ["dies", "notice", "hangs", "deaf", "is cut off"] {
            let (mut simulation, mut paths, _, to) = in_mid_move(spreading());
            paths.run(&mut simulation, &[1, 2, 3], millis(moment));
            let now = simulation.now;
            for machine in &to {
                match trouble {
                    "dies" => drop(simulation.workers.remove(machine)),
                    "notice" => simulation.workers.get_mut(machine).expect("up").notice_s = Some(20.0),
                    "hangs" => drop(simulation.frozen_until.insert(machine.clone(), now + secs(9))),
                    "deaf" => drop(simulation.lost_inbound.insert(machine.clone())),
                    _ => drop(simulation.partitioned_machines.insert(machine.clone())),
                }
            }
            paths.run(&mut simulation, &[1, 2, 3], secs(30));
            simulation.workers.values_mut().for_each(|worker| worker.notice_s = None);
            ends_well(&mut simulation, &mut paths);
            let even = jain(&simulation, &[1, 2, 3]);
            assert!(even > 0.8, "{trouble} at {moment} ms: {even}, {:?}", loads(&simulation, &[1, 2, 3]));
        }
    }
}

#[test]
fn sources_are_cut_off_while_they_save_and_late_stops_run_when_they_are_back() {
    for moment in [0, 200, 500, 900] {
        let (mut simulation, mut paths, from, _) = in_mid_move(spreading());
        // Direct orders are held back: they arrive when the machines are back.
        let back = simulation.now + millis(moment) + secs(18);
        simulation.delayed_orders_until.extend(from.iter().map(|machine| (machine.clone(), back)));
        paths.run(&mut simulation, &[1, 2, 3], millis(moment));
        simulation.partitioned_machines.extend(from.iter().cloned());
        paths.run(&mut simulation, &[1, 2, 3], secs(18));
        simulation.partitioned_machines.clear();
        simulation.delayed_orders_until.clear();
        paths.run(&mut simulation, &[1, 2, 3], secs(20));
        ends_well(&mut simulation, &mut paths);
    }
}

#[test]
fn a_zone_with_a_part_of_the_open_moves_is_lost() {
    for zone in ZONES {
        let mut simulation = skewed(12, 24, spreading());
        let mut paths = Paths::default();
        paths.run(&mut simulation, &[1, 2, 3], millis(200));
        let open = until_moves_open(&mut simulation, 4);
        let lost: Vec<String> =
            simulation.workers.values().filter(|w| w.zone == zone).map(|w| w.name.clone()).collect();
        let touched =
            open_moves(&simulation).iter().filter(|(_, _, from, to)| lost.contains(from) || lost.contains(to)).count();
        assert!(touched * 10 >= open, "{touched} of {open} moves are touched");
        simulation.partitioned_machines.extend(lost);
        // Once the machines are seen to be silent no move begins until it is known what they are.
        paths.run(&mut simulation, &[1, 2, 3], secs(7));
        let known: BTreeSet<_> = open_moves(&simulation).into_iter().collect();
        paths.run(&mut simulation, &[1, 2, 3], secs(4));
        let new = open_moves(&simulation).into_iter().filter(|open| !known.contains(open)).count();
        assert_eq!(new, 0, "moves begin while a third of the machines is silent");
        paths.run(&mut simulation, &[1, 2, 3], secs(29));
        simulation.partitioned_machines.clear();
        paths.run(&mut simulation, &[1, 2, 3], secs(30));
        ends_well(&mut simulation, &mut paths);
    }
}

#[test]
fn jobs_are_cancelled_in_each_state_of_their_moves() {
    for moment in [0, 100, 200, 350, 500, 700, 900, 1300] {
        let (mut simulation, mut paths, _, _) = in_mid_move(spreading());
        paths.run(&mut simulation, &[1, 2, 3], millis(moment));
        for id in [2, 3] {
            let told = simulation.cancel(id as usize % 3, &job_id(id)).and_then(|(_, view)| view);
            assert_eq!(told.map(|view| view.state), Some(JobStatus::Cancelled));
        }
        simulation.run(secs(31));
        assert!(simulation.running_tasks(&job_id(2)).is_empty() && simulation.running_tasks(&job_id(3)).is_empty());
        assert!(open_moves(&simulation).is_empty(), "at {moment} ms: moves of cancelled jobs stay open");
        ends_well(&mut simulation, &mut paths);
        // No room stays booked: what is there can be filled.
        let tasks = 12 * 16 - 4;
        assert_eq!(simulation.submit(0, JobSpec { team: "blue".into(), ..saving(4, tasks) }), Some(201));
        simulation.run(secs(40));
        assert_eq!(simulation.running_tasks(&job_id(4)).len() as u32, tasks, "at {moment} ms: room stays booked");
    }
}

#[test]
fn the_state_service_is_silent_or_refuses_the_leader_in_mid_move() {
    for moment in [0, 200, 600] {
        for (alone, down_s) in [(false, 5), (false, 35), (true, 5), (true, 20)] {
            let (mut simulation, mut paths, _, _) = in_mid_move(spreading());
            paths.run(&mut simulation, &[1, 2, 3], millis(moment));
            let leader = simulation.leader().expect("a leader");
            if alone {
                simulation.partitioned_from_store.insert(leader);
            } else {
                simulation.store.outage = true;
            }
            paths.run(&mut simulation, &[1, 2, 3], secs(down_s));
            simulation.clear_faults();
            paths.run(&mut simulation, &[1, 2, 3], secs(50));
            ends_well(&mut simulation, &mut paths);
            let even = jain(&simulation, &[1, 2, 3]);
            assert!(even > 0.8, "alone {alone}, {down_s} s at {moment} ms: {:?}", loads(&simulation, &[1, 2, 3]));
        }
    }
}

#[test]
fn transactions_of_moves_are_applied_late_or_their_answers_are_lost() {
    for lost in [false, true] {
        let (mut simulation, mut paths, _, _) = in_mid_move(spreading());
        let leader = simulation.leader().expect("a leader");
        for _ in 0..6 {
            if lost {
                simulation.lost_txn_responses.insert(leader);
            } else {
                let until = simulation.now + secs(3);
                simulation.timed_out_txns_until.insert(leader, until);
            }
            paths.run(&mut simulation, &[1, 2, 3], millis(1200));
            simulation.lost_txn_responses.clear();
            simulation.timed_out_txns_until.clear();
            paths.run(&mut simulation, &[1, 2, 3], secs(3));
        }
        assert!(simulation.commits_without_response + simulation.late_commits > 0 || !lost, "nothing was lost");
        paths.run(&mut simulation, &[1, 2, 3], secs(50));
        assert!(paths.moves().1 <= 1, "a task was moved twice");
        ends_well(&mut simulation, &mut paths);
    }
}

#[test]
fn a_spot_wave_takes_sources_and_destinations() {
    let mut simulation = Simulation::with_facts(deployment(), 2, spreading(), &ZONES);
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
        let spec = JobSpec { spot: true, team: team.into(), ..saving(id, 40) };
        assert_eq!(simulation.submit(1, spec), Some(201));
    }
    simulation.run(secs(28));
    for n in 0..8 {
        simulation.cloud.add_machine(simulation.now, ZONES[n % 3], true);
    }
    simulation.cloud.capacity = 20;
    let mut paths = Paths::default();
    until_moves_open(&mut simulation, 2);
    // Half of the spot machines go without notice, the others with one.
    let spot: Vec<String> = simulation.workers.values().filter(|w| w.spot).map(|w| w.name.clone()).collect();
    for (n, name) in spot.iter().enumerate() {
        if n % 2 == 0 {
            simulation.workers.remove(name);
        } else {
            simulation.workers.get_mut(name).expect("up").notice_s = Some(8.0);
        }
    }
    paths.run(&mut simulation, &[1, 2, 3], secs(8));
    for name in spot.iter().skip(1).step_by(2) {
        simulation.workers.remove(name);
        simulation.cloud.machines.remove(name);
    }
    paths.run(&mut simulation, &[1, 2, 3], secs(60));
    assert_eq!(loads(&simulation, &[1, 2, 3]).values().sum::<usize>(), 84, "not all runs again");
    ends_well(&mut simulation, &mut paths);
}

#[test]
fn a_destination_that_turns_unfit_before_the_booking_is_durable_ends_the_move_before_the_stop() {
    for gone in [false, true] {
        let mut simulation = skewed(4, 8, spreading());
        let leader = simulation.leader().expect("a leader");
        let until = simulation.now + secs(5);
        simulation.slow_txns_until.insert(leader, until);
        let started = simulation.started_tasks;
        simulation.run(millis(2500));
        assert!(!booked_ever(&simulation), "a booking is durable");
        let idle: Vec<String> =
            loads(&simulation, &[1, 2, 3]).into_iter().filter(|(_, n)| *n == 0).map(|(name, _)| name).collect();
        assert_eq!(idle.len(), 8);
        for machine in &idle {
            if gone {
                simulation.workers.remove(machine);
                simulation.cloud.machines.remove(machine);
            } else {
                simulation.workers.get_mut(machine).expect("up").notice_s = Some(25.0);
            }
        }
        simulation.run(secs(3));
        assert!(booked_ever(&simulation), "no move was booked");
        simulation.run(secs(9));
        assert_eq!(simulation.started_tasks, started, "gone {gone}: tasks were stopped with nowhere to go");
        assert_eq!(loads(&simulation, &[1, 2, 3]).values().sum::<usize>(), 64);
    }
}
