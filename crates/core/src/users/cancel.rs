//! Cancellations by users: any node writes them, and responds once they are durable.

use rushyoke_wire::store::{Item, Txn};

use super::cache::CachedJob;
use super::{CHANGE_TIMEOUT, store_unresponsive};
use crate::calls::{Purpose, UserCall};
use crate::io::*;
use crate::jobs::*;
use crate::node::Node;

impl Node {
    /// Handles a user's cancellation of a job.
    pub(crate) fn cancel(&mut self, request: RequestId, id: String) {
        if let Some(cached) = self.users.final_state(&id) {
            let response = self.job_view(&id, &cached);
            self.env.respond(request, response);
            return;
        }
        if self.admit_request(request, CHANGE_TIMEOUT) {
            self.read_to_cancel(request, id);
        }
    }

    /// Reads the live record of a job that is to be cancelled.
    fn read_to_cancel(&mut self, request: RequestId, job: String) {
        let op = StoreOp::Get(live_key(&job));
        self.env.call_store(Purpose::User(UserCall::CancelRead { request, job }), Urgency::High, op);
    }

    /// Handles the outcome of the read before a cancellation.
    pub(super) fn cancel_read_outcome(&mut self, request: RequestId, job: String, outcome: Outcome<StoreResponse>) {
        match outcome {
            Outcome::Responded(StoreResponse::Item(Some(item))) => self.write_cancellation(request, job, item),
            // The job has ended or was never accepted.
            Outcome::Responded(StoreResponse::Item(None)) => self.look_up(request, job),
            _ => self.respond(request, store_unresponsive()),
        }
    }

    /// Writes a job's cancellation to both of its records.
    fn write_cancellation(&mut self, request: RequestId, job: String, item: Item) {
        let Ok(mut live) = serde_json::from_value::<LiveRecord>(item.value) else {
            self.respond(request, HttpResponse::later(503, "the job's record cannot be read"));
            return;
        };
        if live.cancelled {
            self.look_up(request, job);
            return;
        }
        live.cancelled = true;
        let tasks = live.spec.tasks;
        let mut value = serde_json::to_value(&live).expect("records always encode");
        if value.to_string().len() > self.env.facts.value_bytes {
            // The record was written under a larger limit on values. A cancelled job needs neither of these lists.
            live.spec.types = None;
            live.spec.dependencies.clear();
            value = serde_json::to_value(live).expect("records always encode");
        }
        let record = JobRecord::terminal(RecordState::Cancelled, tasks);
        // Both keys are always written together, so they have the same version.
        let txn = Txn::default()
            .when(job_key(&job), item.version)
            .when(live_key(&job), item.version)
            .put(job_key(&job), serde_json::to_value(record).expect("records always encode"))
            .put(live_key(&job), value);
        let call = UserCall::CancelWrite { request, job, tasks };
        self.env.call_store(Purpose::User(call), Urgency::High, StoreOp::Txn(txn));
    }

    /// Handles the outcome of writing a cancellation.
    pub(super) fn cancel_write_outcome(
        &mut self,
        request: RequestId,
        job: String,
        tasks: u32,
        outcome: Outcome<StoreResponse>,
    ) {
        match outcome {
            Outcome::Responded(StoreResponse::Committed(version)) => {
                let cached = CachedJob::ended(RecordState::Cancelled, tasks, version);
                self.users.cache.insert(&job, cached.clone(), self.env.policy.job_cache_size);
                self.users.progress.remove(&job);
                self.respond_with_job(&job, Some(cached), vec![request]);
            }
            Outcome::Responded(StoreResponse::ConditionsFailed(_)) => {
                // The record has changed since it was read; try again while the user waits.
                if self.users.pending.contains_key(&request) {
                    self.read_to_cancel(request, job);
                }
            }
            _ => self.respond(request, store_unresponsive()),
        }
    }
}
