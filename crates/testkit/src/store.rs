//! A fake state service.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_core::{StoreOp, StoreResponse};
use rushyoke_wire::store::{Changes, Event, Item, Page, Txn, Write};
use serde_json::Value;

/// Default number of changes kept for watches.
const DEFAULT_LOG_EVENTS: usize = 10_000;
/// Default limit of writes in a transaction.
const DEFAULT_TXN_WRITES: usize = 16;
/// Default limit of a value's size.
const DEFAULT_VALUE_BYTES: usize = 8 * 1024;

/// A fake state service, which keeps its keys in memory. Use beyond its limits fails the test.
#[derive(Default)]
pub struct Store {
    /// Value, version and lease of each key.
    pub rows: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// Revision of the last change.
    pub revision: u64,
    /// Changes with their revisions, oldest first.
    log: Vec<(u64, Event)>,
    /// Time to live and expiry time of each lease.
    leases: BTreeMap<u64, (Duration, Duration)>,
    /// Number of the lease granted last.
    last_lease: u64,
    /// Whether the service is unavailable.
    pub outage: bool,
    /// Largest number of writes in a transaction; four times as many conditions are allowed.
    pub max_txn_writes: usize,
    /// Largest size of a value, in bytes of JSON.
    pub max_value_bytes: usize,
    /// Whether a refused transaction names only the first key whose condition failed.
    pub reports_one_failed_condition: bool,
    /// Size of the largest value written so far.
    pub largest_value_bytes: usize,
    /// Largest number of rows in a page of a list.
    pub page_size: usize,
    /// Number of changes kept for watches; older ones are compacted.
    pub max_log_events: usize,
    /// Number of puts and deletes executed.
    pub writes: u64,
    /// Number of requests executed, without watches.
    pub requests: u64,
}

impl Store {
    /// Returns an empty store.
    pub fn new() -> Store {
        Store {
            page_size: 1000,
            max_log_events: DEFAULT_LOG_EVENTS,
            max_txn_writes: DEFAULT_TXN_WRITES,
            max_value_bytes: DEFAULT_VALUE_BYTES,
            ..Store::default()
        }
    }

    /// Expires the leases that were not renewed in time. Returns whether this deleted keys.
    pub fn expire_leases(&mut self, now: Duration) -> bool {
        if self.outage {
            return false;
        }
        let is_expired = |expires_at: Duration| expires_at <= now;
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| is_expired(*expires_at))
            .map(|(lease, _)| *lease)
            .collect();
        let revision_before = self.revision;
        for lease in expired {
            self.end_lease(lease);
        }
        self.revision > revision_before
    }

    /// Ends an outage. All leases get their full time to live again.
    pub fn end_outage(&mut self, now: Duration) {
        self.outage = false;
        for (ttl, expires_at) in self.leases.values_mut() {
            *expires_at = now + *ttl;
        }
    }

    /// Removes a lease and deletes its keys.
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.rows.iter().filter(|(_, row)| row.2 == Some(lease)).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in &keys {
            self.delete(key);
        }
    }

    /// Deletes a key at the current revision.
    fn delete(&mut self, key: &str) {
        if self.rows.remove(key).is_some() {
            self.log.push((self.revision, Event::Delete { key: key.into(), version: self.revision }));
        }
    }

    /// Returns the response to a watch if there are changes after the given revision, or if they may have been
    /// compacted.
    pub fn watch(&self, prefix: &str, after: u64) -> Option<StoreResponse> {
        if self.log.len() >= self.max_log_events && self.log.first().is_some_and(|(revision, _)| *revision > after + 1)
        {
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

    /// Executes an operation.
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
                self.last_lease += 1;
                let ttl = Duration::from_millis(*ttl_ms);
                self.leases.insert(self.last_lease, (ttl, now + ttl));
                StoreResponse::Lease(self.last_lease)
            }
            StoreOp::RenewLease(lease) => match self.leases.get_mut(lease) {
                Some((ttl, expires_at)) => {
                    *expires_at = now + *ttl;
                    StoreResponse::LeaseOk
                }
                None => StoreResponse::NoSuchLease,
            },
            StoreOp::EndLease(lease) => {
                self.end_lease(*lease);
                StoreResponse::LeaseOk
            }
            StoreOp::Watch { .. } => unreachable!("the simulation handles watches"),
        }
    }

    /// Executes a transaction.
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
        let mut failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|condition| version(&condition.key) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
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
