//! Scenario tests of random combinations of faults, for pairs that no other scenario covers. The seeds are fixed; to
//! run others: `MIX_SEEDS=100..400 cargo test --release -p rushyoke-core --test random_faults`.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rushyoke_core::Policy;
use rushyoke_testkit::{Simulation, job, secs, service};
use rushyoke_wire::job::{JobStatus, Kind};

const DEFAULT_SEEDS: std::ops::Range<u64> = 1..13;
/// Seed of a worker that expires its lease and restarts, so that it is in the session of an earlier call again.
const REPEATED_SESSION_SEED: u64 = 31689;
/// Seed of a start that is held up while its worker restarts, and arrives just before its lease counts as expired.
const LATE_START_SEED: u64 = 122_934;
/// Combined with a run's seed for the random numbers of its late copies.
const COPY_SEED: u64 = 1 << 40;

/// Returns the seeds in the environment variable `MIX_SEEDS`, or the default ones.
fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("MIX_SEEDS") else { return DEFAULT_SEEDS };
    let (from, to) = text.split_once("..").expect("MIX_SEEDS is a range such as 100..400");
    from.parse().expect("MIX_SEEDS has numbers")..to.parse().expect("MIX_SEEDS has numbers")
}

/// Draws a fault and injects it.
fn inject_random_fault(simulation: &mut Simulation, rng: &mut StdRng) {
    let machines: Vec<String> = simulation.workers.keys().cloned().collect();
    let index = rng.random_range(0..=machines.len());
    let machine = machines.get(index).cloned().unwrap_or_default();
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
        22 => drop(simulation.store_response_delay.insert(node, Duration::from_millis(rng.random_range(200..1450)))),
        _ => {}
    }
}

/// Queries random jobs at all nodes, and submits them again.
fn query_and_resubmit(simulation: &mut Simulation, rng: &mut StdRng, last_job: u32) {
    for _ in 0..4 {
        let number = rng.random_range(1..=last_job);
        (0..3).for_each(|node| simulation.send_status_request(node, &format!("wk-{number:06}")));
        if let Some(spec) = simulation.specs.get(&format!("wk-{number:06}")).cloned() {
            simulation.send_submission(rng.random_range(0..3), spec);
        }
    }
}

/// Whether a job or one of its direct or indirect dependencies is among these.
fn is_or_depends_on(simulation: &Simulation, id: &str, numbers: &[u32]) -> bool {
    let is_listed = numbers.iter().any(|listed| format!("wk-{listed:06}") == id);
    is_listed
        || simulation.specs[id].dependencies.iter().any(|dependency| is_or_depends_on(simulation, dependency, numbers))
}

/// Runs nine rounds of submissions, random faults and cancellations, and checks how every job ends.
fn run_scenario(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut copy_rng = StdRng::seed_from_u64(seed ^ COPY_SEED);
    let mut simulation = Simulation::with_policy(5, Policy::default(), &["a", "b"]);
    simulation.cloud.capacity = 8;
    simulation.run(secs(6));
    let mut submitted: Vec<(u32, u32)> = Vec::new();
    let mut number = 0;
    let mut cancelled: Vec<u32> = Vec::new();
    for round in 0..9 {
        simulation.draw_order_copies(&mut copy_rng);
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
                spec.dependencies
                    .extend(dependency.filter(|dependency| simulation.specs[dependency].kind == Kind::Array));
            }
            if matches!(simulation.submit(rng.random_range(0..3), spec), Some(200 | 201)) {
                submitted.push((number, tasks));
            }
        }
        inject_random_fault(&mut simulation, &mut rng);
        // A controller crashes and restarts soon, often during an election.
        let node = rng.random_range(0..3);
        let crashed = if rng.random_range(0..2) == 0 { simulation.leader().unwrap_or(node) } else { node };
        if rng.random_range(0..3) > 0 {
            simulation.restart_node(crashed, Duration::from_millis(rng.random_range(50..2550)));
        }
        query_and_resubmit(&mut simulation, &mut rng, number);
        simulation.run(secs(rng.random_range(1..4)));
        if rng.random_range(0..2) == 0 {
            inject_random_fault(&mut simulation, &mut rng);
        }
        simulation.run(secs(rng.random_range(1..12)));
        if round % 3 == 2 || rng.random_range(0..4) == 0 {
            if let Some((number, _)) = submitted.get(rng.random_range(0..=submitted.len())).copied() {
                // Without a response, the cancellation may still have been carried out.
                simulation.cancel(rng.random_range(0..3), &format!("wk-{number:06}"));
                cancelled.push(number);
            }
            query_and_resubmit(&mut simulation, &mut rng, number);
        }
        if round % 3 == 2 {
            simulation.clear_faults();
        }
    }
    simulation.clear_faults();
    simulation.check_recovered();
    for (number, tasks) in submitted {
        let id = format!("wk-{number:06}");
        for node in 0..3 {
            let (status, view) = simulation.status(node, &id).expect("a response");
            assert_eq!(status, 200, "seed {seed}: {id} at node {node}");
            let state = view.map(|view| view.state).expect("a state");
            let running = simulation.running_tasks(&id).len() as u32;
            let is_consistent = match state {
                JobStatus::Done => running == 0,
                JobStatus::Cancelled => running == 0 && is_or_depends_on(&simulation, &id, &cancelled),
                _ => running == tasks.min(4),
            };
            assert!(is_consistent, "seed {seed}: {id} is {state:?} with {running} of {tasks} running");
        }
    }
}

#[test]
fn a_copy_of_a_call_to_an_earlier_session_starts_nothing_after_a_restart() {
    run_scenario(REPEATED_SESSION_SEED);
}

#[test]
fn a_start_that_was_held_up_runs_no_task_twice_on_a_worker_that_restarted_meanwhile() {
    run_scenario(LATE_START_SEED);
}

#[test]
fn random_faults_break_no_rule_and_lose_no_job() {
    for seed in seeds() {
        println!("seed {seed}");
        run_scenario(seed);
    }
}
