//! Messages of users: submitting, querying and cancelling jobs.

use std::collections::BTreeSet;

use serde::{Deserialize, Deserializer, Serialize};

/// Largest number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// The kind of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Independent tasks; each runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job, ordered from low to high. A job may preempt tasks of a lower priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Runs when nothing else needs the resources.
    BestEffort,
    /// The default priority.
    #[serde(rename = "standard")]
    Normal,
    /// Runs before the default priority.
    High,
    /// Serves users directly; runs before all else.
    Production,
}

/// A job's description, as users submit it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job, such as `wk-000412`.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Job class, which sets the service objectives.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team whose quota applies.
    #[serde(rename = "crew")]
    pub team: String,
    /// Whether the job is an array or a service.
    #[serde(rename = "shape")]
    pub kind: Kind,
    /// Priority of the job.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "loads")]
    pub tasks: u32,
    /// CPUs per task.
    pub cpus: f64,
    /// GPUs per task.
    pub gpus: f64,
    /// Memory per task.
    pub memory_gb: f64,
    /// Machine types that the job may use; `None` for all.
    #[serde(rename = "rigs", default)]
    pub types: Option<Vec<String>>,
    /// Zone to which the job is limited; `None` for all.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether the job may use spot machines, which the cloud may reclaim.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Image that a machine must have to run a task.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// The user's estimate of a task's run time.
    #[serde(rename = "haul_s")]
    pub estimate_s: f64,
    /// Interval at which a running task saves its progress; 0 if it never does.
    #[serde(rename = "tally_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save its progress when it is stopped.
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    /// Deadline of the job, relative to its submission.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts, without duplicates.
    #[serde(rename = "awaits", default, deserialize_with = "null_as_empty", skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

/// Deserializes a list of ids, with null as an empty list.
fn null_as_empty<'de, D: Deserializer<'de>>(value: D) -> Result<Vec<String>, D::Error> {
    Ok(Option::<Vec<String>>::deserialize(value)?.unwrap_or_default())
}

/// Whether `id` is a well-formed job id: `wk-` and 1 to 18 digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("wk-")
        .is_some_and(|rest| (1..=18).contains(&rest.len()) && rest.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Parses and validates a submission; the error is one line for the user.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        // Serde would also accept an array for a struct; the protocol requires an object.
        if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
            return Err("the body is not a JSON object".into());
        }
        let mut spec: JobSpec = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        spec.check()?;
        let mut seen = BTreeSet::new();
        spec.dependencies.retain(|id| seen.insert(id.clone()));
        Ok(spec)
    }

    /// Validates the values of all fields.
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

/// A job's status, as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task of the job runs.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task of the job runs.
    Running,
    /// All tasks of the job are done.
    Done,
    /// The job was cancelled.
    Cancelled,
}

impl JobStatus {
    /// Whether the status never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, JobStatus::Done | JobStatus::Cancelled)
    }
}

/// The response to a query for a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Status of the job.
    #[serde(rename = "status")]
    pub state: JobStatus,
    /// Number of tasks that are done, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of running tasks, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
    /// Dependencies of the job that are not done.
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}
