//! Settings of a node: the facts about the platform, and the operators' policy.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_balance::Settings as BalanceSettings;
use rushyoke_failover::Settings as FailoverSettings;

/// Factor that allows for the drift between the steady clocks of two machines.
pub(crate) const CLOCK_DRIFT_FACTOR: f64 = 1.002;

/// A team's quota: its guarantee and its limit.
#[derive(Clone, Debug, Default)]
pub struct Team {
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Maximum number of CPUs.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Maximum number of GPUs.
    pub gpus_max: f64,
}

/// A service level objective for a class of jobs.
#[derive(Clone, Debug)]
pub struct Objective {
    /// The measure, such as `finished` or `wait`.
    pub measure: String,
    /// The class of jobs; all classes if there is none.
    pub class: Option<String>,
    /// The time allowed.
    pub time_limit: Option<Duration>,
}

/// Facts about the platform, which are given and not chosen by this project.
#[derive(Clone, Debug)]
pub struct Facts {
    /// This node's label.
    pub label: String,
    /// The other nodes' labels.
    pub peers: Vec<String>,
    /// Zones of the nodes by label, if known.
    pub controller_zones: BTreeMap<String, String>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// The users' service level objectives.
    pub objectives: Vec<Objective>,
    /// Time between a worker's reports.
    pub report_interval: Duration,
    /// Duration of a worker's lease.
    pub worker_lease: Duration,
    /// Time within which all tasks of a cancelled job must have stopped.
    pub cancel_limit: Duration,
    /// Maximum number of writes in a transaction.
    pub txn_ops: usize,
    /// Maximum size of a value in the state service.
    pub value_bytes: usize,
    /// Maximum number of puts and deletes per second in the state service.
    pub write_rps: f64,
    /// Maximum delay until a change shows in the cloud's list of machines.
    pub cloud_list_lag: Duration,
    /// Maximum number of calls to the cloud per second.
    pub cloud_rps: f64,
    /// Maximum number of direct calls to workers at a time, limited by the number of sockets.
    pub max_direct_calls: usize,
    /// Maximum memory used by unfinished jobs.
    pub max_job_bytes: usize,
}

impl Facts {
    /// Returns for how long a leader may respond to reports after the older of two times: when the last
    /// confirmed renewal of its lease was sent, and up to when it knows all cancellations. A job that
    /// was cancelled through another node must still stop in time once this leader stops responding
    /// and its workers' leases expire.
    pub(crate) fn self_fencing_timeout(&self) -> Duration {
        let margin = Duration::from_secs(2) + self.cancel_limit / 100;
        self.cancel_limit.saturating_sub(self.worker_lease).saturating_sub(margin)
    }
}

/// The operators' settings.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Time between eSplash steps.
    pub speculation_period: Duration,
    /// Straggler score per running task above which a machine is a straggler.
    pub straggler_threshold: f64,
    /// Minimum number of finished tasks for a cell of the statistics to be used.
    pub min_cell_tasks: u32,
    /// Maximum number of levels formed by the clustering.
    pub max_levels: usize,
    /// Whether the eSplash step restarts tasks.
    pub speculation: bool,
    /// Duration of the leader's lease in the state service.
    pub leader_lease: Duration,
    /// Free capacity kept ready, as a share of the capacity in use.
    pub headroom_share: f64,
    /// Minimum free capacity kept ready, in machines of the largest type.
    pub headroom_machines: f64,
    /// CPUs kept free for services on on-demand machines, as a number of services of average size.
    pub service_reserve: f64,
    /// Work within a guarantee may preempt other work once it has waited for this share of its objective.
    pub preemption_delay_share: f64,
    /// How long a job may wait without any task being placed before it is scheduled out of turn.
    pub starvation_timeout: Duration,
    /// How long a machine is idle before it is released.
    pub idle_timeout: Duration,
    /// Number of report intervals without contact after which an unresponsive machine is released.
    pub missed_report_limit: f64,
    /// Maximum number of unfinished jobs; further submissions are rejected.
    pub max_jobs: usize,
    /// Number of jobs whose state a node caches to respond quickly.
    pub job_cache_size: usize,
    /// Number of machines sampled for one placement in a large fleet.
    pub placement_sample: usize,
    /// Settings of rebalancing, which is disabled if there are none.
    pub balance: Option<BalanceSettings>,
    /// Settings of zone failover, which is disabled if there are none.
    pub failover: Option<FailoverSettings>,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            speculation_period: Duration::from_secs(5),
            straggler_threshold: 3.0,
            min_cell_tasks: 5,
            max_levels: 4,
            speculation: true,
            leader_lease: Duration::from_millis(2000),
            headroom_share: 0.1,
            headroom_machines: 1.0,
            service_reserve: 1.0,
            preemption_delay_share: 0.4,
            starvation_timeout: Duration::from_secs(90),
            idle_timeout: Duration::from_secs(12),
            missed_report_limit: 2.5,
            max_jobs: 100_000,
            job_cache_size: 20_000,
            placement_sample: 32,
            balance: None,
            failover: None,
        }
    }
}
