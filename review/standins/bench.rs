//! Starts the project's controllers as separate processes, with the command of the deploy file, and speaks to them
//! as users do.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Cloud, JobInfo, Machine, World};
use crate::http::Client;
use crate::json::{Json, n, obj, s};
use crate::record::Record;
use crate::store::{Limits, Store};

/// The processes that this run started, and its temporary folder.
static STARTED: Mutex<(Vec<Child>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Ends all processes that were started, and removes the temporary folder.
pub fn kill_all() {
    let Ok(mut started) = STARTED.lock() else { return };
    for child in &mut started.0 {
        let _ = child.kill();
        let _ = child.wait();
    }
    started.0.clear();
    if let Some(folder) = started.1.take() {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}

/// The figures of a small deployment, as its page gives them.
#[derive(Clone)]
pub struct Site {
    /// The zones of the three controllers.
    pub zones: [&'static str; COUNT],
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub mem_mb: f64,
    pub max_sockets: u64,
    /// Name, guarantee and limit in CPUs.
    pub teams: &'static [(&'static str, f64, f64)],
    /// An operators' file of the repository, if one is given.
    pub policy: Option<&'static str>,
}

struct Node {
    label: String,
    public: SocketAddr,
    settings: PathBuf,
    child: Option<usize>,
}

pub struct Bench {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub world: Arc<World>,
    site: Site,
    folder: PathBuf,
    nodes: Mutex<Vec<Node>>,
    /// Whether a controller is cut off from the other controllers and from the cloud.
    cut: Arc<[AtomicBool; COUNT]>,
}

/// Number of controllers.
pub const COUNT: usize = 3;

/// Forwards connections to an address. While `cut` holds, nothing passes in either direction; it is held back.
fn forward(to: SocketAddr, cut: impl Fn() -> bool + Clone + Send + 'static) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let addr = listener.local_addr().map_err(|e| e.to_string())?;
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(near) = stream else { continue };
            let cut = cut.clone();
            thread::spawn(move || {
                let hold = move || {
                    while cut() {
                        thread::sleep(Duration::from_millis(5));
                    }
                };
                hold();
                let Ok(far) = TcpStream::connect(to) else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_in), Ok(far_in)) = (near.try_clone(), far.try_clone()) else { return };
                let copy = |mut from: TcpStream, mut to: TcpStream, hold: Box<dyn Fn() + Send>| {
                    thread::spawn(move || {
                        let mut buf = [0u8; 16 * 1024];
                        while let Ok(count) = from.read(&mut buf) {
                            hold();
                            if count == 0 || to.write_all(&buf[..count]).is_err() {
                                break;
                            }
                        }
                        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                    })
                };
                let _ = copy(near_in, far, Box::new(hold.clone()));
                let _ = copy(far_in, near, Box::new(hold));
            });
        }
    });
    Ok(addr)
}

/// A loopback address for the controllers of this run alone, so that no other process takes a port that is free now
/// before a controller binds it.
fn own_ip() -> IpAddr {
    let number = (crate::fleet::random() * 16e6) as u32;
    IpAddr::from([127, 16 + (number % 200) as u8, (number / 200 % 250) as u8, 1 + (number / 50_000 % 250) as u8])
}

fn free_addr(ip: IpAddr) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

impl Bench {
    /// Prepares everything but starts no process.
    pub fn new(site: Site, record: &Path) -> Result<Bench, String> {
        let record = Arc::new(Record::new(record).map_err(|e| format!("{}: {e}", record.display()))?);
        let folder = std::env::temp_dir().join(format!("rushyoke-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        STARTED.lock().unwrap().1 = Some(folder.clone());
        let limits = Limits { rps: site.rps, write_rps: site.write_rps, value_bytes: 8 * 1024, txn_ops: 16 };
        let store = Store::new(limits, record.clone());
        let (mut nodes, ip) = (Vec::new(), own_ip());
        for index in 0..COUNT {
            let label = format!("tanker-{index}");
            let settings = folder.join(format!("{label}.toml"));
            nodes.push(Node { label, public: free_addr(ip)?, settings, child: None });
        }
        let controllers = nodes.iter().map(|node| (node.label.clone(), node.public)).collect();
        let world = World::new(record.clone(), controllers, site.report_s, site.lease_s);
        Ok(Bench { record, store, world, site, folder, nodes: Mutex::new(nodes), cut: Arc::default() })
    }

    /// Starts the cloud with these machines, and all controllers.
    pub fn start(&self, machines: Vec<Arc<Machine>>) -> Result<(), String> {
        let names = machines.iter().map(|machine| machine.name.clone()).collect();
        self.start_with_list(machines, Arc::new(Mutex::new(names)))
    }

    /// The same, with a cloud in whose list only those machines stand that are named in `listed`.
    pub fn start_with_list(&self, machines: Vec<Arc<Machine>>, listed: Arc<Mutex<Vec<String>>>) -> Result<(), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let cloud_addr = listener.local_addr().map_err(|e| e.to_string())?;
        Cloud::new(machines, listed).serve(listener, self.record.clone());
        let site = &self.site;
        let nodes = self.nodes.lock().unwrap();
        let mut peers = Vec::new();
        for node in nodes.iter() {
            peers.push(free_addr(node.public.ip())?);
        }
        for (index, node) in nodes.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
            let state_addr = listener.local_addr().map_err(|e| e.to_string())?;
            self.store.serve_controller(&node.label, listener);
            let mut text = format!(
                "label = \"{}\"\nlocation = \"{}\"\npublic_addr = \"{}\"\npeer_bind = \"{}\"\n",
                node.label, site.zones[index], node.public, peers[index]
            );
            for (number, other) in nodes.iter().enumerate().filter(|(number, _)| *number != index) {
                let cut = self.cut.clone();
                let is_cut = move || cut[index].load(Ordering::SeqCst) || cut[number].load(Ordering::SeqCst);
                let peer = forward(peers[number], is_cut)?;
                text += &format!(
                    "[[others]]\nlabel = \"{}\"\nlocation = \"{}\"\nendpoint = \"{peer}\"\n",
                    other.label, site.zones[number]
                );
            }
            let cut = self.cut.clone();
            let cloud_addr = forward(cloud_addr, move || cut[index].load(Ordering::SeqCst))?;
            text += &format!("[outside]\ncloud = \"{cloud_addr}\"\nstate = \"{state_addr}\"\n");
            let mut zones = site.zones.to_vec();
            zones.dedup();
            text += &format!("[facts]\ncount = 3\nzones = {zones:?}\nclock_off_ms = 5.0\n");
            for (team, cpus, cpus_max) in site.teams {
                text += &format!(
                    "[[facts.teams]]\nname = \"{team}\"\ncpus = {cpus:.1}\ncpus_max = {cpus_max:.1}\ngpus = 0.0\ngpus_max = 0.0\n"
                );
            }
            text += &format!(
                "[facts.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = {:.1}\n",
                site.report_s, site.lease_s, site.cancel_s
            );
            text += &format!(
                "[facts.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = 8.0\ntxn_ops = 16\n",
                site.rps, site.write_rps
            );
            text += &format!("[facts.cloud]\nrps = {:.1}\nlist_lag_s = {:.1}\n", site.cloud_rps, site.list_lag_s);
            text += &format!(
                "[facts.quota]\ncpu = 0.064\nmem_mb = {:.1}\nmax_sockets = {}\n",
                site.mem_mb, site.max_sockets
            );
            std::fs::write(&node.settings, text).map_err(|e| e.to_string())?;
        }
        drop(nodes);
        (0..COUNT).try_for_each(|index| self.start_controller(index))
    }

    /// Starts a controller's process with the command of `deploy/service.toml`.
    pub fn start_controller(&self, index: usize) -> Result<(), String> {
        let deploy = std::fs::read_to_string("deploy/service.toml").map_err(|e| format!("deploy/service.toml: {e}"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .ok_or("deploy/service.toml: no run line")?
            .trim_matches('"')
            .to_owned();
        let mut nodes = self.nodes.lock().unwrap();
        let node = &mut nodes[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", node.label)))
            .map_err(|e| e.to_string())?;
        let mut words = run.split_whitespace();
        let mut command = Command::new(words.next().ok_or("deploy/service.toml: an empty run line")?);
        command.args(words).arg(&node.settings).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        if let Some(policy) = self.site.policy {
            command.env("RUSHYOKE_POLICY", policy);
        }
        let child = command.spawn().map_err(|e| format!("{run}: {e}"))?;
        self.record.line(&format!("controller: {} is started", node.label));
        let mut started = STARTED.lock().unwrap();
        started.0.push(child);
        node.child = Some(started.0.len() - 1);
        Ok(())
    }

    /// Kills a controller's process.
    pub fn kill_controller(&self, index: usize) {
        let mut nodes = self.nodes.lock().unwrap();
        let node = &mut nodes[index];
        if let Some(child) = node.child.take() {
            let mut started = STARTED.lock().unwrap();
            let _ = started.0[child].kill();
            let _ = started.0[child].wait();
            self.record.line(&format!("trouble: {} is killed", node.label));
        }
    }

    /// Cuts a controller off from the state service, the cloud and the other controllers, for `time`.
    pub fn cut_off(&self, index: usize, time: Duration) {
        self.record
            .line(&format!("trouble: {} is cut off from the other controllers and the cloud", self.label(index)));
        self.cut[index].store(true, Ordering::SeqCst);
        self.store.interrupt(&self.label(index), time);
    }

    /// The index of the controller that leads, by the state service.
    pub fn leader(&self) -> Option<usize> {
        let (label, _) = self.store.leader()?;
        self.nodes.lock().unwrap().iter().position(|node| node.label == label)
    }

    pub fn label(&self, index: usize) -> String {
        self.nodes.lock().unwrap()[index].label.clone()
    }

    /// One request of a user to a controller.
    pub fn user(&self, index: usize, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let addr = self.nodes.lock().unwrap()[index].public;
        let limit = Duration::from_secs(if method == "GET" { 2 } else { 5 });
        let answer = Client::new().call(addr, method, path, body, limit);
        let text = answer.as_ref().map(|(status, body)| format!("{status} {}", String::from_utf8_lossy(body)));
        let to = self.label(index);
        self.record.line(&format!(
            "user: {method} {path} to {to}: {}{}",
            text.unwrap_or("no answer".into()),
            if body.is_empty() { String::new() } else { format!(": {body}") }
        ));
        let (status, body) = answer?;
        Some((status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// Submits a job, or cancels one, as users do: repeats the request until it is answered.
    pub fn insist(&self, first: usize, path: &str, body: &str) -> Result<Json, String> {
        let until = Instant::now() + Duration::from_secs(60);
        let mut index = first;
        while Instant::now() < until {
            match self.user(index, "POST", path, body) {
                Some((200 | 201, body)) => return Ok(body),
                Some((status @ (400 | 422), body)) => return Err(format!("{path}: {status} {}", body.text())),
                _ => {}
            }
            thread::sleep(Duration::from_secs(1));
            index = (index + 1) % COUNT;
        }
        Err(format!("{path}: not accepted in 60 s"))
    }

    /// Submits an array. `run_s` is how long its tasks really run.
    pub fn submit(&self, first: usize, job: &Job) -> Result<(), String> {
        let info = JobInfo {
            loads: job.loads,
            cpus: job.cpus,
            memory_gb: job.memory_gb,
            kit: job.kit.into(),
            size_gb: job.size_gb,
            tally_s: job.tally_s,
            stow_s: job.stow_s,
            run_s: job.run_s,
            standing: false,
        };
        self.world.jobs.lock().unwrap().insert(job.id.into(), info);
        let rigs = job.rigs.map_or(Json::Null, |rig| Json::Arr(vec![s(rig)]));
        let body = obj([
            ("name_id", s(job.id)),
            ("lane", s(job.lane)),
            ("crew", s(job.crew)),
            ("shape", s("sweep")),
            ("rank", s(job.rank)),
            ("loads", n(job.loads)),
            ("cpus", n(format!("{:?}", job.cpus))),
            ("gpus", n("0.0")),
            ("memory_gb", n(format!("{:?}", job.memory_gb))),
            ("kit", s(job.kit)),
            ("size_gb", n(format!("{:?}", job.size_gb))),
            ("rigs", rigs),
            ("yard", Json::Null),
            ("together", Json::Bool(false)),
            ("scatter", Json::Bool(false)),
            ("borrowed", Json::Bool(true)),
            ("haul_s", n(format!("{:?}", job.haul_s))),
            ("tally_s", n(format!("{:?}", job.tally_s))),
            ("stow_s", n(format!("{:?}", job.stow_s))),
            ("due_s", Json::Null),
        ]);
        self.insist(first, "/api/jobs", &body.text()).map(|_| ())
    }

    /// Waits until all controllers are ready and one leads.
    pub fn wait_ready(&self) -> Result<(), String> {
        wait("the controllers to be ready", 20.0, || {
            self.leader().is_some()
                && (0..COUNT).all(|index| {
                    let addr = self.nodes.lock().unwrap()[index].public;
                    let answer = Client::new().call(addr, "GET", "/ready", "", Duration::from_secs(1));
                    answer.is_some_and(|(status, _)| status == 200)
                })
        })
    }
}

/// A job as a user describes it, and how long its tasks really run.
pub struct Job {
    pub id: &'static str,
    pub lane: &'static str,
    pub crew: &'static str,
    pub rank: &'static str,
    pub loads: u64,
    pub cpus: f64,
    pub memory_gb: f64,
    pub kit: &'static str,
    pub size_gb: f64,
    pub rigs: Option<&'static str>,
    pub haul_s: f64,
    pub tally_s: f64,
    pub stow_s: f64,
    pub run_s: f64,
}

/// Waits until something is so, or returns an error.
pub fn wait(what: &str, seconds: f64, mut so: impl FnMut() -> bool) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    while !so() {
        if Instant::now() > until {
            return Err(format!("waited {seconds} s in vain for {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
