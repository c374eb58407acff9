//! What the leader keeps in the state service: a log of the tasks' states, pages into which
//! the log's older part is gathered, and the end of jobs. One transaction is under way at
//! a time.
//!
//! The store counts changes, not bytes, and many jobs change a little all the time. So
//! what changed goes, for all jobs together, into one value: the last segment of the log,
//! written anew with more tasks in it until it is full. A task's state is what the record
//! says that was written last; every record is rendered from memory as it is then. A
//! segment is deleted once all that it names is over or stands in a later page.
//!
//! Guards: every transaction names the leader key's version (an old leader writes nothing),
//! and the job's where it places a task (nothing starts after a cancellation). One that
//! was not answered may be applied late and bring back an old state: it names the last
//! segment's version, so the next one writes that same segment, whatever else it does,
//! and only then a new segment is begun.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use rushyoke_wire::job::{JobSpec, Kind, Priority};
use rushyoke_wire::store::Txn;

use crate::election::LEADER_KEY;
use crate::fleet::TaskKey;
use crate::io::*;
use crate::jobs::*;
use crate::node::{Env, Purpose};
use crate::recover::Term;

const RETRY: Duration = Duration::from_millis(200);
/// Least time from one transaction to the next: what gathers meanwhile shares a change.
const GAP: Duration = Duration::from_millis(60);
/// The same where nobody waits for it: places that came free, tasks that are done.
const LAZY_GAP: Duration = Duration::from_millis(500);
/// Segments that one transaction gathers at the most.
const GATHERED: usize = 2;
/// The log takes no more than this part of the store's changes a second, or users would wait.
const LOG_SHARE: f64 = 0.4;
/// Segments kept before the oldest is gathered into pages, and more of them where they are small:
/// most jobs end before.
const SEGMENTS: usize = 12;
const SEGMENTS_BYTES: usize = 96 * 1024;
/// Bytes of a value and of a transaction that stay unused.
const SPARE: usize = 256;
const TXN_BYTES: usize = 40 * 1024;
/// What a task takes of a segment, about.
const TASK_BYTES: usize = 48;
/// The least that a task takes of a segment.
const LEAST_BYTES: usize = 16;

/// When a new place is written.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Turn {
    /// A production service's: before all others.
    First,
    Rest,
}

impl Turn {
    pub fn of(spec: &JobSpec) -> Turn {
        match (spec.kind, spec.priority) {
            (Kind::Service, Priority::Production) => Turn::First,
            _ => Turn::Rest,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Batch {
    /// Tasks, and the attempt of those that have a place.
    tasks: Vec<(TaskKey, Option<u64>)>,
    /// Whether the last segment is written, and whether with new places.
    segment: bool,
    placed: bool,
    pages: Vec<(Name, u32)>,
    closed: Vec<Name>,
    drops: Vec<String>,
}

#[derive(Clone, Debug)]
pub(crate) enum RecordCall {
    Write(Batch),
    ReadSegment,
    ReadJob(Name),
}

/// The segment that is being written.
#[derive(Default)]
struct Segment {
    number: u64,
    version: u64,
    tasks: BTreeSet<TaskKey>,
}

/// A segment that is full, or was left by an earlier leader.
struct Sealed {
    number: u64,
    version: u64,
    /// Tasks of which no later segment has a newer state.
    tasks: BTreeSet<TaskKey>,
}

#[derive(Default)]
pub(crate) struct Records {
    /// Tasks whose new place waits to be durable, those of production services first.
    placed: BTreeSet<(bool, TaskKey)>,
    /// Tasks with other changes.
    changed: BTreeSet<TaskKey>,
    flying: BTreeSet<TaskKey>,
    last: Segment,
    sealed: VecDeque<Sealed>,
    closing: VecDeque<Name>,
    /// The same jobs, to be found at once among thousands.
    to_close: BTreeSet<Name>,
    drops: VecDeque<String>,
    in_flight: bool,
    sent: Option<Instant>,
    retry: Option<Instant>,
    /// A transaction may still be applied: the last segment is read, then written.
    doubt: bool,
    read_segment: bool,
    read_jobs: BTreeSet<Name>,
    reading: usize,
}

impl Records {
    pub fn changed(&mut self, key: TaskKey, placed: Option<Turn>) {
        match placed {
            Some(turn) => {
                self.changed.remove(&key);
                self.placed.insert((turn == Turn::Rest, key));
            }
            None if self.waits(&key) => {}
            None => {
                self.changed.insert(key);
            }
        }
    }

    /// Whether a new place of the task waits to be durable.
    fn waits(&self, key: &TaskKey) -> bool {
        [false, true].into_iter().any(|rest| self.placed.contains(&(rest, key.clone())))
    }

    fn settled(&mut self, key: &TaskKey) {
        self.changed.remove(key);
        self.placed.remove(&(false, key.clone()));
        self.placed.remove(&(true, key.clone()));
    }

    /// Whether a task's state is durable as it is.
    pub fn durable(&self, key: &TaskKey) -> bool {
        !self.changed.contains(key) && !self.waits(key) && !self.flying.contains(key)
    }

    pub fn close(&mut self, job: &Name) {
        if self.to_close.insert(job.clone()) {
            self.closing.push_back(job.clone());
        }
    }

    fn next_to_close(&mut self) -> Option<Name> {
        let name = self.closing.pop_front()?;
        self.to_close.remove(&name);
        Some(name)
    }

    pub fn drop_key(&mut self, key: String) {
        self.drops.push_back(key);
    }

    /// Takes over a segment that an earlier leader left; they come in the order of writing.
    pub fn inherit(&mut self, number: u64, version: u64, tasks: BTreeSet<TaskKey>) {
        self.last.number = self.last.number.max(number + 1);
        self.newer(tasks.iter());
        self.sealed.push_back(Sealed { number, version, tasks });
    }

    /// States of these tasks stand in a later segment now.
    fn newer<'a>(&mut self, tasks: impl Iterator<Item = &'a TaskKey>) {
        for key in tasks {
            for sealed in &mut self.sealed {
                sealed.tasks.remove(key);
            }
        }
    }
}

fn segments_kept(value_bytes: usize) -> usize {
    SEGMENTS.max(SEGMENTS_BYTES / value_bytes.max(1))
}

/// Counts what a segment's value may take at the most.
#[derive(Default)]
struct Size<'a> {
    bytes: usize,
    jobs: BTreeSet<&'a Name>,
    machines: BTreeSet<&'a Name>,
}

impl<'a> Size<'a> {
    fn add(&mut self, key: &'a TaskKey, place: Option<&'a Place>, addr_len: impl Fn(&Name) -> usize) {
        if self.jobs.insert(&key.0) {
            self.bytes += 64 + key.0.len();
        }
        // A task's number twice, an attempt and the index of a machine.
        self.bytes += 16;
        if let Some(place) = place {
            self.bytes += 28;
            if self.machines.insert(&place.machine) {
                self.bytes += 8 + place.machine.len() + addr_len(&place.machine);
            }
        }
    }
}

impl Term {
    /// Sends the next transaction, if anything is to be written and none is under way.
    pub fn flush(&mut self, env: &mut Env) {
        let now = env.steady();
        if self.records.retry.is_some_and(|t| t > now) {
            return;
        }
        self.read_back(env);
        if self.records.in_flight || self.records.reading > 0 || !self.write_due(now, env.facts.write_rps) {
            return;
        }
        let ops = env.facts.txn_ops;
        let mut txn = Txn::default().when(LEADER_KEY, self.token);
        let mut batch = Batch::default();
        let mut conditioned: BTreeSet<Name> = BTreeSet::new();
        self.close_jobs(&mut txn, &mut batch, &mut conditioned, ops.saturating_sub(2).max(2));
        self.write_segment(env, &mut txn, &mut batch, &mut conditioned);
        self.gather(env, &mut txn, &mut batch);
        while txn.writes.len() < ops {
            let Some(key) = self.records.drops.pop_front() else {
                break;
            };
            txn = txn.delete(key.clone());
            batch.drops.push(key);
        }
        if txn.writes.is_empty() {
            return;
        }
        self.records.in_flight = true;
        self.records.sent = Some(now);
        let awaited = !batch.tasks.is_empty() || !batch.closed.is_empty();
        // Before the users' changes: a flood of submissions must not keep jobs from starting.
        let urgency = if awaited { Urgency::Record } else { Urgency::Low };
        env.store(Purpose::Record(RecordCall::Write(batch)), urgency, StoreOp::Txn(txn));
    }

    fn write_due(&self, now: Instant, write_rps: f64) -> bool {
        let records = &self.records;
        let since = |gap: Duration| records.sent.is_none_or(|t| now.duration_since(t) >= gap);
        let awaited = !records.placed.is_empty() || !records.closing.is_empty();
        let any = awaited || records.doubt || !records.changed.is_empty() || !records.drops.is_empty();
        let gap = GAP.max(Duration::from_secs_f64(1.0 / (write_rps * LOG_SHARE).max(0.1)));
        any && since(if awaited { gap } else { LAZY_GAP })
    }

    fn close_jobs(&mut self, txn: &mut Txn, batch: &mut Batch, conditioned: &mut BTreeSet<Name>, ops: usize) {
        for _ in 0..self.records.closing.len() {
            if txn.writes.len() + 2 > ops {
                break;
            }
            let Some(name) = self.records.next_to_close() else { break };
            let Some(job) = self.jobs.get_mut(&name).filter(|job| !job.closing) else {
                continue;
            };
            let over = if job.cancelled { job.places.is_empty() } else { job.complete() };
            if !over {
                continue;
            }
            job.closing = true;
            conditioned.insert(name.clone());
            let mut next = std::mem::take(txn).when(job_key(&name), job.version).delete(live_key(&name));
            // A cancellation by its user stands there already.
            let end = match (job.cancelled, job.orphaned) {
                (false, _) => Some(RecordState::Done),
                (true, orphaned) => orphaned.then_some(RecordState::Cancelled),
            };
            if let Some(state) = end {
                let record = JobRecord::over(state, job.spec.tasks);
                next = next.put(job_key(&name), serde_json::to_value(record).expect("records always encode"));
            }
            *txn = next;
            batch.closed.push(name);
        }
    }

    /// Puts what changed into the last segment, or a new one where it does not fit.
    fn write_segment(&mut self, env: &Env, txn: &mut Txn, batch: &mut Batch, conditioned: &mut BTreeSet<Name>) {
        let room = env.facts.value_bytes.saturating_sub(SPARE);
        let most_conditions = env.facts.txn_ops * 4 - 1;
        let open = |name: &Name| self.jobs.get(name).filter(|job| !job.closing);
        // No more than may fit: with tens of thousands of tasks to place, a look at all of them
        // for each transaction would take the processor.
        let waiting = self.records.placed.iter().map(|(_, key)| key).chain(&self.records.changed);
        let looked_at: Vec<TaskKey> = waiting.take(env.facts.value_bytes / LEAST_BYTES).cloned().collect();
        let (due, over): (Vec<_>, Vec<_>) = looked_at.into_iter().partition(|key| open(&key.0).is_some());
        let records = &mut self.records;
        // What is over needs no record.
        over.iter().for_each(|key| records.settled(key));
        if due.is_empty() && !records.doubt {
            return;
        }
        let jobs = &self.jobs;
        let machines = &self.machines;
        let addr_len = |name: &Name| machines.get(name).map_or(0, |m| m.addr.len());
        let place_of = |key: &TaskKey| jobs.get(&key.0).and_then(|job| job.places.get(&key.1));
        records.last.tasks.retain(|key| jobs.get(&key.0).is_some_and(|job| !job.closing));
        let mut size = Size::default();
        let kept: Vec<&TaskKey> = records.last.tasks.iter().filter(|key| records.durable(key)).collect();
        kept.iter().for_each(|key| size.add(key, place_of(key), addr_len));
        let mut whole = Size { bytes: size.bytes, jobs: size.jobs.clone(), machines: size.machines.clone() };
        due.iter().for_each(|key| whole.add(key, place_of(key), addr_len));
        let mut tasks: BTreeSet<TaskKey>;
        if whole.bytes > room && !records.doubt && records.last.version > 0 {
            let (number, version) = (records.last.number, records.last.version);
            let sealed = std::mem::take(&mut records.last.tasks);
            tasks = BTreeSet::new();
            size = Size::default();
            records.sealed.push_back(Sealed { number, version, tasks: sealed });
            records.last = Segment { number: number + 1, ..Segment::default() };
        } else {
            tasks = kept.into_iter().cloned().collect();
        }
        for key in &due {
            let place = place_of(key);
            let planned = place.is_some_and(|place| place.stage == Stage::Planned);
            let full = txn.conditions.len() >= most_conditions;
            if size.bytes + 200 + key.0.len() > room || (planned && full && !conditioned.contains(&key.0)) {
                continue;
            }
            size.add(key, place, addr_len);
            batch.placed |= planned;
            if planned && conditioned.insert(key.0.clone()) {
                *txn = std::mem::take(txn).when(job_key(&key.0), jobs[&key.0].version);
            }
            batch.tasks.push((key.clone(), place.map(|place| place.attempt)));
            tasks.insert(key.clone());
        }
        let value = serde_json::to_value(render(jobs, &tasks, |m| {
            machines.get(m).map(|machine| machine.addr.clone()).unwrap_or_default()
        }));
        let key = segment_key(records.last.number);
        let next = std::mem::take(txn).when(key.clone(), records.last.version);
        *txn = next.put(key, value.expect("records always encode"));
        records.last.tasks = tasks;
        batch.segment = true;
        for (key, _) in &batch.tasks {
            records.settled(key);
            records.flying.insert(key.clone());
        }
    }

    /// Whether a page of a sealed segment must be written before the segment can go.
    fn ungathered(&self, version: u64, name: &Name, page: u32) -> bool {
        let job = self.jobs.get(name);
        job.is_some_and(|job| job.pages.get(&page).is_none_or(|written| *written < version))
    }

    /// Writes pages of the oldest segment while there are many, and deletes it once all
    /// that it names stands elsewhere. Only beside a write of the last segment, which
    /// keeps a late copy of this transaction from being applied. What does not fit into a page
    /// is written into the log once more, from segments that are half empty or more.
    fn gather(&mut self, env: &Env, txn: &mut Txn, batch: &mut Batch) {
        while let Some(mut oldest) = self.records.sealed.pop_front() {
            let version = oldest.version;
            oldest.tasks.retain(|(name, task)| self.ungathered(version, name, task / PAGE));
            if !oldest.tasks.is_empty() {
                self.records.sealed.push_front(oldest);
                break;
            }
            self.records.drop_key(segment_key(oldest.number));
        }
        let records = &mut self.records;
        records.sealed.retain(|sealed| {
            if sealed.tasks.is_empty() {
                records.drops.push_back(segment_key(sealed.number));
            }
            !sealed.tasks.is_empty()
        });
        if !batch.segment {
            return;
        }
        let kept = segments_kept(env.facts.value_bytes);
        for _ in 0..self.records.sealed.len().saturating_sub(kept).min(GATHERED) {
            if !self.gather_oldest(env, txn, batch) {
                return;
            }
            // What is left of it cannot be gathered now; the next may be.
            self.records.sealed.rotate_left(1);
        }
    }

    /// Writes the pages of the oldest segment; true if some are too large.
    fn gather_oldest(&mut self, env: &Env, txn: &mut Txn, batch: &mut Batch) -> bool {
        let room = env.facts.value_bytes.saturating_sub(SPARE);
        let Some(oldest) = self.records.sealed.front() else { return false };
        // Else the same tasks would be written round and round; and only where nobody waits for
        // this transaction, since what is written again takes changes from those who do.
        let idle = batch.closed.is_empty() && !batch.placed;
        let sparse = idle && oldest.tasks.len() * TASK_BYTES < env.facts.value_bytes / 2;
        // The further behind, the more in one transaction.
        let behind = self.records.sealed.len().saturating_sub(segments_kept(env.facts.value_bytes));
        let most = (txn.writes.len() + 1 + behind).min(env.facts.txn_ops);
        let mut bytes = env.facts.value_bytes * txn.writes.len();
        let mut pages: Vec<(Name, u32)> = oldest.tasks.iter().map(|(name, task)| (name.clone(), task / PAGE)).collect();
        pages.dedup();
        pages.retain(|page| !batch.pages.contains(page));
        let mut unfit: BTreeSet<(Name, u32)> = BTreeSet::new();
        for (name, page) in pages {
            let Some(job) = self.jobs.get(&name).filter(|job| !job.closing) else {
                continue;
            };
            let record = job.page_record(page, |m| self.machines.get(m).map(|m| m.addr.clone()).unwrap_or_default());
            let value = serde_json::to_value(record).expect("records always encode");
            let size = value.to_string().len();
            if size > room {
                unfit.insert((name, page));
                continue;
            }
            if txn.writes.len() >= most || bytes + env.facts.value_bytes > TXN_BYTES {
                return false;
            }
            bytes += 200 + size;
            *txn = std::mem::take(txn).put(page_key(&name, page), value);
            batch.pages.push((name, page));
        }
        let again = oldest.tasks.iter().filter(|(name, task)| sparse && unfit.contains(&(name.clone(), task / PAGE)));
        for key in again.cloned().collect::<Vec<_>>() {
            self.records.changed(key, None);
        }
        !unfit.is_empty()
    }

    fn read_back(&mut self, env: &mut Env) {
        if std::mem::take(&mut self.records.read_segment) {
            self.records.reading += 1;
            let key = segment_key(self.records.last.number);
            env.store(Purpose::Record(RecordCall::ReadSegment), Urgency::Record, StoreOp::Get(key));
        }
        for name in std::mem::take(&mut self.records.read_jobs) {
            self.records.reading += 1;
            let key = job_key(&name);
            env.store(Purpose::Record(RecordCall::ReadJob(name)), Urgency::Record, StoreOp::Get(key));
        }
    }

    /// Returns true if the store showed that another node leads.
    pub fn recorded(&mut self, env: &mut Env, call: RecordCall, outcome: Outcome<StoreAnswer>) -> bool {
        match call {
            RecordCall::Write(batch) => {
                self.records.in_flight = false;
                self.records.flying.clear();
                match outcome {
                    Outcome::Answered(StoreAnswer::Committed(version)) => self.committed(env, batch, version),
                    Outcome::Answered(StoreAnswer::Refused(failed)) => {
                        if failed.iter().any(|key| key == LEADER_KEY) {
                            return true;
                        }
                        self.refused(batch, &failed);
                    }
                    Outcome::Answered(_) | Outcome::NotDone => {
                        self.records.retry = Some(env.steady() + RETRY);
                        self.requeue(batch);
                    }
                    Outcome::Unknown => {
                        self.records.doubt = true;
                        self.records.read_segment = true;
                        self.records.read_jobs.extend(batch.closed.iter().cloned());
                        self.requeue(batch);
                    }
                }
            }
            RecordCall::ReadSegment => {
                self.records.reading -= 1;
                match outcome {
                    // Memory holds what is true; only the version was in doubt.
                    Outcome::Answered(StoreAnswer::Item(item)) => {
                        self.records.last.version = item.map_or(0, |item| item.version);
                    }
                    _ => {
                        self.records.read_segment = true;
                        self.records.retry = Some(env.steady() + RETRY);
                    }
                }
            }
            RecordCall::ReadJob(name) => {
                self.records.reading -= 1;
                match outcome {
                    Outcome::Answered(StoreAnswer::Item(Some(item))) => {
                        if let Ok(record) = serde_json::from_value::<JobRecord>(item.value) {
                            self.job_read(env, &name, record.state, item.version);
                        }
                    }
                    Outcome::Answered(StoreAnswer::Item(None)) => {
                        tracing::error!(job = &*name, "the record of an accepted job is missing");
                    }
                    _ => {
                        self.records.read_jobs.insert(name);
                        self.records.retry = Some(env.steady() + RETRY);
                    }
                }
            }
        }
        false
    }

    fn requeue(&mut self, batch: Batch) {
        for ((name, task), _) in batch.tasks {
            let place = self.jobs.get(&name).and_then(|job| job.places.get(&task));
            let planned = place.is_some_and(|place| place.stage == Stage::Planned);
            let turn = self.jobs.get(&name).filter(|_| planned).map(|job| Turn::of(&job.spec));
            self.records.changed((name, task), turn);
        }
        for name in batch.closed {
            if let Some(job) = self.jobs.get_mut(&name) {
                job.closing = false;
                self.records.close(&name);
            }
        }
        self.records.drops.extend(batch.drops);
    }

    fn refused(&mut self, batch: Batch, failed: &[String]) {
        for key in failed {
            if parse_segment_key(key).is_some() {
                self.records.read_segment = true;
            } else if let Some(id) = key.strip_prefix("job/") {
                self.records.read_jobs.insert(Name::from(id));
            }
        }
        self.requeue(batch);
    }

    fn committed(&mut self, env: &mut Env, batch: Batch, version: u64) {
        if batch.segment {
            self.records.last.version = version;
            self.records.doubt = false;
            self.records.newer(batch.tasks.iter().map(|(key, _)| key));
        }
        for ((name, task), attempt) in batch.tasks {
            let place = self.jobs.get_mut(&name).and_then(|job| job.places.get_mut(&task));
            if let Some(place) = place.filter(|p| p.stage == Stage::Planned && Some(p.attempt) == attempt) {
                place.stage = Stage::Ordered;
                let machine = place.machine.clone();
                self.call_soon(&machine);
            }
        }
        for (name, page) in batch.pages {
            if let Some(job) = self.jobs.get_mut(&name) {
                job.pages.insert(page, version);
            } else {
                self.records.drop_key(page_key(&name, page));
            }
        }
        for name in batch.closed {
            let cancelled = self.jobs.get(&name).is_some_and(|job| job.cancelled);
            tracing::debug!(job = &*name, cancelled, "over");
            self.dependency_over(env, &name, if cancelled { RecordState::Cancelled } else { RecordState::Done });
            self.forget_job(&name);
            self.place_due = true;
        }
    }

    /// What the store says of a job whose version was not the one we know.
    fn job_read(&mut self, env: &mut Env, name: &Name, state: RecordState, version: u64) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.version = job.version.max(version);
        match state {
            RecordState::Done => {
                self.dependency_over(env, name, RecordState::Done);
                self.forget_job(name);
            }
            RecordState::Cancelled => {
                if !job.cancelled {
                    self.job_cancelled(env, name);
                } else {
                    self.after_change(name);
                }
            }
            RecordState::Open => self.after_change(name),
        }
    }
}

/// The states of some tasks, as memory has them now.
fn render(jobs: &BTreeMap<Name, Job>, tasks: &BTreeSet<TaskKey>, addr_of: impl Fn(&Name) -> String) -> SegmentRecord {
    let mut record = SegmentRecord::default();
    let mut indices: BTreeMap<Name, usize> = BTreeMap::new();
    for (name, task) in tasks {
        let Some(job) = jobs.get(name) else { continue };
        if record.jobs.last().is_none_or(|changed| *changed.job != **name) {
            record.jobs.push(ChangedTasks { job: name.to_string(), ..ChangedTasks::default() });
        }
        let changed = record.jobs.last_mut().expect("pushed");
        if let Some(place) = job.places.get(task) {
            let index = *indices.entry(place.machine.clone()).or_insert_with(|| {
                record.machines.push((place.machine.to_string(), addr_of(&place.machine)));
                record.machines.len() - 1
            });
            changed.places.push((*task, index, place.attempt));
        } else if job.is_done(*task) {
            changed.done.push(*task);
        } else {
            changed.open.push(*task);
        }
        if job.restarted.contains(task) {
            changed.again.push(*task);
        }
    }
    record
}
