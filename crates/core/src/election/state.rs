//! What a node holds of leadership: who has the key, and how far it has come itself.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::facts::Facts;

/// The key that the leader holds.
pub(crate) const LEADER_KEY: &str = "lead";

/// What stands under the key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct HolderRecord {
    pub(super) label: String,
    pub(super) incarnation: u64,
}

/// Who holds the key, and under which version.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) record: HolderRecord,
    pub(super) version: u64,
}

/// How far a node has come.
#[derive(Debug)]
pub(super) enum Phase {
    /// The key must be read (again) from this time on.
    Unread { from: Instant },
    /// A call is under way.
    Busy,
    /// Another node holds the key; a watch is open.
    Following,
    Leading {
        lease: u64,
        confirmed: Instant,
        /// When the newest renewal that is not answered yet was sent.
        touching: Option<Instant>,
        next_touch: Instant,
    },
}

/// A node's side of the election.
pub(crate) struct Election {
    pub(super) me: HolderRecord,
    pub(super) phase: Option<Phase>,
    pub(super) holder: Option<Holder>,
    pub(super) watching: bool,
    /// The newest change that a watch has told: an answer to a read may be older.
    pub(super) seen: u64,
    /// After giving way the node lets the others compete first.
    pub(super) rests_until: Option<Instant>,
    /// The last report of a worker to this node.
    pub worker_seen: Option<Instant>,
}

impl Election {
    pub fn new(label: String, incarnation: u64) -> Election {
        Election {
            me: HolderRecord { label, incarnation },
            phase: None,
            holder: None,
            watching: false,
            seen: 0,
            rests_until: None,
            worker_seen: None,
        }
    }

    /// Whether a leader may still answer reports.
    pub fn entitled(&self, now: Instant, facts: &Facts) -> bool {
        match &self.phase {
            Some(Phase::Leading { confirmed, .. }) => now.duration_since(*confirmed) <= facts.self_fencing_timeout(),
            _ => false,
        }
    }

    /// The label of the node to which workers should go.
    pub fn other_holder(&self) -> Option<String> {
        let holder = self.holder.as_ref()?;
        (holder.record.label != self.me.label).then(|| holder.record.label.clone())
    }

    /// The token of the other node that leads.
    pub fn other_token(&self) -> Option<u64> {
        let holder = self.holder.as_ref()?;
        (holder.record.label != self.me.label).then_some(holder.version)
    }

    pub fn rest(&mut self, now: Instant, rest: Duration) {
        self.rests_until = Some(now + rest);
    }

    pub(super) fn read_at(&mut self, from: Instant) {
        self.phase = Some(Phase::Unread { from });
    }
}
