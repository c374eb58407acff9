//! The records of jobs and tasks in the state service, and their keys.

use rushyoke_wire::job::JobSpec;
use serde::{Deserialize, Serialize};

/// Number of tasks in one page record. With every task on a different machine, a record takes up to
/// 8 KiB; if the store's values hold less, the tasks are written to the log again instead.
pub const TASKS_PER_PAGE: u32 = 80;

/// The value of `job/<id>`: the job's state, which remains readable after the job has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub state: RecordState,
    /// Number of tasks in the job.
    pub tasks: u32,
    /// Dependencies of an open job. The job is cancelled if one of them is cancelled.
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

impl JobRecord {
    /// Returns the record of a job that has ended.
    pub fn terminal(state: RecordState, tasks: u32) -> JobRecord {
        JobRecord { state, tasks, dependencies: Vec::new() }
    }
}

/// The durable state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// Accepted and not finished.
    Open,
    /// Every task has completed.
    Done,
    /// Cancelled by a user or because a dependency was cancelled.
    Cancelled,
}

/// The value of `live/<id>`, which exists until no task of the job can run any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LiveRecord {
    pub spec: JobSpec,
    /// Submission time, in milliseconds since the Unix epoch.
    #[serde(rename = "at_ms")]
    pub submitted_ms: u64,
    pub cancelled: bool,
}

/// The value of `log/<number>`: a log segment with the state of the tasks that changed while it was
/// the newest segment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentRecord {
    /// Names and addresses of the machines that the placements refer to by index.
    pub machines: Vec<(String, String)>,
    pub jobs: Vec<ChangedTasks>,
    /// The lowest attempt whose start may still be carried out for the first time: it had not been sent when this was
    /// written, or a direct call with it had no response. Those of higher attempts may be, too. Earlier versions neither
    /// write nor read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unanswered_from: Option<u64>,
}

/// The changed tasks of one job in a segment. Each task is in exactly one of `placements`, `done`
/// and `waiting`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangedTasks {
    /// The job's id.
    pub job: String,
    /// Placed tasks: task number, index of the machine, attempt.
    #[serde(rename = "places", default, skip_serializing_if = "Vec::is_empty")]
    pub placements: Vec<(u32, usize, u64)>,
    /// Completed tasks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Tasks that are neither placed nor done.
    #[serde(rename = "open", default, skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<u32>,
    /// Tasks of the lists above that were restarted or moved once by speculation or rebalancing.
    #[serde(rename = "again", default, skip_serializing_if = "Vec::is_empty")]
    pub restarted: Vec<u32>,
    /// Number of reruns because of a zone failure, for the tasks of the lists above that had any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone_reruns: Vec<(u32, u32)>,
}

/// The value of `task/<id>/<page>`: the state of up to [`TASKS_PER_PAGE`] consecutive tasks. Task
/// numbers in it count from the first task of the page.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Bit map of the completed tasks in hexadecimal; the page's first task is the lowest bit of the
    /// first byte.
    pub done: String,
    /// Tasks that were restarted or moved once by speculation or rebalancing.
    #[serde(rename = "again", default, skip_serializing_if = "Vec::is_empty")]
    pub restarted: Vec<u32>,
    /// Number of reruns because of a zone failure, for the tasks that had any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone_reruns: Vec<(u32, u32)>,
    /// Names and addresses of the machines that the placements refer to by index.
    pub machines: Vec<(String, String)>,
    /// Placed tasks: task number, index of the machine, attempt.
    #[serde(rename = "places")]
    pub placements: Vec<(u32, usize, u64)>,
    /// As in [`SegmentRecord::unanswered_from`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unanswered_from: Option<u64>,
}

/// Returns the key of a job's [`JobRecord`].
pub fn job_key(id: &str) -> String {
    format!("job/{id}")
}

/// Returns the key of a job's [`LiveRecord`].
pub fn live_key(id: &str) -> String {
    format!("live/{id}")
}

/// Returns the key of a [`PageRecord`].
pub fn page_key(id: &str, page: u32) -> String {
    format!("task/{id}/{page}")
}

/// Returns the key of a [`SegmentRecord`].
pub fn segment_key(number: u64) -> String {
    format!("log/{number:012}")
}

/// Parses `log/<number>`.
pub fn parse_segment_key(key: &str) -> Option<u64> {
    key.strip_prefix("log/")?.parse().ok()
}

/// Parses `task/<id>/<page>`.
pub fn parse_page_key(key: &str) -> Option<(&str, u32)> {
    let (id, page) = key.strip_prefix("task/")?.rsplit_once('/')?;
    Some((id, page.parse().ok()?))
}
