//! Soak test: random combinations of cancellations with unreachable machines of each kind, outages and slow responses of
//! the state service, outages of the cloud, and a change of leader. The simulation checks the invariants that users rely on at
//! every step. CI runs the seeds in `CI_SEEDS`; start a long run by hand:
//! `SOAK_SEEDS=1000..3000 cargo test --release -p rushyoke-core --test soak`.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rushyoke_core::{BalanceSettings, Facts, FailoverSettings, Policy};
use rushyoke_testkit::{MachineFault, Simulation, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

/// Seeds that run unless `SOAK_SEEDS` is set.
const CI_SEEDS: Range<u64> = 301..421;
/// Combined with a run's seed for the random numbers of its late copies.
const COPY_SEED: u64 = 1 << 40;
const MACHINES: usize = 6;
const JOBS: u32 = 6;

/// Returns the seeds in the environment variable `SOAK_SEEDS`, or those for CI.
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return CI_SEEDS };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is a range like 1000..3000");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// A cancellation, a submission, a fault or a recovery in a soak run.
#[derive(Clone, Debug)]
enum SoakEvent {
    /// A machine becomes unreachable for a duration.
    MachineUnreachable {
        machine: String,
        kind: MachineFault,
        duration: Duration,
    },
    /// The machine becomes reachable again.
    MachineReachable {
        machine: String,
    },
    Cancel {
        job: u32,
        node: usize,
    },
    /// A user submits a production service, which may preempt other jobs.
    Submit {
        node: usize,
    },
    StoreOutage,
    CloudOutage,
    StoreRecovers,
    CloudRecovers,
    LeaderCrashes,
    /// The state service's responses to all nodes but the leader are delayed, by less than callers wait for them.
    SlowStoreResponses {
        delay: Duration,
    },
    FastStoreResponses,
    /// The leader loses the state service.
    LeaderWithoutStore,
    /// The leader loses the state service and the other nodes, but not the workers.
    LeaderWithoutStoreAndPeers,
}

/// Kinds of unreachability to draw from. Those that delay packets are listed more than once, because delayed messages
/// can interfere with newer ones.
const UNREACHABLE_KINDS: [MachineFault; 12] = [
    MachineFault::InterruptedWithOpenConnections,
    MachineFault::InterruptedWithoutConnections,
    MachineFault::InterruptedWithoutConnections,
    MachineFault::InterruptedWithoutConnections,
    MachineFault::InterruptedWithoutConnections,
    MachineFault::Partitioned,
    MachineFault::InboundLost,
    MachineFault::ReportsLost,
    MachineFault::Frozen,
    MachineFault::OrdersDelayed,
    MachineFault::ReportsDelayed,
    MachineFault::LinkPartitioned { node: 0 },
];

/// Returns the facts of deployments with different report intervals, worker leases and time limits for cancelled jobs.
fn facts_of_deployments() -> [Facts; 4] {
    let with_times = |report, lease, cancel| Facts {
        report_interval: secs(report),
        worker_lease: secs(lease),
        cancel_limit: secs(cancel),
        ..facts(0, 3)
    };
    [with_times(2, 12, 30), with_times(4, 28, 48), with_times(4, 10, 40), with_times(4, 28, 48)]
}

/// Returns a policy with failover, rebalancing or neither enabled.
fn policy_for_seed(seed: u64) -> Policy {
    match seed % 3 {
        0 => Policy::default(),
        1 => Policy { failover: Some(FailoverSettings::default()), ..Policy::default() },
        _ => Policy { balance: Some(BalanceSettings::default()), ..Policy::default() },
    }
}

/// Returns a random duration in a range, in steps of a tenth of a second.
fn random_duration(rng: &mut StdRng, from: Duration, to: Duration) -> Duration {
    millis(rng.random_range(from.as_millis() as u64 / 100..=to.as_millis() as u64 / 100) * 100)
}

/// Draws events and their times: cancellations close to the time at which machines become unreachable, outages and a
/// change of leader close to the time at which they become reachable again.
fn random_events(rng: &mut StdRng, simulation: &Simulation, facts: &Facts) -> Vec<(Duration, SoakEvent)> {
    let mut events = Vec::new();
    let lease = facts.worker_lease;
    let faults_from = secs(6);
    let kind = UNREACHABLE_KINDS[rng.random_range(0..UNREACHABLE_KINDS.len())];
    let mixed_kinds = rng.random_range(0..4) == 0;
    // In half of the runs machines are unreachable for nearly as long as a lease, which leaves just enough time to
    // renew it.
    let min_duration = if rng.random_range(0..2) == 0 { lease.mul_f64(0.7) } else { secs(1) };
    let duration = random_duration(rng, min_duration, lease);
    for machine in simulation.workers.keys() {
        if rng.random_range(0..3) == 0 {
            continue;
        }
        let kind = if mixed_kinds { UNREACHABLE_KINDS[rng.random_range(0..UNREACHABLE_KINDS.len())] } else { kind };
        let from = faults_from + random_duration(rng, secs(0), secs(1));
        let duration = duration + random_duration(rng, secs(0), secs(1));
        events.push((from, SoakEvent::MachineUnreachable { machine: machine.clone(), kind, duration }));
        events.push((from + duration, SoakEvent::MachineReachable { machine: machine.clone() }));
    }
    for job in 1..=JOBS {
        if rng.random_range(0..3) > 0 {
            let at = faults_from + random_duration(rng, secs(0), secs(2)).max(secs(1)) - secs(1);
            let at = if rng.random_range(0..4) == 0 { at + random_duration(rng, secs(0), duration) } else { at };
            events.push((at, SoakEvent::Cancel { job, node: rng.random_range(0..3) }));
        }
    }
    if rng.random_range(0..3) == 0 {
        events.push((
            faults_from + random_duration(rng, secs(0), duration),
            SoakEvent::Submit { node: rng.random_range(0..3) },
        ));
    }
    if rng.random_range(0..4) > 0 {
        // In half of the cases the leader must stop responding soon after the machines become reachable again.
        let response_window = facts.cancel_limit - lease - secs(2);
        let near_reachable =
            (faults_from + duration + random_duration(rng, secs(0), secs(6))).saturating_sub(response_window);
        let random_start = faults_from + random_duration(rng, secs(0), duration + secs(2));
        let from = if rng.random_range(0..2) == 0 { near_reachable.max(faults_from) } else { random_start };
        events.push((from, SoakEvent::StoreOutage));
        let min_duration = if rng.random_range(0..2) == 0 { facts.cancel_limit } else { secs(5) };
        events.push((from + random_duration(rng, min_duration, secs(60)), SoakEvent::StoreRecovers));
    }
    if rng.random_range(0..2) == 0 {
        events.push((faults_from + random_duration(rng, secs(0), secs(2)), SoakEvent::CloudOutage));
        events.push((faults_from + duration + random_duration(rng, secs(0), secs(20)), SoakEvent::CloudRecovers));
    }
    let leader_fault_at = faults_from + random_duration(rng, secs(0), duration + secs(2));
    match rng.random_range(0..8) {
        0 | 1 => events.push((leader_fault_at, SoakEvent::LeaderCrashes)),
        2 => events.push((leader_fault_at, SoakEvent::LeaderWithoutStore)),
        3 => events.push((leader_fault_at, SoakEvent::LeaderWithoutStoreAndPeers)),
        4 => {
            // The next leader learns late of its claim, if at all.
            let delay = millis(rng.random_range(300..1450));
            events.push((leader_fault_at, SoakEvent::SlowStoreResponses { delay }));
            events.push((leader_fault_at, SoakEvent::LeaderCrashes));
            events.push((leader_fault_at + random_duration(rng, secs(2), secs(12)), SoakEvent::FastStoreResponses));
        }
        _ => {}
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Applies an event to the simulation.
fn apply(simulation: &mut Simulation, event: SoakEvent) {
    let leader = simulation.leader().unwrap_or_default();
    match event {
        SoakEvent::MachineUnreachable { machine, kind: MachineFault::LinkPartitioned { .. }, duration } => {
            simulation.inject_fault(&machine, MachineFault::LinkPartitioned { node: leader }, duration);
        }
        SoakEvent::MachineUnreachable { machine, kind, duration } => simulation.inject_fault(&machine, kind, duration),
        SoakEvent::MachineReachable { machine } => simulation.clear_fault(&machine),
        SoakEvent::Cancel { job, node } => drop(simulation.cancel(node, &job_id(job))),
        SoakEvent::Submit { node } => {
            let production_service = JobSpec { cpus: 2.0, ..service(JOBS + 1, 12) };
            simulation.send_submission(node, production_service);
        }
        SoakEvent::StoreOutage => simulation.store.outage = true,
        SoakEvent::CloudOutage => simulation.cloud.outage = true,
        SoakEvent::StoreRecovers => {
            let now = simulation.now;
            simulation.store.end_outage(now);
        }
        SoakEvent::CloudRecovers => simulation.cloud.outage = false,
        SoakEvent::LeaderCrashes => simulation.crash_node(leader),
        SoakEvent::SlowStoreResponses { delay } => {
            simulation.store_response_delay = (0..3).filter(|node| *node != leader).map(|node| (node, delay)).collect();
        }
        SoakEvent::FastStoreResponses => simulation.store_response_delay.clear(),
        SoakEvent::LeaderWithoutStore => drop(simulation.partitioned_from_store.insert(leader)),
        SoakEvent::LeaderWithoutStoreAndPeers => {
            simulation.partitioned_from_store.insert(leader);
            simulation.partitioned_from_peers.insert(leader);
        }
    }
}

/// Runs the scenario of one seed, and checks that each job is stopped or runs at the end.
fn run_seed(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let facts = facts_of_deployments()[seed as usize % 4].clone();
    let mut simulation = Simulation::with_facts(facts.clone(), MACHINES, policy_for_seed(seed), &["a", "b"]);
    simulation.set_task_duration(200.0);
    simulation.run(secs(8));
    simulation.draw_order_copies(&mut StdRng::seed_from_u64(seed ^ COPY_SEED));
    for number in 1..=JOBS {
        let tasks = rng.random_range(2..=8);
        let save_interval_s = if rng.random_range(0..2) == 0 { 5.0 } else { 0.0 };
        let spec = if number % 2 == 0 { service(number, tasks.min(4)) } else { job(number, tasks) };
        simulation.submit(0, JobSpec { checkpoint_interval_s: save_interval_s, save_s: save_interval_s, ..spec });
    }
    simulation.run(secs(8));
    let start = simulation.now;
    for (at, event) in random_events(&mut rng, &simulation, &facts) {
        // An earlier event, such as a cancellation that waited for its response, may have run past this time.
        simulation.run((start + at).saturating_sub(simulation.now));
        apply(&mut simulation, event);
    }
    simulation.run(facts.cancel_limit + secs(5));
    for node in 0..3 {
        if !simulation.is_node_running(node) {
            simulation.start_node(node);
        }
    }
    simulation.clear_faults();
    simulation.run(secs(40));
    for number in 1..=JOBS {
        let id = job_id(number);
        let running = simulation.running_tasks(&id).len();
        match simulation.job_state(0, &id) {
            Some(JobStatus::Cancelled | JobStatus::Done) => assert_eq!(running, 0, "seed {seed}: {id} still runs"),
            Some(_) => assert!(running > 0, "seed {seed}: no task of {id} runs"),
            None => panic!("seed {seed}: no response about {id}"),
        }
    }
}

#[test]
fn random_cancellations_and_faults_violate_no_invariant() {
    for seed in seeds() {
        println!("seed {seed}");
        run_seed(seed);
    }
}
