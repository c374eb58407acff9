//! A node's state in the leader election.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::facts::Facts;

/// The key that the leader holds.
pub(crate) const LEADER_KEY: &str = "lead";

/// Value of the leader key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct LeaderRecord {
    pub(super) label: String,
    pub(super) incarnation: u64,
}

/// The current leader, and the version of its key.
#[derive(Clone, Debug)]
pub(super) struct Leader {
    pub(super) record: LeaderRecord,
    pub(super) version: u64,
}

/// A node's phase in the election.
#[derive(Debug)]
pub(super) enum Phase {
    /// The leader key must be read once this time is reached.
    ReadDue { at: Instant },
    /// A call to the state service is in flight, the only one besides the watch. Its outcome ends this phase.
    CallPending,
    /// Another node leads; a watch on its key is open.
    Following,
    /// This node leads.
    Leading {
        lease: u64,
        /// When the last confirmed renewal was sent.
        confirmed_at: Instant,
        /// When the newest renewal without an outcome was sent.
        renewal_sent_at: Option<Instant>,
        next_renewal_at: Instant,
    },
}

/// A node's side of the election.
pub(crate) struct Election {
    pub(super) own_record: LeaderRecord,
    pub(super) phase: Option<Phase>,
    pub(super) leader: Option<Leader>,
    pub(super) watch_open: bool,
    /// Highest token that this node has seen.
    highest_token: u64,
    /// Newest revision seen by a watch; a read may return an older state.
    pub(super) watched_revision: u64,
    /// After stepping down the node lets the others be candidates until then.
    pub(super) no_candidacy_before: Option<Instant>,
    /// When a worker last reported to this node.
    pub last_worker_report: Option<Instant>,
}

impl Election {
    /// Returns the state of a node that has not read the leader key yet.
    pub fn new(label: String, incarnation: u64) -> Election {
        Election {
            own_record: LeaderRecord { label, incarnation },
            phase: None,
            leader: None,
            watch_open: false,
            highest_token: 0,
            watched_revision: 0,
            no_candidacy_before: None,
            last_worker_report: None,
        }
    }

    /// Whether this node leads and its lease was confirmed recently enough to respond to reports.
    pub fn may_respond_to_reports(&self, now: Instant, facts: &Facts) -> bool {
        match &self.phase {
            Some(Phase::Leading { confirmed_at, .. }) => {
                now.duration_since(*confirmed_at) <= facts.self_fencing_timeout()
            }
            _ => false,
        }
    }

    /// Returns the label of the leader, if it is another node.
    pub fn other_leader(&self) -> Option<String> {
        let leader = self.leader.as_ref()?;
        (leader.record.label != self.own_record.label).then(|| leader.record.label.clone())
    }

    /// Returns the token of the leader, if it is another node.
    pub fn other_leader_token(&self) -> Option<u64> {
        let leader = self.leader.as_ref()?;
        (leader.record.label != self.own_record.label).then_some(leader.version)
    }

    /// Records that a leader with this token exists or has existed. This node never acts with a lower one from now on.
    pub fn observe_token(&mut self, token: u64) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Returns the lowest token with which this node may still act.
    pub fn lowest_usable_token(&self) -> u64 {
        self.highest_token
    }

    /// Lets the other nodes be candidates for a while.
    pub fn delay_candidacy(&mut self, now: Instant, pause: Duration) {
        self.no_candidacy_before = Some(now + pause);
    }

    /// Schedules a read of the leader key.
    pub(super) fn schedule_read(&mut self, at: Instant) {
        self.phase = Some(Phase::ReadDue { at });
    }
}
