//! Soak test: random combinations of cancellations with unreachable machines of each kind, outages of the state
//! service and the cloud, and a change of leader. The simulated world checks the invariants that users rely on
//! at every step. CI runs the seeds in `CI_SEEDS`; start a long run by hand:
//! `SOAK_SEEDS=1000..3000 cargo test --release -p rushyoke-core --test soak`.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rushyoke_core::{BalanceSettings, Facts, FailoverSettings, Policy};
use rushyoke_testkit::{Unreachable, World, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

/// Seeds that run unless `SOAK_SEEDS` is set.
const CI_SEEDS: Range<u64> = 301..421;
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
        kind: Unreachable,
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
    /// The leader loses the state service.
    LeaderWithoutStore,
    /// The leader loses the state service and the other nodes, but not the workers.
    LeaderWithoutStoreAndPeers,
}

/// Kinds of unreachability to draw from. Those that delay packets are listed more than once, because delayed messages
/// can interfere with newer ones.
const UNREACHABLE_KINDS: [Unreachable; 12] = [
    Unreachable::HeldConnected,
    Unreachable::HeldUnconnected,
    Unreachable::HeldUnconnected,
    Unreachable::HeldUnconnected,
    Unreachable::HeldUnconnected,
    Unreachable::Cut,
    Unreachable::Deaf,
    Unreachable::Mute,
    Unreachable::Hangs,
    Unreachable::OrdersHeld,
    Unreachable::ReportsHeld,
    Unreachable::LinkCut { node: 0 },
];

/// Returns deployments with different report intervals, worker leases and time limits for cancelled jobs.
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
fn random_events(rng: &mut StdRng, world: &World, facts: &Facts) -> Vec<(Duration, SoakEvent)> {
    let mut events = Vec::new();
    let lease = facts.worker_lease;
    let faults_from = secs(6);
    let kind = UNREACHABLE_KINDS[rng.random_range(0..UNREACHABLE_KINDS.len())];
    let mixed_kinds = rng.random_range(0..4) == 0;
    // In half of the runs machines are unreachable for nearly as long as a lease, which leaves just enough time to
    // renew it.
    let min_duration = if rng.random_range(0..2) == 0 { lease.mul_f64(0.7) } else { secs(1) };
    let duration = random_duration(rng, min_duration, lease);
    for machine in world.workers.keys() {
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
        _ => {}
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Applies an event to the world.
fn apply(world: &mut World, event: SoakEvent) {
    let leader = world.leader().unwrap_or_default();
    match event {
        SoakEvent::MachineUnreachable { machine, kind: Unreachable::LinkCut { .. }, duration } => {
            world.lose(&machine, Unreachable::LinkCut { node: leader }, duration);
        }
        SoakEvent::MachineUnreachable { machine, kind, duration } => world.lose(&machine, kind, duration),
        SoakEvent::MachineReachable { machine } => world.regain(&machine),
        SoakEvent::Cancel { job, node } => drop(world.cancel(node, &job_id(job))),
        SoakEvent::Submit { node } => {
            let production_service = JobSpec { cpus: 2.0, ..service(JOBS + 1, 12) };
            world.ask_submit(node, production_service);
        }
        SoakEvent::StoreOutage => world.store.outage = true,
        SoakEvent::CloudOutage => world.cloud.outage = true,
        SoakEvent::StoreRecovers => {
            let now = world.now;
            world.store.end_outage(now);
        }
        SoakEvent::CloudRecovers => world.cloud.outage = false,
        SoakEvent::LeaderCrashes => world.crash(leader),
        SoakEvent::LeaderWithoutStore => drop(world.no_store.insert(leader)),
        SoakEvent::LeaderWithoutStoreAndPeers => {
            world.no_store.insert(leader);
            world.no_peers.insert(leader);
        }
    }
}

/// Runs the scenario of one seed, and checks that each job is stopped or runs at the end.
fn run_seed(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let facts = facts_of_deployments()[seed as usize % 4].clone();
    let mut world = World::deployed(facts.clone(), MACHINES, policy_for_seed(seed), &["a", "b"]);
    world.task_s = 200.0;
    world.workers.values_mut().for_each(|worker| worker.run_s = 200.0);
    world.run(secs(8));
    for number in 1..=JOBS {
        let tasks = rng.random_range(2..=8);
        let save_interval_s = if rng.random_range(0..2) == 0 { 5.0 } else { 0.0 };
        let spec = if number % 2 == 0 { service(number, tasks.min(4)) } else { job(number, tasks) };
        world.submit(0, JobSpec { checkpoint_interval_s: save_interval_s, save_s: save_interval_s, ..spec });
    }
    world.run(secs(8));
    let start = world.now;
    for (at, event) in random_events(&mut rng, &world, &facts) {
        // An earlier event, such as a cancellation that waited for its response, may have run past this time.
        world.run((start + at).saturating_sub(world.now));
        apply(&mut world, event);
    }
    world.run(facts.cancel_limit + secs(5));
    for node in 0..3 {
        if !world.runs_node(node) {
            world.start_node(node);
        }
    }
    world.calm();
    world.run(secs(40));
    for number in 1..=JOBS {
        let id = job_id(number);
        let running = world.where_runs(&id).len();
        match world.state(0, &id) {
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
