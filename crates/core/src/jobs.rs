//! The leader's table of unfinished jobs: which tasks are done, where the others are placed, and
//! which are waiting.

mod records;
mod restore;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use rushyoke_wire::job::{JobSpec, Priority};

pub use records::*;

/// The name of a job or a machine.
pub type Name = Arc<str>;

/// A job and the number of one of its tasks.
pub type TaskKey = (Name, u32);

/// Number of machines on which a job must have failed before the job itself is considered faulty.
pub const FAULTY_JOB_MACHINES: usize = 3;

/// Parses a task name such as `wk-000412/3` into the job's id and the task number.
pub fn parse_task(task: &str) -> Option<(&str, u32)> {
    let (id, index) = task.rsplit_once('/')?;
    Some((id, index.parse().ok()?))
}

/// Progress of a placed task, as known to this leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The placement is not durable yet; no order may name it.
    Planned,
    /// The placement is durable; its start may have been ordered, but the machine has not reported it.
    Ordered,
    /// Read from a record of an earlier leader; the task may or may not be on the machine.
    Inherited,
    /// The machine is fetching the image.
    Fetching,
    /// The task is running.
    Running,
    /// The task was ordered to stop and is saving a checkpoint.
    Saving,
}

impl Stage {
    /// Whether the machine has reported the task to this leader.
    pub fn is_reported(self) -> bool {
        matches!(self, Stage::Fetching | Stage::Running | Stage::Saving)
    }
}

/// A pending request to stop a placed task.
#[derive(Clone, Copy, Debug)]
pub struct StopRequest {
    /// Grace period in which the task may save a checkpoint, in seconds.
    pub grace_s: f64,
    /// When the stop was last included in a message to the worker.
    pub last_sent: Option<Instant>,
}

impl StopRequest {
    /// Returns a request that has not been sent yet.
    pub fn new(grace_s: f64) -> StopRequest {
        StopRequest { grace_s, last_sent: None }
    }

    /// Whether the task must stop without a grace period.
    pub fn is_immediate(&self) -> bool {
        self.grace_s <= 0.0
    }

    /// Whether the grace period is shorter than that of an earlier request.
    pub fn is_stricter_than(&self, earlier: &StopRequest) -> bool {
        self.grace_s < earlier.grace_s
    }
}

/// How far the start order of a placement has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartState {
    /// It was not sent.
    Unsent,
    /// A direct call with it has no response, or an earlier leader may have made such a call. It may be carried out for the
    /// first time at any later moment, whatever token and session the worker has shown: one that has restarted remembers
    /// neither.
    Unanswered {
        /// Token of the call, or 0 if an earlier leader may have made it.
        token: u64,
    },
    /// It was sent and does not arrive for the first time any more: the direct call has its outcome, or it went in a
    /// response to a report, which workers drop if it is late.
    Settled,
}

impl StartState {
    /// Whether this leader or an earlier one may have sent the start.
    pub fn may_be_sent(self) -> bool {
        self != StartState::Unsent
    }

    /// Whether a direct call with the start may still be carried out for the first time.
    pub fn may_arrive(self) -> bool {
        matches!(self, StartState::Unanswered { .. })
    }
}

/// The machine and attempt that a task is assigned to. A task has at most one placement.
#[derive(Clone, Debug)]
pub struct Placement {
    pub machine: Name,
    pub attempt: u64,
    pub stage: Stage,
    pub placed_at: Instant,
    /// When this leader first saw the task running.
    pub running_since: Option<Instant>,
    /// Set while the task must stop.
    pub stop: Option<StopRequest>,
    /// Whether its start was sent, and whether it may still arrive.
    pub start: StartState,
}

impl Placement {
    /// Returns the lowest attempt whose start may still be sent or arrive: of this placement, and of others of which `lowest`
    /// is the lowest.
    pub(crate) fn lowest_unanswered(&self, lowest: Option<u64>) -> Option<u64> {
        match self.start {
            StartState::Settled => lowest,
            StartState::Unsent | StartState::Unanswered { .. } => {
                Some(lowest.map_or(self.attempt, |lowest| lowest.min(self.attempt)))
            }
        }
    }
}

/// An unfinished job and the state of its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: Name,
    pub spec: JobSpec,
    /// Version of the keys `job/<id>` and `live/<id>`, which are always written together.
    pub version: u64,
    pub cancelled: bool,
    /// Whether the job is cancelled because an ancestor is; its own record does not show that yet.
    pub orphaned: bool,
    /// Dependencies that are not known to be durably done.
    pub pending_dependencies: BTreeSet<Name>,
    /// Submission time, in milliseconds since the Unix epoch.
    submitted_ms: u64,
    /// When the job could first run, in milliseconds since the Unix epoch: its submission, or the
    /// completion of its last dependency.
    pub eligible_ms: u64,
    /// The highest priority of the job and its dependents.
    pub effective_priority: Priority,
    /// The earliest deadline of the job and its dependents, in milliseconds since the Unix epoch.
    pub effective_deadline_ms: Option<u64>,
    /// Whether the write that ends the job is in flight.
    pub closing: bool,
    /// Number of completed tasks.
    pub done_count: u32,
    /// Bit map of the completed tasks.
    done_bits: Vec<u64>,
    /// Placements by task number.
    pub placements: BTreeMap<u32, Placement>,
    /// The first task that was never placed.
    next_task: u32,
    /// Tasks that wait for another attempt, with the earliest time at which it may start.
    requeued: BTreeMap<u32, Instant>,
    /// Tasks that were restarted or moved once by speculation or rebalancing.
    pub restarted: BTreeSet<u32>,
    /// Number of reruns because of a zone failure, by task number.
    pub zone_reruns: BTreeMap<u32, u32>,
    /// Versions of the page records in the store, by page number.
    pub page_versions: BTreeMap<u32, u64>,
    /// Machines on which a task of the job failed.
    pub failed_on: BTreeSet<Name>,
    /// Number of failed attempts since a task of the job last completed or ran for a long time.
    pub consecutive_failures: u32,
    /// Number of running tasks.
    pub running_tasks: u32,
    /// When a task of the job was last placed. If an earlier leader placed its tasks, when this leader
    /// loaded them.
    pub last_placed: Option<Instant>,
    /// Number of tasks that may still be placed ahead of other jobs because the job was starved.
    pub starvation_credit: u32,
    /// Whether the job was starved. Only production jobs may preempt its tasks then; otherwise it would
    /// be starved again.
    pub was_starved: bool,
    /// Expected run time of a task, in seconds: the user's estimate at first, then a moving average of
    /// observed runs.
    pub mean_run_s: f64,
}

/// Approximate memory of a job without its tasks, in bytes.
const JOB_BYTES: usize = 1500;
/// Approximate memory of a placed or requeued task, in bytes.
const PLACEMENT_BYTES: usize = 250;
/// Approximate memory of a dependency in the job's spec and in the index of dependents, in bytes.
const DEPENDENCY_BYTES: usize = 300;

impl Job {
    /// Returns the approximate memory that the job takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        JOB_BYTES
            + self.done_bits.len() * 8
            + self.spec.dependencies.len() * DEPENDENCY_BYTES
            + (self.placements.len() + self.requeued.len()) * PLACEMENT_BYTES
    }

    /// Returns a job of which no task has been placed.
    pub fn new(spec: JobSpec, submitted_ms: u64, version: u64, cancelled: bool) -> Job {
        let priority = spec.priority;
        let mut job = Job {
            id: Name::from(spec.id.as_str()),
            done_bits: vec![0; (spec.tasks as usize).div_ceil(64)],
            mean_run_s: spec.estimate_s,
            spec,
            version,
            cancelled,
            orphaned: false,
            pending_dependencies: BTreeSet::new(),
            submitted_ms,
            eligible_ms: submitted_ms,
            effective_priority: priority,
            effective_deadline_ms: None,
            closing: false,
            done_count: 0,
            placements: BTreeMap::new(),
            next_task: 0,
            requeued: BTreeMap::new(),
            restarted: BTreeSet::new(),
            zone_reruns: BTreeMap::new(),
            page_versions: BTreeMap::new(),
            failed_on: BTreeSet::new(),
            consecutive_failures: 0,
            running_tasks: 0,
            last_placed: None,
            starvation_credit: 0,
            was_starved: false,
        };
        job.effective_deadline_ms = job.own_deadline_ms();
        job
    }

    /// Returns the job's own deadline, which is relative to its submission.
    pub fn own_deadline_ms(&self) -> Option<u64> {
        self.spec.deadline_s.map(|deadline_s| self.submitted_ms.saturating_add((deadline_s * 1000.0) as u64))
    }

    /// Whether a task has completed.
    pub fn is_done(&self, task: u32) -> bool {
        self.done_bits[task as usize / 64] & (1 << (task % 64)) != 0
    }

    /// Marks a task as done. Returns `false` if it already was.
    pub fn mark_done(&mut self, task: u32) -> bool {
        let newly_done = !self.is_done(task);
        if newly_done {
            self.done_bits[task as usize / 64] |= 1 << (task % 64);
            self.done_count += 1;
        }
        newly_done
    }

    /// Whether every task is done.
    pub fn is_complete(&self) -> bool {
        self.done_count == self.spec.tasks
    }

    /// Returns the number of tasks that wait to be placed. It is 0 while the job is blocked.
    pub fn waiting_tasks(&self) -> u32 {
        if self.cancelled || self.is_blocked() {
            return 0;
        }
        self.spec.tasks - self.next_task + self.requeued.len() as u32
    }

    /// Whether a dependency is not done. Until then the job neither holds nor requests resources.
    pub fn is_blocked(&self) -> bool {
        !self.pending_dependencies.is_empty()
    }

    /// Returns the number of tasks that are not done.
    pub fn unfinished_tasks(&self) -> u32 {
        self.spec.tasks - self.done_count
    }

    /// Returns the next task that may be placed now: a requeued task first, then one never placed.
    pub fn next_ready_task(&self, now: Instant) -> Option<u32> {
        if self.cancelled || self.is_blocked() {
            return None;
        }
        let requeued = self.requeued.iter().find(|(_, not_before)| **not_before <= now).map(|(task, _)| *task);
        requeued.or((self.next_task < self.spec.tasks).then_some(self.next_task))
    }

    /// Whether a task that was placed before waits for another attempt.
    pub fn is_requeued(&self, task: u32) -> bool {
        self.requeued.contains_key(&task)
    }

    /// Removes a task, as returned by `next_ready_task`, from the waiting tasks.
    pub fn dequeue(&mut self, task: u32) {
        if self.requeued.remove(&task).is_none() && task == self.next_task {
            self.next_task += 1;
        }
    }

    /// Returns an unfinished task to the waiting tasks; it may be placed from `not_before` on.
    pub fn requeue(&mut self, task: u32, not_before: Instant) {
        if !self.is_done(task) && task < self.next_task {
            self.requeued.insert(task, not_before);
        }
    }

    /// Whether the job must not run on this machine because it failed there. When the other machines are
    /// full, a faulty machine is the one with free resources, and task after task would fail on it. A job
    /// that has failed on [`FAULTY_JOB_MACHINES`] machines is faulty itself and may run on any.
    pub fn avoids(&self, machine: &Name) -> bool {
        self.failed_on.len() < FAULTY_JOB_MACHINES && self.failed_on.contains(machine)
    }

    /// Updates the expected run time from a completed run.
    pub fn record_run(&mut self, run_s: f64) {
        self.consecutive_failures = 0;
        let weight = if self.done_count <= 1 { 0.5 } else { 0.2 };
        self.mean_run_s += (run_s - self.mean_run_s) * weight;
    }
}
