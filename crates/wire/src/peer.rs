//! What controllers tell one another, in postcard. Nothing here decides anything that
//! the rules depend on but one fact: an answer to a fresh question shows which
//! incarnation of a controller lives now.

use serde::{Deserialize, Serialize};

use crate::worker::{Cause, TaskState};

/// How far a job has come, for display.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Its id.
    pub job: String,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// What a controller asks of, and tells, another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRequest {
    /// The sender's label.
    pub label: String,
    /// The asker's token while it leads.
    pub token: Option<u64>,
    /// The leader takes no more jobs.
    pub job_limit_reached: bool,
    /// For display, from the leader only.
    pub progress: Vec<Progress>,
}

/// What a controller answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerResponse {
    /// Its label.
    pub label: String,
    /// Which of its processes answers.
    pub incarnation: u64,
    /// Whether the state service answers this node.
    pub store_ok: bool,
    /// The token with which this incarnation still acts, if any.
    pub token: Option<u64>,
    /// The token of the leader to which it hands workers' reports, if it does.
    pub relays_to: Option<u64>,
    /// How much of its time its processor is busy, in percent.
    pub busy_percent: u8,
}

/// Workers' reports that a node hands to the leader, to pass its answers back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The token of the leader that they are for.
    pub token: u64,
    /// The reports, in the order of their answers.
    pub reports: Vec<RelayedReport>,
}

/// A worker's report, with its tasks or the digest of a list that was told before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// The machine's name.
    pub machine: String,
    /// The worker's session.
    pub session: u64,
    /// The report's number.
    pub seq: u64,
    /// The highest token that the worker has seen.
    pub token: u64,
    /// Seconds until the cloud takes the machine back.
    pub notice_s: Option<f64>,
    /// Tells lists of tasks apart.
    pub digest: u64,
    /// What the digest stands for, if it must be told.
    pub full: Option<FullReport>,
}

/// A report in full.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FullReport {
    /// Where the worker takes direct orders.
    pub addr: String,
    /// The machine's type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// All tasks on the machine.
    pub tasks: Vec<RelayedTask>,
}

/// A task of a report; in postcard no field may be left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedTask {
    /// Its job and number.
    pub task: String,
    /// Which start of it this is.
    pub attempt: u64,
    /// What it does.
    pub state: TaskState,
    /// Why it has ended.
    pub cause: Option<Cause>,
}

/// The leader's answers to relayed reports, in their order; `None`: send it in full.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayResponse {
    /// One for each report.
    pub answers: Vec<Option<RelayedResponse>>,
}

/// What is to be answered to the worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// When the worker should come back.
    pub retry_after_s: Option<u32>,
}

/// Encodes a peer message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("peer messages always encode")
}

/// Decodes a peer message; `None` for anything malformed.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
