//! What a node that follows holds of the reports that it hands on.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use rushyoke_wire::worker::Report;
use serde_json::value::RawValue;

use crate::io::{HttpResponse, RequestId};

/// What became of a report.
pub(crate) enum ReportOutcome {
    Response(HttpResponse),
    /// Its tasks changed and were not told.
    TasksNeeded,
    /// This node does not lead.
    NotLeader(Report),
}

/// A report without a list of tasks.
pub(crate) fn no_tasks() -> Box<RawValue> {
    RawValue::from_string("[]".into()).expect("an empty list")
}

/// A worker's report that waits to be handed on, or for the leader's answer.
pub(super) struct Held {
    pub(super) request_id: RequestId,
    pub(super) report: Report,
    pub(super) tasks: Box<RawValue>,
    pub(super) digest: u64,
    /// The leader asked for all of it.
    pub(super) full: bool,
}

/// What the leader was told of a worker's tasks.
pub(super) struct Told {
    pub(super) token: u64,
    pub(super) digest: u64,
    pub(super) addr: String,
    pub(super) at: Instant,
}

/// Reports on their way to the leader.
#[derive(Default)]
pub(crate) struct Relaying {
    pub(super) waiting: VecDeque<Held>,
    pub(super) under_way: Vec<Held>,
    pub(super) told: HashMap<String, Told>,
    /// This leader did not answer; until then workers look for it themselves.
    pub(super) paused: Option<(u64, Instant)>,
    pub(super) sent: Option<Instant>,
    pub(super) swept: Option<Instant>,
    /// Workers that may be sent elsewhere until the next tick.
    pub(super) moves: u32,
}
