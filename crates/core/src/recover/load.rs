//! Loads a leader's state: reads the jobs, the log and the pages, and then watches the jobs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use rushyoke_balance::RECORD_PREFIX;
use rushyoke_failover::RECORD_KEY;
use rushyoke_wire::store::{Event, Item, Page};

use crate::calls::{LoadCall, Purpose};
use crate::env::Env;
use crate::fleet::Machine;
use crate::io::*;
use crate::jobs::*;
use crate::quota::Resources;

use super::{LIVE_PREFIX, LOG_PREFIX, RETRY_DELAY, TASK_PREFIX};
use crate::term::{LoadStage, Term};

impl Term {
    /// Requests the next page of records, if any are left to load.
    pub(super) fn read_next_page(&mut self, env: &mut Env) {
        self.load_request_pending = true;
        if matches!(&self.load_stage, LoadStage::Jobs { after } if after.is_empty()) {
            self.job_read_started_at = env.steady();
        }
        let (call, op) = match &self.load_stage {
            LoadStage::Jobs { after } => {
                (LoadCall::Jobs, StoreOp::List { prefix: LIVE_PREFIX.into(), after: after.clone() })
            }
            LoadStage::Segments { after } => {
                (LoadCall::Segments, StoreOp::List { prefix: LOG_PREFIX.into(), after: after.clone() })
            }
            LoadStage::Pages { after } => {
                (LoadCall::Pages, StoreOp::List { prefix: TASK_PREFIX.into(), after: after.clone() })
            }
            LoadStage::OpenMoves { after } => {
                (LoadCall::OpenMoves, StoreOp::List { prefix: RECORD_PREFIX.into(), after: after.clone() })
            }
            LoadStage::Failover => (LoadCall::Failover, StoreOp::Get(RECORD_KEY.into())),
            LoadStage::Ready => {
                self.load_request_pending = false;
                return;
            }
        };
        // No report gets a response before the jobs are loaded.
        let urgency = if matches!(call, LoadCall::Jobs) { Urgency::Leadership } else { Urgency::High };
        env.call_store(Purpose::Load(call), urgency, op);
    }

    /// Opens a watch on the unfinished jobs. It is renewed as often as the leader's lease, because
    /// reports get a response only while both are recent.
    pub(super) fn watch_jobs(&mut self, env: &mut Env) {
        if !self.watch_pending {
            self.watch_pending = true;
            let sent_at = env.steady();
            let wait_ms = env.policy.leader_lease.as_millis() as u64 / 3;
            let op = StoreOp::Watch { prefix: LIVE_PREFIX.into(), after: self.watch_revision, wait_ms };
            env.call_store(Purpose::Load(LoadCall::Watch { sent_at }), Urgency::Leadership, op);
        }
    }

    /// Handles the outcome of a read of records or of the watch.
    pub fn load_outcome(&mut self, env: &mut Env, call: LoadCall, outcome: Outcome<StoreResponse>) {
        match (call, outcome) {
            (LoadCall::Watch { sent_at }, outcome) => self.watch_outcome(env, sent_at, outcome),
            (LoadCall::Dependency(job), outcome) => self.dependency_read_outcome(env, job, outcome),
            (LoadCall::Failover, Outcome::Responded(StoreResponse::Item(item))) => {
                self.load_request_pending = false;
                self.load_zone_record(env, item);
                self.complete_load(env);
            }
            (call, Outcome::Responded(StoreResponse::Page(page))) => {
                self.load_request_pending = false;
                match call {
                    LoadCall::Jobs => self.jobs_loaded(env, page),
                    LoadCall::Segments => self.segments_loaded(env, page),
                    LoadCall::OpenMoves => self.moves_loaded(env, page),
                    _ => self.pages_loaded(env, page),
                }
            }
            _ => {
                self.load_request_pending = false;
                self.retry_at = Some(env.steady() + RETRY_DELAY);
            }
        }
    }

    /// Handles a page of unfinished jobs.
    fn jobs_loaded(&mut self, env: &mut Env, page: Page) {
        if matches!(&self.load_stage, LoadStage::Jobs { after } if after.is_empty()) {
            self.watch_revision = page.revision;
        }
        let next = next_list_key(&page);
        for Item { key, value, version } in page.rows {
            self.apply_live_record(env, &key, value, version);
        }
        if next.is_none() {
            self.note_cancellations_known(self.job_read_started_at);
        }
        self.load_stage = match next {
            Some(after) => LoadStage::Jobs { after },
            // Only the jobs were read again; all other records are written by this leader alone.
            None if self.load_complete => LoadStage::Ready,
            None => LoadStage::Segments { after: String::new() },
        };
        if self.ready() {
            self.scheduling_due = true;
            self.watch_jobs(env);
        } else {
            self.read_next_page(env);
        }
    }

    /// Handles a page of log segments.
    fn segments_loaded(&mut self, env: &mut Env, page: Page) {
        let next = next_list_key(&page);
        page.rows.into_iter().for_each(|item| self.load_segment(item));
        self.load_stage = match next {
            Some(after) => LoadStage::Segments { after },
            None => LoadStage::Pages { after: String::new() },
        };
        self.read_next_page(env);
    }

    /// Handles a page of task pages.
    fn pages_loaded(&mut self, env: &mut Env, page: Page) {
        let next = next_list_key(&page);
        page.rows.into_iter().for_each(|item| self.load_page(item));
        match next {
            Some(after) => {
                self.load_stage = LoadStage::Pages { after };
                self.read_next_page(env);
            }
            None if self.balancer.is_some() => {
                self.load_stage = LoadStage::OpenMoves { after: String::new() };
                self.read_next_page(env);
            }
            None => self.load_zones(env),
        }
    }

    /// Handles a page of the record of open moves.
    fn moves_loaded(&mut self, env: &mut Env, page: Page) {
        let next = next_list_key(&page);
        page.rows.into_iter().for_each(|item| self.load_open_moves(item));
        match next {
            Some(after) => {
                self.load_stage = LoadStage::OpenMoves { after };
                self.read_next_page(env);
            }
            None => self.load_zones(env),
        }
    }

    /// Requests the failover record, which is the last one, or completes the load without failover.
    fn load_zones(&mut self, env: &mut Env) {
        if self.failover.is_none() {
            self.complete_load(env);
            return;
        }
        self.load_stage = LoadStage::Failover;
        self.read_next_page(env);
    }

    /// Handles the outcome of the watch on unfinished jobs.
    fn watch_outcome(&mut self, env: &mut Env, sent_at: Instant, outcome: Outcome<StoreResponse>) {
        self.watch_pending = false;
        match outcome {
            Outcome::Responded(StoreResponse::Changes(changes)) => {
                self.note_cancellations_known(sent_at);
                self.watch_revision = changes.revision;
                for event in changes.events {
                    if let Event::Put { key, value, version } = event {
                        self.apply_live_record(env, &key, value, version);
                    }
                }
                self.watch_jobs(env);
            }
            Outcome::Responded(StoreResponse::Compacted) => {
                // The jobs are read again and merged into the state in memory.
                self.load_stage = LoadStage::Jobs { after: String::new() };
                self.read_next_page(env);
            }
            _ => self.retry_at = Some(env.steady() + RETRY_DELAY),
        }
    }

    /// Keeps a task page until all records are loaded.
    fn load_page(&mut self, item: Item) {
        let Some((id, page)) = parse_page_key(&item.key) else {
            return;
        };
        let id = Name::from(id);
        match serde_json::from_value::<PageRecord>(item.value) {
            Ok(record) => self.loaded_pages.push((id, page, item.version, record)),
            Err(error) => tracing::error!(key = item.key, %error, "a record cannot be read"),
        }
    }

    /// Keeps a log segment until all records are loaded.
    fn load_segment(&mut self, item: Item) {
        let Some(number) = parse_segment_key(&item.key) else {
            return;
        };
        match serde_json::from_value::<SegmentRecord>(item.value) {
            Ok(record) => self.loaded_segments.push((number, item.version, record)),
            Err(error) => tracing::error!(key = item.key, %error, "a record cannot be read"),
        }
    }

    /// Keeps a part of the record of open moves until all records are loaded.
    fn load_open_moves(&mut self, item: Item) {
        let Some(part) = item.key.strip_prefix(RECORD_PREFIX).and_then(|part| part.parse().ok()) else {
            return;
        };
        match serde_json::from_value(item.value) {
            Ok(record) => self.loaded_moves.push((part, record)),
            Err(error) => tracing::error!(key = item.key, %error, "a record cannot be read"),
        }
    }

    /// Builds the leader's state from the loaded records and begins to act.
    fn complete_load(&mut self, env: &mut Env) {
        self.load_stage = LoadStage::Ready;
        self.load_complete = true;
        let addresses = self.adopt_records(env.steady());
        self.apply_placements(env.steady(), &addresses);
        self.restore_moves(env);
        for name in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.link_dependencies(env, &name);
        }
        for name in self.jobs.keys().cloned().collect::<Vec<_>>() {
            // An earlier leader may have failed between the cancellation and the stop orders.
            if self.jobs[&name].cancelled {
                self.job_cancelled(env, &name);
            }
            self.close_if_ended(&name);
        }
        self.machines_inherited = !self.machines.is_empty();
        let placements: usize = self.jobs.values().map(|job| job.placements.len()).sum();
        tracing::info!(jobs = self.jobs.len(), places = placements, machines = self.machines.len(), "records read");
        // Machines that run services are fenced at once.
        let service_hosts: Vec<Name> =
            self.machines.values().filter(|m| m.hosts_service()).map(|m| m.name.clone()).collect();
        service_hosts.iter().for_each(|name| self.queue_direct_call(name));
        self.scheduling_due = true;
        self.watch_jobs(env);
    }

    /// Applies the pages, then the segments in the order in which they were last written, so that the
    /// newest state of each task wins. Returns the addresses of the machines in these records.
    fn adopt_records(&mut self, now: Instant) -> BTreeMap<String, String> {
        let mut addresses: BTreeMap<String, String> = BTreeMap::new();
        for (id, page, version, record) in std::mem::take(&mut self.loaded_pages) {
            match self.jobs.get_mut(&id) {
                Some(job) => job.restore_page(page, version, &record, now),
                // The job is over; the page was left over from a change of leader.
                None => self.records.delete_key(page_key(&id, page)),
            }
            addresses.extend(record.machines);
        }
        let mut segments = std::mem::take(&mut self.loaded_segments);
        segments.sort_by_key(|(_, version, _)| *version);
        for (number, version, record) in segments {
            let mut tasks: BTreeSet<(Name, u32)> = BTreeSet::new();
            for changed in &record.jobs {
                if let Some(job) = self.jobs.get_mut(changed.job.as_str()) {
                    job.restore_changes(version, changed, &record, now);
                    let changed_tasks =
                        changed.placements.iter().map(|(t, ..)| t).chain(&changed.done).chain(&changed.waiting);
                    tasks.extend(changed_tasks.map(|task| (job.id.clone(), *task)));
                }
            }
            self.records.add_inherited_segment(number, version, tasks);
            addresses.extend(record.machines);
        }
        addresses
    }

    /// Assigns the loaded placements to their machines and counts them in their teams' usage.
    fn apply_placements(&mut self, now: Instant, addresses: &BTreeMap<String, String>) {
        for (id, job) in &mut self.jobs {
            job.rebuild_queue(now);
            // The time of the last placement is not recorded, so it counts from now. A job without any counts
            // from when it became eligible.
            job.last_placed = (!job.placements.is_empty() || job.done_count > 0).then_some(now);
            for (task, placement) in &job.placements {
                let name = &placement.machine;
                let machine = self.machines.entry(name.clone()).or_insert_with(|| {
                    let address = addresses.get(&**name).cloned().unwrap_or_default();
                    Machine::from_record(name.clone(), address, now)
                });
                machine.add_task((id.clone(), *task), &job.spec);
                self.quotas.add(&job.spec);
                if let Some(balancer) = &mut self.balancer {
                    let team = Name::from(job.spec.team.as_str());
                    balancer.task_placed(now, &(id.clone(), *task), name, &team, Resources::of(&job.spec));
                }
            }
        }
    }

    /// Adds a new job or applies a change of its record, such as a cancellation.
    fn apply_live_record(&mut self, env: &mut Env, key: &str, value: serde_json::Value, version: u64) {
        let Some(id) = key.strip_prefix(LIVE_PREFIX) else {
            return;
        };
        let record: LiveRecord = match serde_json::from_value(value) {
            Ok(record) => record,
            Err(error) => {
                tracing::error!(key, %error, "a record cannot be read");
                return;
            }
        };
        let name = Name::from(id);
        match self.jobs.get_mut(&name) {
            Some(job) if job.version >= version => return,
            Some(job) => {
                job.version = version;
                if record.cancelled {
                    self.job_cancelled(env, &name);
                }
            }
            None => {
                tracing::debug!(
                    job = id,
                    tasks = record.spec.tasks,
                    class = record.spec.class,
                    team = record.spec.team,
                    cpus = record.spec.cpus,
                    estimate_s = record.spec.estimate_s,
                    due_s = record.spec.deadline_s,
                    "new job"
                );
                self.renting.observe_job(&record.spec);
                let job = Job::new(record.spec, record.submitted_ms, version, record.cancelled);
                self.jobs.insert(name.clone(), job);
                // During the first load its dependencies may be read later.
                if self.load_complete {
                    self.link_dependencies(env, &name);
                }
            }
        }
        if self.ready() {
            self.close_if_ended(&name);
            self.scheduling_due = true;
        }
    }
}

/// Returns the key after which the next page of a list begins, if there is one.
fn next_list_key(page: &Page) -> Option<String> {
    page.rows.last().filter(|_| page.more).map(|row| row.key.clone())
}
