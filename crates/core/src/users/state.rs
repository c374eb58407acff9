//! State of a node's user requests and of the jobs that they concern.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use rushyoke_wire::peer::Progress;

use super::cache::{Ancestors, CachedJob, JobCache};
use super::lookup_queue::LookupQueue;
use crate::io::RequestId;
use crate::jobs::RecordState;

/// User requests of a node, and its cache of jobs.
#[derive(Default)]
pub(crate) struct UserRequests {
    /// Cached job records.
    pub(super) cache: JobCache,
    /// Lookups of job states, which are validated in the state service.
    pub(super) lookups: LookupQueue,
    /// Numbers of done and running tasks by job, as the leader last sent them, for display.
    pub(super) progress: HashMap<String, (u32, u32)>,
    /// Whether the leader has reached its limit of unfinished jobs, so that submissions are rejected.
    pub job_limit_reached: bool,
    /// Requests without a response, and when they time out.
    pub(super) pending: BTreeMap<RequestId, Instant>,
    /// Submissions that created a job and wait for its state.
    pub(super) created: BTreeSet<RequestId>,
}

impl UserRequests {
    /// Returns the job as cancelled if one of its ancestors is, whatever its own record still says.
    pub(super) fn apply_ancestor_cancellation(&mut self, id: &str, cached: CachedJob) -> CachedJob {
        if cached.state != RecordState::Open || !matches!(self.cache.ancestors(&cached), Ancestors::Cancelled) {
            return cached;
        }
        self.cache.cancel_with_ancestor(id, cached.version);
        self.progress.remove(id);
        CachedJob::ended(RecordState::Cancelled, cached.tasks, cached.version)
    }

    /// Returns a job's cached state if it is final.
    pub(super) fn final_state(&mut self, id: &str) -> Option<CachedJob> {
        let cached = self.cache.get(id).cloned()?;
        Some(self.apply_ancestor_cancellation(id, cached)).filter(|cached| cached.state != RecordState::Open)
    }

    /// Stores the progress of jobs for display. First clears all entries if there are more than `max_jobs`.
    pub fn update_progress(&mut self, progress: Vec<Progress>, max_jobs: usize) {
        if self.progress.len() > max_jobs {
            self.progress.clear();
        }
        for job_progress in progress {
            if self.cache.get(&job_progress.job).is_none_or(|cached| cached.state == RecordState::Open) {
                self.progress.insert(job_progress.job, (job_progress.done, job_progress.running));
            }
        }
    }
}
