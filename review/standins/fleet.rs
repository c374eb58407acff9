//! Stand-ins for the machines with their workers and for the cloud, as PROTOCOL describes them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Client, Reply, Request, serve};
use crate::json::{Json, n, obj, s};
use crate::record::Record;

/// The part of the network to which a machine belongs while a zone is cut off.
#[derive(Clone)]
pub struct Side {
    pub controllers: Vec<usize>,
    pub has_token: fn(token: u64, of_the_zone: u64) -> bool,
    pub token_of_the_zone: u64,
}

/// A time at which a worker reports, and its interval from then on. The interval may be longer or shorter than
/// `report_s` by a quarter.
#[derive(Clone)]
pub struct Plan {
    pub at: Instant,
    pub interval_s: f64,
}

/// What the workers read of a job's description.
#[derive(Clone)]
pub struct JobInfo {
    pub loads: u64,
    pub cpus: f64,
    pub memory_gb: f64,
    pub kit: String,
    pub size_gb: f64,
    pub tally_s: f64,
    pub stow_s: f64,
    pub run_s: f64,
    pub standing: bool,
}

#[derive(Clone, PartialEq)]
enum State {
    Fetching,
    Running { until: Option<Instant> },
    Flushing { until: Instant },
    Exited { cause: &'static str, kept: bool },
}

#[derive(Clone)]
struct Task {
    load: String,
    attempt: u64,
    state: State,
}

/// A machine type.
#[derive(Clone)]
pub struct Rig {
    pub name: &'static str,
    pub cpus: f64,
    pub memory_gb: f64,
}

struct Inner {
    shift: u64,
    tick: u64,
    baton: u64,
    lease_start: Instant,
    tasks: Vec<Task>,
    /// Images on the machine, and when those that are being fetched will be there.
    images: BTreeMap<String, Instant>,
    changed: bool,
    /// When the last report was sent, and the controller that answered it with 200.
    last_report: Instant,
    stays_with: Option<usize>,
    /// When the next report is due, and the controller to which it goes.
    next: (Instant, usize),
    /// The last report that was answered with 200, and the controller that answered it.
    last_answered: Option<(String, SocketAddr)>,
    /// Counts how often the machine was restarted.
    starts: u64,
}

/// What all machines share.
pub struct World {
    pub record: Arc<Record>,
    pub jobs: Mutex<BTreeMap<String, JobInfo>>,
    done: Mutex<BTreeSet<String>>,
    /// Labels and public addresses of the controllers.
    pub controllers: Vec<(String, SocketAddr)>,
    pub report_s: f64,
    pub lease_s: f64,
}

impl World {
    pub fn new(record: Arc<Record>, controllers: Vec<(String, SocketAddr)>, report_s: f64, lease_s: f64) -> Arc<World> {
        Arc::new(World { record, jobs: Mutex::default(), done: Mutex::default(), controllers, report_s, lease_s })
    }
}

pub struct Machine {
    pub name: String,
    pub rig: Rig,
    pub yard: String,
    pub addr: SocketAddr,
    world: Arc<World>,
    inner: Mutex<Inner>,
    /// The machine has no network.
    cut: AtomicBool,
    /// It fails every task that it starts.
    faulty: AtomicBool,
    /// While zones are cut off from one another: the controllers on this machine's side, and whether a token is one
    /// of theirs.
    side: Mutex<Option<Side>>,
    /// When the worker is to report next; its intervals stay within those of the page.
    plan: Mutex<Option<Plan>>,
    up: AtomicBool,
    gone: AtomicBool,
}

/// A number from 0 to 1.
pub fn random() -> f64 {
    use std::hash::{BuildHasher, Hasher};
    let hash = std::collections::hash_map::RandomState::new().build_hasher().finish();
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

impl Machine {
    /// A machine that is not up yet.
    pub fn new(world: &Arc<World>, name: &str, rig: Rig, yard: &str) -> std::io::Result<Arc<Machine>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let machine = Arc::new(Machine {
            name: name.to_owned(),
            rig,
            yard: yard.to_owned(),
            addr: listener.local_addr()?,
            world: world.clone(),
            inner: Mutex::new(Inner {
                shift: 1,
                tick: 0,
                baton: 0,
                lease_start: Instant::now(),
                tasks: Vec::new(),
                images: BTreeMap::new(),
                changed: false,
                last_report: Instant::now(),
                stays_with: None,
                next: (Instant::now(), 0),
                last_answered: None,
                starts: 0,
            }),
            cut: AtomicBool::new(false),
            faulty: AtomicBool::new(false),
            side: Mutex::new(None),
            plan: Mutex::new(None),
            up: AtomicBool::new(false),
            gone: AtomicBool::new(false),
        });
        let served = machine.clone();
        serve(listener, move |request| served.handle_call(&request));
        Ok(machine)
    }

    /// The machine is up: its worker begins with session 1 and reports.
    pub fn boot(self: &Arc<Self>, first_controller: usize) {
        self.inner.lock().unwrap().lease_start = Instant::now();
        self.up.store(true, Ordering::SeqCst);
        self.world.record.line(&format!("machine: {} is up", self.name));
        let machine = self.clone();
        thread::spawn(move || {
            while !machine.gone.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
                machine.advance();
            }
        });
        let machine = self.clone();
        thread::spawn(move || machine.report_loop(first_controller));
    }

    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }
    pub fn set_cut(&self, cut: bool) {
        self.world.record.line(&format!(
            "trouble: {} {}",
            self.name,
            if cut { "loses the network" } else { "has the network again" }
        ));
        self.cut.store(cut, Ordering::SeqCst);
    }
    pub fn set_faulty(&self, faulty: bool) {
        let text = if faulty { "fails every task that it starts" } else { "is sound" };
        self.world.record.line(&format!("trouble: {} {text} from now on", self.name));
        self.faulty.store(faulty, Ordering::SeqCst);
    }
    pub fn set_side(&self, side: Option<Side>) {
        *self.side.lock().unwrap() = side;
    }
    pub fn set_plan(&self, plan: Plan) {
        *self.plan.lock().unwrap() = Some(plan);
    }
    pub fn baton(&self) -> u64 {
        self.inner.lock().unwrap().baton
    }

    /// Seconds since the last report was sent, and the controller that answered it.
    pub fn last_report(&self) -> (f64, Option<usize>) {
        let inner = self.inner.lock().unwrap();
        (inner.last_report.elapsed().as_secs_f64(), inner.stays_with)
    }

    /// When the next report is due, and the controller to which it goes.
    pub fn next_report(&self) -> (Instant, usize) {
        self.inner.lock().unwrap().next
    }

    /// Seconds until the next report.
    fn next_interval(&self) -> f64 {
        let (shortest, longest) = (self.world.report_s * 0.75, self.world.report_s * 1.25);
        let random_interval = shortest + (longest - shortest) * random();
        let Some(plan) = self.plan.lock().unwrap().clone() else { return random_interval };
        let left = plan.at.saturating_duration_since(Instant::now()).as_secs_f64();
        if left < 0.1 {
            return plan.interval_s;
        }
        let fits = (1..20).map(|count| left / f64::from(count)).find(|s| (shortest..=longest).contains(s));
        fits.unwrap_or(random_interval)
    }

    pub fn tick(&self) -> u64 {
        self.inner.lock().unwrap().tick
    }
    pub fn last_answered(&self) -> Option<(String, SocketAddr)> {
        self.inner.lock().unwrap().last_answered.clone()
    }

    /// Number of the job's tasks that run here.
    pub fn running(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        let inner = self.inner.lock().unwrap();
        inner.tasks.iter().filter(|t| t.load.starts_with(&prefix) && matches!(t.state, State::Running { .. })).count()
    }

    /// The machine stops with all that is on it, and is back after `down`: the worker begins anew.
    pub fn restart(&self, down: Duration) {
        self.up.store(false, Ordering::SeqCst);
        {
            let mut inner = self.inner.lock().unwrap();
            self.world.record.line(&format!("trouble: {} stops with all that is on it", self.name));
            self.drop_all(&mut inner, "the machine stopped");
            inner.images.clear();
            inner.starts += 1;
            (inner.shift, inner.tick, inner.baton) = (1, 0, 0);
        }
        thread::sleep(down);
        let mut inner = self.inner.lock().unwrap();
        inner.lease_start = Instant::now();
        inner.last_answered = None;
        self.world.record.line(&format!("trouble: {} is back", self.name));
        self.up.store(true, Ordering::SeqCst);
    }

    /// The cloud takes the machine away.
    pub fn delete(&self) {
        if !self.gone.swap(true, Ordering::SeqCst) {
            self.up.store(false, Ordering::SeqCst);
            let mut inner = self.inner.lock().unwrap();
            self.drop_all(&mut inner, "the machine was deleted");
        }
    }

    fn drop_all(&self, inner: &mut Inner, why: &str) {
        for task in std::mem::take(&mut inner.tasks) {
            if matches!(task.state, State::Running { .. } | State::Flushing { .. }) {
                self.world.record.task_gone(&task.load, task.attempt, &self.name, why);
            }
        }
    }

    /// Lets time pass: fetches end, tasks exit, the lease expires.
    fn advance(&self) {
        if !self.is_up() {
            return;
        }
        let now = Instant::now();
        let mut inner = self.inner.lock().unwrap();
        if now.duration_since(inner.lease_start).as_secs_f64() > self.world.lease_s {
            self.drop_all(&mut inner, "the lease expired");
            inner.shift += 1;
            inner.lease_start = now;
            inner.changed = true;
            self.world.record.line(&format!("worker: {}: the lease expired, session {}", self.name, inner.shift));
        }
        let mut tasks = std::mem::take(&mut inner.tasks);
        for task in &mut tasks {
            let job = self.world.jobs.lock().unwrap().get(task.load.split('/').next().unwrap()).cloned();
            let Some(job) = job else { continue };
            match task.state.clone() {
                State::Fetching if inner.images.get(&job.kit).is_some_and(|at| *at <= now) => {
                    self.world.record.task_starts(&task.load, task.attempt, &self.name);
                    if self.faulty.load(Ordering::SeqCst) {
                        self.world.record.task_gone(&task.load, task.attempt, &self.name, "error");
                        task.state = State::Exited { cause: "error", kept: false };
                        inner.changed = true;
                        continue;
                    }
                    let run = if self.world.done.lock().unwrap().contains(&task.load) { 0.0 } else { job.run_s };
                    let until = (!job.standing).then(|| now + Duration::from_secs_f64(run));
                    task.state = State::Running { until };
                    inner.changed = true;
                }
                State::Running { until: Some(until) } if until <= now => {
                    self.world.done.lock().unwrap().insert(task.load.clone());
                    self.world.record.task_gone(&task.load, task.attempt, &self.name, "done");
                    task.state = State::Exited { cause: "done", kept: false };
                    inner.changed = true;
                }
                State::Flushing { until } if until <= now => {
                    self.world.record.task_gone(&task.load, task.attempt, &self.name, "halted, saved");
                    task.state = State::Exited { cause: "halted", kept: true };
                    inner.changed = true;
                }
                _ => {}
            }
        }
        inner.tasks = tasks;
    }

    fn report(&self, inner: &mut Inner) -> Json {
        inner.tick += 1;
        let loads = inner.tasks.iter().map(|task| {
            let (status, cause, kept) = match &task.state {
                State::Fetching => ("fetching", None, false),
                State::Running { .. } => ("running", None, false),
                State::Flushing { .. } => ("flushing", None, false),
                State::Exited { cause, kept } => ("exited", Some(*cause), *kept),
            };
            let mut load = BTreeMap::from([
                ("load".to_owned(), s(&task.load)),
                ("try".to_owned(), n(task.attempt)),
                ("status".to_owned(), s(status)),
            ]);
            if let Some(cause) = cause {
                load.insert("cause".to_owned(), s(cause));
                if cause == "halted" {
                    load.insert("kept".to_owned(), Json::Bool(kept));
                }
            }
            Json::Obj(load)
        });
        obj([
            ("tanker", s(&self.name)),
            ("addr", s(self.addr.to_string())),
            ("rig", s(self.rig.name)),
            ("yard", s(&self.yard)),
            ("borrowed", Json::Bool(false)),
            ("shift", n(inner.shift)),
            ("tick", n(inner.tick)),
            ("baton", n(inner.baton)),
            ("recall_s", Json::Null),
            ("loads", Json::Arr(loads.collect())),
        ])
    }

    /// Carries out commands in order.
    fn execute(&self, inner: &mut Inner, orders: &[Json], from: &str) {
        let now = Instant::now();
        for order in orders {
            let (verb, load, attempt) = (order.get("verb").str(), order.get("load").str(), order.get("try").u64());
            self.world.record.line(&format!("order: {} by {from}: {verb} {load} attempt {attempt}", self.name));
            let held = inner.tasks.iter().position(|t| t.load == load && t.attempt == attempt);
            match (verb, held) {
                ("run", None) => {
                    let (id, number) = load.split_once('/').unwrap_or((load, ""));
                    let jobs = self.world.jobs.lock().unwrap();
                    let job = jobs.get(id).filter(|job| number.parse::<u64>().is_ok_and(|number| number < job.loads));
                    let used = inner.tasks.iter().filter(|t| !matches!(t.state, State::Exited { .. }));
                    let (mut cpus, mut memory) = (0.0, 0.0);
                    for other in used.clone().filter_map(|t| jobs.get(t.load.split('/').next().unwrap())) {
                        cpus += other.cpus;
                        memory += other.memory_gb;
                    }
                    let refused = match job {
                        None => Some("unknown"),
                        Some(_) if used.clone().any(|t| t.load == load) => Some("in_use"),
                        Some(job)
                            if cpus + job.cpus > self.rig.cpus + 1e-6
                                || memory + job.memory_gb > self.rig.memory_gb + 1e-6 =>
                        {
                            Some("no_room")
                        }
                        Some(_) => None,
                    };
                    let state = match refused {
                        Some(cause) => State::Exited { cause, kept: false },
                        None => {
                            let job = job.expect("known");
                            let fetched = now + Duration::from_secs_f64(job.size_gb);
                            inner.images.entry(job.kit.clone()).or_insert(fetched);
                            State::Fetching
                        }
                    };
                    inner.tasks.push(Task { load: load.to_owned(), attempt, state });
                    inner.changed = true;
                }
                ("halt", Some(at)) => {
                    let job = self.world.jobs.lock().unwrap().get(load.split('/').next().unwrap()).cloned();
                    let wind_down_s = order.get("wind_down_s").f64();
                    let task = &mut inner.tasks[at];
                    let on_machine = matches!(task.state, State::Running { .. } | State::Flushing { .. });
                    let saves = job.filter(|job| job.tally_s > 0.0 && wind_down_s >= job.stow_s && wind_down_s > 0.0);
                    match (&task.state, saves) {
                        (State::Exited { .. }, _) => continue,
                        (State::Flushing { .. }, _) if wind_down_s > 0.0 => continue,
                        (State::Running { .. }, Some(job)) => {
                            task.state = State::Flushing { until: now + Duration::from_secs_f64(job.stow_s) };
                        }
                        _ => {
                            task.state = State::Exited { cause: "halted", kept: false };
                            if on_machine {
                                self.world.record.task_gone(load, attempt, &self.name, "halted");
                            }
                        }
                    }
                    inner.changed = true;
                }
                ("clear", Some(at)) if matches!(inner.tasks[at].state, State::Exited { .. }) => {
                    inner.tasks.remove(at);
                    inner.changed = true;
                }
                _ => {}
            }
        }
    }

    fn handle_call(&self, request: &Request) -> Reply {
        if self.cut.load(Ordering::SeqCst) || !self.is_up() {
            return Reply::Lost;
        }
        let mut inner = self.inner.lock().unwrap();
        let status = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => 200,
            ("POST", "/orders") => {
                let Some(body) = Json::parse(&request.body) else { return Reply::Answer(400, "{}".into()) };
                if body.get("baton").is_null() || body.get("shift").is_null() {
                    return Reply::Answer(400, "{}".into());
                }
                let baton = body.get("baton").u64();
                let side = self.side.lock().unwrap().clone();
                if side.is_some_and(|side| !(side.has_token)(baton, side.token_of_the_zone)) {
                    // It comes from the other side of the cut.
                    return Reply::Lost;
                }
                if baton < inner.baton || body.get("shift").u64() != inner.shift {
                    409
                } else {
                    inner.changed |= baton > inner.baton;
                    inner.baton = baton;
                    self.execute(&mut inner, body.get("orders").arr(), &format!("direct call, baton {baton}"));
                    200
                }
            }
            _ => return Reply::Answer(404, "{}".into()),
        };
        let report = self.report(&mut inner);
        Reply::Answer(status, report.text())
    }

    fn report_loop(&self, first_controller: usize) {
        let controllers = self.world.controllers.clone();
        let (mut node, mut client, mut last) = (first_controller % controllers.len(), Client::new(), Instant::now());
        let mut wait = Duration::ZERO;
        while !self.gone.load(Ordering::SeqCst) {
            self.inner.lock().unwrap().next = (last + wait, node);
            // Waits for the interval, or for a change, which is reported after half a second at the least.
            loop {
                thread::sleep(Duration::from_millis(10));
                if !self.is_up() {
                    continue;
                }
                let elapsed = last.elapsed();
                let changed = self.inner.lock().unwrap().changed && elapsed >= Duration::from_millis(500);
                if elapsed >= wait || changed && wait.as_secs_f64() > 1.0 {
                    break;
                }
            }
            last = Instant::now();
            wait = Duration::from_secs_f64(self.next_interval());
            let (text, shift, starts, sent_at) = {
                let mut inner = self.inner.lock().unwrap();
                inner.changed = false;
                (inner.last_report, inner.stays_with) = (last, None);
                (self.report(&mut inner).text(), inner.shift, inner.starts, Instant::now())
            };
            let (label, addr) = controllers[node].clone();
            let reaches = |node: usize| {
                let side = self.side.lock().unwrap();
                !self.cut.load(Ordering::SeqCst) && side.as_ref().is_none_or(|side| side.controllers.contains(&node))
            };
            let answer = if !reaches(node) {
                let until = Instant::now() + Duration::from_secs(4);
                while Instant::now() < until && !reaches(node) {
                    thread::sleep(Duration::from_millis(10));
                }
                None
            } else {
                client.call(addr, "POST", "/v1/report", &text, Duration::from_secs(4))
            };
            if self.inner.lock().unwrap().starts != starts {
                // The worker that sent this report is no more.
                client.close();
                continue;
            }
            let answer = answer.filter(|_| reaches(node) && self.is_up());
            let status = answer.as_ref().map_or("no answer".to_owned(), |(status, _)| status.to_string());
            self.world.record.line(&format!("report: {} to {label}: {status}: {text}", self.name));
            match answer {
                Some((200, body)) => {
                    let Some(body) = Json::parse(&body) else { continue };
                    let mut inner = self.inner.lock().unwrap();
                    let baton = body.get("baton");
                    // Responses with a lower token or none, to an earlier session, or after 4 s are dropped.
                    if baton.is_null() || baton.u64() < inner.baton || shift != inner.shift {
                        continue;
                    }
                    inner.changed |= baton.u64() > inner.baton;
                    inner.baton = baton.u64();
                    inner.lease_start = inner.lease_start.max(sent_at);
                    inner.last_answered = Some((text, addr));
                    inner.stays_with = Some(node);
                    self.execute(
                        &mut inner,
                        body.get("orders").arr(),
                        &format!("answer of {label}, baton {}", baton.u64()),
                    );
                }
                Some((421, body)) => {
                    client.close();
                    let named =
                        Json::parse(&body).map(|body| body.get("dispatcher").str().to_owned()).unwrap_or_default();
                    match controllers.iter().position(|(label, _)| *label == named).filter(|named| *named != node) {
                        Some(named) => (node, wait) = (named, Duration::ZERO),
                        None => (node, wait) = ((node + 1) % controllers.len(), Duration::from_secs(1)),
                    }
                    last = Instant::now();
                }
                _ => {
                    client.close();
                    (node, wait) = ((node + 1) % controllers.len(), Duration::from_secs(1));
                    last = Instant::now();
                }
            }
        }
    }
}

/// Time that the cloud takes for an answer.
const LATENCY: Duration = Duration::from_millis(100);

/// A stand-in for the cloud: its machines are there from the start, and it has no others to rent out.
pub struct Cloud {
    pub machines: Vec<Arc<Machine>>,
    /// Names of the machines that exist.
    listed: Arc<Mutex<Vec<String>>>,
    deleted: Mutex<BTreeSet<String>>,
    start: Instant,
}

impl Cloud {
    pub fn new(machines: Vec<Arc<Machine>>, listed: Arc<Mutex<Vec<String>>>) -> Arc<Cloud> {
        Arc::new(Cloud { machines, listed, deleted: Mutex::default(), start: Instant::now() })
    }
    pub fn serve(self: &Arc<Self>, listener: TcpListener, record: Arc<Record>) {
        let cloud = self.clone();
        serve(listener, move |request| {
            thread::sleep(LATENCY);
            cloud.handle(&request, &record)
        });
    }
    fn handle(&self, request: &Request, record: &Record) -> Reply {
        let answer = |body: Json| Reply::Answer(200, body.text());
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => {
                let mut rigs: BTreeMap<&str, Json> = BTreeMap::new();
                let mut yards: Vec<&str> = self.machines.iter().map(|m| m.yard.as_str()).collect();
                yards.dedup();
                for machine in &self.machines {
                    rigs.entry(machine.rig.name).or_insert_with(|| {
                        obj([
                            ("name", s(machine.rig.name)),
                            ("cpus", n(machine.rig.cpus)),
                            ("gpus", n(0)),
                            ("memory_gb", n(machine.rig.memory_gb)),
                            ("cache_gb", n(35)),
                            ("fetch_gb_per_s", n("1.0")),
                            ("hourly", n("0.62")),
                            ("market_price", n("0.29")),
                            ("boot_s", n(25)),
                            ("yards", Json::Arr(yards.iter().map(|yard| s(*yard)).collect())),
                        ])
                    });
                }
                answer(obj([("rigs", Json::Arr(rigs.into_values().collect()))]))
            }
            ("POST", "/machines") => Reply::Answer(503, r#"{"error":"no capacity"}"#.into()),
            ("POST", "/machines/release") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                record.line(&format!("cloud: release {}", body.text()));
                for name in body.get("tankers").arr() {
                    self.deleted.lock().unwrap().insert(name.str().to_owned());
                    self.machines.iter().filter(|m| m.name == name.str()).for_each(|m| m.delete());
                }
                answer(obj([]))
            }
            ("GET", "/machines") => {
                let since = request.param("since");
                let (deleted, listed) = (self.deleted.lock().unwrap(), self.listed.lock().unwrap());
                let exists = |m: &&Arc<Machine>| listed.contains(&m.name) && !deleted.contains(&m.name);
                let tankers = self.machines.iter().filter(|m| m.name > since).filter(exists).map(|m| {
                    obj([
                        ("name_id", s(&m.name)),
                        ("addr", s(m.addr.to_string())),
                        ("rig", s(m.rig.name)),
                        ("yard", s(&m.yard)),
                        ("borrowed", Json::Bool(false)),
                        ("status", s(if m.is_up() { "running" } else { "starting" })),
                        ("age_s", n(self.start.elapsed().as_secs_f64())),
                    ])
                });
                answer(obj([("tankers", Json::Arr(tankers.collect())), ("more", Json::Bool(false))]))
            }
            _ => Reply::Answer(400, "{}".into()),
        }
    }
}
