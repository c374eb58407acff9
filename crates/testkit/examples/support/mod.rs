//! A fleet around the real program over loopback, in real time: the state service, the cloud and the
//! workers are the stand-ins, the controllers are processes.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rushyoke_core::{CloudOp, CloudResponse, StoreOp, StoreResponse};
use rushyoke_testkit::{Cloud, Store, Worker};
use rushyoke_wire::cloud::{MachineNames, MachineTypes, Rental};
use rushyoke_wire::job::JobSpec;
use rushyoke_wire::store::{Committed, FailedConditions, Lease, NewLease, Txn};
use rushyoke_wire::worker::{Orders, ReportRedirect};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Controllers of a deployment.
pub const NODE_COUNT: usize = 3;
/// For so long a worker waits for the answer to a report.
const REPORT_LIMIT: Duration = Duration::from_secs(4);
/// After this time a worker tries the next controller.
const NEXT_NODE: Duration = Duration::from_secs(1);
const STORE_ADDRESS: &str = "127.0.0.1:23790";
const CLOUD_ADDRESS: &str = "127.0.0.1:23791";

/// What a run is about.
#[derive(Clone)]
pub struct Setup {
    /// Interval of workers' reports.
    pub report_interval: Duration,
    /// Life of a worker's lease.
    pub worker_lease: Duration,
    /// How long tasks run.
    pub task_duration_s: f64,
    /// How long rented machines take to come up.
    pub boot_time: Duration,
    /// Machines that the cloud has.
    pub capacity: u32,
    /// Teams with what they are guaranteed and may use at the most.
    pub teams: Vec<(&'static str, f64, f64)>,
    /// Sockets and megabytes that each controller is granted.
    pub max_sockets: usize,
    pub max_memory_mb: f64,
    /// The operators' file, if there is one.
    pub policy_file: Option<PathBuf>,
}

/// The stand-ins of one run.
pub struct Testbed {
    pub setup: Setup,
    started_at: Instant,
    pub store: RefCell<Store>,
    changed: tokio::sync::Notify,
    pub cloud: RefCell<Cloud>,
    pub workers: RefCell<BTreeMap<String, Rc<RefCell<Worker>>>>,
    pub specs: RefCell<BTreeMap<String, JobSpec>>,
    pub report_count: Cell<u64>,
    pub direct_call_count: Cell<u64>,
    pub user_request_count: Cell<u64>,
    /// Zones whose workers no packet reaches or leaves.
    pub partitioned_zones: RefCell<BTreeSet<String>>,
}

type Reply = Result<Response<Full<Bytes>>, Infallible>;

fn reply(status: u16, body: impl serde::Serialize) -> Response<Full<Bytes>> {
    let body = Bytes::from(serde_json::to_vec(&body).expect("answers encode"));
    Response::builder().status(status).body(Full::new(body)).expect("a fixed head")
}

/// Where users and workers reach a controller.
pub fn public_address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 10 + node as u8], 8080))
}

/// Each machine has an address of its own.
fn machine_address(machine: &str) -> SocketAddr {
    let serial: u32 = machine.trim_start_matches("n-").parse().expect("a machine's name");
    SocketAddr::from(([127, 1, (serial / 250) as u8, (serial % 250 + 1) as u8], 9000))
}

async fn serve<F, W>(addr: SocketAddr, testbed: Rc<Testbed>, handler: F)
where
    F: Fn(Rc<Testbed>, Request<Incoming>) -> W + Clone + 'static,
    W: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let listener = TcpListener::bind(addr).await.expect("the address is free");
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let (testbed, handler) = (testbed.clone(), handler.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let answer = handler(testbed.clone(), request);
                async move { Reply::Ok(answer.await) }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn query(request: &Request<Incoming>, name: &str) -> String {
    let pairs = request.uri().query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next().unwrap_or_default()
}

impl Testbed {
    /// Stand-ins that serve from now on, and a cloud with so many machines already rented.
    pub async fn start(setup: Setup, machines: u32) -> Rc<Testbed> {
        let mut cloud = Cloud::new(&["a", "b", "c"]);
        cloud.capacity = setup.capacity;
        (0..machines).for_each(|n| drop(cloud.add_machine(Duration::ZERO, ["a", "b", "c"][n as usize % 3], false)));
        let testbed = Rc::new(Testbed {
            setup,
            started_at: Instant::now(),
            store: RefCell::new(Store::new()),
            changed: tokio::sync::Notify::new(),
            cloud: RefCell::new(cloud),
            workers: RefCell::default(),
            specs: RefCell::default(),
            report_count: Cell::new(0),
            direct_call_count: Cell::new(0),
            user_request_count: Cell::new(0),
            partitioned_zones: RefCell::default(),
        });
        tokio::task::spawn_local(serve(STORE_ADDRESS.parse().expect("fixed"), testbed.clone(), Testbed::serve_store));
        tokio::task::spawn_local(serve(CLOUD_ADDRESS.parse().expect("fixed"), testbed.clone(), Testbed::serve_cloud));
        tokio::task::spawn_local(testbed.clone().boot_machines());
        sleep(Duration::from_millis(100)).await;
        testbed
    }

    /// Starts a controller's process, by `WRAP` and `PROGRAM` of the environment if they are set.
    pub fn start_controller(&self, node: usize) -> Child {
        let file = std::env::temp_dir().join(format!("rushyoke-loopback-{node}.toml"));
        std::fs::write(&file, settings(node, &self.setup)).expect("a file can be written");
        let wrap = std::env::var("WRAP").unwrap_or_default();
        let program = std::env::var("PROGRAM").unwrap_or("target/release/rushyoke".into());
        let line = wrap.replace("{}", &format!("node-{node}"));
        let mut words = line.split_whitespace().chain([program.as_str(), "--config"]);
        let mut command = Command::new(words.next().expect("a program"));
        command.args(words).arg(&file);
        if let Some(policy) = &self.setup.policy_file {
            command.arg("--policy").arg(policy);
        }
        command.spawn().expect("the program is built (cargo build --release)")
    }

    /// The time since the run began.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    async fn serve_store(self: Rc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let (starts, since) = (query(&request, "starts"), query(&request, "since"));
        if path == "/changes" {
            let wait = Duration::from_millis(query(&request, "block_ms").parse().unwrap_or(0));
            let (after, until) = (since.parse().unwrap_or(0), Instant::now() + wait);
            loop {
                let changed = self.changed.notified();
                let answer = self.store.borrow().watch(&starts, after);
                match answer {
                    Some(StoreResponse::Changes(changes)) => return reply(200, changes),
                    Some(_) => return reply(410, ()),
                    None => {}
                }
                let left = until.saturating_duration_since(Instant::now());
                if timeout(left, changed).await.is_err() {
                    return reply(200, json!({"ledger": self.store.borrow().revision, "events": []}));
                }
            }
        }
        let parts: Vec<&str> = path.trim_start_matches('/').splitn(3, '/').collect();
        let lease = |n: usize| parts.get(n).and_then(|id| id.parse().ok()).unwrap_or(0);
        let op = match (request.method().as_str(), parts.as_slice()) {
            ("GET", ["kv"]) => StoreOp::List { prefix: starts, after: since },
            ("GET", ["kv", ..]) => StoreOp::Get(path.trim_start_matches("/kv/").into()),
            ("DELETE", _) => StoreOp::EndLease(lease(1)),
            ("POST", ["leases", _, "touch"]) => StoreOp::RenewLease(lease(1)),
            _ => {
                let body = request.into_body().collect().await.expect("a body").to_bytes();
                if path == "/txn" {
                    StoreOp::Txn(serde_json::from_slice::<Txn>(&body).expect("a transaction"))
                } else {
                    let new: NewLease = serde_json::from_slice(&body).expect("a lease");
                    StoreOp::NewLease { ttl_ms: new.ttl_ms }
                }
            }
        };
        let (before, answer, after) = {
            let mut store = self.store.borrow_mut();
            (store.revision, store.execute(self.now(), &op), store.revision)
        };
        if after > before {
            self.changed.notify_waiters();
        }
        match answer {
            StoreResponse::Item(Some(item)) => reply(200, item),
            StoreResponse::Item(None) => reply(404, json!({"ledger": after})),
            StoreResponse::Page(page) => reply(200, page),
            StoreResponse::Committed(revision) => reply(200, Committed { revision }),
            StoreResponse::ConditionsFailed(failed) => reply(409, FailedConditions { failed }),
            StoreResponse::Lease(lease) => reply(200, Lease { lease }),
            StoreResponse::LeaseOk => reply(200, ()),
            _ => reply(if path == "/txn" { 400 } else { 404 }, json!({"error": "no such lease"})),
        }
    }

    async fn serve_cloud(self: Rc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let since = query(&request, "since");
        let body = request.into_body().collect().await.expect("a body").to_bytes();
        let op = match path.as_str() {
            "/flavors" => CloudOp::Types,
            "/machines/release" => {
                CloudOp::Release(serde_json::from_slice::<MachineNames>(&body).expect("names").machines)
            }
            _ if body.is_empty() => CloudOp::List { after: Some(since) },
            _ => CloudOp::Rent(serde_json::from_slice::<Rental>(&body).expect("a rental")),
        };
        let answer = self.cloud.borrow_mut().execute(self.now(), &op);
        self.workers.borrow_mut().retain(|name, _| self.cloud.borrow().machines.contains_key(name));
        match answer {
            CloudResponse::Types(types) => reply(200, MachineTypes { types }),
            CloudResponse::Rented(machines) => reply(200, MachineNames { machines }),
            CloudResponse::Listing(mut listing) => {
                listing.machines.iter_mut().for_each(|m| m.addr = machine_address(&m.id).to_string());
                reply(200, listing)
            }
            CloudResponse::Released => reply(200, ()),
            _ => reply(503, json!({"error": "no capacity"})),
        }
    }

    /// Machines come up a while after they were rented.
    async fn boot_machines(self: Rc<Self>) {
        loop {
            let due: Vec<(String, String, bool, String)> = {
                let now = self.now();
                let mut cloud = self.cloud.borrow_mut();
                let late =
                    |m: &&mut rushyoke_testkit::RentedMachine| !m.booted && now >= m.rented_at + self.setup.boot_time;
                let due = cloud.machines.iter_mut().filter_map(|(name, m)| Some(name).zip(Some(m).filter(late)));
                due.map(|(name, m)| {
                    m.booted = true;
                    (name.clone(), m.zone.clone(), m.spot, m.kind.clone())
                })
                .collect()
            };
            for (name, zone, spot, kind) in due {
                let mut worker = Worker::new(name.clone(), zone, spot, kind, self.now());
                worker.task_duration_s = self.setup.task_duration_s;
                let worker = Rc::new(RefCell::new(worker));
                self.workers.borrow_mut().insert(name.clone(), worker.clone());
                let direct = worker.clone();
                let orders = move |testbed: Rc<Testbed>, request: Request<Incoming>| {
                    let worker = direct.clone();
                    async move {
                        testbed.direct_call_count.set(testbed.direct_call_count.get() + 1);
                        testbed.wait_if_partitioned(&worker).await;
                        let body = request.into_body().collect().await.expect("a body").to_bytes();
                        let orders: Orders = serde_json::from_slice(&body).expect("orders");
                        let status = worker.borrow_mut().handle_direct_call(testbed.now(), &orders);
                        let mut report = worker.borrow_mut().report();
                        report.addr = machine_address(&report.machine).to_string();
                        reply(status, report)
                    }
                };
                let server = tokio::task::spawn_local(serve(machine_address(&name), self.clone(), orders));
                let testbed = self.clone();
                tokio::task::spawn_local(async move {
                    testbed.send_reports(&name, worker).await;
                    server.abort();
                });
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    fn is_partitioned(&self, worker: &RefCell<Worker>) -> bool {
        self.partitioned_zones.borrow().contains(&worker.borrow().zone)
    }

    /// A call to a worker that is cut off is never answered; its caller gives it up.
    async fn wait_if_partitioned(&self, worker: &RefCell<Worker>) {
        if self.is_partitioned(worker) {
            std::future::pending::<()>().await;
        }
    }

    async fn send_reports(self: &Rc<Self>, name: &str, worker: Rc<RefCell<Worker>>) {
        let spread = name.bytes().last().map_or(0, usize::from) % NODE_COUNT;
        let (mut node, mut kept, mut last) = (spread, None, Instant::now() - self.setup.report_interval);
        // After a refusal the next node is tried soon, not after a whole interval.
        let mut soon = None;
        while self.workers.borrow().contains_key(name) {
            sleep(Duration::from_millis(50)).await;
            let changed = {
                let token = worker.borrow().token;
                let specs = self.specs.borrow();
                let is_service = |task: &str| task.split_once('/').is_some_and(|(id, _)| !specs.contains_key(id));
                worker.borrow_mut().advance(self.now(), self.setup.worker_lease, is_service)
                    || token != worker.borrow().token
            };
            let usual = if changed { Duration::from_millis(500) } else { self.setup.report_interval };
            let wait = std::mem::take(&mut soon).unwrap_or(usual);
            if last.elapsed() < wait {
                sleep(wait - last.elapsed()).await;
            }
            last = Instant::now();
            let (sent, session) = (self.now(), worker.borrow().session);
            let mut report = worker.borrow_mut().report();
            report.addr = machine_address(name).to_string();
            if self.is_partitioned(&worker) {
                // Its lease runs out meanwhile.
                while self.is_partitioned(&worker) && last.elapsed() < REPORT_LIMIT {
                    sleep(Duration::from_millis(50)).await;
                    worker.borrow_mut().advance(self.now(), self.setup.worker_lease, |_| false);
                }
                (node, kept, soon) = ((node + 1) % NODE_COUNT, None, Some(NEXT_NODE));
                continue;
            }
            self.report_count.set(self.report_count.get() + 1);
            match call(&mut kept, public_address(node), "POST", "/v1/report", &report, REPORT_LIMIT).await {
                Some((200, body)) => {
                    let orders: Orders = serde_json::from_slice(&body).expect("orders");
                    worker.borrow_mut().handle_report_response(self.now(), sent, session, &orders);
                }
                Some((421, body)) => {
                    let other: ReportRedirect = serde_json::from_slice(&body).expect("a node");
                    let named = other.report_to.and_then(|label| label.strip_prefix("node-")?.parse().ok());
                    soon = Some(if named.is_some() { Duration::ZERO } else { NEXT_NODE });
                    (node, kept) = (named.unwrap_or((node + 1) % NODE_COUNT), None);
                }
                _ => {
                    soon = Some(NEXT_NODE);
                    (node, kept) = ((node + 1) % NODE_COUNT, None);
                }
            }
        }
    }

    /// A user submits a job and asks for its state until it is done.
    pub async fn run_user(self: Rc<Self>, node: usize, spec: JobSpec) {
        let id = spec.id.clone();
        if spec.checkpoint_interval_s >= 0.0 && spec.estimate_s > 0.0 {
            self.specs.borrow_mut().insert(id.clone(), spec.clone());
        }
        let mut kept = None;
        let mut method = ("POST", "/api/jobs".to_owned());
        let mut body = serde_json::to_value(&spec).expect("jobs encode");
        loop {
            self.user_request_count.set(self.user_request_count.get() + 1);
            let (verb, path) = &method;
            match call(&mut kept, public_address(node), verb, path, &body, Duration::from_secs(5)).await {
                Some((200 | 201, answer)) if answer.windows(6).any(|w| w == b"\"done\"") && *verb == "GET" => {
                    if serde_json::from_slice::<serde_json::Value>(&answer).is_ok_and(|v| v["status"] == "done") {
                        return;
                    }
                }
                Some((200 | 201, _)) => {}
                _ => kept = None,
            }
            (method, body) = (("GET", format!("/api/jobs/{id}")), serde_json::Value::Null);
            sleep(Duration::from_secs(5)).await;
        }
    }
}

/// A connection that is kept for the next call.
pub type Kept = Option<SendRequest<Full<Bytes>>>;

/// A call; `None` if it was not answered in time.
pub async fn call(
    kept: &mut Kept,
    addr: SocketAddr,
    verb: &str,
    path: &str,
    body: &impl serde::Serialize,
    wait: Duration,
) -> Option<(u16, Bytes)> {
    if kept.as_ref().is_none_or(|sender| sender.is_closed()) {
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(addr)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(connection);
        *kept = Some(sender);
    }
    let sender = kept.as_mut().expect("just made");
    let body = if verb == "GET" { Vec::new() } else { serde_json::to_vec(body).expect("requests encode") };
    let request = Request::builder().method(verb).uri(path).header("host", addr.to_string());
    let request = request.body(Full::new(Bytes::from(body))).expect("a fixed head");
    let answer = async {
        sender.ready().await.ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.into_body().collect().await.ok()?.to_bytes()))
    };
    let answer = timeout(wait, answer).await.ok().flatten();
    if answer.is_none() {
        *kept = None;
    }
    answer
}

fn settings(node: usize, setup: &Setup) -> String {
    let mut text = format!(
        "label = \"node-{node}\"\nlocation = \"a\"\npublic_addr = \"{}\"\npeer_bind = \"127.0.0.{}:8081\"\n",
        public_address(node),
        10 + node
    );
    for other in (0..NODE_COUNT).filter(|other| *other != node) {
        let endpoint = format!("127.0.0.{}:8081", 10 + other);
        text += &format!("[[others]]\nlabel = \"node-{other}\"\nlocation = \"a\"\nendpoint = \"{endpoint}\"\n");
    }
    text += &format!("[outside]\ncloud = \"{CLOUD_ADDRESS}\"\nstate = \"{STORE_ADDRESS}\"\n");
    for (team, cpus, cpus_max) in &setup.teams {
        text += &format!("[[facts.teams]]\nname = \"{team}\"\ncpus = {cpus:.1}\ncpus_max = {cpus_max:.1}\n");
    }
    let (report_s, lease_s) = (setup.report_interval.as_secs_f64(), setup.worker_lease.as_secs_f64());
    text += &format!("[facts.workers]\nreport_s = {report_s:.1}\nlease_s = {lease_s:.1}\n");
    text += &format!("cancel_s = {:.1}\n", lease_s * 2.0);
    text += "[facts.state]\nrps = 300.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 16\n";
    text += "[facts.cloud]\nrps = 4.0\nlist_lag_s = 5.0\n";
    text += &format!("[facts.quota]\nmax_sockets = {}\nmem_mb = {:.1}\n", setup.max_sockets, setup.max_memory_mb);
    text
}

/// Processor time in the program's own code and in the kernel, and memory, of a process and
/// those that it started.
pub fn process_usage(pid: u32) -> (f64, f64, f64) {
    let children = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).unwrap_or_default();
    let of_children = children.split_whitespace().filter_map(|child| child.parse().ok()).map(process_usage);
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0) / 100.0;
    let own = (ticks(11), ticks(12), fields.get(21).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0 / 1e6);
    of_children.fold(own, |sum, child| (sum.0 + child.0, sum.1 + child.1, sum.2.max(child.2)))
}

/// Ends the controllers. A tracer writes its summary when it is interrupted, not when it is killed.
pub fn stop_controllers(nodes: &mut [Child]) {
    for child in nodes {
        let inner = std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", child.id())).unwrap_or_default();
        let pid = inner.split_whitespace().next().map_or(child.id().to_string(), str::to_owned);
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        let _ = child.wait();
    }
}

/// Runs to its end what is spawned on this thread; sockets are closed with it.
pub fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, run)
}
