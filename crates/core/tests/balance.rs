//! Stories of load spreading: bursts that even out, and failures in the midst of moves. The world
//! checks the users' rules at every step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::{BalanceSettings, Facts, Policy, Team};
use rushyoke_testkit::{World, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Priority};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// What the keys of open moves begin with, as they stand in the state service.
const MOVES: &str = "balance/moves/";

fn spreading() -> Policy {
    // So much is kept ready that nothing is returned for want of work.
    Policy {
        balance: Some(BalanceSettings::default()),
        headroom_machines: 1000.0,
        service_reserve: 0.0,
        ..Policy::default()
    }
}

fn deployment() -> Facts {
    let team = || Team { cpus: 100.0, cpus_max: 400.0, gpus: 0.0, gpus_max: 0.0 };
    Facts { teams: BTreeMap::from([("red".into(), team()), ("blue".into(), team())]), ..facts(0, 3) }
}

/// A job whose tasks save their progress.
fn saving(id: u32, tasks: u32) -> JobSpec {
    JobSpec { checkpoint_s: 10.0, save_s: 2.0, spot: false, estimate_s: 300.0, ..job(id, tasks) }
}

/// Where each task ran, one machine after the other.
#[derive(Default)]
struct Paths {
    of: BTreeMap<String, Vec<String>>,
}

impl Paths {
    fn run(&mut self, world: &mut World, jobs: &[u32], time: Duration) {
        let end = world.now + time;
        while world.now < end {
            world.run(millis(200));
            let fullest = loads(world, jobs).into_iter().max_by_key(|(_, tasks)| *tasks).expect("a machine");
            assert!(fullest.1 <= 16, "at {:?} a machine of 16 CPUs is overfull: {fullest:?}", world.now);
            for (task, machine) in jobs.iter().flat_map(|id| world.where_runs(&job_id(*id))) {
                let path = self.of.entry(task).or_default();
                if path.last() != Some(&machine) {
                    path.push(machine);
                }
            }
        }
    }

    /// How often any task changed its machine, and the most that one did.
    fn moves(&self) -> (usize, usize) {
        let moves = self.of.values().map(|path| path.len() - 1);
        (moves.clone().sum(), moves.max().unwrap_or(0))
    }
}

/// Tasks that run on each machine that is up.
fn loads(world: &World, jobs: &[u32]) -> BTreeMap<String, usize> {
    let mut loads: BTreeMap<String, usize> = world.workers.keys().map(|name| (name.clone(), 0)).collect();
    for (_, machine) in jobs.iter().flat_map(|id| world.where_runs(&job_id(*id))) {
        *loads.entry(machine).or_default() += 1;
    }
    loads
}

/// Jain's index of the machines' loads.
fn jain(world: &World, jobs: &[u32]) -> f64 {
    let loads: Vec<f64> = loads(world, jobs).into_values().map(|n| n as f64).collect();
    let (sum, squares) = loads.iter().fold((0.0, 0.0), |(s, q), n| (s + n, q + n * n));
    sum * sum / (loads.len() as f64 * squares)
}

/// Some machines full of two jobs' tasks and a service, and as many again, idle, that come up a
/// little later: work has crowded where there was room.
fn skewed(full: usize, idle: usize, policy: Policy) -> World {
    let mut world = World::deployed(deployment(), full, policy, &ZONES);
    world.task_s = 300.0;
    world.boot = secs(2);
    world.workers.values_mut().for_each(|worker| worker.run_s = 300.0);
    world.cloud.capacity = full as u32;
    world.run(secs(6));
    assert_eq!(world.submit(0, service(1, 4)), Some(201));
    world.run(secs(3));
    let room = full as u32 * 16 - 4;
    assert_eq!(world.submit(1, saving(2, room / 2)), Some(201));
    assert_eq!(world.submit(2, JobSpec { team: "blue".into(), ..saving(3, room - room / 2) }), Some(201));
    // Held back for a while at the most, so that some room stays free.
    world.run(secs(28));
    assert_eq!(loads(&world, &[1, 2, 3]).values().sum::<usize>(), full * 16);
    for n in 0..idle {
        world.cloud.add(world.now, ZONES[n % 3], false);
    }
    world.cloud.capacity = (full + idle) as u32;
    while world.workers.len() < full + idle {
        world.run(millis(50));
    }
    world
}

/// Lets time pass until so many moves are open in the records; their number.
fn until_moves_open(world: &mut World, least: usize) -> usize {
    for _ in 0..600 {
        world.run(millis(20));
        let open = open_moves(world).len();
        if open >= least {
            return open;
        }
    }
    panic!("no moves begin");
}

/// Job, task, source and destination of the moves that are open in the records.
fn open_moves(world: &World) -> Vec<(String, u64, String, String)> {
    let text = |value: &serde_json::Value| value.as_str().expect("a name").to_owned();
    let values = world.store.rows.iter().filter(|(key, _)| key.starts_with(MOVES)).map(|(_, row)| &row.0);
    let moves = values.flat_map(|value| value["moves"].as_array().expect("a list"));
    moves.map(|m| (text(&m["j"]), m["t"].as_u64().expect("a number"), text(&m["f"]), text(&m["d"]))).collect()
}

/// Whether a booking was ever durable.
fn booked_ever(world: &World) -> bool {
    world.store.rows.keys().any(|key| key.starts_with(MOVES))
}

/// Whether each task of a job runs or has ended.
fn is_whole(world: &World, id: u32) -> bool {
    let job = job_id(id);
    world.where_runs(&job).len() as u32 + world.rules.finished(&job) == world.specs[&job].tasks
}

/// Troubles are over: all runs that is wanted, but for what is on its way just then.
fn ends_well(world: &mut World, paths: &mut Paths) {
    world.calm();
    paths.run(world, &[1, 2, 3], secs(60));
    for id in [1, 2, 3] {
        let until = world.now + secs(10);
        while world.state(0, &job_id(id)) == Some(JobStatus::Running) && !is_whole(world, id) {
            assert!(world.now < until, "{id}: {} tasks run", world.where_runs(&job_id(id)).len());
            world.run(millis(200));
        }
    }
    world.check_served();
}

#[test]
fn a_burst_that_crowds_on_few_machines_is_even_within_a_minute() {
    let mut world = skewed(4, 12, spreading());
    let services: BTreeSet<_> = world.where_runs(&job_id(1)).into_iter().collect();
    let mut paths = Paths::default();
    let before = jain(&world, &[1, 2, 3]);
    paths.run(&mut world, &[1, 2, 3], secs(64));
    let (moves, most) = paths.moves();
    assert!(before < 0.3 && jain(&world, &[1, 2, 3]) > 0.9, "{before}, {:?}", loads(&world, &[1, 2, 3]));
    assert_eq!(most, 1, "a task was moved twice");
    assert!((40..=56).contains(&moves), "{moves} moves");
    assert_eq!(world.where_runs(&job_id(1)).into_iter().collect::<BTreeSet<_>>(), services, "a service was moved");
    // It comes to rest: no more moves.
    paths.run(&mut world, &[1, 2, 3], secs(60));
    assert!(paths.moves().0 <= moves + 2, "{} moves after {moves}", paths.moves().0);
    assert!(open_moves(&world).is_empty(), "moves stay open");
}

#[test]
fn nothing_moves_while_load_spreading_is_off() {
    let mut world = skewed(4, 12, Policy { balance: None, ..spreading() });
    let mut paths = Paths::default();
    paths.run(&mut world, &[1, 2, 3], secs(64));
    assert_eq!(paths.moves().0, 0);
    assert!(!booked_ever(&world));
}

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

/// A skewed world in which moves are under way, with tasks that take a while to save; the machines
/// that they leave and go to.
fn in_mid_move(policy: Policy) -> (World, Paths, BTreeSet<String>, BTreeSet<String>) {
    let mut world = skewed(4, 8, policy);
    let mut paths = Paths::default();
    paths.run(&mut world, &[1, 2, 3], millis(200));
    until_moves_open(&mut world, 2);
    let open = open_moves(&world);
    let from = open.iter().map(|(_, _, from, _)| from.clone()).collect();
    let to = open.iter().map(|(_, _, _, to)| to.clone()).collect();
    (world, paths, from, to)
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
fn two_bursts_in_turn_do_not_make_work_go_to_and_fro() {
    let mut world = skewed(4, 12, spreading());
    let mut paths = Paths::default();
    let jobs: Vec<u32> = (1..12).collect();
    // Each half minute a burst of the other team, while the one before ends.
    for id in 4..12 {
        let team = if id % 2 == 0 { "red" } else { "blue" };
        let spec = JobSpec { team: team.into(), ..saving(id, 40) };
        assert_eq!(world.submit(id as usize % 3, spec), Some(201));
        let before = paths.moves().0;
        paths.run(&mut world, &jobs, secs(30));
        if id >= 6 {
            let _ = world.cancel(0, &job_id(id - 2));
        }
        let budget = (16.0 * BalanceSettings::default().moves_per_machine / 2.0) as usize;
        assert!(paths.moves().0 - before <= budget + 4, "{} moves in half a minute", paths.moves().0 - before);
    }
    assert!(paths.moves().1 <= 1, "a task was moved twice");
    let tasks = paths.of.len();
    assert!(paths.moves().0 <= tasks, "{} moves of {tasks} tasks", paths.moves().0);
    ends_well(&mut world, &mut paths);
}

#[test]
fn a_burst_at_every_teams_limit_moves_within_the_limits() {
    // A task that is stopped counts until it is proven gone, so a move needs no room below the limit
    // but the task's own: the world checks that no team ever uses more.
    let team = || Team { cpus: 16.0, cpus_max: 31.0, gpus: 0.0, gpus_max: 0.0 };
    let teams = BTreeMap::from([("red".into(), team()), ("blue".into(), team())]);
    let mut world = World::deployed(Facts { teams, ..deployment() }, 4, spreading(), &ZONES);
    world.task_s = 300.0;
    world.boot = secs(2);
    world.workers.values_mut().for_each(|worker| worker.run_s = 300.0);
    world.cloud.capacity = 4;
    world.run(secs(6));
    for (id, team) in [(2, "red"), (3, "blue"), (4, "red"), (5, "blue")] {
        assert_eq!(world.submit(1, JobSpec { team: team.into(), ..saving(id, 31) }), Some(201));
    }
    world.run(secs(28));
    assert_eq!(loads(&world, &[2, 3, 4, 5]).values().sum::<usize>(), 62);
    (0..8).for_each(|n| drop(world.cloud.add(world.now, ZONES[n % 3], false)));
    world.cloud.capacity = 12;
    let mut paths = Paths::default();
    paths.run(&mut world, &[2, 3, 4, 5], secs(64));
    // What waits for the limit is no reason to leave the machines crowded.
    let even = jain(&world, &[2, 3, 4, 5]);
    assert!(even > 0.8 && paths.moves().1 == 1, "{even}, {:?}", loads(&world, &[2, 3, 4, 5]));
    assert_eq!(loads(&world, &[2, 3, 4, 5]).values().sum::<usize>(), 62, "room below the limit stays unused");
}

#[test]
fn one_teams_burst_leaves_room_for_another_that_comes() {
    let mut late = Vec::new();
    for policy in [spreading(), Policy { balance: None, ..spreading() }] {
        let mut facts = deployment();
        // What the other team wants is beyond its guarantee: no work is stopped for it.
        facts.teams.get_mut("blue").expect("a team").cpus = 1.0;
        let mut world = World::deployed(facts, 12, policy, &ZONES);
        world.task_s = 100.0;
        world.workers.values_mut().for_each(|worker| worker.run_s = 100.0);
        world.cloud.capacity = 12;
        world.run(secs(6));
        // Far more than there is room for, and a little later a few tasks of another team.
        assert_eq!(world.submit(0, JobSpec { estimate_s: 100.0, spot: false, ..job(2, 400) }), Some(201));
        world.run(secs(8));
        let blue = JobSpec { estimate_s: 100.0, spot: false, team: "blue".into(), ..job(3, 8) };
        assert_eq!(world.submit(1, blue), Some(201));
        let from = world.now;
        while world.where_runs(&job_id(3)).len() < 8 && world.now < from + secs(60) {
            world.run(millis(200));
        }
        late.push(world.now - from);
        // What was kept free is not kept for ever.
        world.run(secs(30));
        assert_eq!(loads(&world, &[2, 3]).values().sum::<usize>(), 192);
    }
    assert!(late[0] < secs(3) && late[1] > secs(30), "a team waits behind another's burst: {late:?}");
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

#[test]
fn a_destination_that_others_want_keeps_the_room_for_a_task_on_its_way() {
    // Tasks save for three seconds while a burst comes that could fill every machine.
    let mut world = World::deployed(deployment(), 2, spreading(), &ZONES);
    world.task_s = 300.0;
    world.boot = secs(2);
    world.workers.values_mut().for_each(|worker| worker.run_s = 300.0);
    world.cloud.capacity = 2;
    world.run(secs(6));
    for id in [2, 3] {
        assert_eq!(world.submit(0, JobSpec { save_s: 3.0, ..saving(id, 16) }), Some(201));
    }
    world.run(secs(28));
    world.cloud.add(world.now, "c", false);
    world.cloud.capacity = 3;
    until_moves_open(&mut world, 1);
    world.run(secs(1));
    let open = open_moves(&world);
    for (id, kind) in [(4, job(4, 40)), (5, service(5, 12))] {
        let spec = JobSpec { team: "blue".into(), spot: false, estimate_s: 300.0, ..kind };
        assert_eq!(world.submit(id as usize % 3, spec), Some(201));
    }
    assert!(!open.is_empty());
    Paths::default().run(&mut world, &[2, 3, 4, 5], secs(6));
    for (job, task, from, to) in open {
        let on = world.where_runs(&job).into_iter().find(|(name, _)| *name == format!("{job}/{task}"));
        assert_eq!(on.map(|(_, machine)| machine), Some(to), "{job}/{task} left {from} for nothing");
    }
}

#[test]
fn a_task_is_moved_once_however_often_there_is_more_room_and_another_leader() {
    let mut world = skewed(4, 4, spreading());
    let mut paths = Paths::default();
    paths.run(&mut world, &[1, 2, 3], secs(50));
    let first = paths.moves();
    assert!((20..=32).contains(&first.0) && first.1 == 1, "{first:?}");
    for round in 0..2 {
        let leader = world.leader().expect("a leader");
        world.crash(leader);
        paths.run(&mut world, &[1, 2, 3], secs(4));
        world.start_node(leader);
        (0..8).for_each(|n| drop(world.cloud.add(world.now, ZONES[n % 3], false)));
        world.cloud.capacity += 8;
        paths.run(&mut world, &[1, 2, 3], secs(60));
        assert_eq!(paths.moves().1, 1, "round {round}: a task was moved twice");
    }
    // Those that were not moved before take the new room.
    assert!(paths.moves().0 > first.0 + 8, "{:?} after {first:?}", paths.moves());
}

#[test]
fn services_production_and_protected_classes_stay_however_crowded_they_are() {
    let settings = BalanceSettings { protected: BTreeSet::from(["sheets".to_owned()]), ..BalanceSettings::default() };
    let mut world = World::deployed(deployment(), 4, Policy { balance: Some(settings), ..spreading() }, &ZONES);
    world.task_s = 300.0;
    world.boot = secs(2);
    world.workers.values_mut().for_each(|worker| worker.run_s = 300.0);
    world.cloud.capacity = 4;
    world.run(secs(6));
    // All of them save their progress, so that nothing but their kind keeps them where they are.
    let saves = |spec: JobSpec| JobSpec { checkpoint_s: 10.0, save_s: 0.5, spot: false, ..spec };
    let kept = [
        saves(JobSpec { estimate_s: 300.0, ..service(1, 8) }),
        saves(JobSpec { priority: Priority::Normal, estimate_s: 300.0, ..service(2, 8) }),
        JobSpec { priority: Priority::Production, ..saving(3, 16) },
        JobSpec { class: "sheets".into(), ..saving(4, 16) },
    ];
    for spec in kept {
        assert_eq!(world.submit(0, spec), Some(201));
        world.run(secs(1));
    }
    assert_eq!(world.submit(0, JobSpec { team: "blue".into(), ..saving(5, 16) }), Some(201));
    world.run(secs(28));
    assert_eq!(loads(&world, &[1, 2, 3, 4, 5]).values().sum::<usize>(), 64);
    (0..8).for_each(|n| drop(world.cloud.add(world.now, ZONES[n % 3], false)));
    world.cloud.capacity = 12;
    let mut paths = Paths::default();
    paths.run(&mut world, &[1, 2, 3, 4], secs(64));
    assert_eq!(paths.moves().0, 0, "{:?}", paths.of);
    let mut others = Paths::default();
    others.run(&mut world, &[5], secs(1));
    let idle = others.of.values().filter(|path| path[0].as_str() >= "n-000004").count();
    assert!(idle >= 8, "{idle} of the others were moved");
}
