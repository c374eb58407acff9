//! Shared by the rebalancing scenarios: the deployment, skewed fleets, and the machines on which tasks ran.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::{BalanceSettings, Facts, Policy, Team};
use rushyoke_testkit::{Simulation, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Prefix of the keys of open moves in the state service.
pub const MOVE_KEY_PREFIX: &str = "balance/moves/";

/// Returns a policy with rebalancing enabled.
pub fn rebalancing_policy() -> Policy {
    // With this headroom no machine is released because it is idle.
    Policy {
        balance: Some(BalanceSettings::default()),
        headroom_machines: 1000.0,
        service_reserve: 0.0,
        ..Policy::default()
    }
}

/// Returns the facts of a deployment with three nodes and two teams.
pub fn deployment_facts() -> Facts {
    let team = || Team { cpus: 100.0, cpus_max: 400.0, gpus: 0.0, gpus_max: 0.0 };
    Facts { teams: BTreeMap::from([("red".into(), team()), ("blue".into(), team())]), ..facts(0, 3) }
}

/// Returns an array whose tasks save checkpoints.
pub fn checkpointing_job(id: u32, tasks: u32) -> JobSpec {
    JobSpec { checkpoint_interval_s: 10.0, save_s: 2.0, spot: false, estimate_s: 300.0, ..job(id, tasks) }
}

/// The machines on which each task ran, in order.
#[derive(Default)]
pub struct TaskHistory {
    pub machines: BTreeMap<String, Vec<String>>,
}

impl TaskHistory {
    /// Runs the simulation and records the machines of these jobs' tasks; asserts that no machine is overcommitted.
    pub fn run(&mut self, simulation: &mut Simulation, jobs: &[u32], time: Duration) {
        let end = simulation.now + time;
        while simulation.now < end {
            simulation.run(millis(200));
            let fullest =
                tasks_per_machine(simulation, jobs).into_iter().max_by_key(|(_, tasks)| *tasks).expect("a machine");
            assert!(fullest.1 <= 16, "at {:?} a machine of 16 CPUs is overcommitted: {fullest:?}", simulation.now);
            for (task, machine) in jobs.iter().flat_map(|id| simulation.running_tasks(&job_id(*id))) {
                let machines = self.machines.entry(task).or_default();
                if machines.last() != Some(&machine) {
                    machines.push(machine);
                }
            }
        }
    }

    /// Returns the number of moves of all tasks, and the highest number of moves of one task.
    pub fn move_counts(&self) -> (usize, usize) {
        let moves = self.machines.values().map(|machines| machines.len() - 1);
        (moves.clone().sum(), moves.max().unwrap_or(0))
    }
}

/// Returns the number of running tasks on each machine that is up.
pub fn tasks_per_machine(simulation: &Simulation, jobs: &[u32]) -> BTreeMap<String, usize> {
    let mut loads: BTreeMap<String, usize> = simulation.workers.keys().map(|name| (name.clone(), 0)).collect();
    for (_, machine) in jobs.iter().flat_map(|id| simulation.running_tasks(&job_id(*id))) {
        *loads.entry(machine).or_default() += 1;
    }
    loads
}

/// Returns Jain's fairness index of the machines' loads.
pub fn fairness_index(simulation: &Simulation, jobs: &[u32]) -> f64 {
    let loads: Vec<f64> = tasks_per_machine(simulation, jobs).into_values().map(|n| n as f64).collect();
    let (sum, squares) = loads.iter().fold((0.0, 0.0), |(sum, squares), load| (sum + load, squares + load * load));
    sum * sum / (loads.len() as f64 * squares)
}

/// Returns a simulation with `full` machines that are filled by two jobs and a service, and `idle` machines that came
/// up afterwards.
pub fn skewed_fleet(full: usize, idle: usize, policy: Policy) -> Simulation {
    let mut simulation = Simulation::with_facts(deployment_facts(), full, policy, &ZONES);
    simulation.task_duration_s = 300.0;
    simulation.boot_time = secs(2);
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    simulation.cloud.capacity = full as u32;
    simulation.record_starts = true;
    simulation.run(secs(6));
    assert_eq!(simulation.submit(0, service(1, 4)), Some(201));
    simulation.run(secs(3));
    let free_cpus = full as u32 * 16 - 4;
    assert_eq!(simulation.submit(1, checkpointing_job(2, free_cpus / 2)), Some(201));
    assert_eq!(
        simulation.submit(2, JobSpec { team: "blue".into(), ..checkpointing_job(3, free_cpus - free_cpus / 2) }),
        Some(201)
    );
    // The scheduler holds some tasks back for a limited time, to keep resources free for others.
    simulation.run(secs(28));
    assert_eq!(tasks_per_machine(&simulation, &[1, 2, 3]).values().sum::<usize>(), full * 16);
    for n in 0..idle {
        simulation.cloud.add_machine(simulation.now, ZONES[n % 3], false);
    }
    simulation.cloud.capacity = (full + idle) as u32;
    while simulation.workers.len() < full + idle {
        simulation.run(millis(50));
    }
    simulation
}

/// Runs until at least `min_moves` moves are recorded as open, and returns the number of open moves.
pub fn run_until_moves_open(simulation: &mut Simulation, min_moves: usize) -> usize {
    for _ in 0..600 {
        simulation.run(millis(20));
        let open_count = open_moves(simulation).len();
        if open_count >= min_moves {
            return open_count;
        }
    }
    panic!("no moves are started");
}

/// Returns job, task, source and destination of each move that is recorded as open.
pub fn open_moves(simulation: &Simulation) -> Vec<(String, u64, String, String)> {
    let text = |value: &serde_json::Value| value.as_str().expect("a name").to_owned();
    let values =
        simulation.store.rows.iter().filter(|(key, _)| key.starts_with(MOVE_KEY_PREFIX)).map(|(_, row)| &row.0);
    let moves = values.flat_map(|value| value["moves"].as_array().expect("a list"));
    moves.map(|m| (text(&m["j"]), m["t"].as_u64().expect("a number"), text(&m["f"]), text(&m["d"]))).collect()
}

/// Whether a move was ever recorded.
pub fn any_move_recorded(simulation: &Simulation) -> bool {
    simulation.store.rows.keys().any(|key| key.starts_with(MOVE_KEY_PREFIX))
}

/// Whether every task of a job runs or has finished.
pub fn all_tasks_run_or_finished(simulation: &Simulation, id: u32) -> bool {
    let job = job_id(id);
    simulation.running_tasks(&job).len() as u32 + simulation.checker.finished_tasks(&job)
        == simulation.specs[&job].tasks
}

/// Ends all faults, and asserts that every task of the unfinished jobs 1 to 3 runs. A task that is being moved may take
/// up to 10 s to run again.
pub fn check_recovery(simulation: &mut Simulation, history: &mut TaskHistory) {
    simulation.clear_faults();
    history.run(simulation, &[1, 2, 3], secs(60));
    for id in [1, 2, 3] {
        let until = simulation.now + secs(10);
        while simulation.job_state(0, &job_id(id)) == Some(JobStatus::Running)
            && !all_tasks_run_or_finished(simulation, id)
        {
            assert!(simulation.now < until, "job {id}: only {} tasks run", simulation.running_tasks(&job_id(id)).len());
            simulation.run(millis(200));
        }
    }
    simulation.check_recovered();
}

/// Returns a [`skewed_fleet`] in which moves are open, with tasks that take a while to save; the history of its tasks;
/// and the sources and destinations of the moves.
pub fn fleet_with_open_moves(policy: Policy) -> (Simulation, TaskHistory, BTreeSet<String>, BTreeSet<String>) {
    let mut simulation = skewed_fleet(4, 8, policy);
    let mut history = TaskHistory::default();
    history.run(&mut simulation, &[1, 2, 3], millis(200));
    run_until_moves_open(&mut simulation, 2);
    let open = open_moves(&simulation);
    let sources = open.iter().map(|(_, _, source, _)| source.clone()).collect();
    let destinations = open.iter().map(|(_, _, _, destination)| destination.clone()).collect();
    (simulation, history, sources, destinations)
}
