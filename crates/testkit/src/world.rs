//! The world: nodes, state service, cloud, workers and users under one clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rushyoke_core::*;
use rushyoke_wire::job::{JobSpec, JobStatus, JobView, Kind, Priority};
use rushyoke_wire::peer::{PeerResponse, RelayResponse, decode};
use rushyoke_wire::worker::{Cause, Elsewhere, Orders, Report, TaskState};

use crate::cloud::Cloud;
use crate::rules::{Question, Rules};
use crate::store::Store;
use crate::worker::Worker;

const STEP: Duration = Duration::from_millis(10);
const HOP: Duration = Duration::from_millis(3);
const CALL_LIMIT: Duration = Duration::from_millis(1500);
const RELAY_LIMIT: Duration = Duration::from_secs(1);
const REPORT_LIMIT: Duration = Duration::from_secs(4);
/// What a watch may take beyond the time it waits, before its caller gives it up.
const WATCH_SLACK: Duration = Duration::from_millis(1500);

/// The platform's facts of a small test deployment.
pub fn facts(node: usize, nodes: usize) -> Facts {
    let label = |n: usize| format!("node-{n}");
    let team = |cpus, cpus_max| Team { cpus, cpus_max, gpus: 0.0, gpus_max: 0.0 };
    Facts {
        label: label(node),
        others: (0..nodes).filter(|n| *n != node).map(label).collect(),
        teams: BTreeMap::from([("red".into(), team(32.0, 64.0)), ("blue".into(), team(32.0, 64.0))]),
        objectives: Vec::new(),
        report: Duration::from_secs(2),
        lease: Duration::from_secs(12),
        cancel: Duration::from_secs(30),
        txn_ops: 16,
        value_bytes: 8192,
        write_rps: 150.0,
        list_lag: Duration::from_secs(4),
        cloud_rps: 4.0,
        orders_at_once: 64,
        job_bytes: 8 << 20,
    }
}

/// An array of one-CPU tasks of team red.
pub fn job(id: u32, tasks: u32) -> JobSpec {
    JobSpec {
        id: format!("wk-{id:06}"),
        class: "array".into(),
        team: "red".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 2.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img".into(),
        image_gb: 1.0,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        awaits: Vec::new(),
    }
}

/// A production service of team red.
pub fn service(id: u32, tasks: u32) -> JobSpec {
    JobSpec {
        class: "service".into(),
        kind: Kind::Service,
        priority: Priority::Production,
        spot: false,
        estimate_s: 0.0,
        ..job(id, tasks)
    }
}

enum Event {
    ToNode { node: usize, incarnation: u64, input: Box<Input> },
    Store { node: usize, incarnation: u64, call: Call, op: StoreOp, reply: bool },
    Cloud { node: usize, incarnation: u64, call: Call, op: CloudOp, reply: bool },
    Order { node: usize, incarnation: u64, call: Call, machine: String, orders: Orders, reply: bool },
    Report { node: usize, machine: String, id: u64, report: Box<Report> },
    ReportAnswer { machine: String, id: u64, answer: Answer },
}

struct Watch {
    node: usize,
    incarnation: u64,
    call: Call,
    prefix: String,
    after: u64,
    until: Duration,
}

struct Slot {
    node: Option<Node>,
    incarnation: u64,
    next_tick: Duration,
}

enum Asker {
    User(u64, Question),
    Worker { machine: String, id: u64 },
    Peer { node: usize, incarnation: u64 },
    Relay { node: usize, incarnation: u64, call: Call },
}

pub struct World {
    start: Instant,
    pub now: Duration,
    /// The deployment's facts, as the first node sees them.
    facts: Facts,
    /// What nodes are told instead when they start next, as while settings are rolled out.
    pub facts_of: BTreeMap<usize, Facts>,
    /// Time spent in the core, by node and kind of input.
    pub spent: BTreeMap<(usize, &'static str), (u64, Duration)>,
    slots: Vec<Slot>,
    policy: Policy,
    pub store: Store,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    events: BTreeMap<(Duration, u64), Event>,
    serial: u64,
    watches: Vec<Watch>,
    askers: BTreeMap<(usize, Req), Asker>,
    answers: BTreeMap<u64, Answer>,
    pub specs: BTreeMap<String, JobSpec>,
    /// Jobs that a user was told are cancelled, and when.
    pub cancelled: BTreeMap<String, Duration>,
    /// Nodes cut off from the state service, or from all workers.
    pub no_store: BTreeSet<usize>,
    pub no_workers: BTreeSet<usize>,
    /// Nodes that the other nodes do not reach, nor they them.
    pub no_peers: BTreeSet<usize>,
    /// Machines that no packet reaches or leaves.
    pub cut: BTreeSet<String>,
    /// Machines to which direct orders are held back until this time.
    pub hold_orders: BTreeMap<String, Duration>,
    /// Machines whose reports are held back until this time, unanswered.
    pub hold_reports: BTreeMap<String, Duration>,
    /// Machines that nothing reaches, while their own messages arrive.
    pub deaf: BTreeSet<String>,
    /// Copies of these machines' reports come again this much later.
    pub copy_reports: BTreeMap<String, Duration>,
    /// Links between a node and a machine that carry nothing.
    pub cut_links: BTreeSet<(usize, String)>,
    /// Nodes that hear of no change: their renewals are lost, their watches silent and
    /// their peers out of reach, while their transactions pass.
    pub adrift: BTreeSet<usize>,
    /// Transactions of these nodes take until this time, and are then answered.
    pub slow_txns: BTreeMap<usize, Duration>,
    /// Transactions of these nodes are held back until a time, unanswered.
    pub hold_txns: BTreeMap<usize, Duration>,
    /// Steps from one look at the rules to the next; a large fleet takes long to look at.
    pub check_every: u32,
    steps: u32,
    /// Direct orders under way by node, and the most that one had at a time.
    orders: BTreeMap<usize, usize>,
    pub most_orders: usize,
    /// So many renewals of leases are lost.
    pub lose_touches: u32,
    /// Lists of keys with this prefix are answered at this time.
    pub hold_lists: Option<(&'static str, Duration)>,
    /// Nodes whose watches hang while all their other calls pass.
    pub hang_watches: BTreeSet<usize>,
    /// What these nodes read, compare and write in the store is carried out at once and answered
    /// at this time.
    pub hold_answers: BTreeMap<usize, Duration>,
    /// Transactions of these nodes are carried out at once, and only their answers are lost.
    pub lose_answers: BTreeSet<usize>,
    /// Transactions that were carried out although their answers were lost.
    pub unanswered: u32,
    /// Machines whose reports reach no controller, while commands reach them.
    pub mute: BTreeSet<String>,
    /// Machines that hang until this time: nothing runs, nothing is sent or taken.
    pub hang: BTreeMap<String, Duration>,
    /// A copy of each report is kept, and comes to every node so long after another one leads.
    pub keep_for_next: Option<Duration>,
    kept: Vec<(String, Report)>,
    /// Reports that came to a new leader from before its time.
    pub came_to_next: u64,
    seen_leader: Option<(usize, u64)>,
    /// Tokens under which any node ever led, and whether two did at a time.
    pub terms: BTreeSet<u64>,
    pub two_led: bool,
    pub rules: Rules,
    /// Tasks that began after their job's cancellation was confirmed.
    pub late_starts: u64,
    /// Transactions that were applied after their caller had given them up.
    pub late_commits: u32,
    /// Rentals are carried out, but their answers are lost.
    pub lose_rental_answers: bool,
    /// How long a rented machine takes to come up.
    pub boot: Duration,
    /// How long a task runs on a machine that comes up.
    pub task_s: f64,
    /// Tasks that failed on machines that fail all.
    pub failed: u64,
    /// Tasks that ever began to run.
    pub started: u64,
    /// Reports handed from one node to another, and those of them with all their tasks.
    pub relayed: u64,
    pub relayed_full: u64,
    /// Answers to relayed reports come at this time.
    pub hold_relays: Option<Duration>,
    /// How busy the nodes' processors are, and how late their ticks come.
    pub busy: BTreeMap<usize, (f64, Duration)>,
    running: BTreeMap<String, BTreeSet<String>>,
}

impl World {
    /// Three nodes, and `machines` ordinary machines that are up.
    pub fn new(machines: usize) -> World {
        World::with(machines, Policy::default(), &["a"])
    }

    pub fn with(machines: usize, policy: Policy, zones: &[&str]) -> World {
        World::deployed(facts(0, 3), machines, policy, zones)
    }

    /// A deployment of three nodes with the given facts.
    pub fn deployed(facts: Facts, machines: usize, policy: Policy, zones: &[&str]) -> World {
        let mut world = World {
            start: Instant::now(),
            now: Duration::from_secs(1),
            facts,
            facts_of: BTreeMap::new(),
            spent: BTreeMap::new(),
            slots: Vec::new(),
            policy,
            store: Store::new(),
            cloud: Cloud::new(zones),
            workers: BTreeMap::new(),
            events: BTreeMap::new(),
            serial: 0,
            watches: Vec::new(),
            askers: BTreeMap::new(),
            answers: BTreeMap::new(),
            specs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            no_store: BTreeSet::new(),
            no_workers: BTreeSet::new(),
            no_peers: BTreeSet::new(),
            cut: BTreeSet::new(),
            hold_orders: BTreeMap::new(),
            hold_reports: BTreeMap::new(),
            deaf: BTreeSet::new(),
            copy_reports: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            adrift: BTreeSet::new(),
            slow_txns: BTreeMap::new(),
            hold_txns: BTreeMap::new(),
            check_every: 1,
            steps: 0,
            orders: BTreeMap::new(),
            most_orders: 0,
            lose_touches: 0,
            hold_lists: None,
            hang_watches: BTreeSet::new(),
            hold_answers: BTreeMap::new(),
            lose_answers: BTreeSet::new(),
            unanswered: 0,
            mute: BTreeSet::new(),
            hang: BTreeMap::new(),
            keep_for_next: None,
            kept: Vec::new(),
            came_to_next: 0,
            seen_leader: None,
            terms: BTreeSet::new(),
            two_led: false,
            rules: Rules::default(),
            late_starts: 0,
            late_commits: 0,
            lose_rental_answers: false,
            boot: Duration::from_secs(10),
            task_s: 10.0,
            failed: 0,
            started: 0,
            relayed: 0,
            relayed_full: 0,
            hold_relays: None,
            busy: BTreeMap::new(),
            running: BTreeMap::new(),
        };
        for n in 0..machines {
            let zone = zones[n % zones.len()];
            let name = world.cloud.add(world.now, zone, false);
            world.boot(&name);
        }
        for _ in 0..3 {
            world.slots.push(Slot { node: None, incarnation: 0, next_tick: world.now });
        }
        (0..3).for_each(|n| world.start_node(n));
        world
    }

    fn boot(&mut self, name: &str) {
        let rented = self.cloud.machines.get_mut(name).expect("rented");
        rented.up = true;
        let mut worker = Worker::new(name.into(), rented.zone.clone(), rented.spot, rented.kind.clone(), self.now);
        worker.run_s = self.task_s;
        self.workers.insert(name.into(), worker);
    }

    pub fn start_node(&mut self, n: usize) {
        self.serial += 1;
        let incarnation = self.serial;
        let label = |n: usize| format!("node-{n}");
        let others = (0..3).filter(|other| *other != n).map(label).collect();
        let told = self.facts_of.get(&n).unwrap_or(&self.facts).clone();
        let facts = Facts { label: label(n), others, ..told };
        let node = Node::new(facts, self.policy.clone(), incarnation, self.clocks());
        self.slots[n] = Slot { node: Some(node), incarnation, next_tick: self.now };
    }

    /// A machine stops with all that is on it and is back at once, its worker begun anew.
    pub fn restart_worker(&mut self, name: &str) {
        self.boot(name);
    }

    /// The process ends; what it had sent is still under way.
    pub fn crash(&mut self, n: usize) {
        self.orders.remove(&n);
        self.slots[n].node = None;
        self.watches.retain(|w| w.node != n);
        self.askers.retain(|(node, _), _| *node != n);
    }

    fn clocks(&self) -> Now {
        Now { steady: self.start + self.now, wall_ms: 1_700_000_000_000 + self.now.as_millis() as u64 }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = (0..self.slots.len()).filter_map(|n| Some((self.slots[n].node.as_ref()?.token()?, n)));
        leads.max().map(|(_, n)| n)
    }

    pub fn token_of(&self, n: usize) -> Option<u64> {
        self.slots[n].node.as_ref()?.token()
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    fn give(&mut self, n: usize, input: Input) {
        let now = self.clocks();
        let Some(node) = &mut self.slots[n].node else {
            return;
        };
        let kind = kind_of(&input);
        let began = Instant::now();
        let outputs = node.handle(now, input);
        let spent = self.spent.entry((n, kind)).or_default();
        *spent = (spent.0 + 1, spent.1 + began.elapsed());
        for output in outputs {
            self.output(n, output);
        }
    }

    fn output(&mut self, node: usize, output: Output) {
        let incarnation = self.slots[node].incarnation;
        let late = |input| Event::ToNode { node, incarnation, input: Box::new(input) };
        match output {
            Output::Answer { req, answer } => match self.askers.remove(&(node, req)) {
                Some(Asker::User(id, question)) => {
                    self.rules.answered(self.now, self.facts.cancel, node, &question, &answer);
                    self.answers.insert(id, answer);
                }
                Some(Asker::Worker { machine, id })
                    if !self.no_workers.contains(&node) && !self.cut_links.contains(&(node, machine.clone())) =>
                {
                    self.push(self.now + HOP, Event::ReportAnswer { machine, id, answer });
                }
                Some(Asker::Relay { node: asker, incarnation, call }) => {
                    let response = decode::<RelayResponse>(&answer.body).expect("peers answer well");
                    let input = Box::new(Input::RelayResponse { call, outcome: Outcome::Answered(response) });
                    let at = self.hold_relays.unwrap_or_default().max(self.now + HOP);
                    self.push(at, Event::ToNode { node: asker, incarnation, input });
                }
                Some(Asker::Peer { node: asker, incarnation }) => {
                    let response = decode::<PeerResponse>(&answer.body).expect("peers answer well");
                    let label = format!("node-{node}");
                    let input = Box::new(Input::PeerResponse { label, outcome: Outcome::Answered(response) });
                    self.push(self.now + HOP, Event::ToNode { node: asker, incarnation, input });
                }
                _ => {}
            },
            Output::Store { call, op, .. } => {
                if let StoreOp::Watch { prefix, after, wait_ms } = op {
                    if self.no_store.contains(&node) || self.store.outage {
                        // Watches that are open wait; a new one is refused like all else.
                        let outcome = Outcome::Answered(StoreAnswer::Unavailable);
                        self.push(self.now + HOP, late(Input::Store { call, outcome }));
                        return;
                    }
                    let until = self.now + Duration::from_millis(wait_ms);
                    self.watches.push(Watch { node, incarnation, call, prefix, after, until });
                    return;
                }
                if self.no_store.contains(&node) {
                    let outcome = Outcome::Answered(StoreAnswer::Unavailable);
                    self.push(self.now + HOP, late(Input::Store { call, outcome }));
                    return;
                }
                let lost = matches!(op, StoreOp::Touch(_)) && self.lose_touches > 0;
                self.lose_touches -= u32::from(lost);
                if lost || matches!(op, StoreOp::Touch(_)) && self.adrift.contains(&node) {
                    self.push(self.now + CALL_LIMIT, late(Input::Store { call, outcome: Outcome::Unknown }));
                    return;
                }
                if let (StoreOp::List { prefix, .. }, Some((held, until))) = (&op, self.hold_lists)
                    && prefix == held
                {
                    self.push(until, Event::Store { node, incarnation, call, op, reply: true });
                    return;
                }
                if let (StoreOp::Txn(_), Some(until)) = (&op, self.slow_txns.get(&node).copied()) {
                    self.push(until, Event::Store { node, incarnation, call, op, reply: true });
                    return;
                }
                if matches!(op, StoreOp::Txn(_)) && self.lose_answers.contains(&node) {
                    self.push(self.now + CALL_LIMIT, late(Input::Store { call, outcome: Outcome::Unknown }));
                    self.push(self.now + HOP, Event::Store { node, incarnation, call, op, reply: false });
                    return;
                }
                match self.hold_txns.get(&node) {
                    Some(until) if matches!(op, StoreOp::Txn(_)) => {
                        let until = *until;
                        self.push(self.now + CALL_LIMIT, late(Input::Store { call, outcome: Outcome::Unknown }));
                        self.push(until, Event::Store { node, incarnation, call, op, reply: false });
                    }
                    _ => self.push(self.now + HOP, Event::Store { node, incarnation, call, op, reply: true }),
                }
            }
            Output::Cloud { call, op } => {
                let lost = self.lose_rental_answers && matches!(op, CloudOp::Rent(_));
                if lost {
                    self.push(self.now + CALL_LIMIT, late(Input::Cloud { call, outcome: Outcome::Unknown }));
                }
                self.push(self.now + HOP, Event::Cloud { node, incarnation, call, op, reply: !lost });
            }
            Output::Order { call, addr: machine, orders } => {
                let open = self.orders.entry(node).or_default();
                *open += 1;
                self.most_orders = self.most_orders.max(*open);
                let unreachable = self.cut_links.contains(&(node, machine.clone()))
                    || self.cut.contains(&machine)
                    || self.deaf.contains(&machine)
                    || !self.workers.contains_key(&machine)
                    || self.no_workers.contains(&node);
                if unreachable {
                    self.push(self.now + CALL_LIMIT, late(Input::Ordered { call, outcome: Outcome::NotDone }));
                } else if let Some(until) = self.hold_orders.get(&machine) {
                    let until = *until;
                    self.push(self.now + CALL_LIMIT, late(Input::Ordered { call, outcome: Outcome::Unknown }));
                    self.push(until, Event::Order { node, incarnation, call, machine, orders, reply: false });
                } else {
                    self.push(self.now + HOP, Event::Order { node, incarnation, call, machine, orders, reply: true });
                }
            }
            Output::Peer { label, request } => match self.peer(node, &label) {
                Some((other, req)) => {
                    self.askers.insert((other, req), Asker::Peer { node, incarnation });
                    let incarnation = self.slots[other].incarnation;
                    let input = Box::new(Input::Peer { req, request });
                    self.push(self.now + HOP, Event::ToNode { node: other, incarnation, input });
                }
                None => self.push(self.now + HOP, late(Input::PeerResponse { label, outcome: Outcome::Unknown })),
            },
            Output::Relay { call, label, relay } => match self.peer(node, &label) {
                Some((other, req)) => {
                    self.relayed += relay.reports.len() as u64;
                    self.relayed_full += relay.reports.iter().filter(|r| r.full.is_some()).count() as u64;
                    self.askers.insert((other, req), Asker::Relay { node, incarnation, call });
                    let incarnation = self.slots[other].incarnation;
                    let input = Box::new(Input::Relay { req, relay });
                    self.push(self.now + HOP, Event::ToNode { node: other, incarnation, input });
                    // The answer may be lost with the other node.
                    let outcome = Outcome::Unknown;
                    self.push(self.now + RELAY_LIMIT, late(Input::RelayResponse { call, outcome }));
                }
                None => self.push(self.now + HOP, late(Input::RelayResponse { call, outcome: Outcome::Unknown })),
            },
        }
    }

    /// The other node by its label and a request to it, unless the two are out of reach.
    fn peer(&mut self, node: usize, label: &str) -> Option<(usize, Req)> {
        let other: usize = label.trim_start_matches("node-").parse().expect("labels end in a number");
        let lost = |n: &usize| self.adrift.contains(n) || self.no_peers.contains(n);
        if self.slots[other].node.is_none() || lost(&node) || lost(&other) {
            return None;
        }
        self.serial += 1;
        Some((other, Req(self.serial)))
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::ToNode { node, incarnation, input } => {
                if self.slots[node].incarnation == incarnation {
                    if matches!(*input, Input::Ordered { .. }) && self.slots[node].node.is_some() {
                        *self.orders.entry(node).or_default() -= 1;
                    }
                    self.give(node, *input);
                }
            }
            Event::Store { node, incarnation, call, op, reply } => {
                let answer =
                    if self.store.outage { StoreAnswer::Unavailable } else { self.store.execute(self.now, &op) };
                let committed = u32::from(!reply && matches!(answer, StoreAnswer::Committed(_)));
                if self.lose_answers.contains(&node) {
                    self.unanswered += committed;
                } else {
                    self.late_commits += committed;
                }
                if reply {
                    let user = matches!(op, StoreOp::Txn(_) | StoreOp::Get(_));
                    let held = self.hold_answers.get(&node).copied().filter(|_| user).unwrap_or_default();
                    let input = Box::new(Input::Store { call, outcome: Outcome::Answered(answer) });
                    self.push(held.max(self.now + HOP), Event::ToNode { node, incarnation, input });
                }
            }
            Event::Cloud { node, incarnation, call, op, reply } => {
                let answer = self.cloud.execute(self.now, &op);
                let gone: Vec<String> =
                    self.workers.keys().filter(|w| !self.cloud.machines.contains_key(*w)).cloned().collect();
                for name in gone {
                    self.workers.remove(&name);
                }
                if reply {
                    let input = Box::new(Input::Cloud { call, outcome: Outcome::Answered(answer) });
                    self.push(self.now + HOP, Event::ToNode { node, incarnation, input });
                }
            }
            Event::Order { node, incarnation, call, machine, orders, reply } => {
                let now = self.now;
                if let Some(until) = self.hang.get(&machine).copied() {
                    if reply {
                        let input = Box::new(Input::Ordered { call, outcome: Outcome::Unknown });
                        self.push(now + CALL_LIMIT, Event::ToNode { node, incarnation, input });
                    }
                    let at = until + HOP;
                    self.push(at, Event::Order { node, incarnation, call, machine, orders, reply: false });
                    return;
                }
                let Some(worker) = self.workers.get_mut(&machine) else {
                    if reply {
                        // It ended while the call was on its way, which is given up in time.
                        let input = Box::new(Input::Ordered { call, outcome: Outcome::Unknown });
                        self.push(now + CALL_LIMIT, Event::ToNode { node, incarnation, input });
                    }
                    return;
                };
                let status = worker.direct(now, &orders);
                let report = worker.report();
                if reply {
                    let input = Box::new(Input::Ordered { call, outcome: Outcome::Answered((status, report)) });
                    self.push(now + HOP, Event::ToNode { node, incarnation, input });
                }
            }
            Event::Report { node, machine, id, report } => {
                let cut = self.cut_links.contains(&(node, machine.clone())) || self.no_workers.contains(&node);
                if self.slots[node].node.is_none() || cut {
                    return;
                }
                self.serial += 1;
                let req = Req(self.serial);
                self.askers.insert((node, req), Asker::Worker { machine, id });
                let tasks = serde_json::value::to_raw_value(&report.tasks).expect("tasks encode");
                let report = Box::new(Report { tasks: Vec::new(), ..*report });
                self.give(node, Input::Report { req, report, unread: Some(tasks) });
            }
            Event::ReportAnswer { machine, id, answer } => self.report_answered(&machine, id, &answer),
        }
    }

    fn report_answered(&mut self, machine: &str, id: u64, answer: &Answer) {
        let now = self.now;
        if self.cut.contains(machine) || self.deaf.contains(machine) || self.hang.contains_key(machine) {
            return;
        }
        let nodes = self.slots.len();
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let Some((_, sent, session)) = worker.waiting.filter(|(waiting, ..)| *waiting == id) else {
            return;
        };
        worker.waiting = None;
        match answer.status {
            200 => {
                let orders: Orders = serde_json::from_slice(&answer.body).expect("orders are well formed");
                worker.answered(now, sent, session, &orders);
            }
            421 => {
                let elsewhere: Elsewhere = serde_json::from_slice(&answer.body).expect("a 421 is well formed");
                match elsewhere.report_to.and_then(|l| l.trim_start_matches("node-").parse().ok()) {
                    Some(node) => (worker.node, worker.next_report) = (node, now),
                    None => {
                        (worker.node, worker.next_report) = ((worker.node + 1) % nodes, now + Duration::from_secs(1))
                    }
                }
            }
            _ => (worker.node, worker.next_report) = ((worker.node + 1) % nodes, now + Duration::from_secs(1)),
        }
    }

    /// Lets time pass, checking the rules at each step.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.event(event);
            }
            self.watches_due();
            for n in 0..self.slots.len() {
                if self.slots[n].next_tick <= self.now {
                    self.slots[n].next_tick = self.now + Duration::from_millis(50);
                    if let Some((share, late)) = self.busy.get(&n).copied() {
                        self.give(n, Input::Busy { share, late });
                    }
                    self.give(n, Input::Tick);
                }
            }
            self.machines_boot();
            self.workers_pass();
            self.leads_pass();
            self.steps += 1;
            if self.steps.is_multiple_of(self.check_every) {
                self.check();
            }
        }
    }

    fn watches_due(&mut self) {
        self.store.expire(self.now);
        let now = self.now;
        let mut due = Vec::new();
        self.watches.retain(|watch| {
            if now > watch.until + WATCH_SLACK {
                due.push((watch.node, watch.incarnation, watch.call, Outcome::Unknown));
                return false;
            }
            let waits = [&self.no_store, &self.adrift, &self.hang_watches].into_iter().any(|n| n.contains(&watch.node));
            if waits || self.store.outage {
                return true;
            }
            let answer = self.store.watch(&watch.prefix, watch.after).or_else(|| {
                let none = rushyoke_wire::store::Changes { revision: watch.after, events: Vec::new() };
                (watch.until <= now).then_some(StoreAnswer::Changes(none))
            });
            if let Some(answer) = answer {
                due.push((watch.node, watch.incarnation, watch.call, Outcome::Answered(answer)));
                return false;
            }
            true
        });
        for (node, incarnation, call, outcome) in due {
            let input = Box::new(Input::Store { call, outcome });
            self.push(now + HOP, Event::ToNode { node, incarnation, input });
        }
    }

    /// Notes who leads, and gives a new leader the reports that were kept for it.
    fn leads_pass(&mut self) {
        let tokens: Vec<u64> = (0..self.slots.len()).filter_map(|n| self.token_of(n)).collect();
        self.two_led |= tokens.len() > 1;
        self.terms.extend(tokens);
        let leader = self.leader().and_then(|n| Some((n, self.token_of(n)?)));
        if leader.is_none() || leader == self.seen_leader {
            return;
        }
        let first = self.seen_leader.is_none();
        let at = self.now + HOP + self.keep_for_next.unwrap_or_default();
        self.seen_leader = leader;
        for (machine, report) in std::mem::take(&mut self.kept).into_iter().filter(|_| !first) {
            self.came_to_next += 1;
            for node in 0..self.slots.len() {
                let report = Box::new(report.clone());
                self.push(at, Event::Report { node, machine: machine.clone(), id: 0, report });
            }
        }
    }

    /// Ends all troubles.
    pub fn calm(&mut self) {
        self.no_store.clear();
        self.no_workers.clear();
        self.no_peers.clear();
        self.cut.clear();
        self.hold_orders.clear();
        self.hold_reports.clear();
        self.deaf.clear();
        self.copy_reports.clear();
        self.cut_links.clear();
        self.adrift.clear();
        self.slow_txns.clear();
        self.hold_txns.clear();
        self.hold_lists = None;
        self.hang_watches.clear();
        self.lose_answers.clear();
        self.hold_answers.clear();
        self.mute.clear();
        self.hang.clear();
        self.keep_for_next = None;
        self.kept.clear();
        self.hold_relays = None;
        self.lose_touches = 0;
        self.lose_rental_answers = false;
        self.busy.clear();
        self.cloud.outage = false;
        if self.store.outage {
            let now = self.now;
            self.store.end_outage(now);
        }
    }

    /// What is checked once troubles are over: users who ask at every node every five seconds
    /// are answered about each accepted job within 75 s, and no job waits for 90 s while a
    /// machine that fits has room and its team is under its limit.
    pub fn check_served(&mut self) {
        let jobs = self.rules.accepted();
        let mut answered: BTreeMap<String, Duration> = jobs.iter().map(|job| (job.clone(), self.now)).collect();
        let mut waits: BTreeMap<String, Duration> = BTreeMap::new();
        for _ in 0..22 {
            self.run(Duration::from_secs(4));
            for node in 0..self.slots.len() {
                let asked: Vec<(String, u64)> = jobs
                    .iter()
                    .map(|job| (job.clone(), self.ask(node, |req| Input::Status { req, id: job.clone() })))
                    .collect();
                self.run(Duration::from_millis(350));
                for (job, id) in asked {
                    if self.answers.remove(&id).is_some_and(|answer| answer.status == 200) {
                        answered.insert(job, self.now);
                    }
                }
            }
            for (job, at) in &answered {
                assert!(self.now - *at < Duration::from_secs(75), "no question about {job} is answered");
            }
            for job in &jobs {
                if !self.could_start(job) {
                    waits.remove(job);
                } else {
                    let since = *waits.entry(job.clone()).or_insert(self.now);
                    let waited = self.now - since;
                    assert!(waited < Duration::from_secs(90), "{job} waits although there is room");
                }
            }
        }
        let long: Vec<&String> = waits
            .iter()
            .filter(|(_, since)| self.now - **since > Duration::from_secs(60))
            .map(|(job, _)| job)
            .collect();
        assert!(long.is_empty(), "{long:?} wait although there is room");
    }

    /// Whether a task of the job waits that a machine has room for, within its team's limit.
    fn could_start(&self, id: &str) -> bool {
        let spec = &self.specs[id];
        if self.rules.is_over(id) || self.cancelled.contains_key(id) || self.rules.waits_for_others(id) {
            return false;
        }
        let of = |task: &str| task.split('/').next().and_then(|id| self.specs.get(id));
        let present = |w: &Worker| {
            let held = w.tasks.iter().filter(|t| t.state != TaskState::Exited);
            held.filter_map(|t| of(&t.name)).cloned().collect::<Vec<JobSpec>>()
        };
        let all: Vec<JobSpec> = self.workers.values().flat_map(present).collect();
        let there = all.iter().filter(|s| s.id == id).count() as u32;
        let finished = self.rules.finished(id);
        if there + finished >= spec.tasks {
            return false;
        }
        let used: f64 = all.iter().filter(|s| s.team == spec.team).map(|s| s.cpus).sum();
        if used + spec.cpus > self.facts.teams[&spec.team].cpus_max + 1e-6 {
            return false;
        }
        let fits = |w: &Worker| {
            let kind = self.cloud.types.iter().find(|t| t.name == w.kind);
            let (cpus, memory) = kind.map_or((0.0, 0.0), |k| (k.cpus, k.memory_gb));
            let (held_cpus, held_memory) =
                present(w).iter().fold((0.0, 0.0), |(c, m), s| (c + s.cpus, m + s.memory_gb));
            held_cpus + spec.cpus <= cpus + 1e-6
                && held_memory + spec.memory_gb <= memory + 1e-6
                && (spec.spot || !w.spot)
                && spec.zone.as_ref().is_none_or(|zone| *zone == w.zone)
                && !w.fails_all
                && w.notice_s.is_none()
        };
        !spec.one_zone && !spec.spread && self.workers.values().any(fits)
    }

    fn machines_boot(&mut self) {
        let due: Vec<String> = self
            .cloud
            .machines
            .iter()
            .filter(|(name, m)| !m.up && !self.cloud.stillborn.contains(*name) && self.now >= m.since + self.boot)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.boot(&name);
        }
    }

    fn workers_pass(&mut self) {
        let (now, nodes) = (self.now, self.slots.len());
        let (lease, period) = (self.facts.lease, self.facts.report);
        let mut reports = Vec::new();
        self.hang.retain(|_, until| *until > now);
        for worker in self.workers.values_mut().filter(|w| !self.hang.contains_key(&w.name)) {
            let service = |task: &str| {
                let id = task.split('/').next().unwrap_or_default();
                self.specs.get(id).is_some_and(|s| s.kind == Kind::Service)
            };
            let errors = worker.errors();
            if worker.pass(now, lease, service) {
                for task in worker.tasks.iter().filter(|t| t.why == Some(Cause::Done)) {
                    self.rules.finish(&task.name);
                }
                self.failed += worker.errors().saturating_sub(errors);
                worker.next_report = worker.next_report.min(now + Duration::from_millis(500));
            }
            if let Some((_, sent, _)) = worker.waiting
                && now > sent + REPORT_LIMIT
            {
                worker.waiting = None;
                (worker.node, worker.next_report) = ((worker.node + 1) % nodes, now + Duration::from_secs(1));
            }
            if worker.waiting.is_none() && worker.next_report <= now {
                self.serial += 1;
                worker.waiting = Some((self.serial, now, worker.session));
                worker.next_report = now + period;
                let report = Box::new(worker.report());
                reports.push(Event::Report {
                    node: worker.node,
                    machine: worker.name.clone(),
                    id: self.serial,
                    report,
                });
            }
        }
        for event in reports {
            if let Event::Report { machine, .. } = &event
                && !self.cut.contains(machine)
                && !self.mute.contains(machine)
            {
                if let (true, Event::Report { report, .. }) = (self.keep_for_next.is_some(), &event) {
                    self.kept.push((machine.clone(), (**report).clone()));
                }
                let late = self.hold_reports.get(machine).copied();
                let by = self.copy_reports.get(machine).copied();
                if let (Some(by), Event::Report { machine, report, .. }) = (by, &event) {
                    // A copy has no asker: its answer goes nowhere. It may come to any node.
                    let copies: Vec<Event> = (0..nodes)
                        .map(|node| Event::Report { node, machine: machine.clone(), id: 0, report: report.clone() })
                        .collect();
                    copies.into_iter().for_each(|copy| self.push(now + by, copy));
                }
                self.push(late.unwrap_or(now + HOP), event);
            }
        }
    }

    /// The rules that hold at every moment.
    fn check(&mut self) {
        let mut on: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut zones: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
        for worker in self.workers.values() {
            if self.hang.contains_key(&worker.name) && self.now > worker.lease_from + self.facts.lease {
                // Its tasks are dropped as soon as it goes on.
                continue;
            }
            for task in worker.tasks.iter().filter(|t| matches!(t.state, TaskState::Running | TaskState::Saving)) {
                on.entry(task.name.clone()).or_default().insert(worker.name.clone());
                let id = task.name.split('/').next().expect("a task's name starts with its job");
                let spec = &self.specs[id];
                *used.entry(&spec.team).or_default() += spec.cpus;
                *zones.entry(id).or_default().entry(&worker.zone).or_default() += 1;
                assert!(spec.spot || !worker.spot, "{} runs on a spot machine", task.name);
                if let Some(since) = self.cancelled.get(id) {
                    assert!(self.now <= *since + self.facts.cancel, "{} runs although it is cancelled", task.name);
                }
            }
        }
        for (team, cpus) in used {
            assert!(cpus <= self.facts.teams[team].cpus_max + 1e-6, "team {team} uses {cpus} CPUs");
        }
        for (id, zones) in zones {
            let spec = &self.specs[id];
            let most = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
            assert!(zones.values().all(|n| *n <= most), "{id} is not spread: {zones:?}");
            assert!(!spec.one_zone || zones.len() <= 1, "{id} is not together: {zones:?}");
        }
        for (task, machines) in &on {
            assert!(machines.len() <= 1, "at {:?} {task} is on {machines:?}", self.now);
            if !self.running.contains_key(task) {
                self.started += 1;
                let id = task.split('/').next().expect("a task's name starts with its job");
                self.late_starts += u64::from(self.cancelled.contains_key(id));
                self.rules.starts(self.now, id);
            }
        }
        self.running = on;
    }

    /// Machines on which a job's tasks run now.
    pub fn where_runs(&self, id: &str) -> Vec<(String, String)> {
        let of_job = self.running.iter().filter(|(task, _)| task.split('/').next() == Some(id));
        of_job.flat_map(|(task, on)| on.iter().map(|m| (task.clone(), m.clone()))).collect()
    }

    /// Tasks of a job that the newest records place on a machine.
    pub fn placed_on(&self, job: &str, machine: &str) -> usize {
        let segments = self.store.rows.iter().filter(|(key, _)| key.starts_with("log/"));
        let newest = segments.max_by_key(|(_, row)| row.1);
        let value = newest.map(|(_, row)| &row.0);
        let Some(value) = value else { return 0 };
        let named = |index: &serde_json::Value| value["machines"][index.as_u64().unwrap_or(0) as usize][0] == machine;
        let jobs = value["jobs"].as_array().into_iter().flatten().filter(|changed| changed["job"] == job);
        let places = jobs.flat_map(|changed| changed["places"].as_array().into_iter().flatten());
        places.filter(|place| named(&place[1])).count()
    }

    fn ask(&mut self, node: usize, input: impl FnOnce(Req) -> Input) -> u64 {
        self.serial += 1;
        let id = self.serial;
        let req = Req(id);
        let input = input(req);
        let question = self.rules.question(&input);
        self.askers.insert((node, req), Asker::User(id, question));
        self.give(node, input);
        id
    }

    fn wait(&mut self, id: u64) -> Option<Answer> {
        for _ in 0..500 {
            if let Some(answer) = self.answers.remove(&id) {
                return Some(answer);
            }
            self.run(STEP);
        }
        None
    }

    /// Submits at a node; the status of the answer, if one came.
    pub fn submit(&mut self, node: usize, spec: JobSpec) -> Option<u16> {
        self.specs.insert(spec.id.clone(), spec.clone());
        let id = self.ask(node, |req| Input::Submit { req, spec: Box::new(spec) });
        Some(self.wait(id)?.status)
    }

    /// Asks a node for a job's state: the status and, with 200, the state.
    pub fn status(&mut self, node: usize, job: &str) -> Option<(u16, Option<JobView>)> {
        let id = self.ask(node, |req| Input::Status { req, id: job.into() });
        let answer = self.wait(id)?;
        Some((answer.status, serde_json::from_slice(&answer.body).ok()))
    }

    /// Asks a node for a job's state without waiting for the answer, which is checked when it comes.
    pub fn ask_status(&mut self, node: usize, job: &str) {
        self.ask(node, |req| Input::Status { req, id: job.into() });
    }

    /// Submits at a node without waiting for the answer.
    pub fn ask_submit(&mut self, node: usize, spec: JobSpec) {
        self.specs.insert(spec.id.clone(), spec.clone());
        self.ask(node, |req| Input::Submit { req, spec: Box::new(spec) });
    }

    /// Asks a node for many jobs at once; the statuses of the answers within a second.
    pub fn ask_all(&mut self, node: usize, jobs: &[String]) -> Vec<u16> {
        let asked = jobs.iter().map(|job| self.ask(node, |req| Input::Status { req, id: job.clone() }));
        let asked: Vec<u64> = asked.collect();
        self.run(Duration::from_secs(1));
        asked.iter().filter_map(|id| Some(self.answers.remove(id)?.status)).collect()
    }

    pub fn state(&mut self, node: usize, job: &str) -> Option<JobStatus> {
        self.status(node, job)?.1.map(|view| view.state)
    }

    pub fn cancel(&mut self, node: usize, job: &str) -> Option<(u16, Option<JobView>)> {
        let id = self.ask(node, |req| Input::Cancel { req, id: job.into() });
        let answer = self.wait(id)?;
        let view: Option<JobView> = serde_json::from_slice(&answer.body).ok();
        if view.as_ref().is_some_and(|v| v.state == JobStatus::Cancelled) {
            self.cancelled.entry(job.into()).or_insert(self.now);
        }
        Some((answer.status, view))
    }

    pub fn ready(&mut self, node: usize) -> Option<u16> {
        let id = self.ask(node, |req| Input::Ready { req });
        Some(self.wait(id)?.status)
    }
}

fn kind_of(input: &Input) -> &'static str {
    match input {
        Input::Submit { .. } => "submit",
        Input::Status { .. } => "status",
        Input::Cancel { .. } => "cancel",
        Input::Ready { .. } => "ready",
        Input::Report { .. } => "report",
        Input::Peer { .. } => "peer",
        Input::Store { .. } => "store",
        Input::Cloud { .. } => "cloud",
        Input::Ordered { .. } => "ordered",
        Input::PeerResponse { .. } => "peer told",
        Input::Relay { .. } => "relay",
        Input::RelayResponse { .. } => "relay told",
        Input::Busy { .. } => "busy",
        Input::Tick => "tick",
    }
}
