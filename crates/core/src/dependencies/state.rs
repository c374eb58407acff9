//! A leader's tables of the dependencies between jobs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::jobs::Name;

/// Dependencies of the unfinished jobs of a term.
#[derive(Default)]
pub(crate) struct DependencyState {
    /// The dependents of each dependency.
    pub(super) dependents: BTreeMap<Name, BTreeSet<Name>>,
    /// Dependencies that are not among the unfinished jobs: their final records must be read.
    pub(super) unread: BTreeSet<Name>,
    /// Dependencies whose records are being read.
    pub(super) reading: BTreeSet<Name>,
    /// Earliest time of the next reads after one that found no final record.
    pub(super) retry_at: Option<Instant>,
}
