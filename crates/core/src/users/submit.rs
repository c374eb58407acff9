//! Submissions: judged, created once, and answered when that is durable.
//!
//! Guards against refusing an accepted job: a refusal is told only after a look at the job's own
//! record, whatever is wrong with the repeated submission. A job is created only when all that it
//! awaits is known to have been accepted.

use std::collections::BTreeSet;

use rushyoke_wire::job::{JobSpec, JobStatus, JobView, Kind};
use rushyoke_wire::store::Txn;

use super::known::Known;
use super::{CHANGE_LIMIT, store_unsure};
use crate::calls::{Admission, Creation, Purpose, UserCall};
use crate::env::Env;
use crate::io::*;
use crate::jobs::*;
use crate::node::Node;
use crate::quota::{Resources, SLACK};

/// Dependencies looked for by one transaction, where the store takes so many conditions.
const DEPENDENCIES_AT_ONCE: usize = 48;
/// Bytes of a transaction. A job is created by one that writes what it awaits twice.
const TRANSACTION_BYTES: usize = 60 * 1024;
/// Bytes that a cancellation may add to a job's description.
const CANCELLATION_BYTES: usize = 16;

impl Node {
    pub(crate) fn submit(&mut self, request: Req, spec: JobSpec) {
        if let Some(known) = self.users.end_of(&spec.id) {
            let answer = self.view(&spec.id, &known);
            self.env.answer(request, answer);
            return;
        }
        if self.users.known.contains(&spec.id) {
            if self.open(request, CHANGE_LIMIT) {
                self.look_up(request, spec.id);
            }
            return;
        }
        if self.env.types.is_empty() {
            self.env.answer(request, Answer::later(503, "machine types are not known yet"));
            return;
        }
        if !self.open(request, CHANGE_LIMIT) {
            return;
        }
        match can_run(&self.env, &spec).and_then(|()| can_store(&self.env, &spec)) {
            Ok(()) => self.admit(Admission { request, spec: Box::new(spec), accepted: BTreeSet::new() }),
            Err(refusal) => self.refuse(request, spec.id, refusal.answer()),
        }
    }

    /// Creates a job, or first looks for those of its dependencies that this node does not know.
    fn admit(&mut self, admission: Admission) {
        let Admission { request, spec, accepted } = &admission;
        let most = DEPENDENCIES_AT_ONCE.min(self.env.facts.txn_ops * 4);
        let unknown = |id: &&String| !self.users.known.contains(id) && !accepted.contains(*id);
        let asked: Vec<String> = spec.awaits.iter().filter(unknown).take(most).cloned().collect();
        if asked.is_empty() {
            let request = *request;
            self.create(request, *admission.spec);
            return;
        }
        // It succeeds if none of them exists, and else names those that do.
        let txn = asked.iter().fold(Txn::default(), |txn, id| txn.when(job_key(id), 0));
        let call = UserCall::Dependencies { admission, asked };
        self.env.store(Purpose::User(call), Urgency::High, StoreOp::Txn(txn));
    }

    pub(super) fn dependencies_outcome(
        &mut self,
        mut admission: Admission,
        asked: Vec<String>,
        outcome: Outcome<StoreAnswer>,
    ) {
        let request = admission.request;
        match outcome {
            Outcome::Answered(StoreAnswer::Committed(_)) => {
                let refusal = Refusal::NeverAccepted(asked.into_iter().next().unwrap_or_default());
                self.refuse(request, admission.spec.id, refusal.answer());
            }
            Outcome::Answered(StoreAnswer::Refused(failed)) => {
                let before = admission.accepted.len();
                let exists = |id: &String| failed.contains(&job_key(id));
                admission.accepted.extend(asked.into_iter().filter(exists));
                if admission.accepted.len() == before {
                    self.close(request, store_unsure());
                } else if self.users.open.contains_key(&request) {
                    self.admit(admission);
                }
            }
            _ => self.close(request, store_unsure()),
        }
    }

    fn create(&mut self, request: Req, spec: JobSpec) {
        let (job, tasks, awaits) = (spec.id.clone(), spec.tasks, spec.awaits.clone());
        if self.users.full {
            self.refuse(request, job, Answer::later(429, "too many unfinished jobs"));
            return;
        }
        let record = JobRecord { state: RecordState::Open, tasks, awaits: awaits.clone() };
        let live = LiveRecord { at_ms: self.env.now.wall_ms, cancelled: false, spec };
        let txn = Txn::default()
            .when(job_key(&job), 0)
            .put(job_key(&job), serde_json::to_value(record).expect("records always encode"))
            .put(live_key(&job), serde_json::to_value(live).expect("records always encode"));
        let call = UserCall::Create(Creation { request, job, tasks, awaits: awaits.into() });
        self.env.store(Purpose::User(call), Urgency::High, StoreOp::Txn(txn));
    }

    pub(super) fn create_outcome(&mut self, creation: Creation, outcome: Outcome<StoreAnswer>) {
        let Creation { request, job, tasks, awaits } = creation;
        match outcome {
            Outcome::Answered(StoreAnswer::Committed(version)) => {
                let known = Known { state: RecordState::Open, tasks, version, awaits };
                self.users.known.insert(&job, known.clone(), self.env.policy.known_jobs);
                let state = match self.users.conclude(&job, known).state {
                    RecordState::Cancelled => JobStatus::Cancelled,
                    _ => JobStatus::Queued,
                };
                let view = JobView { id: job, state, done: None, running: None, awaits: Vec::new() };
                self.close(request, Answer::json(201, &view));
            }
            Outcome::Answered(StoreAnswer::Refused(_)) => self.look_up(request, job),
            _ => self.close(request, store_unsure()),
        }
    }

    /// Turns a submission away, unless the store has the job.
    fn refuse(&mut self, request: Req, job: String, answer: Answer) {
        let op = StoreOp::Get(job_key(&job));
        self.env.store(Purpose::User(UserCall::Refuse { request, job, answer }), Urgency::High, op);
    }

    pub(super) fn refuse_outcome(&mut self, request: Req, job: String, answer: Answer, outcome: Outcome<StoreAnswer>) {
        let Outcome::Answered(StoreAnswer::Item(item)) = outcome else {
            self.close(request, store_unsure());
            return;
        };
        match item.map(|item| self.learn_item(&job, item)) {
            None => self.close(request, answer),
            Some(Some(known)) => self.learned(job, known, vec![request]),
            // It was accepted, whatever its record says.
            Some(None) => self.close(request, store_unsure()),
        }
    }
}

/// Why a submission is turned away for good.
#[derive(Clone, Debug, PartialEq)]
enum Refusal {
    UnknownTeam,
    FitsNoMachineType,
    BeyondTeamLimit,
    TogetherAndScattered,
    ScatteredInOneZone,
    AwaitsItself,
    /// A job that it awaits.
    NeverAccepted(String),
    /// Bytes that a description may take.
    TooLarge(usize),
}

impl Refusal {
    fn answer(&self) -> Answer {
        let status = if matches!(self, Refusal::TooLarge(_)) { 400 } else { 422 };
        Answer::error(status, &self.to_string())
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::UnknownTeam => f.write_str("crew: unknown team"),
            Refusal::FitsNoMachineType => f.write_str("a task fits no allowed machine type"),
            Refusal::BeyondTeamLimit => f.write_str("the job needs more than its team's limit"),
            Refusal::TogetherAndScattered => f.write_str("together and scatter exclude each other"),
            Refusal::ScatteredInOneZone => f.write_str("scatter needs more than one zone"),
            Refusal::AwaitsItself => f.write_str("awaits: names the job itself"),
            Refusal::NeverAccepted(id) => write!(f, "awaits: {id} was never accepted"),
            Refusal::TooLarge(most) => {
                write!(f, "the description is too large: with all that it awaits it may take {most} bytes")
            }
        }
    }
}

/// Whether the job can ever run; if not, why.
fn can_run(env: &Env, spec: &JobSpec) -> Result<(), Refusal> {
    let need = Resources::of(spec);
    let Some(team) = env.facts.teams.get(&spec.team) else {
        return Err(Refusal::UnknownTeam);
    };
    let fits = env.types.iter().any(|kind| {
        let room = Resources { cpus: kind.cpus, gpus: kind.gpus, memory_gb: kind.memory_gb };
        room.can_fit(need)
            && spec.types.as_ref().is_none_or(|types| types.contains(&kind.name))
            && spec.zone.as_ref().is_none_or(|zone| kind.zones.contains(zone))
    });
    if !fits {
        return Err(Refusal::FitsNoMachineType);
    }
    let tasks = if spec.kind == Kind::Service { f64::from(spec.tasks) } else { 1.0 };
    if need.cpus * tasks > team.cpus_max + SLACK || need.gpus * tasks > team.gpus_max + SLACK {
        return Err(Refusal::BeyondTeamLimit);
    }
    if spec.one_zone && spec.spread && spec.tasks > 1 {
        return Err(Refusal::TogetherAndScattered);
    }
    if spec.zone.is_some() && spec.spread && spec.tasks > 1 && spec.kind == Kind::Service {
        return Err(Refusal::ScatteredInOneZone);
    }
    if spec.awaits.contains(&spec.id) {
        return Err(Refusal::AwaitsItself);
    }
    Ok(())
}

/// Whether a value of the store, and the transaction, hold the description; the answer depends on nothing but the settings,
/// so that every node and every repeat gives the same.
fn can_store(env: &Env, spec: &JobSpec) -> Result<(), Refusal> {
    let live = LiveRecord { at_ms: env.now.wall_ms, cancelled: false, spec: spec.clone() };
    let size = serde_json::to_vec(&live).expect("records always encode").len();
    let most = env.facts.value_bytes.min(TRANSACTION_BYTES / 2).saturating_sub(CANCELLATION_BYTES);
    if size > most { Err(Refusal::TooLarge(most)) } else { Ok(()) }
}
