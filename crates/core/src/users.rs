//! Users' requests, which any node serves.
//!
//! Responses reflect the state service: a submission is confirmed once it is durable, and a cached state that is not
//! final is validated there before it is returned. Final states are served from the cache, since they never change.

mod cache;
mod cancel;
mod lookup;
mod lookup_queue;
pub(crate) mod state;
mod submit;

use std::time::Duration;

use rushyoke_wire::store::Item;

use crate::calls::UserCall;
use crate::io::*;
use crate::jobs::*;
use crate::node::Node;
use cache::CachedJob;

/// Largest number of requests that wait for the state service; further ones are rejected.
const MAX_PENDING_REQUESTS: usize = 512;
/// Time limit of a status query; users give up after 2 s.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1600);
/// Time limit of a submission or cancellation; users give up after 5 s.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(4000);

/// Returns the response to a request whose call to the state service failed.
fn store_unresponsive() -> HttpResponse {
    HttpResponse::later(503, "the state service did not answer")
}

impl Node {
    /// Adds a request to the pending ones, or rejects it at once; returns whether it was added.
    fn admit_request(&mut self, request: RequestId, timeout: Duration) -> bool {
        let now = self.env.steady();
        if self.store_health.is_down(now) {
            self.env.respond(request, HttpResponse::later(503, "the state service does not answer"));
            return false;
        }
        if self.users.pending.len() >= MAX_PENDING_REQUESTS {
            self.env.respond(request, HttpResponse::later(429, "too many requests at once"));
            return false;
        }
        self.users.pending.insert(request, now + timeout);
        true
    }

    /// Responds to a request unless it already has a response. The status of a submission that created a job is 201.
    fn respond(&mut self, request: RequestId, mut response: HttpResponse) {
        if self.users.created.remove(&request) && response.status == 200 {
            response.status = 201;
        }
        if self.users.pending.remove(&request).is_some() {
            self.env.respond(request, response);
        }
    }

    /// Handles a query for a job's status.
    pub(crate) fn status(&mut self, request: RequestId, id: String) {
        if let Some(cached) = self.users.final_state(&id) {
            let response = self.job_view(&id, &cached);
            self.env.respond(request, response);
            return;
        }
        if self.admit_request(request, QUERY_TIMEOUT) {
            self.look_up(request, id);
        }
    }

    /// Caches a job's record and returns it; `None` if it cannot be decoded.
    fn cache_record(&mut self, id: &str, item: Item) -> Option<CachedJob> {
        match serde_json::from_value::<JobRecord>(item.value) {
            Ok(record) => {
                let JobRecord { state, tasks, dependencies } = record;
                let cached = CachedJob { state, tasks, version: item.version, dependencies: dependencies.into() };
                if state != RecordState::Open {
                    self.users.progress.remove(id);
                }
                self.users.cache.insert(id, cached.clone(), self.env.policy.job_cache_size);
                Some(cached)
            }
            Err(error) => {
                tracing::error!(job = id, %error, "a record cannot be read");
                None
            }
        }
    }

    /// Handles the outcome of a call that a user's request made to the state service.
    pub(crate) fn user_call_outcome(&mut self, call: UserCall, outcome: Outcome<StoreResponse>) {
        match call {
            UserCall::Compare { jobs } => self.comparison_outcome(jobs, outcome),
            UserCall::Read { job, requests } => self.read_outcome(job, requests, outcome),
            UserCall::Refresh { job, group } => self.refresh_outcome(&job, group, outcome),
            UserCall::Dependencies { admission, queried } => self.dependencies_outcome(admission, queried, outcome),
            UserCall::Create(creation) => self.create_outcome(creation, outcome),
            UserCall::Refuse { request, job, response } => self.refuse_outcome(request, job, response, outcome),
            UserCall::CancelRead { request, job } => self.cancel_read_outcome(request, job, outcome),
            UserCall::CancelWrite { request, job, tasks } => self.cancel_write_outcome(request, job, tasks, outcome),
        }
    }

    /// Responds to requests whose time limit has passed, before their users give up, and to all pending ones while
    /// the state service is down.
    pub(crate) fn expire_user_requests(&mut self) {
        let now = self.env.steady();
        let down = self.store_health.is_down(now);
        let expired: Vec<RequestId> = self
            .users
            .pending
            .iter()
            .filter(|(_, deadline)| down || **deadline <= now)
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in expired {
            self.respond(request_id, HttpResponse::later(503, "the state service did not answer in time"));
        }
    }
}
