//! Users' requests, on any node. What is told was read from, or written to, the state
//! service: a submission is answered once it is durable, a state that is not final is
//! validated there again. Final states are cached, since they never change.

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

/// Requests that wait for the store; more are turned away.
const MAX_PENDING_REQUESTS: usize = 512;
/// Users give up after 2 s on a query and 5 s on all else.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1600);
const CHANGE_TIMEOUT: Duration = Duration::from_millis(4000);

fn store_unresponsive() -> HttpResponse {
    HttpResponse::later(503, "the state service did not answer")
}

impl Node {
    /// Takes a request among those that wait, or turns it away at once.
    fn admit_request(&mut self, request: RequestId, limit: Duration) -> bool {
        let now = self.env.steady();
        if self.store_health.is_down(now) {
            self.env.respond(request, HttpResponse::later(503, "the state service does not answer"));
            return false;
        }
        if self.users.pending.len() >= MAX_PENDING_REQUESTS {
            self.env.respond(request, HttpResponse::later(429, "too many requests at once"));
            return false;
        }
        self.users.pending.insert(request, now + limit);
        true
    }

    /// Answers a request unless that was done before.
    fn respond(&mut self, request: RequestId, answer: HttpResponse) {
        if self.users.pending.remove(&request).is_some() {
            self.env.respond(request, answer);
        }
    }

    pub(crate) fn status(&mut self, request: RequestId, id: String) {
        if let Some(cached) = self.users.final_state(&id) {
            let answer = self.job_view(&id, &cached);
            self.env.respond(request, answer);
            return;
        }
        if self.admit_request(request, QUERY_TIMEOUT) {
            self.look_up(request, id);
        }
    }

    /// What a job's record says; `None` if it cannot be read.
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

    pub(crate) fn user_call_outcome(&mut self, call: UserCall, outcome: Outcome<StoreResponse>) {
        match call {
            UserCall::Compare { jobs } => self.comparison_outcome(jobs, outcome),
            UserCall::Read { job, requests } => self.read_outcome(job, requests, outcome),
            UserCall::Refresh { job, group } => self.refresh_outcome(&job, group, outcome),
            UserCall::Dependencies { admission, queried: asked } => {
                self.dependencies_outcome(admission, asked, outcome)
            }
            UserCall::Create(creation) => self.create_outcome(creation, outcome),
            UserCall::Refuse { request, job, answer } => self.refuse_outcome(request, job, answer, outcome),
            UserCall::CancelRead { request, job } => self.cancel_read_outcome(request, job, outcome),
            UserCall::CancelWrite { request, job, tasks } => self.cancel_write_outcome(request, job, tasks, outcome),
        }
    }

    /// A request that takes too long is answered while its user still listens.
    pub(crate) fn expire_user_requests(&mut self) {
        let now = self.env.steady();
        let down = self.store_health.is_down(now);
        let late: Vec<RequestId> = self
            .users
            .pending
            .iter()
            .filter(|(_, until)| down || **until <= now)
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in late {
            self.respond(request_id, HttpResponse::later(503, "the state service did not answer in time"));
        }
    }
}
