//! The state of a leader for one term. It is empty at the start of the term; the modules that use it
//! implement the operations on it.

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
use crate::fleet::order_log::OrderLog;
use crate::fleet::stop_statistics::StopStatistics;
use crate::fleet::survey::state::Survey;
use crate::jobs::*;
use crate::quota::{Quotas, Resources};
use crate::records::state::Records;
use crate::rent::renting::RentalState;
use crate::speculate::statistics::Speculation;

/// A tick that is delayed by more than this shows that the processor is overloaded.
const MAX_TICK_DELAY: Duration = Duration::from_millis(50);
/// Minimum number of direct calls that may be started per tick.
const MIN_CALLS_PER_TICK: usize = 2;
/// The initial number of direct calls per tick is the maximum number of concurrent ones divided by this.
const INITIAL_CALL_DIVISOR: usize = 4;

/// The records that are being loaded; `after` is the last key read.
#[derive(Debug)]
pub(crate) enum LoadStage {
    Jobs {
        after: String,
    },
    Segments {
        after: String,
    },
    Pages {
        after: String,
    },
    OpenMoves {
        after: String,
    },
    Failover,
    /// All records are loaded.
    Ready,
}

/// State of the other controllers, as seen by this one.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerControllers {
    /// Number of other controllers.
    pub total: usize,
    /// Number of other controllers that respond.
    pub responding: usize,
    /// Zones of the controllers that respond.
    pub zones: BTreeSet<String>,
    /// This node recently stepped down because it seemed to be in a minority partition, and leads again.
    pub recently_stepped_down: bool,
}

/// The state of a leader for one term.
pub(crate) struct Term {
    /// Fencing token of this leader.
    pub token: u64,
    /// Highest token that this leader may issue: the revision of its newest committed write.
    pub newest_token: u64,
    pub started_at: Instant,
    /// From this time on no earlier leader responds to any worker.
    pub predecessors_inactive_at: Instant,
    /// Every other node has promised to act with no older token.
    pub predecessors_known_inactive: bool,
    /// When a report last got a response before the records were loaded. The response isn't noted for its machine.
    pub last_response_before_load: Option<Instant>,
    /// When a worker last reported to this node directly, not through a relay.
    pub last_direct_report: Instant,
    pub load_stage: LoadStage,
    /// A read of the records is in flight.
    pub load_request_pending: bool,
    /// When a failed read or watch is repeated.
    pub retry_at: Option<Instant>,
    /// Revision up to which the jobs are known.
    pub watch_revision: u64,
    pub watch_pending: bool,
    /// When the current read of all jobs was started.
    pub job_read_started_at: Instant,
    /// Every cancellation confirmed before this time is known. It is the time at which the read or
    /// watch was sent whose response showed them. Renewals of the lease don't prove this, because a
    /// watch may be closed, rejected, rate limited or hang while they succeed.
    pub cancellations_known_until: Option<Instant>,
    /// When the last confirmed renewal of the leader's lease was sent.
    pub lease_renewed_at: Instant,
    /// For how long renewals have succeeded since `cancellations_known_until` last advanced. Time
    /// without renewals, as in an outage, does not count.
    pub renewed_without_watch: Duration,
    /// Pages read so far, kept until all records are loaded: job, page, version and record.
    pub loaded_pages: Vec<(Name, u32, u64, PageRecord)>,
    /// Segments read so far, kept until all records are loaded: number, version and record.
    pub loaded_segments: Vec<(u64, u64, SegmentRecord)>,
    /// Parts of the record of open moves read so far, with their numbers.
    pub loaded_moves: Vec<(usize, OpenMoves)>,
    /// All records were loaded once in this term.
    pub load_complete: bool,
    /// The loaded records contained machines.
    pub machines_inherited: bool,
    pub jobs: BTreeMap<Name, Job>,
    pub machines: BTreeMap<Name, Machine>,
    /// All zones in which there was ever a machine.
    pub zones: BTreeSet<String>,
    pub quotas: Quotas,
    pub records: Records,
    pub renting: RentalState,
    pub speculation: Speculation,
    /// Machines with orders that should not wait for the next report.
    pub machines_to_call: BTreeSet<(CallReason, Name)>,
    /// Machines whose workers must be shown a higher token than any that this leader has so far.
    pub machines_awaiting_revision: BTreeSet<Name>,
    /// Number of direct calls in flight.
    pub direct_calls_in_flight: usize,
    /// Number of direct calls that may be started before the next tick.
    pub direct_call_budget: usize,
    /// Number of direct calls that may be started per tick.
    pub direct_calls_per_tick: usize,
    /// A change may allow a task to start, so a scheduling pass is due.
    pub scheduling_due: bool,
    /// When the last scheduling pass ran.
    pub last_pass_at: Option<Instant>,
    /// Number of attempts started in this term.
    pub attempt_counter: u64,
    /// When the work that runs every second last ran.
    pub last_periodic_work: Option<Instant>,
    /// When the liveness of machines was last checked.
    pub last_liveness_check: Option<Instant>,
    /// Jobs whose progress has changed since it was last sent to the other controllers.
    pub jobs_with_progress: BTreeSet<Name>,
    /// Most workers can't reach this node, so it is probably partitioned from them.
    pub partitioned: bool,
    pub survey: Survey,
    /// Statistics of the stops of cancelled tasks, for the log.
    pub stop_statistics: StopStatistics,
    /// Log lines on orders that are repeated, refused or contradicted.
    pub order_log: OrderLog,
    /// The last report was rejected because this leader may no longer respond.
    pub refusing_reports: bool,
    /// Dependencies of the unfinished jobs.
    pub dependencies: DependencyState,
    /// Load balancer, if rebalancing is enabled.
    pub balancer: Option<Balancer>,
    /// Zone failover, if it is enabled.
    pub failover: Option<Failover>,
    /// State of the other controllers.
    pub controllers: PeerControllers,
    /// This node is probably partitioned from most of the fleet, and another controller could lead.
    pub in_minority: bool,
    /// Jobs within their team's guaranteed quota, as of the last scheduling pass.
    pub jobs_within_quota: Arc<BTreeSet<Name>>,
    /// A task of an open move may have left its source machine.
    pub vacated_tasks_due: bool,
    /// When the summary of rebalancing was last logged.
    pub last_summary_at: Option<Instant>,
}

impl Term {
    /// Returns the state at the start of a term.
    pub fn new(token: u64, now: Instant, predecessors_inactive_at: Instant, facts: &Facts, policy: &Policy) -> Term {
        Term {
            token,
            newest_token: token,
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
            machines_awaiting_revision: BTreeSet::new(),
            direct_calls_in_flight: 0,
            direct_call_budget: (facts.max_direct_calls / INITIAL_CALL_DIVISOR).max(1),
            direct_calls_per_tick: (facts.max_direct_calls / INITIAL_CALL_DIVISOR).max(1),
            scheduling_due: false,
            last_pass_at: None,
            attempt_counter: 0,
            last_periodic_work: None,
            last_liveness_check: None,
            jobs_with_progress: BTreeSet::new(),
            partitioned: false,
            survey: Survey::default(),
            stop_statistics: StopStatistics::default(),
            order_log: OrderLog::default(),
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

    /// Whether all records are loaded.
    pub fn ready(&self) -> bool {
        matches!(self.load_stage, LoadStage::Ready)
    }

    /// Returns an attempt number that was never used before, by this leader or another one.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempt_counter += 1;
        (self.token << 24) | self.attempt_counter
    }

    /// Records that no earlier leader is active from this time on.
    pub fn set_predecessors_inactive(&mut self, time: Instant) {
        self.predecessors_known_inactive = true;
        if time < self.predecessors_inactive_at {
            tracing::debug!("earlier leaders are inactive");
            self.predecessors_inactive_at = time;
        }
    }

    /// Records that a job's progress has changed.
    pub fn note_progress(&mut self, job: &Name) {
        self.jobs_with_progress.insert(job.clone());
    }

    /// Returns the progress of jobs that changed since the last call, for the other controllers' displays.
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

    /// Whether this leader's knowledge of cancellations is recent enough to respond to reports. A worker
    /// that gets a response keeps its tasks running for another lease.
    pub fn cancellations_are_current(&self, now: Instant, facts: &Facts) -> bool {
        self.cancellations_known_until
            .is_some_and(|known_until| now.saturating_duration_since(known_until) <= facts.self_fencing_timeout())
    }

    /// Logs when this leader stops responding to reports, and when it resumes.
    pub fn note_may_respond(&mut self, now: Instant, may_respond: bool) {
        if self.refusing_reports != may_respond {
            return;
        }
        self.refusing_reports = !may_respond;
        let view_age_ms = self
            .cancellations_known_until
            .map(|known_until| now.saturating_duration_since(known_until).as_millis() as u64);
        let renewed_ms = now.saturating_duration_since(self.lease_renewed_at).as_millis() as u64;
        let change = if may_respond { "resumed" } else { "stopped" };
        let token = self.token;
        tracing::info!(token, view_age_ms, renewed_ms, revision = self.watch_revision, "responses to reports {change}");
    }

    /// Records a confirmed renewal of the leader's lease. Returns whether renewals have succeeded for so
    /// long without a response that shows the cancellations that another node should lead.
    pub fn lease_renewed(&mut self, sent: Instant, ttl: Duration, facts: &Facts) -> bool {
        self.renewed_without_watch += sent.saturating_duration_since(self.lease_renewed_at).min(ttl);
        self.lease_renewed_at = self.lease_renewed_at.max(sent);
        self.renewed_without_watch > facts.self_fencing_timeout() / 2
    }

    /// Adjusts the number of direct calls per tick. Direct calls come in bursts, after a takeover to
    /// hundreds of machines, and each needs a connection. Late ticks show that the processor is
    /// overloaded. Then fewer calls are started per tick, which leaves time for lease renewals, reports
    /// and users; orders go with the responses to reports instead.
    pub fn adjust_direct_call_rate(&mut self, tick_delay: Duration, env: &Env) {
        self.direct_calls_per_tick = if tick_delay > MAX_TICK_DELAY {
            self.direct_calls_per_tick / 2
        } else {
            self.direct_calls_per_tick + self.direct_calls_per_tick / 4 + 1
        };
        self.direct_calls_per_tick = self
            .direct_calls_per_tick
            .clamp(MIN_CALLS_PER_TICK.min(env.facts.max_direct_calls), env.facts.max_direct_calls);
    }

    /// Returns the number of direct calls that may be started now.
    pub fn available_direct_calls(&self, env: &Env) -> usize {
        self.direct_call_budget.min(env.facts.max_direct_calls.saturating_sub(self.direct_calls_in_flight))
    }

    /// Counts a direct call that was started.
    pub fn direct_call_started(&mut self) {
        self.direct_calls_in_flight += 1;
        self.direct_call_budget = self.direct_call_budget.saturating_sub(1);
    }

    /// Records that every cancellation confirmed before this time is known.
    pub fn note_cancellations_known(&mut self, time: Instant) {
        self.cancellations_known_until =
            Some(self.cancellations_known_until.map_or(time, |known_until| known_until.max(time)));
        self.renewed_without_watch = Duration::ZERO;
    }
}

/// Returns the balancer of a new term, if rebalancing is enabled.
fn balancer(facts: &Facts, policy: &Policy) -> Option<Balancer> {
    let settings = policy.balance.clone()?;
    let teams = facts.teams.iter().map(|(name, team)| {
        let guarantee = Resources { cpus: team.cpus, gpus: team.gpus, memory_gb: 0.0 };
        (Name::from(name.as_str()), guarantee)
    });
    Some(Balancer::new(settings, teams))
}
