//! What the lead keeps in the state service: pages of places and done tasks, and the
//! end of jobs. One transaction is under way at a time.
//!
//! Guards: every transaction names the lead key's version (an old lead writes nothing),
//! the job's (nothing starts after a cancellation) and the page's own (a transaction
//! that is applied late cannot bring back an older page). After an unanswered one, what
//! it touched is read back before it is written again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use rushyoke_wire::store::Txn;

use crate::io::*;
use crate::jobs::*;
use crate::lead::LEAD_KEY;
use crate::node::{Env, Purpose};
use crate::recover::Reign;

const RETRY: Duration = Duration::from_millis(200);

#[derive(Clone, Debug)]
pub(crate) struct Batch {
    /// Page, and its change that the transaction carries.
    pages: Vec<(Name, u32, u64)>,
    closed: Vec<Name>,
    drops: Vec<String>,
}

#[derive(Clone, Debug)]
pub(crate) enum RecordCall {
    Write(Batch),
    ReadPage(Name, u32),
    ReadJob(Name),
}

#[derive(Default)]
pub(crate) struct Records {
    /// Pages with changes; the urgent ones carry places that wait to be durable.
    urgent: BTreeSet<(Name, u32)>,
    dirty: BTreeSet<(Name, u32)>,
    closing: VecDeque<Name>,
    drops: VecDeque<String>,
    in_flight: bool,
    retry: Option<Instant>,
    reads: BTreeSet<(Name, Option<u32>)>,
    reading: usize,
}

impl Records {
    pub fn page_changed(&mut self, job: &Name, page: u32, urgent: bool) {
        let set = if urgent { &mut self.urgent } else { &mut self.dirty };
        set.insert((job.clone(), page));
    }

    pub fn close(&mut self, job: &Name) {
        if !self.closing.contains(job) {
            self.closing.push_back(job.clone());
        }
    }

    pub fn drop_key(&mut self, key: String) {
        self.drops.push_back(key);
    }
}

impl Reign {
    /// Sends the next transaction, if anything is to be written and none is under way.
    pub fn flush(&mut self, env: &mut Env) {
        let now = env.steady();
        if self.records.retry.is_some_and(|t| t > now) {
            return;
        }
        self.read_back(env);
        if self.records.in_flight || self.records.reading > 0 {
            return;
        }
        let ops = env.facts.txn_ops;
        let size_limit = 40 * 1024;
        let mut txn = Txn::default().when(LEAD_KEY, self.baton);
        let mut batch = Batch { pages: Vec::new(), closed: Vec::new(), drops: Vec::new() };
        let mut conditioned: BTreeSet<Name> = BTreeSet::new();
        let mut size = 0;
        self.close_jobs(&mut txn, &mut batch, &mut conditioned, ops);
        let order: Vec<(Name, u32)> = self.records.urgent.iter().chain(self.records.dirty.iter()).cloned().collect();
        for (name, page) in order {
            if txn.writes.len() >= ops || size > size_limit {
                break;
            }
            let Some(job) = self.jobs.get(&name).filter(|job| !job.closing) else {
                self.records.urgent.remove(&(name.clone(), page));
                self.records.dirty.remove(&(name, page));
                continue;
            };
            if batch.pages.iter().any(|(n, p, _)| *n == name && *p == page) {
                continue;
            }
            let state = &job.pages[&page];
            let Some(version) = state.version else {
                continue;
            };
            let record = job.page_record(page, |m| self.machines.get(m).map(|m| m.addr.clone()).unwrap_or_default());
            size += 200 + record.places.len() * 30 + record.machines.len() * 40;
            if conditioned.insert(name.clone()) {
                txn = txn.when(job_key(&name), job.version);
            }
            let key = page_key(&name, page);
            txn = txn.when(key.clone(), version);
            txn = txn.put(key, serde_json::to_value(record).expect("records always encode"));
            batch.pages.push((name, page, state.change));
        }
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
        for (name, page, _) in &batch.pages {
            self.records.urgent.remove(&(name.clone(), *page));
            self.records.dirty.remove(&(name.clone(), *page));
        }
        self.records.in_flight = true;
        let urgency = if batch.pages.is_empty() && batch.closed.is_empty() { Urgency::Low } else { Urgency::High };
        env.store(Purpose::Record(RecordCall::Write(batch)), urgency, StoreOp::Txn(txn));
    }

    fn close_jobs(&mut self, txn: &mut Txn, batch: &mut Batch, conditioned: &mut BTreeSet<Name>, ops: usize) {
        for _ in 0..self.records.closing.len() {
            if txn.writes.len() + 2 > ops {
                break;
            }
            let name = self.records.closing.pop_front().expect("counted");
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
            if !job.cancelled {
                let record = JobRecord { state: RecordState::Done, tasks: job.spec.tasks };
                next = next.put(job_key(&name), serde_json::to_value(record).expect("records always encode"));
            }
            *txn = next;
            batch.closed.push(name);
        }
    }

    fn read_back(&mut self, env: &mut Env) {
        for (name, page) in std::mem::take(&mut self.records.reads) {
            let (key, call) = match page {
                Some(page) => (page_key(&name, page), RecordCall::ReadPage(name, page)),
                None => (job_key(&name), RecordCall::ReadJob(name)),
            };
            self.records.reading += 1;
            env.store(Purpose::Record(call), Urgency::High, StoreOp::Get(key));
        }
    }

    /// Returns true if the store showed that another node leads.
    pub fn recorded(&mut self, env: &mut Env, call: RecordCall, outcome: Outcome<StoreAnswer>) -> bool {
        match call {
            RecordCall::Write(batch) => {
                self.records.in_flight = false;
                match outcome {
                    Outcome::Answered(StoreAnswer::Committed(version)) => self.committed(batch, version),
                    Outcome::Answered(StoreAnswer::Refused(failed)) => {
                        if failed.iter().any(|key| key == LEAD_KEY) {
                            return true;
                        }
                        self.refused(batch, &failed);
                    }
                    Outcome::Answered(_) | Outcome::NotDone => {
                        self.records.retry = Some(env.steady() + RETRY);
                        self.requeue(batch);
                    }
                    Outcome::Unknown => {
                        for (name, page, _) in &batch.pages {
                            self.doubt_page(name, *page);
                        }
                        for name in &batch.closed {
                            self.records.reads.insert((name.clone(), None));
                        }
                        self.requeue(batch);
                    }
                }
            }
            RecordCall::ReadPage(name, page) => {
                self.records.reading -= 1;
                match outcome {
                    Outcome::Answered(StoreAnswer::Item(item)) => {
                        // Memory holds what is true; only the version was in doubt.
                        if let Some(state) = self.jobs.get_mut(&name).and_then(|job| job.pages.get_mut(&page)) {
                            state.version = Some(item.map_or(0, |item| item.version));
                        }
                    }
                    _ => {
                        self.records.reads.insert((name, Some(page)));
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
                        self.records.reads.insert((name, None));
                        self.records.retry = Some(env.steady() + RETRY);
                    }
                }
            }
        }
        false
    }

    fn doubt_page(&mut self, name: &Name, page: u32) {
        if let Some(state) = self.jobs.get_mut(name).and_then(|job| job.pages.get_mut(&page)) {
            state.version = None;
            self.records.reads.insert((name.clone(), Some(page)));
        }
    }

    fn requeue(&mut self, batch: Batch) {
        for (name, page, _) in batch.pages {
            self.records.urgent.insert((name, page));
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
            if let Some((id, page)) = parse_page_key(key) {
                self.doubt_page(&Name::from(id), page);
            } else if let Some(id) = key.strip_prefix("job/") {
                self.records.reads.insert((Name::from(id), None));
            }
        }
        self.requeue(batch);
    }

    fn committed(&mut self, batch: Batch, version: u64) {
        for (name, page, change) in batch.pages {
            let Some(job) = self.jobs.get_mut(&name) else {
                continue;
            };
            let state = job.pages.get_mut(&page).expect("written pages are known");
            state.version = Some(version);
            state.durable = change;
            for (_, place) in job.places.range_mut(page * PAGE..(page + 1) * PAGE) {
                if place.stage == Stage::Planned && place.planned_change <= change {
                    place.stage = Stage::Ordered;
                    self.urgent.insert(place.machine.clone());
                }
            }
        }
        for name in batch.closed {
            let cancelled = self.jobs.get(&name).is_some_and(|job| job.cancelled);
            tracing::debug!(job = &*name, cancelled, "over");
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
            RecordState::Done => self.forget_job(name),
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

    /// Whether a page's change is durable, or its job over for good.
    pub fn page_durable(jobs: &BTreeMap<Name, Job>, name: &Name, page: u32, change: u64) -> bool {
        match jobs.get(name) {
            None => true,
            Some(job) => job.pages.get(&page).is_none_or(|state| state.durable >= change),
        }
    }
}
