//! What controllers tell one another: progress for display, who leads, and how busy they are.

use std::time::{Duration, Instant};

use rushyoke_wire::peer::{PeerRequest, PeerResponse};

use crate::io::*;
use crate::jobs::Job;
use crate::term::{PeerControllers, Term};

use super::{BUSY, GAVE_WAY_LATELY, MUCH_LESS, Node, PEER_PERIOD};

/// A node whose answer to a question of this age is the last one still counts as answering.
const PEER_ANSWERS: Duration = Duration::from_secs(5);

/// What is known of another controller.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub(super) asked: Option<Instant>,
    pub(super) waiting: bool,
    /// The last fresh answer: when its question was asked, and what it said.
    pub(super) told: Option<(Instant, PeerResponse)>,
}

impl Node {
    pub(super) fn peers_tick(&mut self) {
        let now = self.env.steady();
        if self.progress_sent.is_some_and(|t| now.duration_since(t) < PEER_PERIOD) {
            return;
        }
        self.progress_sent = Some(now);
        let progress = self.term.as_mut().map(Term::take_progress).unwrap_or_default();
        let token = self.token();
        let full = self.term.as_ref().is_some_and(|term| {
            let bytes: usize = term.jobs.values().map(Job::memory_bytes).sum();
            term.jobs.len() >= self.env.policy.max_jobs || bytes >= self.env.facts.max_job_bytes
        });
        if token.is_some() {
            self.users.job_limit_reached = full;
        }
        for (label, peer) in &mut self.peers {
            if peer.waiting {
                continue;
            }
            peer.asked = Some(now);
            peer.waiting = true;
            let request = PeerRequest {
                label: self.env.facts.label.clone(),
                token,
                job_limit_reached: full,
                progress: progress.clone(),
            };
            self.env.outputs.push(Output::Peer { label: label.clone(), request });
        }
    }

    pub(super) fn peer_requested(&mut self, request_id: RequestId, request: PeerRequest) {
        if request.token.is_some() {
            self.users.update_progress(request.progress, self.env.policy.job_cache_size);
            self.users.job_limit_reached = request.job_limit_reached;
        }
        let response = PeerResponse {
            label: self.env.facts.label.clone(),
            incarnation: self.incarnation,
            store_ok: self.store_health.last_ok.is_some() && !self.store_health.is_down(self.env.steady()),
            token: self.token(),
            relays_to: self.relays_to(),
            busy_percent: (self.busy * 100.0) as u8,
        };
        let body = rushyoke_wire::peer::encode(&response);
        self.env.respond(request_id, HttpResponse { status: 200, body, retry_after_s: None });
        if let (Some(own), Some(theirs)) = (self.token(), request.token)
            && theirs > own
        {
            self.step_down("a peer leads with a higher token");
        }
    }

    pub(super) fn peer_responded(&mut self, label: &str, outcome: Outcome<PeerResponse>) {
        let Some(peer) = self.peers.get_mut(label) else {
            return;
        };
        peer.waiting = false;
        let (Outcome::Responded(response), Some(asked)) = (outcome, peer.asked) else {
            return;
        };
        if response.label != label {
            return;
        }
        peer.told = Some((asked, response));
        self.judge_old_leader();
    }

    /// Once every other node has answered a question asked in this term and none acts
    /// with an older token, no earlier leader can renew any worker's lease again.
    fn judge_old_leader(&mut self) {
        let Some(term) = &mut self.term else { return };
        let mut latest = term.started_at;
        for peer in self.peers.values() {
            match &peer.told {
                Some((asked, response))
                    if *asked >= term.started_at && response.token.is_none_or(|t| t >= term.token) =>
                {
                    latest = latest.max(*asked);
                }
                _ => return,
            }
        }
        term.set_predecessors_inactive(self.env.now.steady.max(latest));
    }

    /// Which other nodes answer, and from where.
    pub(super) fn controllers_seen(&self) -> PeerControllers {
        let now = self.env.steady();
        let lately = |at: Instant, limit| now.duration_since(at) < limit;
        let answers = |peer: &Peer| peer.told.as_ref().is_some_and(|(asked, _)| lately(*asked, PEER_ANSWERS));
        let answering = || self.peers.iter().filter(|(_, peer)| answers(peer)).map(|(label, _)| label);
        PeerControllers {
            total: self.peers.len(),
            responding: answering().count(),
            zones: answering().filter_map(|label| self.env.facts.controller_zones.get(label).cloned()).collect(),
            recently_stepped_down: self.gave_way.is_some_and(|at| lately(at, GAVE_WAY_LATELY)),
        }
    }

    /// The other node that has most time to spare, if it is much less busy than this one.
    pub(crate) fn idlest_follower(&self) -> Option<String> {
        let now = self.env.steady();
        let token = self.token();
        let followers = self.peers.iter().filter_map(|(label, peer)| {
            let (asked, response) = peer.told.as_ref()?;
            let fresh = now.duration_since(*asked) < PEER_PERIOD * 2;
            (fresh && response.relays_to.is_some() && response.relays_to == token)
                .then_some((response.busy_percent, label))
        });
        let (busy, label) = followers.min()?;
        (self.busy >= BUSY && self.busy * 100.0 >= f64::from(busy) + MUCH_LESS).then(|| label.clone())
    }
}
