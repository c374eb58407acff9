//! Cancellations: durable before they are told, whichever node the user asks.

use rushyoke_wire::store::{Item, Txn};

use super::known::Known;
use super::{CHANGE_LIMIT, store_unsure};
use crate::calls::{Purpose, UserCall};
use crate::io::*;
use crate::jobs::*;
use crate::node::Node;

impl Node {
    pub(crate) fn cancel(&mut self, request: RequestId, id: String) {
        if let Some(known) = self.users.end_of(&id) {
            let answer = self.view(&id, &known);
            self.env.respond(request, answer);
            return;
        }
        if self.open(request, CHANGE_LIMIT) {
            self.read_to_cancel(request, id);
        }
    }

    fn read_to_cancel(&mut self, request: RequestId, job: String) {
        let op = StoreOp::Get(live_key(&job));
        self.env.call_store(Purpose::User(UserCall::CancelRead { request, job }), Urgency::High, op);
    }

    pub(super) fn cancel_read(&mut self, request: RequestId, job: String, outcome: Outcome<StoreResponse>) {
        match outcome {
            Outcome::Responded(StoreResponse::Item(Some(item))) => self.write_cancellation(request, job, item),
            // Not live: over, or never accepted.
            Outcome::Responded(StoreResponse::Item(None)) => self.look_up(request, job),
            _ => self.close(request, store_unsure()),
        }
    }

    fn write_cancellation(&mut self, request: RequestId, job: String, item: Item) {
        let Ok(mut live) = serde_json::from_value::<LiveRecord>(item.value) else {
            self.close(request, HttpResponse::later(503, "the job's record cannot be read"));
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
            // Written when values could be larger; where it might have run matters no more.
            live.spec.types = None;
            live.spec.awaits.clear();
            value = serde_json::to_value(live).expect("records always encode");
        }
        let record = JobRecord::over(RecordState::Cancelled, tasks);
        // Both keys are always written together, so they share their version.
        let txn = Txn::default()
            .when(job_key(&job), item.version)
            .when(live_key(&job), item.version)
            .put(job_key(&job), serde_json::to_value(record).expect("records always encode"))
            .put(live_key(&job), value);
        let call = UserCall::CancelWrite { request, job, tasks };
        self.env.call_store(Purpose::User(call), Urgency::High, StoreOp::Txn(txn));
    }

    pub(super) fn cancel_written(
        &mut self,
        request: RequestId,
        job: String,
        tasks: u32,
        outcome: Outcome<StoreResponse>,
    ) {
        match outcome {
            Outcome::Responded(StoreResponse::Committed(version)) => {
                let known = Known::over(RecordState::Cancelled, tasks, version);
                self.users.known.insert(&job, known.clone(), self.env.policy.job_cache_size);
                self.users.progress.remove(&job);
                self.found(&job, Some(known), vec![request]);
            }
            Outcome::Responded(StoreResponse::ConditionsFailed(_)) => {
                // It changed in between; look once more while the user waits.
                if self.users.open.contains_key(&request) {
                    self.read_to_cancel(request, job);
                }
            }
            _ => self.close(request, store_unsure()),
        }
    }
}
