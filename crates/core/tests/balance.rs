//! Stories of load spreading: bursts that even out, and failures in the midst of moves. The world
//! checks the users' rules at every step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::{BalanceSettings, Facts, Policy, Team};
use rushyoke_testkit::{World, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// The key of open moves, as it stands in the state service.
const MOVES: &str = "balance/moves";

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
    JobSpec { checkpoint_s: 10.0, save_s: 0.5, spot: false, estimate_s: 300.0, ..job(id, tasks) }
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
    let Some((value, ..)) = world.store.rows.get(MOVES) else { return Vec::new() };
    let text = |value: &serde_json::Value| value.as_str().expect("a name").to_owned();
    let moves = value["moves"].as_array().expect("a list").iter();
    moves.map(|m| (text(&m["j"]), m["t"].as_u64().expect("a number"), text(&m["f"]), text(&m["d"]))).collect()
}

/// Troubles are over: all runs, each task once, and no task was moved twice.
fn ends_well(world: &mut World, paths: &mut Paths) {
    world.calm();
    paths.run(world, &[1, 2, 3], secs(60));
    for id in [1, 2, 3] {
        let open = world.state(0, &job_id(id)) == Some(JobStatus::Running);
        let running = world.where_runs(&job_id(id)).len() as u32;
        assert!(!open || running + world.rules.finished(&job_id(id)) == world.specs[&job_id(id)].tasks, "{id}");
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
    assert!(!world.store.rows.contains_key(MOVES));
}

#[test]
fn the_leader_ends_in_each_state_of_a_move_and_versions_take_turns() {
    // The next leader has load spreading switched off, as the version in production, which does not
    // know of it; the one after has it on again.
    for (moment, old_between) in [(0, false), (60, true), (150, false), (400, true), (700, false), (1200, true)] {
        let mut world = skewed(4, 8, spreading());
        let mut paths = Paths::default();
        paths.run(&mut world, &[1, 2, 3], millis(200));
        until_moves_open(&mut world, 3);
        paths.run(&mut world, &[1, 2, 3], millis(moment));
        let leader = world.leader().expect("a leader");
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
            world.policy_of.clear();
            world.start_node(leader);
            paths.run(&mut world, &[1, 2, 3], secs(1));
            world.crash(next);
            world.crash((leader + 3 - (next + leader) % 3) % 3);
            paths.run(&mut world, &[1, 2, 3], secs(8));
            assert!(world.leader().is_some(), "no leader");
            (0..3).filter(|node| *node != leader).for_each(|node| world.start_node(node));
        } else {
            world.start_node(leader);
        }
        paths.run(&mut world, &[1, 2, 3], secs(60));
        assert!(paths.moves().1 <= 1, "at {moment} ms: a task was moved twice");
        assert!(jain(&world, &[1, 2, 3]) > 0.85, "at {moment} ms: {:?}", loads(&world, &[1, 2, 3]));
        ends_well(&mut world, &mut paths);
    }
}
