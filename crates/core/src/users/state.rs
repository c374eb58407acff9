//! What a node holds of users' requests and of the jobs that they ask about.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use rushyoke_wire::peer::Progress;

use super::cache::{Ancestors, CachedJob, JobCache};
use super::lookup_queue::LookupQueue;
use crate::io::RequestId;
use crate::jobs::RecordState;

/// A node's side of users' requests.
#[derive(Default)]
pub(crate) struct UserRequests {
    pub(super) cache: JobCache,
    pub(super) lookups: LookupQueue,
    /// Tasks done and running by job, from the leader, for display.
    pub(super) progress: HashMap<String, (u32, u32)>,
    /// The leader holds as many unfinished jobs as it can.
    pub job_limit_reached: bool,
    /// Requests not yet answered, and when to give up on them.
    pub(super) pending: BTreeMap<RequestId, Instant>,
}

impl UserRequests {
    /// A job that needs a cancelled one is cancelled, whatever its own record still says.
    pub(super) fn apply_ancestor_cancellation(&mut self, id: &str, cached: CachedJob) -> CachedJob {
        if cached.state != RecordState::Open || !matches!(self.cache.ancestors(&cached), Ancestors::Cancelled) {
            return cached;
        }
        self.cache.cancel_with_ancestor(id, cached.version);
        self.progress.remove(id);
        CachedJob::ended(RecordState::Cancelled, cached.tasks, cached.version)
    }

    /// What is known of a job for good.
    pub(super) fn final_state(&mut self, id: &str) -> Option<CachedJob> {
        let cached = self.cache.get(id).cloned()?;
        Some(self.apply_ancestor_cancellation(id, cached)).filter(|cached| cached.state != RecordState::Open)
    }

    pub fn update_progress(&mut self, progress: Vec<Progress>, most: usize) {
        if self.progress.len() > most {
            self.progress.clear();
        }
        for p in progress {
            if self.cache.get(&p.job).is_none_or(|cached| cached.state == RecordState::Open) {
                self.progress.insert(p.job, (p.done, p.running));
            }
        }
    }
}
