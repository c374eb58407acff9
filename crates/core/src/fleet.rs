//! Machines: what their workers report, what is ordered, and when a place is proven
//! empty.
//!
//! Guards against a task on two machines at once. A place counts as empty only after a
//! newer report from a worker that has seen our token, with the task gone or exited; a
//! new session; a confirmed return of the machine; or the end of its lease. A start that
//! went out directly and was not answered may still run late, so the exited entry that
//! would stop it is kept until the order is resolved.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use rushyoke_wire::cloud::{Listed, MachineType, Phase as CloudPhase};
use rushyoke_wire::job::{JobSpec, Kind};
use rushyoke_wire::worker::{Cause, Order, Orders, Report, TaskReport, TaskState};
use serde_json::value::RawValue;

use crate::io::*;
use crate::jobs::*;
use crate::node::Env;
use crate::quota::Room;
use crate::recover::Term;

mod survey;

pub(crate) use survey::Survey;
use survey::{ASKED_ALONE, SURVEY_FROM, SURVEYED, Silent};

/// Orders in one message; the rest goes with the next.
const MAX_ORDERS: usize = 200;
/// A stop that shows no effect is repeated after this time.
const REPEAT_STOP: Duration = Duration::from_secs(1);
/// After a direct order failed, the next one waits.
const DIRECT_RETRY: Duration = Duration::from_millis(500);
/// The wait grows by itself up to so many times: when a zone is cut off, hundreds of machines
/// cannot be called, and each will report by itself once it can.
const MOST_BACKOFF: u32 = 6;
/// Allowance for clocks that drift apart, beside the published bound.
const DRIFT: f64 = 1.002;
const LAPSE_MARGIN: Duration = Duration::from_millis(250);
/// Reports come at their interval, give or take a quarter.
const LATEST_REPORT: f64 = 1.25;
/// A report that was answered is followed by the next within its interval and this.
const PROMPT: Duration = Duration::from_secs(1);
/// Direct calls that an overdue machine may miss before it is given up.
const PROBES: u32 = 2;
/// Failed calls in a row from which on a machine that reports all the same is no capacity.
const MUTE: u32 = 3;
/// A machine whose report is overdue gets this long to answer a direct call.
const PROBE: Duration = Duration::from_millis(1200);
/// A worker that reports to a node out of reach tries the next one after this time; a new
/// leader that only its own calls reach waits until all could have found it.
const SETTLING: Duration = Duration::from_secs(5);
/// Least time between direct calls that ask whether a copy or a worker came.
const COPY_PROBE: Duration = Duration::from_secs(2);
/// Share of a lease within which an answered report surely renewed it.
const RENEWED: f64 = 0.7;
/// Names of returned machines that are remembered, against late reports.
const GONE_KEPT: usize = 4000;

pub(crate) type TaskKey = (Name, u32);
type Attempt = (String, u64);

#[derive(Clone, Debug)]
struct Direct {
    session: u64,
    /// Session and number of the newest message when it was sent.
    seen: (u64, u64),
    starts: Vec<Attempt>,
}

/// Room on a machine that is kept for a job.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub job: Name,
    pub room: Room,
    pub until: Instant,
    /// Others were stopped for it; else it waits for what comes free.
    pub made: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub name: Name,
    pub addr: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    /// Set once a worker reported or answered.
    pub up: bool,
    /// When it was rented or first known.
    pub known: Instant,
    pub total: Room,
    pub used: Room,
    pub places: BTreeSet<TaskKey>,
    session: u64,
    seq: u64,
    /// Session and number of the newest report; an older one is a late copy.
    report_seen: (u64, u64),
    /// It reports, but what it is answered does not reach it.
    deaf: bool,
    /// It reported without being expected, and has not shown that it knows our token.
    unproven: bool,
    /// Digest of the tasks in the last report, if they are all that is known of it since.
    digest: Option<u64>,
    /// There may be orders to give; else its places are as they should be.
    orders_due: bool,
    /// It was urged while it could not be called.
    postponed: bool,
    /// Places that belong to services.
    services: u32,
    /// Session that surely ended with its lease.
    lapsed: Option<u64>,
    /// When it first showed that it has seen our token.
    fenced: Option<Instant>,
    pub heard: Instant,
    /// The last report, or when this leader came to know the machine.
    reported: Instant,
    answered: Option<Instant>,
    pub taken_at: Option<Instant>,
    direct: Option<Direct>,
    direct_from: Option<Instant>,
    unresolved: BTreeSet<Attempt>,
    /// Exited tasks that the worker still lists.
    residue: BTreeMap<Attempt, TaskKey>,
    strangers: Vec<(Attempt, bool)>,
    /// Images believed to be cached, the most recently used last.
    images: VecDeque<(String, f64)>,
    cache_gb: f64,
    /// It is being returned, or is about to be.
    pub leaving: bool,
    pub release_sent: Option<Instant>,
    pub suspect: bool,
    /// Direct calls that failed since its report was overdue.
    probes_failed: u32,
    /// Direct calls in a row that failed, whatever it reported meanwhile: it may be heard and
    /// hear nothing itself. It gets no work until one is answered.
    mute_calls: u32,
    /// It answers direct calls, but its reports come no more, and so its lease ends again and
    /// again: what is started there is lost.
    unreporting: bool,
    pub quarantined: bool,
    /// Jobs whose tasks failed here since a task that started later completed.
    strikes: BTreeMap<Name, Instant>,
    pub idle_since: Option<Instant>,
    /// More than enough is there: it gets no work that fits elsewhere, to be returned.
    pub retiring: bool,
    full_until: Option<Instant>,
    pub claim: Option<Claim>,
    pub straggler: bool,
    /// When its straggler value was last too high.
    pub straggler_at: Option<Instant>,
    pub level: usize,
}

impl Machine {
    fn blank(name: Name, now: Instant) -> Machine {
        Machine {
            name,
            addr: String::new(),
            kind: String::new(),
            zone: String::new(),
            spot: false,
            up: false,
            known: now,
            total: Room::default(),
            used: Room::default(),
            places: BTreeSet::new(),
            session: 0,
            seq: 0,
            report_seen: (0, 0),
            deaf: false,
            unproven: false,
            digest: None,
            orders_due: true,
            postponed: false,
            services: 0,
            lapsed: None,
            fenced: None,
            heard: now,
            reported: now,
            answered: None,
            taken_at: None,
            direct: None,
            direct_from: None,
            unresolved: BTreeSet::new(),
            residue: BTreeMap::new(),
            strangers: Vec::new(),
            images: VecDeque::new(),
            cache_gb: 0.0,
            leaving: false,
            release_sent: None,
            suspect: false,
            probes_failed: 0,
            mute_calls: 0,
            unreporting: false,
            quarantined: false,
            strikes: BTreeMap::new(),
            idle_since: Some(now),
            retiring: false,
            full_until: None,
            claim: None,
            straggler: false,
            straggler_at: None,
            level: 0,
        }
    }

    /// Known from a record only: it may hold tasks.
    pub fn inherited(name: Name, addr: String, now: Instant) -> Machine {
        Machine { addr, up: true, ..Machine::blank(name, now) }
    }

    /// Rented, but not yet up.
    pub fn rented(name: Name, kind: &MachineType, zone: &str, spot: bool, now: Instant) -> Machine {
        let mut machine = Machine { kind: kind.name.clone(), zone: zone.into(), spot, ..Machine::blank(name, now) };
        machine.set_type(Some(kind));
        machine
    }

    pub fn set_type(&mut self, kind: Option<&MachineType>) {
        if let Some(kind) = kind {
            self.total = Room { cpus: kind.cpus, gpus: kind.gpus, memory_gb: kind.memory_gb };
            self.cache_gb = kind.cache_gb;
        }
    }

    pub fn hold(&mut self, key: TaskKey, spec: &JobSpec) {
        if self.places.insert(key) {
            self.orders_due = true;
            self.services += u32::from(spec.kind == Kind::Service);
            self.used.add(Room::of(spec));
            self.idle_since = None;
        }
    }

    fn release(&mut self, key: &TaskKey, spec: &JobSpec, now: Instant) {
        if self.places.remove(key) {
            self.services -= u32::from(spec.kind == Kind::Service);
            self.used.sub(Room::of(spec));
            if self.places.is_empty() {
                self.used = Room::default();
                self.idle_since = Some(now);
            }
        }
    }

    /// Whether tasks may be placed here.
    pub fn usable(&self, now: Instant) -> bool {
        self.up
            && self.fenced.is_some()
            && !self.leaving
            && !self.suspect
            && self.mute_calls == 0
            && !self.unreporting
            && !self.quarantined
            && self.taken_at.is_none()
            && self.full_until.is_none_or(|t| t <= now)
    }

    /// Whether the machine is expected to take tasks, now or once it is up. One whose report
    /// is overdue is, until a call to it fails.
    pub fn counts(&self) -> bool {
        let silent = (self.suspect && self.probes_failed > 0) || self.mute_calls >= MUTE || self.unreporting;
        !self.leaving && !silent && !self.quarantined && self.taken_at.is_none() && !self.unproven
    }

    pub fn replicas(&self) -> u32 {
        self.services
    }

    pub fn hosts_service(&self) -> bool {
        self.services > 0
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    fn used_image(&mut self, image: &str, gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push_back((image.to_owned(), gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > self.cache_gb {
            self.images.pop_front();
        }
    }

    /// A sign of life. A report alone is none for a machine whose reports were overdue: its
    /// answers may not reach it. The next one, in time, shows that the first was answered; so
    /// does the answer to a direct call.
    fn alive(&mut self, now: Instant, via: Via, report: Duration) {
        let prompt = now.duration_since(self.reported) <= report.mul_f64(LATEST_REPORT) + PROMPT;
        self.heard = now;
        self.unreporting &= via == Via::Direct;
        if via == Via::Direct {
            self.mute_calls = 0;
        } else if self.mute_calls > 0 {
            // It is back, or it hears nothing: a call tells.
            self.direct_from = self.direct_from.map(|t| t.min(now));
        }
        if via == Via::Direct || prompt {
            self.suspect = false;
            self.probes_failed = 0;
            self.leaving &= self.release_sent.is_some() || self.deaf;
        }
    }

    /// Whether a start is on its way in a direct order just now.
    fn on_its_way(&self, attempt: &Attempt) -> bool {
        self.direct.as_ref().is_some_and(|d| d.starts.contains(attempt))
    }

    /// Whether a start that went out directly may still run.
    fn unresolved(&self, attempt: &Attempt) -> bool {
        self.unresolved.contains(attempt) || self.on_its_way(attempt)
    }

    /// When the worker's lease has surely ended if nothing more is answered. Before the tables
    /// were filled any worker may have been answered, last at `unnoted`.
    fn lapse_at(&self, old_silent: Instant, unnoted: Option<Instant>, lease: Duration) -> Instant {
        let base = match (self.fenced, self.answered) {
            // Once it has seen our token no answer of an earlier leader counts.
            (Some(fenced), answered) => answered.map_or(fenced, |a| a.max(fenced)),
            (None, answered) => answered.map_or(old_silent, |a| a.max(old_silent)),
        };
        unnoted.map_or(base, |t| base.max(t)) + lease.mul_f64(DRIFT) + LAPSE_MARGIN
    }
}

/// A report's tasks, as far as they are known.
pub(crate) enum Tasks<'a> {
    /// As they came from the worker.
    Unread(&'a RawValue),
    /// In the report, with their digest.
    Told(u64),
    /// Those with this digest, which were told before.
    Digest(u64),
}

/// Most workers find a new leader by themselves, and a report soon after their first shows its
/// token: only machines with services are shown it directly before this time.
fn fence_by_report(report: Duration) -> Duration {
    report.mul_f64(LATEST_REPORT) + PROMPT
}

/// Tells lists of tasks apart.
pub(crate) fn digest(tasks: &RawValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    tasks.get().hash(&mut hasher);
    hasher.finish()
}

/// Tells apart the ways in which a report came.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Via {
    Report,
    Direct,
}

impl Term {
    pub fn types_changed(&mut self, env: &Env) {
        for machine in self.machines.values_mut() {
            let kind = env.type_named(&machine.kind);
            machine.set_type(kind);
        }
    }

    /// A worker's report that this leader answers; `None` if its tasks must be told.
    pub fn report(&mut self, env: &mut Env, report: Report, tasks: Tasks) -> Option<Answer> {
        let now = env.steady();
        let name = Name::from(report.machine.as_str());
        let lapsed = self.machines.get(&name).is_some_and(|m| m.lapsed.is_some_and(|s| report.session <= s));
        if lapsed || self.renting.is_gone(&name) {
            // Its tasks were given up; an answer would keep them alive.
            return Some(Answer::later(503, "the lease of this session has ended"));
        }
        let free = self.free_calls(env) > 0;
        if let Some(machine) = self.machines.get_mut(&name)
            && (report.session, report.seq) <= machine.report_seen
        {
            // A copy that comes late proves nothing and renews nothing: its worker may be
            // long dead. Or the worker began anew: its answer to a direct call tells.
            if free && machine.direct.is_none() && machine.direct_from.is_none_or(|t| t <= now) {
                machine.direct_from = Some(now + COPY_PROBE);
                self.direct(env, &name, Vec::new());
            }
            return Some(Answer::later(503, "an older report"));
        }
        let seen = (report.session, report.seq);
        let orders = if self.ready() {
            match self.take_tasks(env, &name, report, tasks) {
                Ok(true) => {}
                Ok(false) => return None,
                Err(error) => {
                    tracing::error!(machine = &*name, %error, "malformed report");
                    return Some(Answer::error(400, "loads: malformed"));
                }
            }
            let orders = self.orders_for(now, &name, Via::Report);
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.report_seen = machine.report_seen.max(seen);
                machine.answered = Some(now);
                machine.reported = now;
            }
            orders
        } else {
            let stops = self.stops_of_cancelled(&report, tasks)?;
            self.unnoted = Some(now);
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.report_seen = machine.report_seen.max(seen);
            }
            stops
        };
        Some(Answer::json(200, &Orders { token: self.token, session: None, orders }))
    }

    /// What an answer must stop that is given while the tables are not filled, since it lets
    /// all else run for another lease; `None` if the tasks must be told for that.
    fn stops_of_cancelled(&self, report: &Report, tasks: Tasks) -> Option<Vec<Order>> {
        if !self.jobs.values().any(|job| job.cancelled) {
            return Some(Vec::new());
        }
        let read: Vec<TaskReport>;
        let listed = match tasks {
            Tasks::Unread(raw) => {
                read = serde_json::from_str(raw.get()).unwrap_or_default();
                &read
            }
            Tasks::Told(_) => &report.tasks,
            Tasks::Digest(_) => return None,
        };
        let stops = self.cancelled_among(listed).into_iter();
        Some(stops.map(|(task, attempt)| Order::Stop { task, attempt, grace_s: 0.0 }).collect())
    }

    /// Listed tasks of cancelled jobs that have not ended.
    fn cancelled_among(&self, listed: &[TaskReport]) -> Vec<Attempt> {
        let cancelled = |task: &&TaskReport| {
            let job = parse_task(&task.task).and_then(|(id, _)| self.jobs.get(id));
            task.state != TaskState::Exited && job.is_some_and(|job| job.cancelled)
        };
        listed.iter().filter(cancelled).map(|task| (task.task.clone(), task.attempt)).collect()
    }

    /// The outcome of direct orders.
    pub fn ordered(&mut self, env: &mut Env, name: &Name, outcome: Outcome<(u16, Report)>) {
        let now = env.steady();
        self.directs -= 1;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let Some(direct) = machine.direct.take() else {
            return;
        };
        match outcome {
            Outcome::Answered((status, report)) if report.machine == **name => {
                if status == 409 {
                    // Nothing of it was executed, nor will be.
                    let session = report.session;
                    tracing::debug!(machine = &**name, session, token = report.token, "direct orders refused");
                }
                if (report.session, report.seq) < direct.seen {
                    // The answer is fresh and yet older than what was known before the call:
                    // the worker began anew, and what it lists is all that is there. But a
                    // start that was not answered may still run there: it goes with the machine.
                    let unresolved = machine.unresolved.len();
                    tracing::info!(machine = &**name, unresolved, "its worker began anew");
                    (machine.session, machine.seq, machine.report_seen) = (0, 0, (0, 0));
                    machine.deaf |= unresolved > 0;
                    machine.leaving |= machine.deaf;
                }
                self.take_report(env, name, &report, Via::Direct);
                let Some(machine) = self.machines.get_mut(name) else {
                    return;
                };
                if status == 409 && machine.fenced.is_some() {
                    machine.direct_from = Some(now + DIRECT_RETRY / 4);
                    machine.postponed = true;
                } else if machine.fenced.is_none() || std::mem::take(&mut machine.postponed) {
                    // It did not know the session; now it is known. Or it was urged meanwhile.
                    self.urge(name);
                }
            }
            Outcome::NotDone => {
                machine.probes_failed += 1;
                machine.mute_calls += 1;
                machine.direct_from = Some(now + DIRECT_RETRY * machine.mute_calls.min(MOST_BACKOFF));
            }
            _ => {
                machine.probes_failed += 1;
                machine.mute_calls += 1;
                machine.direct_from = Some(now + DIRECT_RETRY * machine.mute_calls.min(MOST_BACKOFF));
                if machine.session == direct.session {
                    machine.unresolved.extend(direct.starts);
                }
            }
        }
    }

    /// Reads a report's tasks only if they are not those of the report before: in a large
    /// fleet most are, and there is nothing to learn from them but that the machine lives.
    /// False if they changed and are not there to be read.
    fn take_tasks(
        &mut self,
        env: &mut Env,
        name: &Name,
        mut report: Report,
        tasks: Tasks,
    ) -> Result<bool, serde_json::Error> {
        let digest = match &tasks {
            Tasks::Unread(raw) => digest(raw),
            Tasks::Told(digest) | Tasks::Digest(digest) => *digest,
        };
        if let Some(machine) = self.machines.get_mut(name)
            && machine.digest == Some(digest)
            && machine.session == report.session
            && machine.seq < report.seq
            && machine.fenced.is_some()
            && report.token >= self.token
            && report.notice_s.is_none()
            && (machine.addr == report.addr || matches!(tasks, Tasks::Digest(_)))
        {
            machine.seq = report.seq;
            machine.alive(env.steady(), Via::Report, env.facts.report);
            return Ok(true);
        }
        match tasks {
            Tasks::Unread(raw) => report.tasks = serde_json::from_str(raw.get())?,
            Tasks::Told(_) => {}
            Tasks::Digest(_) => return Ok(false),
        }
        if self.take_report(env, name, &report, Via::Report)
            && let Some(machine) = self.machines.get_mut(name)
        {
            machine.digest = Some(digest);
        }
        Ok(true)
    }

    /// Learns from a report; false if it says nothing of the tasks.
    fn take_report(&mut self, env: &mut Env, name: &Name, report: &Report, via: Via) -> bool {
        let now = env.steady();
        if !self.machines.contains_key(name) {
            tracing::info!(machine = &**name, spot = report.spot, zone = report.zone, "an unexpected machine reports");
            self.machines.insert(name.clone(), Machine { unproven: true, ..Machine::blank(name.clone(), now) });
        }
        let token = self.token;
        let machine = self.machines.get_mut(name).expect("just inserted");
        if (report.session, report.seq) <= (machine.session, machine.seq) {
            return false;
        }
        machine.digest = None;
        if !machine.up || machine.kind != report.kind {
            tracing::debug!(machine = &**name, after_s = now.duration_since(machine.known).as_secs(), "up");
            machine.up = true;
            machine.idle_since.get_or_insert(now);
            machine.kind = report.kind.clone();
            machine.zone = report.zone.clone();
            self.zones.insert(report.zone.clone());
            machine.spot = report.spot;
            machine.set_type(env.type_named(&report.kind));
            self.place_due = true;
        }
        machine.addr = report.addr.clone();
        machine.alive(now, via, env.facts.report);
        let new_session = report.session > machine.session && machine.session > 0;
        let renewed = machine.answered.is_some_and(|t| now.duration_since(t) < env.facts.lease.mul_f64(RENEWED));
        if new_session && renewed && via == Via::Report && machine.fenced.is_some() && !machine.deaf {
            // Its lease ended although it was answered: the answers do not reach it. It gets
            // no work and is returned; its tasks move once that is confirmed, or by its session.
            tracing::info!(machine = &**name, "answers do not reach it; given up");
            machine.deaf = true;
            machine.leaving = true;
        }
        machine.session = report.session;
        machine.seq = report.seq;
        if report.token < token {
            // The answer that shows it our token also renews its lease.
            let condemned = self.cancelled_among(&report.tasks).into_iter();
            let strangers = condemned.map(|attempt| (attempt, false)).collect();
            self.machines.get_mut(name).expect("reported").strangers = strangers;
            // An earlier leader may still command it: show it the token first. The answer to a
            // report does so too, a little later.
            let later = via == Via::Report && now.duration_since(self.since) < fence_by_report(env.facts.report);
            if !later || self.machines[name].hosts_service() {
                self.urge(name);
            }
            return false;
        }
        let was_fenced = machine.fenced.is_some();
        machine.fenced.get_or_insert(now);
        machine.unproven = false;
        if new_session && was_fenced {
            self.session_ended(env, name);
        }
        let mut seen: BTreeSet<TaskKey> = BTreeSet::new();
        let mut strangers = Vec::new();
        let mut listed: BTreeSet<Attempt> = BTreeSet::new();
        for task in &report.tasks {
            let attempt: Attempt = (task.task.clone(), task.attempt);
            let key = parse_task(&task.task).map(|(id, index)| (Name::from(id), index));
            let ours = key.as_ref().is_some_and(|(job, index)| {
                let place = self.jobs.get(job).and_then(|job| job.places.get(index));
                place.is_some_and(|place| place.machine == *name && place.attempt == task.attempt)
            });
            if let (true, Some(key)) = (ours, key) {
                seen.insert(key.clone());
                self.task_seen(env, &key, task);
            } else if !self.machines[name].residue.contains_key(&attempt) {
                strangers.push((attempt.clone(), task.state == TaskState::Exited));
            }
            listed.insert(attempt);
        }
        let machine = self.machines.get_mut(name).expect("reported");
        let stop = strangers.iter().any(|(_, exited)| !exited);
        machine.strangers = strangers;
        machine.orders_due = true;
        machine.residue.retain(|attempt, _| listed.contains(attempt));
        let missing: Vec<TaskKey> = machine.places.difference(&seen).cloned().collect();
        if stop {
            self.urge(name);
        }
        for key in missing {
            let place = &self.jobs[&key.0].places[&key.1];
            // A start that was only ordered is repeated; what was there before, or came
            // from a record, is proven gone.
            let late = self.machines[name].unresolved.contains(&(format!("{}/{}", key.0, key.1), place.attempt));
            if !matches!(place.stage, Stage::Planned | Stage::Ordered) && !late {
                tracing::debug!(job = &*key.0, task = key.1, machine = &**name, "not there");
                self.place_empty(env, &key, now);
            }
        }
        self.notice(env, name, report.notice_s);
        true
    }

    /// A new session: the worker has dropped everything, and no order of the old
    /// session is taken any more.
    fn session_ended(&mut self, env: &mut Env, name: &Name) {
        let now = env.steady();
        let machine = self.machines.get_mut(name).expect("reported");
        machine.unresolved.clear();
        machine.residue.clear();
        machine.images.clear();
        tracing::info!(machine = &**name, session = machine.session, tasks = machine.places.len(), "new session");
        for key in machine.places.clone() {
            if self.jobs[&key.0].places[&key.1].sent {
                self.place_empty(env, &key, now);
            }
        }
    }

    fn task_seen(&mut self, env: &mut Env, key: &TaskKey, report: &TaskReport) {
        let now = env.steady();
        let job = self.jobs.get_mut(&key.0).expect("placed");
        let place = job.places.get_mut(&key.1).expect("placed");
        let before = place.stage;
        match report.state {
            TaskState::Fetching => place.stage = Stage::Fetching,
            TaskState::Saving => place.stage = Stage::Saving,
            TaskState::Running => {
                place.stage = Stage::Running;
                if place.running.is_none() {
                    place.running = Some(now);
                    job.running += 1;
                    let machine = self.machines.get_mut(&place.machine).expect("placed");
                    machine.used_image(&job.spec.image, job.spec.image_gb);
                }
            }
            TaskState::Exited => {
                self.task_exited(env, key, report.why.unwrap_or(Cause::Error));
                return;
            }
        }
        if before != place.stage {
            let (wanted, unsent) = (place.stop.is_some(), place.stop_sent.is_none());
            if wanted && unsent {
                let machine = place.machine.clone();
                self.urge(&machine);
            }
            self.note_progress(&key.0);
        }
    }

    fn task_exited(&mut self, env: &mut Env, key: &TaskKey, why: Cause) {
        let now = env.steady();
        let job = self.jobs.get_mut(&key.0).expect("placed");
        let place = job.places[&key.1].clone();
        let mut again = now;
        match why {
            Cause::Done => {
                job.set_done(key.1);
                if let Some(since) = place.running {
                    let run_s = now.duration_since(since).as_secs_f64();
                    job.learn_run(run_s);
                    self.speculation.finished(&key.0, &place.machine, run_s);
                }
                self.succeeded(&key.0, &place);
            }
            Cause::Stopped => {}
            Cause::Error => again = self.failed(now, key, &place),
            Cause::NoRoom => {
                let machine = self.machines.get_mut(&place.machine).expect("placed");
                machine.full_until = Some(now + Duration::from_secs(2));
            }
            Cause::Busy => again = now + Duration::from_secs(2),
            Cause::Unknown => again = now + Duration::from_secs(5),
        }
        tracing::debug!(job = &*key.0, task = key.1, machine = &*place.machine, ?why, "exited");
        self.place_empty(env, key, again);
        let machine = self.machines.get_mut(&place.machine).expect("placed");
        machine.residue.insert((format!("{}/{}", key.0, key.1), place.attempt), key.clone());
        self.after_change(&key.0);
    }

    fn succeeded(&mut self, job: &Name, place: &Place) {
        let machine = self.machines.get_mut(&place.machine).expect("placed");
        machine.strikes.retain(|_, at| place.placed < *at);
        // A job that works elsewhere clears itself of the failures it had.
        let failed_on = self.jobs[job].failed_on.clone();
        for name in failed_on.iter().filter(|name| **name != place.machine) {
            if self.machines.get(name).is_some_and(|m| m.strikes.contains_key(job)) {
                self.quarantine(name);
            }
        }
    }

    /// A task failed. Tells machines that fail every task apart from jobs that fail
    /// everywhere; returns when the task may be tried again.
    fn failed(&mut self, now: Instant, key: &TaskKey, place: &Place) -> Instant {
        let job = self.jobs.get_mut(&key.0).expect("placed");
        job.failed_on.insert(place.machine.clone());
        job.failures += 1;
        let works = job.done_count > 0
            || job.places.values().any(|p| {
                p.machine != place.machine && p.running.is_some_and(|t| now.duration_since(t) > Duration::from_secs(5))
            });
        let bad_job = !works && job.failed_on.len() >= FAILS_EVERYWHERE;
        let failures = job.failures;
        let machine = self.machines.get_mut(&place.machine).expect("placed");
        if !bad_job {
            machine.strikes.insert(key.0.clone(), now);
            if works || machine.strikes.len() >= 2 {
                let name = place.machine.clone();
                self.quarantine(&name);
            }
        }
        let wait = if bad_job { 2f64.powi(failures.min(6) as i32 - 2).min(30.0) } else { 0.0 };
        now + Duration::from_secs_f64(wait)
    }

    fn quarantine(&mut self, name: &Name) {
        if let Some(machine) = self.machines.get_mut(name)
            && !machine.quarantined
        {
            tracing::info!(
                machine = &**name,
                jobs = machine.strikes.len(),
                "quarantined: it fails the tasks it starts"
            );
            machine.quarantined = true;
        }
    }

    /// The place of a task is proven empty.
    pub fn place_empty(&mut self, env: &mut Env, key: &TaskKey, again: Instant) {
        let now = env.steady();
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        let Some(place) = job.places.remove(&key.1) else {
            return;
        };
        if place.running.is_some() {
            job.running -= 1;
        }
        job.put_back(key.1, again);
        self.quotas.sub(&job.spec);
        if let Some(machine) = self.machines.get_mut(&place.machine) {
            machine.release(key, &job.spec, now);
        }
        self.records.changed(key.clone(), None);
        self.place_due = true;
        self.note_progress(&key.0);
        self.after_change(&key.0);
    }

    /// Orders a task to leave its machine. One that was never ordered just stays away.
    pub fn stop_task(&mut self, env: &mut Env, job: &Name, task: u32, grace: f64) {
        let Some(place) = self.jobs.get_mut(job).and_then(|job| job.places.get_mut(&task)) else {
            return;
        };
        if !place.sent {
            let now = env.steady();
            self.place_empty(env, &(job.clone(), task), now);
            return;
        }
        if place.stop.is_none_or(|earlier| grace < earlier) {
            place.stop = Some(grace);
            place.stop_sent = None;
            let name = place.machine.clone();
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.orders_due = true;
            }
            self.urge(&name);
        }
    }

    /// What the machine should be told now.
    fn orders_for(&mut self, now: Instant, name: &Name, via: Via) -> Vec<Order> {
        let mut orders = Vec::new();
        let Some(machine) = self.machines.get_mut(name) else {
            return orders;
        };
        if machine.fenced.is_none() {
            let stop = |(task, attempt): &Attempt| Order::Stop { task: task.clone(), attempt: *attempt, grace_s: 0.0 };
            return machine.strangers.iter().map(|(attempt, _)| stop(attempt)).collect();
        }
        if !machine.orders_due {
            return orders;
        }
        let mut due_again = !machine.strangers.is_empty() || !machine.residue.is_empty();
        for key in &machine.places {
            if orders.len() >= MAX_ORDERS {
                due_again = true;
                break;
            }
            let place = self.jobs.get_mut(&key.0).and_then(|job| job.places.get_mut(&key.1)).expect("placed");
            let settled = matches!(place.stage, Stage::Fetching | Stage::Running | Stage::Saving);
            due_again |= !settled || place.stop.is_some();
            if (settled && place.stop.is_none()) || matches!(place.stage, Stage::Planned | Stage::Inherited) {
                continue;
            }
            let task = format!("{}/{}", key.0, key.1);
            let attempt = (task.clone(), place.attempt);
            let stop = |grace_s| Order::Stop { task: task.clone(), attempt: place.attempt, grace_s };
            match place.stop {
                None => {
                    let first = !place.sent;
                    if first || (via == Via::Report && !machine.on_its_way(&attempt)) {
                        place.sent = true;
                        orders.push(Order::Start { task, attempt: place.attempt });
                    }
                }
                // The start may have been lost or be late: started and stopped at once,
                // the entry that remains keeps a late copy from running.
                Some(_) if !settled => {
                    if via == Via::Report {
                        orders.push(Order::Start { task: task.clone(), attempt: place.attempt });
                        orders.push(stop(0.0));
                        place.stop_sent = Some(now);
                    }
                }
                Some(grace) => {
                    let due = match place.stop_sent {
                        None => true,
                        Some(sent) => {
                            // One that saves is told again only if it must not.
                            let waits = place.stage == Stage::Saving && grace > 0.0;
                            via == Via::Report && !waits && now.duration_since(sent) > REPEAT_STOP
                        }
                    };
                    if due {
                        orders.push(stop(grace));
                        place.stop_sent = Some(now);
                    }
                }
            }
        }
        machine.orders_due = due_again;
        for ((task, attempt), exited) in &machine.strangers {
            if orders.len() >= MAX_ORDERS {
                break;
            }
            let (task, attempt) = (task.clone(), *attempt);
            if !exited {
                orders.push(Order::Stop { task, attempt, grace_s: 0.0 });
            } else if via == Via::Report && !machine.unresolved(&(task.clone(), attempt)) {
                orders.push(Order::Forget { task, attempt });
            }
        }
        if via == Via::Report {
            for (entry, key) in &machine.residue {
                if orders.len() >= MAX_ORDERS {
                    break;
                }
                if !machine.unresolved(entry) && self.records.durable(key) {
                    orders.push(Order::Forget { task: entry.0.clone(), attempt: entry.1 });
                }
            }
        }
        orders
    }

    /// A machine has orders, or must be shown the token, before its next report.
    pub fn urge(&mut self, name: &Name) {
        let hosts = self.machines.get(name).is_some_and(Machine::hosts_service);
        self.urgent.insert((!hosts, name.clone()));
    }

    /// Sends direct orders to the machines that should not wait for their report, those with
    /// services first, as many at a time as there are sockets for.
    pub fn send_urgent(&mut self, env: &mut Env) {
        let now = env.steady();
        while self.free_calls(env) > 0 {
            let Some((_, name)) = self.urgent.pop_first() else {
                return;
            };
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            if machine.addr.is_empty() || !machine.up {
                continue;
            }
            if machine.direct.is_some() || machine.direct_from.is_some_and(|t| t > now) {
                machine.postponed = true;
                continue;
            }
            let probe = machine.fenced.is_none() || machine.mute_calls > 0;
            let orders = self.orders_for(now, &name, Via::Direct);
            if orders.is_empty() && !probe {
                continue;
            }
            self.direct(env, &name, orders);
        }
    }

    fn direct(&mut self, env: &mut Env, name: &Name, orders: Vec<Order>) {
        self.call_begun();
        let machine = self.machines.get_mut(name).expect("known");
        let starts = orders.iter().filter_map(|order| match order {
            Order::Start { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        });
        let session = machine.session;
        machine.direct = Some(Direct { session, seen: (session, machine.seq), starts: starts.collect() });
        let body = Orders { token: self.token, session: Some(session), orders };
        env.order(name.clone(), machine.addr.clone(), body);
    }

    /// A few times a second: leases that have ended, machines that fell silent.
    pub fn check_silence(&mut self, env: &mut Env) {
        let now = env.steady();
        let lease = env.facts.lease;
        let report = env.facts.report;
        let late = report.mul_f64(LATEST_REPORT) + Duration::from_millis(300);
        let give_up = report.mul_f64(env.policy.silent_reports);
        let mut lapsed = Vec::new();
        let mut silent = Vec::new();
        let mut due = Vec::new();
        let fence_all = now.duration_since(self.since) >= fence_by_report(env.facts.report);
        let (mut up, mut overdue, mut unheard, mut unreported, mut unreached) = (0, 0, 0, 0, 0);
        let alone = now.duration_since(self.visited) > late + PROBE;
        let mut mute = false;
        let mut unreporting = Vec::new();
        let (mut failing, mut all, mut quiet_ones) = (0, Silent::default(), Silent::default());
        for machine in self.machines.values_mut().filter(|m| m.up) {
            up += 1;
            all.note(machine);
            if machine.claim.as_ref().is_some_and(|claim| claim.until <= now) {
                machine.claim = None;
            }
            let quiet = now.duration_since(machine.heard);
            overdue += usize::from(quiet > late);
            unreached += usize::from(machine.fenced.is_none() && machine.probes_failed > 0);
            failing += usize::from(machine.probes_failed > 0 && !machine.leaving);
            mute |= machine.mute_calls > 0 && !machine.leaving;
            if quiet > late || machine.fenced.is_none() && machine.probes_failed > 0 {
                quiet_ones.note(machine);
            }
            unheard += usize::from(quiet > late + PROBE);
            if now.duration_since(machine.reported) > late + PROBE {
                unreported += 1;
                unreporting.push(machine.name.clone());
            }
            if machine.direct.is_none() && machine.direct_from.is_none_or(|t| t <= now) {
                let unfenced = machine.fenced.is_none() && (fence_all || machine.hosts_service());
                if std::mem::take(&mut machine.postponed) || unfenced || machine.mute_calls > 0 {
                    due.push(machine.name.clone());
                }
            }
            if quiet > late && !machine.suspect {
                machine.suspect = true;
                machine.probes_failed = 0;
                machine.direct_from = None;
                tracing::debug!(machine = &*machine.name, "its report is overdue");
            }
            if now > machine.lapse_at(self.old_silent, self.unnoted, lease)
                && quiet > lease
                && !machine.places.is_empty()
            {
                lapsed.push(machine.name.clone());
            }
            // One that a new leader never reached has no report that could be overdue.
            let waited = if machine.fenced.is_some() { late + PROBE } else { PROBE * 2 };
            let gone = machine.probes_failed >= PROBES && quiet > waited;
            // One that was not called yet, since calls are few, may live.
            let called = machine.probes_failed > 0 || machine.addr.is_empty();
            if (gone || called && quiet > give_up) && !machine.leaving {
                silent.push(machine.name.clone());
            }
        }
        due.iter().for_each(|name| self.urge(name));
        for name in lapsed {
            self.lease_lapsed(env, &name);
        }
        // A leader that the workers cannot reach keeps them from one that they could, until
        // their leases end. After a takeover they take a while to find it.
        let most = |count: usize| up >= 3 && count * 5 >= up * 4;
        let settled = now.duration_since(self.since) > SETTLING * env.facts.others.len() as u32 + late;
        // Reports that other nodes hand on arrive all the same, but no call of ours does.
        let deaf_ears = alone && self.survey.most && !most(unheard);
        self.cut_off = most(unreached) || deaf_ears || most(unreported) && (most(unheard) || settled);
        // Reports of most machines missing, or just after a takeover: they look for this node.
        if settled && !most(unreported) {
            for name in unreporting {
                let machine = self.machines.get_mut(&name).expect("listed");
                if !std::mem::replace(&mut machine.unreporting, true) && !machine.suspect {
                    tracing::info!(machine = &*name, "answers calls, but does not report; gets no work");
                }
            }
        }
        // Most silent at once: more likely the network, or this node, than the machines.
        // Returning them would kill what still runs.
        let most = overdue > 2 && overdue * 2 > up || self.survey.most || self.asking(now);
        // Without a worker of its own a leader asks some others as soon as one does not answer.
        let asked = if failing >= SURVEY_FROM { SURVEYED } else { usize::from(alone && mute) * ASKED_ALONE };
        self.survey(env, asked, quiet_ones, all);
        for name in silent.into_iter().filter(|_| !most) {
            // So is a good part of a large fleet: its tasks run on until their leases end, and
            // other machines are made ready for them meanwhile.
            let machine = &self.machines[&name];
            if self.parted(machine) && now < self.spared_until(env, machine) {
                continue;
            }
            let machine = self.machines.get_mut(&name).expect("listed");
            let (tasks, quiet) = (machine.places.len(), now.duration_since(machine.heard));
            let (spot, failed) = (machine.spot, machine.probes_failed);
            tracing::info!(machine = &*name, tasks, spot, failed, quiet_s = quiet.as_secs(), "silent; given up");
            machine.leaving = true;
        }
        let probes: Vec<Name> = self
            .machines
            .values()
            .filter(|m| m.suspect && m.direct.is_none() && !m.addr.is_empty())
            .filter(|m| m.direct_from.is_none_or(|t| t <= now))
            .map(|m| m.name.clone())
            .take(self.free_calls(env))
            .collect();
        for name in probes {
            self.direct(env, &name, Vec::new());
        }
    }

    fn lease_lapsed(&mut self, env: &mut Env, name: &Name) {
        let now = env.steady();
        let machine = self.machines.get_mut(name).expect("listed");
        tracing::info!(machine = &**name, tasks = machine.places.len(), "its lease has ended");
        machine.lapsed = Some(machine.session);
        machine.unresolved.clear();
        machine.residue.clear();
        for key in machine.places.clone() {
            self.place_empty(env, &key, now);
        }
    }

    /// The machine and everything on it are gone.
    pub fn machine_gone(&mut self, env: &mut Env, name: &Name) {
        let now = env.steady();
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        for key in machine.places.clone() {
            self.place_empty(env, &key, now);
        }
        self.machines.remove(name);
        self.renting.gone(name, GONE_KEPT);
        self.place_due = true;
    }

    /// The cloud's list names this machine.
    pub fn machine_listed(&mut self, env: &mut Env, listed: &Listed) {
        let now = env.steady();
        let name = Name::from(listed.id.as_str());
        if self.renting.is_gone(&name) {
            return;
        }
        if listed.phase == CloudPhase::Failed {
            if self.machines.contains_key(&name) {
                tracing::info!(machine = &*name, "failed, says the cloud");
                self.machine_gone(env, &name);
                self.renting.release_later(name);
            }
            return;
        }
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            let age = Duration::from_secs_f64(listed.age_s.clamp(0.0, 1e6));
            let known = now.checked_sub(age).unwrap_or(now);
            Machine { known, ..Machine::blank(name.clone(), now) }
        });
        if machine.kind.is_empty() {
            machine.kind = listed.kind.clone();
            machine.zone = listed.zone.clone();
            self.zones.insert(listed.zone.clone());
            machine.spot = listed.spot;
            machine.set_type(env.type_named(&listed.kind));
        }
        if machine.addr.is_empty() {
            machine.addr = listed.addr.clone();
        }
        if listed.phase == CloudPhase::Running && !machine.up && !machine.addr.is_empty() {
            // Its worker may report to another node still: show it the token.
            machine.up = true;
            machine.heard = now;
            machine.reported = now;
            self.urge(&name);
        }
    }

    /// The cloud takes a spot machine away: what saves is told to save, what cannot
    /// finish in time is moved at once.
    fn notice(&mut self, env: &mut Env, name: &Name, notice_s: Option<f64>) {
        let now = env.steady();
        let Some(left) = notice_s else { return };
        let machine = self.machines.get_mut(name).expect("reported");
        let left = Duration::from_secs_f64(left.clamp(0.0, 1e6));
        if machine.taken_at.is_none() {
            tracing::info!(machine = &**name, in_s = left.as_secs(), tasks = machine.places.len(), "to be taken");
        }
        machine.taken_at = Some(now + left);
        let keys: Vec<TaskKey> = machine.places.iter().cloned().collect();
        for (job, task) in keys {
            let Some(owner) = self.jobs.get(&job) else {
                continue;
            };
            let spec = &owner.spec;
            let place = &owner.places[&task];
            let ran = place.running.map_or(0.0, |t| now.duration_since(t).as_secs_f64());
            let finishes = spec.kind == Kind::Array
                && place.running.is_some()
                && (owner.mean_run_s - ran).max(0.0) + 1.0 < left.as_secs_f64();
            if !finishes && place.stop.is_none() {
                let saves = spec.checkpoint_s > 0.0 && place.running.is_some();
                let grace = if saves { spec.save_s } else { 0.0 };
                self.stop_task(env, &job, task, grace);
            }
        }
    }
}
