//! Shared by the failover scenarios: fleets in three zones, partitions, and a log of task starts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::{Facts, FailoverSettings, Policy, Team};
use rushyoke_testkit::{Simulation, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Kind, Priority};

pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Key of the record of zone states in the state service.
pub const ZONES_KEY: &str = "failover/zones";

/// Returns a policy with these failover settings.
pub fn failover_policy(settings: FailoverSettings) -> Policy {
    // No machine is released because it is idle, and no spot machine is rented ahead of demand.
    let steady_fleet =
        Policy { headroom_machines: 0.0, headroom_share: 0.0, idle_timeout: secs(3600), ..Policy::default() };
    Policy { failover: Some(settings), service_reserve: 0.0, ..steady_fleet }
}

/// Returns a policy with failover enabled, with default settings.
pub fn failover_on() -> Policy {
    failover_policy(FailoverSettings::default())
}

/// Returns the same policy with failover disabled.
pub fn failover_off() -> Policy {
    Policy { failover: None, ..failover_on() }
}

/// Returns the facts of a deployment with two teams and one node in each zone.
pub fn deployment_facts() -> Facts {
    let team = || Team { cpus: 400.0, cpus_max: 800.0, gpus: 0.0, gpus_max: 0.0 };
    let controller_zones = (0..3).map(|node| (format!("node-{node}"), ZONES[node].to_owned())).collect();
    Facts {
        teams: BTreeMap::from([("red".into(), team()), ("blue".into(), team())]),
        controller_zones,
        cloud_rps: 10.0,
        ..facts(0, 3)
    }
}

/// Returns an array of long tasks that may not use spot machines.
pub fn long_job(id: u32, tasks: u32, priority: Priority) -> JobSpec {
    JobSpec { priority, spot: false, estimate_s: 300.0, ..job(id, tasks) }
}

/// Returns a simulation with machines in three zones, a third in each, on which tasks run for 300 s. The cloud has no
/// more machines.
pub fn fleet(machines: usize, policy: Policy) -> Simulation {
    fleet_of_deployment(deployment_facts(), machines, policy)
}

/// Like [`fleet`], with the given facts.
fn fleet_of_deployment(facts: Facts, machines: usize, policy: Policy) -> Simulation {
    let mut simulation = Simulation::with_facts(facts, machines, policy, &ZONES);
    simulation.set_task_duration(300.0);
    // Workers report to the controller in their zone.
    for worker in simulation.workers.values_mut() {
        worker.node = ZONES.iter().position(|zone| *zone == worker.zone).expect("a zone");
    }
    simulation.cloud.capacity = machines as u32;
    simulation.record_starts = true;
    simulation.run(secs(6));
    simulation
}

/// Like [`fleet`], with two thirds of the CPUs in use: by services 1 and 2, array 3 of high priority, and array 4 of
/// best-effort priority.
pub fn busy_fleet(machines: usize, policy: Policy) -> Simulation {
    add_load(fleet(machines, policy))
}

/// Like [`busy_fleet`], with leases that outlast the loss of two controllers: a worker tries each of them for 5 s.
pub fn busy_fleet_with_long_leases(machines: usize, policy: Policy) -> Simulation {
    add_load(fleet_of_deployment(
        Facts { worker_lease: secs(18), cancel_limit: secs(40), ..deployment_facts() },
        machines,
        policy,
    ))
}

/// Submits the jobs of [`busy_fleet`], and waits until they run.
fn add_load(mut simulation: Simulation) -> Simulation {
    let machines = simulation.workers.len();
    let cpus = machines as u32 * 16;
    assert_eq!(simulation.submit(0, service(1, cpus / 12)), Some(201));
    assert_eq!(simulation.submit(1, JobSpec { spread: true, ..service(2, cpus / 12) }), Some(201));
    simulation.run(secs(2));
    assert_eq!(simulation.submit(2, long_job(3, cpus / 4, Priority::High)), Some(201));
    assert_eq!(
        simulation.submit(0, JobSpec { team: "blue".into(), ..long_job(4, cpus / 4, Priority::BestEffort) }),
        Some(201)
    );
    simulation.run(secs(6));
    assert_eq!(total_running_tasks(&simulation), cpus as usize / 12 * 2 + cpus as usize / 4 * 2);
    simulation
}

/// Returns the number of running tasks of a job.
pub fn running_tasks_of(simulation: &Simulation, id: u32) -> usize {
    simulation.running_tasks(&job_id(id)).len()
}

/// Returns the number of running tasks of jobs 1 to 4.
pub fn total_running_tasks(simulation: &Simulation) -> usize {
    (1..5).map(|id| running_tasks_of(simulation, id)).sum()
}

/// Returns the machines that are up in a zone.
pub fn machines_in(simulation: &Simulation, zone: &str) -> Vec<String> {
    simulation.workers.values().filter(|worker| worker.zone == zone).map(|worker| worker.name.clone()).collect()
}

/// Partitions a zone, including its controller, from everything else.
pub fn partition_zone(simulation: &mut Simulation, zone: usize) {
    simulation.partitioned_machines.extend(machines_in(simulation, ZONES[zone]));
    simulation.partitioned_from_store.insert(zone);
    simulation.partitioned_from_peers.insert(zone);
    simulation.partitioned_from_workers.insert(zone);
}

/// Ends all partitions.
pub fn end_partitions(simulation: &mut Simulation) {
    simulation.partitioned_machines.clear();
    simulation.partitioned_from_store.clear();
    simulation.partitioned_from_peers.clear();
    simulation.partitioned_from_workers.clear();
}

/// Returns a zone whose controller is not the leader.
pub fn zone_without_leader(simulation: &Simulation) -> usize {
    (simulation.leader().expect("a leader") + 1) % 3
}

/// Returns the recorded state and episode of a zone, if it has a record.
pub fn zone_record(simulation: &Simulation, zone: usize) -> Option<(String, u64)> {
    let zones = simulation.store.rows.get(ZONES_KEY)?.0["zones"].as_array().expect("a list");
    let entry = zones.iter().find(|entry| entry["zone"] == ZONES[zone])?;
    Some((entry["state"].as_str().expect("a state").to_owned(), entry["episode"].as_u64().expect("a number")))
}

/// Returns the recorded state of a zone; a zone without a record is healthy.
pub fn zone_state(simulation: &Simulation, zone: usize) -> String {
    zone_record(simulation, zone).map_or("healthy".into(), |(state, _)| state)
}

/// Runs until a zone is recorded in a state, and returns how long that took; panics at the limit.
pub fn run_until_zone_state(simulation: &mut Simulation, zone: usize, state: &str, limit: Duration) -> Duration {
    let started_at = simulation.now;
    while zone_state(simulation, zone) != state {
        assert!(simulation.now < started_at + limit, "zone {zone} is {}, not {state}", zone_state(simulation, zone));
        simulation.run(millis(100));
    }
    simulation.now - started_at
}

/// Records every start of a task.
#[derive(Default)]
pub struct StartLog {
    /// Machine by running task.
    running: BTreeMap<String, String>,
    /// Time, task and machine of each start.
    pub starts: Vec<(Duration, String, String)>,
}

impl StartLog {
    /// Runs the simulation, and records the starts of tasks of all jobs.
    pub fn run(&mut self, simulation: &mut Simulation, time: Duration) {
        let end = simulation.now + time;
        while simulation.now < end {
            simulation.run(millis(100).min(end - simulation.now));
            let jobs: Vec<String> = simulation.specs.keys().cloned().collect();
            let mut running = BTreeMap::new();
            for (task, machine) in jobs.iter().flat_map(|job| simulation.running_tasks(job)) {
                if self.running.get(&task) != Some(&machine) {
                    self.starts.push((simulation.now, task.clone(), machine.clone()));
                }
                running.insert(task, machine);
            }
            self.running = running;
        }
    }

    /// Returns the number of starts of a job's tasks.
    pub fn count_of(&self, id: u32) -> usize {
        let job = format!("{}/", job_id(id));
        self.starts.iter().filter(|(_, task, _)| task.starts_with(&job)).count()
    }

    /// Returns the times of the first and the last start of a job's tasks.
    pub fn time_span_of(&self, id: u32) -> Option<(Duration, Duration)> {
        let job = format!("{}/", job_id(id));
        let times = self.starts.iter().filter(|(_, task, _)| task.starts_with(&job)).map(|(at, ..)| *at);
        Some((times.clone().min()?, times.max()?))
    }

    /// Returns the highest number of machines on which any one task of these jobs was started.
    pub fn max_machines_per_task(&self, ids: &[u32]) -> usize {
        let mut machines: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        let is_included = |task: &str| ids.iter().any(|id| task.starts_with(&format!("{}/", job_id(*id))));
        for (_, task, machine) in self.starts.iter().filter(|(_, task, _)| is_included(task)) {
            machines.entry(task).or_default().insert(machine);
        }
        machines.values().map(BTreeSet::len).max().unwrap_or(0)
    }
}

/// Returns a log of the starts from now on, without the tasks that run already.
pub fn start_log(simulation: &mut Simulation) -> StartLog {
    let mut log = StartLog::default();
    log.run(simulation, millis(100));
    log.starts.clear();
    log
}

/// Ends all faults, and asserts that all tasks of unfinished jobs run or have finished, and that no other tasks run.
pub fn check_recovery(simulation: &mut Simulation) {
    simulation.clear_faults();
    simulation.run(secs(30));
    simulation.check_recovered();
    for id in simulation.checker.accepted_jobs() {
        let state = simulation.job_state(0, &id);
        let running_tasks = simulation.running_tasks(&id).len() as u32;
        let spec = &simulation.specs[&id];
        match state {
            Some(JobStatus::Cancelled | JobStatus::Done) => assert_eq!(running_tasks, 0, "{id} is {state:?}"),
            _ if spec.kind == Kind::Service => assert_eq!(running_tasks, spec.tasks, "{id} is {state:?}"),
            _ => assert_eq!(running_tasks + simulation.checker.finished_tasks(&id), spec.tasks, "{id} is {state:?}"),
        }
    }
}
