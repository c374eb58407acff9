//! The world: nodes, state service, cloud, workers and users under one clock.

mod checks;
mod machines;
mod network;
mod reach;
mod users;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rushyoke_core::{
    CallId, CloudOp, Facts, HttpResponse, Input, Node, Now, Outcome, Policy, RequestId, StoreOp, StoreResponse,
};
use rushyoke_wire::job::JobSpec;
use rushyoke_wire::worker::{Orders, Report};

use crate::cloud::Cloud;
use crate::deployment::facts;
use crate::rules::{Question, Rules};
use crate::store::Store;
use crate::worker::Worker;
pub use reach::{Interruption, Unreachable};

const STEP: Duration = Duration::from_millis(10);
const HOP: Duration = Duration::from_millis(3);
/// What a watch may take beyond the time it waits, before its caller gives it up.
const WATCH_SLACK: Duration = Duration::from_millis(1500);

enum Event {
    ToNode { node: usize, incarnation: u64, input: Box<Input> },
    Store { node: usize, incarnation: u64, call: CallId, op: StoreOp, reply: bool },
    Cloud { node: usize, incarnation: u64, call: CallId, op: CloudOp, reply: bool },
    Order { node: usize, incarnation: u64, call: CallId, machine: String, orders: Orders, reply: bool },
    Report { node: usize, machine: String, id: u64, report: Box<Report> },
    ReportAnswer { machine: String, id: u64, answer: HttpResponse },
}

struct Watch {
    node: usize,
    incarnation: u64,
    call: CallId,
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
    Relay { node: usize, incarnation: u64, call: CallId },
}

/// Nodes, state service, cloud, workers and users under one clock.
pub struct World {
    start: Instant,
    /// The time since the world began.
    pub now: Duration,
    /// The deployment's facts, as the first node sees them.
    facts: Facts,
    /// What nodes are told instead when they start next, as while settings are rolled out.
    pub facts_of: BTreeMap<usize, Facts>,
    /// Policies of nodes that start next and have another one than all, as another version does.
    pub policy_of: BTreeMap<usize, Policy>,
    /// Time spent in the core, by node and kind of input.
    pub spent: BTreeMap<(usize, &'static str), (u64, Duration)>,
    slots: Vec<Slot>,
    policy: Policy,
    /// The state service.
    pub store: Store,
    /// The cloud.
    pub cloud: Cloud,
    /// Workers by machine.
    pub workers: BTreeMap<String, Worker>,
    events: BTreeMap<(Duration, u64), Event>,
    serial: u64,
    watches: Vec<Watch>,
    askers: BTreeMap<(usize, RequestId), Asker>,
    answers: BTreeMap<u64, HttpResponse>,
    /// Jobs that were submitted.
    pub specs: BTreeMap<String, JobSpec>,
    /// Jobs that a user was told are cancelled, and when.
    pub cancelled: BTreeMap<String, Duration>,
    /// Nodes cut off from the state service, or from all workers.
    pub no_store: BTreeSet<usize>,
    /// Nodes that no worker reaches.
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
    /// The most direct orders that a node had under way.
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
    /// Machines to and from which packets are held back.
    pub interrupted: BTreeMap<String, Interruption>,
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
    /// Two nodes held that they led at a time.
    pub two_led: bool,
    /// What users were told.
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
    /// Reports handed on with all their tasks.
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

    /// Three nodes with a policy, and ordinary machines that are up in these zones.
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
            policy_of: BTreeMap::new(),
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
            interrupted: BTreeMap::new(),
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

    /// Starts a node's process.
    pub fn start_node(&mut self, n: usize) {
        self.serial += 1;
        let incarnation = self.serial;
        let label = |n: usize| format!("node-{n}");
        let peers = (0..3).filter(|other| *other != n).map(label).collect();
        let told = self.facts_of.get(&n).unwrap_or(&self.facts).clone();
        let facts = Facts { label: label(n), peers, ..told };
        let policy = self.policy_of.get(&n).unwrap_or(&self.policy).clone();
        let node = Node::new(facts, policy, incarnation, self.clocks());
        self.slots[n] = Slot { node: Some(node), incarnation, next_tick: self.now };
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

    /// The node that leads under the highest token.
    pub fn leader(&self) -> Option<usize> {
        let leads = (0..self.slots.len()).filter_map(|n| Some((self.slots[n].node.as_ref()?.token()?, n)));
        leads.max().map(|(_, n)| n)
    }

    /// Whether a node's process runs.
    pub fn runs_node(&self, n: usize) -> bool {
        self.slots[n].node.is_some()
    }

    /// The token under which a node leads.
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
                        self.give(n, Input::ProcessorLoad { share, tick_delay: late });
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
                (watch.until <= now).then_some(StoreResponse::Changes(none))
            });
            if let Some(answer) = answer {
                due.push((watch.node, watch.incarnation, watch.call, Outcome::Responded(answer)));
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
        self.interrupted.clear();
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
        Input::OrderResponse { .. } => "ordered",
        Input::PeerResponse { .. } => "peer told",
        Input::Relay { .. } => "relay",
        Input::RelayResponse { .. } => "relay told",
        Input::ProcessorLoad { .. } => "busy",
        Input::Tick => "tick",
    }
}
