//! Users' requests, on any node. What is told was read from, or written to, the state
//! service: a submission is answered once it is durable, a state that is not final is
//! checked again. Final states are cached, since they never change.
//!
//! Guards against older answers: a cached version is compared in the store before it is
//! told, and an unknown job is reported missing only after a look there. A look answers only
//! the requests that came before it was sent: what another node told since may be newer.

use std::collections::{BTreeMap, HashMap, VecDeque};
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
    },
    Create {
        req: Req,
        job: String,
        tasks: u32,
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
    reqs: Vec<Req>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Known {
    state: RecordState,
    tasks: u32,
    version: u64,
}

#[derive(Default)]
pub(crate) struct Users {
    known: HashMap<String, Known>,
    order: VecDeque<String>,
    /// From the lead, for display.
    progress: HashMap<String, (u32, u32)>,
    /// Requests whose job's state is to be looked up, by a transaction that is not sent yet.
    lookups: BTreeMap<String, Vec<Req>>,
    /// Jobs to compare in the next transaction.
    queue: VecDeque<String>,
    checking: bool,
    /// The lead holds as many unfinished jobs as it can.
    pub full: bool,
    /// Requests not yet answered, and when to give up on them.
    open: BTreeMap<Req, Instant>,
}

impl Users {
    fn learn(&mut self, job: &str, known: Known, most: usize) {
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
        if known.state != RecordState::Open {
            self.progress.remove(job);
        }
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
        if let Some(known) = self.users.known.get(&id)
            && known.state != RecordState::Open
        {
            let answer = self.view(&id, *known);
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

    fn read(&mut self, job: String, reqs: Vec<Req>) {
        let op = StoreOp::Get(job_key(&job));
        self.env.store(Purpose::User(UserCall::Read { job, reqs }), Urgency::High, op);
    }

    /// Compares cached versions in the store: one transaction for all that wait. Ids that
    /// are not known are taken for absent, and read only if they are not: a flood of
    /// questions for jobs that nobody submitted must not use up the calls that others need.
    fn check(&mut self) {
        if self.users.checking || self.users.queue.is_empty() {
            return;
        }
        let count = self.users.queue.len().min(CHECKED);
        let (mut txn, mut looked) = (Txn::default(), Vec::new());
        for job in self.users.queue.drain(..count) {
            let known = self.users.known.get(&job).copied();
            txn = txn.when(job_key(&job), known.map_or(0, |k| k.version));
            let reqs = self.users.lookups.remove(&job).unwrap_or_default();
            looked.push(Looked { job, known, reqs });
        }
        self.users.checking = true;
        self.env.store(Purpose::User(UserCall::Check { looked }), Urgency::High, StoreOp::Txn(txn));
    }

    fn view(&self, id: &str, known: Known) -> Answer {
        let (done, running) = match (known.state, self.reign.as_ref().and_then(|r| r.jobs.get(id))) {
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
        Answer::json(200, &JobView { id: id.to_owned(), state, done: Some(done), running: Some(running) })
    }

    /// Answers requests that came before the job's state, which was found, was looked up. What
    /// is known since may be newer.
    fn found(&mut self, id: &str, found: Option<Known>, reqs: Vec<Req>) {
        let newest = self.users.known.get(id).copied().into_iter().chain(found).max_by_key(|known| known.version);
        let answer = match newest {
            Some(known) => self.view(id, known),
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
                let known = Known { state: record.state, tasks: record.tasks, version: item.version };
                self.users.learn(id, known, self.env.policy.known_jobs);
                Some(known)
            }
            Err(error) => {
                tracing::error!(job = id, %error, "a record cannot be read");
                None
            }
        }
    }

    pub(crate) fn submit(&mut self, req: Req, spec: JobSpec) {
        let known = self.users.known.get(&spec.id).copied();
        if let Some(known) = known {
            if known.state != RecordState::Open {
                let answer = self.view(&spec.id, known);
                self.env.answer(req, answer);
            } else if self.open(req, CHANGE_LIMIT) {
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
        let (job, tasks) = (spec.id.clone(), spec.tasks);
        let record = JobRecord { state: RecordState::Open, tasks };
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
        self.env.store(Purpose::User(UserCall::Create { req, job, tasks }), Urgency::High, StoreOp::Txn(txn));
    }

    /// Turns a submission away, unless the store has the job.
    fn refuse(&mut self, req: Req, job: String, answer: Answer) {
        let op = StoreOp::Get(job_key(&job));
        self.env.store(Purpose::User(UserCall::Refuse { req, job, answer }), Urgency::High, op);
    }

    pub(crate) fn cancel(&mut self, req: Req, id: String) {
        if let Some(known) = self.users.known.get(&id)
            && known.state != RecordState::Open
        {
            let answer = self.view(&id, *known);
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
                        for Looked { job, known, reqs } in looked {
                            self.found(&job, known, reqs);
                        }
                    }
                    Outcome::Answered(StoreAnswer::Refused(failed)) => {
                        for Looked { job, reqs, .. } in looked {
                            if failed.contains(&job_key(&job)) {
                                self.read(job, reqs);
                            } else {
                                self.queue_lookup(job, reqs);
                            }
                        }
                    }
                    _ => looked.into_iter().for_each(|looked| self.fail_lookup(looked.reqs)),
                }
                self.check();
            }
            (UserCall::Read { job, reqs }, Outcome::Answered(StoreAnswer::Item(None))) => self.found(&job, None, reqs),
            (UserCall::Read { job, reqs }, Outcome::Answered(StoreAnswer::Item(Some(item)))) => {
                match self.learn_item(&job, item) {
                    Some(known) => self.found(&job, Some(known), reqs),
                    None => self.fail_lookup(reqs),
                }
            }
            (UserCall::Read { reqs, .. }, _) => self.fail_lookup(reqs),
            (UserCall::Create { req, job, tasks }, Outcome::Answered(StoreAnswer::Committed(version))) => {
                let known = Known { state: RecordState::Open, tasks, version };
                self.users.learn(&job, known, self.env.policy.known_jobs);
                let state = JobStatus::Queued;
                self.close(req, Answer::json(201, &JobView { id: job, state, done: None, running: None }));
            }
            (UserCall::Create { req, job, .. }, Outcome::Answered(StoreAnswer::Refused(_))) => self.look_up(req, job),
            (UserCall::Create { req, .. }, _) => self.close(req, unsure),
            (UserCall::Refuse { req, job, answer }, Outcome::Answered(StoreAnswer::Item(item))) => {
                match item.map(|item| self.learn_item(&job, item)) {
                    None => self.close(req, answer),
                    Some(Some(known)) => self.found(&job, Some(known), vec![req]),
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
                let record = JobRecord { state: RecordState::Cancelled, tasks };
                // Both keys are always written together, so they share their version.
                let txn = Txn::default()
                    .when(job_key(&job), item.version)
                    .when(live_key(&job), item.version)
                    .put(job_key(&job), serde_json::to_value(record).expect("records always encode"))
                    .put(live_key(&job), serde_json::to_value(live).expect("records always encode"));
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
                let known = Known { state: RecordState::Cancelled, tasks, version };
                self.users.learn(&job, known, self.env.policy.known_jobs);
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
