//! A stand-in for the state service, as PROTOCOL describes it. Each controller has an address of its own for it, so
//! that the link of one controller can be disturbed alone.

use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, n, obj, s};
use crate::record::Record;

const HISTORY: usize = 10_000;

/// Allows a rate, with bursts of one second's worth.
struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, tokens: rate, at: Instant::now() }
    }
    fn take(&mut self, cost: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let allowed = self.tokens >= cost.min(self.rate);
        if allowed {
            self.tokens -= cost;
        }
        allowed
    }
}

struct State {
    keys: BTreeMap<String, (Json, u64, Option<u64>)>,
    ledger: u64,
    history: VecDeque<(u64, String, Option<Json>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    requests: Bucket,
    changes: Bucket,
}

impl State {
    fn put(&mut self, key: &str, value: Json, lease: Option<u64>) {
        self.keys.insert(key.to_owned(), (value.clone(), self.ledger, lease));
        self.history.push_back((self.ledger, key.to_owned(), Some(value)));
    }
    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.history.push_back((self.ledger, key.to_owned(), None));
        }
    }
    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, (_, _, of))| *of == Some(lease)).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.ledger += 1;
        }
        keys.iter().for_each(|key| self.delete(key));
        true
    }
    fn stamp(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |(_, stamp, _)| *stamp)
    }
}

/// What is wrong with the link between one controller and the state service.
#[derive(Default, Clone)]
pub struct Link {
    /// Transactions that write are carried out at once, and their answers are lost (`late_writes`, `at_once`).
    pub lose_answers_of_writes: bool,
    /// The link is interrupted until then: packets are held back, and delivered in order afterwards.
    pub down_until: Option<Instant>,
    /// Answers to watches of the key `lead` take so much longer.
    pub slow_watch: Duration,
}

/// Called for each request that was carried out, before it is answered: the controller, the request, the status.
pub type Hook = Arc<dyn Fn(&str, &Request, u16) + Send + Sync>;

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    links: Mutex<BTreeMap<String, Link>>,
    hook: Mutex<Option<Hook>>,
    limits: Limits,
    record: Arc<Record>,
}

impl Store {
    pub fn new(limits: Limits, record: Arc<Record>) -> Arc<Store> {
        let state = State {
            keys: BTreeMap::new(),
            ledger: 1,
            history: VecDeque::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            requests: Bucket::new(limits.rps),
            changes: Bucket::new(limits.write_rps),
        };
        let store = Arc::new(Store {
            state: Mutex::new(state),
            changed: Condvar::new(),
            links: Mutex::default(),
            hook: Mutex::new(None),
            limits,
            record,
        });
        let expiry = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = expiry.state.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> =
                    state.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
                if !ended.is_empty() {
                    ended.iter().for_each(|lease| {
                        state.end_lease(*lease);
                    });
                    expiry.changed.notify_all();
                }
            }
        });
        store
    }

    /// Serves one controller on a listener of its own.
    pub fn serve_controller(self: &Arc<Self>, label: &str, listener: TcpListener) {
        let (store, label) = (self.clone(), label.to_owned());
        serve(listener, move |request| store.handle(&label, request));
    }

    pub fn set_link(&self, label: &str, link: Link) {
        self.links.lock().unwrap().insert(label.to_owned(), link);
    }

    pub fn set_hook(&self, hook: Hook) {
        *self.hook.lock().unwrap() = Some(hook);
    }

    /// Interrupts the link of one controller for some time.
    pub fn interrupt(&self, label: &str, time: Duration) {
        self.record.line(&format!("trouble: the link of {label} to the state service is interrupted for {time:?}"));
        let mut links = self.links.lock().unwrap();
        links.entry(label.to_owned()).or_default().down_until = Some(Instant::now() + time);
    }

    /// Ends an interruption.
    pub fn resume(&self, label: &str) {
        self.record.line(&format!("trouble: the link of {label} to the state service is back"));
        self.links.lock().unwrap().entry(label.to_owned()).or_default().down_until = None;
    }

    /// Lets the answers to one controller's watches of the key `lead` take longer.
    pub fn slow_watch(&self, label: &str, time: Duration) {
        self.record.line(&format!("state: answers to watches of {label} take {time:?}"));
        self.links.lock().unwrap().entry(label.to_owned()).or_default().slow_watch = time;
    }

    fn link(&self, label: &str) -> Link {
        self.links.lock().unwrap().get(label).cloned().unwrap_or_default()
    }

    /// Holds a packet back while the link is interrupted.
    fn pass(&self, label: &str) {
        while self.link(label).down_until.is_some_and(|until| until > Instant::now()) {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// The label of the controller that holds the key `lead`.
    pub fn leader(&self) -> Option<(String, u64)> {
        let state = self.state.lock().unwrap();
        let (value, stamp, _) = state.keys.get("lead")?;
        Some((value.get("label").str().to_owned(), *stamp))
    }

    fn handle(&self, label: &str, request: Request) -> Reply {
        let is_write =
            request.path == "/txn" && Json::parse(&request.body).is_some_and(|txn| !txn.get("writes").arr().is_empty());
        let trace = std::env::var("TRACE").is_ok();
        if trace {
            self.record.line(&format!(
                "trace: {label}: {} {}?{} {}",
                request.method,
                request.path,
                request.query,
                String::from_utf8_lossy(&request.body)
            ));
        }
        self.pass(label);
        let (status, body) = self.execute(&request);
        let hook = self.hook.lock().unwrap().clone();
        if let Some(hook) = hook {
            hook(label, &request, status);
        }
        let link = self.link(label);
        if request.path == "/changes" && request.param("starts") == "lead" {
            thread::sleep(link.slow_watch);
        }
        self.pass(label);
        if is_write && link.lose_answers_of_writes {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            self.record.line(&format!("state: {label}: transaction answered {status}, the answer is lost: {text}"));
            return Reply::Lost;
        }
        if trace {
            self.record.line(&format!(
                "trace: {label}: answer to {} {}?{}: {status} {}",
                request.method,
                request.path,
                request.query,
                body.text()
            ));
        }
        Reply::Answer(status, body.text())
    }

    fn execute(&self, request: &Request) -> (u16, Json) {
        let error = |text: &str| obj([("error", s(text))]);
        let mut state = self.state.lock().unwrap();
        if !state.requests.take(1.0) {
            return (429, error("too many requests"));
        }
        let parts: Vec<&str> = request.path.trim_start_matches('/').splitn(3, '/').collect();
        let lease_of = |text: &str| text.parse::<u64>().unwrap_or(0);
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["changes"]) => {
                let (prefix, since) = (request.param("starts"), request.param("since").parse().unwrap_or(0));
                let wait = Duration::from_millis(request.param("block_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    if state.history.len() >= HISTORY && state.history.front().is_some_and(|(at, _, _)| *at > since) {
                        return (410, error("too old"));
                    }
                    let events: Vec<Json> = state
                        .history
                        .iter()
                        .filter(|(at, key, _)| *at > since && key.starts_with(&prefix))
                        .map(|(at, key, value)| match value {
                            Some(value) => obj([("write", s(key)), ("data", value.clone()), ("stamp", n(at))]),
                            None => obj([("drop", s(key)), ("stamp", n(at))]),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (200, obj([("ledger", n(state.ledger)), ("events", Json::Arr(events))]));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("GET", ["kv"]) => {
                let (prefix, since) = (request.param("starts"), request.param("since"));
                let most = request.param("most").parse().unwrap_or(1000).min(1000);
                let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
                for (key, (value, stamp, _)) in state.keys.range(prefix.clone()..) {
                    if !key.starts_with(&prefix) {
                        break;
                    }
                    if *key <= since {
                        continue;
                    }
                    let row = obj([("path", s(key)), ("data", value.clone()), ("stamp", n(stamp))]);
                    bytes += row.text().len();
                    if rows.len() == most || bytes > 500 * 1024 {
                        more = true;
                        break;
                    }
                    rows.push(row);
                }
                (200, obj([("rows", Json::Arr(rows)), ("more", Json::Bool(more)), ("ledger", n(state.ledger))]))
            }
            ("GET", ["kv", ..]) => {
                let key = request.path.trim_start_matches("/kv/");
                match state.keys.get(key) {
                    None => (404, obj([("ledger", n(state.ledger))])),
                    Some((value, stamp, lease)) => {
                        let permit = lease.map_or(Json::Null, n);
                        (200, obj([("path", s(key)), ("data", value.clone()), ("stamp", n(stamp)), ("permit", permit)]))
                    }
                }
            }
            ("POST", ["txn"]) => {
                let Some(txn) = Json::parse(&request.body) else { return (400, error("malformed")) };
                let (when, writes) = (txn.get("when").arr(), txn.get("writes").arr());
                let too_large = writes.iter().any(|w| w.get("data").text().len() > self.limits.value_bytes);
                if request.body.len() > 64 * 1024
                    || writes.len() > self.limits.txn_ops
                    || when.len() > 4 * self.limits.txn_ops
                    || too_large
                {
                    return (400, error("too large"));
                }
                if !state.changes.take(writes.len() as f64) {
                    return (429, error("too many changes"));
                }
                let lost = writes
                    .iter()
                    .any(|w| !w.get("permit").is_null() && !state.leases.contains_key(&w.get("permit").u64()));
                if lost {
                    return (400, error("no such lease"));
                }
                let failed: Vec<Json> = when
                    .iter()
                    .filter(|c| state.stamp(c.get("path").str()) != c.get("stamp").u64())
                    .map(|c| c.get("path").clone())
                    .collect();
                if !failed.is_empty() {
                    return (409, obj([("failed", Json::Arr(failed)), ("ledger", n(state.ledger))]));
                }
                if !writes.is_empty() {
                    state.ledger += 1;
                    for write in writes {
                        match write.get("write").str() {
                            "" => state.delete(write.get("drop").str()),
                            key => {
                                let permit = write.get("permit");
                                let lease = (!permit.is_null()).then(|| permit.u64());
                                state.put(key, write.get("data").clone(), lease);
                            }
                        }
                    }
                    while state.history.len() > HISTORY {
                        state.history.pop_front();
                    }
                    self.changed.notify_all();
                }
                (200, obj([("ledger", n(state.ledger))]))
            }
            ("POST", ["leases"]) => {
                let life = Json::parse(&request.body).map_or(0, |body| body.get("life_ms").u64());
                if !(100..=600_000).contains(&life) {
                    return (400, error("life_ms"));
                }
                let life = Duration::from_millis(life);
                state.last_lease += 1;
                let id = state.last_lease;
                state.leases.insert(id, (life, Instant::now() + life));
                (200, obj([("permit", n(id))]))
            }
            ("POST", ["leases", id, "touch"]) => match state.leases.get_mut(&lease_of(id)) {
                None => (404, error("no such lease")),
                Some((life, until)) => {
                    *until = Instant::now() + *life;
                    (200, obj([]))
                }
            },
            ("DELETE", ["leases", id]) => {
                let found = state.end_lease(lease_of(id));
                self.changed.notify_all();
                if found { (200, obj([])) } else { (404, error("no such lease")) }
            }
            _ => (400, error("no such call")),
        }
    }
}
