//! A stand-in for the worker on a machine, after PROTOCOL "Workers -> controller nodes".

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Connection, Request, listen, serve};
use crate::json::Json;
use crate::world::World;

/// What all workers know.
pub struct Site {
    pub world: Arc<World>,
    /// Labels and addresses of the controllers.
    pub nodes: Vec<(String, SocketAddr)>,
    pub report_s: f64,
    pub lease_s: f64,
}

/// Properties of a machine's type.
#[derive(Clone)]
pub struct Rig {
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
}

struct Load {
    name: String,
    attempt: u64,
    status: &'static str,
    why: &'static str,
    kept: bool,
    /// End of the present state, if it ends by itself.
    until: Option<Instant>,
    /// Seconds of its run that are saved.
    saved_s: f64,
    running_since: Option<Instant>,
}

impl Load {
    fn alive(&self) -> bool {
        self.status != "exited"
    }
}

struct State {
    shift: u64,
    tick: u64,
    baton: u64,
    loads: Vec<Load>,
    lease_start: Instant,
    images: BTreeMap<String, Option<Instant>>,
    changed: bool,
    baton_news: Option<Instant>,
    refused: u64,
    /// When the last answer to a report was accepted.
    answered: Option<Instant>,
    /// Largest report that was sent, in bytes.
    largest_report: usize,
}

pub struct Worker {
    pub name: String,
    pub rig: Rig,
    pub yard: String,
    pub spot: bool,
    pub addr: SocketAddr,
    site: Arc<Site>,
    state: Mutex<State>,
    wake: Condvar,
    dead: Mutex<bool>,
    /// Since when its network is interrupted, if it is: what it sends is lost, what comes is held back.
    cut: Mutex<Option<Instant>>,
    /// Calls that came while its network was interrupted: how many, and how many of them were delivered since.
    held: Mutex<(u64, u64)>,
    /// When a call last came while its network was interrupted, delivered later or not.
    last_held: Mutex<Option<Instant>>,
    /// Bodies of these calls.
    held_bodies: Mutex<Vec<String>>,
}

impl Worker {
    pub fn start(site: Arc<Site>, name: &str, rig: Rig, yard: &str, spot: bool, first: usize) -> Arc<Worker> {
        let (listener, addr) = listen();
        let state = State {
            shift: 1,
            tick: 0,
            baton: 0,
            loads: Vec::new(),
            lease_start: Instant::now(),
            images: BTreeMap::new(),
            changed: false,
            baton_news: None,
            refused: 0,
            answered: None,
            largest_report: 0,
        };
        let worker = Arc::new(Worker {
            name: name.into(),
            rig,
            yard: yard.into(),
            spot,
            addr,
            site,
            state: Mutex::new(state),
            wake: Condvar::new(),
            dead: Mutex::new(false),
            cut: Mutex::new(None),
            held: Mutex::new((0, 0)),
            last_held: Mutex::new(None),
            held_bodies: Mutex::default(),
        });
        let (server, clock, reporter) = (worker.clone(), worker.clone(), worker.clone());
        serve(listener, Arc::new(move |request| server.handle(request)));
        std::thread::spawn(move || {
            while !clock.is_dead() {
                std::thread::sleep(Duration::from_millis(10));
                clock.advance();
            }
        });
        std::thread::spawn(move || reporter.report_loop(first));
        worker
    }

    pub fn is_dead(&self) -> bool {
        *self.dead.lock().unwrap()
    }

    /// Stops the machine with all that is on it.
    pub fn stop(&self, why: &str) {
        *self.dead.lock().unwrap() = true;
        let mut state = self.state.lock().unwrap();
        for load in state.loads.drain(..) {
            self.site.world.ended(&load.name, &self.name, why);
        }
        drop(state);
        self.wake.notify_all();
    }

    /// Interrupts the machine's network, or ends the interruption: calls that were held back arrive then, in order.
    pub fn set_cut(&self, cut: bool) {
        *self.cut.lock().unwrap() = cut.then(Instant::now);
        let what = if cut { "is interrupted" } else { "is back" };
        self.site.world.note(&format!("TROUBLE machine {}: its network {what}", self.name));
    }

    fn is_cut(&self) -> bool {
        self.cut.lock().unwrap().is_some()
    }

    /// Whether a call that starts the task is held back.
    pub fn holds_start(&self, load: &str) -> bool {
        let name = format!("\"{load}\"");
        self.held_bodies.lock().unwrap().iter().any(|body| body.contains("\"run\"") && body.contains(&name))
    }

    /// Seconds since a call last came while its network was interrupted.
    pub fn last_held_s(&self) -> f64 {
        self.last_held.lock().unwrap().map_or(f64::MAX, |at| at.elapsed().as_secs_f64())
    }

    /// Stops the machine with all that is on it. It is back at once, with a worker that begins anew.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        for load in state.loads.drain(..) {
            self.site.world.ended(&load.name, &self.name, "its machine stopped");
        }
        (state.shift, state.tick, state.baton) = (1, 0, 0);
        state.images.clear();
        state.lease_start = Instant::now();
        state.baton_news = None;
        drop(state);
        self.site.world.note(&format!("TROUBLE machine {} stops and is back at once", self.name));
    }

    /// Holds a call back while the network is interrupted, and delivers it after those that came before it.
    fn hold(&self, body: &[u8]) {
        let turn = {
            let mut held = self.held.lock().unwrap();
            held.0 += 1;
            held.0 - 1
        };
        let text = String::from_utf8_lossy(body).into_owned();
        self.site.world.note(&format!("machine {}: a call is held back: {text}", self.name));
        self.held_bodies.lock().unwrap().push(text);
        while self.is_cut() || self.held.lock().unwrap().1 < turn {
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// The highest token seen.
    pub fn baton(&self) -> u64 {
        self.state.lock().unwrap().baton
    }

    /// Session, number of reports that got another answer than 200 or 421, and bytes of the largest report.
    pub fn report_statistics(&self) -> (u64, u64, usize) {
        let state = self.state.lock().unwrap();
        (state.shift, state.refused, state.largest_report)
    }

    /// Seconds since the last answer to a report was accepted.
    pub fn answered_s(&self) -> f64 {
        self.state.lock().unwrap().answered.map_or(f64::MAX, |at| at.elapsed().as_secs_f64())
    }

    /// Number of tasks that have not exited.
    pub fn alive_loads(&self) -> usize {
        self.state.lock().unwrap().loads.iter().filter(|load| load.alive()).count()
    }

    fn report(&self, state: &mut State) -> String {
        state.tick += 1;
        let loads = state.loads.iter().map(|load| {
            let mut fields = vec![
                ("load", Json::str(&load.name)),
                ("try", Json::int(load.attempt)),
                ("status", Json::str(load.status)),
            ];
            if !load.alive() {
                fields.push(("cause", Json::str(load.why)));
                if load.why == "halted" {
                    fields.push(("kept", Json::Bool(load.kept)));
                }
            }
            Json::obj(fields)
        });
        let loads = Json::Arr(loads.collect());
        Json::obj(vec![
            ("tanker", Json::str(&self.name)),
            ("addr", Json::str(&self.addr.to_string())),
            ("rig", Json::str(&self.rig.name)),
            ("yard", Json::str(&self.yard)),
            ("borrowed", Json::Bool(self.spot)),
            ("shift", Json::int(state.shift)),
            ("tick", Json::int(state.tick)),
            ("baton", Json::int(state.baton)),
            ("recall_s", Json::Null),
            ("loads", loads),
        ])
        .write()
    }

    fn handle(&self, request: Request) -> Answer {
        let Some(since) = *self.cut.lock().unwrap() else { return self.answer(request) };
        *self.last_held.lock().unwrap() = Some(Instant::now());
        if request.opened >= since {
            // An attempt to connect that was given up does not complete later.
            return Answer::Hang;
        }
        self.hold(&request.body);
        let answer = self.answer(request);
        self.held.lock().unwrap().1 += 1;
        answer
    }

    fn answer(&self, request: Request) -> Answer {
        if self.is_dead() {
            return Answer::Hang;
        }
        let mut state = self.state.lock().unwrap();
        if request.path == "/status" {
            return Answer::Reply(200, self.report(&mut state));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (Some(baton), Some(shift)) = (body.get("baton").u64(), body.get("shift").u64()) else {
            return Answer::Reply(400, "{}".into());
        };
        if baton < state.baton || shift != state.shift {
            return Answer::Reply(409, self.report(&mut state));
        }
        self.see_baton(&mut state, baton);
        self.execute(&mut state, body.get("orders").items());
        self.wake.notify_all();
        Answer::Reply(200, self.report(&mut state))
    }

    fn see_baton(&self, state: &mut State, baton: u64) {
        if baton > state.baton {
            state.baton = baton;
            let half = Duration::from_secs_f64(self.site.lease_s / 2.0);
            if state.baton_news.is_none_or(|at| at.elapsed() >= half) {
                state.baton_news = Some(Instant::now());
                state.changed = true;
            }
        }
    }

    fn execute(&self, state: &mut State, orders: &[Json]) {
        let world = &self.site.world;
        for order in orders {
            let (name, attempt) = (order.get("load").text(), order.get("try").u64().unwrap_or(0));
            let position = state.loads.iter().position(|load| load.name == name && load.attempt == attempt);
            match order.get("verb").text() {
                "run" if position.is_none() => {
                    let job = {
                        let inner = world.inner.lock().unwrap();
                        let id = name.split('/').next().unwrap_or_default();
                        inner.jobs.get(id).cloned()
                    };
                    let mut load = Load {
                        name: name.into(),
                        attempt,
                        status: "exited",
                        why: "unknown",
                        kept: false,
                        until: None,
                        saved_s: 0.0,
                        running_since: None,
                    };
                    if let Some(job) = job {
                        let used = |state: &State| {
                            let inner = world.inner.lock().unwrap();
                            let jobs = state.loads.iter().filter(|load| load.alive());
                            jobs.fold((0.0, 0.0, 0.0), |sum: (f64, f64, f64), load| {
                                let job = &inner.jobs[load.name.split('/').next().unwrap_or_default()];
                                (sum.0 + job.cpus, sum.1 + job.memory_gb, sum.2 + job.gpus)
                            })
                        };
                        let (cpus, memory_gb, gpus) = used(state);
                        let fits = cpus + job.cpus <= self.rig.cpus + 1e-6
                            && gpus + job.gpus <= self.rig.gpus + 1e-6
                            && memory_gb + job.memory_gb <= self.rig.memory_gb + 1e-6;
                        if state.loads.iter().any(|load| load.name == name && load.alive()) {
                            load.why = "in_use";
                        } else if !fits {
                            load.why = "no_room";
                        } else {
                            load.status = "fetching";
                            load.why = "";
                            let fetch = Duration::from_secs_f64(job.size_gb / self.rig.fetch_gb_per_s);
                            state.images.entry(job.kit.clone()).or_insert_with(|| Some(Instant::now() + fetch));
                        }
                    }
                    state.loads.push(load);
                    state.changed = true;
                }
                "halt" => {
                    let Some(position) = position else { continue };
                    let grace = order.get("wind_down_s").f64().unwrap_or(0.0);
                    let job = world.inner.lock().unwrap().jobs.get(name.split('/').next().unwrap_or_default()).cloned();
                    let load = &mut state.loads[position];
                    if !load.alive() {
                        continue;
                    }
                    let job = job.expect("a known job");
                    let saves = load.status == "running" && job.tally_s > 0.0 && grace >= job.stow_s && grace > 0.0;
                    if saves {
                        load.status = "flushing";
                        load.until = Some(Instant::now() + Duration::from_secs_f64(job.stow_s));
                    } else if load.status != "flushing" || grace <= 0.0 {
                        (load.status, load.why) = ("exited", "halted");
                        let name = load.name.clone();
                        world.ended(&name, &self.name, "halted");
                    }
                    state.changed = true;
                }
                "clear" => {
                    if let Some(position) = position.filter(|position| !state.loads[*position].alive()) {
                        state.loads.remove(position);
                        state.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// Lets images arrive, tasks run and end, and the lease expire.
    fn advance(&self) {
        let now = Instant::now();
        let world = &self.site.world;
        let mut state = self.state.lock().unwrap();
        if self.is_dead() {
            return;
        }
        if now.duration_since(state.lease_start).as_secs_f64() > self.site.lease_s {
            for load in state.loads.drain(..) {
                world.ended(&load.name, &self.name, "lease expired");
            }
            state.shift += 1;
            state.lease_start = now;
            state.changed = true;
            world.note(&format!("machine {}: its lease expired, session {}", self.name, state.shift));
        }
        for ready in state.images.values_mut() {
            if ready.is_some_and(|at| at <= now) {
                *ready = None;
            }
        }
        let here: BTreeSet<String> =
            state.images.iter().filter(|(_, ready)| ready.is_none()).map(|(image, _)| image.clone()).collect();
        let mut changed = false;
        for load in &mut state.loads {
            let id = load.name.split('/').next().unwrap_or_default().to_owned();
            match load.status {
                "fetching" => {
                    let (job, kept) = {
                        let inner = world.inner.lock().unwrap();
                        (inner.jobs[&id].clone(), inner.results.contains(&load.name))
                    };
                    if here.contains(&job.kit) {
                        changed = true;
                        world.started(&load.name, load.attempt, &self.name);
                        if kept {
                            (load.status, load.why) = ("exited", "done");
                            world.ended(&load.name, &self.name, "done");
                        } else {
                            load.status = "running";
                            load.running_since = Some(now);
                            load.until = Some(now + Duration::from_secs_f64((job.run_s - load.saved_s).max(0.1)));
                        }
                    }
                }
                "running" if load.until.is_some_and(|until| until <= now) => {
                    changed = true;
                    (load.status, load.why) = ("exited", "done");
                    world.inner.lock().unwrap().results.insert(load.name.clone());
                    world.ended(&load.name, &self.name, "done");
                }
                "flushing" if load.until.is_some_and(|until| until <= now) => {
                    changed = true;
                    (load.status, load.why, load.kept) = ("exited", "halted", true);
                    world.ended(&load.name, &self.name, "halted");
                }
                _ => {}
            }
        }
        if changed {
            state.changed = true;
        }
        if state.changed {
            self.wake.notify_all();
        }
    }

    /// Reports to one controller at a time.
    fn report_loop(&self, first: usize) {
        let nodes = &self.site.nodes;
        let world = &self.site.world;
        let (mut node, mut connection) = (first % nodes.len(), Connection::default());
        let mut spread = 0.37 * (first as f64 + 1.0);
        loop {
            let sent = Instant::now();
            let (body, shift) = {
                let mut state = self.state.lock().unwrap();
                state.changed = false;
                let body = self.report(&mut state);
                if body.len() > state.largest_report {
                    state.largest_report = body.len();
                }
                (body, state.shift)
            };
            if self.is_dead() {
                return;
            }
            let answer = if self.is_cut() {
                std::thread::sleep(Duration::from_secs(4));
                None
            } else {
                connection.call(nodes[node].1, "POST", "/v1/report", &body, Duration::from_secs(4))
            };
            // What comes while the network is interrupted does not reach the worker.
            let answer = answer.filter(|_| !self.is_cut());
            if self.is_dead() {
                return;
            }
            match answer {
                Some((200, answer)) => {
                    let answer = Json::parse(&answer).unwrap_or(Json::Null);
                    let mut state = self.state.lock().unwrap();
                    if let Some(baton) = answer.get("baton").u64().filter(|baton| *baton >= state.baton)
                        && shift == state.shift
                    {
                        self.see_baton(&mut state, baton);
                        state.lease_start = state.lease_start.max(sent);
                        state.answered = Some(Instant::now());
                        self.execute(&mut state, answer.get("orders").items());
                    }
                }
                Some((421, answer)) => {
                    connection.close();
                    let answer = Json::parse(&answer).unwrap_or(Json::Null);
                    let named = nodes.iter().position(|(label, _)| label == answer.get("dispatcher").text());
                    match named.filter(|named| *named != node) {
                        Some(named) => node = named,
                        None => {
                            node = (node + 1) % nodes.len();
                            std::thread::sleep(Duration::from_secs(1));
                        }
                    }
                    continue;
                }
                other => {
                    let status = other.map_or("no answer".to_owned(), |(status, _)| format!("status {status}"));
                    world.note(&format!(
                        "machine {}: a report of {} bytes to {} got {status}",
                        self.name,
                        body.len(),
                        nodes[node].0
                    ));
                    self.state.lock().unwrap().refused += 1;
                    connection.close();
                    node = (node + 1) % nodes.len();
                    std::thread::sleep(Duration::from_secs(1));
                    continue;
                }
            }
            // The next report: after the interval, give or take a quarter, or on a change, but half a second later at least.
            spread = (spread * 7.31 + 0.17) % 1.0;
            let next = sent + Duration::from_secs_f64(self.site.report_s * (0.75 + 0.5 * spread));
            let soonest = sent + Duration::from_millis(500);
            let mut state = self.state.lock().unwrap();
            loop {
                let now = Instant::now();
                if self.is_dead() || now >= next || (state.changed && now >= soonest) {
                    break;
                }
                let until = if state.changed { soonest } else { next };
                state = self
                    .wake
                    .wait_timeout(state, until.saturating_duration_since(now).max(Duration::from_millis(1)))
                    .unwrap()
                    .0;
            }
        }
    }
}
