//! What stories of load spreading share: the deployment, skewed fleets, and where tasks ran.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::{BalanceSettings, Facts, Policy, Team};
use rushyoke_testkit::{Simulation, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// What the keys of open moves begin with, as they stand in the state service.
pub const MOVES: &str = "balance/moves/";

pub fn spreading() -> Policy {
    // So much is kept ready that nothing is returned for want of work.
    Policy {
        balance: Some(BalanceSettings::default()),
        headroom_machines: 1000.0,
        service_reserve: 0.0,
        ..Policy::default()
    }
}

pub fn deployment() -> Facts {
    let team = || Team { cpus: 100.0, cpus_max: 400.0, gpus: 0.0, gpus_max: 0.0 };
    Facts { teams: BTreeMap::from([("red".into(), team()), ("blue".into(), team())]), ..facts(0, 3) }
}

/// A job whose tasks save their progress.
pub fn saving(id: u32, tasks: u32) -> JobSpec {
    JobSpec { checkpoint_interval_s: 10.0, save_s: 2.0, spot: false, estimate_s: 300.0, ..job(id, tasks) }
}

/// Where each task ran, one machine after the other.
#[derive(Default)]
pub struct Paths {
    pub of: BTreeMap<String, Vec<String>>,
}

impl Paths {
    pub fn run(&mut self, simulation: &mut Simulation, jobs: &[u32], time: Duration) {
        let end = simulation.now + time;
        while simulation.now < end {
            simulation.run(millis(200));
            let fullest = loads(simulation, jobs).into_iter().max_by_key(|(_, tasks)| *tasks).expect("a machine");
            assert!(fullest.1 <= 16, "at {:?} a machine of 16 CPUs is overfull: {fullest:?}", simulation.now);
            for (task, machine) in jobs.iter().flat_map(|id| simulation.running_tasks(&job_id(*id))) {
                let path = self.of.entry(task).or_default();
                if path.last() != Some(&machine) {
                    path.push(machine);
                }
            }
        }
    }

    /// How often any task changed its machine, and the most that one did.
    pub fn moves(&self) -> (usize, usize) {
        let moves = self.of.values().map(|path| path.len() - 1);
        (moves.clone().sum(), moves.max().unwrap_or(0))
    }
}

/// Tasks that run on each machine that is up.
pub fn loads(simulation: &Simulation, jobs: &[u32]) -> BTreeMap<String, usize> {
    let mut loads: BTreeMap<String, usize> = simulation.workers.keys().map(|name| (name.clone(), 0)).collect();
    for (_, machine) in jobs.iter().flat_map(|id| simulation.running_tasks(&job_id(*id))) {
        *loads.entry(machine).or_default() += 1;
    }
    loads
}

/// Jain's index of the machines' loads.
pub fn jain(simulation: &Simulation, jobs: &[u32]) -> f64 {
    let loads: Vec<f64> = loads(simulation, jobs).into_values().map(|n| n as f64).collect();
    let (sum, squares) = loads.iter().fold((0.0, 0.0), |(s, q), n| (s + n, q + n * n));
    sum * sum / (loads.len() as f64 * squares)
}

/// Some machines full of two jobs' tasks and a service, and as many again, idle, that come up a
/// little later: work has crowded where there was room.
pub fn skewed(full: usize, idle: usize, policy: Policy) -> Simulation {
    let mut simulation = Simulation::with_facts(deployment(), full, policy, &ZONES);
    simulation.task_duration_s = 300.0;
    simulation.boot_time = secs(2);
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    simulation.cloud.capacity = full as u32;
    simulation.run(secs(6));
    assert_eq!(simulation.submit(0, service(1, 4)), Some(201));
    simulation.run(secs(3));
    let room = full as u32 * 16 - 4;
    assert_eq!(simulation.submit(1, saving(2, room / 2)), Some(201));
    assert_eq!(simulation.submit(2, JobSpec { team: "blue".into(), ..saving(3, room - room / 2) }), Some(201));
    // Held back for a while at the most, so that some room stays free.
    simulation.run(secs(28));
    assert_eq!(loads(&simulation, &[1, 2, 3]).values().sum::<usize>(), full * 16);
    for n in 0..idle {
        simulation.cloud.add_machine(simulation.now, ZONES[n % 3], false);
    }
    simulation.cloud.capacity = (full + idle) as u32;
    while simulation.workers.len() < full + idle {
        simulation.run(millis(50));
    }
    simulation
}

/// Lets time pass until so many moves are open in the records; their number.
pub fn until_moves_open(simulation: &mut Simulation, least: usize) -> usize {
    for _ in 0..600 {
        simulation.run(millis(20));
        let open = open_moves(simulation).len();
        if open >= least {
            return open;
        }
    }
    panic!("no moves begin");
}

/// Job, task, source and destination of the moves that are open in the records.
pub fn open_moves(simulation: &Simulation) -> Vec<(String, u64, String, String)> {
    let text = |value: &serde_json::Value| value.as_str().expect("a name").to_owned();
    let values = simulation.store.rows.iter().filter(|(key, _)| key.starts_with(MOVES)).map(|(_, row)| &row.0);
    let moves = values.flat_map(|value| value["moves"].as_array().expect("a list"));
    moves.map(|m| (text(&m["j"]), m["t"].as_u64().expect("a number"), text(&m["f"]), text(&m["d"]))).collect()
}

/// Whether a booking was ever durable.
pub fn booked_ever(simulation: &Simulation) -> bool {
    simulation.store.rows.keys().any(|key| key.starts_with(MOVES))
}

/// Whether each task of a job runs or has ended.
pub fn is_whole(simulation: &Simulation, id: u32) -> bool {
    let job = job_id(id);
    simulation.running_tasks(&job).len() as u32 + simulation.checker.finished_tasks(&job)
        == simulation.specs[&job].tasks
}

/// Troubles are over: all runs that is wanted, but for what is on its way just then.
pub fn ends_well(simulation: &mut Simulation, paths: &mut Paths) {
    simulation.clear_faults();
    paths.run(simulation, &[1, 2, 3], secs(60));
    for id in [1, 2, 3] {
        let until = simulation.now + secs(10);
        while simulation.job_state(0, &job_id(id)) == Some(JobStatus::Running) && !is_whole(simulation, id) {
            assert!(simulation.now < until, "{id}: {} tasks run", simulation.running_tasks(&job_id(id)).len());
            simulation.run(millis(200));
        }
    }
    simulation.check_recovered();
}

/// A skewed world in which moves are under way, with tasks that take a while to save; the machines
/// that they leave and go to.
pub fn in_mid_move(policy: Policy) -> (Simulation, Paths, BTreeSet<String>, BTreeSet<String>) {
    let mut simulation = skewed(4, 8, policy);
    let mut paths = Paths::default();
    paths.run(&mut simulation, &[1, 2, 3], millis(200));
    until_moves_open(&mut simulation, 2);
    let open = open_moves(&simulation);
    let from = open.iter().map(|(_, _, from, _)| from.clone()).collect();
    let to = open.iter().map(|(_, _, _, to)| to.clone()).collect();
    (simulation, paths, from, to)
}
