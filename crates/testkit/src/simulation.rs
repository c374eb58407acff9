//! The simulation: controllers, state service, cloud, workers and users under one simulated clock.

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

/// Simulated time between two steps.
const STEP: Duration = Duration::from_millis(10);
/// One-way latency of a message.
const NETWORK_LATENCY: Duration = Duration::from_millis(3);
/// Time for which the caller of a watch still waits for the response after the watch should have ended.
const WATCH_TIMEOUT_SLACK: Duration = Duration::from_millis(1500);

/// Something that happens at a scheduled time.
enum Event {
    /// A node receives an input, unless its process was restarted in between.
    ToNode { node: usize, incarnation: u64, input: Box<Input> },
    /// The state service executes an operation; `reply` says whether the response is delivered.
    Store { node: usize, incarnation: u64, call: CallId, op: StoreOp, reply: bool },
    /// The cloud executes an operation.
    Cloud { node: usize, incarnation: u64, call: CallId, op: CloudOp, reply: bool },
    /// A machine receives the orders of a direct call.
    Order { node: usize, incarnation: u64, call: CallId, machine: String, orders: Orders, reply: bool },
    /// A machine receives a copy of the orders of a direct call that it has answered before.
    OrderCopy { machine: String, copy: OrderCopy },
    /// A node receives a worker's report. The `id` is 0 for a copy, whose response is dropped.
    Report { node: usize, machine: String, id: u64, report: Box<Report> },
    /// A worker receives the response to its report.
    ReportResponse { machine: String, id: u64, response: HttpResponse },
}

/// A copy of a direct call.
#[derive(Clone)]
struct OrderCopy {
    orders: Orders,
    /// When the call itself was carried out.
    executed_at: Duration,
}

/// An open watch of a node.
struct Watch {
    node: usize,
    incarnation: u64,
    call: CallId,
    prefix: String,
    after: u64,
    until: Duration,
}

/// The process of one node; `node` is `None` while it is stopped.
struct NodeProcess {
    node: Option<Node>,
    incarnation: u64,
    next_tick: Duration,
}

/// Who waits for the response to a request that a node received.
enum Requester {
    User(u64, UserRequest),
    Worker { machine: String, id: u64 },
    Peer { node: usize, incarnation: u64 },
    Relay { node: usize, incarnation: u64, call: CallId },
}

/// Controllers, state service, cloud, workers and users under one simulated clock.
///
/// Faults are injected by setting the public fields; [`Simulation::clear_faults`] ends them.
pub struct Simulation {
    start: Instant,
    /// Simulated time since the start.
    pub now: Duration,
    /// The facts of the deployment. Each node replaces the label and the peers by its own.
    facts: Facts,
    /// Facts by node that replace the deployment's facts at the node's next start, as during a rollout of settings.
    pub facts_overrides: BTreeMap<usize, Facts>,
    /// Policies by node that replace the common policy at the node's next start, as during a rollout of a version.
    pub policy_overrides: BTreeMap<usize, Policy>,
    /// Number of inputs that the core handled and the real time spent on them, by node and kind of input.
    pub input_costs: BTreeMap<(usize, &'static str), (u64, Duration)>,
    node_processes: Vec<NodeProcess>,
    policy: Policy,
    /// The fake state service.
    pub store: Store,
    /// The fake cloud.
    pub cloud: Cloud,
    /// The fake workers, by machine.
    pub workers: BTreeMap<String, Worker>,
    events: BTreeMap<(Duration, u64), Event>,
    /// Last number given to an event, a request or a process.
    serial: u64,
    watches: Vec<Watch>,
    requesters: BTreeMap<(usize, RequestId), Requester>,
    responses: BTreeMap<u64, HttpResponse>,
    /// Specifications of the jobs that were submitted.
    pub specs: BTreeMap<String, JobSpec>,
    /// Jobs whose cancellation was confirmed to a user, with the time of the confirmation.
    pub cancelled: BTreeMap<String, Duration>,
    /// Nodes whose calls to the state service are refused as unavailable.
    pub partitioned_from_store: BTreeSet<usize>,
    /// Nodes that neither reach a worker nor are reached by one.
    pub partitioned_from_workers: BTreeSet<usize>,
    /// Nodes that neither reach another node nor are reached by one.
    pub partitioned_from_peers: BTreeSet<usize>,
    /// Machines whose messages are lost in both directions.
    pub partitioned_machines: BTreeSet<String>,
    /// Time at which direct calls arrive at these machines; their callers have given them up by then.
    pub delayed_orders_until: BTreeMap<String, Duration>,
    /// Delays after which copies of each direct call that these machines answered arrive there again. Nobody waits
    /// for the responses to the copies.
    pub copied_orders_after: BTreeMap<String, Vec<Duration>>,
    /// Whether direct calls with starts that a worker has answered are recorded, to be delivered again.
    pub record_starts: bool,
    recorded_starts: Vec<(String, OrderCopy)>,
    /// Number of copies of direct calls that arrived at a worker.
    pub order_copies: u64,
    /// Number of attempts that such copies started.
    pub starts_by_copies: u64,
    /// Number of copies that were withheld from a worker that had restarted and accepted no message since: nothing that
    /// a controller could send before would keep it from carrying them out.
    pub copies_before_first_message: u64,
    /// Time at which the reports of these machines arrive; the workers have given them up by then.
    pub delayed_reports_until: BTreeMap<String, Duration>,
    /// Machines that receive no message, while the messages they send arrive.
    pub lost_inbound: BTreeSet<String>,
    /// Delay after which copies of these machines' reports arrive at every node.
    pub duplicated_reports_after: BTreeMap<String, Duration>,
    /// Links between a node and a machine on which all messages are lost.
    pub partitioned_links: BTreeSet<(usize, String)>,
    /// Nodes of an earlier version, which promise nothing about the tokens with which they act.
    pub peers_without_promise: BTreeSet<usize>,
    /// Nodes that learn of no change: their lease renewals are lost, their watches return nothing and
    /// their peers are out of reach, while their transactions are executed.
    pub nodes_without_updates: BTreeSet<usize>,
    /// Time at which the transactions of these nodes are executed and responded to.
    pub slow_txns_until: BTreeMap<usize, Duration>,
    /// Time at which the transactions of these nodes are executed, after they timed out for the caller.
    pub timed_out_txns_until: BTreeMap<usize, Duration>,
    /// Steps between two checks of the invariants. A check takes long for a large fleet.
    pub steps_per_check: u32,
    steps: u32,
    /// Number of direct calls in flight, by node.
    open_direct_calls: BTreeMap<usize, usize>,
    /// Largest number of direct calls that one node had in flight.
    pub peak_direct_calls: usize,
    /// Number of lease renewals at the state service that are still to be lost.
    pub renewals_to_lose: u32,
    /// Prefix of the list operations that are executed late, and the time at which they are.
    pub delayed_lists_until: Option<(&'static str, Duration)>,
    /// Nodes whose watches hang, while all their other calls are executed.
    pub hung_watches: BTreeSet<usize>,
    /// Time at which the responses to these nodes' reads and transactions arrive; they are executed
    /// at once.
    pub delayed_responses_until: BTreeMap<usize, Duration>,
    /// Delay of the state service's responses to these nodes, except for watches. The calls are executed at once.
    pub store_response_delay: BTreeMap<usize, Duration>,
    /// Nodes whose transactions are executed at once, while the responses are lost.
    pub lost_txn_responses: BTreeSet<usize>,
    /// Number of transactions that were committed although their responses were lost.
    pub commits_without_response: u32,
    /// Machines whose network is interrupted.
    pub interruptions: BTreeMap<String, NetworkInterruption>,
    /// Machines whose reports are lost, while they receive direct calls.
    pub lost_reports: BTreeSet<String>,
    /// Time until which these machines are frozen: nothing runs, and nothing is sent or received.
    pub frozen_until: BTreeMap<String, Duration>,
    /// If set, each report is recorded and replayed to every node this long after the leader changes.
    pub replay_reports_after: Option<Duration>,
    recorded_reports: Vec<(String, Report)>,
    /// Number of recorded reports that were replayed after a change of leader.
    pub replayed_reports: u64,
    last_leader: Option<(usize, u64)>,
    /// Fencing tokens of all terms in which a node has led.
    pub terms: BTreeSet<u64>,
    /// Whether two nodes ever considered themselves the leader at the same time.
    pub had_two_leaders: bool,
    /// Checks the responses that users receive.
    pub checker: Checker,
    /// Number of tasks that started after the cancellation of their job was confirmed.
    pub starts_after_cancel: u64,
    /// Number of transactions that were committed after they timed out for the caller.
    pub late_commits: u32,
    /// Whether the responses to rentals are lost, while the rentals are executed.
    pub lose_rental_responses: bool,
    /// Time that a rented machine takes to boot.
    pub boot_time: Duration,
    /// Duration of tasks, in seconds, on machines that boot from now on.
    pub task_duration_s: f64,
    /// Number of tasks that failed on machines that fail all tasks.
    pub failed_tasks: u64,
    /// Number of task starts.
    pub started_tasks: u64,
    /// Number of reports that a node relayed to another one.
    pub relayed_reports: u64,
    /// Number of reports that were relayed with the full list of tasks.
    pub relayed_full_reports: u64,
    /// Time at which the responses to relayed reports arrive.
    pub delayed_relay_responses_until: Option<Duration>,
    /// Processor load of nodes, as a share, and the delay of their ticks.
    pub processor_load: BTreeMap<usize, (f64, Duration)>,
    /// Machines on which each task runs.
    running_on: BTreeMap<String, BTreeSet<String>>,
}

impl Simulation {
    /// Starts three nodes and `machines` booted on-demand machines in one zone, with the default policy.
    pub fn new(machines: usize) -> Simulation {
        Simulation::with_policy(machines, Policy::default(), &["a"])
    }

    /// Starts three nodes with a policy, and booted on-demand machines spread over the zones.
    pub fn with_policy(machines: usize, policy: Policy, zones: &[&str]) -> Simulation {
        Simulation::with_facts(facts(0, 3), machines, policy, zones)
    }

    /// Starts three nodes with the given facts and policy, and booted on-demand machines spread over the zones.
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
            copied_orders_after: BTreeMap::new(),
            record_starts: false,
            recorded_starts: Vec::new(),
            order_copies: 0,
            starts_by_copies: 0,
            copies_before_first_message: 0,
            delayed_reports_until: BTreeMap::new(),
            lost_inbound: BTreeSet::new(),
            duplicated_reports_after: BTreeMap::new(),
            partitioned_links: BTreeSet::new(),
            peers_without_promise: BTreeSet::new(),
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
            store_response_delay: BTreeMap::new(),
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
        (0..3).for_each(|node| simulation.start_node(node));
        simulation
    }

    /// Starts a node's process.
    pub fn start_node(&mut self, node: usize) {
        self.serial += 1;
        let incarnation = self.serial;
        let label = |n: usize| format!("node-{n}");
        let peers = (0..3).filter(|other| *other != node).map(label).collect();
        let base = self.facts_overrides.get(&node).unwrap_or(&self.facts).clone();
        let facts = Facts { label: label(node), peers, ..base };
        let policy = self.policy_overrides.get(&node).unwrap_or(&self.policy).clone();
        let started_node = Node::new(facts, policy, incarnation, self.clock());
        self.node_processes[node] = NodeProcess { node: Some(started_node), incarnation, next_tick: self.now };
    }

    /// Stops a node's process. Messages that it has sent stay in flight.
    pub fn crash_node(&mut self, node: usize) {
        self.open_direct_calls.remove(&node);
        self.node_processes[node].node = None;
        self.watches.retain(|watch| watch.node != node);
        self.requesters.retain(|(receiver, _), _| *receiver != node);
    }

    /// Returns the simulated time, as the nodes' clocks show it.
    fn clock(&self) -> Now {
        Now { steady: self.start + self.now, wall_ms: 1_700_000_000_000 + self.now.as_millis() as u64 }
    }

    /// Returns the leader; of several, the one with the highest fencing token.
    pub fn leader(&self) -> Option<usize> {
        let leaders = (0..self.node_processes.len())
            .filter_map(|node| Some((self.node_processes[node].node.as_ref()?.token()?, node)));
        leaders.max().map(|(_, node)| node)
    }

    /// Whether a node's process is running.
    pub fn is_node_running(&self, node: usize) -> bool {
        self.node_processes[node].node.is_some()
    }

    /// Returns a node's fencing token, if the node leads.
    pub fn leader_token(&self, node: usize) -> Option<u64> {
        self.node_processes[node].node.as_ref()?.token()
    }

    /// Schedules an event.
    fn schedule(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    /// Hands an input to a node and dispatches its outputs.
    fn deliver(&mut self, node: usize, input: Input) {
        let now = self.clock();
        let Some(receiver) = &mut self.node_processes[node].node else {
            return;
        };
        let kind = input_kind(&input);
        let began = Instant::now();
        let outputs = receiver.handle(now, input);
        let spent = self.input_costs.entry((node, kind)).or_default();
        *spent = (spent.0 + 1, spent.1 + began.elapsed());
        for output in outputs {
            self.dispatch_output(node, output);
        }
    }

    /// Advances the simulated time by `time`, checking the invariants every `steps_per_check` steps.
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
            for node in 0..self.node_processes.len() {
                if self.node_processes[node].next_tick <= self.now {
                    self.node_processes[node].next_tick = self.now + Duration::from_millis(50);
                    if let Some((share, tick_delay)) = self.processor_load.get(&node).copied() {
                        self.deliver(node, Input::ProcessorLoad { share, tick_delay });
                    }
                    self.deliver(node, Input::Tick);
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

    /// Expires leases of the state service, and completes the watches that have changes or have ended.
    fn advance_watches(&mut self) {
        self.store.expire_leases(self.now);
        let now = self.now;
        let mut due = Vec::new();
        self.watches.retain(|watch| {
            if now > watch.until + WATCH_TIMEOUT_SLACK {
                due.push((watch.node, watch.incarnation, watch.call, Outcome::Unknown));
                return false;
            }
            let is_blocked = [&self.partitioned_from_store, &self.nodes_without_updates, &self.hung_watches]
                .into_iter()
                .any(|nodes| nodes.contains(&watch.node));
            if is_blocked || self.store.outage {
                return true;
            }
            let response = self.store.watch(&watch.prefix, watch.after).or_else(|| {
                let no_changes = rushyoke_wire::store::Changes { revision: watch.after, events: Vec::new() };
                (watch.until <= now).then_some(StoreResponse::Changes(no_changes))
            });
            if let Some(response) = response {
                due.push((watch.node, watch.incarnation, watch.call, Outcome::Responded(response)));
                return false;
            }
            true
        });
        for (node, incarnation, call, outcome) in due {
            let input = Box::new(Input::Store { call, outcome });
            self.schedule(now + NETWORK_LATENCY, Event::ToNode { node, incarnation, input });
        }
    }

    /// Records which nodes lead, and replays the recorded reports when the leader has changed.
    fn observe_leaders(&mut self) {
        let tokens: Vec<u64> = (0..self.node_processes.len()).filter_map(|node| self.leader_token(node)).collect();
        self.had_two_leaders |= tokens.len() > 1;
        self.terms.extend(tokens);
        let leader = self.leader().and_then(|node| Some((node, self.leader_token(node)?)));
        if leader.is_none() || leader == self.last_leader {
            return;
        }
        let is_first_leader = self.last_leader.is_none();
        let at = self.now + NETWORK_LATENCY + self.replay_reports_after.unwrap_or_default();
        self.last_leader = leader;
        for (machine, report) in std::mem::take(&mut self.recorded_reports).into_iter().filter(|_| !is_first_leader) {
            self.replayed_reports += 1;
            for node in 0..self.node_processes.len() {
                let report = Box::new(report.clone());
                self.schedule(at, Event::Report { node, machine: machine.clone(), id: 0, report });
            }
        }
    }
}

/// Returns the name of an input's kind in `input_costs`.
fn input_kind(input: &Input) -> &'static str {
    match input {
        Input::Submit { .. } => "submit",
        Input::Status { .. } => "status",
        Input::Cancel { .. } => "cancel",
        Input::Ready { .. } => "ready",
        Input::Report { .. } => "report",
        Input::Peer { .. } => "peer",
        Input::Store { .. } => "store",
        Input::Cloud { .. } => "cloud",
        Input::OrderResponse { .. } => "order response",
        Input::PeerResponse { .. } => "peer response",
        Input::Relay { .. } => "relay",
        Input::RelayResponse { .. } => "relay response",
        Input::ProcessorLoad { .. } => "processor load",
        Input::Tick => "tick",
    }
}
