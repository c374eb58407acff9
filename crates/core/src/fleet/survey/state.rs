//! What a leader holds of its surveys.

use std::collections::BTreeSet;
use std::time::Instant;

use rushyoke_failover::MachineCounts;

use crate::jobs::Name;

/// What a sample of the machines told when some fell silent.
#[derive(Default)]
pub(crate) struct Survey {
    pub(super) asked: Option<Instant>,
    pub(super) sample: Vec<Name>,
    /// Machines that seem to be out of reach, and the ordinary ones among them.
    pub(super) silent: MachineCounts,
    pub(super) cut_zones: BTreeSet<String>,
    /// Most are out of reach: this node is, rather than they.
    pub(in crate::fleet) most: bool,
    /// When they were last so many that a cut of the network is more likely than their end.
    pub(super) parted_at: Option<Instant>,
}

impl Survey {
    /// Zones of which most of the sample did not answer.
    pub fn sampled_cut(&self) -> &BTreeSet<String> {
        &self.cut_zones
    }
}
