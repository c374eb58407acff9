//! A small deployment: the controllers as processes, with stand-ins for all else, and users.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::cloud::Cloud;
use crate::http::Connection;
use crate::json::Json;
use crate::store::{Limits, Store};
use crate::worker::{Rig, Site};
use crate::world::{Job, World};

/// Settings of a deployment.
pub struct Setup {
    pub locations: Vec<&'static str>,
    pub yards: Vec<&'static str>,
    pub rigs: Vec<Rig>,
    /// Name, guarantee and limit in CPUs, and both in GPUs.
    pub teams: Vec<(&'static str, f64, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub max_sockets: usize,
    pub mem_mb: f64,
}

pub struct Node {
    pub label: String,
    pub public: SocketAddr,
    config: PathBuf,
    child: Mutex<Option<Child>>,
}

pub struct Bed {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub nodes: Vec<Node>,
    run: Vec<String>,
    folder: PathBuf,
    healthy: Mutex<Vec<bool>>,
    turn: AtomicUsize,
}

/// Returns the program and the arguments of the line `run` of the deploy file.
fn run_line() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/service.toml").expect("the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("a line `run`");
    line.trim().trim_matches('"').split_whitespace().map(str::to_owned).collect()
}

/// Reserves a free port for a controller. Its loopback address is the run's own, so that no other connection takes the
/// port before the controller does.
fn free_addr() -> SocketAddr {
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 100 + (pid >> 16) as u8 % 100, (pid >> 8) as u8, pid as u8);
    TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Sends a signal to a process that this run started.
fn signal(child: &Child, name: &str) {
    let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", child.id())).status();
}

impl Bed {
    pub fn start(setup: Setup, record: &str) -> Arc<Bed> {
        let world = Arc::new(World::new(record));
        let (store, state_addr) =
            Store::start(Limits { rps: setup.rps, write_rps: setup.write_rps, value_bytes: 8 * 1024, txn_ops: 16 });
        let count = setup.locations.len();
        let publics: Vec<SocketAddr> = (0..count).map(|_| free_addr()).collect();
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_addr()).collect();
        let labels: Vec<String> = (0..count).map(|n| format!("tanker-{n}")).collect();
        let site = Arc::new(Site {
            world: world.clone(),
            nodes: labels.iter().cloned().zip(publics.iter().copied()).collect(),
            report_s: setup.report_s,
            lease_s: setup.lease_s,
        });
        let cloud = Cloud::new(site, setup.rigs.clone(), &setup.yards, setup.list_lag_s);
        let folder = std::env::temp_dir().join(format!("rushyoke-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut nodes = Vec::new();
        for n in 0..count {
            let (listener, cloud_addr) = Cloud::free_listener();
            cloud.listen(n, listener);
            let mut text = format!(
                "label = \"{}\"\nlocation = \"{}\"\npublic_addr = \"{}\"\npeer_bind = \"{}\"\n",
                labels[n], setup.locations[n], publics[n], peers[n]
            );
            for other in (0..count).filter(|other| *other != n) {
                text += &format!(
                    "[[others]]\nlabel = \"{}\"\nlocation = \"{}\"\nendpoint = \"{}\"\n",
                    labels[other], setup.locations[other], peers[other]
                );
            }
            text += &format!("[outside]\ncloud = \"{cloud_addr}\"\nstate = \"{state_addr}\"\n");
            text += &format!("[facts]\ncount = {count}\nzones = {:?}\nclock_off_ms = 5.0\n", setup.yards);
            for (name, cpus, cpus_max, gpus) in &setup.teams {
                text += &format!(
                    "[[facts.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {cpus_max:.1}\ngpus = {gpus:.1}\ngpus_max = {gpus:.1}\n"
                );
            }
            text += &format!(
                "[facts.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = {:.1}\n",
                setup.report_s, setup.lease_s, setup.cancel_s
            );
            text += &format!(
                "[facts.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = 8.0\ntxn_ops = 16\n",
                setup.rps, setup.write_rps
            );
            text += &format!("[facts.cloud]\nrps = {:.1}\nlist_lag_s = {:.1}\n", setup.cloud_rps, setup.list_lag_s);
            text += &format!(
                "[facts.quota]\ncpu = 0.064\nmem_mb = {:.1}\nmax_sockets = {}\n",
                setup.mem_mb, setup.max_sockets
            );
            let config = folder.join(format!("{}.toml", labels[n]));
            std::fs::write(&config, text).expect("a settings file can be written");
            nodes.push(Node { label: labels[n].clone(), public: publics[n], config, child: Mutex::new(None) });
        }
        let bed = Arc::new(Bed {
            world,
            store,
            cloud,
            nodes,
            run: run_line(),
            folder,
            healthy: Mutex::new(vec![false; count]),
            turn: AtomicUsize::new(0),
        });
        (0..count).for_each(|n| bed.start_node(n));
        let prober = bed.clone();
        std::thread::spawn(move || prober.probe());
        bed
    }

    pub fn start_node(&self, n: usize) {
        let log = std::env::var("REVIEW_LOGS").ok().filter(|folder| !folder.is_empty()).and_then(|folder| {
            let path = PathBuf::from(folder).join(format!("{}.log", self.nodes[n].label));
            std::fs::OpenOptions::new().create(true).append(true).open(path).ok()
        });
        let stderr = log.map_or(Stdio::null(), Stdio::from);
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(&self.nodes[n].config)
            .env_remove("RUSHYOKE_POLICY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn();
        match child {
            Ok(child) => *self.nodes[n].child.lock().unwrap() = Some(child),
            Err(error) => {
                eprintln!("the controller cannot be started: {error}");
                std::process::exit(2);
            }
        }
        self.world.note(&format!("controller {} starts", self.nodes[n].label));
    }

    /// Lets a controller stand still, or go on.
    pub fn freeze_node(&self, n: usize, still: bool) {
        if let Some(child) = self.nodes[n].child.lock().unwrap().as_ref() {
            signal(child, if still { "STOP" } else { "CONT" });
        }
        let what = if still { "stands still" } else { "goes on" };
        self.world.note(&format!("TROUBLE controller {} {what}", self.nodes[n].label));
    }

    /// Whether all controllers run. One that ended by itself is noted.
    pub fn all_run(&self) -> bool {
        self.nodes.iter().all(|node| {
            let mut child = node.child.lock().unwrap();
            child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(None)))
        })
    }

    /// Ends all that was started.
    pub fn stop(&self) {
        for node in &self.nodes {
            if let Some(mut child) = node.child.lock().unwrap().take() {
                signal(&child, "CONT");
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    /// Probes the nodes like the load balancer.
    fn probe(&self) {
        let mut failures = vec![2; self.nodes.len()];
        loop {
            for (n, node) in self.nodes.iter().enumerate() {
                let answer = Connection::default().call(node.public, "GET", "/ready", "", Duration::from_secs(1));
                failures[n] = if matches!(answer, Some((200, _))) { 0 } else { failures[n] + 1 };
                self.healthy.lock().unwrap()[n] = failures[n] < 2;
            }
            std::thread::sleep(Duration::from_millis(700));
        }
    }

    /// Waits until a node is healthy.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.healthy.lock().unwrap().iter().all(|healthy| *healthy) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a user's request through the load balancer, on a new connection to a healthy node.
    pub fn user(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<(u16, Json)> {
        let healthy: Vec<usize> = {
            let healthy = self.healthy.lock().unwrap();
            (0..self.nodes.len()).filter(|n| healthy[*n]).collect()
        };
        if healthy.is_empty() {
            return None;
        }
        let node = healthy[self.turn.fetch_add(1, Ordering::Relaxed) % healthy.len()];
        let answer = Connection::default().call(self.nodes[node].public, method, path, body, limit);
        answer.map(|(status, body)| (status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// Submits a job as a user does, with retries for up to 60 s. Returns whether it was accepted.
    pub fn submit(&self, job: &Job) -> bool {
        self.world.inner.lock().unwrap().jobs.insert(job.id.clone(), job.clone());
        let until = Instant::now() + Duration::from_secs(60);
        while Instant::now() < until {
            let answer = self.user("POST", "/api/jobs", &job.body(), Duration::from_secs(5));
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            self.world.note(&format!("user: {} ({} tasks) is submitted: {status}", job.id, job.loads));
            match status {
                200 | 201 => {
                    let now = self.world.now();
                    self.world.inner.lock().unwrap().accepted.insert(job.id.clone(), now);
                    return true;
                }
                400 | 422 => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    /// Polls a job every 5 s, as its user does, until it is over.
    pub fn poll(self: &Arc<Bed>, id: &str) {
        let (bed, id) = (self.clone(), id.to_owned());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_secs(5));
                let answer = bed.user("GET", &format!("/api/jobs/{id}"), "", Duration::from_secs(2));
                let Some((200, view)) = answer else {
                    let status = answer.map_or("no answer".to_owned(), |(status, _)| status.to_string());
                    bed.world.note(&format!("user: poll of {id}: {status}"));
                    continue;
                };
                let state = view.get("status").text().to_owned();
                let line = format!(
                    "user: poll of {id}: {state}, done {}, running {}",
                    view.get("done").u64().unwrap_or(0),
                    view.get("running").u64().unwrap_or(0)
                );
                bed.world.note(&line);
                bed.world.inner.lock().unwrap().states.insert(id.clone(), state.clone());
                if state == "done" || state == "cancelled" {
                    return;
                }
            }
        });
    }

    /// The number of the controller that holds the leader's key in the state service, and the key's version.
    pub fn leader(&self) -> Option<(usize, u64)> {
        let (label, version) = self.store.leader()?;
        Some((self.nodes.iter().position(|node| node.label == label)?, version))
    }

    /// Waits until a condition holds. Returns whether it does.
    pub fn wait(&self, limit: f64, condition: impl Fn() -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(limit);
        while !condition() {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Sleeps until this many seconds after the start of the run.
    pub fn sleep_until(&self, at: f64) {
        let left = at - self.world.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Number of tasks on each machine.
    pub fn loads(&self) -> BTreeMap<String, usize> {
        self.cloud.workers().iter().map(|(name, worker)| (name.clone(), worker.alive_loads())).collect()
    }
}
