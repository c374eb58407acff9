//! What a node remembers of jobs' records, for quick answers.
//!
//! Guards memory: the cache is bounded by jobs and by the dependencies that they name.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::jobs::RecordState;

/// A job's record as it was last seen.
#[derive(Clone, Debug)]
pub(super) struct CachedJob {
    pub state: RecordState,
    pub tasks: u32,
    pub version: u64,
    /// Jobs that it awaits, while it is open.
    pub dependencies: Arc<[String]>,
}

impl CachedJob {
    /// A job that is over.
    pub fn ended(state: RecordState, tasks: u32, version: u64) -> CachedJob {
        CachedJob { state, tasks, version, dependencies: Arc::default() }
    }

    fn weight(&self) -> usize {
        1 + self.dependencies.len()
    }
}

/// What a job's open ancestors look like to this node.
pub(super) enum Ancestors {
    /// One of them is cancelled, and so the job with them.
    Cancelled,
    /// Those that are not known to be over; the ancestors of unknown ones are not among them.
    Open(Vec<String>),
}

/// Known records, the oldest forgotten first.
#[derive(Default)]
pub(super) struct JobCache {
    jobs: HashMap<String, CachedJob>,
    order: VecDeque<String>,
    weight: usize,
}

impl JobCache {
    pub fn get(&self, id: &str) -> Option<&CachedJob> {
        self.jobs.get(id)
    }

    pub fn contains(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// The version to compare in the store: 0 for a job that is not known.
    pub fn version(&self, id: &str) -> u64 {
        self.jobs.get(id).map_or(0, |cached| cached.version)
    }

    pub fn is_done(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|cached| cached.state == RecordState::Done)
    }

    /// Remembers a record unless a newer one is known; `most` bounds jobs and dependencies together.
    pub fn insert(&mut self, id: &str, cached: CachedJob, most: usize) {
        match self.jobs.get_mut(id) {
            // Final is final, and older answers may arrive late.
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
        while self.weight > most && self.order.len() > 1 {
            let Some(oldest) = self.order.pop_front() else { return };
            if let Some(forgotten) = self.jobs.remove(&oldest) {
                self.weight -= forgotten.weight();
            }
        }
    }

    /// Marks an open job as cancelled with one that it needs.
    pub fn cancel_with_ancestor(&mut self, id: &str, version: u64) {
        if let Some(cached) = self.jobs.get_mut(id).filter(|cached| cached.version <= version) {
            self.weight -= cached.dependencies.len();
            *cached = CachedJob::ended(RecordState::Cancelled, cached.tasks, version);
        }
    }

    /// The open jobs that a job needs, directly or through others.
    pub fn ancestors(&self, cached: &CachedJob) -> Ancestors {
        let mut open = Vec::new();
        let mut seen: BTreeSet<&String> = BTreeSet::new();
        let mut left: Vec<&String> = cached.dependencies.iter().collect();
        while let Some(id) = left.pop() {
            if !seen.insert(id) {
                continue;
            }
            match self.jobs.get(id) {
                Some(ancestor) if ancestor.state == RecordState::Cancelled => return Ancestors::Cancelled,
                Some(ancestor) if ancestor.state == RecordState::Done => {}
                Some(ancestor) => {
                    open.push(id.clone());
                    left.extend(ancestor.dependencies.iter());
                }
                None => open.push(id.clone()),
            }
        }
        Ancestors::Open(open)
    }
}
