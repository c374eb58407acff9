//! The log of task states: writing its open segment, and compacting its older part into pages.

use std::collections::{BTreeMap, BTreeSet};

use rushyoke_balance::record_key;
use rushyoke_wire::store::Txn;

use crate::env::Env;
use crate::jobs::*;
use crate::term::Term;

use super::state::{OpenSegment, SealedSegment};
use super::{
    Batch, MAX_COMPACTED_SEGMENTS, MAX_TXN_BYTES, MIN_RETAINED_BYTES, MIN_RETAINED_SEGMENTS, MIN_TASK_BYTES,
    RESERVED_VALUE_BYTES, TYPICAL_TASK_BYTES,
};

/// Maximum size of one more task in a segment without its job's name, in bytes.
const MAX_TASK_BYTES: usize = 200;
/// Maximum size of a count of reruns without the name of its list, in bytes.
const MAX_RERUN_COUNT_BYTES: usize = 24;

/// Returns the number of sealed segments that are kept before the oldest is compacted.
fn retained_segments(value_bytes: usize) -> usize {
    MIN_RETAINED_SEGMENTS.max(MIN_RETAINED_BYTES / value_bytes.max(1))
}

/// Upper bound of the size of a segment's value.
#[derive(Default)]
struct SizeBound<'a> {
    bytes: usize,
    jobs: BTreeSet<&'a Name>,
    machines: BTreeSet<&'a Name>,
}

impl<'a> SizeBound<'a> {
    fn add(
        &mut self,
        key: &'a TaskKey,
        placement: Option<&'a Placement>,
        rerun: bool,
        addr_len: impl Fn(&Name) -> usize,
    ) {
        if self.jobs.insert(&key.0) {
            self.bytes += 64 + key.0.len();
        }
        // The task's number twice, an attempt and the index of a machine.
        self.bytes += 16 + if rerun { MAX_RERUN_COUNT_BYTES } else { 0 };
        if let Some(placement) = placement {
            self.bytes += 28;
            if self.machines.insert(&placement.machine) {
                self.bytes += 8 + placement.machine.len() + addr_len(&placement.machine);
            }
        }
    }
}

impl Term {
    /// Writes changed tasks into the open segment, or begins a new one if they do not fit.
    pub(super) fn write_segment(
        &mut self,
        env: &Env,
        txn: &mut Txn,
        batch: &mut Batch,
        guarded_jobs: &mut BTreeSet<Name>,
    ) {
        let max_bytes = env.facts.value_bytes.saturating_sub(RESERVED_VALUE_BYTES);
        let max_conditions = env.facts.txn_ops * 4 - 1;
        let open_job = |name: &Name| self.jobs.get(name).filter(|job| !job.closing);
        // Only as many tasks are examined as may fit. There may be tens of thousands, and examining all of them
        // for each transaction would use too much CPU time.
        let unwritten = self.records.new_placements.iter().map(|(_, key)| key).chain(&self.records.changed_tasks);
        let candidates: Vec<TaskKey> = unwritten.take(env.facts.value_bytes / MIN_TASK_BYTES).cloned().collect();
        let (due, ended): (Vec<_>, Vec<_>) = candidates.into_iter().partition(|key| open_job(&key.0).is_some());
        let other_records_unwritten = self.zone_record_is_unwritten() || !self.unwritten_move_parts().is_empty();
        let records = &mut self.records;
        // Tasks of finished jobs need no record.
        ended.iter().for_each(|key| records.mark_written(key));
        let rewrite_due = records.outcome_unknown || records.revision_due || records.refresh_due;
        if due.is_empty() && !rewrite_due && !other_records_unwritten {
            return;
        }
        let jobs = &self.jobs;
        let machines = &self.machines;
        let addr_len = |name: &Name| machines.get(name).map_or(0, |m| m.addr.len());
        let placement_of = |key: &TaskKey| jobs.get(&key.0).and_then(|job| job.placements.get(&key.1));
        let was_rerun = |key: &TaskKey| jobs.get(&key.0).is_some_and(|job| job.zone_reruns.contains_key(&key.1));
        records.open_segment.tasks.retain(|key| jobs.get(&key.0).is_some_and(|job| !job.closing));
        let mut size = SizeBound::default();
        let retained: Vec<&TaskKey> = records.open_segment.tasks.iter().filter(|key| records.is_durable(key)).collect();
        retained.iter().for_each(|key| size.add(key, placement_of(key), was_rerun(key), addr_len));
        let mut combined = SizeBound { bytes: size.bytes, jobs: size.jobs.clone(), machines: size.machines.clone() };
        due.iter().for_each(|key| combined.add(key, placement_of(key), was_rerun(key), addr_len));
        let mut tasks: BTreeSet<TaskKey>;
        // `full` is set if no task fitted. The size bound alone may stay below the maximum then, because of the
        // margin of `MAX_TASK_BYTES` below, and the tasks would wait forever.
        let begin_segment = combined.bytes > max_bytes || records.open_segment.full;
        if begin_segment && !records.outcome_unknown && records.open_segment.version > 0 {
            let (number, version) = (records.open_segment.number, records.open_segment.version);
            let sealed = std::mem::take(&mut records.open_segment.tasks);
            tasks = BTreeSet::new();
            size = SizeBound::default();
            records.sealed_segments.push_back(SealedSegment { number, version, tasks: sealed });
            records.open_segment = OpenSegment { number: number + 1, ..OpenSegment::default() };
        } else {
            tasks = retained.into_iter().cloned().collect();
        }
        for key in &due {
            let placement = placement_of(key);
            let planned = placement.is_some_and(|placement| placement.stage == Stage::Planned);
            let conditions_full = txn.conditions.len() >= max_conditions;
            if size.bytes + MAX_TASK_BYTES + key.0.len() > max_bytes
                || (planned && conditions_full && !guarded_jobs.contains(&key.0))
            {
                continue;
            }
            size.add(key, placement, was_rerun(key), addr_len);
            batch.new_placements |= planned;
            if planned && guarded_jobs.insert(key.0.clone()) {
                *txn = std::mem::take(txn).when(job_key(&key.0), jobs[&key.0].version);
            }
            batch.tasks.push((key.clone(), placement.map(|placement| placement.attempt)));
            tasks.insert(key.clone());
        }
        records.open_segment.full = !due.is_empty() && batch.tasks.is_empty();
        let value = serde_json::to_value(render(jobs, &tasks, |m| {
            machines.get(m).map(|machine| machine.addr.clone()).unwrap_or_default()
        }));
        let key = segment_key(records.open_segment.number);
        let guarded = std::mem::take(txn).when(key.clone(), records.open_segment.version);
        *txn = guarded.put(key, value.expect("records always encode"));
        records.open_segment.tasks = tasks;
        batch.segment = true;
        batch.refresh = std::mem::take(&mut records.refresh_due);
        for (key, _) in &batch.tasks {
            records.mark_written(key);
            records.tasks_in_flight.insert(key.clone());
        }
    }

    /// Writes the open moves together with the states of their tasks. Does so only along with a write
    /// of the open segment, whose version condition keeps a late copy of this transaction from being
    /// applied.
    pub(super) fn write_moves(&mut self, env: &Env, txn: &mut Txn, batch: &mut Batch) {
        if !batch.segment {
            return;
        }
        let in_this_txn: BTreeSet<TaskKey> = batch.tasks.iter().map(|(key, _)| key.clone()).collect();
        let unwritten = std::mem::take(&mut self.records.changed_tasks);
        for part in self.unwritten_move_parts() {
            let txn_full = (txn.writes.len() + 1) * env.facts.value_bytes > MAX_TXN_BYTES;
            if txn.writes.len() >= env.facts.txn_ops || txn_full {
                break;
            }
            let record = self.open_moves_record(part, |key| in_this_txn.contains(key) || !unwritten.contains(key));
            let Some((record, booked)) = record else { continue };
            let value = serde_json::to_value(record).expect("records always encode");
            *txn = std::mem::take(txn).put(record_key(part), value);
            batch.moves.push(part);
            batch.waiting_moves.extend(booked);
        }
        self.records.changed_tasks = unwritten;
    }

    /// Whether a page must be written before a sealed segment of this version can be deleted.
    fn needs_compaction(&self, version: u64, name: &Name, page: u32) -> bool {
        let job = self.jobs.get(name);
        job.is_some_and(|job| job.page_versions.get(&page).is_none_or(|page_version| *page_version < version))
    }

    /// Writes pages for the oldest segment while there are too many, and deletes a segment once all
    /// its tasks are recorded elsewhere. Pages are written only along with the open segment, whose
    /// version condition keeps a late copy of this transaction from being applied. Tasks whose page
    /// is too large are written into the log again, from segments that are at least half empty.
    pub(super) fn compact_log(&mut self, env: &Env, txn: &mut Txn, batch: &mut Batch) {
        while let Some(mut oldest) = self.records.sealed_segments.pop_front() {
            let version = oldest.version;
            oldest.tasks.retain(|(name, task)| self.needs_compaction(version, name, task / TASKS_PER_PAGE));
            if !oldest.tasks.is_empty() {
                self.records.sealed_segments.push_front(oldest);
                break;
            }
            self.records.delete_key(segment_key(oldest.number));
        }
        let records = &mut self.records;
        records.sealed_segments.retain(|sealed| {
            if sealed.tasks.is_empty() {
                records.keys_to_delete.push_back(segment_key(sealed.number));
            }
            !sealed.tasks.is_empty()
        });
        if !batch.segment {
            return;
        }
        let retained = retained_segments(env.facts.value_bytes);
        for _ in 0..self.records.sealed_segments.len().saturating_sub(retained).min(MAX_COMPACTED_SEGMENTS) {
            if !self.compact_oldest_segment(env, txn, batch) {
                return;
            }
            // The rest of this segment cannot be compacted now, but the next one may be.
            self.records.sealed_segments.rotate_left(1);
        }
    }

    /// Writes the pages of the oldest segment. Returns whether some of them are too large.
    fn compact_oldest_segment(&mut self, env: &Env, txn: &mut Txn, batch: &mut Batch) -> bool {
        let max_bytes = env.facts.value_bytes.saturating_sub(RESERVED_VALUE_BYTES);
        let Some(oldest) = self.records.sealed_segments.front() else { return false };
        // Tasks are rewritten only from a segment that is at least half empty; otherwise the same tasks would be
        // rewritten endlessly. Nothing may wait for this transaction, because rewritten tasks use up the space
        // of urgent changes.
        let idle = batch.closed_jobs.is_empty() && !batch.new_placements;
        let may_rewrite = idle && oldest.tasks.len() * TYPICAL_TASK_BYTES < env.facts.value_bytes / 2;
        // The larger the backlog, the more pages go into one transaction.
        let backlog = self.records.sealed_segments.len().saturating_sub(retained_segments(env.facts.value_bytes));
        let max_writes = (txn.writes.len() + 1 + backlog).min(env.facts.txn_ops);
        let mut bytes = env.facts.value_bytes * txn.writes.len();
        let mut pages: Vec<(Name, u32)> =
            oldest.tasks.iter().map(|(name, task)| (name.clone(), task / TASKS_PER_PAGE)).collect();
        pages.dedup();
        pages.retain(|page| !batch.pages.contains(page));
        let mut oversized: BTreeSet<(Name, u32)> = BTreeSet::new();
        for (name, page) in pages {
            let Some(job) = self.jobs.get(&name).filter(|job| !job.closing) else {
                continue;
            };
            let record = job.page_record(page, |m| self.machines.get(m).map(|m| m.addr.clone()).unwrap_or_default());
            let value = serde_json::to_value(record).expect("records always encode");
            let size = value.to_string().len();
            if size > max_bytes {
                oversized.insert((name, page));
                continue;
            }
            if txn.writes.len() >= max_writes || bytes + env.facts.value_bytes > MAX_TXN_BYTES {
                return false;
            }
            bytes += 200 + size;
            *txn = std::mem::take(txn).put(page_key(&name, page), value);
            batch.pages.push((name, page));
        }
        let rewritten = oldest
            .tasks
            .iter()
            .filter(|(name, task)| may_rewrite && oversized.contains(&(name.clone(), task / TASKS_PER_PAGE)));
        for key in rewritten.cloned().collect::<Vec<_>>() {
            self.records.mark_changed(key, None);
        }
        !oversized.is_empty()
    }
}

/// Returns a segment with the current states of the given tasks.
fn render(jobs: &BTreeMap<Name, Job>, tasks: &BTreeSet<TaskKey>, addr_of: impl Fn(&Name) -> String) -> SegmentRecord {
    let mut record = SegmentRecord::default();
    let mut indices: BTreeMap<Name, usize> = BTreeMap::new();
    for (name, task) in tasks {
        let Some(job) = jobs.get(name) else { continue };
        if record.jobs.last().is_none_or(|changed| *changed.job != **name) {
            record.jobs.push(ChangedTasks { job: name.to_string(), ..ChangedTasks::default() });
        }
        let changed = record.jobs.last_mut().expect("pushed");
        if let Some(placement) = job.placements.get(task) {
            let index = *indices.entry(placement.machine.clone()).or_insert_with(|| {
                record.machines.push((placement.machine.to_string(), addr_of(&placement.machine)));
                record.machines.len() - 1
            });
            changed.placements.push((*task, index, placement.attempt));
            record.unanswered_from = placement.lowest_unanswered(record.unanswered_from);
        } else if job.is_done(*task) {
            changed.done.push(*task);
        } else {
            changed.waiting.push(*task);
        }
        if job.restarted.contains(task) {
            changed.restarted.push(*task);
        }
        if let Some(count) = job.zone_reruns.get(task) {
            changed.zone_reruns.push((*task, *count));
        }
    }
    record
}
