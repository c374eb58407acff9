//! Validated reads: a cached state that is not final is compared in the store before it is told, and
//! so are all open jobs that it needs, since it is cancelled when one of them is.
//!
//! Guards against older answers. A round answers only requests that came before it was sent: what
//! another node told since may be newer. An unknown job is reported missing only after a comparison
//! that found it absent. However many jobs one needs, all are compared before it is called open.

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

/// Keys compared by one transaction, where the store takes so many conditions.
const MAX_CONDITIONS: usize = 48;
/// Records of ancestors that are read at a time.
const MAX_ANCESTOR_READS: usize = 32;

impl Node {
    pub(super) fn look_up(&mut self, request: RequestId, job: String) {
        self.users.lookups.push(job, [request]);
        self.begin_round();
    }

    /// Looks a job up again for those of its requests that still wait.
    fn look_up_again(&mut self, job: String, mut requests: Vec<RequestId>) {
        requests.retain(|request| self.users.pending.contains_key(request));
        if !requests.is_empty() {
            self.users.lookups.push(job, requests);
        }
    }

    /// Sends the comparisons of the next round. Ids that are not known are taken for absent, and read
    /// only if they are not: a flood of questions for jobs that nobody submitted must not use up the
    /// calls that others need.
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

    fn max_conditions(&self) -> usize {
        MAX_CONDITIONS.min(self.env.facts.txn_ops * 4)
    }

    fn comparison(&self, jobs: &[String]) -> Txn {
        let condition = |txn: Txn, job: &String| txn.when(job_key(job), self.users.cache.version(job));
        jobs.iter().fold(Txn::default(), condition)
    }

    /// The jobs of the next round and all keys that they need compared. The first may need more than
    /// one transaction holds; others join while its transactions have room, as those of a long
    /// chain do, which share their ancestors.
    fn next_lookups(&mut self) -> (Vec<Lookup>, BTreeSet<String>) {
        let at_once = self.max_conditions();
        let (mut lookups, mut compared) = (Vec::new(), BTreeSet::new());
        let mut most = 0;
        while let Some(job) = self.users.lookups.queue.pop_front() {
            let cached = self.users.cache.get(&job).cloned();
            let ancestors = match cached.as_ref().map(|cached| self.users.cache.ancestors(cached)) {
                Some(Ancestors::Open(ancestors)) => ancestors,
                Some(Ancestors::Cancelled) | None => Vec::new(),
            };
            let added = ancestors.iter().chain([&job]).filter(|id| !compared.contains(*id)).count();
            if lookups.is_empty() {
                most = added.next_multiple_of(at_once);
            } else if compared.len() + added > most {
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

    /// A transaction of the round has an outcome.
    pub(super) fn comparison_outcome(&mut self, jobs: Vec<String>, outcome: Outcome<StoreResponse>) {
        let Some(round) = &mut self.users.lookups.round else { return };
        round.outstanding -= 1;
        match outcome {
            Outcome::Responded(StoreResponse::Committed(_)) => round.unchanged.extend(jobs),
            // It may not name every key that failed; those that it does not name are compared again.
            Outcome::Responded(StoreResponse::ConditionsFailed(failed)) => {
                round.changed.extend(jobs.into_iter().filter(|job| failed.contains(&job_key(job))));
            }
            _ => round.unanswered = true,
        }
        if round.outstanding == 0
            && let Some(round) = self.users.lookups.round.take()
        {
            self.end_round(round);
            self.begin_round();
        }
    }

    fn end_round(&mut self, round: LookupRound) {
        let LookupRound { lookups, unchanged, changed, unanswered, .. } = round;
        let mut refresh = AncestorRefresh::default();
        let mut stale: BTreeSet<String> = BTreeSet::new();
        for Lookup { job, cached, ancestors, requests } in lookups {
            let before = stale.len();
            stale.extend(ancestors.iter().filter(|id| changed.contains(*id)).cloned());
            if changed.contains(&job) {
                self.read(job, requests);
            } else if stale.len() > before || ancestors.iter().any(|id| stale.contains(id)) {
                refresh.lookups.push((job, requests));
            } else if unchanged.contains(&job) && ancestors.iter().all(|id| unchanged.contains(id)) {
                self.respond_with_job(&job, cached, requests);
            } else if unanswered {
                self.fail_requests(requests);
            } else {
                self.look_up_again(job, requests);
            }
        }
        if !refresh.lookups.is_empty() {
            self.refresh(refresh, stale);
        }
    }

    /// Reads ancestors again. What is left of many is found changed by the next round.
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

    pub(super) fn refresh_outcome(&mut self, job: &str, group: u64, outcome: Outcome<StoreResponse>) {
        let record_read = match outcome {
            Outcome::Responded(StoreResponse::Item(Some(item))) => self.cache_record(job, item).is_some(),
            _ => false,
        };
        let Some(refresh) = self.users.lookups.refreshes.get_mut(&group) else { return };
        refresh.outstanding -= 1;
        refresh.failed |= !record_read;
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

    fn read(&mut self, job: String, requests: Vec<RequestId>) {
        let op = StoreOp::Get(job_key(&job));
        self.env.call_store(Purpose::User(UserCall::Read { job, requests }), Urgency::High, op);
    }

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

    /// A record was read while the requests waited. What it needs may be cancelled.
    pub(super) fn record_read(&mut self, job: String, cached: CachedJob, requests: Vec<RequestId>) {
        if cached.dependencies.is_empty() {
            self.respond_with_job(&job, Some(cached), requests);
        } else {
            self.look_up_again(job, requests);
            self.begin_round();
        }
    }

    /// Answers requests that came before the job's state, which was found, was looked up. What
    /// is known since may be newer.
    pub(super) fn respond_with_job(&mut self, id: &str, newest_read: Option<CachedJob>, requests: Vec<RequestId>) {
        let all = self.users.cache.get(id).cloned().into_iter().chain(newest_read);
        let newest = all.max_by_key(|cached| (cached.version, cached.state != RecordState::Open));
        let answer = match newest {
            Some(cached) => {
                let cached = self.users.apply_ancestor_cancellation(id, cached);
                self.job_view(id, &cached)
            }
            None => HttpResponse::error(404, "no such job"),
        };
        for request in requests {
            self.respond(request, answer.clone());
        }
    }

    pub(super) fn fail_requests(&mut self, requests: Vec<RequestId>) {
        for request in requests {
            self.respond(request, store_unresponsive());
        }
    }

    /// What a user is told of a job.
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
