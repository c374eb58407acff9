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

mod log;
pub(crate) mod state;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rushyoke_wire::store::Txn;

use crate::calls::{Batch, Purpose, RecordCall};
use crate::election::state::LEADER_KEY;
use crate::env::Env;
use crate::io::*;
use crate::jobs::*;
use crate::term::Term;

use state::WritePriority;

const RETRY: Duration = Duration::from_millis(200);
/// Least time from one transaction to the next: what gathers meanwhile shares a change.
const GAP: Duration = Duration::from_millis(60);
/// The same where nobody waits for it: places that came free, tasks that are done.
const LAZY_GAP: Duration = Duration::from_millis(500);
/// The same where only moves have ended: their record is no more than stale until then.
const MOVES_GAP: Duration = Duration::from_secs(5);
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

impl Term {
    /// Sends the next transaction, if anything is to be written and none is under way.
    pub fn write_records(&mut self, env: &mut Env) {
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
        self.write_moves(env, &mut txn, &mut batch);
        self.write_zone_record(env, &mut txn, &mut batch);
        self.gather(env, &mut txn, &mut batch);
        while txn.writes.len() < ops {
            let Some(key) = self.records.drops.pop_front() else {
                break;
            };
            txn = txn.delete(key.clone());
            batch.deleted_keys.push(key);
        }
        if txn.writes.is_empty() {
            return;
        }
        self.records.in_flight = true;
        self.records.sent = Some(now);
        let awaited = !batch.tasks.is_empty() || !batch.closed_jobs.is_empty();
        // Before the users' changes: a flood of submissions must not keep jobs from starting.
        let urgency = if awaited { Urgency::Record } else { Urgency::Low };
        env.call_store(Purpose::Record(RecordCall::Write(batch)), urgency, StoreOp::Txn(txn));
    }

    fn write_due(&self, now: Instant, write_rps: f64) -> bool {
        let records = &self.records;
        let since = |gap: Duration| records.sent.is_none_or(|t| now.duration_since(t) >= gap);
        let awaited = !records.placed.is_empty() || !records.closing.is_empty();
        let moves = since(MOVES_GAP) && !self.unwritten_move_parts().is_empty();
        let any = awaited
            || moves
            || self.zone_record_is_unwritten()
            || records.doubt
            || !records.changed.is_empty()
            || !records.drops.is_empty();
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
            let over = if job.cancelled { job.placements.is_empty() } else { job.is_complete() };
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
                let record = JobRecord::terminal(state, job.spec.tasks);
                next = next.put(job_key(&name), serde_json::to_value(record).expect("records always encode"));
            }
            *txn = next;
            batch.closed_jobs.push(name);
        }
    }

    fn read_back(&mut self, env: &mut Env) {
        if std::mem::take(&mut self.records.read_segment) {
            self.records.reading += 1;
            let key = segment_key(self.records.last.number);
            env.call_store(Purpose::Record(RecordCall::ReadSegment), Urgency::Record, StoreOp::Get(key));
        }
        for name in std::mem::take(&mut self.records.read_jobs) {
            self.records.reading += 1;
            let key = job_key(&name);
            env.call_store(Purpose::Record(RecordCall::ReadJob(name)), Urgency::Record, StoreOp::Get(key));
        }
    }

    /// Returns true if the store showed that another node leads.
    pub fn record_outcome(&mut self, env: &mut Env, call: RecordCall, outcome: Outcome<StoreResponse>) -> bool {
        match call {
            RecordCall::Write(batch) => return self.written(env, batch, outcome),
            RecordCall::ReadSegment => {
                self.records.reading -= 1;
                match outcome {
                    // Memory holds what is true; only the version was in doubt.
                    Outcome::Responded(StoreResponse::Item(item)) => {
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
                    Outcome::Responded(StoreResponse::Item(Some(item))) => {
                        if let Ok(record) = serde_json::from_value::<JobRecord>(item.value) {
                            self.job_read(env, &name, record.state, item.version);
                        }
                    }
                    Outcome::Responded(StoreResponse::Item(None)) => {
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

    /// The transaction has an outcome; true if another node leads.
    fn written(&mut self, env: &mut Env, batch: Batch, outcome: Outcome<StoreResponse>) -> bool {
        self.records.in_flight = false;
        self.records.flying.clear();
        match outcome {
            Outcome::Responded(StoreResponse::Committed(version)) => self.committed(env, batch, version),
            Outcome::Responded(StoreResponse::ConditionsFailed(failed)) => {
                if failed.iter().any(|key| key == LEADER_KEY) {
                    return true;
                }
                self.refused(batch, &failed);
            }
            Outcome::Responded(_) | Outcome::NotExecuted => {
                self.records.retry = Some(env.steady() + RETRY);
                self.requeue(batch);
            }
            Outcome::Unknown => {
                self.records.doubt = true;
                self.records.read_segment = true;
                self.records.read_jobs.extend(batch.closed_jobs.iter().cloned());
                self.requeue(batch);
            }
        }
        false
    }

    fn requeue(&mut self, batch: Batch) {
        for ((name, task), _) in batch.tasks {
            let place = self.jobs.get(&name).and_then(|job| job.placements.get(&task));
            let planned = place.is_some_and(|place| place.stage == Stage::Planned);
            let turn = self.jobs.get(&name).filter(|_| planned).map(|job| WritePriority::of(&job.spec));
            self.records.mark_changed((name, task), turn);
        }
        for name in batch.closed_jobs {
            if let Some(job) = self.jobs.get_mut(&name) {
                job.closing = false;
                self.records.queue_close(&name);
            }
        }
        self.records.drops.extend(batch.deleted_keys);
        self.mark_moves_unwritten(&batch.moves);
        if batch.failover {
            self.zone_record_not_written();
        }
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
            let place = self.jobs.get_mut(&name).and_then(|job| job.placements.get_mut(&task));
            if let Some(place) = place.filter(|p| p.stage == Stage::Planned && Some(p.attempt) == attempt) {
                place.stage = Stage::Ordered;
                let machine = place.machine.clone();
                self.call_soon(&machine);
            }
        }
        self.start_durable_moves(env, batch.waiting_moves);
        for (name, page) in batch.pages {
            if let Some(job) = self.jobs.get_mut(&name) {
                job.page_versions.insert(page, version);
            } else {
                self.records.delete_key(page_key(&name, page));
            }
        }
        for name in batch.closed_jobs {
            let cancelled = self.jobs.get(&name).is_some_and(|job| job.cancelled);
            tracing::debug!(job = &*name, cancelled, "over");
            self.dependency_ended(env, &name, if cancelled { RecordState::Cancelled } else { RecordState::Done });
            self.forget_job(&name);
            self.scheduling_due = true;
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
                self.dependency_ended(env, name, RecordState::Done);
                self.forget_job(name);
            }
            RecordState::Cancelled => {
                if !job.cancelled {
                    self.job_cancelled(env, name);
                } else {
                    self.close_if_over(name);
                }
            }
            RecordState::Open => self.close_if_over(name),
        }
    }
}
