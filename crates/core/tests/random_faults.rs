//! Random combinations of faults, for the pairs that no other scenario covers. The seeds are fixed; to run
//! others: `MIX_SEEDS=100..400 cargo test --release -p rushyoke-core --test random_faults`.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rushyoke_core::Policy;
use rushyoke_testkit::{World, job, secs, service};
use rushyoke_wire::job::{JobStatus, Kind};

const DEFAULT_SEEDS: std::ops::Range<u64> = 1..13;

/// Returns the seeds of `MIX_SEEDS`, or the default ones.
fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("MIX_SEEDS") else { return DEFAULT_SEEDS };
    let (from, to) = text.split_once("..").expect("MIX_SEEDS is a range such as 100..400");
    from.parse().expect("MIX_SEEDS has numbers")..to.parse().expect("MIX_SEEDS has numbers")
}

/// Draws a fault and injects it.
fn inject_random_fault(world: &mut World, rng: &mut StdRng) {
    let machines: Vec<String> = world.workers.keys().cloned().collect();
    let index = rng.random_range(0..=machines.len());
    let machine = machines.get(index).cloned().unwrap_or_default();
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

/// Users query jobs at all nodes, and submit them again.
fn query_and_resubmit(world: &mut World, rng: &mut StdRng, last_job: u32) {
    for _ in 0..4 {
        let number = rng.random_range(1..=last_job);
        (0..3).for_each(|node| world.ask_status(node, &format!("wk-{number:06}")));
        if let Some(spec) = world.specs.get(&format!("wk-{number:06}")).cloned() {
            world.ask_submit(rng.random_range(0..3), spec);
        }
    }
}

/// Whether a job, or one that it depends on directly or through others, is one of these.
fn is_or_depends_on(world: &World, id: &str, numbers: &[u32]) -> bool {
    let is_listed = numbers.iter().any(|listed| format!("wk-{listed:06}") == id);
    is_listed || world.specs[id].dependencies.iter().any(|dependency| is_or_depends_on(world, dependency, numbers))
}

/// Runs nine rounds of submissions, random faults and cancellations, and checks how every job ends.
fn run_scenario(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::with(5, Policy::default(), &["a", "b"]);
    world.cloud.capacity = 8;
    world.run(secs(6));
    let mut submitted: Vec<(u32, u32)> = Vec::new();
    let mut number = 0;
    let mut cancelled: Vec<u32> = Vec::new();
    for round in 0..9 {
        for _ in 0..2 {
            number += 1;
            let tasks = rng.random_range(1..=12);
            let mut spec = if rng.random_range(0..3) == 0 { service(number, tasks.min(4)) } else { job(number, tasks) };
            spec.team = ["red", "blue"][rng.random_range(0..2)].into();
            spec.spread = rng.random_range(0..3) == 0;
            // Some jobs depend on accepted arrays, whether these have ended or not.
            let dependency_count = if rng.random_range(0..3) == 0 { rng.random_range(1..4) } else { 0 };
            for _ in 0..dependency_count {
                let dependency = submitted
                    .get(rng.random_range(0..=submitted.len()))
                    .map(|(dependency, _)| format!("wk-{dependency:06}"));
                spec.dependencies.extend(dependency.filter(|dependency| world.specs[dependency].kind == Kind::Array));
            }
            if matches!(world.submit(rng.random_range(0..3), spec), Some(200 | 201)) {
                submitted.push((number, tasks));
            }
        }
        inject_random_fault(&mut world, &mut rng);
        // A controller crashes and restarts soon, often during an election.
        let node = rng.random_range(0..3);
        let crashed = if rng.random_range(0..2) == 0 { world.leader().unwrap_or(node) } else { node };
        if rng.random_range(0..3) > 0 {
            world.crash(crashed);
            world.run(Duration::from_millis(rng.random_range(50..2550)));
            world.start_node(crashed);
        }
        query_and_resubmit(&mut world, &mut rng, number);
        world.run(secs(rng.random_range(1..4)));
        if rng.random_range(0..2) == 0 {
            inject_random_fault(&mut world, &mut rng);
        }
        world.run(secs(rng.random_range(1..12)));
        if round % 3 == 2 || rng.random_range(0..4) == 0 {
            if let Some((number, _)) = submitted.get(rng.random_range(0..=submitted.len())).copied() {
                // Without a response, the cancellation may still have been carried out.
                world.cancel(rng.random_range(0..3), &format!("wk-{number:06}"));
                cancelled.push(number);
            }
            query_and_resubmit(&mut world, &mut rng, number);
        }
        if round % 3 == 2 {
            world.calm();
        }
    }
    world.calm();
    world.check_served();
    for (number, tasks) in submitted {
        let id = format!("wk-{number:06}");
        for node in 0..3 {
            let (status, view) = world.status(node, &id).expect("a response");
            assert_eq!(status, 200, "seed {seed}: {id} at node {node}");
            let state = view.map(|view| view.state).expect("a state");
            let running = world.where_runs(&id).len() as u32;
            let is_consistent = match state {
                JobStatus::Done => running == 0,
                JobStatus::Cancelled => running == 0 && is_or_depends_on(&world, &id, &cancelled),
                _ => running == tasks.min(4),
            };
            assert!(is_consistent, "seed {seed}: {id} is {state:?} with {running} of {tasks} running");
        }
    }
}

#[test]
fn random_faults_break_no_rule_and_lose_no_job() {
    for seed in seeds() {
        println!("seed {seed}");
        run_scenario(seed);
    }
}
