//! What a node holds of lookups: those that wait, the round under way, and records that are read again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::cache::CachedJob;
use crate::io::RequestId;

/// A job whose cached state is compared, and the requests that wait for it. The state is kept here,
/// since the cache may lose it meanwhile.
#[derive(Debug)]
pub(super) struct Lookup {
    pub(super) job: String,
    pub(super) cached: Option<CachedJob>,
    /// Open jobs that it needs, directly or through others.
    pub(super) ancestors: Vec<String>,
    pub(super) requests: Vec<RequestId>,
}

/// Lookups whose keys are compared together, in as many transactions as they take.
#[derive(Debug, Default)]
pub(super) struct LookupRound {
    pub(super) lookups: Vec<Lookup>,
    /// Transactions that have no outcome yet.
    pub(super) outstanding: usize,
    /// Jobs whose versions were found as they were sent.
    pub(super) unchanged: BTreeSet<String>,
    /// Jobs whose versions were not.
    pub(super) changed: BTreeSet<String>,
    /// A transaction was not answered.
    pub(super) unanswered: bool,
}

/// Records of ancestors that are read again, and the lookups that wait for them.
#[derive(Debug, Default)]
pub(super) struct AncestorRefresh {
    pub(super) outstanding: usize,
    pub(super) lookups: Vec<(String, Vec<RequestId>)>,
    pub(super) failed: bool,
}

/// Lookups of a node.
#[derive(Default)]
pub(super) struct LookupQueue {
    /// Requests by job, for the next round.
    pub(super) requests: BTreeMap<String, Vec<RequestId>>,
    /// The same jobs in the order in which they came.
    pub(super) queue: VecDeque<String>,
    pub(super) round: Option<LookupRound>,
    pub(super) refreshes: BTreeMap<u64, AncestorRefresh>,
    pub(super) last_refresh: u64,
}

impl LookupQueue {
    pub(super) fn push(&mut self, job: String, requests: impl IntoIterator<Item = RequestId>) {
        let waiting = self.requests.entry(job.clone()).or_default();
        if waiting.is_empty() {
            self.queue.push_back(job);
        }
        waiting.extend(requests);
    }
}
