//! What a leader holds of its surveys.

use std::collections::BTreeSet;
use std::time::Instant;

use rushyoke_failover::MachineCounts;

use crate::jobs::Name;

/// What a sample of the machines told when some fell silent.
#[derive(Default)]
pub(crate) struct Survey {
    pub(super) started_at: Option<Instant>,
    pub(super) sample: Vec<Name>,
    /// Machines that seem to be out of reach, and the ordinary ones among them.
    pub(super) unresponsive: MachineCounts,
    pub(super) unreachable_zones: BTreeSet<String>,
    /// Most are out of reach: this node is, rather than they.
    pub(in crate::fleet) most_unreachable: bool,
    /// When they were last so many that a cut of the network is more likely than their end.
    pub(super) partitioned_at: Option<Instant>,
}

impl Survey {
    /// Zones of which most of the sample did not answer.
    pub fn unreachable_zones(&self) -> &BTreeSet<String> {
        &self.unreachable_zones
    }
}
