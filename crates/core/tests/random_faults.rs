//! Drawn mixes of troubles, for the pairs that nobody named. The seeds are fixed; to run others by
//! hand: `MIX_SEEDS=100..400 cargo test --release -p rushyoke-core --test random_faults`.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rushyoke_core::Policy;
use rushyoke_testkit::{Simulation, job, secs, service};
use rushyoke_wire::job::{JobStatus, Kind};

const SEEDS: std::ops::Range<u64> = 1..13;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("MIX_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("MIX_SEEDS is like 100..400");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Draws one trouble and brings it about.
fn trouble(simulation: &mut Simulation, rng: &mut StdRng) {
    let machines: Vec<String> = simulation.workers.keys().cloned().collect();
    let drawn = rng.random_range(0..=machines.len());
    let machine = machines.get(drawn).cloned().unwrap_or_default();
    let node = rng.random_range(0..3);
    let leader = simulation.leader().unwrap_or(node);
    let until = simulation.now + secs(rng.random_range(2..22));
    match rng.random_range(0..23) {
        0 => drop(simulation.workers.remove(&machine)),
        1 => drop(simulation.partitioned_machines.insert(machine)),
        2 => drop(simulation.lost_inbound.insert(machine)),
        3 => drop(simulation.duplicated_reports_after.insert(machine, secs(rng.random_range(1..26)))),
        4 => drop(simulation.delayed_orders_until.insert(machine, until)),
        5 => drop(simulation.timed_out_txns_until.insert(node, until)),
        6 if simulation.workers.contains_key(&machine) => simulation.restart_worker(&machine),
        7 => drop(simulation.partitioned_from_workers.insert(node)),
        8 => {
            simulation.partitioned_from_store.insert(node);
            simulation.partitioned_from_peers.insert(node);
        }
        9 => simulation.cloud.outage = true,
        10 => simulation.store.outage = true,
        11 => simulation.delayed_relay_responses_until = Some(until),
        12 => drop(simulation.processor_load.insert(node, (0.9, Duration::from_millis(50 * rng.random_range(0..9))))),
        13 => drop(simulation.lost_reports.insert(machine)),
        14 => drop(simulation.frozen_until.insert(machine, until)),
        15 => drop(simulation.hung_watches.insert(leader)),
        16 => drop(simulation.lost_txn_responses.insert(node)),
        17 => simulation.replay_reports_after = Some(Duration::from_millis(rng.random_range(0..4000))),
        18 => drop(
            simulation
                .delayed_responses_until
                .insert(node, simulation.now + Duration::from_millis(rng.random_range(200..1400))),
        ),
        19 => drop(simulation.partitioned_from_store.insert(leader)),
        20 => simulation.delayed_lists_until = Some((["live/", "log/"][rng.random_range(0..2)], until)),
        21 => drop(simulation.delayed_reports_until.insert(machine, until)),
        _ => {}
    }
}

/// Users ask at all nodes, and repeat what they submitted.
fn close_looks(simulation: &mut Simulation, rng: &mut StdRng, most: u32) {
    for _ in 0..4 {
        let id = rng.random_range(1..=most);
        (0..3).for_each(|node| simulation.send_status_request(node, &format!("wk-{id:06}")));
        if let Some(spec) = simulation.specs.get(&format!("wk-{id:06}")).cloned() {
            simulation.send_submission(rng.random_range(0..3), spec);
        }
    }
}

/// Whether a job, or one that it needs directly or through others, is one of these.
fn needs_one_of(simulation: &Simulation, id: &str, ids: &[u32]) -> bool {
    let listed = ids.iter().any(|listed| format!("wk-{listed:06}") == id);
    listed || simulation.specs[id].dependencies.iter().any(|dep| needs_one_of(simulation, dep, ids))
}

fn mix(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::with_policy(5, Policy::default(), &["a", "b"]);
    simulation.cloud.capacity = 8;
    simulation.run(secs(6));
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
                spec.dependencies.extend(dep.filter(|dep| simulation.specs[dep].kind == Kind::Array));
            }
            if matches!(simulation.submit(rng.random_range(0..3), spec), Some(200 | 201)) {
                submitted.push((id, tasks));
            }
        }
        trouble(&mut simulation, &mut rng);
        // A process falls, and is back in a moment, often amid an election.
        let node = rng.random_range(0..3);
        let falls = if rng.random_range(0..2) == 0 { simulation.leader().unwrap_or(node) } else { node };
        if rng.random_range(0..3) > 0 {
            simulation.crash_node(falls);
            simulation.run(Duration::from_millis(rng.random_range(50..2550)));
            simulation.start_node(falls);
        }
        close_looks(&mut simulation, &mut rng, id);
        simulation.run(secs(rng.random_range(1..4)));
        if rng.random_range(0..2) == 0 {
            trouble(&mut simulation, &mut rng);
        }
        simulation.run(secs(rng.random_range(1..12)));
        if round % 3 == 2 || rng.random_range(0..4) == 0 {
            if let Some((id, _)) = submitted.get(rng.random_range(0..=submitted.len())).copied() {
                // Without an answer it may have been carried out all the same.
                simulation.cancel(rng.random_range(0..3), &format!("wk-{id:06}"));
                cancelled.push(id);
            }
            close_looks(&mut simulation, &mut rng, id);
        }
        if round % 3 == 2 {
            simulation.clear_faults();
        }
    }
    simulation.clear_faults();
    simulation.check_recovered();
    for (id, tasks) in submitted {
        let id_name = format!("wk-{id:06}");
        for node in 0..3 {
            let (status, view) = simulation.status(node, &id_name).expect("an answer");
            assert_eq!(status, 200, "seed {seed}: {id_name} at node {node}");
            let state = view.map(|v| v.state).expect("a state");
            let running = simulation.running_tasks(&id_name).len() as u32;
            let fine = match state {
                JobStatus::Done => running == 0,
                JobStatus::Cancelled => running == 0 && needs_one_of(&simulation, &id_name, &cancelled),
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
