//! A stand-in for the cloud, after PROTOCOL "Controller nodes -> cloud". Each controller has an address of its own, so
//! that the record tells who called.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Answer, Request, listen, serve};
use crate::json::Json;
use crate::worker::{Rig, Site, Worker};

/// Time for which a machine that stopped is listed as running.
const SHOWN_RUNNING_S: f64 = 30.0;

struct Machine {
    rig: usize,
    yard: String,
    spot: bool,
    hired_at: f64,
    up_at: f64,
    died_at: Option<f64>,
    gone_at: Option<f64>,
    worker: Option<Arc<Worker>>,
}

struct State {
    machines: BTreeMap<String, Machine>,
    hires: BTreeMap<String, Vec<String>>,
    /// Machines that may be rented, by type, yard and kind.
    capacity: BTreeMap<(String, String, bool), usize>,
    serial: usize,
}

/// A request that changes something, as the platform saw it.
#[derive(Clone)]
pub struct Call {
    pub at: f64,
    /// Number of the controller.
    pub node: usize,
    pub what: String,
    pub is_release: bool,
    pub machines: Vec<String>,
}

pub struct Cloud {
    site: Arc<Site>,
    rigs: Vec<Rig>,
    yards: Vec<String>,
    list_lag_s: f64,
    state: Mutex<State>,
    pub calls: Mutex<Vec<Call>>,
}

impl Cloud {
    /// Starts the cloud with an address for each controller.
    pub fn new(site: Arc<Site>, rigs: Vec<Rig>, yards: &[&str], list_lag_s: f64) -> Arc<Cloud> {
        let state = State { machines: BTreeMap::new(), hires: BTreeMap::new(), capacity: BTreeMap::new(), serial: 0 };
        let yards = yards.iter().map(|yard| (*yard).to_owned()).collect();
        Arc::new(Cloud { site, rigs, yards, list_lag_s, state: Mutex::new(state), calls: Mutex::default() })
    }

    pub fn listen(self: &Arc<Cloud>, node: usize, on: std::net::TcpListener) {
        let cloud = self.clone();
        serve(on, Arc::new(move |request| cloud.handle(node, request)));
    }

    pub fn free_listener() -> (std::net::TcpListener, SocketAddr) {
        listen()
    }

    pub fn set_capacity(&self, rig: &str, yard: &str, spot: bool, count: usize) {
        self.state.lock().unwrap().capacity.insert((rig.into(), yard.into(), spot), count);
    }

    /// Number of machines of a type, yard and kind that can still be rented.
    pub fn available(&self, rig: &str, yard: &str, spot: bool) -> usize {
        self.state.lock().unwrap().available(&self.rigs, rig, yard, spot)
    }

    /// Adds a machine that is up from the start and was rented so many seconds ago.
    pub fn add_running(&self, rig: &str, yard: &str, age_s: f64) -> Arc<Worker> {
        let spot = false;
        let now = self.site.world.now();
        let rig = self.rigs.iter().position(|known| known.name == rig).expect("a known type");
        let mut state = self.state.lock().unwrap();
        let name = state.next_name();
        let worker = Worker::start(self.site.clone(), &name, self.rigs[rig].clone(), yard, spot, state.serial);
        self.site
            .world
            .note(&format!("machine {name}: {} in {yard}, spot {spot}, up at the start", self.rigs[rig].name));
        let machine = Machine {
            rig,
            yard: yard.into(),
            spot,
            hired_at: now - age_s,
            up_at: now,
            died_at: None,
            gone_at: None,
            worker: Some(worker.clone()),
        };
        state.machines.insert(name, machine);
        worker
    }

    /// Stops a machine with all that is on it.
    pub fn kill_machine(&self, name: &str) {
        let now = self.site.world.now();
        self.site.world.note(&format!("TROUBLE machine {name} stops with all that is on it"));
        let mut state = self.state.lock().unwrap();
        let machine = state.machines.get_mut(name).expect("a known machine");
        machine.died_at = Some(now);
        if let Some(worker) = &machine.worker {
            worker.stop("its machine stopped");
        }
    }

    /// The workers of all machines that are up, by name.
    pub fn workers(&self) -> BTreeMap<String, Arc<Worker>> {
        let state = self.state.lock().unwrap();
        let up = state.machines.iter().filter(|(_, machine)| machine.gone_at.is_none() && machine.died_at.is_none());
        up.filter_map(|(name, machine)| Some((name.clone(), machine.worker.clone()?))).collect()
    }

    /// The machines that are there: name, type, yard, whether spot, and whether up.
    pub fn machines(&self) -> Vec<(String, String, String, bool, bool)> {
        let state = self.state.lock().unwrap();
        let there = state.machines.iter().filter(|(_, machine)| machine.gone_at.is_none() && machine.died_at.is_none());
        there
            .map(|(name, machine)| {
                let rig = self.rigs[machine.rig].name.clone();
                (name.clone(), rig, machine.yard.clone(), machine.spot, machine.worker.is_some())
            })
            .collect()
    }

    fn handle(self: &Arc<Cloud>, node: usize, request: Request) -> Answer {
        std::thread::sleep(Duration::from_millis(100));
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => {
                let yards = Json::Arr(self.yards.iter().map(|yard| Json::str(yard)).collect());
                let rigs = self.rigs.iter().map(|rig| {
                    Json::obj(vec![
                        ("name", Json::str(&rig.name)),
                        ("cpus", Json::float(rig.cpus)),
                        ("gpus", Json::float(rig.gpus)),
                        ("memory_gb", Json::float(rig.memory_gb)),
                        ("cache_gb", Json::float(rig.cache_gb)),
                        ("fetch_gb_per_s", Json::float(rig.fetch_gb_per_s)),
                        ("hourly", Json::float(rig.price)),
                        ("market_price", Json::float(rig.spot_price)),
                        ("boot_s", Json::float(rig.boot_s)),
                        ("yards", yards.clone()),
                    ])
                });
                Answer::Reply(200, Json::obj(vec![("rigs", Json::Arr(rigs.collect()))]).write())
            }
            ("GET", "/machines") => self.list(&request),
            ("POST", "/machines") => self.hire(node, &request.body),
            ("POST", "/machines/release") => self.release(node, &request.body),
            _ => Answer::Reply(400, "{}".into()),
        }
    }

    fn list(&self, request: &Request) -> Answer {
        let at = self.site.world.now() - self.list_lag_s;
        let since = request.parameter("since").unwrap_or_default();
        let most = request.parameter("most").and_then(|most| most.parse().ok()).unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let shown = state.machines.iter().filter(|(name, machine)| {
            **name > since && machine.hired_at <= at && machine.gone_at.is_none_or(|gone| gone > at)
        });
        let mut rows: Vec<Json> = shown
            .map(|(name, machine)| {
                let failed = machine.died_at.is_some_and(|died| died + SHOWN_RUNNING_S <= at);
                let status = match () {
                    _ if failed => "failed",
                    _ if machine.up_at > at => "starting",
                    _ => "running",
                };
                let addr = machine.worker.as_ref().map_or(String::new(), |worker| worker.addr.to_string());
                Json::obj(vec![
                    ("name_id", Json::str(name)),
                    ("addr", Json::str(&addr)),
                    ("rig", Json::str(&self.rigs[machine.rig].name)),
                    ("yard", Json::str(&machine.yard)),
                    ("borrowed", Json::Bool(machine.spot)),
                    ("status", Json::str(status)),
                    ("age_s", Json::float(at - machine.hired_at)),
                ])
            })
            .collect();
        let more = rows.len() > most;
        rows.truncate(most);
        Answer::Reply(200, Json::obj(vec![("tankers", Json::Arr(rows)), ("more", Json::Bool(more))]).write())
    }

    fn hire(self: &Arc<Cloud>, node: usize, body: &[u8]) -> Answer {
        let now = self.site.world.now();
        let Some(body) = Json::parse(body) else { return Answer::Reply(400, "{}".into()) };
        let (hire, rig, yard) = (body.get("hire").text(), body.get("rig").text(), body.get("yard").text());
        let (spot, number) = (body.get("borrowed").bool(), body.get("number").u64().unwrap_or(0).min(50) as usize);
        let Some(kind) = self.rigs.iter().position(|known| known.name == rig) else {
            return Answer::Reply(400, "{}".into());
        };
        let mut state = self.state.lock().unwrap();
        let names = match state.hires.get(hire) {
            Some(names) => names.clone(),
            None => {
                let count = state.available(&self.rigs, rig, yard, spot).min(number);
                let world = &self.site.world;
                world.note(&format!(
                    "controller {node} hires {number} of {rig} in {yard}, spot {spot}, as {hire}: {count}"
                ));
                if count == 0 {
                    return Answer::Reply(503, "{\"error\":\"no capacity\"}".into());
                }
                let names: Vec<String> = (0..count).map(|_| state.next_name()).collect();
                for (n, name) in names.iter().enumerate() {
                    let boot_s = self.rigs[kind].boot_s * (0.8 + 0.1 * (n % 5) as f64);
                    let machine = Machine {
                        rig: kind,
                        yard: yard.into(),
                        spot,
                        hired_at: now,
                        up_at: now + boot_s,
                        died_at: None,
                        gone_at: None,
                        worker: None,
                    };
                    state.machines.insert(name.clone(), machine);
                    let (cloud, name) = (self.clone(), name.clone());
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_secs_f64(boot_s));
                        cloud.boot(&name);
                    });
                }
                state.hires.insert(hire.into(), names.clone());
                let call =
                    Call { at: now, node, what: format!("hire {hire}"), is_release: false, machines: names.clone() };
                self.calls.lock().unwrap().push(call);
                names
            }
        };
        let names = Json::Arr(names.iter().map(|name| Json::str(name)).collect());
        Answer::Reply(200, Json::obj(vec![("tankers", names)]).write())
    }

    fn boot(&self, name: &str) {
        let mut state = self.state.lock().unwrap();
        let serial = state.serial;
        let Some(machine) = state.machines.get_mut(name).filter(|machine| machine.gone_at.is_none()) else { return };
        let rig = self.rigs[machine.rig].clone();
        self.site
            .world
            .note(&format!("machine {name}: {} in {}, spot {}, is up", rig.name, machine.yard, machine.spot));
        machine.worker = Some(Worker::start(self.site.clone(), name, rig, &machine.yard, machine.spot, serial));
    }

    fn release(&self, node: usize, body: &[u8]) -> Answer {
        let now = self.site.world.now();
        let Some(body) = Json::parse(body) else { return Answer::Reply(400, "{}".into()) };
        let names: Vec<String> = body.get("tankers").items().iter().map(|name| name.text().to_owned()).collect();
        let mut state = self.state.lock().unwrap();
        let mut released = Vec::new();
        for name in &names {
            let Some(machine) = state.machines.get_mut(name).filter(|machine| machine.gone_at.is_none()) else {
                continue;
            };
            machine.gone_at = Some(now);
            let loads = machine.worker.as_ref().map_or(0, |worker| worker.alive_loads());
            self.site.world.note(&format!("controller {node} releases {name} with {loads} tasks on it"));
            if let Some(worker) = &machine.worker {
                worker.stop("its machine was released");
            }
            released.push(name.clone());
            let what = format!("release with {loads} tasks");
            let call = Call { at: now, node, what, is_release: true, machines: vec![name.clone()] };
            self.calls.lock().unwrap().push(call);
        }
        Answer::Reply(200, "{}".into())
    }
}

impl State {
    fn next_name(&mut self) -> String {
        self.serial += 1;
        format!("n-{:06}", self.serial)
    }

    fn available(&self, rigs: &[Rig], rig: &str, yard: &str, spot: bool) -> usize {
        let limit = self.capacity.get(&(rig.to_owned(), yard.to_owned(), spot)).copied().unwrap_or(0);
        let there = self.machines.values().filter(|machine| {
            rigs[machine.rig].name == rig
                && machine.yard == yard
                && machine.spot == spot
                && machine.gone_at.is_none()
                && machine.died_at.is_none()
        });
        limit.saturating_sub(there.count())
    }
}
