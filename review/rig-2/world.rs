//! What the stand-ins know together: the jobs that were submitted, the tasks on machines, the record of the run and
//! the rules that were seen broken.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use crate::json::Json;

/// A job as its user submits it, and how long its tasks really run.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub lane: String,
    pub crew: String,
    pub service: bool,
    pub rank: String,
    pub loads: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub kit: String,
    pub size_gb: f64,
    pub rigs: Option<Vec<String>>,
    pub yard: Option<String>,
    pub together: bool,
    pub scatter: bool,
    pub borrowed: bool,
    pub haul_s: f64,
    pub tally_s: f64,
    pub stow_s: f64,
    pub run_s: f64,
}

impl Job {
    pub fn array(id: u32, crew: &str, loads: u32, cpus: f64, memory_gb: f64, run_s: f64) -> Job {
        Job {
            id: format!("wk-{id:06}"),
            lane: "batch".into(),
            crew: crew.into(),
            service: false,
            rank: "standard".into(),
            loads,
            cpus,
            gpus: 0.0,
            memory_gb,
            kit: "img-a".into(),
            size_gb: 0.5,
            rigs: None,
            yard: None,
            together: false,
            scatter: false,
            borrowed: false,
            haul_s: run_s,
            tally_s: 0.0,
            stow_s: 0.0,
            run_s,
        }
    }

    pub fn service(id: u32, crew: &str, loads: u32, cpus: f64, memory_gb: f64) -> Job {
        Job {
            lane: "dispatch".into(),
            service: true,
            rank: "production".into(),
            kit: "img-s".into(),
            haul_s: 0.0,
            ..Job::array(id, crew, loads, cpus, memory_gb, 1e9)
        }
    }

    pub fn body(&self) -> String {
        let rigs =
            self.rigs.as_ref().map_or(Json::Null, |rigs| Json::Arr(rigs.iter().map(|rig| Json::str(rig)).collect()));
        let yard = self.yard.as_ref().map_or(Json::Null, |yard| Json::str(yard));
        let shape = if self.service { "standing" } else { "sweep" };
        Json::obj(vec![
            ("name_id", Json::str(&self.id)),
            ("lane", Json::str(&self.lane)),
            ("crew", Json::str(&self.crew)),
            ("shape", Json::str(shape)),
            ("rank", Json::str(&self.rank)),
            ("loads", Json::int(self.loads.into())),
            ("cpus", Json::float(self.cpus)),
            ("gpus", Json::float(self.gpus)),
            ("memory_gb", Json::float(self.memory_gb)),
            ("kit", Json::str(&self.kit)),
            ("size_gb", Json::float(self.size_gb)),
            ("rigs", rigs),
            ("yard", yard),
            ("together", Json::Bool(self.together)),
            ("scatter", Json::Bool(self.scatter)),
            ("borrowed", Json::Bool(self.borrowed)),
            ("haul_s", Json::float(self.haul_s)),
            ("tally_s", Json::float(self.tally_s)),
            ("stow_s", Json::float(self.stow_s)),
            ("due_s", Json::Null),
        ])
        .write()
    }
}

/// A start of a task, from the moment it has its image, and how it ended.
#[derive(Clone)]
pub struct Run {
    pub load: String,
    pub machine: String,
    pub started: f64,
    pub ended: Option<(f64, String)>,
}

#[derive(Default)]
pub struct Inner {
    pub jobs: BTreeMap<String, Job>,
    pub accepted: BTreeMap<String, f64>,
    pub states: BTreeMap<String, String>,
    pub runs: Vec<Run>,
    /// Index of the run of each task that is on a machine, by task and machine.
    on: BTreeMap<(String, String), usize>,
    /// Tasks that completed; the result is kept.
    pub results: BTreeSet<String>,
    pub broken: Vec<String>,
}

pub struct World {
    began: Instant,
    record: Mutex<File>,
    pub inner: Mutex<Inner>,
}

impl World {
    pub fn new(record: &str) -> World {
        let record = Mutex::new(File::create(record).expect("the record can be written"));
        World { began: Instant::now(), record, inner: Mutex::default() }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Writes a line into the record.
    pub fn note(&self, line: &str) {
        let _ = writeln!(self.record.lock().unwrap(), "{:8.3} {line}", self.now());
    }

    /// Notes that a rule was broken.
    pub fn broken(&self, line: &str) {
        self.note(&format!("BROKEN {line}"));
        self.inner.lock().unwrap().broken.push(line.to_owned());
    }

    /// A task has its image and starts on a machine.
    pub fn started(&self, load: &str, attempt: u64, machine: &str) {
        let now = self.now();
        let mut inner = self.inner.lock().unwrap();
        let elsewhere: Vec<String> =
            inner.on.keys().filter(|(other, _)| other == load).map(|(_, machine)| machine.clone()).collect();
        let index = inner.runs.len();
        inner.runs.push(Run { load: load.into(), machine: machine.into(), started: now, ended: None });
        inner.on.insert((load.into(), machine.into()), index);
        drop(inner);
        self.note(&format!("task {load} try {attempt} starts on {machine}"));
        if !elsewhere.is_empty() {
            self.broken(&format!("ran_twice: {load} starts on {machine} while it is on {}", elsewhere.join(", ")));
        }
    }

    /// A task left its machine.
    pub fn ended(&self, load: &str, machine: &str, why: &str) {
        let now = self.now();
        let mut inner = self.inner.lock().unwrap();
        if let Some(index) = inner.on.remove(&(load.to_owned(), machine.to_owned())) {
            inner.runs[index].ended = Some((now, why.to_owned()));
            drop(inner);
            self.note(&format!("task {load} ends on {machine}: {why}"));
        }
    }

    /// Runs of the tasks of a job.
    pub fn runs_of(&self, job: &str) -> Vec<Run> {
        let prefix = format!("{job}/");
        self.inner.lock().unwrap().runs.iter().filter(|run| run.load.starts_with(&prefix)).cloned().collect()
    }

    /// Number of tasks of a job that are done.
    pub fn done(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        self.inner.lock().unwrap().results.iter().filter(|load| load.starts_with(&prefix)).count()
    }

    /// Number of tasks of a job that are on machines now.
    pub fn running(&self, job: &str) -> usize {
        self.runs_of(job).iter().filter(|run| run.ended.is_none()).count()
    }

    pub fn state(&self, job: &str) -> String {
        self.inner.lock().unwrap().states.get(job).cloned().unwrap_or_default()
    }
}
