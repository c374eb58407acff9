//! Drawn mixes of troubles, for the pairs that nobody named. The seeds are fixed; to run others by
//! hand: `MIX_SEEDS=100..400 cargo test --release -p rushyoke-core --test random_faults`.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rushyoke_core::Policy;
use rushyoke_testkit::{World, job, secs, service};
use rushyoke_wire::job::{JobStatus, Kind};

const SEEDS: std::ops::Range<u64> = 1..13;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("MIX_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("MIX_SEEDS is like 100..400");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Draws one trouble and brings it about.
fn trouble(world: &mut World, rng: &mut StdRng) {
    let machines: Vec<String> = world.workers.keys().cloned().collect();
    let drawn = rng.random_range(0..=machines.len());
    let machine = machines.get(drawn).cloned().unwrap_or_default();
    let node = rng.random_range(0..3);
    let leader = world.leader().unwrap_or(node);
    let until = world.now + secs(rng.random_range(2..22));
    match rng.random_range(0..23) {
        0 => drop(world.workers.remove(&machine)),
        1 => drop(world.cut.insert(machine)),
        2 => drop(world.deaf.insert(machine)),
        3 => drop(world.copy_reports.insert(machine, secs(rng.random_range(1..26)))),
        4 => drop(world.hold_orders.insert(machine, until)),
        5 => drop(world.hold_txns.insert(node, until)),
        6 if world.workers.contains_key(&machine) => world.restart_worker(&machine),
        7 => drop(world.no_workers.insert(node)),
        8 => {
            world.no_store.insert(node);
            world.no_peers.insert(node);
        }
        9 => world.cloud.outage = true,
        10 => world.store.outage = true,
        11 => world.hold_relays = Some(until),
        12 => drop(world.busy.insert(node, (0.9, Duration::from_millis(50 * rng.random_range(0..9))))),
        13 => drop(world.mute.insert(machine)),
        14 => drop(world.hang.insert(machine, until)),
        15 => drop(world.hang_watches.insert(leader)),
        16 => drop(world.lose_answers.insert(node)),
        17 => world.keep_for_next = Some(Duration::from_millis(rng.random_range(0..4000))),
        18 => drop(world.hold_answers.insert(node, world.now + Duration::from_millis(rng.random_range(200..1400)))),
        19 => drop(world.no_store.insert(leader)),
        20 => world.hold_lists = Some((["live/", "log/"][rng.random_range(0..2)], until)),
        21 => drop(world.hold_reports.insert(machine, until)),
        _ => {}
    }
}

/// Users ask at all nodes, and repeat what they submitted.
fn close_looks(world: &mut World, rng: &mut StdRng, most: u32) {
    for _ in 0..4 {
        let id = rng.random_range(1..=most);
        (0..3).for_each(|node| world.ask_status(node, &format!("wk-{id:06}")));
        if let Some(spec) = world.specs.get(&format!("wk-{id:06}")).cloned() {
            world.ask_submit(rng.random_range(0..3), spec);
        }
    }
}

/// Whether a job, or one that it needs directly or through others, is one of these.
fn needs_one_of(world: &World, id: &str, ids: &[u32]) -> bool {
    let listed = ids.iter().any(|listed| format!("wk-{listed:06}") == id);
    listed || world.specs[id].dependencies.iter().any(|dep| needs_one_of(world, dep, ids))
}

fn mix(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::with(5, Policy::default(), &["a", "b"]);
    world.cloud.capacity = 8;
    world.run(secs(6));
    let mut submitted: Vec<(u32, u32)> = Vec::new();
    let mut id = 0;
    let mut cancelled: Vec<u32> = Vec::new();
    for round in 0..9 {
        for _ in 0..2 {
            id += 1;
            let tasks = rng.random_range(1..=12);
            let mut spec = if rng.random_range(0..3) == 0 { service(id, tasks.min(4)) } else { job(id, tasks) };
            spec.team = ["red", "blue"][rng.random_range(0..2)].into();
            spec.spread = rng.random_range(0..3) == 0;
            // Some await others that were accepted, be they over or not.
            let awaited = if rng.random_range(0..3) == 0 { rng.random_range(1..4) } else { 0 };
            for _ in 0..awaited {
                let dep = submitted.get(rng.random_range(0..=submitted.len())).map(|(dep, _)| format!("wk-{dep:06}"));
                spec.dependencies.extend(dep.filter(|dep| world.specs[dep].kind == Kind::Array));
            }
            if matches!(world.submit(rng.random_range(0..3), spec), Some(200 | 201)) {
                submitted.push((id, tasks));
            }
        }
        trouble(&mut world, &mut rng);
        // A process falls, and is back in a moment, often amid an election.
        let node = rng.random_range(0..3);
        let falls = if rng.random_range(0..2) == 0 { world.leader().unwrap_or(node) } else { node };
        if rng.random_range(0..3) > 0 {
            world.crash(falls);
            world.run(Duration::from_millis(rng.random_range(50..2550)));
            world.start_node(falls);
        }
        close_looks(&mut world, &mut rng, id);
        world.run(secs(rng.random_range(1..4)));
        if rng.random_range(0..2) == 0 {
            trouble(&mut world, &mut rng);
        }
        world.run(secs(rng.random_range(1..12)));
        if round % 3 == 2 || rng.random_range(0..4) == 0 {
            if let Some((id, _)) = submitted.get(rng.random_range(0..=submitted.len())).copied() {
                // Without an answer it may have been carried out all the same.
                world.cancel(rng.random_range(0..3), &format!("wk-{id:06}"));
                cancelled.push(id);
            }
            close_looks(&mut world, &mut rng, id);
        }
        if round % 3 == 2 {
            world.calm();
        }
    }
    world.calm();
    world.check_served();
    for (id, tasks) in submitted {
        let id_name = format!("wk-{id:06}");
        for node in 0..3 {
            let (status, view) = world.status(node, &id_name).expect("an answer");
            assert_eq!(status, 200, "seed {seed}: {id_name} at node {node}");
            let state = view.map(|v| v.state).expect("a state");
            let running = world.where_runs(&id_name).len() as u32;
            let fine = match state {
                JobStatus::Done => running == 0,
                JobStatus::Cancelled => running == 0 && needs_one_of(&world, &id_name, &cancelled),
                _ => running == tasks.min(4),
            };
            assert!(fine, "seed {seed}: {id_name} is {state:?} with {running} of {tasks} running");
        }
    }
}

#[test]
fn drawn_mixes_of_troubles_break_no_rule_and_forget_no_job() {
    for seed in seeds() {
        println!("seed {seed}");
        mix(seed);
    }
}
