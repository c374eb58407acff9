//! The world: nodes, state service, cloud, workers and users under one clock.

mod checks;
mod machine_faults;
mod machines;
mod network;
mod users;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rushyoke_core::{
    CallId, CloudOp, Facts, HttpResponse, Input, Node, Now, Outcome, Policy, RequestId, StoreOp, StoreResponse,
};
use rushyoke_wire::job::JobSpec;
use rushyoke_wire::worker::{Orders, Report};

use crate::checker::{Checker, UserRequest};
use crate::cloud::Cloud;
use crate::deployment::facts;
use crate::store::Store;
use crate::worker::Worker;
pub use machine_faults::{MachineFault, NetworkInterruption};

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
    ReportResponse { machine: String, id: u64, answer: HttpResponse },
}

struct Watch {
    node: usize,
    incarnation: u64,
    call: CallId,
    prefix: String,
    after: u64,
    until: Duration,
}

struct NodeProcess {
    node: Option<Node>,
    incarnation: u64,
    next_tick: Duration,
}

enum Requester {
    User(u64, UserRequest),
    Worker { machine: String, id: u64 },
    Peer { node: usize, incarnation: u64 },
    Relay { node: usize, incarnation: u64, call: CallId },
}

/// Nodes, state service, cloud, workers and users under one clock.
pub struct Simulation {
    start: Instant,
    /// The time since the world began.
    pub now: Duration,
    /// The deployment's facts, as the first node sees them.
    facts: Facts,
    /// What nodes are told instead when they start next, as while settings are rolled out.
    pub facts_overrides: BTreeMap<usize, Facts>,
    /// Policies of nodes that start next and have another one than all, as another version does.
    pub policy_overrides: BTreeMap<usize, Policy>,
    /// Time spent in the core, by node and kind of input.
    pub input_costs: BTreeMap<(usize, &'static str), (u64, Duration)>,
    node_processes: Vec<NodeProcess>,
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
    requesters: BTreeMap<(usize, RequestId), Requester>,
    responses: BTreeMap<u64, HttpResponse>,
    /// Jobs that were submitted.
    pub specs: BTreeMap<String, JobSpec>,
    /// Jobs that a user was told are cancelled, and when.
    pub cancelled: BTreeMap<String, Duration>,
    /// Nodes cut off from the state service, or from all workers.
    pub partitioned_from_store: BTreeSet<usize>,
    /// Nodes that no worker reaches.
    pub partitioned_from_workers: BTreeSet<usize>,
    /// Nodes that the other nodes do not reach, nor they them.
    pub partitioned_from_peers: BTreeSet<usize>,
    /// Machines that no packet reaches or leaves.
    pub partitioned_machines: BTreeSet<String>,
    /// Machines to which direct orders are held back until this time.
    pub delayed_orders_until: BTreeMap<String, Duration>,
    /// Machines whose reports are held back until this time, unanswered.
    pub delayed_reports_until: BTreeMap<String, Duration>,
    /// Machines that nothing reaches, while their own messages arrive.
    pub lost_inbound: BTreeSet<String>,
    /// Copies of these machines' reports come again this much later.
    pub duplicated_reports_after: BTreeMap<String, Duration>,
    /// Links between a node and a machine that carry nothing.
    pub partitioned_links: BTreeSet<(usize, String)>,
    /// Nodes that hear of no change: their renewals are lost, their watches silent and
    /// their peers out of reach, while their transactions pass.
    pub nodes_without_updates: BTreeSet<usize>,
    /// Transactions of these nodes take until this time, and are then answered.
    pub slow_txns_until: BTreeMap<usize, Duration>,
    /// Transactions of these nodes are held back until a time, unanswered.
    pub timed_out_txns_until: BTreeMap<usize, Duration>,
    /// Steps from one look at the rules to the next; a large fleet takes long to look at.
    pub steps_per_check: u32,
    steps: u32,
    /// Direct orders under way by node, and the most that one had at a time.
    open_direct_calls: BTreeMap<usize, usize>,
    /// The most direct orders that a node had under way.
    pub peak_direct_calls: usize,
    /// So many renewals of leases are lost.
    pub renewals_to_lose: u32,
    /// Lists of keys with this prefix are answered at this time.
    pub delayed_lists_until: Option<(&'static str, Duration)>,
    /// Nodes whose watches hang while all their other calls pass.
    pub hung_watches: BTreeSet<usize>,
    /// What these nodes read, compare and write in the store is carried out at once and answered
    /// at this time.
    pub delayed_responses_until: BTreeMap<usize, Duration>,
    /// Transactions of these nodes are carried out at once, and only their answers are lost.
    pub lost_txn_responses: BTreeSet<usize>,
    /// Transactions that were carried out although their answers were lost.
    pub commits_without_response: u32,
    /// Machines to and from which packets are held back.
    pub interruptions: BTreeMap<String, NetworkInterruption>,
    /// Machines whose reports reach no controller, while commands reach them.
    pub lost_reports: BTreeSet<String>,
    /// Machines that hang until this time: nothing runs, nothing is sent or taken.
    pub frozen_until: BTreeMap<String, Duration>,
    /// A copy of each report is kept, and comes to every node so long after another one leads.
    pub replay_reports_after: Option<Duration>,
    recorded_reports: Vec<(String, Report)>,
    /// Reports that came to a new leader from before its time.
    pub replayed_reports: u64,
    last_leader: Option<(usize, u64)>,
    /// Tokens under which any node ever led, and whether two did at a time.
    pub terms: BTreeSet<u64>,
    /// Two nodes held that they led at a time.
    pub had_two_leaders: bool,
    /// What users were told.
    pub checker: Checker,
    /// Tasks that began after their job's cancellation was confirmed.
    pub starts_after_cancel: u64,
    /// Transactions that were applied after their caller had given them up.
    pub late_commits: u32,
    /// Rentals are carried out, but their answers are lost.
    pub lose_rental_responses: bool,
    /// How long a rented machine takes to come up.
    pub boot_time: Duration,
    /// How long a task runs on a machine that comes up.
    pub task_duration_s: f64,
    /// Tasks that failed on machines that fail all.
    pub failed_tasks: u64,
    /// Tasks that ever began to run.
    pub started_tasks: u64,
    /// Reports handed from one node to another, and those of them with all their tasks.
    pub relayed_reports: u64,
    /// Reports handed on with all their tasks.
    pub relayed_full_reports: u64,
    /// Answers to relayed reports come at this time.
    pub delayed_relay_responses_until: Option<Duration>,
    /// How busy the nodes' processors are, and how late their ticks come.
    pub processor_load: BTreeMap<usize, (f64, Duration)>,
    running_on: BTreeMap<String, BTreeSet<String>>,
}

impl Simulation {
    /// Three nodes, and `machines` ordinary machines that are up.
    pub fn new(machines: usize) -> Simulation {
        Simulation::with_policy(machines, Policy::default(), &["a"])
    }

    /// Three nodes with a policy, and ordinary machines that are up in these zones.
    pub fn with_policy(machines: usize, policy: Policy, zones: &[&str]) -> Simulation {
        Simulation::with_facts(facts(0, 3), machines, policy, zones)
    }

    /// A deployment of three nodes with the given facts.
    pub fn with_facts(facts: Facts, machines: usize, policy: Policy, zones: &[&str]) -> Simulation {
        let mut simulation = Simulation {
            start: Instant::now(),
            now: Duration::from_secs(1),
            facts,
            facts_overrides: BTreeMap::new(),
            policy_overrides: BTreeMap::new(),
            input_costs: BTreeMap::new(),
            node_processes: Vec::new(),
            policy,
            store: Store::new(),
            cloud: Cloud::new(zones),
            workers: BTreeMap::new(),
            events: BTreeMap::new(),
            serial: 0,
            watches: Vec::new(),
            requesters: BTreeMap::new(),
            responses: BTreeMap::new(),
            specs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            partitioned_from_store: BTreeSet::new(),
            partitioned_from_workers: BTreeSet::new(),
            partitioned_from_peers: BTreeSet::new(),
            partitioned_machines: BTreeSet::new(),
            delayed_orders_until: BTreeMap::new(),
            delayed_reports_until: BTreeMap::new(),
            lost_inbound: BTreeSet::new(),
            duplicated_reports_after: BTreeMap::new(),
            partitioned_links: BTreeSet::new(),
            nodes_without_updates: BTreeSet::new(),
            slow_txns_until: BTreeMap::new(),
            timed_out_txns_until: BTreeMap::new(),
            steps_per_check: 1,
            steps: 0,
            open_direct_calls: BTreeMap::new(),
            peak_direct_calls: 0,
            renewals_to_lose: 0,
            delayed_lists_until: None,
            hung_watches: BTreeSet::new(),
            delayed_responses_until: BTreeMap::new(),
            lost_txn_responses: BTreeSet::new(),
            commits_without_response: 0,
            interruptions: BTreeMap::new(),
            lost_reports: BTreeSet::new(),
            frozen_until: BTreeMap::new(),
            replay_reports_after: None,
            recorded_reports: Vec::new(),
            replayed_reports: 0,
            last_leader: None,
            terms: BTreeSet::new(),
            had_two_leaders: false,
            checker: Checker::default(),
            starts_after_cancel: 0,
            late_commits: 0,
            lose_rental_responses: false,
            boot_time: Duration::from_secs(10),
            task_duration_s: 10.0,
            failed_tasks: 0,
            started_tasks: 0,
            relayed_reports: 0,
            relayed_full_reports: 0,
            delayed_relay_responses_until: None,
            processor_load: BTreeMap::new(),
            running_on: BTreeMap::new(),
        };
        for n in 0..machines {
            let zone = zones[n % zones.len()];
            let name = simulation.cloud.add_machine(simulation.now, zone, false);
            simulation.boot_machine(&name);
        }
        for _ in 0..3 {
            simulation.node_processes.push(NodeProcess { node: None, incarnation: 0, next_tick: simulation.now });
        }
        (0..3).for_each(|n| simulation.start_node(n));
        simulation
    }

    /// Starts a node's process.
    pub fn start_node(&mut self, n: usize) {
        self.serial += 1;
        let incarnation = self.serial;
        let label = |n: usize| format!("node-{n}");
        let peers = (0..3).filter(|other| *other != n).map(label).collect();
        let told = self.facts_overrides.get(&n).unwrap_or(&self.facts).clone();
        let facts = Facts { label: label(n), peers, ..told };
        let policy = self.policy_overrides.get(&n).unwrap_or(&self.policy).clone();
        let node = Node::new(facts, policy, incarnation, self.clock());
        self.node_processes[n] = NodeProcess { node: Some(node), incarnation, next_tick: self.now };
    }

    /// The process ends; what it had sent is still under way.
    pub fn crash_node(&mut self, n: usize) {
        self.open_direct_calls.remove(&n);
        self.node_processes[n].node = None;
        self.watches.retain(|w| w.node != n);
        self.requesters.retain(|(node, _), _| *node != n);
    }

    fn clock(&self) -> Now {
        Now { steady: self.start + self.now, wall_ms: 1_700_000_000_000 + self.now.as_millis() as u64 }
    }

    /// The node that leads under the highest token.
    pub fn leader(&self) -> Option<usize> {
        let leads =
            (0..self.node_processes.len()).filter_map(|n| Some((self.node_processes[n].node.as_ref()?.token()?, n)));
        leads.max().map(|(_, n)| n)
    }

    /// Whether a node's process runs.
    pub fn is_node_running(&self, n: usize) -> bool {
        self.node_processes[n].node.is_some()
    }

    /// The token under which a node leads.
    pub fn leader_token(&self, n: usize) -> Option<u64> {
        self.node_processes[n].node.as_ref()?.token()
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    fn deliver(&mut self, n: usize, input: Input) {
        let now = self.clock();
        let Some(node) = &mut self.node_processes[n].node else {
            return;
        };
        let kind = kind_of(&input);
        let began = Instant::now();
        let outputs = node.handle(now, input);
        let spent = self.input_costs.entry((n, kind)).or_default();
        *spent = (spent.0 + 1, spent.1 + began.elapsed());
        for output in outputs {
            self.dispatch_output(n, output);
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
                self.process_event(event);
            }
            self.advance_watches();
            for n in 0..self.node_processes.len() {
                if self.node_processes[n].next_tick <= self.now {
                    self.node_processes[n].next_tick = self.now + Duration::from_millis(50);
                    if let Some((share, late)) = self.processor_load.get(&n).copied() {
                        self.deliver(n, Input::ProcessorLoad { share, tick_delay: late });
                    }
                    self.deliver(n, Input::Tick);
                }
            }
            self.boot_due_machines();
            self.advance_workers();
            self.observe_leaders();
            self.steps += 1;
            if self.steps.is_multiple_of(self.steps_per_check) {
                self.check_invariants();
            }
        }
    }

    fn advance_watches(&mut self) {
        self.store.expire_leases(self.now);
        let now = self.now;
        let mut due = Vec::new();
        self.watches.retain(|watch| {
            if now > watch.until + WATCH_SLACK {
                due.push((watch.node, watch.incarnation, watch.call, Outcome::Unknown));
                return false;
            }
            let waits = [&self.partitioned_from_store, &self.nodes_without_updates, &self.hung_watches]
                .into_iter()
                .any(|n| n.contains(&watch.node));
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
            self.schedule(now + HOP, Event::ToNode { node, incarnation, input });
        }
    }

    /// Notes who leads, and gives a new leader the reports that were kept for it.
    fn observe_leaders(&mut self) {
        let tokens: Vec<u64> = (0..self.node_processes.len()).filter_map(|n| self.leader_token(n)).collect();
        self.had_two_leaders |= tokens.len() > 1;
        self.terms.extend(tokens);
        let leader = self.leader().and_then(|n| Some((n, self.leader_token(n)?)));
        if leader.is_none() || leader == self.last_leader {
            return;
        }
        let first = self.last_leader.is_none();
        let at = self.now + HOP + self.replay_reports_after.unwrap_or_default();
        self.last_leader = leader;
        for (machine, report) in std::mem::take(&mut self.recorded_reports).into_iter().filter(|_| !first) {
            self.replayed_reports += 1;
            for node in 0..self.node_processes.len() {
                let report = Box::new(report.clone());
                self.schedule(at, Event::Report { node, machine: machine.clone(), id: 0, report });
            }
        }
    }

    /// Ends all troubles.
    pub fn clear_faults(&mut self) {
        self.partitioned_from_store.clear();
        self.partitioned_from_workers.clear();
        self.partitioned_from_peers.clear();
        self.partitioned_machines.clear();
        self.delayed_orders_until.clear();
        self.delayed_reports_until.clear();
        self.lost_inbound.clear();
        self.duplicated_reports_after.clear();
        self.partitioned_links.clear();
        self.nodes_without_updates.clear();
        self.slow_txns_until.clear();
        self.timed_out_txns_until.clear();
        self.delayed_lists_until = None;
        self.hung_watches.clear();
        self.lost_txn_responses.clear();
        self.delayed_responses_until.clear();
        self.interruptions.clear();
        self.lost_reports.clear();
        self.frozen_until.clear();
        self.replay_reports_after = None;
        self.recorded_reports.clear();
        self.delayed_relay_responses_until = None;
        self.renewals_to_lose = 0;
        self.lose_rental_responses = false;
        self.processor_load.clear();
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
