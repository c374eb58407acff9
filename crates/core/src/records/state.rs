//! What a leader holds of its records: which tasks' states must be written, and the segments of the log.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use rushyoke_wire::job::{JobSpec, Kind, Priority};

use crate::jobs::{Name, TaskKey};

/// When a new place is written.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum WritePriority {
    /// A production service's: before all others.
    ProductionService,
    Normal,
}

impl WritePriority {
    pub fn of(spec: &JobSpec) -> WritePriority {
        match (spec.kind, spec.priority) {
            (Kind::Service, Priority::Production) => WritePriority::ProductionService,
            _ => WritePriority::Normal,
        }
    }
}

/// The segment that is being written.
#[derive(Default)]
pub(super) struct Segment {
    pub(super) number: u64,
    pub(super) version: u64,
    pub(super) tasks: BTreeSet<TaskKey>,
    /// No task that was due found room in it: the next one is begun.
    pub(super) full: bool,
}

/// A segment that is full, or was left by an earlier leader.
pub(super) struct Sealed {
    pub(super) number: u64,
    pub(super) version: u64,
    /// Tasks of which no later segment has a newer state.
    pub(super) tasks: BTreeSet<TaskKey>,
}

/// The records of a term.
#[derive(Default)]
pub(crate) struct Records {
    /// Tasks whose new place waits to be durable, those of production services first.
    pub(super) placed: BTreeSet<(bool, TaskKey)>,
    /// Tasks with other changes.
    pub(super) changed: BTreeSet<TaskKey>,
    pub(super) flying: BTreeSet<TaskKey>,
    pub(super) last: Segment,
    pub(super) sealed: VecDeque<Sealed>,
    pub(super) closing: VecDeque<Name>,
    /// The same jobs, to be found at once among thousands.
    pub(super) to_close: BTreeSet<Name>,
    pub(super) drops: VecDeque<String>,
    pub(super) in_flight: bool,
    pub(super) sent: Option<Instant>,
    pub(super) retry: Option<Instant>,
    /// A transaction may still be applied: the last segment is read, then written.
    pub(super) doubt: bool,
    pub(super) read_segment: bool,
    pub(super) read_jobs: BTreeSet<Name>,
    pub(super) reading: usize,
}

impl Records {
    pub fn mark_changed(&mut self, key: TaskKey, placed: Option<WritePriority>) {
        match placed {
            Some(turn) => {
                self.changed.remove(&key);
                self.placed.insert((turn == WritePriority::Normal, key));
            }
            None if self.waits(&key) => {}
            None => {
                self.changed.insert(key);
            }
        }
    }

    /// Whether a new place of the task waits to be durable.
    pub(super) fn waits(&self, key: &TaskKey) -> bool {
        [false, true].into_iter().any(|rest| self.placed.contains(&(rest, key.clone())))
    }

    pub(super) fn settled(&mut self, key: &TaskKey) {
        self.changed.remove(key);
        self.placed.remove(&(false, key.clone()));
        self.placed.remove(&(true, key.clone()));
    }

    /// Whether a task's state is durable as it is.
    pub fn is_durable(&self, key: &TaskKey) -> bool {
        !self.changed.contains(key) && !self.waits(key) && !self.flying.contains(key)
    }

    pub fn queue_close(&mut self, job: &Name) {
        if self.to_close.insert(job.clone()) {
            self.closing.push_back(job.clone());
        }
    }

    pub(super) fn next_to_close(&mut self) -> Option<Name> {
        let name = self.closing.pop_front()?;
        self.to_close.remove(&name);
        Some(name)
    }

    pub fn delete_key(&mut self, key: String) {
        self.drops.push_back(key);
    }

    /// Takes over a segment that an earlier leader left; they come in the order of writing.
    pub fn add_inherited_segment(&mut self, number: u64, version: u64, tasks: BTreeSet<TaskKey>) {
        self.last.number = self.last.number.max(number + 1);
        self.newer(tasks.iter());
        self.sealed.push_back(Sealed { number, version, tasks });
    }

    /// States of these tasks stand in a later segment now.
    pub(super) fn newer<'a>(&mut self, tasks: impl Iterator<Item = &'a TaskKey>) {
        for key in tasks {
            for sealed in &mut self.sealed {
                sealed.tasks.remove(key);
            }
        }
    }
}
