//! What the platform and the operators tell a node at its start.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_balance::Settings as BalanceSettings;
use rushyoke_failover::Settings as FailoverSettings;

/// A team's guarantee and limit.
#[derive(Clone, Debug, Default)]
pub struct Team {
    /// CPUs that it is guaranteed.
    pub cpus: f64,
    /// CPUs that its tasks may use at the most.
    pub cpus_max: f64,
    /// GPUs that it is guaranteed.
    pub gpus: f64,
    /// GPUs that its tasks may use at the most.
    pub gpus_max: f64,
}

/// An aim that the users set for a class of jobs.
#[derive(Clone, Debug)]
pub struct Objective {
    /// What is counted, such as `finished` or `wait`.
    pub kind: String,
    /// The class of jobs, if not all.
    pub class: Option<String>,
    /// The time allowed.
    pub time_limit: Option<Duration>,
}

/// The platform's facts; nothing here is a constant of ours.
#[derive(Clone, Debug)]
pub struct Facts {
    /// This node's label.
    pub label: String,
    /// The other nodes' labels.
    pub peers: Vec<String>,
    /// Zones of the nodes by their labels, as far as the platform tells.
    pub controller_zones: BTreeMap<String, String>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// The users' aims.
    pub objectives: Vec<Objective>,
    /// Interval of workers' reports.
    pub report_interval: Duration,
    /// Life of a worker's lease.
    pub worker_lease: Duration,
    /// Time within which a cancelled job must be gone.
    pub cancel_limit: Duration,
    /// Writes in one transaction.
    pub txn_ops: usize,
    /// Bytes of one value.
    pub value_bytes: usize,
    /// Puts and deletes that the store takes a second.
    pub write_rps: f64,
    /// How late the cloud's list may be.
    pub cloud_list_lag: Duration,
    /// Calls that the cloud takes a second.
    pub cloud_rps: f64,
    /// Direct calls to workers at a time, as far as the sockets go.
    pub max_direct_calls: usize,
    /// Memory that unfinished jobs may take.
    pub max_job_bytes: usize,
}

impl Facts {
    /// How long a leader goes on answering reports after the older of two moments: the last confirmed
    /// renewal of its lease, and the last up to which it surely knows all cancellations. One
    /// that was told elsewhere must still be over in time once it falls silent.
    pub(crate) fn self_fencing_timeout(&self) -> Duration {
        let margin = Duration::from_secs(2) + self.cancel_limit / 100;
        self.cancel_limit.saturating_sub(self.worker_lease).saturating_sub(margin)
    }
}

/// The operators' own settings, with the defaults of the design.
#[derive(Clone, Debug)]
pub struct Policy {
    /// How often the eSplash step runs.
    pub speculation_period: Duration,
    /// Straggler value per running task above which a machine is a straggler.
    pub straggler_threshold: f64,
    /// Finished tasks that a cell of the statistics needs.
    pub min_cell_tasks: u32,
    /// Levels that the clustering may form.
    pub max_levels: usize,
    /// Whether the eSplash step restarts tasks.
    pub speculation: bool,
    /// Life of the leader's lease in the state service.
    pub leader_lease: Duration,
    /// Free capacity kept ready, as a share of what is in use.
    pub headroom_share: f64,
    /// Least free capacity kept ready, in machines of the largest type.
    pub headroom_machines: f64,
    /// Room kept free on ordinary machines for services, in mean services seen.
    pub service_reserve: f64,
    /// Share of the users' time for work within a guarantee that passes before other
    /// work is stopped for it.
    pub preemption_delay_share: f64,
    /// How long a job may wait with none of its tasks placed before it is served out of turn.
    pub starvation_timeout: Duration,
    /// How long a machine stays idle before it is returned.
    pub idle_timeout: Duration,
    /// Report intervals without a sign of life after which a machine is given up.
    pub missed_report_limit: f64,
    /// Unfinished jobs that are held at the most; more are turned away.
    pub max_jobs: usize,
    /// Jobs whose state a node remembers for quick answers.
    pub job_cache_size: usize,
    /// Machines looked at for one placement when many are known.
    pub placement_sample: usize,
    /// Load spreading; off if there is none.
    pub balance: Option<BalanceSettings>,
    /// Zone failover; off if there is none.
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
