//! A soak: drawn meetings of cancellations with machines out of reach in each way, outages of the state service and
//! the cloud, and a change of leader. The world checks the users' rules at every step. CI runs a few seeds; a
//! long run is started by hand: `SOAK_SEEDS=1000..3000 cargo test --release -p rushyoke-core --test soak`.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rushyoke_core::{BalanceSettings, Facts, FailoverSettings, Policy};
use rushyoke_testkit::{MachineFault, Simulation, facts, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus};

const CI_SEEDS: Range<u64> = 301..421;
const MACHINES: usize = 6;
const JOBS: u32 = 6;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return CI_SEEDS };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is like 1000..3000");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Something that happens at a moment of a meeting.
#[derive(Clone, Debug)]
enum Event {
    /// A machine gets out of reach for so long.
    Unreachable {
        machine: String,
        way: MachineFault,
        lasts: Duration,
    },
    /// It is reached again.
    Reachable {
        machine: String,
    },
    Cancel {
        job: u32,
        node: usize,
    },
    /// A production service comes, for which others may have to make room.
    Submit {
        node: usize,
    },
    StoreOutage,
    CloudOutage,
    StoreBack,
    CloudBack,
    LeaderEnds,
    LeaderRefusedAlone,
    LeaderWithoutPeers,
}

/// Those that hold packets back, which is what lets old messages meet new ones, are drawn more often.
const WAYS: [MachineFault; 12] = [
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

/// Intervals, leases and times for cancelled jobs as deployments have them.
fn deployments() -> [Facts; 4] {
    let times = |report, lease, cancel| Facts {
        report_interval: secs(report),
        worker_lease: secs(lease),
        cancel_limit: secs(cancel),
        ..facts(0, 3)
    };
    [times(2, 12, 30), times(4, 28, 48), times(4, 10, 40), times(4, 28, 48)]
}

/// What operators may have switched on.
fn policy(seed: u64) -> Policy {
    match seed % 3 {
        0 => Policy::default(),
        1 => Policy { failover: Some(FailoverSettings::default()), ..Policy::default() },
        _ => Policy { balance: Some(BalanceSettings::default()), ..Policy::default() },
    }
}

/// A moment between two, in steps of a tenth of a second.
fn between(rng: &mut StdRng, from: Duration, to: Duration) -> Duration {
    millis(rng.random_range(from.as_millis() as u64 / 100..=to.as_millis() as u64 / 100) * 100)
}

/// Draws what happens, and when: cancellations about the time at which machines get out of reach, outages and a
/// change of leader about the time at which they are reached again.
fn meeting(rng: &mut StdRng, simulation: &Simulation, facts: &Facts) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    let lease = facts.worker_lease;
    let begins = secs(6);
    let way = WAYS[rng.random_range(0..WAYS.len())];
    let mixed = rng.random_range(0..4) == 0;
    // Half of them for nearly as long as a lease lasts, which leaves it just time to be renewed.
    let shortest = if rng.random_range(0..2) == 0 { lease.mul_f64(0.7) } else { secs(1) };
    let lasts = between(rng, shortest, lease);
    for machine in simulation.workers.keys() {
        if rng.random_range(0..3) == 0 {
            continue;
        }
        let way = if mixed { WAYS[rng.random_range(0..WAYS.len())] } else { way };
        let from = begins + between(rng, secs(0), secs(1));
        let lasts = lasts + between(rng, secs(0), secs(1));
        events.push((from, Event::Unreachable { machine: machine.clone(), way, lasts }));
        events.push((from + lasts, Event::Reachable { machine: machine.clone() }));
    }
    for job in 1..=JOBS {
        if rng.random_range(0..3) > 0 {
            let at = begins + between(rng, secs(0), secs(2)).max(secs(1)) - secs(1);
            let at = if rng.random_range(0..4) == 0 { at + between(rng, secs(0), lasts) } else { at };
            events.push((at, Event::Cancel { job, node: rng.random_range(0..3) }));
        }
    }
    if rng.random_range(0..3) == 0 {
        events.push((begins + between(rng, secs(0), lasts), Event::Submit { node: rng.random_range(0..3) }));
    }
    if rng.random_range(0..4) > 0 {
        // Half of them so that the leader may answer no more soon after the machines are reached again.
        let answered_for = facts.cancel_limit - lease - secs(2);
        let close = (begins + lasts + between(rng, secs(0), secs(6))).saturating_sub(answered_for);
        let drawn = begins + between(rng, secs(0), lasts + secs(2));
        let from = if rng.random_range(0..2) == 0 { close.max(begins) } else { drawn };
        events.push((from, Event::StoreOutage));
        let shortest = if rng.random_range(0..2) == 0 { facts.cancel_limit } else { secs(5) };
        events.push((from + between(rng, shortest, secs(60)), Event::StoreBack));
    }
    if rng.random_range(0..2) == 0 {
        events.push((begins + between(rng, secs(0), secs(2)), Event::CloudOutage));
        events.push((begins + lasts + between(rng, secs(0), secs(20)), Event::CloudBack));
    }
    let about_leaders = begins + between(rng, secs(0), lasts + secs(2));
    match rng.random_range(0..8) {
        0 | 1 => events.push((about_leaders, Event::LeaderEnds)),
        2 => events.push((about_leaders, Event::LeaderRefusedAlone)),
        3 => events.push((about_leaders, Event::LeaderWithoutPeers)),
        _ => {}
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Brings an event about.
fn happen(simulation: &mut Simulation, event: Event) {
    let leader = simulation.leader().unwrap_or_default();
    match event {
        Event::Unreachable { machine, way: MachineFault::LinkPartitioned { .. }, lasts } => {
            simulation.inject_fault(&machine, MachineFault::LinkPartitioned { node: leader }, lasts);
        }
        Event::Unreachable { machine, way, lasts } => simulation.inject_fault(&machine, way, lasts),
        Event::Reachable { machine } => simulation.clear_fault(&machine),
        Event::Cancel { job, node } => drop(simulation.cancel(node, &job_id(job))),
        Event::Submit { node } => {
            let urgent = JobSpec { cpus: 2.0, ..service(JOBS + 1, 12) };
            simulation.send_submission(node, urgent);
        }
        Event::StoreOutage => simulation.store.outage = true,
        Event::CloudOutage => simulation.cloud.outage = true,
        Event::StoreBack => {
            let now = simulation.now;
            simulation.store.end_outage(now);
        }
        Event::CloudBack => simulation.cloud.outage = false,
        Event::LeaderEnds => simulation.crash_node(leader),
        Event::LeaderRefusedAlone => drop(simulation.partitioned_from_store.insert(leader)),
        Event::LeaderWithoutPeers => {
            simulation.partitioned_from_store.insert(leader);
            simulation.partitioned_from_peers.insert(leader);
        }
    }
}

fn soak(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let facts = deployments()[seed as usize % 4].clone();
    let mut simulation = Simulation::with_facts(facts.clone(), MACHINES, policy(seed), &["a", "b"]);
    simulation.task_duration_s = 200.0;
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 200.0);
    simulation.run(secs(8));
    for number in 1..=JOBS {
        let tasks = rng.random_range(2..=8);
        let saves = if rng.random_range(0..2) == 0 { 5.0 } else { 0.0 };
        let spec = if number % 2 == 0 { service(number, tasks.min(4)) } else { job(number, tasks) };
        simulation.submit(0, JobSpec { checkpoint_interval_s: saves, save_s: saves, ..spec });
    }
    simulation.run(secs(8));
    let began = simulation.now;
    for (at, event) in meeting(&mut rng, &simulation, &facts) {
        // What the event before took, such as a cancellation that waited for its answer, may have passed it.
        simulation.run((began + at).saturating_sub(simulation.now));
        happen(&mut simulation, event);
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
            Some(JobStatus::Cancelled | JobStatus::Done) => assert_eq!(running, 0, "seed {seed}: {id} is over"),
            Some(_) => assert!(running > 0, "seed {seed}: nothing of {id} runs"),
            None => panic!("seed {seed}: no answer about {id}"),
        }
    }
}

#[test]
fn drawn_meetings_of_cancellations_and_unreachable_machines_break_no_rule() {
    for seed in seeds() {
        println!("seed {seed}");
        soak(seed);
    }
}
