//! A node: routes inputs to its concerns and owns what they share.

mod machine_types;
mod peers;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use rushyoke_wire::cloud::MachineType;
use rushyoke_wire::worker::{Report, ReportRedirect};
use serde_json::value::RawValue;

use crate::calls::{ElectionCall, LoadCall, Purpose};
use crate::election::state::{Election, LEADER_KEY};
use crate::env::{Env, Now};
use crate::facts::{Facts, Policy};
use crate::fleet::ReportedTasks;
use crate::fleet::stop_statistics::PendingStops;
use crate::io::*;
use crate::relay::state::{Relaying, ReportOutcome, no_tasks};
use crate::term::Term;
use crate::users::state::UserRequests;
use peers::Peer;

/// A controller as a state machine.
pub struct Node {
    pub(crate) env: Env,
    pub(crate) election: Election,
    pub(crate) term: Option<Term>,
    pub(crate) users: UserRequests,
    pub(crate) store_health: StoreHealth,
    incarnation: u64,
    peers: BTreeMap<String, Peer>,
    types_asked: Option<Instant>,
    types_wait: bool,
    progress_sent: Option<Instant>,
    probed: Option<Instant>,
    pub(crate) relaying: Relaying,
    /// How much of its time the processor is busy.
    busy: f64,
    /// When this node last gave way since it seemed to be cut off.
    gave_way: Option<Instant>,
}

/// How the state service has answered lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreHealth {
    pub last_ok: Option<Instant>,
    pub failing_since: Option<Instant>,
}

impl StoreHealth {
    fn note(&mut self, now: Instant, ok: bool) {
        if ok {
            self.last_ok = Some(now);
            self.failing_since = None;
        } else if self.failing_since.is_none() {
            self.failing_since = Some(now);
        }
    }

    /// Whether calls have failed for long enough to turn users away at once. Calls that hang
    /// fail late: what counts then is how long ago one was answered.
    pub fn is_down(&self, now: Instant) -> bool {
        let long = |since: Option<Instant>, limit| since.is_some_and(|t| now.duration_since(t) > limit);
        self.failing_since.is_some() && (long(self.failing_since, DOWN) || long(self.last_ok, UNANSWERED))
    }
}

const DOWN: Duration = Duration::from_millis(1500);
const UNANSWERED: Duration = Duration::from_millis(2000);
const PEER_PERIOD: Duration = Duration::from_millis(2000);
const PROBE_PERIOD: Duration = Duration::from_millis(300);
const TYPES_PERIOD: Duration = Duration::from_secs(30);
const TYPES_RETRY: Duration = Duration::from_secs(2);
const TYPES_KEY: &str = "types";
/// A leader that is busy for more of its time than this sends workers to other nodes.
const BUSY: f64 = 0.5;
/// How long a node that gave way lets the others compete first, and that for which the others are likely
/// out of reach.
pub(crate) const REST: Duration = Duration::from_secs(6);
const SHORT_REST: Duration = Duration::from_millis(1500);
/// A node that gave way and leads again soon after is not cut off: the others are.
const GAVE_WAY_LATELY: Duration = Duration::from_secs(60);
/// If these are less busy by so many percent.
const MUCH_LESS: f64 = 15.0;

impl Node {
    /// A node at its start; the seed names this process among all that ever run on it.
    pub fn new(facts: Facts, policy: Policy, seed: u64, now: Now) -> Node {
        let peers = facts.peers.iter().map(|label| (label.clone(), Peer::default())).collect();
        Node {
            election: Election::new(facts.label.clone(), seed),
            env: Env {
                now,
                facts: Arc::new(facts),
                policy: Arc::new(policy),
                rng: StdRng::seed_from_u64(seed),
                machine_types: Arc::new(Vec::new()),
                outputs: Vec::new(),
                calls: HashMap::new(),
                next_call: 0,
            },
            term: None,
            users: UserRequests::default(),
            store_health: StoreHealth::default(),
            incarnation: seed,
            peers,
            types_asked: None,
            types_wait: false,
            progress_sent: None,
            probed: None,
            relaying: Relaying::default(),
            busy: 0.0,
            gave_way: None,
        }
    }

    /// The token with which this node acts, if it leads.
    pub fn token(&self) -> Option<u64> {
        self.term.as_ref().map(|r| r.token)
    }

    /// What of cancelled jobs still has places, if this node leads.
    pub fn pending_stops(&self, now: Instant) -> Option<PendingStops> {
        self.term.as_ref().map(|term| term.pending_stops(now))
    }

    /// Takes one input; returns what is to be sent and answered.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.env.now = now;
        match input {
            Input::Submit { request_id, spec } => self.submit(request_id, *spec),
            Input::Status { request_id, id } => self.status(request_id, id),
            Input::Cancel { request_id, id } => self.cancel(request_id, id),
            Input::Ready { request_id } => self.ready(request_id),
            Input::Report { request_id, report, unparsed_tasks } => self.report(request_id, *report, unparsed_tasks),
            Input::Peer { request_id, request } => self.peer_requested(request_id, request),
            Input::Store { call, outcome } => self.store_outcome(call, outcome),
            Input::Cloud { call, outcome } => self.cloud_outcome(call, outcome),
            Input::OrderResponse { call, outcome } => self.ordered(call, outcome),
            Input::PeerResponse { label, outcome } => self.peer_responded(&label, outcome),
            Input::Relay { request_id, relay } => self.relay_requested(request_id, relay),
            Input::RelayResponse { call, outcome } => self.relay_responded(call, outcome),
            Input::ProcessorLoad { share, tick_delay } => {
                self.busy = share;
                if let Some(term) = &mut self.term {
                    term.adjust_direct_call_rate(tick_delay, &self.env);
                }
            }
            Input::Tick => self.tick(),
        }
        if let Some(term) = &mut self.term {
            term.run_due_work(&mut self.env);
        }
        std::mem::take(&mut self.env.outputs)
    }

    fn tick(&mut self) {
        self.election_tick();
        self.probe_store();
        self.expire_user_requests();
        self.types_tick();
        self.peers_tick();
        self.relay_tick();
        let controllers = self.controllers_seen();
        if let Some(term) = &mut self.term {
            term.controllers = controllers;
            term.tick(&mut self.env);
            // While the store is silent workers are turned away on purpose, and no other
            // node could take over.
            if term.partitioned && !self.store_health.is_down(self.env.now.steady) {
                self.step_down("hardly any worker reaches this node");
                self.election.rest(self.env.now.steady, REST);
            } else if term.in_minority && !self.store_health.is_down(self.env.now.steady) {
                // If no other can lead, this node is back before its workers' leases end.
                self.gave_way = Some(self.env.steady());
                self.step_down("most machines and all other controllers are out of reach");
                self.election.rest(self.env.now.steady, SHORT_REST);
            }
        }
    }

    fn store_outcome(&mut self, call: CallId, outcome: Outcome<StoreResponse>) {
        let ok = !matches!(
            outcome,
            Outcome::NotExecuted
                | Outcome::Unknown
                | Outcome::Responded(StoreResponse::Unavailable | StoreResponse::RateLimited)
        );
        let Some(purpose) = self.env.calls.remove(&call) else {
            return;
        };
        if !matches!(purpose, Purpose::Election(ElectionCall::Watch) | Purpose::Load(LoadCall::Watch { .. })) || ok {
            self.store_health.note(self.env.steady(), ok);
        }
        match purpose {
            Purpose::Election(leader) => self.election_outcome(leader, outcome),
            Purpose::User(user) => self.user_call_outcome(user, outcome),
            Purpose::Load(load) => {
                if let Some(term) = &mut self.term {
                    term.load_outcome(&mut self.env, load, outcome);
                }
            }
            Purpose::Record(record) => {
                if let Some(term) = &mut self.term
                    && term.record_outcome(&mut self.env, record, outcome)
                {
                    self.step_down("a write was refused: another node leads");
                }
            }
            Purpose::ReadTypes => {
                if let Outcome::Responded(StoreResponse::Item(Some(item))) = outcome
                    && self.env.machine_types.is_empty()
                    && let Ok(types) = serde_json::from_value::<Vec<MachineType>>(item.value)
                {
                    self.env.machine_types = Arc::new(types);
                }
            }
            Purpose::Probe
            | Purpose::WriteTypes
            | Purpose::Types
            | Purpose::Rent(_)
            | Purpose::Order { .. }
            | Purpose::Relay => {}
        }
    }

    /// While the store is silent users are turned away at once, and a node that follows
    /// makes no other calls: it would not notice that the store is back.
    fn probe_store(&mut self) {
        let now = self.env.steady();
        if self.store_health.is_down(now) && self.probed.is_none_or(|t| now.duration_since(t) >= PROBE_PERIOD) {
            self.probed = Some(now);
            self.env.call_store(Purpose::Probe, Urgency::Leadership, StoreOp::Get(LEADER_KEY.into()));
        }
    }

    fn cloud_outcome(&mut self, call: CallId, outcome: Outcome<CloudResponse>) {
        match self.env.calls.remove(&call) {
            Some(Purpose::Types) => {
                self.types_wait = false;
                if let Outcome::Responded(CloudResponse::Types(types)) = outcome
                    && !types.is_empty()
                {
                    self.keep_types(types);
                }
            }
            Some(Purpose::Rent(rent)) => {
                if let Some(term) = &mut self.term {
                    term.cloud_call_outcome(&mut self.env, rent, outcome);
                }
            }
            _ => {}
        }
    }

    // Peers.

    fn ready(&mut self, request_id: RequestId) {
        let now = self.env.steady();
        // A node that alone has lost the state service sends its users elsewhere. While
        // all have lost it, staying in the load balancer saves the time to get back in.
        let peer_has_store = self.peers.values().any(|p| {
            p.told.as_ref().is_some_and(|(asked, response)| {
                response.store_ok && now.duration_since(*asked) < Duration::from_secs(4)
            })
        });
        let answer = if self.env.machine_types.is_empty() {
            HttpResponse::later(503, "machine types are not known yet")
        } else if self.store_health.last_ok.is_none() || (self.store_health.is_down(now) && peer_has_store) {
            HttpResponse::later(503, "the state service does not answer this node")
        } else {
            HttpResponse::json(200, &serde_json::json!({ "ready": true }))
        };
        self.env.respond(request_id, answer);
    }

    // Workers.

    pub(crate) fn report(&mut self, request_id: RequestId, report: Report, unread: Option<Box<RawValue>>) {
        let unread = unread.unwrap_or_else(no_tasks);
        self.election.worker_seen = Some(self.env.steady());
        if let Some(term) = &mut self.term {
            term.last_direct_report = self.env.now.steady;
        }
        if let Some(answer) = self.hand_over() {
            self.env.respond(request_id, answer);
            return;
        }
        match self.answer_report(report, ReportedTasks::Raw(&unread)) {
            ReportOutcome::Response(answer) => self.env.respond(request_id, answer),
            ReportOutcome::TasksNeeded => unreachable!("its tasks are there"),
            ReportOutcome::NotLeader(report) => {
                if !self.relay(request_id, report, unread) {
                    let report_to = self.where_to();
                    self.env.respond(request_id, HttpResponse::json(421, &ReportRedirect { report_to }));
                }
            }
        }
    }

    /// The leader's answer to a report, be it the worker's own call or handed on.
    pub(crate) fn answer_report(&mut self, report: Report, tasks: ReportedTasks) -> ReportOutcome {
        let Some(term) = &mut self.term else {
            return ReportOutcome::NotLeader(report);
        };
        if report.token > term.token {
            self.step_down("a worker has seen a higher token");
            return ReportOutcome::NotLeader(report);
        }
        let (now, facts) = (self.env.now.steady, &self.env.facts);
        let entitled = term.cancellations_are_current(now, facts) && self.election.entitled(now, facts);
        term.note_reporting_right(now, entitled);
        if !entitled {
            // Silent for too long: a new leader counts on our saying nothing more, and so does
            // whoever cancelled a job of which this node cannot have heard.
            return ReportOutcome::Response(HttpResponse::later(503, "the state service does not answer"));
        }
        term.handle_report(&mut self.env, report, tasks).map_or(ReportOutcome::TasksNeeded, ReportOutcome::Response)
    }

    fn ordered(&mut self, call: CallId, outcome: Outcome<(u16, Report)>) {
        let Some(Purpose::Order { machine }) = self.env.calls.remove(&call) else {
            return;
        };
        let Some(term) = &mut self.term else { return };
        if let Outcome::Responded((_, report)) = &outcome
            && report.token > term.token
        {
            self.step_down("a worker has seen a higher token");
            return;
        }
        term.direct_call_finished(&mut self.env, &machine, outcome);
    }

    // Reigns.

    pub(crate) fn begin_term(&mut self, token: u64) {
        let facts = &self.env.facts;
        tracing::info!(token, "leading from now on");
        let silent = self.env.steady() + facts.self_fencing_timeout();
        let mut term = Term::new(token, self.env.steady(), silent, facts, &self.env.policy);
        term.start_loading(&mut self.env);
        self.term = Some(term);
        // The peers are asked at once whether an earlier leader still acts.
        self.progress_sent = None;
    }

    pub(crate) fn step_down(&mut self, why: &str) {
        if let Some(term) = self.term.take() {
            tracing::info!(token = term.token, why, "stepping down");
        }
        self.env.calls.retain(|_, purpose| !purpose.belongs_to_term());
        self.election_lost();
    }
}
