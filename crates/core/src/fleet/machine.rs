//! A machine as the leader knows it: what its worker reported, which tasks are placed on it, and the state of its lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rushyoke_failover::{Access, DrainReasons};
use rushyoke_wire::cloud::MachineType;
use rushyoke_wire::job::{JobSpec, Kind};
use rushyoke_wire::worker::Report;

use super::direct_calls::DirectCall;
use super::images::ImageCache;
use super::restarts::ReportedList;
use super::{Attempt, Channel, LATEST_REPORT_FACTOR, REPORT_DELAY_ALLOWANCE, UnexpectedAttempt};
use crate::jobs::{Name, TaskKey};
use crate::quota::Resources;

/// Consecutive failed direct calls from which a machine no longer counts as capacity, even if it still reports.
const UNUSABLE_AFTER_FAILED_CALLS: u32 = 3;
/// How long a worker waits for the response to a report.
const WORKER_RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Resources on a machine that are reserved for a job.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// Job whose tasks may use the resources.
    pub job: Name,
    /// Resources that its tasks have not used yet.
    pub resources: Resources,
    /// When the reservation ends.
    pub until: Instant,
    /// Whether other tasks were stopped for it. Otherwise it waits for resources that become free.
    pub by_preemption: bool,
}

/// The leader's state for a machine and its worker.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub name: Name,
    /// Address of its worker for direct calls; empty while unknown.
    pub addr: String,
    /// Name of its machine type.
    pub type_name: String,
    pub zone: String,
    /// Whether the cloud may reclaim it at short notice.
    pub spot: bool,
    /// Whether it is running: its worker has reported or responded, or the cloud or a record says so.
    pub up: bool,
    /// When it was rented or first known.
    pub known_since: Instant,
    /// Resources of the machine.
    pub total: Resources,
    /// Resources requested by the tasks placed on it.
    pub used: Resources,
    /// Tasks placed on it.
    pub tasks: BTreeSet<TaskKey>,
    /// Session of the newest message from its worker.
    pub(super) session: u64,
    /// Sequence number of that message within the session.
    pub(super) seq: u64,
    /// Session and sequence number of the newest report; an older one is a delayed duplicate.
    pub(super) newest_report: (u64, u64),
    /// Last session that the worker may have reached before it restarted and began to count anew.
    pub(super) last_session_before_restart: Option<u64>,
    /// What the worker reported when a direct call was last made to confirm it.
    pub(super) confirmed_list: Option<ReportedList>,
    /// Its reports arrive, but the responses to them do not reach it.
    pub(super) responses_lost: bool,
    /// It reported without being expected, and has not yet shown this leader's token.
    pub(super) unverified: bool,
    /// Digest of the tasks in the last report, unless a later message has updated them.
    pub(super) tasks_digest: Option<u64>,
    /// Whether there may be orders to send; otherwise its tasks are as intended.
    pub(super) orders_due: bool,
    /// It was recently ordered, or is to be ordered, to stop tasks at once.
    pub(super) has_immediate_stops: bool,
    /// A direct call was due while none could be made.
    pub(super) call_postponed: bool,
    /// Number of tasks placed on it that are replicas of services.
    pub(super) service_replicas: u32,
    /// Session whose lease is certain to have expired, so that placements have ended. Its reports are refused.
    pub(super) expired_session: Option<u64>,
    /// Session whose lease was last noted to have expired, whether or not any placement ended with it.
    pub(super) noted_expiry: Option<u64>,
    /// When it first showed this leader's token, which makes it ignore earlier leaders.
    pub(super) fenced_at: Option<Instant>,
    /// When its worker last showed that it is alive, by a report or a response to a direct call.
    pub last_heard: Instant,
    /// When it last reported, or when this leader first knew the machine.
    pub(super) last_reported: Instant,
    /// Time between the last two reports that got a response.
    pub(super) report_gap: Option<Duration>,
    /// When this leader last responded to a report of its worker.
    pub(super) last_response: Option<Instant>,
    /// When the cloud reclaims it, after a notice.
    pub reclaimed_at: Option<Instant>,
    /// The direct call in flight.
    pub(super) direct_call: Option<DirectCall>,
    /// Earliest time of the next direct call, after a failed or recent one.
    pub(super) next_call_at: Option<Instant>,
    /// Token of the newest message to its worker, and at least the highest token that it has shown.
    pub(super) token: u64,
    /// Highest token that its worker has shown.
    pub(super) shown_token: u64,
    /// Starts sent by direct calls, each with the token of the last one. The calls may be carried out late or again until
    /// the worker has shown a higher token.
    pub(super) direct_starts: BTreeMap<Attempt, u64>,
    /// Its worker is to be shown the token by a direct call, since it has restarted, or a higher one before what it does
    /// not list is proven to be gone.
    pub(super) token_due: bool,
    /// Exited tasks that the worker still lists.
    pub(super) exited: BTreeMap<Attempt, TaskKey>,
    /// Listed attempts that the worker was ordered to forget.
    pub(super) forgets_sent: BTreeSet<Attempt>,
    /// Attempts that its worker lists but that are not placed on the machine.
    pub(super) unexpected_attempts: Vec<UnexpectedAttempt>,
    /// Images assumed to be cached on it.
    pub images: ImageCache,
    /// It is being released, or is about to be.
    pub releasing: bool,
    /// When the cloud was asked to release it.
    pub release_sent: Option<Instant>,
    /// Its report is overdue.
    pub suspect: bool,
    /// Number of direct calls that have failed since its report became overdue.
    pub(super) failed_probes: u32,
    /// Number of consecutive direct calls that failed, whatever it reported meanwhile: its messages
    /// may arrive while none reaches it. It gets no work until it responds to one.
    pub(super) failed_calls: u32,
    /// It responds to direct calls, but its reports no longer arrive. Its lease therefore expires
    /// again and again, and whatever is started there is lost.
    pub(super) reports_missing: bool,
    /// It fails the tasks that it starts, and gets no more.
    pub quarantined: bool,
    /// Jobs with a task that failed here, by the time of the failure. An entry is removed when a
    /// task that was placed after that time completes.
    pub(super) failed_jobs: BTreeMap<Name, Instant>,
    /// Since when no task has been placed on it.
    pub idle_since: Option<Instant>,
    /// The fleet has spare capacity: this machine gets no work that fits elsewhere, so that it can be released.
    pub retiring: bool,
    /// It gets no tasks before this time, after one did not fit.
    pub(super) full_until: Option<Instant>,
    pub reservation: Option<Reservation>,
    /// Its tasks run slower than elsewhere.
    pub straggler: bool,
    /// When its straggler score was last above the threshold.
    pub last_straggling_at: Option<Instant>,
    /// Its eSplash level.
    pub level: usize,
    /// Whether its zone takes new work.
    pub zone_access: Access,
    /// Its zone is unhealthy: `drain_reasons` still applies as recorded when that was detected.
    pub zone_unhealthy: bool,
    /// Reasons for which it was being drained when its zone became unhealthy.
    pub drain_reasons: DrainReasons,
}

impl Machine {
    /// Returns a machine that is known only by name.
    pub(super) fn new(name: Name, now: Instant) -> Machine {
        Machine {
            name,
            addr: String::new(),
            type_name: String::new(),
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
            last_session_before_restart: None,
            confirmed_list: None,
            responses_lost: false,
            unverified: false,
            tasks_digest: None,
            orders_due: true,
            has_immediate_stops: false,
            call_postponed: false,
            service_replicas: 0,
            expired_session: None,
            noted_expiry: None,
            fenced_at: None,
            last_heard: now,
            last_reported: now,
            report_gap: None,
            last_response: None,
            reclaimed_at: None,
            direct_call: None,
            next_call_at: None,
            token: 0,
            shown_token: 0,
            direct_starts: BTreeMap::new(),
            token_due: false,
            exited: BTreeMap::new(),
            forgets_sent: BTreeSet::new(),
            unexpected_attempts: Vec::new(),
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
            last_straggling_at: None,
            level: 0,
            zone_access: Access::Open,
            zone_unhealthy: false,
            drain_reasons: DrainReasons::default(),
        }
    }

    /// Returns a machine that is known only from a record; it may run tasks.
    pub fn from_record(name: Name, addr: String, now: Instant) -> Machine {
        Machine { addr, up: true, ..Machine::new(name, now) }
    }

    /// Returns a machine that was rented but is not yet up.
    pub fn rented(name: Name, machine_type: &MachineType, zone: &str, spot: bool, now: Instant) -> Machine {
        let mut machine =
            Machine { type_name: machine_type.name.clone(), zone: zone.into(), spot, ..Machine::new(name, now) };
        machine.apply_type(Some(machine_type));
        machine
    }

    /// Marks the machine as up when its worker first reports, or reports another machine type.
    pub(super) fn mark_up(&mut self, now: Instant, report: &Report, machine_type: Option<&MachineType>) {
        tracing::debug!(machine = &*self.name, after_s = now.duration_since(self.known_since).as_secs(), "up");
        self.up = true;
        self.idle_since.get_or_insert(now);
        self.type_name = report.machine_type.clone();
        self.zone = report.zone.clone();
        self.spot = report.spot;
        self.apply_type(machine_type);
    }

    /// Sets the resources and the image cache size by the machine type, if that is known.
    pub fn apply_type(&mut self, machine_type: Option<&MachineType>) {
        if let Some(machine_type) = machine_type {
            self.total =
                Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb };
            self.images.resize(machine_type.cache_gb);
        }
    }

    /// Adds a task that is placed on the machine.
    pub fn add_task(&mut self, key: TaskKey, spec: &JobSpec) {
        if self.tasks.insert(key) {
            self.orders_due = true;
            self.service_replicas += u32::from(spec.kind == Kind::Service);
            self.used.add(Resources::of(spec));
            self.idle_since = None;
        }
    }

    /// Removes a task whose placement has ended.
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

    /// Whether its worker has shown this leader's token, and with it which tasks it runs.
    pub fn is_fenced(&self) -> bool {
        self.fenced_at.is_some()
    }

    /// Whether a recent report of its worker got a response, which renews its lease.
    pub fn lease_recently_renewed(&self, now: Instant, report_interval: Duration) -> bool {
        let longest_gap = report_interval.mul_f64(LATEST_REPORT_FACTOR) + REPORT_DELAY_ALLOWANCE;
        self.last_response.is_some_and(|at| now.duration_since(at) <= longest_gap)
    }

    /// Whether tasks may be placed here.
    pub fn is_schedulable(&self, now: Instant) -> bool {
        self.up
            && self.fenced_at.is_some()
            && !self.releasing
            && !self.suspect
            && self.failed_calls == 0
            && !self.reports_missing
            && !self.quarantined
            && matches!(self.zone_access, Access::Open | Access::Ramped)
            && self.reclaimed_at.is_none()
            && self.full_until.is_none_or(|until| until <= now)
    }

    /// Whether the machine is expected to take tasks, now or once it is up. One with an overdue
    /// report still counts until a direct call to it fails.
    pub fn counts_as_capacity(&self) -> bool {
        let unresponsive = (self.suspect && self.failed_probes > 0)
            || self.failed_calls >= UNUSABLE_AFTER_FAILED_CALLS
            || self.reports_missing;
        let takes_tasks = !unresponsive && !self.quarantined && self.zone_access != Access::Closed;
        !self.releasing && takes_tasks && self.reclaimed_at.is_none() && !self.unverified
    }

    /// Whether it was being drained for this reason when its zone became unhealthy.
    pub fn was_drained_for(&self, reason: fn(DrainReasons) -> bool) -> bool {
        self.zone_unhealthy && reason(self.drain_reasons)
    }

    /// Whether responses to its reports are certain to reach its worker. The worker keeps one report in flight at a
    /// time: if the last two came within its timeout for a response, the response to the first one arrived.
    pub fn receives_responses(&self) -> bool {
        self.report_gap.is_some_and(|gap| gap < WORKER_RESPONSE_TIMEOUT)
    }

    /// Whether it responds to direct calls while its reports no longer arrive.
    pub fn reports_missing(&self) -> bool {
        self.reports_missing
    }

    /// Whether its zone takes all work that fits.
    pub fn in_open_zone(&self) -> bool {
        self.zone_access == Access::Open
    }

    /// Number of service replicas placed on it.
    pub fn service_replicas(&self) -> u32 {
        self.service_replicas
    }

    /// Whether any service replica is placed on it.
    pub fn hosts_service(&self) -> bool {
        self.service_replicas > 0
    }

    /// Notes a message from the worker. A single report does not clear the suspicion of a machine
    /// whose reports were overdue, since the response may not reach it. A further report in time
    /// does, because it shows that the response to the first one arrived; so does the response to
    /// a direct call.
    pub(super) fn note_alive(&mut self, now: Instant, channel: Channel, report_interval: Duration) {
        let prompt = now.duration_since(self.last_reported)
            <= report_interval.mul_f64(LATEST_REPORT_FACTOR) + REPORT_DELAY_ALLOWANCE;
        self.last_heard = now;
        self.reports_missing &= channel == Channel::Direct;
        if channel == Channel::Direct {
            self.failed_calls = 0;
        } else if self.failed_calls > 0 {
            // It has recovered, or nothing reaches it: a direct call shows which.
            self.next_call_at = self.next_call_at.map(|at| at.min(now));
        }
        if channel == Channel::Direct || prompt {
            self.suspect = false;
            self.failed_probes = 0;
            self.releasing &= self.release_sent.is_some() || self.responses_lost;
        }
    }
}
