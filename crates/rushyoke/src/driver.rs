//! The loop around the core: feeds it inputs and time, carries out what it returns.

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

use crate::http_client::{HttpClient, IdleLimit};
use crate::outbound;
use crate::pacing::Pacer;
use crate::rate_limit::RateLimitedQueue;
use crate::server::{CoreRequest, ListenerKind, Server};
use crate::settings::Settings;
use crate::stats::{Latency, Stats};

const TICK: Duration = Duration::from_millis(100);
/// Weight of the last tick in how busy the process is.
const GAUGE: f64 = 0.05;
/// Health checks and controllers' questions that wait for the core.
const FIRST: usize = 64;
/// Calls to the state service may come in bursts of so many seconds' worth.
const STORE_BURST: f64 = 0.4;
/// The leader's share of the state service's budget; the others share the rest.
const LEAD_SHARE: f64 = 0.55;
/// The leader alone uses the cloud, apart from the others' first look at the types.
const CLOUD_SHARE: f64 = 0.8;

struct Waiting {
    answer: oneshot::Sender<HttpResponse>,
    submission: bool,
    since: Instant,
}

struct Driver {
    node: Node,
    client: HttpClient,
    store: RateLimitedQueue<(CallId, StoreOp)>,
    /// Requests and changes a second that the state service will allow from some moment on, which its
    /// first 429 may show.
    next_limits: Option<(f64, f64)>,
    limited: Rc<Cell<bool>>,
    /// Calls to the state service under way, and the most: while it is slow or silent they
    /// must not use up the sockets. Leadership passes, and watches do not count.
    store_calls: Rc<Cell<usize>>,
    most_store_calls: usize,
    cloud: RateLimitedQueue<(CallId, CloudOp)>,
    store_addr: SocketAddr,
    cloud_addr: SocketAddr,
    peers: HashMap<String, SocketAddr>,
    waiting: HashMap<RequestId, Waiting>,
    next_req: u64,
    back: mpsc::UnboundedSender<Input>,
    stats: Rc<RefCell<Stats>>,
    others: usize,
    waits: Arc<AtomicU64>,
    /// Waits at the last tick, inputs since, and how much of its time the process is busy.
    waited: u64,
    inputs: u64,
    busy: f64,
    ticked: Instant,
}

fn now() -> Now {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Now { steady: Instant::now(), wall_ms: wall.as_millis() as u64 }
}

/// Serves until the process is killed.
pub async fn run(settings: Settings, waits: Arc<AtomicU64>) -> Result<(), String> {
    LocalSet::new().run_until(serve(settings, waits)).await
}

async fn serve(settings: Settings, waits: Arc<AtomicU64>) -> Result<(), String> {
    let sockets = settings.sockets;
    // A connection carries one request at a time, so that none is ever turned away for want of
    // room here: when all workers turn to a new leader at once, each of them would come again.
    let (requests, mut request_inbox) = mpsc::channel::<CoreRequest>(sockets.inbound);
    let (priority_requests, mut priority_inbox) = mpsc::channel::<CoreRequest>(FIRST);
    // Outcomes of our own calls, whose number is bounded by the core and the budgets.
    let (back, mut outcomes) = mpsc::unbounded_channel::<Input>();
    let open_connections = Rc::new(Cell::new(0));
    let start = now();
    let stats = Rc::new(RefCell::new(Stats::new(start.steady)));
    let client = HttpClient::new(
        IdleLimit { reserved: sockets.idle, inbound: open_connections.clone(), max_inbound: sockets.inbound },
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
        store: RateLimitedQueue::new(settings.store_rps, settings.store_write_rps, STORE_BURST, start.steady),
        next_limits: settings.upcoming_store_rates,
        limited: Rc::default(),
        cloud: RateLimitedQueue::new(settings.cloud_rps, settings.cloud_rps, 1.0, start.steady),
        node: Node::new(settings.facts, settings.policy, rand::random(), start),
        client,
        store_calls: Rc::new(Cell::new(0)),
        most_store_calls: sockets.store_calls,
        store_addr: settings.store_addr,
        cloud_addr: settings.cloud_addr,
        peers: settings.peers.into_iter().collect(),
        waiting: HashMap::new(),
        next_req: 0,
        back,
        stats,
        others: settings.node_count.saturating_sub(1),
        waits,
        waited: 0,
        inputs: 0,
        busy: 0.0,
        ticked: start.steady,
    };
    driver.cloud.set_share(CLOUD_SHARE);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(input) = outcomes.recv() => driver.input(input),
            _ = ticks.tick() => driver.tick(),
            Some(request) = priority_inbox.recv() => driver.handle_request(request),
            Some(request) = request_inbox.recv() => driver.handle_request(request),
        }
        driver.pump();
    }
}

impl Driver {
    fn tick(&mut self) {
        let now = Instant::now();
        let late = now.duration_since(self.ticked).saturating_sub(TICK);
        self.stats.borrow_mut().record_tick_delay(late);
        self.ticked = now;
        let share = match (self.node.token(), self.others) {
            (_, 0) => 1.0,
            (Some(_), _) => LEAD_SHARE,
            (None, others) => (1.0 - LEAD_SHARE) / others as f64,
        };
        if self.limited.get()
            && let Some((rps, write_rps)) = self.next_limits.take()
        {
            tracing::info!(rps, write_rps, "the state service's coming limits hold from now on");
            self.store.set_limits(rps, write_rps, STORE_BURST);
        }
        self.store.set_share(share);
        for (call, _) in self.store.take_expired(now) {
            self.input(Input::Store { call, outcome: Outcome::NotExecuted });
        }
        for (call, _) in self.cloud.take_expired(now) {
            self.input(Input::Cloud { call, outcome: Outcome::NotExecuted });
        }
        let waits = self.waits.load(Ordering::Relaxed);
        self.stats.borrow_mut().set_parks(waits);
        self.gauge(waits, late);
        self.stats.borrow_mut().log_when_due(now, || self.node.pending_stops(now));
        self.input(Input::Tick);
    }

    /// A process with time to spare waits after nearly every input; one that is behind finds
    /// the next ones there.
    fn gauge(&mut self, waits: u64, late: Duration) {
        let inputs = std::mem::take(&mut self.inputs).max(1) as f64;
        let share = 1.0 - ((waits - self.waited) as f64 / inputs).min(1.0);
        self.waited = waits;
        self.busy += (share - self.busy) * GAUGE;
        let share = self.busy;
        self.input(Input::ProcessorLoad { share, tick_delay: late });
    }

    fn handle_request(&mut self, request: CoreRequest) {
        self.next_req += 1;
        let request_id = RequestId(self.next_req);
        let waiting =
            Waiting { answer: request.response_sender, submission: request.is_submission, since: Instant::now() };
        self.waiting.insert(request_id, waiting);
        self.input((request.into_input)(request_id));
    }

    fn input(&mut self, input: Input) {
        self.inputs += 1;
        for output in self.node.handle(now(), input) {
            self.output(output);
        }
    }

    fn output(&mut self, output: Output) {
        let now = Instant::now();
        match output {
            Output::Response { request_id, response } => {
                if let Some(waiting) = self.waiting.remove(&request_id) {
                    if waiting.submission {
                        self.stats.borrow_mut().record_latency(Latency::Submission, now.duration_since(waiting.since));
                    }
                    if matches!(response.status, 429 | 503) {
                        self.stats.borrow_mut().count_shed();
                    }
                    // The client may have gone.
                    let _ = waiting.answer.send(response);
                }
            }
            Output::Store { call, op, urgency } => {
                let writes = match &op {
                    StoreOp::Txn(txn) => txn.writes.len(),
                    _ => 0,
                };
                if let Some((call, _)) = self.store.push((call, op), urgency, writes, now) {
                    let _ = self.back.send(Input::Store { call, outcome: Outcome::NotExecuted });
                }
            }
            Output::Cloud { call, op } => {
                if let Some((call, _)) = self.cloud.push((call, op), Urgency::Low, 0, now) {
                    let _ = self.back.send(Input::Cloud { call, outcome: Outcome::NotExecuted });
                }
            }
            Output::Order { call, addr, orders, probe } => {
                let (client, back, stats) = (self.client.clone(), self.back.clone(), self.stats.clone());
                tokio::task::spawn_local(async move {
                    let outcome = outbound::send_orders(&client, &addr, &orders, probe).await;
                    stats.borrow_mut().record_latency(Latency::Order, now.elapsed());
                    let _ = back.send(Input::OrderResponse { call, outcome });
                });
            }
            Output::Peer { label, request } => {
                let Some(addr) = self.peers.get(&label).copied() else {
                    return;
                };
                let (client, back) = (self.client.clone(), self.back.clone());
                tokio::task::spawn_local(async move {
                    let outcome = outbound::call_peer(&client, addr, &request).await;
                    let _ = back.send(Input::PeerResponse { label, outcome });
                });
            }
            Output::Relay { call, label, relay } => {
                let Some(addr) = self.peers.get(&label).copied() else {
                    return;
                };
                let (client, back) = (self.client.clone(), self.back.clone());
                tokio::task::spawn_local(async move {
                    let outcome = outbound::relay_reports(&client, addr, &relay).await;
                    let _ = back.send(Input::RelayResponse { call, outcome });
                });
            }
        }
    }

    /// Sends what the budgets allow.
    fn pump(&mut self) {
        let now = Instant::now();
        while let Some((call, op)) = self.store.pop(now, self.store_calls.get() >= self.most_store_calls) {
            let (client, back, stats, addr) =
                (self.client.clone(), self.back.clone(), self.stats.clone(), self.store_addr);
            let (calls, limited) = (self.store_calls.clone(), self.limited.clone());
            let watch = matches!(op, StoreOp::Watch { .. });
            calls.set(calls.get() + usize::from(!watch));
            tokio::task::spawn_local(async move {
                let outcome = outbound::call_store(&client, addr, op).await;
                limited.set(limited.get() || matches!(outcome, Outcome::Responded(StoreResponse::RateLimited)));
                if !watch {
                    calls.set(calls.get() - 1);
                    stats.borrow_mut().record_latency(Latency::Store, now.elapsed());
                }
                let _ = back.send(Input::Store { call, outcome });
            });
        }
        while let Some((call, op)) = self.cloud.pop(now, false) {
            let (client, back, stats, addr) =
                (self.client.clone(), self.back.clone(), self.stats.clone(), self.cloud_addr);
            tokio::task::spawn_local(async move {
                let outcome = outbound::call_cloud(&client, addr, op).await;
                stats.borrow_mut().record_latency(Latency::Cloud, now.elapsed());
                let _ = back.send(Input::Cloud { call, outcome });
            });
        }
    }
}
