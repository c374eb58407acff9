//! Workers' messages: reports, their answers and direct orders.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Fetching,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    Exited,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    #[serde(rename = "halted")]
    Stopped,
    Error,
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "load")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Cause>,
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report<T = Vec<TaskReport>> {
    #[serde(rename = "tanker")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "rig")]
    pub kind: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "tick")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "loads", default)]
    pub tasks: T,
}

/// A report whose list of tasks is checked to be JSON but not read: most reports of a
/// large fleet list what the one before did.
pub type UnreadReport = Report<Option<Box<RawValue>>>;

impl UnreadReport {
    /// The report without its tasks, and these as they came.
    pub fn split(self) -> (Report, Option<Box<RawValue>>) {
        let UnreadReport { machine, addr, kind, zone, spot, session, seq, token, notice_s, tasks } = self;
        let head = Report { machine, addr, kind, zone, spot, session, seq, token, notice_s, tasks: Vec::new() };
        (head, tasks)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Order {
    #[serde(rename = "run")]
    Start {
        #[serde(rename = "load")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "halt")]
    Stop {
        #[serde(rename = "load")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    #[serde(rename = "clear")]
    Forget {
        #[serde(rename = "load")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report, and with a session the body of `/orders`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "shift", default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
    pub orders: Vec<Order>,
}

/// The body of a 421: which node to report to, if known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Elsewhere {
    #[serde(rename = "dispatcher", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
