//! Leader election: the leader holds one key with a short lease in the state service. The key's
//! version is the fencing token (`token`) for the leader's writes to the store and its orders.
//!
//! Two leaders never act at once: every write of a leader has the key's version as a condition,
//! workers reject older tokens, and a leader whose lease is no longer confirmed stops responding
//! to reports after a known time (`self_fencing_timeout`). A term begins only while the lease of its claim has
//! certainly not ended, however late the response to the claim comes, and only with the highest token that this node
//! has seen: it promises the other controllers to act with no lower one.

pub(crate) mod state;

use std::time::{Duration, Instant};

use rushyoke_wire::store::{Event, Item, Txn};

use crate::calls::{ElectionCall, Purpose};
use crate::facts::CLOCK_DRIFT_FACTOR;
use crate::io::{Outcome, StoreOp, StoreResponse, Urgency};
use crate::node::{CANDIDACY_PAUSE, Node};
use state::{LEADER_KEY, Leader, Phase};

/// How long a watch on the leader key waits for a change.
const WATCH_WAIT_MS: u64 = 20_000;
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// A node with a worker's report of at most this age is a candidate without delay.
const RECENT_REPORT_AGE: Duration = Duration::from_secs(8);
/// How long a node without recent reports leaves the candidacy to others.
const CANDIDACY_DELAY: Duration = Duration::from_millis(200);

impl Node {
    /// Ends this node's lease, if it leads, and returns to reading the leader key.
    pub(crate) fn release_leadership(&mut self) {
        let now = self.env.steady();
        if let Some(Phase::Leading { lease, .. }) = self.election.phase {
            self.env.call_store(
                Purpose::Election(ElectionCall::EndLease),
                Urgency::Leadership,
                StoreOp::EndLease(lease),
            );
        }
        self.election.leader = None;
        self.election.schedule_read(now + RETRY_DELAY);
    }

    /// Reads the leader key or renews the lease, if either is due.
    pub(crate) fn election_tick(&mut self) {
        let now = self.env.steady();
        match &mut self.election.phase {
            None => self.read_leader_key(),
            Some(Phase::ReadDue { at }) if *at <= now => self.read_leader_key(),
            // A renewal that hangs isn't waited for: it alone could take most of the lease's duration.
            Some(Phase::Leading { lease, renewal_sent_at, next_renewal_at, .. })
                if renewal_sent_at.map_or(*next_renewal_at, |sent_at| sent_at + self.env.policy.leader_lease / 3)
                    <= now =>
            {
                *renewal_sent_at = Some(now);
                let lease = *lease;
                self.env.call_store(
                    Purpose::Election(ElectionCall::RenewLease { sent_at: now }),
                    Urgency::Leadership,
                    StoreOp::RenewLease(lease),
                );
            }
            _ => {}
        }
    }

    /// Requests the current state of the leader key.
    fn read_leader_key(&mut self) {
        self.election.phase = Some(Phase::CallPending);
        let op = StoreOp::List { prefix: LEADER_KEY.into(), after: String::new() };
        self.env.call_store(Purpose::Election(ElectionCall::Read), Urgency::Leadership, op);
    }

    /// Opens a watch on the leader key, unless one is open.
    fn watch_leader_key(&mut self, after: u64) {
        if self.election.watch_open {
            return;
        }
        self.election.watch_open = true;
        let op = StoreOp::Watch { prefix: LEADER_KEY.into(), after, wait_ms: WATCH_WAIT_MS };
        self.env.call_store(Purpose::Election(ElectionCall::Watch), Urgency::Leadership, op);
    }

    /// Handles the outcome of a call that concerns leadership.
    pub(crate) fn election_outcome(&mut self, call: ElectionCall, outcome: Outcome<StoreResponse>) {
        let now = self.env.steady();
        match (call, outcome) {
            (ElectionCall::Read, Outcome::Responded(StoreResponse::Page(page))) => {
                self.watch_leader_key(page.revision);
                if page.revision < self.election.watched_revision {
                    self.election.schedule_read(now);
                } else if !matches!(self.election.phase, Some(Phase::Leading { .. })) {
                    self.leader_key_read(page.rows.into_iter().find(|row| row.key == LEADER_KEY));
                }
            }
            (ElectionCall::Watch, Outcome::Responded(StoreResponse::Changes(changes))) => {
                self.election.watch_open = false;
                self.watch_leader_key(changes.revision);
                self.election.watched_revision = self.election.watched_revision.max(changes.revision);
                for event in changes.events {
                    self.leader_key_changed(event);
                }
            }
            (ElectionCall::Watch, _) => {
                self.election.watch_open = false;
                // Renewals and conditional writes tell a leader all it needs, and a candidate must not read the key
                // that it is claiming: it would take it for one of an earlier incarnation. The next read opens the
                // watch again.
                if matches!(self.election.phase, Some(Phase::Following | Phase::ReadDue { .. })) {
                    self.election.schedule_read(now + RETRY_DELAY);
                }
            }
            (ElectionCall::DeleteOwnKey, Outcome::Responded(StoreResponse::Committed(_))) => self.campaign(),
            (ElectionCall::NewLease { sent_at }, Outcome::Responded(StoreResponse::Lease(lease))) => {
                let value = serde_json::to_value(&self.election.own_record).expect("leader records always encode");
                let txn = Txn::default().when(LEADER_KEY, 0).put_leased(LEADER_KEY, value, lease);
                self.env.call_store(
                    Purpose::Election(ElectionCall::Claim { lease, sent_at }),
                    Urgency::Leadership,
                    StoreOp::Txn(txn),
                );
            }
            (ElectionCall::Claim { lease, sent_at }, Outcome::Responded(StoreResponse::Committed(token))) => {
                self.claim_committed(lease, sent_at, token);
            }
            (ElectionCall::Claim { lease, .. }, Outcome::Responded(_)) => self.abandon_claim(lease),
            (ElectionCall::RenewLease { sent_at }, outcome) => self.renewal_outcome(sent_at, outcome),
            (ElectionCall::EndLease, _) => {}
            // A claim without a response may have been executed, or may still be. Once a read shows the
            // key with this node's label, it is deleted like that of an earlier incarnation.
            (
                ElectionCall::Read
                | ElectionCall::DeleteOwnKey
                | ElectionCall::NewLease { .. }
                | ElectionCall::Claim { .. },
                _,
            ) => {
                if !matches!(self.election.phase, Some(Phase::Leading { .. })) {
                    self.election.schedule_read(now + RETRY_DELAY);
                }
            }
        }
    }

    /// Begins a term after this node's claim, unless another node may lead by now: the lease may have ended since, or a
    /// higher token has been seen.
    fn claim_committed(&mut self, lease: u64, lease_requested_at: Instant, token: u64) {
        let age = self.env.steady().duration_since(lease_requested_at);
        let ttl = self.env.policy.leader_lease;
        if age.mul_f64(CLOCK_DRIFT_FACTOR) >= ttl || token < self.election.lowest_usable_token() {
            tracing::info!(token, age_ms = age.as_millis() as u64, "the response to the claim came too late");
            self.abandon_claim(lease);
            return;
        }
        self.election.observe_token(token);
        self.election.leader = Some(Leader { record: self.election.own_record.clone(), version: token });
        self.election.phase = Some(Phase::Leading {
            lease,
            confirmed_at: lease_requested_at,
            renewal_sent_at: None,
            next_renewal_at: lease_requested_at + ttl / 3,
        });
        self.begin_term(token);
    }

    /// Gives up a candidacy: ends its lease, and with it the key if that was written, and reads the key again.
    fn abandon_claim(&mut self, lease: u64) {
        let now = self.env.steady();
        self.env.call_store(Purpose::Election(ElectionCall::EndLease), Urgency::Low, StoreOp::EndLease(lease));
        self.election.schedule_read(now);
    }

    /// Handles the outcome of a lease renewal.
    fn renewal_outcome(&mut self, sent_at: Instant, outcome: Outcome<StoreResponse>) {
        let now = self.env.steady();
        let ttl = self.env.policy.leader_lease;
        let Some(Phase::Leading { confirmed_at, renewal_sent_at, next_renewal_at, .. }) = &mut self.election.phase
        else {
            return;
        };
        let newest = *renewal_sent_at == Some(sent_at);
        if newest {
            *renewal_sent_at = None;
        }
        match outcome {
            Outcome::Responded(StoreResponse::LeaseOk) => {
                *confirmed_at = sent_at.max(*confirmed_at);
                *next_renewal_at = sent_at + ttl / 3;
                if let Some(term) = &mut self.term
                    && term.lease_renewed(sent_at, ttl, &self.env.facts)
                {
                    self.step_down("the lease is renewed, but cancellations cannot be read");
                    self.election.delay_candidacy(now, CANDIDACY_PAUSE);
                }
            }
            Outcome::Responded(StoreResponse::NoSuchLease) => self.step_down("the leader's lease has expired"),
            _ if newest => *next_renewal_at = now + RETRY_DELAY,
            _ => {}
        }
    }

    /// Handles a change of the leader key.
    fn leader_key_changed(&mut self, event: Event) {
        match event {
            Event::Put { key, value, version } if key == LEADER_KEY => {
                self.election.observe_token(version);
                if self.token().is_some_and(|own| version > own) {
                    self.step_down("another node holds the leader key");
                } else if self.token().is_some() {
                    return;
                }
                if matches!(self.election.phase, Some(Phase::Following | Phase::ReadDue { .. })) {
                    self.leader_key_read(Some(Item { key, value, version }));
                }
            }
            Event::Delete { key, version } if key == LEADER_KEY => {
                let now = self.env.steady();
                if self.token().is_some_and(|own| version > own) {
                    self.step_down("the leader key was deleted");
                    return;
                }
                if self.token().is_none() {
                    self.election.leader = None;
                    if matches!(self.election.phase, Some(Phase::Following | Phase::ReadDue { .. })) {
                        // Workers that can't reach their leader try the other nodes. A node without
                        // recent reports may be partitioned from them too, so others go first.
                        let recent_report = self
                            .election
                            .last_worker_report
                            .is_some_and(|at| now.duration_since(at) < RECENT_REPORT_AGE);
                        if recent_report { self.campaign() } else { self.election.schedule_read(now + CANDIDACY_DELAY) }
                    }
                }
            }
            _ => {}
        }
    }

    /// Handles the current state of the leader key: follows, campaigns, or deletes this node's earlier key.
    fn leader_key_read(&mut self, item: Option<Item>) {
        let leader = item
            .and_then(|item| Some(Leader { record: serde_json::from_value(item.value).ok()?, version: item.version }));
        if let Some(leader) = &leader {
            self.election.observe_token(leader.version);
        }
        self.election.leader = leader;
        match &self.election.leader {
            None => self.campaign(),
            Some(leader) if leader.record.label == self.election.own_record.label => {
                tracing::info!(version = leader.version, "deleting the leader key of an earlier incarnation");
                let txn = Txn::default().when(LEADER_KEY, leader.version).delete(LEADER_KEY);
                self.election.phase = Some(Phase::CallPending);
                self.env.call_store(
                    Purpose::Election(ElectionCall::DeleteOwnKey),
                    Urgency::Leadership,
                    StoreOp::Txn(txn),
                );
            }
            Some(leader) => {
                tracing::debug!(leader = leader.record.label, "following");
                self.election.phase = Some(Phase::Following);
            }
        }
    }

    /// Tries to become leader, unless this node must let others go first.
    fn campaign(&mut self) {
        self.election.leader = None;
        if let Some(until) = self.election.no_candidacy_before.filter(|until| *until > self.env.steady()) {
            self.election.schedule_read(until);
            return;
        }
        self.election.phase = Some(Phase::CallPending);
        let ttl_ms = self.env.policy.leader_lease.as_millis() as u64;
        let sent_at = self.env.steady();
        self.env.call_store(
            Purpose::Election(ElectionCall::NewLease { sent_at }),
            Urgency::Leadership,
            StoreOp::NewLease { ttl_ms },
        );
    }
}
