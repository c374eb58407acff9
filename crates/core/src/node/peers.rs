//! Messages between controllers: job progress for display, who leads, and how busy each one is.

use std::time::{Duration, Instant};

use rushyoke_wire::peer::{PeerRequest, PeerResponse};

use crate::io::*;
use crate::jobs::Job;
use crate::term::{PeerControllers, Term};

use super::{MIN_REDIRECT_BUSY_SHARE, MIN_REDIRECT_GAP_PERCENT, Node, PEER_REQUEST_INTERVAL, RECENT_STEP_DOWN_AGE};

/// A node counts as responding if its last response was to a request of at most this age.
const MAX_RESPONSE_AGE: Duration = Duration::from_secs(5);

/// State of another controller, as seen by this one.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// When the last request was sent.
    pub(super) requested_at: Option<Instant>,
    pub(super) request_pending: bool,
    /// The last response, and when its request was sent.
    pub(super) last_response: Option<(Instant, PeerResponse)>,
}

impl Node {
    /// Sends a request to each other controller, if that is due.
    pub(super) fn peers_tick(&mut self) {
        let now = self.env.steady();
        if self.peer_requests_sent_at.is_some_and(|at| now.duration_since(at) < PEER_REQUEST_INTERVAL) {
            return;
        }
        self.peer_requests_sent_at = Some(now);
        let progress = self.term.as_mut().map(Term::take_progress).unwrap_or_default();
        let token = self.token();
        let limit_reached = self.term.as_ref().is_some_and(|term| {
            let bytes: usize = term.jobs.values().map(Job::memory_bytes).sum();
            term.jobs.len() >= self.env.policy.max_jobs || bytes >= self.env.facts.max_job_bytes
        });
        if token.is_some() {
            self.users.job_limit_reached = limit_reached;
        }
        for (label, peer) in &mut self.peers {
            if peer.request_pending {
                continue;
            }
            peer.requested_at = Some(now);
            peer.request_pending = true;
            let request = PeerRequest {
                label: self.env.facts.label.clone(),
                token,
                job_limit_reached: limit_reached,
                progress: progress.clone(),
            };
            self.env.outputs.push(Output::Peer { label: label.clone(), request });
        }
    }

    /// Responds to another controller's request. A leader first steps down if the request shows a higher token.
    pub(super) fn peer_requested(&mut self, request_id: RequestId, request: PeerRequest) {
        if let Some(token) = request.token {
            self.peer_token_seen(token);
        }
        if request.token.is_some() {
            self.users.update_progress(request.progress, self.env.policy.job_cache_size);
            self.users.job_limit_reached = request.job_limit_reached;
        }
        let response = PeerResponse {
            label: self.env.facts.label.clone(),
            incarnation: self.incarnation,
            store_ok: self.store_health.last_success_at.is_some() && !self.store_health.is_down(self.env.steady()),
            token: self.token(),
            relays_to: self.relays_to(),
            busy_percent: (self.busy_share * 100.0) as u8,
            lowest_token: Some(self.election.lowest_usable_token()),
        };
        self.env.respond(request_id, HttpResponse { status: 200, body: response.encode(), retry_after_s: None });
    }

    /// Records a token that another controller has shown, and steps down if it is higher than this leader's own.
    fn peer_token_seen(&mut self, token: u64) {
        self.election.observe_token(token);
        if self.token().is_some_and(|own| token > own) {
            self.step_down("a peer knows a higher token");
        }
    }

    /// Handles the outcome of a request to another controller.
    pub(super) fn peer_responded(&mut self, label: &str, outcome: Outcome<PeerResponse>) {
        let Some(peer) = self.peers.get_mut(label) else {
            return;
        };
        peer.request_pending = false;
        let (Outcome::Responded(response), Some(requested_at)) = (outcome, peer.requested_at) else {
            return;
        };
        if response.label != label {
            return;
        }
        let lowest_token = response.lowest_token;
        peer.last_response = Some((requested_at, response));
        if let Some(token) = lowest_token {
            self.peer_token_seen(token);
        }
        self.check_predecessors();
    }

    /// Checks whether earlier leaders are inactive: once every other node has promised to act with no token below
    /// this leader's, no earlier leader can renew a worker's lease. That a node does not lead at the moment is not
    /// enough: the response to an earlier claim of its own may still come.
    fn check_predecessors(&mut self) {
        let Some(term) = &mut self.term else { return };
        let has_promised = |peer: &Peer| {
            let lowest_token = peer.last_response.as_ref().and_then(|(_, response)| response.lowest_token);
            lowest_token.is_some_and(|lowest| lowest >= term.token)
        };
        if self.peers.values().all(has_promised) {
            term.set_predecessors_inactive(self.env.now.steady);
        }
    }

    /// Returns how many other controllers there are, which of them respond, and from which zones.
    pub(super) fn peer_controllers(&self) -> PeerControllers {
        let now = self.env.steady();
        let is_recent = |at: Instant, limit| now.duration_since(at) < limit;
        let responds = |peer: &Peer| {
            peer.last_response.as_ref().is_some_and(|(requested_at, _)| is_recent(*requested_at, MAX_RESPONSE_AGE))
        };
        let responding_peers = || self.peers.iter().filter(|(_, peer)| responds(peer)).map(|(label, _)| label);
        PeerControllers {
            total: self.peers.len(),
            responding: responding_peers().count(),
            zones: responding_peers().filter_map(|label| self.env.facts.controller_zones.get(label).cloned()).collect(),
            recently_stepped_down: self.minority_step_down_at.is_some_and(|at| is_recent(at, RECENT_STEP_DOWN_AGE)),
        }
    }

    /// Returns the least busy follower, if it is much less busy than this node.
    pub(crate) fn least_busy_follower(&self) -> Option<String> {
        let now = self.env.steady();
        let token = self.token();
        let followers = self.peers.iter().filter_map(|(label, peer)| {
            let (requested_at, response) = peer.last_response.as_ref()?;
            let fresh = now.duration_since(*requested_at) < PEER_REQUEST_INTERVAL * 2;
            (fresh && response.relays_to.is_some() && response.relays_to == token)
                .then_some((response.busy_percent, label))
        });
        let (busy, label) = followers.min()?;
        (self.busy_share >= MIN_REDIRECT_BUSY_SHARE
            && self.busy_share * 100.0 >= f64::from(busy) + MIN_REDIRECT_GAP_PERCENT)
            .then(|| label.clone())
    }
}
