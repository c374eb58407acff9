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

use crate::budget::Budget;
use crate::http::{Http, Room};
use crate::outside;
use crate::pace::Pace;
use crate::serve::{Asked, Server, Side};
use crate::settings::Settings;
use crate::stats::{Delay, Stats};

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
    http: Http,
    store: Budget<(CallId, StoreOp)>,
    /// Requests and changes a second that the state service will allow from some moment on, which its
    /// first 429 may show.
    next_limits: Option<(f64, f64)>,
    limited: Rc<Cell<bool>>,
    /// Calls to the state service under way, and the most: while it is slow or silent they
    /// must not use up the sockets. Leadership passes, and watches do not count.
    store_calls: Rc<Cell<usize>>,
    most_store_calls: usize,
    cloud: Budget<(CallId, CloudOp)>,
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
    let (core, mut inbox) = mpsc::channel::<Asked>(sockets.served);
    let (first, mut inbox_first) = mpsc::channel::<Asked>(FIRST);
    // Outcomes of our own calls, whose number is bounded by the core and the budgets.
    let (back, mut outcomes) = mpsc::unbounded_channel::<Input>();
    let open = Rc::new(Cell::new(0));
    let start = now();
    let stats = Rc::new(RefCell::new(Stats::new(start.steady)));
    let http = Http::new(Room { own: sockets.kept, open: open.clone(), most: sockets.served }, stats.clone());
    let pace = Pace::default();
    let bodies = Rc::new(Cell::new(0));
    tokio::task::spawn_local(pace.clone().run());
    for (side, addr) in [(Side::Public, settings.public_addr), (Side::Peers, settings.peer_bind)] {
        let listener = Server::bind(addr).await?;
        let (core, first, open, stats) = (core.clone(), first.clone(), open.clone(), stats.clone());
        let (pace, http) = (pace.clone(), http.clone());
        let (bodies, most_bodies) = (bodies.clone(), settings.body_bytes);
        let most = sockets.served;
        let server = Server { side, core, first, open, most, bodies, most_bodies, pace, http, stats };
        tokio::task::spawn_local(server.run(listener));
    }
    drop((core, first));
    tracing::info!(label = settings.facts.label, public = %settings.public_addr, "started");
    let mut driver = Driver {
        store: Budget::new(settings.state_rps, settings.state_writes, STORE_BURST, start.steady),
        next_limits: settings.state_next,
        limited: Rc::default(),
        cloud: Budget::new(settings.cloud_rps, settings.cloud_rps, 1.0, start.steady),
        node: Node::new(settings.facts, settings.policy, rand::random(), start),
        http,
        store_calls: Rc::new(Cell::new(0)),
        most_store_calls: sockets.store,
        store_addr: settings.state,
        cloud_addr: settings.cloud,
        peers: settings.peers.into_iter().collect(),
        waiting: HashMap::new(),
        next_req: 0,
        back,
        stats,
        others: settings.nodes.saturating_sub(1),
        waits,
        waited: 0,
        inputs: 0,
        busy: 0.0,
        ticked: start.steady,
    };
    driver.cloud.share(CLOUD_SHARE);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(input) = outcomes.recv() => driver.input(input),
            _ = ticks.tick() => driver.tick(),
            Some(asked) = inbox_first.recv() => driver.asked(asked),
            Some(asked) = inbox.recv() => driver.asked(asked),
        }
        driver.pump();
    }
}

impl Driver {
    fn tick(&mut self) {
        let now = Instant::now();
        let late = now.duration_since(self.ticked).saturating_sub(TICK);
        self.stats.borrow_mut().late(late);
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
            self.store.limit(rps, write_rps, STORE_BURST);
        }
        self.store.share(share);
        for (call, _) in self.store.expired(now) {
            self.input(Input::Store { call, outcome: Outcome::NotExecuted });
        }
        for (call, _) in self.cloud.expired(now) {
            self.input(Input::Cloud { call, outcome: Outcome::NotExecuted });
        }
        let waits = self.waits.load(Ordering::Relaxed);
        self.stats.borrow_mut().waits(waits);
        self.gauge(waits, late);
        self.stats.borrow_mut().tick(now, || self.node.pending_stops(now));
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

    fn asked(&mut self, asked: Asked) {
        self.next_req += 1;
        let request_id = RequestId(self.next_req);
        let waiting = Waiting { answer: asked.answer, submission: asked.submission, since: Instant::now() };
        self.waiting.insert(request_id, waiting);
        self.input((asked.input)(request_id));
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
                        self.stats.borrow_mut().note(Delay::Accept, now.duration_since(waiting.since));
                    }
                    if matches!(response.status, 429 | 503) {
                        self.stats.borrow_mut().shed();
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
                let (http, back, stats) = (self.http.clone(), self.back.clone(), self.stats.clone());
                tokio::task::spawn_local(async move {
                    let outcome = outside::order(&http, &addr, &orders, probe).await;
                    stats.borrow_mut().note(Delay::Order, now.elapsed());
                    let _ = back.send(Input::OrderResponse { call, outcome });
                });
            }
            Output::Peer { label, request } => {
                let Some(addr) = self.peers.get(&label).copied() else {
                    return;
                };
                let (http, back) = (self.http.clone(), self.back.clone());
                tokio::task::spawn_local(async move {
                    let outcome = outside::peer(&http, addr, &request).await;
                    let _ = back.send(Input::PeerResponse { label, outcome });
                });
            }
            Output::Relay { call, label, relay } => {
                let Some(addr) = self.peers.get(&label).copied() else {
                    return;
                };
                let (http, back) = (self.http.clone(), self.back.clone());
                tokio::task::spawn_local(async move {
                    let outcome = outside::relay(&http, addr, &relay).await;
                    let _ = back.send(Input::RelayResponse { call, outcome });
                });
            }
        }
    }

    /// Sends what the budgets allow.
    fn pump(&mut self) {
        let now = Instant::now();
        while let Some((call, op)) = self.store.next(now, self.store_calls.get() >= self.most_store_calls) {
            let (http, back, stats, addr) = (self.http.clone(), self.back.clone(), self.stats.clone(), self.store_addr);
            let (calls, limited) = (self.store_calls.clone(), self.limited.clone());
            let watch = matches!(op, StoreOp::Watch { .. });
            calls.set(calls.get() + usize::from(!watch));
            tokio::task::spawn_local(async move {
                let outcome = outside::store(&http, addr, op).await;
                limited.set(limited.get() || matches!(outcome, Outcome::Responded(StoreResponse::RateLimited)));
                if !watch {
                    calls.set(calls.get() - 1);
                    stats.borrow_mut().note(Delay::State, now.elapsed());
                }
                let _ = back.send(Input::Store { call, outcome });
            });
        }
        while let Some((call, op)) = self.cloud.next(now, false) {
            let (http, back, stats, addr) = (self.http.clone(), self.back.clone(), self.stats.clone(), self.cloud_addr);
            tokio::task::spawn_local(async move {
                let outcome = outside::cloud(&http, addr, op).await;
                stats.borrow_mut().note(Delay::Cloud, now.elapsed());
                let _ = back.send(Input::Cloud { call, outcome });
            });
        }
    }
}
