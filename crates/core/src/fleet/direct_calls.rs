//! Direct calls to a machine: the one in flight, and failed calls.

use std::time::{Duration, Instant};

use super::{Attempt, Machine};

/// A direct call in flight.
#[derive(Clone, Debug)]
pub(super) struct DirectCall {
    /// Token of the call.
    pub(super) token: u64,
    /// Session of the worker when the call was sent.
    pub(super) session: u64,
    /// Session and sequence number of the newest message from the worker when the call was sent.
    pub(super) newest_message: (u64, u64),
    /// Attempts that it starts.
    pub(super) starts: Vec<Attempt>,
    /// Whether it stops any task.
    pub(super) has_stops: bool,
    /// Number of tasks of cancelled jobs that it stops.
    pub(super) cancelled_stops: u32,
}

/// Why a machine is to be called; calls are made in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallReason {
    /// The machine runs replicas of services.
    Service,
    /// The machine must stop tasks at once.
    Stop,
    /// Any other reason.
    Other,
}

impl Machine {
    /// Returns the reason for which the machine would be called now.
    pub(super) fn call_reason(&self) -> CallReason {
        if self.hosts_service() {
            CallReason::Service
        } else if self.has_immediate_stops {
            CallReason::Stop
        } else {
            CallReason::Other
        }
    }

    /// Number of consecutive direct calls that failed.
    pub fn failed_calls(&self) -> u32 {
        self.failed_calls
    }

    /// Notes a direct call without a response, and delays the next one in proportion to the number of failures.
    pub(super) fn note_failed_call(&mut self, now: Instant, retry_delay: Duration, max_backoff_multiplier: u32) {
        self.failed_probes += 1;
        self.failed_calls += 1;
        self.confirmed_list = None;
        self.next_call_at = Some(now + retry_delay * self.failed_calls.min(max_backoff_multiplier));
    }

    /// Notes that a direct call was sent that starts these attempts.
    pub(super) fn note_starts_sent(&mut self, starts: &[Attempt], token: u64) {
        let starts = starts.iter().map(|attempt| (attempt.clone(), token));
        self.direct_starts.extend(starts.clone());
        self.unanswered_starts.extend(starts);
    }

    /// Notes that a direct call was carried out or refused, or never will be: the starts in it do not arrive for the
    /// first time any more.
    pub(super) fn note_call_settled(&mut self, call: &DirectCall) {
        self.unanswered_starts.retain(|attempt, _| !call.starts.contains(attempt));
    }

    /// Whether a direct call that starts the attempt got no response, and so may still be carried out for the first time.
    pub(super) fn has_unanswered_start(&self, attempt: &Attempt) -> bool {
        self.unanswered_starts.contains_key(attempt)
    }

    /// Whether the direct call in flight starts this attempt.
    pub(super) fn start_in_flight(&self, attempt: &Attempt) -> bool {
        self.direct_call.as_ref().is_some_and(|call| call.starts.contains(attempt))
    }
}
