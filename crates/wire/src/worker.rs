//! Messages of workers: reports, the responses to them and orders by direct calls.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The state of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task waits for its image.
    Fetching,
    /// The task runs.
    Running,
    /// The task was ordered to stop and saves its progress.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has ended; the cause says why.
    Exited,
}

/// Why a task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The task completed.
    Done,
    /// The task was stopped by an order.
    #[serde(rename = "halted")]
    Stopped,
    /// The task failed.
    Error,
    /// The start was refused: the machine has too few free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The start was refused: another attempt of the task is on the machine.
    #[serde(rename = "in_use")]
    AttemptConflict,
    /// The start was refused: there is no such job or task.
    #[serde(rename = "unknown")]
    UnknownTask,
}

/// A task in a worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Job and number of the task, such as `wk-000412/3`.
    #[serde(rename = "load")]
    pub task: String,
    /// Attempt number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why the task has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether the task's progress was saved when it was stopped.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's periodic report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report<T = Vec<TaskReport>> {
    /// Name of the machine.
    #[serde(rename = "tanker")]
    pub machine: String,
    /// Address at which the worker accepts direct calls.
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Session of the worker: starts at 1 and increases each time the worker's lease expires.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Sequence number of the worker's messages. Of two messages the one with the larger session, and then the
    /// larger sequence number, is newer.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud reclaims the machine, if it gave notice.
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine. Ended ones are included until an order to forget them arrives.
    #[serde(rename = "loads", default)]
    pub tasks: T,
}

/// A report whose list of tasks is validated as JSON but not parsed: in a large fleet, most reports repeat the list
/// of the previous report.
pub type UnparsedReport = Report<Option<Box<RawValue>>>;

impl UnparsedReport {
    /// Returns the report without its tasks, and the unparsed list of tasks.
    pub fn split(self) -> (Report, Option<Box<RawValue>>) {
        let UnparsedReport { machine, addr, machine_type, zone, spot, session, seq, token, notice_s, tasks } = self;
        let report =
            Report { machine, addr, machine_type, zone, spot, session, seq, token, notice_s, tasks: Vec::new() };
        (report, tasks)
    }
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Order {
    /// Starts a task.
    #[serde(rename = "run")]
    Start {
        /// The task.
        #[serde(rename = "load")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Stop {
        /// The task.
        #[serde(rename = "load")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
        /// Grace period in which the task may save its progress, in seconds.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Removes an ended task from the worker's reports.
    #[serde(rename = "clear")]
    Forget {
        /// The task.
        #[serde(rename = "load")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

impl Order {
    /// Returns the task that the order concerns.
    pub fn task(&self) -> &str {
        match self {
            Order::Start { task, .. } | Order::Stop { task, .. } | Order::Forget { task, .. } => task,
        }
    }
}

/// Response to a report, and, with a session, the body of a direct call to `/orders`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Fencing token of the leader that gives the orders.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Session of the worker that the orders of a direct call are meant for.
    #[serde(rename = "shift", default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
    /// Orders, to be carried out in this sequence.
    pub orders: Vec<Order>,
}

/// Body of a 421 response: the controller to report to, if known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportRedirect {
    /// Label of the controller.
    #[serde(rename = "dispatcher", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
