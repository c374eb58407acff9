//! A follower's state of the reports that it relays.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use rushyoke_wire::worker::Report;
use serde_json::value::RawValue;

use crate::io::{HttpResponse, RequestId};

/// Outcome of a report.
pub(crate) enum ReportOutcome {
    /// The leader's response.
    Response(HttpResponse),
    /// The tasks have changed since they were last listed, so they must be listed again.
    TasksNeeded,
    /// This node isn't the leader.
    NotLeader(Report),
}

/// Returns the task list of a report without tasks.
pub(crate) fn empty_task_list() -> Box<RawValue> {
    RawValue::from_string("[]".into()).expect("an empty list")
}

/// A worker's report that waits to be relayed, or for the leader's response.
pub(super) struct PendingReport {
    pub(super) request_id: RequestId,
    pub(super) report: Report,
    pub(super) tasks: Box<RawValue>,
    /// Digest of `tasks`.
    pub(super) digest: u64,
    /// The leader requested the list of tasks.
    pub(super) tasks_requested: bool,
}

/// The tasks of a worker that the leader last received from this node.
pub(super) struct ForwardedTasks {
    pub(super) token: u64,
    pub(super) digest: u64,
    pub(super) addr: String,
    /// When the leader last responded to a report of the worker.
    pub(super) at: Instant,
}

/// Reports being relayed to the leader.
#[derive(Default)]
pub(crate) struct Relaying {
    pub(super) pending: VecDeque<PendingReport>,
    pub(super) in_flight: Vec<PendingReport>,
    pub(super) forwarded: HashMap<String, ForwardedTasks>,
    /// Token of a leader that did not respond, and until when nothing is relayed to it.
    pub(super) paused: Option<(u64, Instant)>,
    pub(super) last_sent_at: Option<Instant>,
    pub(super) last_sweep_at: Option<Instant>,
    /// Number of workers that may be redirected before the next tick.
    pub(super) redirect_budget: u32,
}
