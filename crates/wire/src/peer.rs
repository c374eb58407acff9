//! Messages between controllers, encoded with postcard. Postcard writes no names, so the order of fields and
//! variants must not change. A field that was added later follows the encoded message, and earlier versions ignore it.
//!
//! Correctness depends on only one of these fields, [`PeerResponse::lowest_token`]: a new leader relies on it to know
//! that no earlier one renews a worker's lease any more.

use serde::{Deserialize, Serialize};

use crate::worker::{Cause, TaskState};

/// The progress of a job, for display.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Id of the job.
    pub job: String,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// A controller's periodic request to another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRequest {
    /// Label of the sender.
    pub label: String,
    /// Fencing token of the sender while it leads.
    pub token: Option<u64>,
    /// Whether the sender leads and has reached its limit of unfinished jobs.
    pub job_limit_reached: bool,
    /// Progress of jobs, from the leader only.
    pub progress: Vec<Progress>,
}

/// A controller's response to a `PeerRequest`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerResponse {
    /// Label of the responding controller.
    pub label: String,
    /// Identifies the process that responds: a new one after each start.
    pub incarnation: u64,
    /// Whether the state service responds to this controller.
    pub store_ok: bool,
    /// Fencing token with which this incarnation still acts, if any.
    pub token: Option<u64>,
    /// Fencing token of the leader to which this controller relays workers' reports, if it does.
    pub relays_to: Option<u64>,
    /// Processor utilization in percent.
    pub busy_percent: u8,
    /// Promise of the responding incarnation: from now on it acts with no fencing token below this one, not even if
    /// it learns later that an earlier claim of its own succeeded. `None` from versions that promise nothing.
    #[serde(skip)]
    pub lowest_token: Option<u64>,
}

impl PeerResponse {
    /// Encodes the response, followed by the fields that earlier versions ignore.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(self);
        if let Some(token) = self.lowest_token {
            bytes.extend(encode(&token));
        }
        bytes
    }

    /// Decodes a response of this version or of an earlier one; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<PeerResponse> {
        let (response, rest) = postcard::take_from_bytes::<PeerResponse>(bytes).ok()?;
        let lowest_token = if rest.is_empty() { None } else { Some(decode(rest)?) };
        Some(PeerResponse { lowest_token, ..response })
    }
}

/// Workers' reports that a controller relays to the leader. It passes the leader's responses back to the workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// Fencing token of the leader that the reports are for.
    pub token: u64,
    /// The reports; the responses have the same order.
    pub reports: Vec<RelayedReport>,
}

/// A worker's report, with its tasks or only the digest of a list that was sent before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// Name of the machine.
    pub machine: String,
    /// Session of the worker.
    pub session: u64,
    /// Sequence number of the report.
    pub seq: u64,
    /// Highest fencing token that the worker has seen.
    pub token: u64,
    /// Seconds until the cloud reclaims the machine, if it gave notice.
    pub notice_s: Option<f64>,
    /// Digest of the list of tasks.
    pub digest: u64,
    /// The list of tasks and the machine's description, unless the leader has them from an earlier report.
    pub full: Option<FullReport>,
}

/// The fields of a report that seldom change and are left out while the digest is the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FullReport {
    /// Address at which the worker accepts direct calls.
    pub addr: String,
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// All tasks on the machine.
    pub tasks: Vec<RelayedTask>,
}

/// A task in a relayed report. Unlike `TaskReport` it skips no field, since postcard does not allow that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedTask {
    /// Job and number of the task.
    pub task: String,
    /// Attempt number.
    pub attempt: u64,
    /// State of the task.
    pub state: TaskState,
    /// Why the task has ended.
    pub cause: Option<Cause>,
}

/// The leader's responses to relayed reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayResponse {
    /// The responses, in the order of the reports; `None` asks for the report in full.
    pub responses: Vec<Option<RelayedResponse>>,
}

/// The HTTP response that the relaying controller returns to the worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedResponse {
    /// Status code.
    pub status: u16,
    /// Response body.
    pub body: Vec<u8>,
    /// Value of the Retry-After header.
    pub retry_after_s: Option<u32>,
}

/// Encodes a peer message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("peer messages always encode")
}

/// Decodes a peer message; `None` if it is malformed.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
