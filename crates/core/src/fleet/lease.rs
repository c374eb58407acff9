//! Determines when a worker's lease is certain to have expired.

use std::time::{Duration, Instant};

use super::Machine;
use crate::facts::CLOCK_DRIFT_FACTOR;

/// Safety margin after the computed end of a lease.
const EXPIRY_MARGIN: Duration = Duration::from_millis(250);

/// Bounds on the leases of all workers in a term. This is the only place that decides when a lease is certain to
/// have expired, which proves that no task runs on the machine any more.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseBounds {
    /// Time from which no earlier leader responds to any worker.
    pub(super) predecessors_inactive_at: Instant,
    /// When this leader last responded to a report before its records were loaded. The report may
    /// have come from any worker.
    pub(super) last_response_before_load: Option<Instant>,
    /// Duration of a worker's lease.
    pub(super) lease: Duration,
}

impl LeaseBounds {
    /// Returns when the worker's lease is certain to have expired if there are no further responses.
    pub(super) fn expires_at(&self, machine: &Machine) -> Instant {
        let last_renewal = match (machine.fenced_at, machine.last_response) {
            // A fenced worker ignores responses of earlier leaders.
            (Some(fenced_at), last_response) => last_response.map_or(fenced_at, |at| at.max(fenced_at)),
            (None, last_response) => {
                last_response.map_or(self.predecessors_inactive_at, |at| at.max(self.predecessors_inactive_at))
            }
        };
        self.last_response_before_load.map_or(last_renewal, |at| last_renewal.max(at))
            + self.lease.mul_f64(CLOCK_DRIFT_FACTOR)
            + EXPIRY_MARGIN
    }
}
