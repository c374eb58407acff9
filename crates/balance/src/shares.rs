//! Fair shares of what is free, after dominant resource fairness: a team's share is the largest that
//! it has of any resource, and teams stand to each other as their guarantees do.
//!
//! Within its guarantee a team is never asked. Beyond it, a team that has more than its fair share
//! leaves a part of the fleet free for others that may come, and a larger one with tasks that are not
//! soon over. A job is held back for a stated time at the most: users are promised that nothing waits
//! for long while there is room.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::Name;
use crate::load::LoadModel;
use crate::resources::Resources;
use crate::settings::Settings;

/// Weight of a team without a guarantee, as a part of the mean guarantee of those that have one.
const LEAST_WEIGHT: f64 = 0.1;

/// What a team asks for: one more task of a job.
#[derive(Clone, Debug)]
pub struct BorrowRequest<'a> {
    /// The job.
    pub job: &'a Name,
    /// Its team.
    pub team: &'a str,
    /// What the task needs.
    pub need: Resources,
    /// How long it is expected to run.
    pub run_s: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Team {
    guarantee: Resources,
}

/// Fair shares, and the jobs that are held back for them.
#[derive(Debug, Default)]
pub struct FairShares {
    teams: BTreeMap<Name, Team>,
    held: BTreeMap<Name, Instant>,
    /// Jobs that were ever held back.
    held_count: u64,
}

impl FairShares {
    /// Teams with their guarantees.
    pub fn new(teams: impl IntoIterator<Item = (Name, Resources)>) -> FairShares {
        let teams = teams.into_iter().map(|(name, guarantee)| (name, Team { guarantee }));
        FairShares { teams: teams.collect(), ..FairShares::default() }
    }

    fn weight(&self, team: &str) -> f64 {
        let guarantee = |team: &Team| team.guarantee.cpus.max(team.guarantee.gpus);
        let all: f64 = self.teams.values().map(guarantee).sum();
        let mean = all / self.teams.len().max(1) as f64;
        let least = if mean > 0.0 { mean * LEAST_WEIGHT } else { 1.0 };
        self.teams.get(team).map_or(least, |team| guarantee(team).max(least))
    }

    /// The share of the fleet that is fair for a team.
    pub fn fair_share(&self, team: &str) -> f64 {
        let all: f64 = self.teams.keys().map(|name| self.weight(name)).sum();
        if all > 0.0 { (self.weight(team) / all).min(1.0) } else { 1.0 }
    }

    /// The team's dominant share of the fleet, with `more` added.
    pub fn dominant_share(&self, load: &LoadModel, team: &str, more: Resources) -> f64 {
        load.team(team).all().plus(more).dominant_share(load.total())
    }

    /// How far a team is above (more than 1) or below its fair share: teams with less go first.
    pub fn weighted_share(&self, load: &LoadModel, team: &str) -> f64 {
        self.dominant_share(load, team, Resources::default()) / self.fair_share(team).max(f64::EPSILON)
    }

    fn is_within_guarantee(&self, load: &LoadModel, ask: &BorrowRequest) -> bool {
        let Some(team) = self.teams.get(ask.team) else { return false };
        let after = load.team(ask.team).all().plus(ask.need);
        let limit = Resources { memory_gb: f64::INFINITY, ..team.guarantee };
        limit.can_fit(after)
    }

    /// Whether one more task may be placed now. One that may not is tried again; after the longest
    /// hold it passes.
    pub fn may_place(&mut self, now: Instant, load: &LoadModel, settings: &Settings, ask: &BorrowRequest) -> bool {
        let allowed = self.is_within_guarantee(load, ask) || self.is_fair(load, settings, ask);
        if allowed {
            self.held.remove(ask.job);
            return true;
        }
        let held_count = &mut self.held_count;
        let since = *self.held.entry(ask.job.clone()).or_insert_with(|| {
            *held_count += 1;
            now
        });
        now.saturating_duration_since(since) >= settings.max_hold
    }

    fn is_fair(&self, load: &LoadModel, settings: &Settings, ask: &BorrowRequest) -> bool {
        if self.dominant_share(load, ask.team, ask.need) <= self.fair_share(ask.team) {
            return true;
        }
        let total = load.total();
        let left = load.free().minus(ask.need);
        let soon_over = ask.run_s <= settings.short_run.as_secs_f64();
        let kept = total.scaled(if soon_over { settings.free_share } else { settings.free_share_long_runs });
        let wanted = [(ask.need.cpus, left.cpus, kept.cpus), (ask.need.gpus, left.gpus, kept.gpus)];
        wanted.iter().all(|(need, left, kept)| *need <= 0.0 || left >= kept)
    }

    /// A job waits no more.
    pub fn forget_job(&mut self, job: &Name) {
        self.held.remove(job);
    }

    /// Jobs held back now, and ever.
    pub fn held_jobs(&self) -> (usize, u64) {
        (self.held.len(), self.held_count)
    }
}
