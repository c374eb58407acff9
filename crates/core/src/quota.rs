//! Team limits and guarantees. Whatever may be present on a machine counts, from the
//! moment a place is planned until it is proven empty.

use std::collections::BTreeMap;

use rushyoke_wire::job::JobSpec;

use crate::facts::Team;
use crate::jobs::{Job, Name};

pub(crate) use rushyoke_balance::Resources;

/// Amounts compare with this slack, since sums of decimals are not exact.
pub(crate) const QUOTA_TOLERANCE: f64 = Resources::TOLERANCE;

#[derive(Clone, Debug, Default)]
pub(crate) struct TeamUsage {
    pub team: Team,
    pub cpus: f64,
    pub gpus: f64,
}

impl TeamUsage {
    /// How many more tasks of this size the limit allows.
    pub fn headroom(&self, need: Resources) -> u32 {
        self.remaining().fit_count(Resources { memory_gb: 0.0, ..need })
    }

    /// What the limit leaves; memory is not limited.
    pub fn remaining(&self) -> Resources {
        Resources { cpus: self.team.cpus_max - self.cpus, gpus: self.team.gpus_max - self.gpus, memory_gb: 0.0 }
    }

    /// Whether the team uses more than it is guaranteed.
    pub fn exceeds_guarantee(&self) -> bool {
        self.cpus > self.team.cpus + QUOTA_TOLERANCE || self.gpus > self.team.gpus + QUOTA_TOLERANCE
    }
}

#[derive(Default)]
pub(crate) struct Quotas {
    teams: BTreeMap<String, TeamUsage>,
}

impl Quotas {
    pub fn new(teams: &BTreeMap<String, Team>) -> Quotas {
        let teams =
            teams.iter().map(|(name, team)| (name.clone(), TeamUsage { team: team.clone(), cpus: 0.0, gpus: 0.0 }));
        Quotas { teams: teams.collect() }
    }

    pub fn usage(&self, team: &str) -> Option<&TeamUsage> {
        self.teams.get(team)
    }

    pub fn add(&mut self, spec: &JobSpec) {
        // A team that left the settings still counts what it has.
        let usage = self.teams.entry(spec.team.clone()).or_default();
        usage.cpus += spec.cpus;
        usage.gpus += spec.gpus;
    }

    pub fn sub(&mut self, spec: &JobSpec) {
        if let Some(usage) = self.teams.get_mut(&spec.team) {
            usage.cpus -= spec.cpus;
            usage.gpus -= spec.gpus;
        }
    }

    /// The jobs that fit into their team's guarantee together with the team's earlier
    /// unfinished jobs. `jobs` come in the order of submission.
    pub fn jobs_within_guarantee<'a>(&self, jobs: impl Iterator<Item = &'a Job>) -> Vec<Name> {
        let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut within = Vec::new();
        for job in jobs {
            let Some(usage) = self.teams.get(&job.spec.team) else {
                continue;
            };
            let sum = sums.entry(&job.spec.team).or_default();
            let tasks = f64::from(job.unfinished_tasks());
            sum.0 += tasks * job.spec.cpus;
            sum.1 += tasks * job.spec.gpus;
            if sum.0 <= usage.team.cpus + QUOTA_TOLERANCE && sum.1 <= usage.team.gpus + QUOTA_TOLERANCE {
                within.push(job.id.clone());
            }
        }
        within
    }
}
