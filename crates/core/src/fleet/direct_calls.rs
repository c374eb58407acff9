//! Direct calls to a machine: the one under way, those that failed, and starts that may still run because of them.

use std::time::{Duration, Instant};

use super::{Attempt, Machine};

/// A direct call under way.
#[derive(Clone, Debug)]
pub(super) struct DirectCall {
    pub(super) session: u64,
    /// Session and number of the newest message when it was sent.
    pub(super) newest_message: (u64, u64),
    pub(super) starts: Vec<Attempt>,
    /// Whether it stops any task.
    pub(super) has_stops: bool,
    /// Tasks of cancelled jobs that it stops.
    pub(super) cancelled_stops: u32,
}

/// Machines that are to be called, by what for; the first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallReason {
    /// It has replicas of services.
    Service,
    /// It must stop tasks at once.
    Stop,
    /// All else.
    Other,
}

impl Machine {
    /// What it would be called for.
    pub(super) fn call_reason(&self) -> CallReason {
        if self.hosts_service() {
            CallReason::Service
        } else if self.has_immediate_stops {
            CallReason::Stop
        } else {
            CallReason::Other
        }
    }

    /// Direct calls in a row that failed.
    pub fn failed_calls(&self) -> u32 {
        self.failed_calls
    }

    /// A direct call was not answered; the next one waits, the longer the more have failed.
    pub(super) fn note_failed_call(&mut self, now: Instant, retry: Duration, most_backoff: u32) {
        self.failed_probes += 1;
        self.failed_calls += 1;
        self.next_call_at = Some(now + retry * self.failed_calls.min(most_backoff));
    }

    /// Whether a start is on its way in a direct order just now.
    pub(super) fn start_in_flight(&self, attempt: &Attempt) -> bool {
        self.direct_call.as_ref().is_some_and(|d| d.starts.contains(attempt))
    }

    /// Whether a start that went out directly may still run.
    pub(super) fn unresolved_starts(&self, attempt: &Attempt) -> bool {
        self.unresolved_starts.contains(attempt) || self.start_in_flight(attempt)
    }
}
