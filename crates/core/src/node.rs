//! A controller node: dispatches inputs to its components and owns the state that they share.

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
use crate::relay::state::{Relaying, ReportOutcome, empty_task_list};
use crate::term::Term;
use crate::users::state::UserRequests;
use peers::Peer;

/// A controller, as a state machine without I/O.
pub struct Node {
    pub(crate) env: Env,
    pub(crate) election: Election,
    pub(crate) term: Option<Term>,
    pub(crate) users: UserRequests,
    pub(crate) store_health: StoreHealth,
    /// Number that differs for each process that runs as this node.
    incarnation: u64,
    peers: BTreeMap<String, Peer>,
    types_requested_at: Option<Instant>,
    types_request_pending: bool,
    peer_requests_sent_at: Option<Instant>,
    store_probed_at: Option<Instant>,
    pub(crate) relaying: Relaying,
    /// Share of time for which the processor is busy, 0 to 1.
    busy_share: f64,
    /// When this node last stepped down because it seemed to be in a minority partition.
    minority_step_down_at: Option<Instant>,
}

/// Recent availability of the state service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreHealth {
    pub last_success_at: Option<Instant>,
    pub failing_since: Option<Instant>,
}

impl StoreHealth {
    /// Records whether a call succeeded.
    fn record(&mut self, now: Instant, ok: bool) {
        if ok {
            self.last_success_at = Some(now);
            self.failing_since = None;
        } else if self.failing_since.is_none() {
            self.failing_since = Some(now);
        }
    }

    /// Whether calls have failed for so long that users' requests are rejected at once. Calls that
    /// hang fail late, so the time since the last successful one counts as well.
    pub fn is_down(&self, now: Instant) -> bool {
        let longer_than = |since: Option<Instant>, limit| since.is_some_and(|at| now.duration_since(at) > limit);
        self.failing_since.is_some()
            && (longer_than(self.failing_since, MAX_FAILING_TIME)
                || longer_than(self.last_success_at, MAX_TIME_WITHOUT_SUCCESS))
    }
}

/// The state service counts as down once calls have failed for this long.
const MAX_FAILING_TIME: Duration = Duration::from_millis(1500);
/// The state service counts as down if calls fail and none has succeeded for this long.
const MAX_TIME_WITHOUT_SUCCESS: Duration = Duration::from_millis(2000);
/// Time between requests to the other controllers.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(2000);
/// Time between probes of the state service while it is down.
const STORE_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time between a leader's requests for the machine types.
const TYPES_REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Time between requests for the machine types while they are unknown.
const TYPES_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Key of the machine types in the state service.
const TYPES_KEY: &str = "types";
/// A leader redirects workers to other nodes if its processor is busy for at least this share of time.
const MIN_REDIRECT_BUSY_SHARE: f64 = 0.5;
/// How long a node that stepped down lets the others be candidates.
pub(crate) const CANDIDACY_PAUSE: Duration = Duration::from_secs(6);
/// The same for a node that stepped down because most machines and all other controllers are unreachable.
const SHORT_CANDIDACY_PAUSE: Duration = Duration::from_millis(1500);
/// A node that leads again within this time after stepping down isn't partitioned: the others are.
const RECENT_STEP_DOWN_AGE: Duration = Duration::from_secs(60);
/// A worker is redirected only to a node that is less busy by at least this many percentage points.
const MIN_REDIRECT_GAP_PERCENT: f64 = 15.0;

impl Node {
    /// Creates a node. The seed must differ for each process that ever runs as this node.
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
                last_call: 0,
            },
            term: None,
            users: UserRequests::default(),
            store_health: StoreHealth::default(),
            incarnation: seed,
            peers,
            types_requested_at: None,
            types_request_pending: false,
            peer_requests_sent_at: None,
            store_probed_at: None,
            relaying: Relaying::default(),
            busy_share: 0.0,
            minority_step_down_at: None,
        }
    }

    /// Returns this node's fencing token, if it leads.
    pub fn token(&self) -> Option<u64> {
        self.term.as_ref().map(|term| term.token)
    }

    /// Returns the cancelled tasks that still have placements, if this node leads.
    pub fn pending_stops(&self, now: Instant) -> Option<PendingStops> {
        self.term.as_ref().map(|term| term.pending_stops(now))
    }

    /// Handles one input and returns the resulting calls and responses.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.env.now = now;
        match input {
            Input::Submit { request_id, spec } => self.submit(request_id, *spec),
            Input::Status { request_id, id } => self.status(request_id, id),
            Input::Cancel { request_id, id } => self.cancel(request_id, id),
            Input::Ready { request_id } => self.readiness(request_id),
            Input::Report { request_id, report, unparsed_tasks } => {
                self.handle_report(request_id, *report, unparsed_tasks)
            }
            Input::Peer { request_id, request } => self.peer_requested(request_id, request),
            Input::Store { call, outcome } => self.store_outcome(call, outcome),
            Input::Cloud { call, outcome } => self.cloud_outcome(call, outcome),
            Input::OrderResponse { call, outcome } => self.order_outcome(call, outcome),
            Input::PeerResponse { label, outcome } => self.peer_responded(&label, outcome),
            Input::Relay { request_id, relay } => self.relay_requested(request_id, relay),
            Input::RelayResponse { call, outcome } => self.relay_responded(call, outcome),
            Input::ProcessorLoad { share, tick_delay } => {
                self.busy_share = share;
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

    /// Runs the periodic work of all components.
    fn tick(&mut self) {
        self.election_tick();
        self.probe_store();
        self.expire_user_requests();
        self.types_tick();
        self.peers_tick();
        self.relay_tick();
        let controllers = self.peer_controllers();
        if let Some(term) = &mut self.term {
            term.controllers = controllers;
            term.tick(&mut self.env);
            // While the state service is down, reports are rejected on purpose and no other node could
            // take over.
            if term.partitioned && !self.store_health.is_down(self.env.now.steady) {
                self.step_down("few workers can reach this node");
                self.election.delay_candidacy(self.env.now.steady, CANDIDACY_PAUSE);
            } else if term.in_minority && !self.store_health.is_down(self.env.now.steady) {
                // If no other node can lead, this one leads again before its workers' leases expire.
                self.minority_step_down_at = Some(self.env.steady());
                self.step_down("most machines and all other controllers are unreachable");
                self.election.delay_candidacy(self.env.now.steady, SHORT_CANDIDACY_PAUSE);
            }
        }
    }

    /// Passes the outcome of a call to the state service to the component that made it.
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
            self.store_health.record(self.env.steady(), ok);
        }
        match purpose {
            Purpose::Election(election_call) => self.election_outcome(election_call, outcome),
            Purpose::User(user_call) => self.user_call_outcome(user_call, outcome),
            Purpose::Load(load_call) => {
                if let Some(term) = &mut self.term {
                    term.load_outcome(&mut self.env, load_call, outcome);
                }
            }
            Purpose::Record(record_call) => {
                if let Some(term) = &mut self.term
                    && term.record_outcome(&mut self.env, record_call, outcome)
                {
                    self.step_down("a write was rejected: another node leads");
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

    /// Checks whether the state service is back. While it is down users' requests are rejected and a
    /// follower makes no other calls, so nothing else would notice.
    fn probe_store(&mut self) {
        let now = self.env.steady();
        if self.store_health.is_down(now)
            && self.store_probed_at.is_none_or(|at| now.duration_since(at) >= STORE_PROBE_INTERVAL)
        {
            self.store_probed_at = Some(now);
            self.env.call_store(Purpose::Probe, Urgency::Leadership, StoreOp::Get(LEADER_KEY.into()));
        }
    }

    /// Passes the outcome of a call to the cloud to the component that made it.
    fn cloud_outcome(&mut self, call: CallId, outcome: Outcome<CloudResponse>) {
        match self.env.calls.remove(&call) {
            Some(Purpose::Types) => {
                self.types_request_pending = false;
                if let Outcome::Responded(CloudResponse::Types(types)) = outcome
                    && !types.is_empty()
                {
                    self.store_machine_types(types);
                }
            }
            Some(Purpose::Rent(rent_call)) => {
                if let Some(term) = &mut self.term {
                    term.cloud_call_outcome(&mut self.env, rent_call, outcome);
                }
            }
            _ => {}
        }
    }

    // Health checks.

    /// Responds to a health check.
    fn readiness(&mut self, request_id: RequestId) {
        let now = self.env.steady();
        // If only this node can't reach the state service, the load balancer should send its users
        // elsewhere. If no node can, staying in its rotation saves the time to be added again.
        let peer_has_store = self.peers.values().any(|peer| {
            peer.last_response.as_ref().is_some_and(|(requested_at, response)| {
                response.store_ok && now.duration_since(*requested_at) < Duration::from_secs(4)
            })
        });
        let response = if self.env.machine_types.is_empty() {
            HttpResponse::later(503, "machine types are not known yet")
        } else if self.store_health.last_success_at.is_none() || (self.store_health.is_down(now) && peer_has_store) {
            HttpResponse::later(503, "the state service does not answer this node")
        } else {
            HttpResponse::json(200, &serde_json::json!({ "ready": true }))
        };
        self.env.respond(request_id, response);
    }

    // Workers.

    /// Handles a worker's report: responds as leader, relays it, or redirects the worker.
    pub(crate) fn handle_report(
        &mut self,
        request_id: RequestId,
        report: Report,
        unparsed_tasks: Option<Box<RawValue>>,
    ) {
        let unparsed_tasks = unparsed_tasks.unwrap_or_else(empty_task_list);
        self.election.last_worker_report = Some(self.env.steady());
        if let Some(term) = &mut self.term {
            term.last_direct_report = self.env.now.steady;
        }
        if let Some(response) = self.redirect_worker() {
            self.env.respond(request_id, response);
            return;
        }
        match self.respond_to_report(report, ReportedTasks::Raw(&unparsed_tasks)) {
            ReportOutcome::Response(response) => self.env.respond(request_id, response),
            ReportOutcome::TasksNeeded => unreachable!("the report contains its tasks"),
            ReportOutcome::NotLeader(report) => {
                if !self.queue_relay(request_id, report, unparsed_tasks) {
                    let report_to = self.redirect_target();
                    self.env.respond(request_id, HttpResponse::json(421, &ReportRedirect { report_to }));
                }
            }
        }
    }

    /// Returns the leader's response to a report that came directly or through another node.
    pub(crate) fn respond_to_report(&mut self, report: Report, tasks: ReportedTasks) -> ReportOutcome {
        let Some(term) = &mut self.term else {
            return ReportOutcome::NotLeader(report);
        };
        if report.token > term.newest_token {
            self.step_down("a worker has seen a higher token");
            return ReportOutcome::NotLeader(report);
        }
        let (now, facts) = (self.env.now.steady, &self.env.facts);
        let may_respond =
            term.cancellations_are_current(now, facts) && self.election.may_respond_to_reports(now, facts);
        term.note_may_respond(now, may_respond);
        if !may_respond {
            // A new leader relies on this node no longer responding, and so does a user whose
            // cancellation this node may not have seen.
            return ReportOutcome::Response(HttpResponse::later(503, "the state service does not answer"));
        }
        term.handle_report(&mut self.env, report, tasks).map_or(ReportOutcome::TasksNeeded, ReportOutcome::Response)
    }

    /// Handles the outcome of a direct call to a worker.
    fn order_outcome(&mut self, call: CallId, outcome: Outcome<(u16, Report)>) {
        let Some(Purpose::Order { machine }) = self.env.calls.remove(&call) else {
            return;
        };
        let Some(term) = &mut self.term else { return };
        if let Outcome::Responded((_, report)) = &outcome
            && report.token > term.newest_token
        {
            self.step_down("a worker has seen a higher token");
            return;
        }
        term.direct_call_finished(&mut self.env, &machine, outcome);
    }

    // Terms.

    /// Starts a term as leader.
    pub(crate) fn begin_term(&mut self, token: u64) {
        let facts = &self.env.facts;
        tracing::info!(token, "became leader");
        let predecessors_inactive_at = self.env.steady() + facts.self_fencing_timeout();
        let mut term = Term::new(token, self.env.steady(), predecessors_inactive_at, facts, &self.env.policy);
        term.start_loading(&mut self.env);
        self.term = Some(term);
        // Requests go to the peers at once, to learn whether an earlier leader is still active.
        self.peer_requests_sent_at = None;
    }

    /// Ends this node's term, if it leads, and all calls that belong to it.
    pub(crate) fn step_down(&mut self, why: &str) {
        if let Some(term) = self.term.take() {
            tracing::info!(token = term.token, why, "stepping down");
        }
        self.env.calls.retain(|_, purpose| !purpose.belongs_to_term());
        self.release_leadership();
    }
}
