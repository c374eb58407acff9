//! What a leader holds of jobs that await others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::jobs::Name;

/// Awaited jobs of a term.
#[derive(Default)]
pub(crate) struct DependencyState {
    /// The jobs that await each job.
    pub(super) dependents: BTreeMap<Name, BTreeSet<Name>>,
    /// Awaited jobs that are not unfinished, as far as is known: how they ended must be read.
    pub(super) unread: BTreeSet<Name>,
    pub(super) reading: BTreeSet<Name>,
    pub(super) retry: Option<Instant>,
}
