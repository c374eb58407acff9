//! Fair shares of the free resources, following dominant resource fairness: a team's share is its largest
//! share of any single resource, and teams are weighted by their guarantees.
//!
//! Within its guarantee a team is never restricted. Beyond it, a team that has more than its fair share
//! must leave a part of the fleet free for other teams, and a larger part if its tasks run for long. A job is
//! held back for a limited time only: users are promised that nothing waits for long while resources are
//! free.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::Name;
use crate::load::LoadModel;
use crate::resources::Resources;
use crate::settings::Settings;

/// Minimum weight of a team, relative to the mean guarantee; it applies to teams without a guarantee.
const MIN_RELATIVE_WEIGHT: f64 = 0.1;

/// A request to place one more task of a job, possibly beyond its team's guarantee.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The job.
    pub job: &'a Name,
    /// The job's team.
    pub team: &'a str,
    /// Resources that the task requests.
    pub need: Resources,
    /// Expected run time of the task, in seconds.
    pub run_s: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Team {
    guarantee: Resources,
}

/// Fair shares of teams, and the jobs that are held back to preserve them.
#[derive(Debug, Default)]
pub struct FairShares {
    teams: BTreeMap<Name, Team>,
    /// Jobs that are held back now, and since when.
    held_back_since: BTreeMap<Name, Instant>,
    /// Number of times that a job began to be held back.
    total_held_back: u64,
}

impl FairShares {
    /// Creates the shares of teams with these guarantees.
    pub fn new(teams: impl IntoIterator<Item = (Name, Resources)>) -> FairShares {
        let teams = teams.into_iter().map(|(name, guarantee)| (name, Team { guarantee }));
        FairShares { teams: teams.collect(), ..FairShares::default() }
    }

    fn weight(&self, team: &str) -> f64 {
        let guarantee = |team: &Team| team.guarantee.cpus.max(team.guarantee.gpus);
        let total: f64 = self.teams.values().map(guarantee).sum();
        let mean = total / self.teams.len().max(1) as f64;
        let min_weight = if mean > 0.0 { mean * MIN_RELATIVE_WEIGHT } else { 1.0 };
        self.teams.get(team).map_or(min_weight, |team| guarantee(team).max(min_weight))
    }

    /// Returns the fair share of the fleet for a team.
    pub fn fair_share(&self, team: &str) -> f64 {
        let total: f64 = self.teams.keys().map(|name| self.weight(name)).sum();
        if total > 0.0 { (self.weight(team) / total).min(1.0) } else { 1.0 }
    }

    /// Returns the dominant share of the fleet that the team would have with `additional` resources.
    pub fn dominant_share(&self, load: &LoadModel, team: &str, additional: Resources) -> f64 {
        load.team(team).all().plus(additional).dominant_share(load.total())
    }

    /// Returns the team's dominant share divided by its fair share: above 1 the team has more than its fair
    /// share. Teams with lower values are served first.
    pub fn weighted_share(&self, load: &LoadModel, team: &str) -> f64 {
        self.dominant_share(load, team, Resources::default()) / self.fair_share(team).max(f64::EPSILON)
    }

    fn is_within_guarantee(&self, load: &LoadModel, request: &PlacementRequest) -> bool {
        let Some(team) = self.teams.get(request.team) else { return false };
        let after = load.team(request.team).all().plus(request.need);
        let limit = Resources { memory_gb: f64::INFINITY, ..team.guarantee };
        limit.can_fit(after)
    }

    /// Whether one more task may be placed now. A job that is refused is held back and may request again; after
    /// `max_hold` it is allowed in any case.
    pub fn may_place(
        &mut self,
        now: Instant,
        load: &LoadModel,
        settings: &Settings,
        request: &PlacementRequest,
    ) -> bool {
        let allowed = self.is_within_guarantee(load, request) || self.is_fair(load, settings, request);
        if allowed {
            self.held_back_since.remove(request.job);
            return true;
        }
        let total_held_back = &mut self.total_held_back;
        let since = *self.held_back_since.entry(request.job.clone()).or_insert_with(|| {
            *total_held_back += 1;
            now
        });
        now.saturating_duration_since(since) >= settings.max_hold
    }

    fn is_fair(&self, load: &LoadModel, settings: &Settings, request: &PlacementRequest) -> bool {
        if self.dominant_share(load, request.team, request.need) <= self.fair_share(request.team) {
            return true;
        }
        let total = load.total();
        let free_after = load.free().minus(request.need);
        let is_short = request.run_s <= settings.short_run.as_secs_f64();
        let keep_free = total.scaled(if is_short { settings.free_share } else { settings.free_share_long_runs });
        let requested = [
            (request.need.cpus, free_after.cpus, keep_free.cpus),
            (request.need.gpus, free_after.gpus, keep_free.gpus),
        ];
        requested.iter().all(|(need, free_after, keep_free)| *need <= 0.0 || free_after >= keep_free)
    }

    /// Forgets a job that no longer waits.
    pub fn forget_job(&mut self, job: &Name) {
        self.held_back_since.remove(job);
    }

    /// Returns the number of jobs that are held back now, and how often a job began to be held back.
    pub fn held_jobs(&self) -> (usize, u64) {
        (self.held_back_since.len(), self.total_held_back)
    }
}
