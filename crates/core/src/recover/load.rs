//! How a leader fills its tables: it reads the jobs, the log and the pages, and then watches the jobs.

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

use super::{LIVE, LOG, RETRY, TASK};
use crate::term::{Load, Term};

impl Term {
    pub(super) fn read_on(&mut self, env: &mut Env) {
        self.waiting = true;
        if matches!(&self.load, Load::Jobs { after } if after.is_empty()) {
            self.reading_since = env.steady();
        }
        let (call, op) = match &self.load {
            Load::Jobs { after } => (LoadCall::Jobs, StoreOp::List { prefix: LIVE.into(), after: after.clone() }),
            Load::Segments { after } => {
                (LoadCall::Segments, StoreOp::List { prefix: LOG.into(), after: after.clone() })
            }
            Load::Pages { after } => (LoadCall::Pages, StoreOp::List { prefix: TASK.into(), after: after.clone() }),
            Load::OpenMoves { after } => {
                (LoadCall::OpenMoves, StoreOp::List { prefix: RECORD_PREFIX.into(), after: after.clone() })
            }
            Load::Failover => (LoadCall::Failover, StoreOp::Get(RECORD_KEY.into())),
            Load::Ready => {
                self.waiting = false;
                return;
            }
        };
        // Until the jobs are read no worker is answered.
        let urgency = if matches!(call, LoadCall::Jobs) { Urgency::Leadership } else { Urgency::High };
        env.store(Purpose::Load(call), urgency, op);
    }

    /// The watch is renewed as often as the lease, since what it shows bounds what may be
    /// answered just as a renewal does.
    pub(super) fn watch(&mut self, env: &mut Env) {
        if !self.watching {
            self.watching = true;
            let sent = env.steady();
            let wait_ms = env.policy.lead_ttl.as_millis() as u64 / 3;
            let op = StoreOp::Watch { prefix: LIVE.into(), after: self.watch_from, wait_ms };
            env.store(Purpose::Load(LoadCall::Watch { sent }), Urgency::Leadership, op);
        }
    }

    /// A read of the records, or the watch, has an outcome.
    pub fn loaded(&mut self, env: &mut Env, call: LoadCall, outcome: Outcome<StoreAnswer>) {
        match (call, outcome) {
            (LoadCall::Watch { sent }, outcome) => self.watched(env, sent, outcome),
            (LoadCall::Awaited(job), outcome) => self.awaited_read(env, job, outcome),
            (LoadCall::Failover, Outcome::Answered(StoreAnswer::Item(item))) => {
                self.waiting = false;
                self.zones_read(env, item);
                self.complete_load(env);
            }
            (call, Outcome::Answered(StoreAnswer::Page(page))) => {
                self.waiting = false;
                match call {
                    LoadCall::Jobs => self.jobs_read(env, page),
                    LoadCall::Segments => self.segments_read(env, page),
                    LoadCall::OpenMoves => self.moves_read(env, page),
                    _ => self.pages_read(env, page),
                }
            }
            _ => {
                self.waiting = false;
                self.retry = Some(env.steady() + RETRY);
            }
        }
    }

    fn jobs_read(&mut self, env: &mut Env, page: Page) {
        if matches!(&self.load, Load::Jobs { after } if after.is_empty()) {
            self.watch_from = page.revision;
        }
        let next = next_page(&page);
        for Item { key, value, version } in page.rows {
            self.live_changed(env, &key, value, version);
        }
        if next.is_none() {
            self.view_grew(self.reading_since);
        }
        self.load = match next {
            Some(after) => Load::Jobs { after },
            // Only the jobs were read again; all else is ours alone to write.
            None if self.loaded => Load::Ready,
            None => Load::Segments { after: String::new() },
        };
        if self.ready() {
            self.place_due = true;
            self.watch(env);
        } else {
            self.read_on(env);
        }
    }

    fn segments_read(&mut self, env: &mut Env, page: Page) {
        let next = next_page(&page);
        page.rows.into_iter().for_each(|item| self.segment_read(item));
        self.load = match next {
            Some(after) => Load::Segments { after },
            None => Load::Pages { after: String::new() },
        };
        self.read_on(env);
    }

    fn pages_read(&mut self, env: &mut Env, page: Page) {
        let next = next_page(&page);
        page.rows.into_iter().for_each(|item| self.page_read(item));
        match next {
            Some(after) => {
                self.load = Load::Pages { after };
                self.read_on(env);
            }
            None if self.balance.is_some() => {
                self.load = Load::OpenMoves { after: String::new() };
                self.read_on(env);
            }
            None => self.read_zones(env),
        }
    }

    fn moves_read(&mut self, env: &mut Env, page: Page) {
        let next = next_page(&page);
        page.rows.into_iter().for_each(|item| self.open_moves_read(item));
        match next {
            Some(after) => {
                self.load = Load::OpenMoves { after };
                self.read_on(env);
            }
            None => self.read_zones(env),
        }
    }

    /// The last of the records: what an earlier leader knew of zones.
    fn read_zones(&mut self, env: &mut Env) {
        if self.failover.is_none() {
            self.complete_load(env);
            return;
        }
        self.load = Load::Failover;
        self.read_on(env);
    }

    fn watched(&mut self, env: &mut Env, sent: Instant, outcome: Outcome<StoreAnswer>) {
        self.watching = false;
        match outcome {
            Outcome::Answered(StoreAnswer::Changes(changes)) => {
                self.view_grew(sent);
                self.watch_from = changes.revision;
                for event in changes.events {
                    if let Event::Put { key, value, version } = event {
                        self.live_changed(env, &key, value, version);
                    }
                }
                self.watch(env);
            }
            Outcome::Answered(StoreAnswer::TooOld) => {
                // What is read again is merged into what is known.
                self.load = Load::Jobs { after: String::new() };
                self.read_on(env);
            }
            _ => self.retry = Some(env.steady() + RETRY),
        }
    }

    fn page_read(&mut self, item: Item) {
        let Some((id, page)) = parse_page_key(&item.key) else {
            return;
        };
        let id = Name::from(id);
        match serde_json::from_value::<PageRecord>(item.value) {
            Ok(record) => self.loaded_pages.push((id, page, item.version, record)),
            Err(error) => tracing::error!(key = item.key, %error, "a record cannot be read"),
        }
    }

    fn segment_read(&mut self, item: Item) {
        let Some(number) = parse_segment_key(&item.key) else {
            return;
        };
        match serde_json::from_value::<SegmentRecord>(item.value) {
            Ok(record) => self.loaded_segments.push((number, item.version, record)),
            Err(error) => tracing::error!(key = item.key, %error, "a record cannot be read"),
        }
    }

    fn open_moves_read(&mut self, item: Item) {
        let Some(part) = item.key.strip_prefix(RECORD_PREFIX).and_then(|part| part.parse().ok()) else {
            return;
        };
        match serde_json::from_value(item.value) {
            Ok(record) => self.loaded_moves.push((part, record)),
            Err(error) => tracing::error!(key = item.key, %error, "a record cannot be read"),
        }
    }

    /// All is read: the tables are put together, and the leader begins to act.
    fn complete_load(&mut self, env: &mut Env) {
        self.load = Load::Ready;
        self.loaded = true;
        let addresses = self.adopt_records(env.steady());
        self.hold_places(env.steady(), &addresses);
        self.adopt_moves(env);
        for name in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.link(env, &name);
        }
        for name in self.jobs.keys().cloned().collect::<Vec<_>>() {
            // A leader that fell between a cancellation and its stops leaves them to us.
            if self.jobs[&name].cancelled {
                self.job_cancelled(env, &name);
            }
            self.after_change(&name);
        }
        self.inherited = !self.machines.is_empty();
        let places: usize = self.jobs.values().map(|j| j.places.len()).sum();
        tracing::info!(jobs = self.jobs.len(), places, machines = self.machines.len(), "records read");
        // Machines that hold services are shown the token at once.
        let hosts: Vec<Name> = self.machines.values().filter(|m| m.hosts_service()).map(|m| m.name.clone()).collect();
        hosts.iter().for_each(|name| self.call_soon(name));
        self.place_due = true;
        self.watch(env);
    }

    /// Takes over pages, then segments in the order in which they were last written, so that the
    /// newest state of a task stays; returns the addresses of the machines that they name.
    fn adopt_records(&mut self, now: Instant) -> BTreeMap<String, String> {
        let mut addresses: BTreeMap<String, String> = BTreeMap::new();
        for (id, page, version, record) in std::mem::take(&mut self.loaded_pages) {
            match self.jobs.get_mut(&id) {
                Some(job) => job.adopt_page(page, version, &record, now),
                // Its job is over; the page was left when the leader changed.
                None => self.records.drop_key(page_key(&id, page)),
            }
            addresses.extend(record.machines);
        }
        let mut segments = std::mem::take(&mut self.loaded_segments);
        segments.sort_by_key(|(_, version, _)| *version);
        for (number, version, record) in segments {
            let mut tasks: BTreeSet<(Name, u32)> = BTreeSet::new();
            for changed in &record.jobs {
                if let Some(job) = self.jobs.get_mut(changed.job.as_str()) {
                    job.adopt_changes(version, changed, &record.machines, now);
                    let named = changed.places.iter().map(|(t, ..)| t).chain(&changed.done).chain(&changed.open);
                    tasks.extend(named.map(|task| (job.id.clone(), *task)));
                }
            }
            self.records.inherit(number, version, tasks);
            addresses.extend(record.machines);
        }
        addresses
    }

    /// Puts the places of the records on their machines, and into their teams' use.
    fn hold_places(&mut self, now: Instant, addresses: &BTreeMap<String, String>) {
        for (id, job) in &mut self.jobs {
            job.settle(now);
            // What a job has had is not recorded; one with nothing counts from its submission.
            job.served = (!job.places.is_empty() || job.done_count > 0).then_some(now);
            for (task, place) in &job.places {
                let name = &place.machine;
                let machine = self.machines.entry(name.clone()).or_insert_with(|| {
                    let address = addresses.get(&**name).cloned().unwrap_or_default();
                    Machine::inherited(name.clone(), address, now)
                });
                machine.hold((id.clone(), *task), &job.spec);
                self.quotas.add(&job.spec);
                if let Some(balancer) = &mut self.balance {
                    let team = Name::from(job.spec.team.as_str());
                    balancer.task_placed(now, &(id.clone(), *task), name, &team, Resources::of(&job.spec));
                }
            }
        }
    }

    fn live_changed(&mut self, env: &mut Env, key: &str, value: serde_json::Value, version: u64) {
        let Some(id) = key.strip_prefix(LIVE) else {
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
                self.renting.saw_job(&record.spec);
                let job = Job::new(record.spec, record.at_ms, version, record.cancelled);
                self.jobs.insert(name.clone(), job);
                // While all is read for the first time, what it awaits may come later.
                if self.loaded {
                    self.link(env, &name);
                }
            }
        }
        if self.ready() {
            self.after_change(&name);
            self.place_due = true;
        }
    }
}

/// After which key the next page of a list begins, if there is one.
fn next_page(page: &Page) -> Option<String> {
    page.rows.last().filter(|_| page.more).map(|row| row.key.clone())
}
