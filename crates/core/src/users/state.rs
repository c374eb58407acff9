//! What a node holds of users' requests and of the jobs that they ask about.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use rushyoke_wire::peer::Progress;

use super::known::{Ancestors, Known, KnownJobs};
use super::lookups::Lookups;
use crate::io::RequestId;
use crate::jobs::RecordState;

/// A node's side of users' requests.
#[derive(Default)]
pub(crate) struct Users {
    pub(super) known: KnownJobs,
    pub(super) lookups: Lookups,
    /// Tasks done and running by job, from the leader, for display.
    pub(super) progress: HashMap<String, (u32, u32)>,
    /// The leader holds as many unfinished jobs as it can.
    pub full: bool,
    /// Requests not yet answered, and when to give up on them.
    pub(super) open: BTreeMap<RequestId, Instant>,
}

impl Users {
    /// A job that needs a cancelled one is cancelled, whatever its own record still says.
    pub(super) fn conclude(&mut self, id: &str, known: Known) -> Known {
        if known.state != RecordState::Open || !matches!(self.known.ancestors(&known), Ancestors::Cancelled) {
            return known;
        }
        self.known.cancel_with_ancestor(id, known.version);
        self.progress.remove(id);
        Known::over(RecordState::Cancelled, known.tasks, known.version)
    }

    /// What is known of a job for good.
    pub(super) fn end_of(&mut self, id: &str) -> Option<Known> {
        let known = self.known.get(id).cloned()?;
        Some(self.conclude(id, known)).filter(|known| known.state != RecordState::Open)
    }

    pub fn take_progress(&mut self, progress: Vec<Progress>, most: usize) {
        if self.progress.len() > most {
            self.progress.clear();
        }
        for p in progress {
            if self.known.get(&p.job).is_none_or(|known| known.state == RecordState::Open) {
                self.progress.insert(p.job, (p.done, p.running));
            }
        }
    }
}
