//! The leader's bookkeeping of its records: the tasks whose states must be written, and the segments of the log.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use rushyoke_wire::job::{JobSpec, Kind, Priority};

use crate::jobs::{Name, TaskKey};

/// How urgently a new placement is written.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum WritePriority {
    /// A task of a production service, written before all others.
    ProductionService,
    /// Any other task.
    Normal,
}

impl WritePriority {
    /// Returns the priority for the tasks of a job.
    pub fn of(spec: &JobSpec) -> WritePriority {
        match (spec.kind, spec.priority) {
            (Kind::Service, Priority::Production) => WritePriority::ProductionService,
            _ => WritePriority::Normal,
        }
    }
}

/// The segment that is being extended with each write.
#[derive(Default)]
pub(super) struct OpenSegment {
    pub(super) number: u64,
    pub(super) version: u64,
    pub(super) tasks: BTreeSet<TaskKey>,
    /// Whether no task that was to be written fitted, so that a new segment must be begun.
    pub(super) full: bool,
}

/// A segment that is no longer extended: it is full, or was written by an earlier leader.
pub(super) struct SealedSegment {
    pub(super) number: u64,
    pub(super) version: u64,
    /// Tasks whose newest state is in this segment.
    pub(super) tasks: BTreeSet<TaskKey>,
}

/// What a leader has written, and what it must still write, during its term.
#[derive(Default)]
pub(crate) struct Records {
    /// Tasks whose new placement is not durable yet, those of production services (`false`) first.
    pub(super) new_placements: BTreeSet<(bool, TaskKey)>,
    /// Tasks with other unwritten changes.
    pub(super) changed_tasks: BTreeSet<TaskKey>,
    /// Tasks in the transaction that is in flight.
    pub(super) tasks_in_flight: BTreeSet<TaskKey>,
    pub(super) open_segment: OpenSegment,
    pub(super) sealed_segments: VecDeque<SealedSegment>,
    /// Jobs whose end must be written, in order.
    pub(super) close_queue: VecDeque<Name>,
    /// The same jobs as a set, for fast lookup among thousands of jobs.
    pub(super) queued_to_close: BTreeSet<Name>,
    /// Obsolete keys that are still in the store.
    pub(super) keys_to_delete: VecDeque<String>,
    pub(super) write_in_flight: bool,
    pub(super) last_write_at: Option<Instant>,
    pub(super) retry_at: Option<Instant>,
    /// Whether a transaction without a response may still be applied. The open segment is then read and
    /// written again, so that the late transaction fails.
    pub(super) outcome_unknown: bool,
    /// A write is needed for its revision, even if nothing has changed.
    pub revision_due: bool,
    /// Whether starts have been settled since the open segment, which contains their tasks, was written.
    pub(super) refresh_due: bool,
    /// Whether the open segment must be read because its version is uncertain.
    pub(super) reread_segment: bool,
    /// Jobs whose records must be read because their versions are uncertain.
    pub(super) jobs_to_reread: BTreeSet<Name>,
    pub(super) reads_in_flight: usize,
}

impl Records {
    /// Marks a task's state as unwritten; `placed` is set if the task has a new placement.
    pub fn mark_changed(&mut self, key: TaskKey, placed: Option<WritePriority>) {
        match placed {
            Some(priority) => {
                self.changed_tasks.remove(&key);
                self.new_placements.insert((priority == WritePriority::Normal, key));
            }
            None if self.placement_pending(&key) => {}
            None => {
                self.changed_tasks.insert(key);
            }
        }
    }

    /// Whether the task has a new placement that is not durable yet.
    pub(super) fn placement_pending(&self, key: &TaskKey) -> bool {
        [false, true].into_iter().any(|normal| self.new_placements.contains(&(normal, key.clone())))
    }

    /// Removes the task from the tasks to be written.
    pub(super) fn mark_written(&mut self, key: &TaskKey) {
        self.changed_tasks.remove(key);
        self.new_placements.remove(&(false, key.clone()));
        self.new_placements.remove(&(true, key.clone()));
    }

    /// Whether the task's current state is durable.
    pub fn is_durable(&self, key: &TaskKey) -> bool {
        !self.changed_tasks.contains(key) && !self.placement_pending(key) && !self.tasks_in_flight.contains(key)
    }

    /// Notes that the start of a placed task is settled. The open segment is written again if it contains the task; a record
    /// in an earlier segment stays as it is, so that the next leader waits longer than it would have to.
    pub fn note_start_settled(&mut self, key: &TaskKey) {
        self.refresh_due |= self.open_segment.tasks.contains(key);
    }

    /// Queues a job's end to be written.
    pub fn queue_close(&mut self, job: &Name) {
        if self.queued_to_close.insert(job.clone()) {
            self.close_queue.push_back(job.clone());
        }
    }

    /// Removes and returns the next job whose end must be written.
    pub(super) fn next_to_close(&mut self) -> Option<Name> {
        let name = self.close_queue.pop_front()?;
        self.queued_to_close.remove(&name);
        Some(name)
    }

    /// Queues an obsolete key for deletion.
    pub fn delete_key(&mut self, key: String) {
        self.keys_to_delete.push_back(key);
    }

    /// Adds a segment written by an earlier leader. Segments must be added in the order in which they were written.
    pub fn add_inherited_segment(&mut self, number: u64, version: u64, tasks: BTreeSet<TaskKey>) {
        self.open_segment.number = self.open_segment.number.max(number + 1);
        self.supersede(tasks.iter());
        self.sealed_segments.push_back(SealedSegment { number, version, tasks });
    }

    /// Removes tasks from the sealed segments because a later segment contains newer states.
    pub(super) fn supersede<'a>(&mut self, tasks: impl Iterator<Item = &'a TaskKey>) {
        for key in tasks {
            for sealed in &mut self.sealed_segments {
                sealed.tasks.remove(key);
            }
        }
    }
}
