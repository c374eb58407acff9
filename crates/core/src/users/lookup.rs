//! Validated reads of job states.
//!
//! Before a cached state that is not final is returned, its version is compared in the state service, and so
//! are the versions of all open ancestors, since a job is cancelled when one of them is.
//!
//! This prevents stale responses. A round serves only requests that arrived before its comparisons were sent, since
//! another node may have returned a newer state to a user after that. A job that is not cached is reported missing
//! only after a comparison found its key absent. A job is reported open only after all its open ancestors were
//! compared, however many there are.

use std::collections::BTreeSet;

use rushyoke_wire::job::{JobStatus, JobView};
use rushyoke_wire::store::Txn;

use super::cache::{Ancestors, CachedJob};
use super::lookup_queue::{AncestorRefresh, Lookup, LookupRound};
use super::store_unresponsive;
use crate::calls::{Purpose, UserCall};
use crate::io::*;
use crate::jobs::*;
use crate::node::Node;

/// Largest number of keys compared by one transaction, if the state service allows as many conditions.
const MAX_CONDITIONS: usize = 48;
/// Largest number of ancestors' records that are read at a time.
const MAX_ANCESTOR_READS: usize = 32;

impl Node {
    /// Queues the lookup of a job's state for a request.
    pub(super) fn look_up(&mut self, request: RequestId, job: String) {
        self.users.lookups.push(job, [request]);
        self.begin_round();
    }

    /// Queues another lookup of a job for the requests that are still pending.
    fn look_up_again(&mut self, job: String, mut requests: Vec<RequestId>) {
        requests.retain(|request| self.users.pending.contains_key(request));
        if !requests.is_empty() {
            self.users.lookups.push(job, requests);
        }
    }

    /// Sends the comparisons of the next round unless one is under way.
    ///
    /// The keys of jobs that are not cached are compared as absent, and read only if that comparison fails: a
    /// flood of queries for jobs that nobody submitted must not use up the calls that others need.
    pub(super) fn begin_round(&mut self) {
        if self.users.lookups.round.is_some() || self.users.lookups.queue.is_empty() {
            return;
        }
        let (lookups, compared) = self.next_lookups();
        let compared: Vec<String> = compared.into_iter().collect();
        let mut round = LookupRound { lookups, ..LookupRound::default() };
        for jobs in compared.chunks(self.max_conditions()) {
            let txn = self.comparison(jobs);
            round.outstanding += 1;
            let call = UserCall::Compare { jobs: jobs.to_vec() };
            self.env.call_store(Purpose::User(call), Urgency::High, StoreOp::Txn(txn));
        }
        self.users.lookups.round = Some(round);
    }

    /// Returns the largest number of conditions in one transaction.
    fn max_conditions(&self) -> usize {
        MAX_CONDITIONS.min(self.env.facts.txn_ops * 4)
    }

    /// Returns a transaction that compares the cached versions of jobs.
    fn comparison(&self, jobs: &[String]) -> Txn {
        let condition = |txn: Txn, job: &String| txn.when(job_key(job), self.users.cache.version(job));
        jobs.iter().fold(Txn::default(), condition)
    }

    /// Takes the lookups of the next round from the queue, and returns them with the jobs to compare.
    ///
    /// The first lookup may need more than one transaction. Others are added while their conditions fit into the same
    /// transactions, as those of jobs in one long chain do, which have most ancestors in common.
    fn next_lookups(&mut self) -> (Vec<Lookup>, BTreeSet<String>) {
        let max_conditions = self.max_conditions();
        let (mut lookups, mut compared) = (Vec::new(), BTreeSet::new());
        let mut max_compared = 0;
        while let Some(job) = self.users.lookups.queue.pop_front() {
            let cached = self.users.cache.get(&job).cloned();
            let ancestors = match cached.as_ref().map(|cached| self.users.cache.ancestors(cached)) {
                Some(Ancestors::Open(ancestors)) => ancestors,
                Some(Ancestors::Cancelled) | None => Vec::new(),
            };
            let added = ancestors.iter().chain([&job]).filter(|id| !compared.contains(*id)).count();
            if lookups.is_empty() {
                max_compared = added.next_multiple_of(max_conditions);
            } else if compared.len() + added > max_compared {
                self.users.lookups.queue.push_front(job);
                break;
            }
            compared.extend(ancestors.iter().cloned());
            compared.insert(job.clone());
            let requests = self.users.lookups.requests.remove(&job).unwrap_or_default();
            lookups.push(Lookup { job, cached, ancestors, requests });
        }
        (lookups, compared)
    }

    /// Handles the outcome of one of the round's transactions.
    pub(super) fn comparison_outcome(&mut self, jobs: Vec<String>, outcome: Outcome<StoreResponse>) {
        let Some(round) = &mut self.users.lookups.round else { return };
        round.outstanding -= 1;
        match outcome {
            Outcome::Responded(StoreResponse::Committed(_)) => round.unchanged.extend(jobs),
            // The response may not name every failed key; the jobs that it does not name are compared again.
            Outcome::Responded(StoreResponse::ConditionsFailed(failed)) => {
                round.changed.extend(jobs.into_iter().filter(|job| failed.contains(&job_key(job))));
            }
            _ => round.call_failed = true,
        }
        if round.outstanding == 0
            && let Some(round) = self.users.lookups.round.take()
        {
            self.end_round(round);
            self.begin_round();
        }
    }

    /// Responds to the requests of a round whose jobs are validated, and reads or looks up the other jobs again.
    fn end_round(&mut self, round: LookupRound) {
        let LookupRound { lookups, unchanged, changed, call_failed, .. } = round;
        let mut refresh = AncestorRefresh::default();
        let mut stale: BTreeSet<String> = BTreeSet::new();
        for Lookup { job, cached, ancestors, requests } in lookups {
            let stale_before = stale.len();
            stale.extend(ancestors.iter().filter(|id| changed.contains(*id)).cloned());
            if changed.contains(&job) {
                self.read(job, requests);
            } else if stale.len() > stale_before || ancestors.iter().any(|id| stale.contains(id)) {
                refresh.lookups.push((job, requests));
            } else if unchanged.contains(&job) && ancestors.iter().all(|id| unchanged.contains(id)) {
                self.respond_with_job(&job, cached, requests);
            } else if call_failed {
                self.fail_requests(requests);
            } else {
                self.look_up_again(job, requests);
            }
        }
        if !refresh.lookups.is_empty() {
            self.refresh(refresh, stale);
        }
    }

    /// Reads stale ancestors again. The next round finds those beyond the limit to have changed.
    fn refresh(&mut self, mut refresh: AncestorRefresh, stale: BTreeSet<String>) {
        self.users.lookups.last_refresh += 1;
        let group = self.users.lookups.last_refresh;
        for job in stale.into_iter().take(MAX_ANCESTOR_READS) {
            refresh.outstanding += 1;
            let op = StoreOp::Get(job_key(&job));
            self.env.call_store(Purpose::User(UserCall::Refresh { job, group }), Urgency::High, op);
        }
        self.users.lookups.refreshes.insert(group, refresh);
    }

    /// Handles the outcome of one read of a refresh.
    pub(super) fn refresh_outcome(&mut self, job: &str, group: u64, outcome: Outcome<StoreResponse>) {
        let decoded = match outcome {
            Outcome::Responded(StoreResponse::Item(Some(item))) => self.cache_record(job, item).is_some(),
            _ => false,
        };
        let Some(refresh) = self.users.lookups.refreshes.get_mut(&group) else { return };
        refresh.outstanding -= 1;
        refresh.failed |= !decoded;
        if refresh.outstanding > 0 {
            return;
        }
        let Some(refresh) = self.users.lookups.refreshes.remove(&group) else { return };
        for (job, requests) in refresh.lookups {
            if refresh.failed {
                self.fail_requests(requests);
            } else {
                self.look_up_again(job, requests);
            }
        }
        self.begin_round();
    }

    /// Reads a job's record for these requests.
    fn read(&mut self, job: String, requests: Vec<RequestId>) {
        let op = StoreOp::Get(job_key(&job));
        self.env.call_store(Purpose::User(UserCall::Read { job, requests }), Urgency::High, op);
    }

    /// Handles the outcome of reading a job's record.
    pub(super) fn read_outcome(&mut self, job: String, requests: Vec<RequestId>, outcome: Outcome<StoreResponse>) {
        match outcome {
            Outcome::Responded(StoreResponse::Item(None)) => self.respond_with_job(&job, None, requests),
            Outcome::Responded(StoreResponse::Item(Some(item))) => match self.cache_record(&job, item) {
                Some(cached) => self.record_read(job, cached, requests),
                None => self.fail_requests(requests),
            },
            _ => self.fail_requests(requests),
        }
    }

    /// Responds to requests that were pending while the record was read. If the job has dependencies, they are
    /// validated first, since one of them may be cancelled.
    pub(super) fn record_read(&mut self, job: String, cached: CachedJob, requests: Vec<RequestId>) {
        if cached.dependencies.is_empty() {
            self.respond_with_job(&job, Some(cached), requests);
        } else {
            self.look_up_again(job, requests);
            self.begin_round();
        }
    }

    /// Responds to requests with a state that was validated or read after they arrived; `None` if there is no such job.
    /// A newer state may have been cached since.
    pub(super) fn respond_with_job(&mut self, id: &str, current: Option<CachedJob>, requests: Vec<RequestId>) {
        let candidates = self.users.cache.get(id).cloned().into_iter().chain(current);
        let newest = candidates.max_by_key(|cached| (cached.version, cached.state != RecordState::Open));
        let response = match newest {
            Some(cached) => {
                let cached = self.users.apply_ancestor_cancellation(id, cached);
                self.job_view(id, &cached)
            }
            None => HttpResponse::error(404, "no such job"),
        };
        for request in requests {
            self.respond(request, response.clone());
        }
    }

    /// Tells the users of these requests that the state service did not respond.
    pub(super) fn fail_requests(&mut self, requests: Vec<RequestId>) {
        for request in requests {
            self.respond(request, store_unresponsive());
        }
    }

    /// Returns a job's state as a response to a user.
    pub(super) fn job_view(&self, id: &str, cached: &CachedJob) -> HttpResponse {
        let (done, running) = match (cached.state, self.term.as_ref().and_then(|term| term.jobs.get(id))) {
            (RecordState::Done, _) => (cached.tasks, 0),
            (_, Some(job)) => (job.done_count, job.running_tasks),
            _ => self.users.progress.get(id).copied().unwrap_or_default(),
        };
        let state = match cached.state {
            RecordState::Done => JobStatus::Done,
            RecordState::Cancelled => JobStatus::Cancelled,
            RecordState::Open if running > 0 => JobStatus::Running,
            RecordState::Open => JobStatus::Queued,
        };
        let dependencies =
            cached.dependencies.iter().filter(|dependency| !self.users.cache.is_done(dependency)).cloned().collect();
        HttpResponse::json(
            200,
            &JobView { id: id.to_owned(), state, done: Some(done), running: Some(running), dependencies },
        )
    }
}
