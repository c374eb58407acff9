//! The log of task states: its last segment, and pages into which its older part is gathered.

use std::collections::{BTreeMap, BTreeSet};

use rushyoke_balance::record_key;
use rushyoke_wire::store::Txn;

use crate::env::Env;
use crate::jobs::*;
use crate::term::Term;

use super::state::{Sealed, Segment};
use super::{Batch, GATHERED, LEAST_BYTES, SEGMENTS, SEGMENTS_BYTES, SPARE, TASK_BYTES, TXN_BYTES};

/// What one more task may take of a segment at the most, beside its job's name.
const MARGIN: usize = 200;
/// What a count of reruns takes at the most, beside the name of its list.
const RERUNS_BYTES: usize = 24;

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
    fn add(&mut self, key: &'a TaskKey, place: Option<&'a Placement>, reruns: bool, addr_len: impl Fn(&Name) -> usize) {
        if self.jobs.insert(&key.0) {
            self.bytes += 64 + key.0.len();
        }
        // A task's number twice, an attempt and the index of a machine.
        self.bytes += 16 + if reruns { RERUNS_BYTES } else { 0 };
        if let Some(place) = place {
            self.bytes += 28;
            if self.machines.insert(&place.machine) {
                self.bytes += 8 + place.machine.len() + addr_len(&place.machine);
            }
        }
    }
}

impl Term {
    /// Puts what changed into the last segment, or a new one where it does not fit.
    pub(super) fn write_segment(
        &mut self,
        env: &Env,
        txn: &mut Txn,
        batch: &mut Batch,
        conditioned: &mut BTreeSet<Name>,
    ) {
        let room = env.facts.value_bytes.saturating_sub(SPARE);
        let most_conditions = env.facts.txn_ops * 4 - 1;
        let open = |name: &Name| self.jobs.get(name).filter(|job| !job.closing);
        // No more than may fit: with tens of thousands of tasks to place, a look at all of them
        // for each transaction would take the processor.
        let waiting = self.records.placed.iter().map(|(_, key)| key).chain(&self.records.changed);
        let looked_at: Vec<TaskKey> = waiting.take(env.facts.value_bytes / LEAST_BYTES).cloned().collect();
        let (due, over): (Vec<_>, Vec<_>) = looked_at.into_iter().partition(|key| open(&key.0).is_some());
        let others_unwritten = self.zone_record_is_unwritten() || !self.unwritten_move_parts().is_empty();
        let records = &mut self.records;
        // What is over needs no record.
        over.iter().for_each(|key| records.settled(key));
        if due.is_empty() && !records.doubt && !others_unwritten {
            return;
        }
        let jobs = &self.jobs;
        let machines = &self.machines;
        let addr_len = |name: &Name| machines.get(name).map_or(0, |m| m.addr.len());
        let place_of = |key: &TaskKey| jobs.get(&key.0).and_then(|job| job.placements.get(&key.1));
        let reran = |key: &TaskKey| jobs.get(&key.0).is_some_and(|job| job.zone_reruns.contains_key(&key.1));
        records.last.tasks.retain(|key| jobs.get(&key.0).is_some_and(|job| !job.closing));
        let mut size = Size::default();
        let kept: Vec<&TaskKey> = records.last.tasks.iter().filter(|key| records.is_durable(key)).collect();
        kept.iter().for_each(|key| size.add(key, place_of(key), reran(key), addr_len));
        let mut whole = Size { bytes: size.bytes, jobs: size.jobs.clone(), machines: size.machines.clone() };
        due.iter().for_each(|key| whole.add(key, place_of(key), reran(key), addr_len));
        let mut tasks: BTreeSet<TaskKey>;
        // What fitted into the last segment but for the margin would wait for ever.
        let full = whole.bytes > room || records.last.full;
        if full && !records.doubt && records.last.version > 0 {
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
            if size.bytes + MARGIN + key.0.len() > room || (planned && full && !conditioned.contains(&key.0)) {
                continue;
            }
            size.add(key, place, reran(key), addr_len);
            batch.new_placements |= planned;
            if planned && conditioned.insert(key.0.clone()) {
                *txn = std::mem::take(txn).when(job_key(&key.0), jobs[&key.0].version);
            }
            batch.tasks.push((key.clone(), place.map(|place| place.attempt)));
            tasks.insert(key.clone());
        }
        records.last.full = !due.is_empty() && batch.tasks.is_empty();
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

    /// Writes the open moves, beside the marks of their tasks. Only beside a write of the last segment,
    /// which keeps a late copy of this transaction from being applied.
    pub(super) fn write_moves(&mut self, env: &Env, txn: &mut Txn, batch: &mut Batch) {
        if !batch.segment {
            return;
        }
        let here: BTreeSet<TaskKey> = batch.tasks.iter().map(|(key, _)| key.clone()).collect();
        let waiting = std::mem::take(&mut self.records.changed);
        for part in self.unwritten_move_parts() {
            let full = (txn.writes.len() + 1) * env.facts.value_bytes > TXN_BYTES;
            if txn.writes.len() >= env.facts.txn_ops || full {
                break;
            }
            let record = self.open_moves_record(part, |key| here.contains(key) || !waiting.contains(key));
            let Some((record, booked)) = record else { continue };
            let value = serde_json::to_value(record).expect("records always encode");
            *txn = std::mem::take(txn).put(record_key(part), value);
            batch.moves.push(part);
            batch.waiting_moves.extend(booked);
        }
        self.records.changed = waiting;
    }

    /// Whether a page of a sealed segment must be written before the segment can go.
    fn ungathered(&self, version: u64, name: &Name, page: u32) -> bool {
        let job = self.jobs.get(name);
        job.is_some_and(|job| job.page_versions.get(&page).is_none_or(|written| *written < version))
    }

    /// Writes pages of the oldest segment while there are many, and deletes it once all
    /// that it names stands elsewhere. Only beside a write of the last segment, which
    /// keeps a late copy of this transaction from being applied. What does not fit into a page
    /// is written into the log once more, from segments that are half empty or more.
    pub(super) fn gather(&mut self, env: &Env, txn: &mut Txn, batch: &mut Batch) {
        while let Some(mut oldest) = self.records.sealed.pop_front() {
            let version = oldest.version;
            oldest.tasks.retain(|(name, task)| self.ungathered(version, name, task / TASKS_PER_PAGE));
            if !oldest.tasks.is_empty() {
                self.records.sealed.push_front(oldest);
                break;
            }
            self.records.delete_key(segment_key(oldest.number));
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
        let idle = batch.closed_jobs.is_empty() && !batch.new_placements;
        let sparse = idle && oldest.tasks.len() * TASK_BYTES < env.facts.value_bytes / 2;
        // The further behind, the more in one transaction.
        let behind = self.records.sealed.len().saturating_sub(segments_kept(env.facts.value_bytes));
        let most = (txn.writes.len() + 1 + behind).min(env.facts.txn_ops);
        let mut bytes = env.facts.value_bytes * txn.writes.len();
        let mut pages: Vec<(Name, u32)> =
            oldest.tasks.iter().map(|(name, task)| (name.clone(), task / TASKS_PER_PAGE)).collect();
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
        let again =
            oldest.tasks.iter().filter(|(name, task)| sparse && unfit.contains(&(name.clone(), task / TASKS_PER_PAGE)));
        for key in again.cloned().collect::<Vec<_>>() {
            self.records.mark_changed(key, None);
        }
        !unfit.is_empty()
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
        if let Some(place) = job.placements.get(task) {
            let index = *indices.entry(place.machine.clone()).or_insert_with(|| {
                record.machines.push((place.machine.to_string(), addr_of(&place.machine)));
                record.machines.len() - 1
            });
            changed.placements.push((*task, index, place.attempt));
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
