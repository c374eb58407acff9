//! When a worker's lease has surely ended.

use std::time::{Duration, Instant};

use super::Machine;

/// Allowance for clocks that drift apart, beside the published bound.
const DRIFT: f64 = 1.002;
const LAPSE_MARGIN: Duration = Duration::from_millis(250);

/// What bounds the leases of all workers in a term. Asked here alone when a lease has surely ended, which
/// proves the places on a machine empty.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseBounds {
    /// From then on no earlier leader answers any worker.
    pub(super) previous_leaders_end: Instant,
    /// When a report was last answered before the tables were filled: it may have been any worker's.
    pub(super) last_unrecorded_response: Option<Instant>,
    pub(super) lease: Duration,
}

impl LeaseBounds {
    /// When a worker's lease has surely ended if nothing more is answered.
    pub(super) fn expires_at(&self, machine: &Machine) -> Instant {
        let base = match (machine.fenced, machine.last_response) {
            // Once it has seen our token no answer of an earlier leader counts.
            (Some(fenced), answered) => answered.map_or(fenced, |a| a.max(fenced)),
            (None, answered) => answered.map_or(self.previous_leaders_end, |a| a.max(self.previous_leaders_end)),
        };
        self.last_unrecorded_response.map_or(base, |t| base.max(t)) + self.lease.mul_f64(DRIFT) + LAPSE_MARGIN
    }
}
