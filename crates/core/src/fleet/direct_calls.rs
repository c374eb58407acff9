//! Direct calls to a machine: the one in flight, and failed calls.

use std::time::{Duration, Instant};

use super::{Attempt, Machine};
use crate::jobs::{Name, Placement, StartState, TaskKey, parse_task};
use crate::term::Term;

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

    /// Whether the direct call in flight starts this attempt.
    pub(super) fn start_in_flight(&self, attempt: &Attempt) -> bool {
        self.direct_call.as_ref().is_some_and(|call| call.starts.contains(attempt))
    }
}

impl Term {
    /// Notes that a direct call to the machine was sent that starts these attempts.
    pub(super) fn note_starts_sent(&mut self, name: &Name, starts: &[Attempt], token: u64) {
        let machine = self.machines.get_mut(name).expect("called");
        machine.direct_starts.extend(starts.iter().map(|attempt| (attempt.clone(), token)));
        for attempt in starts {
            if let Some((_, placement)) = self.placement_of(attempt) {
                placement.start = StartState::Unanswered { token };
            }
        }
    }

    /// Notes that a direct call was carried out or refused, or certainly never will be: the starts in it do not arrive for
    /// the first time any more.
    pub(super) fn note_starts_settled(&mut self, call: &DirectCall) {
        for attempt in &call.starts {
            if let Some((key, placement)) = self.placement_of(attempt) {
                placement.start = StartState::Settled;
                self.records.note_start_settled(&key);
            }
        }
    }

    /// Returns the placement of an attempt and its task, unless it has ended.
    fn placement_of(&mut self, attempt: &Attempt) -> Option<(TaskKey, &mut Placement)> {
        let (job, task) = parse_task(&attempt.task)?;
        let (name, job) = self.jobs.get_key_value(job).map(|(name, _)| name.clone()).zip(self.jobs.get_mut(job))?;
        let placement = job.placements.get_mut(&task).filter(|placement| placement.attempt == attempt.number)?;
        Some(((name, task), placement))
    }
}
