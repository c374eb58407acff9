//! A stand-in for the state service.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_core::{StoreOp, StoreResponse};
use rushyoke_wire::store::{Changes, Event, Item, Page, Txn, Write};
use serde_json::Value;

/// Changes that are kept for watches, unless a test wants fewer.
const KEPT: usize = 10_000;
const MAX_OPS: usize = 16;
const MAX_VALUE: usize = 8 * 1024;

/// A stand-in for the state service.
#[derive(Default)]
pub struct Store {
    /// Values, versions and leases by key.
    pub rows: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// Counts the changes.
    pub revision: u64,
    log: Vec<(u64, Event)>,
    /// Lease, its life and its end.
    leases: BTreeMap<u64, (Duration, Duration)>,
    next_lease: u64,
    /// It answers nobody.
    pub outage: bool,
    /// Limits of a transaction's writes and of a value; what goes beyond fails the test.
    pub max_txn_writes: usize,
    /// Bytes of a value; what goes beyond fails the test.
    pub max_value_bytes: usize,
    /// A refused transaction names only the first key that failed.
    pub reports_one_failed_condition: bool,
    /// Largest value and page sizes seen, for tests of limits.
    pub largest_value_bytes: usize,
    /// Rows per page of a list.
    pub page_size: usize,
    /// Changes that are kept for watches.
    pub max_log_events: usize,
    /// Puts and deletes carried out.
    pub writes: u64,
    /// Requests answered, watches apart.
    pub requests: u64,
}

impl Store {
    /// An empty store.
    pub fn new() -> Store {
        Store {
            page_size: 1000,
            max_log_events: KEPT,
            max_txn_writes: MAX_OPS,
            max_value_bytes: MAX_VALUE,
            ..Store::default()
        }
    }

    /// Ends leases that were not renewed; returns whether keys changed.
    pub fn expire_leases(&mut self, now: Duration) -> bool {
        if self.outage {
            return false;
        }
        let due = |end: Duration| end <= now;
        let ended: Vec<u64> = self.leases.iter().filter(|(_, (_, end))| due(*end)).map(|(l, _)| *l).collect();
        let before = self.revision;
        for lease in ended {
            self.end_lease(lease);
        }
        self.revision > before
    }

    /// It answers again, and all leases have their full time.
    pub fn end_outage(&mut self, now: Duration) {
        self.outage = false;
        for (life, end) in self.leases.values_mut() {
            *end = now + *life;
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.rows.iter().filter(|(_, row)| row.2 == Some(lease)).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in &keys {
            self.delete(key);
        }
    }

    fn delete(&mut self, key: &str) {
        if self.rows.remove(key).is_some() {
            self.log.push((self.revision, Event::Delete { key: key.into(), version: self.revision }));
        }
    }

    /// The answer to a watch if there is something to tell.
    pub fn watch(&self, prefix: &str, after: u64) -> Option<StoreResponse> {
        if self.log.len() >= self.max_log_events && self.log.first().is_some_and(|(r, _)| *r > after + 1) {
            return Some(StoreResponse::Compacted);
        }
        let events: Vec<Event> = self
            .log
            .iter()
            .filter(|(revision, _)| *revision > after)
            .filter(|(_, event)| match event {
                Event::Put { key, .. } | Event::Delete { key, .. } => key.starts_with(prefix),
            })
            .map(|(_, event)| event.clone())
            .collect();
        let revision = self.revision;
        (!events.is_empty()).then_some(StoreResponse::Changes(Changes { revision, events }))
    }

    /// Carries out a call.
    pub fn execute(&mut self, now: Duration, op: &StoreOp) -> StoreResponse {
        self.expire_leases(now);
        self.requests += 1;
        match op {
            StoreOp::Get(key) => StoreResponse::Item(self.rows.get(key).map(|(value, version, _)| Item {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })),
            StoreOp::List { prefix, after } => {
                let mut rows: Vec<Item> = self
                    .rows
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && *key > after)
                    .take(self.page_size + 1)
                    .map(|(key, (value, version, _))| Item {
                        key: key.clone(),
                        value: value.clone(),
                        version: *version,
                    })
                    .collect();
                let more = rows.len() > self.page_size;
                rows.truncate(self.page_size);
                StoreResponse::Page(Page { rows, more, revision: self.revision })
            }
            StoreOp::Txn(txn) => self.txn(txn),
            StoreOp::NewLease { ttl_ms } => {
                self.next_lease += 1;
                let life = Duration::from_millis(*ttl_ms);
                self.leases.insert(self.next_lease, (life, now + life));
                StoreResponse::Lease(self.next_lease)
            }
            StoreOp::RenewLease(lease) => match self.leases.get_mut(lease) {
                Some((life, end)) => {
                    *end = now + *life;
                    StoreResponse::LeaseOk
                }
                None => StoreResponse::NoSuchLease,
            },
            StoreOp::EndLease(lease) => {
                self.end_lease(*lease);
                StoreResponse::LeaseOk
            }
            StoreOp::Watch { .. } => unreachable!("watches are kept by the world"),
        }
    }

    fn txn(&mut self, txn: &Txn) -> StoreResponse {
        assert!(txn.writes.len() <= self.max_txn_writes, "too many writes in a transaction");
        assert!(txn.conditions.len() <= 4 * self.max_txn_writes, "too many conditions in a transaction");
        let size = serde_json::to_vec(txn).expect("transactions encode").len();
        assert!(size <= 64 * 1024, "a transaction of {size} bytes");
        for write in &txn.writes {
            if let Write::Put { lease: Some(lease), .. } = write
                && !self.leases.contains_key(lease)
            {
                return StoreResponse::NoSuchLease;
            }
        }
        let version = |key: &str| self.rows.get(key).map_or(0, |row| row.1);
        let mut failed: Vec<String> =
            txn.conditions.iter().filter(|c| version(&c.key) != c.version).map(|c| c.key.clone()).collect();
        if self.reports_one_failed_condition {
            failed.truncate(1);
        }
        if !failed.is_empty() {
            return StoreResponse::ConditionsFailed(failed);
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        self.writes += txn.writes.len() as u64;
        for write in &txn.writes {
            match write {
                Write::Put { key, value, lease } => {
                    let size = serde_json::to_vec(value).expect("values encode").len();
                    assert!(size <= self.max_value_bytes, "{key}: a value of {size} bytes");
                    self.largest_value_bytes = self.largest_value_bytes.max(size);
                    self.rows.insert(key.clone(), (value.clone(), self.revision, *lease));
                    let event = Event::Put { key: key.clone(), value: value.clone(), version: self.revision };
                    self.log.push((self.revision, event));
                }
                Write::Delete { key } => self.delete(key),
            }
        }
        if self.log.len() > self.max_log_events {
            let excess = self.log.len() - self.max_log_events;
            self.log.drain(..excess);
        }
        StoreResponse::Committed(self.revision)
    }
}
