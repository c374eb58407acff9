//! Simulates a large fleet and prints the processing time of the core's inputs, by node and kind of
//! input. It shows which inputs are worth profiling by function.
//!
//!     cargo run --release -p rushyoke-testkit --example profile -- [SECONDS] [LOAD] [MACHINES]

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_core::{Facts, Objective, Policy, Team};
use rushyoke_testkit::{Simulation, facts, job, service};
use rushyoke_wire::job::{JobSpec, Priority};

/// A small random number generator with a fixed seed, so that every run is the same.
struct Random(u64);

impl Random {
    /// Returns a random number below `n`.
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

/// Returns the platform facts of a deployment with ten teams.
fn deployment(machines: f64) -> Facts {
    let team = Team { cpus: machines, cpus_max: machines * 2.4, gpus: 0.0, gpus_max: 0.0 };
    Facts {
        teams: (0..10).map(|n| (format!("team-{n}"), team.clone())).collect::<BTreeMap<_, _>>(),
        objectives: vec![Objective {
            measure: "guarantee".into(),
            class: None,
            time_limit: Some(Duration::from_secs(10)),
        }],
        report_interval: Duration::from_millis(1500),
        worker_lease: Duration::from_secs(10),
        cancel_limit: Duration::from_secs(40),
        cloud_list_lag: Duration::from_secs(5),
        ..facts(0, 3)
    }
}

/// Returns a random job: a service, an array with a deadline or a best-effort array.
fn random_job(random: &mut Random, id: u32) -> JobSpec {
    let team = format!("team-{}", random.below(10));
    let image = format!("img-{}", random.below(12));
    match random.below(34) {
        0..5 => {
            let tasks = [2, 5, 6, 16][random.below(4) as usize];
            JobSpec { team, image, cpus: 2.0, memory_gb: 4.3, spread: true, ..service(id, tasks) }
        }
        5..22 => {
            let tasks = 20 + random.below(100) as u32;
            JobSpec { team, image, memory_gb: 2.8, estimate_s: 40.0, deadline_s: Some(90.0), ..job(id, tasks) }
        }
        _ => JobSpec {
            team,
            image,
            cpus: 2.0,
            memory_gb: 6.7,
            estimate_s: 60.0,
            checkpoint_interval_s: 30.0,
            save_s: 5.0,
            priority: Priority::BestEffort,
            ..job(id, 20 + random.below(80) as u32)
        },
    }
}

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse::<f64>().ok());
    let (seconds, load) = (args.next().unwrap_or(120.0) as u64, args.next().unwrap_or(1.0));
    let machines = args.next().unwrap_or(337.0);
    let mut simulation = Simulation::with_facts(deployment(machines), 0, Policy::default(), &["a", "b", "c"]);
    simulation.cloud.capacity = machines as u32;
    simulation.task_duration_s = 45.0;
    simulation.run(Duration::from_secs(5));
    let mut random = Random(7);
    let (mut id, mut due_jobs) = (0, 60.0);
    for _ in 0..seconds {
        due_jobs += load * 34.0 / 60.0;
        while due_jobs >= 1.0 {
            due_jobs -= 1.0;
            id += 1;
            let spec = random_job(&mut random, id);
            simulation.submit(id as usize % 3, spec);
        }
        for _ in 0..8 {
            let queried_job = format!("wk-{:06}", random.below(u64::from(id.max(1))) + 1);
            simulation.status(random.below(3) as usize, &queried_job);
        }
        simulation.run(Duration::from_secs(1));
    }
    let simulated_s = simulation.now.as_secs_f64();
    println!("{} jobs, {} machines, {} tasks started", id, simulation.workers.len(), simulation.started_tasks);
    println!("{:.1} writes per second", simulation.store.writes as f64 / simulated_s);
    for ((node, kind), (count, time_spent)) in &simulation.input_costs {
        let ms_per_second = time_spent.as_secs_f64() / simulated_s * 1000.0;
        println!(
            "node {node} {kind:>14}: {:8.1} per second, {ms_per_second:7.3} ms per second",
            *count as f64 / simulated_s
        );
    }
}
