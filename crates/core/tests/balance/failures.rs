//! Failures in the midst of moves.

use std::collections::BTreeSet;

use rushyoke_core::Policy;
use rushyoke_testkit::{World, job_id, millis, secs, service};
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
        let mut world = skewed(4, 8, spreading());
        let mut paths = Paths::default();
        paths.run(&mut world, &[1, 2, 3], millis(200));
        until_moves_open(&mut world, 3);
        paths.run(&mut world, &[1, 2, 3], millis(moment));
        let leader = world.leader().expect("a leader");
        let open = open_moves(&world);
        if old_between {
            for node in 0..3 {
                world.policy_of.insert(node, Policy { balance: None, ..spreading() });
            }
            // The others run the old version from before.
            for other in [(leader + 1) % 3, (leader + 2) % 3] {
                world.crash(other);
                world.start_node(other);
            }
            paths.run(&mut world, &[1, 2, 3], millis(300));
        }
        world.crash(leader);
        paths.run(&mut world, &[1, 2, 3], secs(8));
        let next = world.leader().expect("another leader");
        assert_ne!(next, leader);
        if old_between {
            let stale = open_moves(&world);
            paths.run(&mut world, &[1, 2, 3], secs(10));
            assert_eq!(open_moves(&world), stale, "the old version writes what it does not know");
            // All that start from now on know of moves again; the old version's leader ends last.
            world.policy_of.clear();
            world.start_node(leader);
            let third = 3 - next - leader;
            world.crash(third);
            world.start_node(third);
            paths.run(&mut world, &[1, 2, 3], secs(1));
            world.crash(next);
            paths.run(&mut world, &[1, 2, 3], secs(8));
            assert!(world.leader().is_some(), "no leader");
            world.start_node(next);
        } else {
            world.start_node(leader);
            let runs: BTreeSet<(String, String)> =
                [2, 3].iter().flat_map(|id| world.where_runs(&job_id(*id))).collect();
            for (job, task, from, to) in open {
                let is_on = |machine: String| runs.contains(&(format!("{job}/{task}"), machine));
                left += usize::from(!is_on(from));
                finished += usize::from(is_on(to));
            }
        }
        paths.run(&mut world, &[1, 2, 3], secs(60));
        assert!(paths.moves().1 <= 1, "at {moment} ms: a task was moved twice");
        assert!(jain(&world, &[1, 2, 3]) > 0.85, "at {moment} ms: {:?}", loads(&world, &[1, 2, 3]));
        ends_well(&mut world, &mut paths);
    }
    assert!(left > 3 && finished == left, "{left} tasks were stopped, {finished} of them moved");
}

#[test]
fn destinations_die_get_notice_or_fall_silent_in_each_state_of_a_move() {
    for moment in [0, 200, 500, 900, 1500] {
        for trouble in ["dies", "notice", "hangs", "deaf", "is cut off"] {
            let (mut world, mut paths, _, to) = in_mid_move(spreading());
            paths.run(&mut world, &[1, 2, 3], millis(moment));
            let now = world.now;
            for machine in &to {
                match trouble {
                    "dies" => drop(world.workers.remove(machine)),
                    "notice" => world.workers.get_mut(machine).expect("up").notice_s = Some(20.0),
                    "hangs" => drop(world.hang.insert(machine.clone(), now + secs(9))),
                    "deaf" => drop(world.deaf.insert(machine.clone())),
                    _ => drop(world.cut.insert(machine.clone())),
                }
            }
            paths.run(&mut world, &[1, 2, 3], secs(30));
            world.workers.values_mut().for_each(|worker| worker.notice_s = None);
            ends_well(&mut world, &mut paths);
            let even = jain(&world, &[1, 2, 3]);
            assert!(even > 0.8, "{trouble} at {moment} ms: {even}, {:?}", loads(&world, &[1, 2, 3]));
        }
    }
}

#[test]
fn sources_are_cut_off_while_they_save_and_late_stops_run_when_they_are_back() {
    for moment in [0, 200, 500, 900] {
        let (mut world, mut paths, from, _) = in_mid_move(spreading());
        // Direct orders are held back: they arrive when the machines are back.
        let back = world.now + millis(moment) + secs(18);
        world.hold_orders.extend(from.iter().map(|machine| (machine.clone(), back)));
        paths.run(&mut world, &[1, 2, 3], millis(moment));
        world.cut.extend(from.iter().cloned());
        paths.run(&mut world, &[1, 2, 3], secs(18));
        world.cut.clear();
        world.hold_orders.clear();
        paths.run(&mut world, &[1, 2, 3], secs(20));
        ends_well(&mut world, &mut paths);
    }
}

#[test]
fn a_zone_with_a_part_of_the_open_moves_is_lost() {
    for zone in ZONES {
        let mut world = skewed(12, 24, spreading());
        let mut paths = Paths::default();
        paths.run(&mut world, &[1, 2, 3], millis(200));
        let open = until_moves_open(&mut world, 4);
        let lost: Vec<String> = world.workers.values().filter(|w| w.zone == zone).map(|w| w.name.clone()).collect();
        let touched =
            open_moves(&world).iter().filter(|(_, _, from, to)| lost.contains(from) || lost.contains(to)).count();
        assert!(touched * 10 >= open, "{touched} of {open} moves are touched");
        world.cut.extend(lost);
        // Once the machines are seen to be silent no move begins until it is known what they are.
        paths.run(&mut world, &[1, 2, 3], secs(7));
        let known: BTreeSet<_> = open_moves(&world).into_iter().collect();
        paths.run(&mut world, &[1, 2, 3], secs(4));
        let new = open_moves(&world).into_iter().filter(|open| !known.contains(open)).count();
        assert_eq!(new, 0, "moves begin while a third of the machines is silent");
        paths.run(&mut world, &[1, 2, 3], secs(29));
        world.cut.clear();
        paths.run(&mut world, &[1, 2, 3], secs(30));
        ends_well(&mut world, &mut paths);
    }
}

#[test]
fn jobs_are_cancelled_in_each_state_of_their_moves() {
    for moment in [0, 100, 200, 350, 500, 700, 900, 1300] {
        let (mut world, mut paths, _, _) = in_mid_move(spreading());
        paths.run(&mut world, &[1, 2, 3], millis(moment));
        for id in [2, 3] {
            let told = world.cancel(id as usize % 3, &job_id(id)).and_then(|(_, view)| view);
            assert_eq!(told.map(|view| view.state), Some(JobStatus::Cancelled));
        }
        world.run(secs(31));
        assert!(world.where_runs(&job_id(2)).is_empty() && world.where_runs(&job_id(3)).is_empty());
        assert!(open_moves(&world).is_empty(), "at {moment} ms: moves of cancelled jobs stay open");
        ends_well(&mut world, &mut paths);
        // No room stays booked: what is there can be filled.
        let tasks = 12 * 16 - 4;
        assert_eq!(world.submit(0, JobSpec { team: "blue".into(), ..saving(4, tasks) }), Some(201));
        world.run(secs(40));
        assert_eq!(world.where_runs(&job_id(4)).len() as u32, tasks, "at {moment} ms: room stays booked");
    }
}

#[test]
fn the_state_service_is_silent_or_refuses_the_leader_in_mid_move() {
    for moment in [0, 200, 600] {
        for (alone, down_s) in [(false, 5), (false, 35), (true, 5), (true, 20)] {
            let (mut world, mut paths, _, _) = in_mid_move(spreading());
            paths.run(&mut world, &[1, 2, 3], millis(moment));
            let leader = world.leader().expect("a leader");
            if alone {
                world.no_store.insert(leader);
            } else {
                world.store.outage = true;
            }
            paths.run(&mut world, &[1, 2, 3], secs(down_s));
            world.calm();
            paths.run(&mut world, &[1, 2, 3], secs(50));
            ends_well(&mut world, &mut paths);
            let even = jain(&world, &[1, 2, 3]);
            assert!(even > 0.8, "alone {alone}, {down_s} s at {moment} ms: {:?}", loads(&world, &[1, 2, 3]));
        }
    }
}

#[test]
fn transactions_of_moves_are_applied_late_or_their_answers_are_lost() {
    for lost in [false, true] {
        let (mut world, mut paths, _, _) = in_mid_move(spreading());
        let leader = world.leader().expect("a leader");
        for _ in 0..6 {
            if lost {
                world.lose_answers.insert(leader);
            } else {
                let until = world.now + secs(3);
                world.hold_txns.insert(leader, until);
            }
            paths.run(&mut world, &[1, 2, 3], millis(1200));
            world.lose_answers.clear();
            world.hold_txns.clear();
            paths.run(&mut world, &[1, 2, 3], secs(3));
        }
        assert!(world.unanswered + world.late_commits > 0 || !lost, "nothing was lost");
        paths.run(&mut world, &[1, 2, 3], secs(50));
        assert!(paths.moves().1 <= 1, "a task was moved twice");
        ends_well(&mut world, &mut paths);
    }
}

#[test]
fn a_spot_wave_takes_sources_and_destinations() {
    let mut world = World::deployed(deployment(), 2, spreading(), &ZONES);
    world.task_s = 300.0;
    world.boot = secs(2);
    world.workers.values_mut().for_each(|worker| worker.run_s = 300.0);
    for n in 0..4 {
        world.cloud.add(world.now, ZONES[n % 3], true);
    }
    world.cloud.capacity = 6;
    world.run(secs(8));
    assert_eq!(world.submit(0, service(1, 4)), Some(201));
    world.run(secs(3));
    for (id, team) in [(2, "red"), (3, "blue")] {
        let spec = JobSpec { spot: true, team: team.into(), ..saving(id, 40) };
        assert_eq!(world.submit(1, spec), Some(201));
    }
    world.run(secs(28));
    for n in 0..8 {
        world.cloud.add(world.now, ZONES[n % 3], true);
    }
    world.cloud.capacity = 20;
    let mut paths = Paths::default();
    until_moves_open(&mut world, 2);
    // Half of the spot machines go without notice, the others with one.
    let spot: Vec<String> = world.workers.values().filter(|w| w.spot).map(|w| w.name.clone()).collect();
    for (n, name) in spot.iter().enumerate() {
        if n % 2 == 0 {
            world.workers.remove(name);
        } else {
            world.workers.get_mut(name).expect("up").notice_s = Some(8.0);
        }
    }
    paths.run(&mut world, &[1, 2, 3], secs(8));
    for name in spot.iter().skip(1).step_by(2) {
        world.workers.remove(name);
        world.cloud.machines.remove(name);
    }
    paths.run(&mut world, &[1, 2, 3], secs(60));
    assert_eq!(loads(&world, &[1, 2, 3]).values().sum::<usize>(), 84, "not all runs again");
    ends_well(&mut world, &mut paths);
}

#[test]
fn a_destination_that_turns_unfit_before_the_booking_is_durable_ends_the_move_before_the_stop() {
    for gone in [false, true] {
        let mut world = skewed(4, 8, spreading());
        let leader = world.leader().expect("a leader");
        let until = world.now + secs(5);
        world.slow_txns.insert(leader, until);
        let started = world.started;
        world.run(millis(2500));
        assert!(!booked_ever(&world), "a booking is durable");
        let idle: Vec<String> =
            loads(&world, &[1, 2, 3]).into_iter().filter(|(_, n)| *n == 0).map(|(name, _)| name).collect();
        assert_eq!(idle.len(), 8);
        for machine in &idle {
            if gone {
                world.workers.remove(machine);
                world.cloud.machines.remove(machine);
            } else {
                world.workers.get_mut(machine).expect("up").notice_s = Some(25.0);
            }
        }
        world.run(secs(3));
        assert!(booked_ever(&world), "no move was booked");
        world.run(secs(9));
        assert_eq!(world.started, started, "gone {gone}: tasks were stopped with nowhere to go");
        assert_eq!(loads(&world, &[1, 2, 3]).values().sum::<usize>(), 64);
    }
}
