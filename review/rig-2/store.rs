//! A stand-in for the state service, after PROTOCOL "Controller nodes -> state service".

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, listen, serve};
use crate::json::Json;

/// Changes that are kept for watches.
const KEPT_CHANGES: usize = 10_000;
/// Usual time of an answer.
const LATENCY: Duration = Duration::from_millis(3);

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, tokens: rate, at: Instant::now() }
    }

    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let enough = self.tokens >= count;
        if enough {
            self.tokens -= count;
        }
        enough
    }
}

struct State {
    rows: BTreeMap<String, (Json, u64, Option<u64>)>,
    ledger: u64,
    changes: Vec<(u64, String, Option<Json>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
    outage: bool,
}

pub struct Store {
    limits: Limits,
    state: Mutex<State>,
    changed: Condvar,
}

fn reply(status: u16, body: Json) -> Answer {
    Answer::Reply(status, body.write())
}

fn error(status: u16, text: &str) -> Answer {
    reply(status, Json::obj(vec![("error", Json::str(text))]))
}

impl State {
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.rows.iter().filter(|(_, row)| row.2 == Some(lease)).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.ledger += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }

    fn remove(&mut self, key: &str) {
        if self.rows.remove(key).is_some() {
            self.changes.push((self.ledger, key.to_owned(), None));
        }
    }

    fn trim(&mut self) {
        let excess = self.changes.len().saturating_sub(KEPT_CHANGES);
        self.changes.drain(..excess);
    }
}

fn row(key: &str, value: &Json, stamp: u64) -> Json {
    Json::obj(vec![("path", Json::str(key)), ("data", value.clone()), ("stamp", Json::int(stamp))])
}

impl Store {
    /// Starts the service and returns it with its address.
    pub fn start(limits: Limits) -> (Arc<Store>, SocketAddr) {
        let state = State {
            rows: BTreeMap::new(),
            ledger: 0,
            changes: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
            outage: false,
        };
        let store = Arc::new(Store { limits, state: Mutex::new(state), changed: Condvar::new() });
        let (listener, addr) = listen();
        let server = store.clone();
        serve(listener, Arc::new(move |request| server.handle(request)));
        let clock = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                clock.expire();
            }
        });
        (store, addr)
    }

    /// Begins or ends an outage. After it all leases get their full time again.
    #[allow(dead_code)]
    pub fn set_outage(&self, outage: bool) {
        let mut state = self.state.lock().unwrap();
        state.outage = outage;
        let now = Instant::now();
        state.leases.values_mut().for_each(|(life, until)| *until = now + *life);
        drop(state);
        self.changed.notify_all();
    }

    /// The label of the controller that holds the leader's key, and the key's version.
    pub fn leader(&self) -> Option<(String, u64)> {
        let state = self.state.lock().unwrap();
        state.rows.get("lead").map(|(value, stamp, _)| (value.get("label").text().to_owned(), *stamp))
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        if state.outage {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        if !ended.is_empty() {
            ended.into_iter().for_each(|lease| state.end_lease(lease));
            drop(state);
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: Request) -> Answer {
        std::thread::sleep(LATENCY);
        {
            let mut state = self.state.lock().unwrap();
            if state.outage {
                return error(503, "outage");
            }
            if !state.requests.take(1.0) {
                return error(429, "too many requests");
            }
        }
        let parts: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["kv"]) => self.list(&request),
            ("GET", ["kv", ..]) => self.get(request.path.trim_start_matches("/kv/")),
            ("GET", ["changes"]) => self.watch(&request),
            ("POST", ["txn"]) => self.txn(&request.body),
            ("POST", ["leases"]) => {
                let life = Json::parse(&request.body).and_then(|body| body.get("life_ms").u64());
                let Some(life) = life.filter(|life| (100..=600_000).contains(life)) else {
                    return error(400, "life_ms");
                };
                let mut state = self.state.lock().unwrap();
                state.last_lease += 1;
                let (id, life) = (state.last_lease, Duration::from_millis(life));
                state.leases.insert(id, (life, Instant::now() + life));
                reply(200, Json::obj(vec![("permit", Json::int(id))]))
            }
            ("POST", ["leases", id, "touch"]) => {
                let mut state = self.state.lock().unwrap();
                match id.parse::<u64>().ok().and_then(|id| state.leases.get_mut(&id)) {
                    Some((life, until)) => {
                        *until = Instant::now() + *life;
                        reply(200, Json::obj(vec![]))
                    }
                    None => error(404, "no such lease"),
                }
            }
            ("DELETE", ["leases", id]) => {
                let mut state = self.state.lock().unwrap();
                let id = id.parse::<u64>().unwrap_or(0);
                if !state.leases.contains_key(&id) {
                    return error(404, "no such lease");
                }
                state.end_lease(id);
                drop(state);
                self.changed.notify_all();
                reply(200, Json::obj(vec![]))
            }
            _ => error(400, "malformed"),
        }
    }

    fn get(&self, key: &str) -> Answer {
        let state = self.state.lock().unwrap();
        match state.rows.get(key) {
            Some((value, stamp, lease)) => {
                let mut item = row(key, value, *stamp);
                if let (Json::Obj(fields), Some(lease)) = (&mut item, lease) {
                    fields.push(("permit".into(), Json::int(*lease)));
                }
                reply(200, item)
            }
            None => reply(404, Json::obj(vec![("ledger", Json::int(state.ledger))])),
        }
    }

    fn list(&self, request: &Request) -> Answer {
        let starts = request.parameter("starts").unwrap_or_default();
        let since = request.parameter("since").unwrap_or_default();
        let most = request.parameter("most").and_then(|most| most.parse().ok()).unwrap_or(1000).min(1000);
        let state = self.state.lock().unwrap();
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (value, stamp, _)) in state.rows.range(starts.clone()..) {
            if !key.starts_with(&starts) {
                break;
            }
            if *key <= since && !since.is_empty() {
                continue;
            }
            let item = row(key, value, *stamp);
            bytes += item.write().len();
            if rows.len() == most || bytes > 500 * 1024 {
                more = true;
                break;
            }
            rows.push(item);
        }
        reply(
            200,
            Json::obj(vec![("rows", Json::Arr(rows)), ("more", Json::Bool(more)), ("ledger", Json::int(state.ledger))]),
        )
    }

    fn watch(&self, request: &Request) -> Answer {
        let starts = request.parameter("starts").unwrap_or_default();
        let since = request.parameter("since").and_then(|since| since.parse::<u64>().ok()).unwrap_or(0);
        let block = request.parameter("block_ms").and_then(|block| block.parse::<u64>().ok()).unwrap_or(0).min(60_000);
        let until = Instant::now() + Duration::from_millis(block);
        let mut state = self.state.lock().unwrap();
        loop {
            if !state.outage {
                let oldest = state.changes.first().map_or(0, |(ledger, ..)| *ledger);
                if state.changes.len() >= KEPT_CHANGES && oldest > since + 1 {
                    return error(410, "too old");
                }
                let from = state.changes.partition_point(|(ledger, ..)| *ledger <= since);
                let matching = state.changes[from..].iter().filter(|(_, key, _)| key.starts_with(&starts));
                let events: Vec<Json> = matching
                    .map(|(ledger, key, value)| match value {
                        Some(value) => Json::obj(vec![
                            ("write", Json::str(key)),
                            ("data", value.clone()),
                            ("stamp", Json::int(*ledger)),
                        ]),
                        None => Json::obj(vec![("drop", Json::str(key)), ("stamp", Json::int(*ledger))]),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let ledger = Json::int(state.ledger);
                    return reply(200, Json::obj(vec![("ledger", ledger), ("events", Json::Arr(events))]));
                }
            }
            let wait =
                until.saturating_duration_since(Instant::now()).clamp(Duration::from_millis(1), Duration::from_secs(1));
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }

    fn txn(&self, body: &[u8]) -> Answer {
        let Some(txn) = Json::parse(body).filter(|_| body.len() <= 64 * 1024) else { return error(400, "malformed") };
        let (when, writes) = (txn.get("when").items(), txn.get("writes").items());
        let too_large = |write: &Json| write.get("data").write().len() > self.limits.value_bytes;
        if writes.len() > self.limits.txn_ops || when.len() > 4 * self.limits.txn_ops || writes.iter().any(too_large) {
            return error(400, "too large");
        }
        let mut state = self.state.lock().unwrap();
        if !state.writes.take(writes.len() as f64) {
            return error(429, "too many changes");
        }
        let gone = |write: &Json| write.get("permit").u64().is_some_and(|lease| !state.leases.contains_key(&lease));
        if writes.iter().any(gone) {
            return error(400, "no such lease");
        }
        let stamp_of = |key: &str| state.rows.get(key).map_or(0, |row| row.1);
        let failed: Vec<Json> = when
            .iter()
            .filter(|condition| condition.get("stamp").u64() != Some(stamp_of(condition.get("path").text())))
            .map(|condition| condition.get("path").clone())
            .collect();
        if !failed.is_empty() {
            let ledger = Json::int(state.ledger);
            return reply(409, Json::obj(vec![("failed", Json::Arr(failed)), ("ledger", ledger)]));
        }
        if !writes.is_empty() {
            state.ledger += 1;
        }
        let ledger = state.ledger;
        for write in writes {
            if write.get("drop").is_null() {
                let (key, value) = (write.get("write").text().to_owned(), write.get("data").clone());
                state.rows.insert(key.clone(), (value.clone(), ledger, write.get("permit").u64()));
                state.changes.push((ledger, key, Some(value)));
            } else {
                state.remove(write.get("drop").text());
            }
        }
        state.trim();
        drop(state);
        self.changed.notify_all();
        reply(200, Json::obj(vec![("ledger", Json::int(ledger))]))
    }
}
