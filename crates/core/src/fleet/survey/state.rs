//! The leader's state of its surveys.

use std::collections::BTreeSet;
use std::time::Instant;

use rushyoke_failover::MachineCounts;

use crate::jobs::Name;

/// The latest survey, a sample of machines that was probed when some stopped responding, and its results.
#[derive(Default)]
pub(crate) struct Survey {
    /// When the sample was probed.
    pub(super) started_at: Option<Instant>,
    /// Machines in the sample.
    pub(super) sample: Vec<Name>,
    /// Number of machines in the fleet that are out of reach, as estimated from the sample.
    pub(super) unresponsive: MachineCounts,
    /// Zones in which most of the sampled machines did not respond.
    pub(super) unreachable_zones: BTreeSet<String>,
    /// Most sampled machines did not respond, so it is more likely that this node is out of reach.
    pub(in crate::fleet) most_unreachable: bool,
    /// When a partition was last more likely than the failure of all unresponsive machines.
    pub(super) partitioned_at: Option<Instant>,
}

impl Survey {
    /// Returns the zones in which most of the sampled machines did not respond.
    pub fn unreachable_zones(&self) -> &BTreeSet<String> {
        &self.unreachable_zones
    }
}
