//! Conversion between the state of a job's tasks in memory and its records.

use std::time::Instant;

use super::{ChangedTasks, Job, Name, PageRecord, Placement, SegmentRecord, Stage, StartState, TASKS_PER_PAGE};

impl Job {
    /// Returns the record of one page from the state in memory.
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
        record.done = bits.iter().map(|byte| format!("{byte:02x}")).collect();
        record.restarted = self.restarted.range(first..end).map(|t| t - first).collect();
        record.zone_reruns = self.zone_reruns.range(first..end).map(|(t, count)| (t - first, *count)).collect();
        for (task, placement) in self.placements.range(first..end) {
            let listed = record.machines.iter().position(|(name, _)| **name == *placement.machine);
            let index = listed.unwrap_or_else(|| {
                record.machines.push((placement.machine.to_string(), addr_of(&placement.machine)));
                record.machines.len() - 1
            });
            record.placements.push((task - first, index, placement.attempt));
            record.unanswered_from = placement.lowest_unanswered(record.unanswered_from);
        }
        record
    }

    /// Restores the tasks of a page record that an earlier leader wrote.
    pub fn restore_page(&mut self, page: u32, version: u64, record: &PageRecord, now: Instant) {
        let first = page * TASKS_PER_PAGE;
        self.page_versions.insert(page, version);
        for (byte_index, pair) in record.done.as_bytes().chunks(2).enumerate() {
            let byte = std::str::from_utf8(pair).ok().and_then(|hex| u8::from_str_radix(hex, 16).ok()).unwrap_or(0);
            for bit in (0..8).filter(|bit| byte & (1 << bit) != 0) {
                let task = first + byte_index as u32 * 8 + bit;
                if task < self.spec.tasks {
                    self.mark_done(task);
                }
            }
        }
        self.restarted.extend(record.restarted.iter().map(|t| first + t));
        self.zone_reruns.extend(record.zone_reruns.iter().map(|(t, count)| (first + t, *count)));
        for (task, index, attempt) in &record.placements {
            if let Some((machine, _)) = record.machines.get(*index) {
                self.restore_placement(first + task, machine, *attempt, record.unanswered_from, now);
            }
        }
    }

    /// Restores the changed tasks of this job in a log segment with the given version. Segments are restored in the
    /// order of their versions. Tasks whose page record has a newer version are skipped.
    pub fn restore_changes(&mut self, version: u64, changed: &ChangedTasks, segment: &SegmentRecord, now: Instant) {
        let page_versions = self.page_versions.clone();
        let tasks = self.spec.tasks;
        let newer_than_page =
            |task: u32| task < tasks && page_versions.get(&(task / TASKS_PER_PAGE)).is_none_or(|page| *page < version);
        for task in changed.done.iter().copied().filter(|t| newer_than_page(*t)) {
            self.placements.remove(&task);
            self.mark_done(task);
        }
        for task in changed.waiting.iter().filter(|t| newer_than_page(**t)) {
            self.placements.remove(task);
        }
        for (task, index, attempt) in changed.placements.iter().filter(|(t, ..)| newer_than_page(*t)) {
            if let Some((machine, _)) = segment.machines.get(*index) {
                self.restore_placement(*task, machine, *attempt, segment.unanswered_from, now);
            }
        }
        self.restarted.extend(changed.restarted.iter().copied().filter(|t| newer_than_page(*t)));
        self.zone_reruns.extend(changed.zone_reruns.iter().copied().filter(|(t, _)| newer_than_page(*t)));
    }

    /// Restores a placement that an earlier leader recorded, unless the task is done. The starts of attempts from
    /// `unanswered_from` on may still arrive.
    fn restore_placement(
        &mut self,
        task: u32,
        machine: &str,
        attempt: u64,
        unanswered_from: Option<u64>,
        now: Instant,
    ) {
        if task >= self.spec.tasks || self.is_done(task) {
            return;
        }
        let may_arrive = unanswered_from.is_some_and(|from| attempt >= from);
        let placement = Placement {
            machine: Name::from(machine),
            attempt,
            stage: Stage::Inherited,
            placed_at: now,
            running_since: None,
            stop: None,
            start: if may_arrive { StartState::Unanswered { token: 0 } } else { StartState::Settled },
        };
        self.placements.insert(task, placement);
    }

    /// Determines the waiting tasks after all records have been restored.
    pub fn rebuild_queue(&mut self, now: Instant) {
        let after_last_placed = self.placements.keys().next_back().map_or(0, |t| t + 1);
        let after_last_done = (0..self.spec.tasks).rev().find(|t| self.is_done(*t)).map_or(0, |t| t + 1);
        self.next_task = after_last_placed.max(after_last_done);
        for task in 0..self.next_task {
            if !self.is_done(task) && !self.placements.contains_key(&task) {
                self.requeued.insert(task, now);
            }
        }
    }
}
