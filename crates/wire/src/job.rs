//! Users' messages: submitting, querying and cancelling jobs.

use std::collections::BTreeSet;

use serde::{Deserialize, Deserializer, Serialize};

/// The most tasks that one job may have.
pub const MAX_TASKS: u32 = 100_000;

/// What a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Independent tasks; each runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Ordered: a later one may displace an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// May wait for all else.
    BestEffort,
    /// The usual priority.
    #[serde(rename = "standard")]
    Normal,
    /// Before the usual one.
    High,
    /// What users of the teams depend on at once.
    Production,
}

/// A job's description, as users submit it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its id, such as `wk-000412`.
    #[serde(rename = "name_id")]
    pub id: String,
    /// The class whose aims apply.
    #[serde(rename = "lane")]
    pub class: String,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Array or service.
    #[serde(rename = "shape")]
    pub kind: Kind,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// How many tasks it has.
    #[serde(rename = "loads")]
    pub tasks: u32,
    /// CPUs of a task.
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task.
    pub memory_gb: f64,
    /// Machine types that it may use, if not all.
    #[serde(rename = "rigs", default)]
    pub types: Option<Vec<String>>,
    /// The only zone that it may use, if there is one.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// All tasks must be in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// It may use machines that the cloud may take back.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The image that a machine must have.
    #[serde(rename = "kit")]
    pub image: String,
    /// The size of the image.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "haul_s")]
    pub estimate_s: f64,
    /// How often a running task saves its progress; 0: never.
    #[serde(rename = "tally_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save when it is stopped.
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    /// When it should be done, from its submission.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts, each named once.
    #[serde(rename = "awaits", default, deserialize_with = "null_as_empty", skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

fn null_as_empty<'de, D: Deserializer<'de>>(value: D) -> Result<Vec<String>, D::Error> {
    Ok(Option::<Vec<String>>::deserialize(value)?.unwrap_or_default())
}

/// Whether `id` has the form that job ids always have.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("wk-")
        .is_some_and(|rest| (1..=18).contains(&rest.len()) && rest.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Parses and checks a submission; the error is one line for the user.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        // A sequence would also deserialize into a struct; the protocol wants an object.
        if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
            return Err("the body is not a JSON object".into());
        }
        let mut spec: JobSpec = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        spec.check()?;
        let mut named = BTreeSet::new();
        spec.dependencies.retain(|id| named.insert(id.clone()));
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        if !is_job_id(&self.id) {
            return Err("name_id: must be wk- and digits".into());
        }
        if !self.dependencies.iter().all(|id| is_job_id(id)) {
            return Err("awaits: must be a list of job ids".into());
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("loads: must be 1 to {MAX_TASKS}"));
        }
        for (name, text) in [("lane", &self.class), ("crew", &self.team), ("kit", &self.image)] {
            if text.is_empty() || text.len() > 200 {
                return Err(format!("{name}: must have 1 to 200 bytes"));
            }
        }
        let amounts = [
            ("cpus", self.cpus),
            ("gpus", self.gpus),
            ("memory_gb", self.memory_gb),
            ("size_gb", self.image_gb),
            ("haul_s", self.estimate_s),
            ("tally_s", self.checkpoint_interval_s),
            ("stow_s", self.save_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (name, amount) in amounts {
            if !(0.0..=1e9).contains(&amount) {
                return Err(format!("{name}: must be a number from 0 to 1e9"));
            }
        }
        if self.cpus <= 0.0 && self.gpus <= 0.0 {
            return Err("cpus: must be above 0".into());
        }
        Ok(())
    }
}

/// What users are told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task runs.
    #[serde(rename = "pending")]
    Queued,
    /// Tasks run.
    Running,
    /// All tasks are done.
    Done,
    /// It was cancelled.
    Cancelled,
}

impl JobStatus {
    /// Final states never change again.
    pub fn is_final(self) -> bool {
        matches!(self, JobStatus::Done | JobStatus::Cancelled)
    }
}

/// A job as users see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Its id.
    #[serde(rename = "name_id")]
    pub id: String,
    /// What it does.
    #[serde(rename = "status")]
    pub state: JobStatus,
    /// Tasks that are done, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks that run, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
    /// Jobs that it waits for.
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}
