//! Submissions: validated, created exactly once, and confirmed when they are durable.
//!
//! An accepted job is never rejected when its submission is repeated: before every rejection, whatever its reason,
//! the job's own record is read. A job is created only when all its dependencies are known to have been accepted.

use std::collections::BTreeSet;

use rushyoke_wire::job::{JobSpec, JobStatus, JobView, Kind};
use rushyoke_wire::store::Txn;

use super::cache::CachedJob;
use super::{CHANGE_TIMEOUT, store_unresponsive};
use crate::calls::{Admission, Creation, Purpose, UserCall};
use crate::env::Env;
use crate::io::*;
use crate::jobs::*;
use crate::node::Node;
use crate::quota::{QUOTA_TOLERANCE, Resources};

/// Largest number of dependencies checked by one transaction, if the state service allows as many conditions.
const MAX_DEPENDENCY_CONDITIONS: usize = 48;
/// Largest size of a transaction. The one that creates a job writes the job's list of dependencies twice.
const MAX_TRANSACTION_BYTES: usize = 60 * 1024;
/// Bytes that a cancellation may add to a job's live record.
const CANCELLATION_EXTRA_BYTES: usize = 16;

impl Node {
    /// Handles a user's submission of a job.
    pub(crate) fn submit(&mut self, request: RequestId, spec: JobSpec) {
        if let Some(cached) = self.users.final_state(&spec.id) {
            let response = self.job_view(&spec.id, &cached);
            self.env.respond(request, response);
            return;
        }
        if self.users.cache.contains(&spec.id) {
            if self.admit_request(request, CHANGE_TIMEOUT) {
                self.look_up(request, spec.id);
            }
            return;
        }
        if self.env.machine_types.is_empty() {
            self.env.respond(request, HttpResponse::later(503, "machine types are not known yet"));
            return;
        }
        if !self.admit_request(request, CHANGE_TIMEOUT) {
            return;
        }
        match check_runnable(&self.env, &spec).and_then(|()| check_storable(&self.env, &spec)) {
            Ok(()) => self.admit(Admission { request, spec: Box::new(spec), accepted: BTreeSet::new() }),
            Err(refusal) => self.refuse(request, spec.id, refusal.response()),
        }
    }

    /// Creates a job, after checking that records exist for the dependencies that this node has not cached.
    fn admit(&mut self, admission: Admission) {
        let Admission { request, spec, accepted } = &admission;
        let max_conditions = MAX_DEPENDENCY_CONDITIONS.min(self.env.facts.txn_ops * 4);
        let unknown = |id: &&String| !self.users.cache.contains(id) && !accepted.contains(*id);
        let queried: Vec<String> = spec.dependencies.iter().filter(unknown).take(max_conditions).cloned().collect();
        if queried.is_empty() {
            let request = *request;
            self.create(request, *admission.spec);
            return;
        }
        // The transaction succeeds if none of the records exists. Otherwise the response names some that do.
        let txn = queried.iter().fold(Txn::default(), |txn, id| txn.when(job_key(id), 0));
        let call = UserCall::Dependencies { admission, queried };
        self.env.call_store(Purpose::User(call), Urgency::High, StoreOp::Txn(txn));
    }

    /// Handles the outcome of the check for dependencies' records.
    pub(super) fn dependencies_outcome(
        &mut self,
        mut admission: Admission,
        queried: Vec<String>,
        outcome: Outcome<StoreResponse>,
    ) {
        let request = admission.request;
        match outcome {
            Outcome::Responded(StoreResponse::Committed(_)) => {
                let refusal = Refusal::UnknownDependency(queried.into_iter().next().unwrap_or_default());
                self.refuse(request, admission.spec.id, refusal.response());
            }
            Outcome::Responded(StoreResponse::ConditionsFailed(failed)) => {
                let accepted_before = admission.accepted.len();
                let exists = |id: &String| failed.contains(&job_key(id));
                admission.accepted.extend(queried.into_iter().filter(exists));
                if admission.accepted.len() == accepted_before {
                    self.respond(request, store_unresponsive());
                } else if self.users.pending.contains_key(&request) {
                    self.admit(admission);
                }
            }
            _ => self.respond(request, store_unresponsive()),
        }
    }

    /// Writes a job's records, or rejects the job while the leader has reached its limit of unfinished jobs.
    fn create(&mut self, request: RequestId, spec: JobSpec) {
        let (job, tasks, dependencies) = (spec.id.clone(), spec.tasks, spec.dependencies.clone());
        if self.users.job_limit_reached {
            self.refuse(request, job, HttpResponse::later(429, "too many unfinished jobs"));
            return;
        }
        let record = JobRecord { state: RecordState::Open, tasks, dependencies: dependencies.clone() };
        let live = LiveRecord { submitted_ms: self.env.now.wall_ms, cancelled: false, spec };
        let txn = Txn::default()
            .when(job_key(&job), 0)
            .put(job_key(&job), serde_json::to_value(record).expect("records always encode"))
            .put(live_key(&job), serde_json::to_value(live).expect("records always encode"));
        let call = UserCall::Create(Creation { request, job, tasks, dependencies: dependencies.into() });
        self.env.call_store(Purpose::User(call), Urgency::High, StoreOp::Txn(txn));
    }

    /// Handles the outcome of a job's creation.
    pub(super) fn create_outcome(&mut self, creation: Creation, outcome: Outcome<StoreResponse>) {
        let Creation { request, job, tasks, dependencies } = creation;
        match outcome {
            Outcome::Responded(StoreResponse::Committed(version)) => {
                let cached = CachedJob { state: RecordState::Open, tasks, version, dependencies };
                self.users.cache.insert(&job, cached.clone(), self.env.policy.job_cache_size);
                if !cached.dependencies.is_empty() {
                    // What is cached of its dependencies may be old, and one of them may have been cancelled since.
                    if self.users.pending.contains_key(&request) {
                        self.users.created.insert(request);
                        self.look_up(request, job);
                    }
                    return;
                }
                let state = JobStatus::Queued;
                let view = JobView { id: job, state, done: None, running: None, dependencies: Vec::new() };
                self.respond(request, HttpResponse::json(201, &view));
            }
            Outcome::Responded(StoreResponse::ConditionsFailed(_)) => self.look_up(request, job),
            _ => self.respond(request, store_unresponsive()),
        }
    }

    /// Rejects a submission with this response, unless the state service has the job.
    fn refuse(&mut self, request: RequestId, job: String, rejection: HttpResponse) {
        let op = StoreOp::Get(job_key(&job));
        self.env.call_store(Purpose::User(UserCall::Refuse { request, job, response: rejection }), Urgency::High, op);
    }

    /// Handles the outcome of the read before a rejection.
    pub(super) fn refuse_outcome(
        &mut self,
        request: RequestId,
        job: String,
        rejection: HttpResponse,
        outcome: Outcome<StoreResponse>,
    ) {
        let Outcome::Responded(StoreResponse::Item(item)) = outcome else {
            self.respond(request, store_unresponsive());
            return;
        };
        match item.map(|item| self.cache_record(&job, item)) {
            None => self.respond(request, rejection),
            Some(Some(cached)) => self.record_read(job, cached, vec![request]),
            // The record exists, so the job was accepted, but it cannot be decoded.
            Some(None) => self.respond(request, store_unresponsive()),
        }
    }
}

/// Reason why a submission is rejected for good.
#[derive(Clone, Debug, PartialEq)]
enum Refusal {
    UnknownTeam,
    FitsNoMachineType,
    ExceedsQuota,
    OneZoneAndSpread,
    SpreadInOneZone,
    DependsOnItself,
    /// The dependency with this id was never accepted.
    UnknownDependency(String),
    /// The description takes more than this number of bytes.
    TooLarge(usize),
}

impl Refusal {
    /// Returns the response to the user.
    fn response(&self) -> HttpResponse {
        let status = if matches!(self, Refusal::TooLarge(_)) { 400 } else { 422 };
        HttpResponse::error(status, &self.to_string())
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::UnknownTeam => f.write_str("crew: unknown team"),
            Refusal::FitsNoMachineType => f.write_str("a task fits no allowed machine type"),
            Refusal::ExceedsQuota => f.write_str("the job needs more than its team's limit"),
            Refusal::OneZoneAndSpread => f.write_str("together and scatter exclude each other"),
            Refusal::SpreadInOneZone => f.write_str("scatter needs more than one zone"),
            Refusal::DependsOnItself => f.write_str("awaits: names the job itself"),
            Refusal::UnknownDependency(id) => write!(f, "awaits: {id} was never accepted"),
            Refusal::TooLarge(max_bytes) => {
                write!(f, "the description is too large: with all that it awaits it may take {max_bytes} bytes")
            }
        }
    }
}

/// Checks that the settings and the machine types allow the job to run at all.
fn check_runnable(env: &Env, spec: &JobSpec) -> Result<(), Refusal> {
    let need = Resources::of(spec);
    let Some(team) = env.facts.teams.get(&spec.team) else {
        return Err(Refusal::UnknownTeam);
    };
    let fits = env.machine_types.iter().any(|machine_type| {
        let machine = Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb };
        machine.can_fit(need)
            && spec.types.as_ref().is_none_or(|types| types.contains(&machine_type.name))
            && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
    });
    if !fits {
        return Err(Refusal::FitsNoMachineType);
    }
    let tasks = if spec.kind == Kind::Service { f64::from(spec.tasks) } else { 1.0 };
    if need.cpus * tasks > team.cpus_max + QUOTA_TOLERANCE || need.gpus * tasks > team.gpus_max + QUOTA_TOLERANCE {
        return Err(Refusal::ExceedsQuota);
    }
    if spec.one_zone && spec.spread && spec.tasks > 1 {
        return Err(Refusal::OneZoneAndSpread);
    }
    if spec.zone.is_some() && spec.spread && spec.tasks > 1 && spec.kind == Kind::Service {
        return Err(Refusal::SpreadInOneZone);
    }
    if spec.dependencies.contains(&spec.id) {
        return Err(Refusal::DependsOnItself);
    }
    Ok(())
}

/// Checks that the description fits into a value of the state service and into a transaction. The result depends
/// on the settings only, so that it is the same on every node and for every repetition.
fn check_storable(env: &Env, spec: &JobSpec) -> Result<(), Refusal> {
    let live = LiveRecord { submitted_ms: env.now.wall_ms, cancelled: false, spec: spec.clone() };
    let size = serde_json::to_vec(&live).expect("records always encode").len();
    let max_bytes = env.facts.value_bytes.min(MAX_TRANSACTION_BYTES / 2).saturating_sub(CANCELLATION_EXTRA_BYTES);
    if size > max_bytes { Err(Refusal::TooLarge(max_bytes)) } else { Ok(()) }
}
