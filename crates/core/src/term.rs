//! A term: the tables of a leader, empty at its start. What is done with them stands in the modules that use
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rushyoke_balance::{Balancer, OpenMoves};
use rushyoke_failover::Failover;
use rushyoke_wire::peer::Progress;

use crate::dependencies::state::DependencyState;
use crate::env::Env;
use crate::facts::{Facts, Policy};
use crate::fleet::direct_calls::CallReason;
use crate::fleet::machine::Machine;
use crate::fleet::stop_statistics::StopStatistics;
use crate::fleet::survey::state::Survey;
use crate::jobs::*;
use crate::quota::{Quotas, Resources};
use crate::records::state::Records;
use crate::rent::renting::RentalState;
use crate::speculate::statistics::Speculation;

/// A tick that comes later than this shows that the processor is short.
const LATE: Duration = Duration::from_millis(50);
/// Direct calls that a tick grants at the least, and at first as a part of all at a time.
const LEAST_GRANT: usize = 2;
const FIRST_GRANT: usize = 4;

/// How far the reading of the records has come.
#[derive(Debug)]
pub(crate) enum LoadStage {
    Jobs { after: String },
    Segments { after: String },
    Pages { after: String },
    OpenMoves { after: String },
    Failover,
    Ready,
}

/// What is known of the other controllers.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerControllers {
    /// How many others there are, and how many of them answer.
    pub total: usize,
    pub responding: usize,
    /// Zones from which one answers.
    pub zones: BTreeSet<String>,
    /// This node gave way lately since it seemed to be cut off, and leads again.
    pub recently_stepped_down: bool,
}

/// A leader's tables for one term.
pub(crate) struct Term {
    pub token: u64,
    pub started_at: Instant,
    /// From then on no earlier leader answers any worker.
    pub predecessors_inactive_at: Instant,
    /// Every other node has told that it leads no more.
    pub predecessors_known_inactive: bool,
    /// When a report was last answered while the tables were not filled, and not noted there.
    pub last_response_before_load: Option<Instant>,
    /// When a worker last reported to this node itself.
    pub last_direct_report: Instant,
    pub load_stage: LoadStage,
    pub load_request_pending: bool,
    pub retry_at: Option<Instant>,
    pub watch_revision: u64,
    pub watch_pending: bool,
    /// When the reading of all jobs began that is under way.
    pub job_read_started_at: Instant,
    /// Every cancellation that was confirmed before this moment is known: the request whose
    /// answer showed it was sent then. Renewals of the lease prove nothing of the kind, since
    /// a watch may be closed, refused, limited or hang while they succeed.
    pub cancellations_known_until: Option<Instant>,
    /// When the last confirmed renewal was sent, and for how long renewals have succeeded since
    /// the view last grew; a spell without any, as in an outage, does not count.
    pub lease_renewed_at: Instant,
    pub renewed_without_watch: Duration,
    /// What was read so far, kept until the load is complete.
    pub loaded_pages: Vec<(Name, u32, u64, PageRecord)>,
    pub loaded_segments: Vec<(u64, u64, SegmentRecord)>,
    /// Values of the record of open moves, by number.
    pub loaded_moves: Vec<(usize, OpenMoves)>,
    pub load_complete: bool,
    /// The records named machines.
    pub machines_inherited: bool,
    pub jobs: BTreeMap<Name, Job>,
    pub machines: BTreeMap<Name, Machine>,
    /// All zones that machines were ever in.
    pub zones: BTreeSet<String>,
    pub quotas: Quotas,
    pub records: Records,
    pub renting: RentalState,
    pub speculation: Speculation,
    /// Machines that have orders which should not wait for the next report.
    pub machines_to_call: BTreeSet<(CallReason, Name)>,
    /// Direct calls under way.
    pub direct_calls_in_flight: usize,
    /// New ones until the next tick, and how many each tick grants.
    pub direct_call_budget: usize,
    pub direct_calls_per_tick: usize,
    /// Something changed that may let a task start.
    pub scheduling_due: bool,
    pub last_pass_at: Option<Instant>,
    pub attempt_counter: u64,
    pub last_periodic_work: Option<Instant>,
    pub last_liveness_check: Option<Instant>,
    pub jobs_with_progress: BTreeSet<Name>,
    /// The workers seem to be out of this node's reach.
    pub partitioned: bool,
    pub survey: Survey,
    /// Stops of cancelled tasks, for the log.
    pub stops: StopStatistics,
    /// Whether the last report was refused, since the right to answer had lapsed.
    pub refusing_reports: bool,
    pub dependencies: DependencyState,
    /// Load spreading, if it is switched on.
    pub balancer: Option<Balancer>,
    /// Zone failover, if it is switched on.
    pub failover: Option<Failover>,
    /// What is known of the other controllers.
    pub controllers: PeerControllers,
    /// Likely this node is cut off from most of the fleet, and another controller could lead.
    pub in_minority: bool,
    /// The jobs within their team's guarantee, as of the last pass.
    pub jobs_within_quota: Arc<BTreeSet<Name>>,
    /// A task of an open move may be vacated.
    pub vacated_tasks_due: bool,
    pub last_summary_at: Option<Instant>,
}

impl Term {
    pub fn new(token: u64, now: Instant, predecessors_inactive_at: Instant, facts: &Facts, policy: &Policy) -> Term {
        Term {
            token,
            started_at: now,
            predecessors_inactive_at,
            predecessors_known_inactive: false,
            last_response_before_load: None,
            last_direct_report: now,
            load_stage: LoadStage::Jobs { after: String::new() },
            load_request_pending: false,
            retry_at: None,
            watch_revision: 0,
            watch_pending: false,
            job_read_started_at: now,
            cancellations_known_until: None,
            lease_renewed_at: now,
            renewed_without_watch: Duration::ZERO,
            loaded_pages: Vec::new(),
            loaded_segments: Vec::new(),
            loaded_moves: Vec::new(),
            load_complete: false,
            machines_inherited: false,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            zones: BTreeSet::new(),
            quotas: Quotas::new(&facts.teams),
            records: Records::default(),
            renting: RentalState::default(),
            speculation: Speculation::default(),
            machines_to_call: BTreeSet::new(),
            direct_calls_in_flight: 0,
            direct_call_budget: (facts.max_direct_calls / FIRST_GRANT).max(1),
            direct_calls_per_tick: (facts.max_direct_calls / FIRST_GRANT).max(1),
            scheduling_due: false,
            last_pass_at: None,
            attempt_counter: 0,
            last_periodic_work: None,
            last_liveness_check: None,
            jobs_with_progress: BTreeSet::new(),
            partitioned: false,
            survey: Survey::default(),
            stops: StopStatistics::default(),
            refusing_reports: false,
            dependencies: DependencyState::default(),
            balancer: balancer(facts, policy),
            failover: policy.failover.clone().map(Failover::new),
            controllers: PeerControllers::default(),
            in_minority: false,
            jobs_within_quota: Arc::default(),
            vacated_tasks_due: false,
            last_summary_at: None,
        }
    }

    pub fn ready(&self) -> bool {
        matches!(self.load_stage, LoadStage::Ready)
    }

    /// An attempt number that no other leader and no other start has.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempt_counter += 1;
        (self.token << 24) | self.attempt_counter
    }

    pub fn set_predecessors_inactive(&mut self, from: Instant) {
        self.predecessors_known_inactive = true;
        if from < self.predecessors_inactive_at {
            tracing::debug!("no earlier leader acts any more");
            self.predecessors_inactive_at = from;
        }
    }

    pub fn note_progress(&mut self, job: &Name) {
        self.jobs_with_progress.insert(job.clone());
    }

    /// What changed since the last call, for the other nodes' displays.
    pub fn take_progress(&mut self) -> Vec<Progress> {
        let names: Vec<Name> = self.jobs_with_progress.iter().take(500).cloned().collect();
        names
            .into_iter()
            .filter_map(|name| {
                self.jobs_with_progress.remove(&name);
                let job = self.jobs.get(&name)?;
                Some(Progress { job: name.to_string(), done: job.done_count, running: job.running_tasks })
            })
            .collect()
    }

    /// Whether reports may be answered, as far as the view of cancellations goes. Without
    /// one none may: a worker that is answered keeps what it runs for another lease.
    pub fn cancellations_are_current(&self, now: Instant, facts: &Facts) -> bool {
        self.cancellations_known_until
            .is_some_and(|view| now.saturating_duration_since(view) <= facts.self_fencing_timeout())
    }

    /// Notes when the right to answer reports lapses, and when it is there again.
    pub fn note_reporting_right(&mut self, now: Instant, entitled: bool) {
        if self.refusing_reports != entitled {
            return;
        }
        self.refusing_reports = !entitled;
        let view_age_ms =
            self.cancellations_known_until.map(|view| now.saturating_duration_since(view).as_millis() as u64);
        let renewed_ms = now.saturating_duration_since(self.lease_renewed_at).as_millis() as u64;
        let answered = if entitled { "again" } else { "no more" };
        let token = self.token;
        tracing::info!(
            token,
            view_age_ms,
            renewed_ms,
            revision = self.watch_revision,
            "reports are answered {answered}"
        );
    }

    /// A renewal that was sent then is confirmed; true if renewals have succeeded for so long
    /// without any sign of what users cancel that another node should lead.
    pub fn lease_renewed(&mut self, sent: Instant, ttl: Duration, facts: &Facts) -> bool {
        self.renewed_without_watch += sent.saturating_duration_since(self.lease_renewed_at).min(ttl);
        self.lease_renewed_at = self.lease_renewed_at.max(sent);
        self.renewed_without_watch > facts.self_fencing_timeout() / 2
    }

    /// Direct calls come in bursts, after a takeover to hundreds of machines, and each takes a
    /// connection. When ticks come late the processor is short: then fewer are begun at each, so
    /// that renewals, reports and users go on, and what is ordered goes with answers to reports.
    pub fn adjust_direct_call_rate(&mut self, late: Duration, env: &Env) {
        self.direct_calls_per_tick = if late > LATE {
            self.direct_calls_per_tick / 2
        } else {
            self.direct_calls_per_tick + self.direct_calls_per_tick / 4 + 1
        };
        self.direct_calls_per_tick =
            self.direct_calls_per_tick.clamp(LEAST_GRANT.min(env.facts.max_direct_calls), env.facts.max_direct_calls);
    }

    /// How many direct calls may be begun now.
    pub fn available_direct_calls(&self, env: &Env) -> usize {
        self.direct_call_budget.min(env.facts.max_direct_calls.saturating_sub(self.direct_calls_in_flight))
    }

    pub fn direct_call_started(&mut self) {
        self.direct_calls_in_flight += 1;
        self.direct_call_budget = self.direct_call_budget.saturating_sub(1);
    }

    /// Every cancellation that was confirmed before this moment is known.
    pub fn note_cancellations_known(&mut self, to: Instant) {
        self.cancellations_known_until = Some(self.cancellations_known_until.map_or(to, |view| view.max(to)));
        self.renewed_without_watch = Duration::ZERO;
    }
}

/// The balancer of a new term, if the operators switched load spreading on.
fn balancer(facts: &Facts, policy: &Policy) -> Option<Balancer> {
    let settings = policy.balance.clone()?;
    let teams = facts.teams.iter().map(|(name, team)| {
        let guarantee = Resources { cpus: team.cpus, gpus: team.gpus, memory_gb: 0.0 };
        (Name::from(name.as_str()), guarantee)
    });
    Some(Balancer::new(settings, teams))
}
