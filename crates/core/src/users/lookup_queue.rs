//! State of a node's lookups: the queue, the round under way and the reads of stale ancestors.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::cache::CachedJob;
use crate::io::RequestId;

/// A job whose cached state is being validated, and the requests that wait for it.
#[derive(Debug)]
pub(super) struct Lookup {
    /// The job's id.
    pub(super) job: String,
    /// Its cached state when the comparison was sent. The cache may have evicted it since.
    pub(super) cached: Option<CachedJob>,
    /// Open jobs that it depends on, directly or indirectly, according to the cache.
    pub(super) ancestors: Vec<String>,
    /// The requests that wait for it.
    pub(super) requests: Vec<RequestId>,
}

/// Lookups that are validated together, in one or more transactions.
#[derive(Debug, Default)]
pub(super) struct LookupRound {
    /// The lookups.
    pub(super) lookups: Vec<Lookup>,
    /// Number of transactions that have no outcome yet.
    pub(super) outstanding: usize,
    /// Jobs whose cached versions were found current.
    pub(super) unchanged: BTreeSet<String>,
    /// Jobs whose cached versions were found out of date.
    pub(super) changed: BTreeSet<String>,
    /// Whether a transaction had no usable response.
    pub(super) call_failed: bool,
}

/// Reads of stale ancestors' records, and the lookups that wait for them.
#[derive(Debug, Default)]
pub(super) struct AncestorRefresh {
    /// Number of reads that have no outcome yet.
    pub(super) outstanding: usize,
    /// Jobs to look up again, with their requests.
    pub(super) lookups: Vec<(String, Vec<RequestId>)>,
    /// Whether a read failed.
    pub(super) failed: bool,
}

/// The lookups of a node: those queued, those of the round under way, and those that wait for refreshes.
#[derive(Default)]
pub(super) struct LookupQueue {
    /// Requests of the queued lookups, by job.
    pub(super) requests: BTreeMap<String, Vec<RequestId>>,
    /// The queued jobs, in the order of their first requests.
    pub(super) queue: VecDeque<String>,
    /// The round under way.
    pub(super) round: Option<LookupRound>,
    /// Refreshes under way, by number.
    pub(super) refreshes: BTreeMap<u64, AncestorRefresh>,
    /// Number of the last refresh.
    pub(super) last_refresh: u64,
}

impl LookupQueue {
    /// Queues the lookup of a job for these requests.
    pub(super) fn push(&mut self, job: String, requests: impl IntoIterator<Item = RequestId>) {
        let queued = self.requests.entry(job.clone()).or_default();
        if queued.is_empty() {
            self.queue.push_back(job);
        }
        queued.extend(requests);
    }
}
