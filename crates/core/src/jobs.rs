//! The leader's table of unfinished jobs: which tasks are done, where the others may be,
//! and which wait. Also the form in which this stands in the state service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use rushyoke_wire::job::{JobSpec, Priority};
use serde::{Deserialize, Serialize};

pub type Name = Arc<str>;

/// A job and the number of one of its tasks.
pub type TaskKey = (Name, u32);

/// Tasks in one record. With every task on a machine of its own a record takes up to 8 KiB; where
/// the store's values hold less, the tasks are written into the log again instead.
pub const TASKS_PER_PAGE: u32 = 80;

/// Machines on which a job must have failed before the fault is sought in the job.
pub const FAULTY_JOB_MACHINES: usize = 3;

/// What stands under `job/<id>`: all that a user can be told after the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub state: RecordState,
    pub tasks: u32,
    /// Jobs that must be done first, while it is open: it is cancelled if one of them is.
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

impl JobRecord {
    /// The record of a job that is over.
    pub fn terminal(state: RecordState, tasks: u32) -> JobRecord {
        JobRecord { state, tasks, dependencies: Vec::new() }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    Open,
    Done,
    Cancelled,
}

/// What stands under `live/<id>` until no task of the job can run any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LiveRecord {
    pub spec: JobSpec,
    /// Time of day of the submission, in milliseconds since 1970.
    #[serde(rename = "at_ms")]
    pub submitted_ms: u64,
    pub cancelled: bool,
}

/// What stands under `log/<number>`: a segment of the log, with the state of the tasks that
/// changed while it was the last one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentRecord {
    /// Machines named by `places`, with their addresses.
    pub machines: Vec<(String, String)>,
    pub jobs: Vec<ChangedTasks>,
}

/// Tasks of one job in a segment; each stands in one of the first three lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangedTasks {
    pub job: String,
    /// Task, index of its machine, attempt.
    #[serde(rename = "places", default, skip_serializing_if = "Vec::is_empty")]
    pub placements: Vec<(u32, usize, u64)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Tasks that have neither a place nor an end.
    #[serde(rename = "open", default, skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<u32>,
    /// Those among them that were restarted once by the eSplash step.
    #[serde(rename = "again", default, skip_serializing_if = "Vec::is_empty")]
    pub restarted: Vec<u32>,
    /// How often those among them began anew because of their zone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone_reruns: Vec<(u32, u32)>,
}

/// What stands under `task/<id>/<page>`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Done tasks, as a bit map in hexadecimal, the page's first task in the lowest bit.
    pub done: String,
    /// Tasks that were restarted once by the eSplash step, counted within the page.
    #[serde(rename = "again", default, skip_serializing_if = "Vec::is_empty")]
    pub restarted: Vec<u32>,
    /// How often tasks began anew because of their zone, counted within the page.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone_reruns: Vec<(u32, u32)>,
    /// Machines named by `places`, with their addresses.
    pub machines: Vec<(String, String)>,
    /// Task within the page, index of its machine, attempt.
    #[serde(rename = "places")]
    pub placements: Vec<(u32, usize, u64)>,
}

pub fn job_key(id: &str) -> String {
    format!("job/{id}")
}

pub fn live_key(id: &str) -> String {
    format!("live/{id}")
}

pub fn page_key(id: &str, page: u32) -> String {
    format!("task/{id}/{page}")
}

pub fn segment_key(number: u64) -> String {
    format!("log/{number:012}")
}

/// Splits `log/<number>`.
pub fn parse_segment_key(key: &str) -> Option<u64> {
    key.strip_prefix("log/")?.parse().ok()
}

/// Splits `task/<id>/<page>`.
pub fn parse_page_key(key: &str) -> Option<(&str, u32)> {
    let (id, page) = key.strip_prefix("task/")?.rsplit_once('/')?;
    Some((id, page.parse().ok()?))
}

/// Splits `wk-000412/3`.
pub fn parse_task(task: &str) -> Option<(&str, u32)> {
    let (id, index) = task.rsplit_once('/')?;
    Some((id, index.parse().ok()?))
}

/// How far a placed task is known to have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its place is not yet durable; no order may name it.
    Planned,
    /// Durable; ordered, but not yet seen on the machine.
    Ordered,
    /// Read from a record of an earlier leader; it may or may not be there.
    Inherited,
    Fetching,
    Running,
    Saving,
}

impl Stage {
    /// Whether the task was seen on its machine by this leader.
    pub fn is_reported(self) -> bool {
        matches!(self, Stage::Fetching | Stage::Running | Stage::Saving)
    }
}

/// That a task must leave its place.
#[derive(Clone, Copy, Debug)]
pub struct StopRequest {
    /// Seconds that the task gets to save.
    pub grace_s: f64,
    /// When it was last put into a message.
    pub last_sent: Option<Instant>,
}

impl StopRequest {
    /// A request that was not sent yet.
    pub fn new(grace_s: f64) -> StopRequest {
        StopRequest { grace_s, last_sent: None }
    }

    /// Whether the task must end at once.
    pub fn is_immediate(&self) -> bool {
        self.grace_s <= 0.0
    }

    /// Whether it leaves the task less time than an earlier one.
    pub fn is_stricter_than(&self, earlier: &StopRequest) -> bool {
        self.grace_s < earlier.grace_s
    }
}

/// The one place where a task may be.
#[derive(Clone, Debug)]
pub struct Placement {
    pub machine: Name,
    pub attempt: u64,
    pub stage: Stage,
    pub placed_at: Instant,
    pub running_since: Option<Instant>,
    /// Set when the task must leave.
    pub stop: Option<StopRequest>,
    /// Whether any start was ever sent by this leader.
    pub start_sent: bool,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub id: Name,
    pub spec: JobSpec,
    pub version: u64,
    pub cancelled: bool,
    /// Cancelled because a job that it needs is: that is not yet in its own record.
    pub orphaned: bool,
    /// Jobs that it awaits and that are not known to be durably done.
    pub pending_dependencies: BTreeSet<Name>,
    /// When it was submitted.
    submitted_ms: u64,
    /// When it was submitted, as far as the clocks tell, or when the last job that it awaits was done.
    pub eligible_ms: u64,
    /// The highest priority, and the most urgent deadline, of it and of those that need it.
    pub effective_priority: Priority,
    pub effective_deadline_ms: Option<u64>,
    /// The change of `job/<id>` to done is durable or under way.
    pub closing: bool,
    pub done_count: u32,
    done_bits: Vec<u64>,
    pub placements: BTreeMap<u32, Placement>,
    /// First task that never had a place.
    next_task: u32,
    /// Tasks that wait for another attempt, and from when on.
    requeued: BTreeMap<u32, Instant>,
    pub restarted: BTreeSet<u32>,
    /// How often tasks began anew because of their zone.
    pub zone_reruns: BTreeMap<u32, u32>,
    /// Pages that stand in the store, with their versions.
    pub page_versions: BTreeMap<u32, u64>,
    /// Machines on which a task of this job failed.
    pub failed_on: BTreeSet<Name>,
    /// Tasks that failed since one last completed or ran for long.
    pub consecutive_failures: u32,
    pub running_tasks: u32,
    /// When a task of it was last placed, or this leader came to know it.
    pub last_placed: Option<Instant>,
    /// Tasks that may still be placed out of turn, since the job starved.
    pub starvation_credit: u32,
    /// It starved: only services may stop its tasks, or it would starve again.
    pub was_starved: bool,
    /// Expected run time of a task: the owner's estimate, then what was seen.
    pub mean_run_s: f64,
}

/// What a job and each of its tasks that has a place, or waits for another, take of memory, about.
const JOB_BYTES: usize = 1500;
const PLACE_BYTES: usize = 250;
/// What a job that it awaits takes, in its description and in the index.
const AWAIT_BYTES: usize = 300;

impl Job {
    /// Memory that it takes, about.
    pub fn memory_bytes(&self) -> usize {
        JOB_BYTES
            + self.done_bits.len() * 8
            + self.spec.dependencies.len() * AWAIT_BYTES
            + (self.placements.len() + self.requeued.len()) * PLACE_BYTES
    }

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

    /// When the job itself is due; deadlines count from the submission.
    pub fn own_deadline_ms(&self) -> Option<u64> {
        self.spec.deadline_s.map(|due_s| self.submitted_ms.saturating_add((due_s * 1000.0) as u64))
    }

    pub fn is_done(&self, task: u32) -> bool {
        self.done_bits[task as usize / 64] & (1 << (task % 64)) != 0
    }

    /// Marks a task done; false if it was already.
    pub fn mark_done(&mut self, task: u32) -> bool {
        let fresh = !self.is_done(task);
        if fresh {
            self.done_bits[task as usize / 64] |= 1 << (task % 64);
            self.done_count += 1;
        }
        fresh
    }

    pub fn is_complete(&self) -> bool {
        self.done_count == self.spec.tasks
    }

    /// Tasks that have neither a place nor an end.
    pub fn waiting_tasks(&self) -> u32 {
        if self.cancelled || self.is_blocked() {
            return 0;
        }
        self.spec.tasks - self.next_task + self.requeued.len() as u32
    }

    /// Whether jobs that it awaits are not done: until then it holds and wants nothing.
    pub fn is_blocked(&self) -> bool {
        !self.pending_dependencies.is_empty()
    }

    /// Tasks not yet done.
    pub fn unfinished_tasks(&self) -> u32 {
        self.spec.tasks - self.done_count
    }

    /// The next task that may start now.
    pub fn next_ready_task(&self, now: Instant) -> Option<u32> {
        if self.cancelled || self.is_blocked() {
            return None;
        }
        let again = self.requeued.iter().find(|(_, from)| **from <= now).map(|(task, _)| *task);
        again.or((self.next_task < self.spec.tasks).then_some(self.next_task))
    }

    /// Whether a task that had a place waits for another attempt.
    pub fn is_requeued(&self, task: u32) -> bool {
        self.requeued.contains_key(&task)
    }

    /// Takes a task, as given by `peek`, out of the waiting ones.
    pub fn dequeue(&mut self, task: u32) {
        if self.requeued.remove(&task).is_none() && task == self.next_task {
            self.next_task += 1;
        }
    }

    /// Puts a task back among the waiting ones.
    pub fn requeue(&mut self, task: u32, from: Instant) {
        if !self.is_done(task) && task < self.next_task {
            self.requeued.insert(task, from);
        }
    }

    /// The record of one page as memory has it.
    pub fn page_record(&self, page: u32, addr_of: impl Fn(&Name) -> String) -> PageRecord {
        let first = page * TASKS_PER_PAGE;
        let end = (first + TASKS_PER_PAGE).min(self.spec.tasks);
        let mut record = PageRecord::default();
        let mut bits = vec![0u8; TASKS_PER_PAGE as usize / 8];
        for task in first..end {
            if self.is_done(task) {
                bits[(task - first) as usize / 8] |= 1 << ((task - first) % 8);
            }
        }
        record.done = bits.iter().map(|b| format!("{b:02x}")).collect();
        record.restarted = self.restarted.range(first..end).map(|t| t - first).collect();
        record.zone_reruns = self.zone_reruns.range(first..end).map(|(t, count)| (t - first, *count)).collect();
        for (task, place) in self.placements.range(first..end) {
            let known = record.machines.iter().position(|(name, _)| **name == *place.machine);
            let index = known.unwrap_or_else(|| {
                record.machines.push((place.machine.to_string(), addr_of(&place.machine)));
                record.machines.len() - 1
            });
            record.placements.push((task - first, index, place.attempt));
        }
        record
    }

    /// Takes over a page that an earlier leader wrote.
    pub fn restore_page(&mut self, page: u32, version: u64, record: &PageRecord, now: Instant) {
        let first = page * TASKS_PER_PAGE;
        self.page_versions.insert(page, version);
        for (i, pair) in record.done.as_bytes().chunks(2).enumerate() {
            let byte = std::str::from_utf8(pair).ok().and_then(|t| u8::from_str_radix(t, 16).ok()).unwrap_or(0);
            for bit in (0..8).filter(|bit| byte & (1 << bit) != 0) {
                let task = first + i as u32 * 8 + bit;
                if task < self.spec.tasks {
                    self.mark_done(task);
                }
            }
        }
        self.restarted.extend(record.restarted.iter().map(|t| first + t));
        self.zone_reruns.extend(record.zone_reruns.iter().map(|(t, count)| (first + t, *count)));
        for (task, index, attempt) in &record.placements {
            if let Some((machine, _)) = record.machines.get(*index) {
                self.restore_placement(first + task, machine, *attempt, now);
            }
        }
    }

    /// Takes over tasks of a segment that was written later than what is known. A page
    /// written since has newer states of its tasks.
    pub fn restore_changes(
        &mut self,
        version: u64,
        changed: &ChangedTasks,
        machines: &[(String, String)],
        now: Instant,
    ) {
        let pages = self.page_versions.clone();
        let tasks = self.spec.tasks;
        let newer = |task: u32| task < tasks && pages.get(&(task / TASKS_PER_PAGE)).is_none_or(|page| *page < version);
        for task in changed.done.iter().copied().filter(|t| newer(*t)) {
            self.placements.remove(&task);
            self.mark_done(task);
        }
        for task in changed.waiting.iter().filter(|t| newer(**t)) {
            self.placements.remove(task);
        }
        for (task, index, attempt) in changed.placements.iter().filter(|(t, ..)| newer(*t)) {
            if let Some((machine, _)) = machines.get(*index) {
                self.restore_placement(*task, machine, *attempt, now);
            }
        }
        self.restarted.extend(changed.restarted.iter().copied().filter(|t| newer(*t)));
        self.zone_reruns.extend(changed.zone_reruns.iter().copied().filter(|(t, _)| newer(*t)));
    }

    fn restore_placement(&mut self, task: u32, machine: &str, attempt: u64, now: Instant) {
        if task >= self.spec.tasks || self.is_done(task) {
            return;
        }
        let place = Placement {
            machine: Name::from(machine),
            attempt,
            stage: Stage::Inherited,
            placed_at: now,
            running_since: None,
            stop: None,
            start_sent: true,
        };
        self.placements.insert(task, place);
    }

    /// Works out which tasks wait once all records have been adopted.
    pub fn rebuild_queue(&mut self, now: Instant) {
        let last_placed = self.placements.keys().next_back().map_or(0, |t| t + 1);
        let last_done = (0..self.spec.tasks).rev().find(|t| self.is_done(*t)).map_or(0, |t| t + 1);
        self.next_task = last_placed.max(last_done);
        for task in 0..self.next_task {
            if !self.is_done(task) && !self.placements.contains_key(&task) {
                self.requeued.insert(task, now);
            }
        }
    }

    /// Whether the job keeps off a machine where it failed. When the others are full a
    /// faulty machine is the one with room, and would fail task after task. A job that
    /// fails on several machines is at fault itself, and may try any.
    pub fn avoids(&self, machine: &Name) -> bool {
        self.failed_on.len() < FAULTY_JOB_MACHINES && self.failed_on.contains(machine)
    }

    /// Learns from a finished run.
    pub fn record_run(&mut self, run_s: f64) {
        self.consecutive_failures = 0;
        let weight = if self.done_count <= 1 { 0.5 } else { 0.2 };
        self.mean_run_s += (run_s - self.mean_run_s) * weight;
    }
}
