//! What controllers tell one another, in postcard. Nothing here decides anything that
//! the rules depend on but one fact: an answer to a fresh question shows which
//! incarnation of a controller lives now.

use serde::{Deserialize, Serialize};

use crate::worker::{Cause, TaskState};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    pub job: String,
    pub done: u32,
    pub running: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRequest {
    pub label: String,
    /// The asker's token while it leads.
    pub token: Option<u64>,
    /// The leader takes no more jobs.
    pub full: bool,
    /// For display, from the leader only.
    pub progress: Vec<Progress>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerResponse {
    pub label: String,
    pub incarnation: u64,
    /// Whether the state service answers this node.
    pub store_ok: bool,
    /// The token with which this incarnation still acts, if any.
    pub token: Option<u64>,
    /// The token of the leader to which it hands workers' reports, if it does.
    pub relays_to: Option<u64>,
    /// How much of its time its processor is busy, in percent.
    pub busy: u8,
}

/// Workers' reports that a node hands to the leader, to pass its answers back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    /// The token of the leader that they are for.
    pub token: u64,
    pub reports: Vec<Relayed>,
}

/// A worker's report, with its tasks or the digest of a list that was told before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relayed {
    pub machine: String,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub notice_s: Option<f64>,
    pub digest: u64,
    pub full: Option<RelayedMachine>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedMachine {
    pub addr: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub tasks: Vec<RelayedTask>,
}

/// A task of a report; in postcard no field may be left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedTask {
    pub task: String,
    pub attempt: u64,
    pub state: TaskState,
    pub why: Option<Cause>,
}

/// The leader's answers to relayed reports, in their order; `None`: send it in full.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayResponse {
    pub answers: Vec<Option<RelayAnswer>>,
}

/// What is to be answered to the worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayAnswer {
    pub status: u16,
    pub body: Vec<u8>,
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
