//! Workers' messages: reports, their answers and direct orders.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// What a task does on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It waits for its image.
    Fetching,
    /// It runs.
    Running,
    /// It was told to stop and saves its progress.
    #[serde(rename = "flushing")]
    Saving,
    /// It has ended; the cause says how.
    Exited,
}

/// Why a task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It completed.
    Done,
    /// It was stopped by an order.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    Error,
    /// Its start was refused: the machine has not enough free.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Its start was refused: another attempt of it is on the machine.
    #[serde(rename = "in_use")]
    AttemptConflict,
    /// Its start was refused: there is no such job or task.
    #[serde(rename = "unknown")]
    UnknownTask,
}

/// A task as a report lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Its job and number, such as `wk-000412/3`.
    #[serde(rename = "load")]
    pub task: String,
    /// Which start of it this is.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// What it does.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether its progress was saved when it was stopped.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report<T = Vec<TaskReport>> {
    /// The machine's name.
    #[serde(rename = "tanker")]
    pub machine: String,
    /// Where it takes direct orders.
    pub addr: String,
    /// Its type.
    #[serde(rename = "rig")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the cloud may take it back.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Counts the leases of the worker that have ended, from 1.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Counts the worker's messages; the larger session and number is the newer.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// The highest token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud takes the machine back, if it gave notice.
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, ended ones until they are forgotten.
    #[serde(rename = "loads", default)]
    pub tasks: T,
}

/// A report whose list of tasks is checked to be JSON but not read: most reports of a
/// large fleet list what the one before did.
pub type UnparsedReport = Report<Option<Box<RawValue>>>;

impl UnparsedReport {
    /// The report without its tasks, and these as they came.
    pub fn split(self) -> (Report, Option<Box<RawValue>>) {
        let UnparsedReport { machine, addr, kind, zone, spot, session, seq, token, notice_s, tasks } = self;
        let head = Report { machine, addr, kind, zone, spot, session, seq, token, notice_s, tasks: Vec::new() };
        (head, tasks)
    }
}

/// What a worker is told to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Order {
    /// Starts a task.
    #[serde(rename = "run")]
    Start {
        /// The task.
        #[serde(rename = "load")]
        task: String,
        /// Which start of it.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Stop {
        /// The task.
        #[serde(rename = "load")]
        task: String,
        /// Which start of it.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that it gets to save.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Removes an ended task from the reports.
    #[serde(rename = "clear")]
    Forget {
        /// The task.
        #[serde(rename = "load")]
        task: String,
        /// Which start of it.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

impl Order {
    /// The task that it concerns.
    pub fn task(&self) -> &str {
        match self {
            Order::Start { task, .. } | Order::Stop { task, .. } | Order::Forget { task, .. } => task,
        }
    }
}

/// The answer to a report, and with a session the body of `/orders`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// The token of the leader that gives them.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The session that direct orders are for.
    #[serde(rename = "shift", default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
    /// To be carried out in this order.
    pub orders: Vec<Order>,
}

/// The body of a 421: which node to report to, if known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportRedirect {
    /// The node's label.
    #[serde(rename = "dispatcher", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
