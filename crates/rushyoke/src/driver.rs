//! Event loop of a controller: passes requests, call outcomes and ticks to the core as inputs, and carries out the
//! outputs that the core returns.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rushyoke_core::{
    CallId, CloudOp, HttpResponse, Input, Node, Now, Outcome, Output, RequestId, StoreOp, StoreResponse, Urgency,
};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

use crate::http_client::{HttpClient, IdleConnectionLimit};
use crate::outbound;
use crate::pacing::Pacer;
use crate::rate_limit::RateLimitedQueue;
use crate::server::{CoreRequest, ListenerKind, Server};
use crate::settings::Settings;
use crate::stats::{Latency, Stats};

/// Interval of the core's `Tick` inputs.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Weight of the latest tick in the moving average of the processor load.
const LOAD_SMOOTHING: f64 = 0.05;
/// Number of health checks and peer requests that may wait for the core.
const PRIORITY_QUEUE_SIZE: usize = 64;
/// Largest burst of calls to the state service, in seconds' worth of its rate limit.
const STORE_BURST_S: f64 = 0.4;
/// The leader's share of the state service's rate limits. The other nodes share the rest equally.
const LEADER_STORE_SHARE: f64 = 0.55;
/// Share of the cloud's rate limit that this node uses. Only the leader calls the cloud, apart from the other
/// nodes' first request for the machine types.
const CLOUD_SHARE: f64 = 0.8;

/// Request that waits for a response from the core.
struct PendingResponse {
    response_sender: oneshot::Sender<HttpResponse>,
    is_submission: bool,
    received_at: Instant,
}

/// A node with its queues, its connections and the requests that wait for it.
struct Driver {
    node: Node,
    client: HttpClient,
    store_queue: RateLimitedQueue<(CallId, StoreOp)>,
    /// Announced requests and writes per second of the state service. They apply from its first 429 response on.
    upcoming_store_rates: Option<(f64, f64)>,
    /// Whether the state service has ever responded with 429.
    rate_limited: Rc<Cell<bool>>,
    /// Calls to the state service in flight. Watches do not count.
    store_calls: Rc<Cell<usize>>,
    /// Limit of these calls, so that they do not use up the sockets while the state service is slow or does not
    /// respond. Leadership calls are exempt.
    max_store_calls: usize,
    cloud_queue: RateLimitedQueue<(CallId, CloudOp)>,
    store_addr: SocketAddr,
    cloud_addr: SocketAddr,
    peers: HashMap<String, SocketAddr>,
    pending_responses: HashMap<RequestId, PendingResponse>,
    last_request_id: u64,
    /// Sends the outcomes of calls back to the event loop.
    outcomes: mpsc::UnboundedSender<Input>,
    stats: Rc<RefCell<Stats>>,
    /// Number of other nodes.
    other_nodes: usize,
    /// How often the process has parked to wait for events since it started.
    parks: Arc<AtomicU64>,
    /// Value of `parks` at the last tick.
    parks_at_last_tick: u64,
    inputs_since_tick: u64,
    /// Moving average of the share of time for which the process is busy.
    load: f64,
    last_tick: Instant,
}

/// Returns the time of the steady clock and of the wall clock.
fn now() -> Now {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Now { steady: Instant::now(), wall_ms: wall.as_millis() as u64 }
}

/// Runs a controller until the process is killed. Returns an error if an address cannot be bound.
pub async fn run(settings: Settings, parks: Arc<AtomicU64>) -> Result<(), String> {
    LocalSet::new().run_until(run_event_loop(settings, parks)).await
}

async fn run_event_loop(settings: Settings, parks: Arc<AtomicU64>) -> Result<(), String> {
    let sockets = settings.sockets;
    // A connection carries one request at a time, so a channel with a slot per connection never rejects a
    // request. When all workers connect to a new leader at once, each rejected one would retry.
    let (requests, mut request_inbox) = mpsc::channel::<CoreRequest>(sockets.inbound);
    let (priority_requests, mut priority_inbox) = mpsc::channel::<CoreRequest>(PRIORITY_QUEUE_SIZE);
    // Outcomes of this node's own calls. The core and the rate-limited queues bound their number.
    let (outcomes, mut outcome_inbox) = mpsc::unbounded_channel::<Input>();
    let open_connections = Rc::new(Cell::new(0));
    let start = now();
    let stats = Rc::new(RefCell::new(Stats::new(start.steady)));
    let client = HttpClient::new(
        IdleConnectionLimit { reserved: sockets.idle, inbound: open_connections.clone(), max_inbound: sockets.inbound },
        stats.clone(),
    );
    let pacer = Pacer::default();
    let body_bytes = Rc::new(Cell::new(0));
    tokio::task::spawn_local(pacer.clone().run());
    for (kind, addr) in [(ListenerKind::Public, settings.public_addr), (ListenerKind::Peers, settings.peer_bind)] {
        let listener = Server::bind(addr).await?;
        let (requests, priority_requests, open_connections, stats) =
            (requests.clone(), priority_requests.clone(), open_connections.clone(), stats.clone());
        let (pacer, client) = (pacer.clone(), client.clone());
        let (body_bytes, max_body_bytes) = (body_bytes.clone(), settings.max_body_bytes);
        let max_connections = sockets.inbound;
        let server = Server {
            kind,
            requests,
            priority_requests,
            open_connections,
            max_connections,
            body_bytes,
            max_body_bytes,
            pacer,
            client,
            stats,
        };
        tokio::task::spawn_local(server.run(listener));
    }
    drop((requests, priority_requests));
    tracing::info!(label = settings.facts.label, public = %settings.public_addr, "started");
    let mut driver = Driver {
        store_queue: RateLimitedQueue::new(settings.store_rps, settings.store_write_rps, STORE_BURST_S, start.steady),
        upcoming_store_rates: settings.upcoming_store_rates,
        rate_limited: Rc::default(),
        cloud_queue: RateLimitedQueue::new(settings.cloud_rps, settings.cloud_rps, 1.0, start.steady),
        node: Node::new(settings.facts, settings.policy, rand::random(), start),
        client,
        store_calls: Rc::new(Cell::new(0)),
        max_store_calls: sockets.store_calls,
        store_addr: settings.store_addr,
        cloud_addr: settings.cloud_addr,
        peers: settings.peers.into_iter().collect(),
        pending_responses: HashMap::new(),
        last_request_id: 0,
        outcomes,
        stats,
        other_nodes: settings.node_count.saturating_sub(1),
        parks,
        parks_at_last_tick: 0,
        inputs_since_tick: 0,
        load: 0.0,
        last_tick: start.steady,
    };
    driver.cloud_queue.set_share(CLOUD_SHARE);
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(input) = outcome_inbox.recv() => driver.handle_input(input),
            _ = ticks.tick() => driver.tick(),
            Some(request) = priority_inbox.recv() => driver.handle_request(request),
            Some(request) = request_inbox.recv() => driver.handle_request(request),
        }
        driver.send_queued_calls();
    }
}

impl Driver {
    /// Updates the shares and the statistics, rejects calls that waited for too long, and passes the tick to the
    /// core.
    fn tick(&mut self) {
        let now = Instant::now();
        let tick_delay = now.duration_since(self.last_tick).saturating_sub(TICK_INTERVAL);
        self.stats.borrow_mut().record_tick_delay(tick_delay);
        self.last_tick = now;
        let store_share = match (self.node.token(), self.other_nodes) {
            (_, 0) => 1.0,
            (Some(_), _) => LEADER_STORE_SHARE,
            (None, other_nodes) => (1.0 - LEADER_STORE_SHARE) / other_nodes as f64,
        };
        if self.rate_limited.get()
            && let Some((rps, write_rps)) = self.upcoming_store_rates.take()
        {
            tracing::info!(rps, write_rps, "the upcoming rate limits of the state service apply from now on");
            self.store_queue.set_limits(rps, write_rps, STORE_BURST_S);
        }
        self.store_queue.set_share(store_share);
        for (call, _) in self.store_queue.take_expired(now) {
            self.handle_input(Input::Store { call, outcome: Outcome::NotExecuted });
        }
        for (call, _) in self.cloud_queue.take_expired(now) {
            self.handle_input(Input::Cloud { call, outcome: Outcome::NotExecuted });
        }
        let parks = self.parks.load(Ordering::Relaxed);
        self.stats.borrow_mut().set_parks(parks);
        self.report_load(parks, tick_delay);
        self.stats.borrow_mut().log_when_due(now, || self.node.pending_stops(now));
        self.handle_input(Input::Tick);
    }

    /// Estimates the processor load and passes it to the core. A process with little load parks after nearly every
    /// input; an overloaded one finds the next inputs already queued and does not park.
    fn report_load(&mut self, parks: u64, tick_delay: Duration) {
        let inputs = std::mem::take(&mut self.inputs_since_tick).max(1) as f64;
        let busy_share = 1.0 - ((parks - self.parks_at_last_tick) as f64 / inputs).min(1.0);
        self.parks_at_last_tick = parks;
        self.load += (busy_share - self.load) * LOAD_SMOOTHING;
        let share = self.load;
        self.handle_input(Input::ProcessorLoad { share, tick_delay });
    }

    /// Passes a request to the core and keeps its response channel until the core responds.
    fn handle_request(&mut self, request: CoreRequest) {
        self.last_request_id += 1;
        let request_id = RequestId(self.last_request_id);
        let pending = PendingResponse {
            response_sender: request.response_sender,
            is_submission: request.is_submission,
            received_at: Instant::now(),
        };
        self.pending_responses.insert(request_id, pending);
        self.handle_input((request.into_input)(request_id));
    }

    /// Passes an input to the core and carries out its outputs.
    fn handle_input(&mut self, input: Input) {
        self.inputs_since_tick += 1;
        for output in self.node.handle(now(), input) {
            self.execute(output);
        }
    }

    /// Carries out an output: responds, queues a rate-limited call, or starts another call at once.
    fn execute(&mut self, output: Output) {
        let now = Instant::now();
        match output {
            Output::Response { request_id, response } => {
                if let Some(pending) = self.pending_responses.remove(&request_id) {
                    if pending.is_submission {
                        self.stats
                            .borrow_mut()
                            .record_latency(Latency::Submission, now.duration_since(pending.received_at));
                    }
                    if matches!(response.status, 429 | 503) {
                        self.stats.borrow_mut().count_shed();
                    }
                    // The client may have disconnected.
                    let _ = pending.response_sender.send(response);
                }
            }
            Output::Store { call, op, urgency } => {
                let writes = match &op {
                    StoreOp::Txn(txn) => txn.writes.len(),
                    _ => 0,
                };
                if let Some((call, _)) = self.store_queue.push((call, op), urgency, writes, now) {
                    let _ = self.outcomes.send(Input::Store { call, outcome: Outcome::NotExecuted });
                }
            }
            Output::Cloud { call, op } => {
                if let Some((call, _)) = self.cloud_queue.push((call, op), Urgency::Low, 0, now) {
                    let _ = self.outcomes.send(Input::Cloud { call, outcome: Outcome::NotExecuted });
                }
            }
            Output::Order { call, addr, orders, probe } => {
                let (client, outcomes, stats) = (self.client.clone(), self.outcomes.clone(), self.stats.clone());
                tokio::task::spawn_local(async move {
                    let outcome = outbound::send_orders(&client, &addr, &orders, probe).await;
                    stats.borrow_mut().record_latency(Latency::Order, now.elapsed());
                    let _ = outcomes.send(Input::OrderResponse { call, outcome });
                });
            }
            Output::Peer { label, request } => {
                let Some(addr) = self.peers.get(&label).copied() else {
                    return;
                };
                let (client, outcomes) = (self.client.clone(), self.outcomes.clone());
                tokio::task::spawn_local(async move {
                    let outcome = outbound::call_peer(&client, addr, &request).await;
                    let _ = outcomes.send(Input::PeerResponse { label, outcome });
                });
            }
            Output::Relay { call, label, relay } => {
                let Some(addr) = self.peers.get(&label).copied() else {
                    return;
                };
                let (client, outcomes) = (self.client.clone(), self.outcomes.clone());
                tokio::task::spawn_local(async move {
                    let outcome = outbound::relay_reports(&client, addr, &relay).await;
                    let _ = outcomes.send(Input::RelayResponse { call, outcome });
                });
            }
        }
    }

    /// Sends the queued calls that the rate limits allow now.
    fn send_queued_calls(&mut self) {
        let now = Instant::now();
        while let Some((call, op)) = self.store_queue.pop(now, self.store_calls.get() >= self.max_store_calls) {
            let (client, outcomes, stats, addr) =
                (self.client.clone(), self.outcomes.clone(), self.stats.clone(), self.store_addr);
            let (store_calls, rate_limited) = (self.store_calls.clone(), self.rate_limited.clone());
            let is_watch = matches!(op, StoreOp::Watch { .. });
            store_calls.set(store_calls.get() + usize::from(!is_watch));
            tokio::task::spawn_local(async move {
                let outcome = outbound::call_store(&client, addr, op).await;
                rate_limited
                    .set(rate_limited.get() || matches!(outcome, Outcome::Responded(StoreResponse::RateLimited)));
                if !is_watch {
                    store_calls.set(store_calls.get() - 1);
                    stats.borrow_mut().record_latency(Latency::Store, now.elapsed());
                }
                let _ = outcomes.send(Input::Store { call, outcome });
            });
        }
        while let Some((call, op)) = self.cloud_queue.pop(now, false) {
            let (client, outcomes, stats, addr) =
                (self.client.clone(), self.outcomes.clone(), self.stats.clone(), self.cloud_addr);
            tokio::task::spawn_local(async move {
                let outcome = outbound::call_cloud(&client, addr, op).await;
                stats.borrow_mut().record_latency(Latency::Cloud, now.elapsed());
                let _ = outcomes.send(Input::Cloud { call, outcome });
            });
        }
    }
}
