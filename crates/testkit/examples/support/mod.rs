//! A testbed on loopback, in real time: the controllers are real processes, while the state service, the
//! cloud, the workers and the users are fakes.

mod controllers;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
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

pub use controllers::{process_usage, stop_controllers};

/// Number of controllers.
pub const NODE_COUNT: usize = 3;
/// Time after which a worker gives up a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after a failed report until a worker tries the next controller.
const NEXT_NODE_DELAY: Duration = Duration::from_secs(1);
/// Address of the fake state service.
const STORE_ADDRESS: &str = "127.0.0.1:23790";
/// Address of the fake cloud.
const CLOUD_ADDRESS: &str = "127.0.0.1:23791";

/// Settings of a run.
#[derive(Clone)]
pub struct Setup {
    /// Interval of workers' reports.
    pub report_interval: Duration,
    /// Duration of a worker's lease.
    pub worker_lease: Duration,
    /// Duration of tasks, in seconds.
    pub task_duration_s: f64,
    /// Time that a rented machine takes to boot.
    pub boot_time: Duration,
    /// Number of machines that the cloud can rent out.
    pub capacity: u32,
    /// Teams, each with its guarantee and its limit in CPUs.
    pub teams: Vec<(&'static str, f64, f64)>,
    /// Largest number of sockets of each controller.
    pub max_sockets: usize,
    /// Largest memory of each controller.
    pub max_memory_mb: f64,
    /// The policy file, if there is one.
    pub policy_file: Option<PathBuf>,
}

/// The fakes of one run.
pub struct Testbed {
    /// Settings of the run.
    pub setup: Setup,
    started_at: Instant,
    /// The fake state service.
    pub store: RefCell<Store>,
    /// Notified of each change in the store.
    store_changed: tokio::sync::Notify,
    /// The fake cloud.
    pub cloud: RefCell<Cloud>,
    /// The fake workers, by machine.
    pub workers: RefCell<BTreeMap<String, Rc<RefCell<Worker>>>>,
    /// Specifications of the submitted arrays; tasks of all other jobs belong to services.
    pub array_specs: RefCell<BTreeMap<String, JobSpec>>,
    /// Number of reports that workers sent.
    pub report_count: Cell<u64>,
    /// Number of direct calls that workers received.
    pub direct_call_count: Cell<u64>,
    /// Number of requests that users sent.
    pub user_request_count: Cell<u64>,
    /// Zones whose workers lose all messages in both directions.
    pub partitioned_zones: RefCell<BTreeSet<String>>,
}

/// What a handler of HTTP requests returns.
type HandlerResult = Result<Response<Full<Bytes>>, Infallible>;

/// Returns a response with a JSON body.
fn json_response(status: u16, body: impl serde::Serialize) -> Response<Full<Bytes>> {
    let body = Bytes::from(serde_json::to_vec(&body).expect("responses encode"));
    Response::builder().status(status).body(Full::new(body)).expect("the head is valid")
}

/// Returns the address at which users and workers reach a controller.
pub fn public_address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 10 + node as u8], 8080))
}

/// Returns the address of a machine's worker.
fn machine_address(machine: &str) -> SocketAddr {
    let serial: u32 = machine.trim_start_matches("n-").parse().expect("a machine's name ends in a number");
    SocketAddr::from(([127, 1, (serial / 250) as u8, (serial % 250 + 1) as u8], 9000))
}

/// Serves HTTP requests at an address with a handler.
async fn serve<F, Fut>(addr: SocketAddr, testbed: Rc<Testbed>, handler: F)
where
    F: Fn(Rc<Testbed>, Request<Incoming>) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let listener = TcpListener::bind(addr).await.expect("the address is free");
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let (testbed, handler) = (testbed.clone(), handler.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let response = handler(testbed.clone(), request);
                async move { HandlerResult::Ok(response.await) }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Returns a parameter of the request's query, or an empty string.
fn query_parameter(request: &Request<Incoming>, name: &str) -> String {
    let pairs = request.uri().query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next().unwrap_or_default()
}

impl Testbed {
    /// Starts the fakes, with a cloud that has already rented out some machines.
    pub async fn start(setup: Setup, machines: u32) -> Rc<Testbed> {
        let mut cloud = Cloud::new(&["a", "b", "c"]);
        cloud.capacity = setup.capacity;
        (0..machines).for_each(|n| drop(cloud.add_machine(Duration::ZERO, ["a", "b", "c"][n as usize % 3], false)));
        let testbed = Rc::new(Testbed {
            setup,
            started_at: Instant::now(),
            store: RefCell::new(Store::new()),
            store_changed: tokio::sync::Notify::new(),
            cloud: RefCell::new(cloud),
            workers: RefCell::default(),
            array_specs: RefCell::default(),
            report_count: Cell::new(0),
            direct_call_count: Cell::new(0),
            user_request_count: Cell::new(0),
            partitioned_zones: RefCell::default(),
        });
        tokio::task::spawn_local(serve(
            STORE_ADDRESS.parse().expect("the address is valid"),
            testbed.clone(),
            Testbed::serve_store,
        ));
        tokio::task::spawn_local(serve(
            CLOUD_ADDRESS.parse().expect("the address is valid"),
            testbed.clone(),
            Testbed::serve_cloud,
        ));
        tokio::task::spawn_local(testbed.clone().boot_machines());
        sleep(Duration::from_millis(100)).await;
        testbed
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Handles a request to the state service.
    async fn serve_store(self: Rc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let (prefix, since) = (query_parameter(&request, "starts"), query_parameter(&request, "since"));
        if path == "/changes" {
            let time_limit = Duration::from_millis(query_parameter(&request, "block_ms").parse().unwrap_or(0));
            let (after, until) = (since.parse().unwrap_or(0), Instant::now() + time_limit);
            loop {
                let changed = self.store_changed.notified();
                let response = self.store.borrow().watch(&prefix, after);
                match response {
                    Some(StoreResponse::Changes(changes)) => return json_response(200, changes),
                    Some(_) => return json_response(410, ()),
                    None => {}
                }
                let remaining = until.saturating_duration_since(Instant::now());
                if timeout(remaining, changed).await.is_err() {
                    return json_response(200, json!({"ledger": self.store.borrow().revision, "events": []}));
                }
            }
        }
        let parts: Vec<&str> = path.trim_start_matches('/').splitn(3, '/').collect();
        let lease_id = |n: usize| parts.get(n).and_then(|id| id.parse().ok()).unwrap_or(0);
        let op = match (request.method().as_str(), parts.as_slice()) {
            ("GET", ["kv"]) => StoreOp::List { prefix, after: since },
            ("GET", ["kv", ..]) => StoreOp::Get(path.trim_start_matches("/kv/").into()),
            ("DELETE", _) => StoreOp::EndLease(lease_id(1)),
            ("POST", ["leases", _, "touch"]) => StoreOp::RenewLease(lease_id(1)),
            _ => {
                let body = request.into_body().collect().await.expect("a body").to_bytes();
                if path == "/txn" {
                    StoreOp::Txn(serde_json::from_slice::<Txn>(&body).expect("a transaction"))
                } else {
                    let new_lease: NewLease = serde_json::from_slice(&body).expect("a lease");
                    StoreOp::NewLease { ttl_ms: new_lease.ttl_ms }
                }
            }
        };
        let (revision_before, response, revision) = {
            let mut store = self.store.borrow_mut();
            (store.revision, store.execute(self.now(), &op), store.revision)
        };
        if revision > revision_before {
            self.store_changed.notify_waiters();
        }
        match response {
            StoreResponse::Item(Some(item)) => json_response(200, item),
            StoreResponse::Item(None) => json_response(404, json!({"ledger": revision})),
            StoreResponse::Page(page) => json_response(200, page),
            StoreResponse::Committed(revision) => json_response(200, Committed { revision }),
            StoreResponse::ConditionsFailed(failed) => json_response(409, FailedConditions { failed }),
            StoreResponse::Lease(lease) => json_response(200, Lease { lease }),
            StoreResponse::LeaseOk => json_response(200, ()),
            _ => json_response(if path == "/txn" { 400 } else { 404 }, json!({"error": "no such lease"})),
        }
    }

    /// Handles a request to the cloud.
    async fn serve_cloud(self: Rc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let since = query_parameter(&request, "since");
        let body = request.into_body().collect().await.expect("a body").to_bytes();
        let op = match path.as_str() {
            "/flavors" => CloudOp::Types,
            "/machines/release" => {
                CloudOp::Release(serde_json::from_slice::<MachineNames>(&body).expect("names").machines)
            }
            _ if body.is_empty() => CloudOp::List { after: Some(since) },
            _ => CloudOp::Rent(serde_json::from_slice::<Rental>(&body).expect("a rental")),
        };
        let response = self.cloud.borrow_mut().execute(self.now(), &op);
        self.workers.borrow_mut().retain(|name, _| self.cloud.borrow().machines.contains_key(name));
        match response {
            CloudResponse::Types(types) => json_response(200, MachineTypes { types }),
            CloudResponse::Rented(machines) => json_response(200, MachineNames { machines }),
            CloudResponse::Listing(mut listing) => {
                listing.machines.iter_mut().for_each(|machine| machine.addr = machine_address(&machine.id).to_string());
                json_response(200, listing)
            }
            CloudResponse::Released => json_response(200, ()),
            _ => json_response(503, json!({"error": "no capacity"})),
        }
    }

    /// Boots machines when their boot time has passed, and starts their workers.
    async fn boot_machines(self: Rc<Self>) {
        loop {
            let due: Vec<(String, String, bool, String)> = {
                let now = self.now();
                let mut cloud = self.cloud.borrow_mut();
                let is_due = |machine: &&mut rushyoke_testkit::RentedMachine| {
                    !machine.booted && now >= machine.rented_at + self.setup.boot_time
                };
                let due = cloud
                    .machines
                    .iter_mut()
                    .filter_map(|(name, machine)| Some(name).zip(Some(machine).filter(is_due)));
                due.map(|(name, machine)| {
                    machine.booted = true;
                    (name.clone(), machine.zone.clone(), machine.spot, machine.kind.clone())
                })
                .collect()
            };
            for (name, zone, spot, kind) in due {
                let mut worker = Worker::new(name.clone(), zone, spot, kind, self.now());
                worker.task_duration_s = self.setup.task_duration_s;
                let worker = Rc::new(RefCell::new(worker));
                self.workers.borrow_mut().insert(name.clone(), worker.clone());
                let called_worker = worker.clone();
                let handle_call = move |testbed: Rc<Testbed>, request: Request<Incoming>| {
                    let worker = called_worker.clone();
                    async move {
                        testbed.direct_call_count.set(testbed.direct_call_count.get() + 1);
                        testbed.wait_if_partitioned(&worker).await;
                        let body = request.into_body().collect().await.expect("a body").to_bytes();
                        let orders: Orders = serde_json::from_slice(&body).expect("orders");
                        let status = worker.borrow_mut().handle_direct_call(testbed.now(), &orders);
                        let mut report = worker.borrow_mut().report();
                        report.addr = machine_address(&report.machine).to_string();
                        json_response(status, report)
                    }
                };
                let server = tokio::task::spawn_local(serve(machine_address(&name), self.clone(), handle_call));
                let testbed = self.clone();
                tokio::task::spawn_local(async move {
                    testbed.send_reports(&name, worker).await;
                    server.abort();
                });
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Whether the worker's zone is partitioned.
    fn is_partitioned(&self, worker: &RefCell<Worker>) -> bool {
        self.partitioned_zones.borrow().contains(&worker.borrow().zone)
    }

    /// Never returns if the worker is partitioned, so that its caller gives the call up.
    async fn wait_if_partitioned(&self, worker: &RefCell<Worker>) {
        if self.is_partitioned(worker) {
            std::future::pending::<()>().await;
        }
    }

    /// Advances a worker and sends its reports until its machine is released.
    async fn send_reports(self: &Rc<Self>, name: &str, worker: Rc<RefCell<Worker>>) {
        let first_node = name.bytes().last().map_or(0, usize::from) % NODE_COUNT;
        let (mut node, mut connection, mut last_report) =
            (first_node, None, Instant::now() - self.setup.report_interval);
        // After a failed report the worker tries the next node soon, without waiting for a whole report interval.
        let mut retry_delay = None;
        while self.workers.borrow().contains_key(name) {
            sleep(Duration::from_millis(50)).await;
            let changed = {
                let token = worker.borrow().token;
                let specs = self.array_specs.borrow();
                let is_service = |task: &str| task.split_once('/').is_some_and(|(id, _)| !specs.contains_key(id));
                worker.borrow_mut().advance(self.now(), self.setup.worker_lease, is_service)
                    || token != worker.borrow().token
            };
            let interval = if changed { Duration::from_millis(500) } else { self.setup.report_interval };
            let delay = std::mem::take(&mut retry_delay).unwrap_or(interval);
            if last_report.elapsed() < delay {
                sleep(delay - last_report.elapsed()).await;
            }
            last_report = Instant::now();
            let (sent_at, session) = (self.now(), worker.borrow().session);
            let mut report = worker.borrow_mut().report();
            report.addr = machine_address(name).to_string();
            if self.is_partitioned(&worker) {
                // The worker's lease may expire meanwhile.
                while self.is_partitioned(&worker) && last_report.elapsed() < REPORT_TIMEOUT {
                    sleep(Duration::from_millis(50)).await;
                    worker.borrow_mut().advance(self.now(), self.setup.worker_lease, |_| false);
                }
                (node, connection, retry_delay) = ((node + 1) % NODE_COUNT, None, Some(NEXT_NODE_DELAY));
                continue;
            }
            self.report_count.set(self.report_count.get() + 1);
            match call(&mut connection, public_address(node), "POST", "/v1/report", &report, REPORT_TIMEOUT).await {
                Some((200, body)) => {
                    let orders: Orders = serde_json::from_slice(&body).expect("orders");
                    worker.borrow_mut().handle_report_response(self.now(), sent_at, session, &orders);
                }
                Some((421, body)) => {
                    let redirect: ReportRedirect = serde_json::from_slice(&body).expect("a node");
                    let named_node = redirect.report_to.and_then(|label| label.strip_prefix("node-")?.parse().ok());
                    retry_delay = Some(if named_node.is_some() { Duration::ZERO } else { NEXT_NODE_DELAY });
                    (node, connection) = (named_node.unwrap_or((node + 1) % NODE_COUNT), None);
                }
                _ => {
                    retry_delay = Some(NEXT_NODE_DELAY);
                    (node, connection) = ((node + 1) % NODE_COUNT, None);
                }
            }
        }
    }

    /// Runs a user who submits a job and asks for its state until it is done.
    pub async fn run_user(self: Rc<Self>, node: usize, spec: JobSpec) {
        let id = spec.id.clone();
        if spec.checkpoint_interval_s >= 0.0 && spec.estimate_s > 0.0 {
            self.array_specs.borrow_mut().insert(id.clone(), spec.clone());
        }
        let mut connection = None;
        let mut next_request = ("POST", "/api/jobs".to_owned());
        let mut body = serde_json::to_value(&spec).expect("jobs encode");
        loop {
            self.user_request_count.set(self.user_request_count.get() + 1);
            let (method, path) = &next_request;
            match call(&mut connection, public_address(node), method, path, &body, Duration::from_secs(5)).await {
                Some((200 | 201, response))
                    if response.windows(6).any(|window| window == b"\"done\"") && *method == "GET" =>
                {
                    if serde_json::from_slice::<serde_json::Value>(&response).is_ok_and(|view| view["status"] == "done")
                    {
                        return;
                    }
                }
                Some((200 | 201, _)) => {}
                _ => connection = None,
            }
            (next_request, body) = (("GET", format!("/api/jobs/{id}")), serde_json::Value::Null);
            sleep(Duration::from_secs(5)).await;
        }
    }
}

/// An open connection to reuse for the next call, if there is one.
pub type ReusableConnection = Option<SendRequest<Full<Bytes>>>;

/// Calls an HTTP server. Returns the status and the body, or `None` if there was no response in time.
pub async fn call(
    connection: &mut ReusableConnection,
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &impl serde::Serialize,
    time_limit: Duration,
) -> Option<(u16, Bytes)> {
    if connection.as_ref().is_none_or(|sender| sender.is_closed()) {
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(addr)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(driver);
        *connection = Some(sender);
    }
    let sender = connection.as_mut().expect("connected above");
    let body = if method == "GET" { Vec::new() } else { serde_json::to_vec(body).expect("requests encode") };
    let request = Request::builder().method(method).uri(path).header("host", addr.to_string());
    let request = request.body(Full::new(Bytes::from(body))).expect("the head is valid");
    let response = async {
        sender.ready().await.ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.into_body().collect().await.ok()?.to_bytes()))
    };
    let response = timeout(time_limit, response).await.ok().flatten();
    if response.is_none() {
        *connection = None;
    }
    response
}

/// Runs a future to its end on this thread. Tasks that it spawned end with it, and their sockets are closed.
pub fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, run)
}
