//! What stories of zones share: a fleet at work in three zones, cuts, and who began what when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::{Facts, FailoverSettings, Policy, Team};
use rushyoke_testkit::{Simulation, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Kind, Priority};

pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// The key under which the verdicts stand in the state service.
pub const RECORD: &str = "failover/zones";

pub fn with(settings: FailoverSettings) -> Policy {
    // Nothing is returned for want of work, nor spot machines rented ahead of need.
    let quiet = Policy { headroom_machines: 0.0, headroom_share: 0.0, idle_timeout: secs(3600), ..Policy::default() };
    Policy { failover: Some(settings), service_reserve: 0.0, ..quiet }
}

pub fn on() -> Policy {
    with(FailoverSettings::default())
}

pub fn off() -> Policy {
    Policy { failover: None, ..on() }
}

pub fn deployment() -> Facts {
    let team = || Team { cpus: 400.0, cpus_max: 800.0, gpus: 0.0, gpus_max: 0.0 };
    let controller_zones = (0..3).map(|node| (format!("node-{node}"), ZONES[node].to_owned())).collect();
    Facts {
        teams: BTreeMap::from([("red".into(), team()), ("blue".into(), team())]),
        controller_zones,
        cloud_rps: 10.0,
        ..facts(0, 3)
    }
}

/// An array whose tasks run for long and may not use spot machines.
pub fn long(id: u32, tasks: u32, priority: Priority) -> JobSpec {
    JobSpec { priority, spot: false, estimate_s: 300.0, ..job(id, tasks) }
}

/// Machines that are up in three zones, a third in each, whose tasks run for long; the cloud has no more.
pub fn fleet(machines: usize, policy: Policy) -> Simulation {
    deployed(deployment(), machines, policy)
}

fn deployed(facts: Facts, machines: usize, policy: Policy) -> Simulation {
    let mut simulation = Simulation::with_facts(facts, machines, policy, &ZONES);
    simulation.task_duration_s = 300.0;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    // Workers report to the controller in their zone.
    for worker in simulation.workers.values_mut() {
        worker.node = ZONES.iter().position(|zone| *zone == worker.zone).expect("a zone");
    }
    simulation.cloud.capacity = machines as u32;
    simulation.run(secs(6));
    simulation
}

/// The same with work on two thirds of it: services 1 and 2, array 3 of high priority, array 4 of none.
pub fn at_work(machines: usize, policy: Policy) -> Simulation {
    busy(fleet(machines, policy))
}

/// The same with leases that outlive the loss of two controllers, each of which a worker tries for 5 s.
pub fn at_work_with_long_leases(machines: usize, policy: Policy) -> Simulation {
    busy(deployed(Facts { worker_lease: secs(18), cancel_limit: secs(40), ..deployment() }, machines, policy))
}

fn busy(mut simulation: Simulation) -> Simulation {
    let machines = simulation.workers.len();
    let cpus = machines as u32 * 16;
    assert_eq!(simulation.submit(0, service(1, cpus / 12)), Some(201));
    assert_eq!(simulation.submit(1, JobSpec { spread: true, ..service(2, cpus / 12) }), Some(201));
    simulation.run(secs(2));
    assert_eq!(simulation.submit(2, long(3, cpus / 4, Priority::High)), Some(201));
    assert_eq!(
        simulation.submit(0, JobSpec { team: "blue".into(), ..long(4, cpus / 4, Priority::BestEffort) }),
        Some(201)
    );
    simulation.run(secs(6));
    assert_eq!(running(&simulation), cpus as usize / 12 * 2 + cpus as usize / 4 * 2);
    simulation
}

pub fn count(simulation: &Simulation, id: u32) -> usize {
    simulation.running_tasks(&job_id(id)).len()
}

/// Tasks of jobs 1 to 4 that run.
pub fn running(simulation: &Simulation) -> usize {
    (1..5).map(|id| count(simulation, id)).sum()
}

pub fn machines_in(simulation: &Simulation, zone: &str) -> Vec<String> {
    simulation.workers.values().filter(|worker| worker.zone == zone).map(|worker| worker.name.clone()).collect()
}

/// Cuts a zone off from everything, its controller with it.
pub fn cut(simulation: &mut Simulation, zone: usize) {
    simulation.partitioned_machines.extend(machines_in(simulation, ZONES[zone]));
    simulation.partitioned_from_store.insert(zone);
    simulation.partitioned_from_peers.insert(zone);
    simulation.partitioned_from_workers.insert(zone);
}

/// Ends all cuts.
pub fn restore(simulation: &mut Simulation) {
    simulation.partitioned_machines.clear();
    simulation.partitioned_from_store.clear();
    simulation.partitioned_from_peers.clear();
    simulation.partitioned_from_workers.clear();
}

/// A zone in which no controller leads.
pub fn zone_without_leader(simulation: &Simulation) -> usize {
    (simulation.leader().expect("a leader") + 1) % 3
}

/// What the record says of a zone: its state and its episode.
pub fn recorded(simulation: &Simulation, zone: usize) -> Option<(String, u64)> {
    let zones = simulation.store.rows.get(RECORD)?.0["zones"].as_array().expect("a list");
    let entry = zones.iter().find(|entry| entry["zone"] == ZONES[zone])?;
    Some((entry["state"].as_str().expect("a state").to_owned(), entry["episode"].as_u64().expect("a number")))
}

pub fn recorded_state(simulation: &Simulation, zone: usize) -> String {
    recorded(simulation, zone).map_or("healthy".into(), |(state, _)| state)
}

/// Lets time pass until a zone is recorded in a state; how long it took.
pub fn until_state(simulation: &mut Simulation, zone: usize, state: &str, limit: Duration) -> Duration {
    let from = simulation.now;
    while recorded_state(simulation, zone) != state {
        assert!(simulation.now < from + limit, "zone {zone} is {}, not {state}", recorded_state(simulation, zone));
        simulation.run(millis(100));
    }
    simulation.now - from
}

/// When each task began, each time.
#[derive(Default)]
pub struct Starts {
    runs: BTreeMap<String, String>,
    pub began: Vec<(Duration, String, String)>,
}

impl Starts {
    pub fn watch(&mut self, simulation: &mut Simulation, time: Duration) {
        let end = simulation.now + time;
        while simulation.now < end {
            simulation.run(millis(100).min(end - simulation.now));
            let jobs: Vec<String> = simulation.specs.keys().cloned().collect();
            let mut runs = BTreeMap::new();
            for (task, machine) in jobs.iter().flat_map(|job| simulation.running_tasks(job)) {
                if self.runs.get(&task) != Some(&machine) {
                    self.began.push((simulation.now, task.clone(), machine.clone()));
                }
                runs.insert(task, machine);
            }
            self.runs = runs;
        }
    }

    /// How often tasks of a job began.
    pub fn of(&self, id: u32) -> usize {
        let job = format!("{}/", job_id(id));
        self.began.iter().filter(|(_, task, _)| task.starts_with(&job)).count()
    }

    /// The first and the last time at which a task of a job began.
    pub fn span(&self, id: u32) -> Option<(Duration, Duration)> {
        let job = format!("{}/", job_id(id));
        let times = self.began.iter().filter(|(_, task, _)| task.starts_with(&job)).map(|(at, ..)| *at);
        Some((times.clone().min()?, times.max()?))
    }

    /// The most machines on which any one task of jobs began.
    pub fn most(&self, ids: &[u32]) -> usize {
        let mut machines: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        let of = |task: &str| ids.iter().any(|id| task.starts_with(&format!("{}/", job_id(*id))));
        for (_, task, machine) in self.began.iter().filter(|(_, task, _)| of(task)) {
            machines.entry(task).or_default().insert(machine);
        }
        machines.values().map(BTreeSet::len).max().unwrap_or(0)
    }
}

/// Watches from now on: what runs already is not counted as begun.
pub fn watching(simulation: &mut Simulation) -> Starts {
    let mut starts = Starts::default();
    starts.watch(simulation, millis(100));
    starts.began.clear();
    starts
}

/// Troubles are over: all that was accepted and is wanted runs or ends, all else is gone.
pub fn ends_well(simulation: &mut Simulation) {
    simulation.clear_faults();
    simulation.run(secs(30));
    simulation.check_recovered();
    for id in simulation.checker.accepted_jobs() {
        let state = simulation.job_state(0, &id);
        let there = simulation.running_tasks(&id).len() as u32;
        let spec = &simulation.specs[&id];
        match state {
            Some(JobStatus::Cancelled | JobStatus::Done) => assert_eq!(there, 0, "{id} is {state:?}"),
            _ if spec.kind == Kind::Service => assert_eq!(there, spec.tasks, "{id} is {state:?}"),
            _ => assert_eq!(there + simulation.checker.finished_tasks(&id), spec.tasks, "{id} is {state:?}"),
        }
    }
}
