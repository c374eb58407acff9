//! Users' requests, on any node. What is told was read from, or written to, the state
//! service: a submission is answered once it is durable, a state that is not final is
//! checked again. Final states are cached, since they never change.
//!
//! Guards against older answers: a cached version is compared in the store before it is
//! told, and an unknown job is reported missing only after a look there. A look answers only
//! the requests that came before it was sent: what another node told since may be newer.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rushyoke_wire::job::{JobSpec, JobStatus, JobView, Kind};
use rushyoke_wire::peer::Progress;
use rushyoke_wire::store::{Item, Txn};

use crate::io::*;
use crate::jobs::*;
use crate::node::{Env, Node, Purpose};
use crate::quota::{Room, SLACK};

/// Requests that wait for the store; more are turned away.
const WAITING: usize = 512;
/// Keys compared by one transaction.
const CHECKED: usize = 48;
/// Users give up after 2 s on a query and 5 s on all else.
const QUERY_LIMIT: Duration = Duration::from_millis(1600);
const CHANGE_LIMIT: Duration = Duration::from_millis(4000);

#[derive(Clone, Debug)]
pub(crate) enum UserCall {
    Check {
        looked: Vec<Looked>,
    },
    Read {
        job: String,
        reqs: Vec<Req>,
        /// A job that awaits this one is looked at again then.
        again: Option<(String, Vec<Req>)>,
    },
    /// Whether a job that a submission awaits was accepted.
    Awaited {
        req: Req,
        spec: Box<JobSpec>,
        dep: String,
    },
    Create {
        req: Req,
        job: String,
        tasks: u32,
        awaits: Arc<[String]>,
    },
    /// Before a refusal: an accepted job is never refused.
    Refuse {
        req: Req,
        job: String,
        answer: Answer,
    },
    CancelRead {
        req: Req,
        job: String,
    },
    CancelWrite {
        req: Req,
        job: String,
        tasks: u32,
    },
}

/// A job whose cached version is compared in the store, and the requests that wait for it. What is
/// compared is kept here, since the cache may lose it meanwhile.
#[derive(Clone, Debug)]
pub(crate) struct Looked {
    job: String,
    known: Option<Known>,
    /// Jobs that it needs, directly or through others, and that are compared with it.
    needs: Vec<String>,
    reqs: Vec<Req>,
}

#[derive(Clone, Debug)]
pub(crate) struct Known {
    state: RecordState,
    tasks: u32,
    version: u64,
    /// What it awaits, while it is open.
    awaits: Arc<[String]>,
}

impl Known {
    fn over(state: RecordState, tasks: u32, version: u64) -> Known {
        Known { state, tasks, version, awaits: Arc::default() }
    }
}

#[derive(Default)]
pub(crate) struct Users {
    known: HashMap<String, Known>,
    order: VecDeque<String>,
    /// From the leader, for display.
    progress: HashMap<String, (u32, u32)>,
    /// Requests whose job's state is to be looked up, by a transaction that is not sent yet.
    lookups: BTreeMap<String, Vec<Req>>,
    /// Jobs to compare in the next transaction.
    queue: VecDeque<String>,
    checking: bool,
    /// The leader holds as many unfinished jobs as it can.
    pub full: bool,
    /// Requests not yet answered, and when to give up on them.
    open: BTreeMap<Req, Instant>,
}

impl Users {
    fn learn(&mut self, job: &str, known: Known, most: usize) {
        if known.state != RecordState::Open {
            self.progress.remove(job);
        }
        match self.known.get_mut(job) {
            // Final is final, and older answers may arrive late.
            Some(old) if old.version >= known.version => {}
            Some(old) => *old = known,
            None => {
                self.known.insert(job.to_owned(), known);
                self.order.push_back(job.to_owned());
                if self.order.len() > most
                    && let Some(oldest) = self.order.pop_front()
                {
                    self.known.remove(&oldest);
                }
            }
        }
    }

    /// Jobs that a job needs, directly or through others, and that are not known to be over;
    /// and whether one of all is known to be cancelled, and so the job with them.
    fn needs(&self, known: &Known, most: usize) -> (Vec<String>, bool) {
        let (mut needs, mut seen) = (Vec::new(), BTreeSet::new());
        let mut left: Vec<&String> = known.awaits.iter().collect();
        while let Some(id) = left.pop() {
            if !seen.insert(id) || needs.len() >= most {
                continue;
            }
            match self.known.get(id) {
                Some(dep) if dep.state == RecordState::Cancelled => return (needs, true),
                Some(dep) if dep.state == RecordState::Done => {}
                Some(dep) => {
                    needs.push(id.clone());
                    left.extend(dep.awaits.iter());
                }
                None => needs.push(id.clone()),
            }
        }
        (needs, false)
    }

    /// A job that needs a cancelled one is cancelled, whatever its own record still says.
    fn conclude(&mut self, id: &str, mut known: Known) -> Known {
        if known.state == RecordState::Open && self.needs(&known, usize::MAX).1 {
            known = Known { awaits: Arc::default(), state: RecordState::Cancelled, ..known };
            if let Some(cached) = self.known.get_mut(id).filter(|cached| cached.version <= known.version) {
                *cached = known.clone();
                self.progress.remove(id);
            }
        }
        known
    }

    /// What is known of a job for good.
    fn end_of(&mut self, id: &str) -> Option<Known> {
        let known = self.known.get(id).cloned()?;
        Some(self.conclude(id, known)).filter(|known| known.state != RecordState::Open)
    }

    pub fn take_progress(&mut self, progress: Vec<Progress>, most: usize) {
        if self.progress.len() > most {
            self.progress.clear();
        }
        for p in progress {
            if self.known.get(&p.job).is_none_or(|k| k.state == RecordState::Open) {
                self.progress.insert(p.job, (p.done, p.running));
            }
        }
    }
}

impl Node {
    fn open(&mut self, req: Req, limit: Duration) -> bool {
        let now = self.env.steady();
        if self.store.down(now) {
            self.env.answer(req, Answer::later(503, "the state service does not answer"));
            return false;
        }
        if self.users.open.len() >= WAITING {
            self.env.answer(req, Answer::later(429, "too many requests at once"));
            return false;
        }
        self.users.open.insert(req, now + limit);
        true
    }

    fn close(&mut self, req: Req, answer: Answer) {
        if self.users.open.remove(&req).is_some() {
            self.env.answer(req, answer);
        }
    }

    pub(crate) fn status(&mut self, req: Req, id: String) {
        if let Some(known) = self.users.end_of(&id) {
            let answer = self.view(&id, &known);
            self.env.answer(req, answer);
            return;
        }
        if self.open(req, QUERY_LIMIT) {
            self.look_up(req, id);
        }
    }

    fn look_up(&mut self, req: Req, id: String) {
        self.queue_lookup(id, [req]);
        self.check();
    }

    fn queue_lookup(&mut self, id: String, reqs: impl IntoIterator<Item = Req>) {
        let waiting = self.users.lookups.entry(id.clone()).or_default();
        if waiting.is_empty() {
            self.users.queue.push_back(id);
        }
        waiting.extend(reqs);
    }

    fn read(&mut self, job: String, reqs: Vec<Req>, again: Option<(String, Vec<Req>)>) {
        let op = StoreOp::Get(job_key(&job));
        self.env.store(Purpose::User(UserCall::Read { job, reqs, again }), Urgency::High, op);
    }

    /// Compares cached versions in the store: one transaction for all that wait. Ids that
    /// are not known are taken for absent, and read only if they are not: a flood of
    /// questions for jobs that nobody submitted must not use up the calls that others need.
    fn check(&mut self) {
        if self.users.checking || self.users.queue.is_empty() {
            return;
        }
        let most = CHECKED.min(self.env.facts.txn_ops * 4);
        let (mut compared, mut looked) = (BTreeMap::new(), Vec::new());
        while let Some(job) = self.users.queue.pop_front() {
            let known = self.users.known.get(&job).cloned();
            let (needs, _) = known.as_ref().map(|known| self.users.needs(known, most - 1)).unwrap_or_default();
            if !compared.is_empty() && compared.len() + 1 + needs.len() > most {
                self.users.queue.push_front(job);
                break;
            }
            for id in needs.iter().chain([&job]) {
                compared.insert(id.clone(), self.users.known.get(id).map_or(0, |known| known.version));
            }
            let reqs = self.users.lookups.remove(&job).unwrap_or_default();
            looked.push(Looked { job, known, needs, reqs });
        }
        let txn = compared.into_iter().fold(Txn::default(), |txn, (job, version)| txn.when(job_key(&job), version));
        self.users.checking = true;
        self.env.store(Purpose::User(UserCall::Check { looked }), Urgency::High, StoreOp::Txn(txn));
    }

    fn view(&self, id: &str, known: &Known) -> Answer {
        let (done, running) = match (known.state, self.term.as_ref().and_then(|r| r.jobs.get(id))) {
            (RecordState::Done, _) => (known.tasks, 0),
            (_, Some(job)) => (job.done_count, job.running),
            _ => self.users.progress.get(id).copied().unwrap_or_default(),
        };
        let state = match known.state {
            RecordState::Done => JobStatus::Done,
            RecordState::Cancelled => JobStatus::Cancelled,
            RecordState::Open if running > 0 => JobStatus::Running,
            RecordState::Open => JobStatus::Queued,
        };
        let done_already = |dep: &&String| self.users.known.get(*dep).is_some_and(|dep| dep.state == RecordState::Done);
        let awaits = known.awaits.iter().filter(|dep| !done_already(dep)).cloned().collect();
        Answer::json(200, &JobView { id: id.to_owned(), state, done: Some(done), running: Some(running), awaits })
    }

    /// Looks at a job again for those of its requests that still wait.
    fn look_again(&mut self, job: String, mut reqs: Vec<Req>) {
        reqs.retain(|req| self.users.open.contains_key(req));
        if !reqs.is_empty() {
            self.queue_lookup(job, reqs);
            self.check();
        }
    }

    /// Answers requests that came before the job's state, which was found, was looked up. What
    /// is known since may be newer.
    fn found(&mut self, id: &str, found: Option<Known>, reqs: Vec<Req>) {
        let all = self.users.known.get(id).cloned().into_iter().chain(found);
        let newest = all.max_by_key(|known| (known.version, known.state != RecordState::Open));
        let answer = match newest {
            Some(known) => {
                let known = self.users.conclude(id, known);
                self.view(id, &known)
            }
            None => Answer::error(404, "no such job"),
        };
        for req in reqs {
            self.close(req, answer.clone());
        }
    }

    fn fail_lookup(&mut self, reqs: Vec<Req>) {
        for req in reqs {
            self.close(req, Answer::later(503, "the state service did not answer"));
        }
    }

    /// What a job's record says; `None` if it cannot be read.
    fn learn_item(&mut self, id: &str, item: Item) -> Option<Known> {
        match serde_json::from_value::<JobRecord>(item.value) {
            Ok(record) => {
                let JobRecord { state, tasks, awaits } = record;
                let known = Known { state, tasks, version: item.version, awaits: awaits.into() };
                self.users.learn(id, known.clone(), self.env.policy.known_jobs);
                Some(known)
            }
            Err(error) => {
                tracing::error!(job = id, %error, "a record cannot be read");
                None
            }
        }
    }

    pub(crate) fn submit(&mut self, req: Req, spec: JobSpec) {
        if let Some(known) = self.users.end_of(&spec.id) {
            let answer = self.view(&spec.id, &known);
            self.env.answer(req, answer);
            return;
        }
        if self.users.known.contains_key(&spec.id) {
            if self.open(req, CHANGE_LIMIT) {
                self.look_up(req, spec.id);
            }
            return;
        }
        if self.env.types.is_empty() {
            self.env.answer(req, Answer::later(503, "machine types are not known yet"));
            return;
        }
        if !self.open(req, CHANGE_LIMIT) {
            return;
        }
        if let Err(why) = can_run(&self.env, &spec) {
            self.refuse(req, spec.id, Answer::error(422, &why));
            return;
        }
        self.admit(req, spec);
    }

    /// Creates a job once all that it awaits is known to have been accepted.
    fn admit(&mut self, req: Req, spec: JobSpec) {
        if spec.awaits.contains(&spec.id) {
            self.refuse(req, spec.id, Answer::error(422, "awaits: names the job itself"));
            return;
        }
        if let Some(dep) = spec.awaits.iter().find(|dep| !self.users.known.contains_key(*dep)) {
            let dep = dep.clone();
            let op = StoreOp::Get(job_key(&dep));
            let call = UserCall::Awaited { req, spec: Box::new(spec), dep };
            self.env.store(Purpose::User(call), Urgency::High, op);
            return;
        }
        let (job, tasks, awaits) = (spec.id.clone(), spec.tasks, spec.awaits.clone());
        let record = JobRecord { state: RecordState::Open, tasks, awaits: awaits.clone() };
        let live = LiveRecord { at_ms: self.env.now.wall_ms, cancelled: false, spec };
        let live = serde_json::to_value(live).expect("records always encode");
        // A little is left for what a cancellation adds.
        if live.to_string().len() + 16 > self.env.facts.value_bytes {
            self.close(req, Answer::error(400, "the description is too large"));
            return;
        }
        if self.users.full {
            self.refuse(req, job, Answer::later(429, "too many unfinished jobs"));
            return;
        }
        let txn = Txn::default()
            .when(job_key(&job), 0)
            .put(job_key(&job), serde_json::to_value(record).expect("records always encode"))
            .put(live_key(&job), live);
        let call = UserCall::Create { req, job, tasks, awaits: awaits.into() };
        self.env.store(Purpose::User(call), Urgency::High, StoreOp::Txn(txn));
    }

    /// Turns a submission away, unless the store has the job.
    fn refuse(&mut self, req: Req, job: String, answer: Answer) {
        let op = StoreOp::Get(job_key(&job));
        self.env.store(Purpose::User(UserCall::Refuse { req, job, answer }), Urgency::High, op);
    }

    pub(crate) fn cancel(&mut self, req: Req, id: String) {
        if let Some(known) = self.users.end_of(&id) {
            let answer = self.view(&id, &known);
            self.env.answer(req, answer);
            return;
        }
        if self.open(req, CHANGE_LIMIT) {
            self.read_to_cancel(req, id);
        }
    }

    fn read_to_cancel(&mut self, req: Req, job: String) {
        let op = StoreOp::Get(live_key(&job));
        self.env.store(Purpose::User(UserCall::CancelRead { req, job }), Urgency::High, op);
    }

    pub(crate) fn user_outcome(&mut self, call: UserCall, outcome: Outcome<StoreAnswer>) {
        let unsure = Answer::later(503, "the state service did not answer");
        match (call, outcome) {
            (UserCall::Check { looked }, outcome) => {
                self.users.checking = false;
                match outcome {
                    Outcome::Answered(StoreAnswer::Committed(_)) => {
                        for Looked { job, known, reqs, .. } in looked {
                            self.found(&job, known, reqs);
                        }
                    }
                    Outcome::Answered(StoreAnswer::Refused(failed)) => {
                        for Looked { job, reqs, mut needs, .. } in looked {
                            needs.retain(|id| failed.contains(&job_key(id)));
                            if failed.contains(&job_key(&job)) {
                                self.read(job, reqs, None);
                            } else if let Some(last) = needs.pop() {
                                needs.into_iter().for_each(|id| self.read(id, Vec::new(), None));
                                self.read(last, Vec::new(), Some((job, reqs)));
                            } else {
                                self.queue_lookup(job, reqs);
                            }
                        }
                    }
                    _ => looked.into_iter().for_each(|looked| self.fail_lookup(looked.reqs)),
                }
                self.check();
            }
            (UserCall::Read { job, reqs, again: None }, Outcome::Answered(StoreAnswer::Item(None))) => {
                self.found(&job, None, reqs);
            }
            (UserCall::Read { job, reqs, again }, Outcome::Answered(StoreAnswer::Item(Some(item)))) => {
                match self.learn_item(&job, item) {
                    Some(known) if known.awaits.is_empty() => self.found(&job, Some(known), reqs),
                    // What it needs may be cancelled.
                    Some(_) => self.look_again(job, reqs),
                    None => self.fail_lookup(reqs),
                }
                if let Some((job, reqs)) = again {
                    self.look_again(job, reqs);
                }
            }
            (UserCall::Read { reqs, again, .. }, _) => {
                self.fail_lookup(reqs);
                self.fail_lookup(again.map(|(_, reqs)| reqs).unwrap_or_default());
            }
            (UserCall::Awaited { req, spec, dep }, Outcome::Answered(StoreAnswer::Item(Some(item)))) => {
                match self.learn_item(&dep, item) {
                    Some(_) if self.users.open.contains_key(&req) => self.admit(req, *spec),
                    Some(_) => {}
                    None => self.close(req, unsure),
                }
            }
            (UserCall::Awaited { req, spec, dep }, Outcome::Answered(StoreAnswer::Item(None))) => {
                let why = Answer::error(422, &format!("awaits: {dep} was never accepted"));
                self.refuse(req, spec.id, why);
            }
            (UserCall::Awaited { req, .. }, _) => self.close(req, unsure),
            (UserCall::Create { req, job, tasks, awaits }, Outcome::Answered(StoreAnswer::Committed(version))) => {
                let known = Known { state: RecordState::Open, tasks, version, awaits };
                self.users.learn(&job, known.clone(), self.env.policy.known_jobs);
                let state = match self.users.conclude(&job, known).state {
                    RecordState::Cancelled => JobStatus::Cancelled,
                    _ => JobStatus::Queued,
                };
                let view = JobView { id: job, state, done: None, running: None, awaits: Vec::new() };
                self.close(req, Answer::json(201, &view));
            }
            (UserCall::Create { req, job, .. }, Outcome::Answered(StoreAnswer::Refused(_))) => self.look_up(req, job),
            (UserCall::Create { req, .. }, _) => self.close(req, unsure),
            (UserCall::Refuse { req, job, answer }, Outcome::Answered(StoreAnswer::Item(item))) => {
                match item.map(|item| self.learn_item(&job, item)) {
                    None => self.close(req, answer),
                    Some(Some(known)) if known.awaits.is_empty() => self.found(&job, Some(known), vec![req]),
                    Some(Some(_)) => self.look_again(job, vec![req]),
                    // It was accepted, whatever its record says.
                    Some(None) => self.close(req, unsure),
                }
            }
            (UserCall::Refuse { req, .. }, _) => self.close(req, unsure),
            (UserCall::CancelRead { req, job }, Outcome::Answered(StoreAnswer::Item(Some(item)))) => {
                let Ok(mut live) = serde_json::from_value::<LiveRecord>(item.value) else {
                    self.close(req, Answer::later(503, "the job's record cannot be read"));
                    return;
                };
                if live.cancelled {
                    self.look_up(req, job);
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
                self.env.store(
                    Purpose::User(UserCall::CancelWrite { req, job, tasks }),
                    Urgency::High,
                    StoreOp::Txn(txn),
                );
            }
            // Not live: over, or never accepted.
            (UserCall::CancelRead { req, job }, Outcome::Answered(StoreAnswer::Item(None))) => self.look_up(req, job),
            (UserCall::CancelRead { req, .. }, _) => self.close(req, unsure),
            (UserCall::CancelWrite { req, job, tasks }, Outcome::Answered(StoreAnswer::Committed(version))) => {
                let known = Known::over(RecordState::Cancelled, tasks, version);
                self.users.learn(&job, known.clone(), self.env.policy.known_jobs);
                self.found(&job, Some(known), vec![req]);
            }
            (UserCall::CancelWrite { req, job, .. }, Outcome::Answered(StoreAnswer::Refused(_))) => {
                // It changed in between; look once more while the user waits.
                if self.users.open.contains_key(&req) {
                    self.read_to_cancel(req, job);
                }
            }
            (UserCall::CancelWrite { req, .. }, _) => self.close(req, unsure),
        }
    }

    /// A request that takes too long is answered while its user still listens.
    pub(crate) fn users_tick(&mut self) {
        let now = self.env.steady();
        let down = self.store.down(now);
        let late: Vec<Req> =
            self.users.open.iter().filter(|(_, until)| down || **until <= now).map(|(req, _)| *req).collect();
        for req in late {
            self.close(req, Answer::later(503, "the state service did not answer in time"));
        }
    }
}

/// Whether the job can ever run; if not, why.
fn can_run(env: &Env, spec: &JobSpec) -> Result<(), String> {
    let need = Room::of(spec);
    let Some(team) = env.facts.teams.get(&spec.team) else {
        return Err("crew: unknown team".into());
    };
    let fits = env.types.iter().any(|kind| {
        let room = Room { cpus: kind.cpus, gpus: kind.gpus, memory_gb: kind.memory_gb };
        room.holds(need)
            && spec.types.as_ref().is_none_or(|types| types.contains(&kind.name))
            && spec.zone.as_ref().is_none_or(|zone| kind.zones.contains(zone))
    });
    if !fits {
        return Err("a task fits no allowed machine type".into());
    }
    let tasks = if spec.kind == Kind::Service { f64::from(spec.tasks) } else { 1.0 };
    if need.cpus * tasks > team.cpus_max + SLACK || need.gpus * tasks > team.gpus_max + SLACK {
        return Err("the job needs more than its team's limit".into());
    }
    if spec.one_zone && spec.spread && spec.tasks > 1 {
        return Err("together and scatter exclude each other".into());
    }
    if spec.zone.is_some() && spec.spread && spec.tasks > 1 && spec.kind == Kind::Service {
        return Err("scatter needs more than one zone".into());
    }
    Ok(())
}
