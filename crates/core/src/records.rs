//! The leader's records in the state service: a log of task states, pages into which the older
//! part of the log is compacted, and the end of jobs. At most one transaction is in flight.
//!
//! The store limits the number of changes, not their size, and many jobs change a little all the
//! time. So the changes of all jobs go into one value: the open segment of the log, which is
//! rewritten with more tasks until it is full. If several records contain a task, the one written last is
//! valid; each record is rendered from memory at the time of writing. A segment is deleted once
//! every task in it belongs to a finished job or is contained in a later page.
//!
//! Every transaction has the version of the leader key as a condition, so that a deposed leader
//! writes nothing. A transaction that places tasks also has the versions of their jobs as conditions, so
//! that nothing starts after a cancellation.
//!
//! A transaction without a response may be applied late and would bring back an old state. Because it
//! has the version of the open segment as a condition, it fails once a later transaction has written
//! that segment. So the next transaction always writes the same segment, and a new one is begun only
//! after that.

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

/// Delay before a failed read or write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Minimum time between transactions, so that changes made meanwhile share one.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(60);
/// Minimum time between transactions that contain only changes that nothing waits for, such as finished tasks.
const DEFERRED_WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between transactions if only the record of moves has changed. It may be stale for that long.
const MOVES_WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of segments that one transaction compacts.
const MAX_COMPACTED_SEGMENTS: usize = 2;
/// Maximum share of the store's changes per second used by the log; the rest is left to users' requests.
const MAX_LOG_WRITE_SHARE: f64 = 0.4;
/// Minimum number of sealed segments that are kept: most jobs end before their segment is compacted.
const MIN_RETAINED_SEGMENTS: usize = 12;
/// Minimum total size of the sealed segments that are kept, in bytes. If values are small, this allows more
/// than the minimum number.
const MIN_RETAINED_BYTES: usize = 96 * 1024;
/// Number of bytes of a value that stay unused.
const RESERVED_VALUE_BYTES: usize = 256;
/// Maximum size of a transaction, in bytes.
const MAX_TXN_BYTES: usize = 40 * 1024;
/// Approximate size of a task in a segment, in bytes.
const TYPICAL_TASK_BYTES: usize = 48;
/// Minimum size of a task in a segment, in bytes.
const MIN_TASK_BYTES: usize = 16;

impl Term {
    /// Sends the next transaction if there is anything to write and none is in flight.
    pub fn write_records(&mut self, env: &mut Env) {
        let now = env.steady();
        if self.records.retry_at.is_some_and(|t| t > now) {
            return;
        }
        self.reread_uncertain_records(env);
        if self.records.write_in_flight
            || self.records.reads_in_flight > 0
            || !self.is_write_due(now, env.facts.write_rps)
        {
            return;
        }
        let max_writes = env.facts.txn_ops;
        let mut txn = Txn::default().when(LEADER_KEY, self.token);
        let mut batch = Batch::default();
        let mut guarded_jobs: BTreeSet<Name> = BTreeSet::new();
        self.close_jobs(&mut txn, &mut batch, &mut guarded_jobs, max_writes.saturating_sub(2).max(2));
        self.write_segment(env, &mut txn, &mut batch, &mut guarded_jobs);
        self.write_moves(env, &mut txn, &mut batch);
        self.write_zone_record(env, &mut txn, &mut batch);
        self.compact_log(env, &mut txn, &mut batch);
        while txn.writes.len() < max_writes {
            let Some(key) = self.records.keys_to_delete.pop_front() else {
                break;
            };
            txn = txn.delete(key.clone());
            batch.deleted_keys.push(key);
        }
        if txn.writes.is_empty() {
            return;
        }
        self.records.write_in_flight = true;
        self.records.last_write_at = Some(now);
        let urgent = !batch.tasks.is_empty() || !batch.closed_jobs.is_empty();
        // Sent before users' changes: a burst of submissions must not keep jobs from starting.
        let urgency = if urgent { Urgency::Record } else { Urgency::Low };
        env.call_store(Purpose::Record(RecordCall::Write(batch)), urgency, StoreOp::Txn(txn));
    }

    /// Whether there is anything to write and the minimum time since the last write has passed.
    fn is_write_due(&self, now: Instant, write_rps: f64) -> bool {
        let records = &self.records;
        let elapsed = |interval: Duration| records.last_write_at.is_none_or(|t| now.duration_since(t) >= interval);
        let urgent = !records.new_placements.is_empty() || !records.close_queue.is_empty();
        let moves_due = elapsed(MOVES_WRITE_INTERVAL) && !self.unwritten_move_parts().is_empty();
        let pending = urgent
            || moves_due
            || self.zone_record_is_unwritten()
            || records.outcome_unknown
            || records.revision_due
            || records.refresh_due
            || !records.changed_tasks.is_empty()
            || !records.keys_to_delete.is_empty();
        let interval =
            MIN_WRITE_INTERVAL.max(Duration::from_secs_f64(1.0 / (write_rps * MAX_LOG_WRITE_SHARE).max(0.1)));
        pending && elapsed(if urgent { interval } else { DEFERRED_WRITE_INTERVAL })
    }

    /// Adds the end of finished and cancelled jobs to the transaction.
    fn close_jobs(&mut self, txn: &mut Txn, batch: &mut Batch, guarded_jobs: &mut BTreeSet<Name>, max_writes: usize) {
        for _ in 0..self.records.close_queue.len() {
            if txn.writes.len() + 2 > max_writes {
                break;
            }
            let Some(name) = self.records.next_to_close() else { break };
            let Some(job) = self.jobs.get_mut(&name).filter(|job| !job.closing) else {
                continue;
            };
            let ended = if job.cancelled { job.placements.is_empty() } else { job.is_complete() };
            if !ended {
                continue;
            }
            job.closing = true;
            guarded_jobs.insert(name.clone());
            let mut closing = std::mem::take(txn).when(job_key(&name), job.version).delete(live_key(&name));
            // A cancellation by the user is already recorded.
            let end_state = match (job.cancelled, job.orphaned) {
                (false, _) => Some(RecordState::Done),
                (true, orphaned) => orphaned.then_some(RecordState::Cancelled),
            };
            if let Some(state) = end_state {
                let record = JobRecord::terminal(state, job.spec.tasks);
                closing = closing.put(job_key(&name), serde_json::to_value(record).expect("records always encode"));
            }
            *txn = closing;
            batch.closed_jobs.push(name);
        }
    }

    /// Reads the records whose versions are uncertain after a failed write.
    fn reread_uncertain_records(&mut self, env: &mut Env) {
        if std::mem::take(&mut self.records.reread_segment) {
            self.records.reads_in_flight += 1;
            let key = segment_key(self.records.open_segment.number);
            env.call_store(Purpose::Record(RecordCall::ReadSegment), Urgency::Record, StoreOp::Get(key));
        }
        for name in std::mem::take(&mut self.records.jobs_to_reread) {
            self.records.reads_in_flight += 1;
            let key = job_key(&name);
            env.call_store(Purpose::Record(RecordCall::ReadJob(name)), Urgency::Record, StoreOp::Get(key));
        }
    }

    /// Handles the outcome of a read or write of records. Returns whether it showed that another
    /// node leads.
    pub fn record_outcome(&mut self, env: &mut Env, call: RecordCall, outcome: Outcome<StoreResponse>) -> bool {
        match call {
            RecordCall::Write(batch) => return self.write_outcome(env, batch, outcome),
            RecordCall::ReadSegment => {
                self.records.reads_in_flight -= 1;
                match outcome {
                    // The state in memory is authoritative; only the version was uncertain.
                    Outcome::Responded(StoreResponse::Item(item)) => {
                        self.records.open_segment.version = item.map_or(0, |item| item.version);
                    }
                    _ => {
                        self.records.reread_segment = true;
                        self.records.retry_at = Some(env.steady() + RETRY_DELAY);
                    }
                }
            }
            RecordCall::ReadJob(name) => {
                self.records.reads_in_flight -= 1;
                match outcome {
                    Outcome::Responded(StoreResponse::Item(Some(item))) => {
                        if let Ok(record) = serde_json::from_value::<JobRecord>(item.value) {
                            self.job_reread(env, &name, record.state, item.version);
                        }
                    }
                    Outcome::Responded(StoreResponse::Item(None)) => {
                        tracing::error!(job = &*name, "the record of an accepted job is missing");
                    }
                    _ => {
                        self.records.jobs_to_reread.insert(name);
                        self.records.retry_at = Some(env.steady() + RETRY_DELAY);
                    }
                }
            }
        }
        false
    }

    /// Handles the outcome of a transaction. Returns whether it showed that another node leads.
    fn write_outcome(&mut self, env: &mut Env, batch: Batch, outcome: Outcome<StoreResponse>) -> bool {
        self.records.write_in_flight = false;
        self.records.tasks_in_flight.clear();
        match outcome {
            Outcome::Responded(StoreResponse::Committed(version)) => {
                self.note_committed_revision(version);
                self.write_committed(env, batch, version);
            }
            Outcome::Responded(StoreResponse::ConditionsFailed(failed)) => {
                if failed.iter().any(|key| key == LEADER_KEY) {
                    return true;
                }
                self.conditions_failed(batch, &failed);
            }
            Outcome::Responded(_) | Outcome::NotExecuted => {
                self.records.retry_at = Some(env.steady() + RETRY_DELAY);
                self.requeue(batch);
            }
            Outcome::Unknown => {
                self.records.outcome_unknown = true;
                self.records.reread_segment = true;
                self.records.jobs_to_reread.extend(batch.closed_jobs.iter().cloned());
                self.requeue(batch);
            }
        }
        false
    }

    /// Queues everything in a failed transaction to be written again.
    fn requeue(&mut self, batch: Batch) {
        for ((name, task), _) in batch.tasks {
            let placement = self.jobs.get(&name).and_then(|job| job.placements.get(&task));
            let planned = placement.is_some_and(|placement| placement.stage == Stage::Planned);
            let priority = self.jobs.get(&name).filter(|_| planned).map(|job| WritePriority::of(&job.spec));
            self.records.mark_changed((name, task), priority);
        }
        for name in batch.closed_jobs {
            if let Some(job) = self.jobs.get_mut(&name) {
                job.closing = false;
                self.records.queue_close(&name);
            }
        }
        self.records.keys_to_delete.extend(batch.deleted_keys);
        self.records.refresh_due |= batch.refresh;
        self.mark_moves_unwritten(&batch.moves);
        if batch.failover {
            self.zone_record_not_written();
        }
    }

    /// Rereads the records whose versions had changed, and queues the transaction again.
    fn conditions_failed(&mut self, batch: Batch, failed: &[String]) {
        for key in failed {
            if parse_segment_key(key).is_some() {
                self.records.reread_segment = true;
            } else if let Some(id) = key.strip_prefix("job/") {
                self.records.jobs_to_reread.insert(Name::from(id));
            }
        }
        self.requeue(batch);
    }

    /// Applies the effects of a committed transaction.
    fn write_committed(&mut self, env: &mut Env, batch: Batch, version: u64) {
        if batch.segment {
            self.records.open_segment.version = version;
            self.records.outcome_unknown = false;
            self.records.supersede(batch.tasks.iter().map(|(key, _)| key));
        }
        for ((name, task), attempt) in batch.tasks {
            let placement = self.jobs.get_mut(&name).and_then(|job| job.placements.get_mut(&task));
            if let Some(placement) =
                placement.filter(|placement| placement.stage == Stage::Planned && Some(placement.attempt) == attempt)
            {
                placement.stage = Stage::Ordered;
                let machine = placement.machine.clone();
                self.queue_direct_call(&machine);
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
            tracing::debug!(job = &*name, cancelled, "job closed");
            self.dependency_ended(env, &name, if cancelled { RecordState::Cancelled } else { RecordState::Done });
            self.forget_job(&name);
            self.scheduling_due = true;
        }
    }

    /// Applies the stored state of a job whose version differed from the one in memory.
    fn job_reread(&mut self, env: &mut Env, name: &Name, state: RecordState, version: u64) {
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
                    self.close_if_ended(name);
                }
            }
            RecordState::Open => self.close_if_ended(name),
        }
    }
}
