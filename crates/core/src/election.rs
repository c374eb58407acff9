//! Leadership: one key on a short lease of the state service. Its version is the token
//! (`token`) under which the leader writes to the store and commands the workers.
//!
//! Guards against two leads acting at once: every write of a leader names the key's
//! version, workers drop older tokens, and a leader that the store no longer confirms
//! stops answering reports after a known time (`self_fencing_timeout`).

pub(crate) mod state;

use std::time::{Duration, Instant};

use rushyoke_wire::store::{Event, Item, Txn};

use crate::calls::{ElectionCall, Purpose};
use crate::io::{Outcome, StoreOp, StoreResponse, Urgency};
use crate::node::{Node, REST};
use state::{Holder, LEADER_KEY, Phase};

const WATCH_MS: u64 = 20_000;
const RETRY: Duration = Duration::from_millis(300);
const HEARD: Duration = Duration::from_secs(8);
const COURTESY: Duration = Duration::from_millis(200);

impl Node {
    pub(crate) fn election_lost(&mut self) {
        let now = self.env.steady();
        if let Some(Phase::Leading { lease, .. }) = self.election.phase {
            self.env.call_store(
                Purpose::Election(ElectionCall::EndLease),
                Urgency::Leadership,
                StoreOp::EndLease(lease),
            );
        }
        self.election.holder = None;
        self.election.read_at(now + RETRY);
    }

    pub(crate) fn election_tick(&mut self) {
        let now = self.env.steady();
        match &mut self.election.phase {
            None => self.read_holder(),
            Some(Phase::Unread { from }) if *from <= now => self.read_holder(),
            // One that hangs is not waited for: it alone would take most of the lease's life.
            Some(Phase::Leading { lease, touching, next_touch, .. })
                if touching.map_or(*next_touch, |sent| sent + self.env.policy.leader_lease / 3) <= now =>
            {
                *touching = Some(now);
                let lease = *lease;
                self.env.call_store(
                    Purpose::Election(ElectionCall::RenewLease { sent: now }),
                    Urgency::Leadership,
                    StoreOp::RenewLease(lease),
                );
            }
            _ => {}
        }
    }

    fn read_holder(&mut self) {
        self.election.phase = Some(Phase::Busy);
        let op = StoreOp::List { prefix: LEADER_KEY.into(), after: String::new() };
        self.env.call_store(Purpose::Election(ElectionCall::Read), Urgency::Leadership, op);
    }

    fn watch_holder(&mut self, after: u64) {
        if self.election.watching {
            return;
        }
        self.election.watching = true;
        let op = StoreOp::Watch { prefix: LEADER_KEY.into(), after, wait_ms: WATCH_MS };
        self.env.call_store(Purpose::Election(ElectionCall::Watch), Urgency::Leadership, op);
    }

    pub(crate) fn election_outcome(&mut self, call: ElectionCall, outcome: Outcome<StoreResponse>) {
        let now = self.env.steady();
        match (call, outcome) {
            (ElectionCall::Read, Outcome::Responded(StoreResponse::Page(page))) => {
                self.watch_holder(page.revision);
                if page.revision < self.election.seen {
                    self.election.read_at(now);
                } else if !matches!(self.election.phase, Some(Phase::Leading { .. })) {
                    self.holder_found(page.rows.into_iter().find(|row| row.key == LEADER_KEY));
                }
            }
            (ElectionCall::Watch, Outcome::Responded(StoreResponse::Changes(changes))) => {
                self.election.watching = false;
                self.watch_holder(changes.revision);
                self.election.seen = self.election.seen.max(changes.revision);
                for event in changes.events {
                    self.holder_event(event);
                }
            }
            (ElectionCall::Watch, _) => {
                self.election.watching = false;
                if let Some(Phase::Leading { .. }) = self.election.phase {
                    // Renewals and fenced writes tell a leader all it needs; the next
                    // read after stepping down opens the watch again.
                } else {
                    self.election.read_at(now + RETRY);
                }
            }
            (ElectionCall::DeleteOwnKey, Outcome::Responded(StoreResponse::Committed(_))) => self.compete(),
            (ElectionCall::Lease { sent }, Outcome::Responded(StoreResponse::Lease(lease))) => {
                let value = serde_json::to_value(&self.election.me).expect("holders always encode");
                let txn = Txn::default().when(LEADER_KEY, 0).put_leased(LEADER_KEY, value, lease);
                self.env.call_store(
                    Purpose::Election(ElectionCall::Claim { lease, sent }),
                    Urgency::Leadership,
                    StoreOp::Txn(txn),
                );
            }
            (ElectionCall::Claim { lease, sent }, Outcome::Responded(StoreResponse::Committed(token))) => {
                self.election.holder = Some(Holder { record: self.election.me.clone(), version: token });
                let next_touch = now + self.env.policy.leader_lease / 3;
                self.election.phase = Some(Phase::Leading { lease, confirmed: sent, touching: None, next_touch });
                self.begin_term(token);
            }
            (ElectionCall::Claim { lease, .. }, Outcome::Responded(_)) => {
                self.env.call_store(Purpose::Election(ElectionCall::EndLease), Urgency::Low, StoreOp::EndLease(lease));
                self.election.read_at(now);
            }
            (ElectionCall::RenewLease { sent }, outcome) => self.touched(sent, outcome),
            (ElectionCall::EndLease, _) => {}
            // An unanswered claim may have been carried out, or may be yet: the key, once
            // read, shows our label, and is dropped on its version like that of an
            // earlier incarnation.
            (
                ElectionCall::Read
                | ElectionCall::DeleteOwnKey
                | ElectionCall::Lease { .. }
                | ElectionCall::Claim { .. },
                _,
            ) => {
                if !matches!(self.election.phase, Some(Phase::Leading { .. })) {
                    self.election.read_at(now + RETRY);
                }
            }
        }
    }

    fn touched(&mut self, sent: Instant, outcome: Outcome<StoreResponse>) {
        let now = self.env.steady();
        let ttl = self.env.policy.leader_lease;
        let Some(Phase::Leading { confirmed, touching, next_touch, .. }) = &mut self.election.phase else {
            return;
        };
        let newest = *touching == Some(sent);
        if newest {
            *touching = None;
        }
        match outcome {
            Outcome::Responded(StoreResponse::LeaseOk) => {
                *confirmed = sent.max(*confirmed);
                *next_touch = sent + ttl / 3;
                if let Some(term) = &mut self.term
                    && term.lease_renewed(sent, ttl, &self.env.facts)
                {
                    self.step_down("the lease is renewed, but what users cancel is not heard");
                    self.election.rest(now, REST);
                }
            }
            Outcome::Responded(StoreResponse::NoSuchLease) => self.step_down("the lease has ended"),
            _ if newest => *next_touch = now + RETRY,
            _ => {}
        }
    }

    fn holder_event(&mut self, event: Event) {
        match event {
            Event::Put { key, value, version } if key == LEADER_KEY => {
                if self.token().is_some_and(|own| version > own) {
                    self.step_down("the leader key has changed hands");
                } else if self.token().is_some() {
                    return;
                }
                if matches!(self.election.phase, Some(Phase::Following | Phase::Unread { .. })) {
                    self.holder_found(Some(Item { key, value, version }));
                }
            }
            Event::Delete { key, version } if key == LEADER_KEY => {
                let now = self.env.steady();
                if self.token().is_some_and(|own| version > own) {
                    self.step_down("the leader key is gone");
                    return;
                }
                if self.token().is_none() {
                    self.election.holder = None;
                    if matches!(self.election.phase, Some(Phase::Following | Phase::Unread { .. })) {
                        // Workers whose leader is out of reach try the other nodes: one that
                        // hears of none may be cut off from them too, and lets others go first.
                        let heard = self.election.worker_seen.is_some_and(|t| now.duration_since(t) < HEARD);
                        if heard { self.compete() } else { self.election.read_at(now + COURTESY) }
                    }
                }
            }
            _ => {}
        }
    }

    fn holder_found(&mut self, item: Option<Item>) {
        let holder = item
            .and_then(|item| Some(Holder { record: serde_json::from_value(item.value).ok()?, version: item.version }));
        self.election.holder = holder;
        match &self.election.holder {
            None => self.compete(),
            Some(holder) if holder.record.label == self.election.me.label => {
                tracing::info!(version = holder.version, "dropping the leader key of an earlier incarnation");
                let txn = Txn::default().when(LEADER_KEY, holder.version).delete(LEADER_KEY);
                self.election.phase = Some(Phase::Busy);
                self.env.call_store(
                    Purpose::Election(ElectionCall::DeleteOwnKey),
                    Urgency::Leadership,
                    StoreOp::Txn(txn),
                );
            }
            Some(holder) => {
                tracing::debug!(leader = holder.record.label, "following");
                self.election.phase = Some(Phase::Following);
            }
        }
    }

    fn compete(&mut self) {
        self.election.holder = None;
        if let Some(until) = self.election.rests_until.filter(|until| *until > self.env.steady()) {
            self.election.read_at(until);
            return;
        }
        self.election.phase = Some(Phase::Busy);
        let ttl_ms = self.env.policy.leader_lease.as_millis() as u64;
        let sent = self.env.steady();
        self.env.call_store(
            Purpose::Election(ElectionCall::Lease { sent }),
            Urgency::Leadership,
            StoreOp::NewLease { ttl_ms },
        );
    }
}
