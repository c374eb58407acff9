//! Team limits and guarantees. A task counts against its team's quota from the moment it is placed until
//! it is proven to be gone from the machine.

use std::collections::BTreeMap;

use rushyoke_wire::job::JobSpec;

use crate::facts::Team;
use crate::jobs::{Job, Name};

pub(crate) use rushyoke_balance::Resources;

/// Tolerance for comparisons with a quota, because sums of decimal fractions are not exact.
pub(crate) const QUOTA_TOLERANCE: f64 = Resources::TOLERANCE;

/// A team's limit and guarantee, and the resources that its tasks use.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamUsage {
    pub team: Team,
    pub cpus: f64,
    pub gpus: f64,
}

impl TeamUsage {
    /// Returns the number of further tasks of this size that the limit allows.
    pub fn headroom(&self, need: Resources) -> u32 {
        self.remaining().fit_count(Resources { memory_gb: 0.0, ..need })
    }

    /// Returns the resources that the limit leaves. Memory is not limited and given as 0.
    pub fn remaining(&self) -> Resources {
        Resources { cpus: self.team.cpus_max - self.cpus, gpus: self.team.gpus_max - self.gpus, memory_gb: 0.0 }
    }

    /// Whether the team uses more than its guarantee.
    pub fn exceeds_guarantee(&self) -> bool {
        self.cpus > self.team.cpus + QUOTA_TOLERANCE || self.gpus > self.team.gpus + QUOTA_TOLERANCE
    }
}

/// Quotas and usage of all teams.
#[derive(Default)]
pub(crate) struct Quotas {
    teams: BTreeMap<String, TeamUsage>,
}

impl Quotas {
    /// Returns the quotas of the given teams, with nothing used.
    pub fn new(teams: &BTreeMap<String, Team>) -> Quotas {
        let teams =
            teams.iter().map(|(name, team)| (name.clone(), TeamUsage { team: team.clone(), cpus: 0.0, gpus: 0.0 }));
        Quotas { teams: teams.collect() }
    }

    /// Returns a team's usage, or `None` if the team is unknown.
    pub fn usage(&self, team: &str) -> Option<&TeamUsage> {
        self.teams.get(team)
    }

    /// Adds one task to its team's usage.
    pub fn add(&mut self, spec: &JobSpec) {
        // A team that was removed from the settings still has its tasks counted.
        let usage = self.teams.entry(spec.team.clone()).or_default();
        usage.cpus += spec.cpus;
        usage.gpus += spec.gpus;
    }

    /// Removes one task from its team's usage.
    pub fn sub(&mut self, spec: &JobSpec) {
        if let Some(usage) = self.teams.get_mut(&spec.team) {
            usage.cpus -= spec.cpus;
            usage.gpus -= spec.gpus;
        }
    }

    /// Returns the jobs that fit into their team's guarantee together with the team's earlier unfinished
    /// jobs. `jobs` must be in the order in which they became eligible.
    pub fn jobs_within_guarantee<'a>(&self, jobs: impl Iterator<Item = &'a Job>) -> Vec<Name> {
        let mut demands: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut guaranteed = Vec::new();
        for job in jobs {
            let Some(usage) = self.teams.get(&job.spec.team) else {
                continue;
            };
            let demand = demands.entry(&job.spec.team).or_default();
            let tasks = f64::from(job.unfinished_tasks());
            demand.0 += tasks * job.spec.cpus;
            demand.1 += tasks * job.spec.gpus;
            if demand.0 <= usage.team.cpus + QUOTA_TOLERANCE && demand.1 <= usage.team.gpus + QUOTA_TOLERANCE {
                guaranteed.push(job.id.clone());
            }
        }
        guaranteed
    }
}
