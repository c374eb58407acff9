//! A node's cache of job records, for quick responses. The total number of jobs and dependencies in it is bounded.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::jobs::RecordState;

/// A job's record as it was last read or written.
#[derive(Clone, Debug)]
pub(super) struct CachedJob {
    /// Its state.
    pub state: RecordState,
    /// Number of its tasks.
    pub tasks: u32,
    /// The version of its record in the state service.
    pub version: u64,
    /// Jobs that it depends on, while it is open.
    pub dependencies: Arc<[String]>,
}

impl CachedJob {
    /// Returns the entry of a job that has ended.
    pub fn ended(state: RecordState, tasks: u32, version: u64) -> CachedJob {
        CachedJob { state, tasks, version, dependencies: Arc::default() }
    }

    /// Returns the size that counts towards the limit of the cache.
    fn weight(&self) -> usize {
        1 + self.dependencies.len()
    }
}

/// The state of a job's ancestors, according to the cache.
pub(super) enum Ancestors {
    /// At least one of them is cancelled, and with it the job.
    Cancelled,
    /// Ancestors that are not known to have ended. The list is incomplete if one of them is not cached, since its
    /// own dependencies are then unknown.
    Open(Vec<String>),
}

/// Cached job records; the oldest are evicted first.
#[derive(Default)]
pub(super) struct JobCache {
    jobs: HashMap<String, CachedJob>,
    /// Jobs in the order of their insertion.
    order: VecDeque<String>,
    /// Total weight of all entries.
    weight: usize,
}

impl JobCache {
    /// Returns a job's entry.
    pub fn get(&self, id: &str) -> Option<&CachedJob> {
        self.jobs.get(id)
    }

    /// Whether a job is cached.
    pub fn contains(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns the version to compare in the state service: 0 for a job that is not cached.
    pub fn version(&self, id: &str) -> u64 {
        self.jobs.get(id).map_or(0, |cached| cached.version)
    }

    /// Whether a job is known to be done.
    pub fn is_done(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|cached| cached.state == RecordState::Done)
    }

    /// Caches a record unless a newer one is cached, and evicts old ones beyond `max_weight`, which counts jobs
    /// and dependencies.
    pub fn insert(&mut self, id: &str, cached: CachedJob, max_weight: usize) {
        match self.jobs.get_mut(id) {
            // Responses of the state service may arrive out of order.
            Some(old) if old.version >= cached.version => return,
            Some(old) => {
                self.weight = self.weight - old.weight() + cached.weight();
                *old = cached;
            }
            None => {
                self.weight += cached.weight();
                self.jobs.insert(id.to_owned(), cached);
                self.order.push_back(id.to_owned());
            }
        }
        while self.weight > max_weight && self.order.len() > 1 {
            let Some(oldest) = self.order.pop_front() else { return };
            if let Some(evicted) = self.jobs.remove(&oldest) {
                self.weight -= evicted.weight();
            }
        }
    }

    /// Marks an open job as cancelled because one of its ancestors is.
    pub fn cancel_with_ancestor(&mut self, id: &str, version: u64) {
        if let Some(cached) = self.jobs.get_mut(id).filter(|cached| cached.version <= version) {
            self.weight -= cached.dependencies.len();
            *cached = CachedJob::ended(RecordState::Cancelled, cached.tasks, version);
        }
    }

    /// Returns the state of the jobs that a job depends on, directly or indirectly.
    pub fn ancestors(&self, cached: &CachedJob) -> Ancestors {
        let mut open = Vec::new();
        let mut visited: BTreeSet<&String> = BTreeSet::new();
        let mut unvisited: Vec<&String> = cached.dependencies.iter().collect();
        while let Some(id) = unvisited.pop() {
            if !visited.insert(id) {
                continue;
            }
            match self.jobs.get(id) {
                Some(ancestor) if ancestor.state == RecordState::Cancelled => return Ancestors::Cancelled,
                Some(ancestor) if ancestor.state == RecordState::Done => {}
                Some(ancestor) => {
                    open.push(id.clone());
                    unvisited.extend(ancestor.dependencies.iter());
                }
                None => open.push(id.clone()),
            }
        }
        Ancestors::Open(open)
    }
}
