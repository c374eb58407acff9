//! A machine as the leader knows it: what its worker told, what is placed on it, and when its lease ends.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rushyoke_failover::{Access, DrainReasons};
use rushyoke_wire::cloud::MachineType;
use rushyoke_wire::job::{JobSpec, Kind};
use rushyoke_wire::worker::Report;

use super::direct_calls::DirectCall;
use super::images::ImageCache;
use super::{Attempt, Channel, LATEST_REPORT_FACTOR, REPORT_DELAY_ALLOWANCE};
use crate::jobs::{Name, TaskKey};
use crate::quota::Resources;

/// Failed calls in a row from which on a machine that reports all the same is no capacity.
const FAILED_CALLS: u32 = 3;
/// For so long a worker waits for the answer to a report.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// Room on a machine that is kept for a job.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub job: Name,
    pub resources: Resources,
    pub until: Instant,
    /// Others were stopped for it; else it waits for what comes free.
    pub by_preemption: bool,
}

/// What the leader knows of a machine and its worker.
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
    pub known_since: Instant,
    pub total: Resources,
    pub used: Resources,
    pub tasks: BTreeSet<TaskKey>,
    pub(super) session: u64,
    pub(super) seq: u64,
    /// Session and number of the newest report; an older one is a late copy.
    pub(super) newest_report: (u64, u64),
    /// It reports, but what it is answered does not reach it.
    pub(super) responses_lost: bool,
    /// It reported without being expected, and has not shown that it knows our token.
    pub(super) unverified: bool,
    /// Digest of the tasks in the last report, if they are all that is known of it since.
    pub(super) tasks_digest: Option<u64>,
    /// There may be orders to give; else its places are as they should be.
    pub(super) orders_due: bool,
    /// It was told lately, or is to be told, to stop tasks at once.
    pub(super) has_immediate_stops: bool,
    /// It was to be called while it could not be.
    pub(super) call_postponed: bool,
    /// Places that belong to services.
    pub(super) service_replicas: u32,
    /// Session that surely ended with its lease.
    pub(super) expired_session: Option<u64>,
    /// When it first showed that it has seen our token.
    pub(super) fenced: Option<Instant>,
    pub last_heard: Instant,
    /// The last report, or when this leader came to know the machine.
    pub(super) last_reported: Instant,
    /// Time between the last two reports.
    pub(super) report_gap: Option<Duration>,
    pub(super) last_response: Option<Instant>,
    pub reclaimed_at: Option<Instant>,
    pub(super) direct_call: Option<DirectCall>,
    pub(super) next_call_at: Option<Instant>,
    pub(super) unresolved_starts: BTreeSet<Attempt>,
    /// Exited tasks that the worker still lists.
    pub(super) exited: BTreeMap<Attempt, TaskKey>,
    pub(super) unexpected: Vec<(Attempt, bool)>,
    /// Images believed to be on it.
    pub images: ImageCache,
    /// It is being returned, or is about to be.
    pub releasing: bool,
    pub release_sent: Option<Instant>,
    pub suspect: bool,
    /// Direct calls that failed since its report was overdue.
    pub(super) failed_probes: u32,
    /// Direct calls in a row that failed, whatever it reported meanwhile: it may be heard and
    /// hear nothing itself. It gets no work until one is answered.
    pub(super) failed_calls: u32,
    /// It answers direct calls, but its reports come no more, and so its lease ends again and
    /// again: what is started there is lost.
    pub(super) reports_missing: bool,
    pub quarantined: bool,
    /// Jobs whose tasks failed here since a task that started later completed.
    pub(super) failed_jobs: BTreeMap<Name, Instant>,
    pub idle_since: Option<Instant>,
    /// More than enough is there: it gets no work that fits elsewhere, to be returned.
    pub retiring: bool,
    pub(super) full_until: Option<Instant>,
    pub reservation: Option<Reservation>,
    pub straggler: bool,
    /// When its straggler value was last too high.
    pub last_straggling: Option<Instant>,
    pub level: usize,
    /// Whether its zone takes new work.
    pub access: Access,
    /// Its zone is not healthy: what it was drained for when that was seen still holds.
    pub zone_unhealthy: bool,
    pub drain: DrainReasons,
}

impl Machine {
    pub(super) fn new(name: Name, now: Instant) -> Machine {
        Machine {
            name,
            addr: String::new(),
            kind: String::new(),
            zone: String::new(),
            spot: false,
            up: false,
            known_since: now,
            total: Resources::default(),
            used: Resources::default(),
            tasks: BTreeSet::new(),
            session: 0,
            seq: 0,
            newest_report: (0, 0),
            responses_lost: false,
            unverified: false,
            tasks_digest: None,
            orders_due: true,
            has_immediate_stops: false,
            call_postponed: false,
            service_replicas: 0,
            expired_session: None,
            fenced: None,
            last_heard: now,
            last_reported: now,
            report_gap: None,
            last_response: None,
            reclaimed_at: None,
            direct_call: None,
            next_call_at: None,
            unresolved_starts: BTreeSet::new(),
            exited: BTreeMap::new(),
            unexpected: Vec::new(),
            images: ImageCache::default(),
            releasing: false,
            release_sent: None,
            suspect: false,
            failed_probes: 0,
            failed_calls: 0,
            reports_missing: false,
            quarantined: false,
            failed_jobs: BTreeMap::new(),
            idle_since: Some(now),
            retiring: false,
            full_until: None,
            reservation: None,
            straggler: false,
            last_straggling: None,
            level: 0,
            access: Access::Open,
            zone_unhealthy: false,
            drain: DrainReasons::default(),
        }
    }

    /// Known from a record only: it may hold tasks.
    pub fn from_record(name: Name, addr: String, now: Instant) -> Machine {
        Machine { addr, up: true, ..Machine::new(name, now) }
    }

    /// Rented, but not yet up.
    pub fn rented(name: Name, kind: &MachineType, zone: &str, spot: bool, now: Instant) -> Machine {
        let mut machine = Machine { kind: kind.name.clone(), zone: zone.into(), spot, ..Machine::new(name, now) };
        machine.apply_type(Some(kind));
        machine
    }

    /// A worker reports from it for the first time, or as another kind of machine.
    pub(super) fn mark_up(&mut self, now: Instant, report: &Report, kind: Option<&MachineType>) {
        tracing::debug!(machine = &*self.name, after_s = now.duration_since(self.known_since).as_secs(), "up");
        self.up = true;
        self.idle_since.get_or_insert(now);
        self.kind = report.kind.clone();
        self.zone = report.zone.clone();
        self.spot = report.spot;
        self.apply_type(kind);
    }

    /// What the cloud says of its type, if it does.
    pub fn apply_type(&mut self, kind: Option<&MachineType>) {
        if let Some(kind) = kind {
            self.total = Resources { cpus: kind.cpus, gpus: kind.gpus, memory_gb: kind.memory_gb };
            self.images.resize(kind.cache_gb);
        }
    }

    pub fn add_task(&mut self, key: TaskKey, spec: &JobSpec) {
        if self.tasks.insert(key) {
            self.orders_due = true;
            self.service_replicas += u32::from(spec.kind == Kind::Service);
            self.used.add(Resources::of(spec));
            self.idle_since = None;
        }
    }

    pub(super) fn remove_task(&mut self, key: &TaskKey, spec: &JobSpec, now: Instant) {
        if self.tasks.remove(key) {
            self.service_replicas -= u32::from(spec.kind == Kind::Service);
            self.used.sub(Resources::of(spec));
            if self.tasks.is_empty() {
                self.used = Resources::default();
                self.idle_since = Some(now);
            }
        }
    }

    /// Whether its worker has shown this leader what it holds.
    pub fn is_fenced(&self) -> bool {
        self.fenced.is_some()
    }

    /// Whether a report of its worker was answered lately, and so its lease renewed.
    pub fn lease_recently_renewed(&self, now: Instant, report: Duration) -> bool {
        let longest = report.mul_f64(LATEST_REPORT_FACTOR) + REPORT_DELAY_ALLOWANCE;
        self.last_response.is_some_and(|at| now.duration_since(at) <= longest)
    }

    /// Whether tasks may be placed here.
    pub fn is_schedulable(&self, now: Instant) -> bool {
        self.up
            && self.fenced.is_some()
            && !self.releasing
            && !self.suspect
            && self.failed_calls == 0
            && !self.reports_missing
            && !self.quarantined
            && matches!(self.access, Access::Open | Access::Ramped)
            && self.reclaimed_at.is_none()
            && self.full_until.is_none_or(|t| t <= now)
    }

    /// Whether the machine is expected to take tasks, now or once it is up. One whose report
    /// is overdue is, until a call to it fails.
    pub fn counts_as_capacity(&self) -> bool {
        let silent =
            (self.suspect && self.failed_probes > 0) || self.failed_calls >= FAILED_CALLS || self.reports_missing;
        let takes_tasks = !silent && !self.quarantined && self.access != Access::Closed;
        !self.releasing && takes_tasks && self.reclaimed_at.is_none() && !self.unverified
    }

    /// Whether it was being drained for a reason when its zone was suspected.
    pub fn was_drained_for(&self, reason: fn(DrainReasons) -> bool) -> bool {
        self.zone_unhealthy && reason(self.drain)
    }

    /// Whether its worker surely hears the answers to its reports: it keeps one in flight at a time, and waits
    /// for an answer for longer than passed between the last two.
    pub fn receives_responses(&self) -> bool {
        self.report_gap.is_some_and(|gap| gap < ANSWER_LIMIT)
    }

    /// Whether it answers calls while its reports come no more.
    pub fn reports_missing(&self) -> bool {
        self.reports_missing
    }

    /// Whether its zone takes all work that fits.
    pub fn in_open_zone(&self) -> bool {
        self.access == Access::Open
    }

    pub fn service_replicas(&self) -> u32 {
        self.service_replicas
    }

    pub fn hosts_service(&self) -> bool {
        self.service_replicas > 0
    }

    /// A sign of life. A report alone is none for a machine whose reports were overdue: its
    /// answers may not reach it. The next one, in time, shows that the first was answered; so
    /// does the answer to a direct call.
    pub(super) fn note_alive(&mut self, now: Instant, via: Channel, report: Duration) {
        let prompt =
            now.duration_since(self.last_reported) <= report.mul_f64(LATEST_REPORT_FACTOR) + REPORT_DELAY_ALLOWANCE;
        self.last_heard = now;
        self.reports_missing &= via == Channel::Direct;
        if via == Channel::Direct {
            self.failed_calls = 0;
        } else if self.failed_calls > 0 {
            // It is back, or it hears nothing: a call tells.
            self.next_call_at = self.next_call_at.map(|t| t.min(now));
        }
        if via == Channel::Direct || prompt {
            self.suspect = false;
            self.failed_probes = 0;
            self.releasing &= self.release_sent.is_some() || self.responses_lost;
        }
    }
}
