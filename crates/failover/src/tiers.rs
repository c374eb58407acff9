//! Tiers: the order in which tasks are placed while a zone is evacuated.

use rushyoke_wire::job::Priority;

use crate::settings::{Settings, Tier};

/// The properties of a job that determine its tier.
#[derive(Clone, Copy, Debug)]
pub struct TierQuery<'a> {
    /// The job's class.
    pub class: &'a str,
    /// The job's priority.
    pub priority: Priority,
    /// Whether the job is within its team's guarantee.
    pub guaranteed: bool,
}

/// Number of default tiers, for classes that the operators assign to no tier.
const DEFAULT_TIERS: usize = 4;

impl TierQuery<'_> {
    /// Returns the index among the default tiers, by priority and guarantee alone.
    fn default_tier(&self) -> usize {
        match (self.priority, self.guaranteed) {
            (Priority::Production, _) => 0,
            (Priority::High, _) | (Priority::Normal, true) => 1,
            (Priority::Normal, false) => 2,
            (Priority::BestEffort, _) => DEFAULT_TIERS - 1,
        }
    }
}

impl Settings {
    /// Returns a job's tier; lower tiers are placed first.
    pub fn tier_of(&self, query: &TierQuery) -> usize {
        let has_class = |tier: &Tier| tier.classes.iter().any(|class| class == query.class);
        self.tiers.iter().position(has_class).unwrap_or(self.tiers.len() + query.default_tier())
    }

    /// Number of tiers.
    pub fn tier_count(&self) -> usize {
        self.tiers.len() + DEFAULT_TIERS
    }

    /// Returns a tier's name, for the log.
    pub fn tier_name(&self, tier: usize) -> &str {
        const NAMES: [&str; DEFAULT_TIERS] = ["production", "guaranteed", "standard", "best effort"];
        match self.tiers.get(tier) {
            Some(named) => &named.name,
            None => NAMES[(tier - self.tiers.len()).min(DEFAULT_TIERS - 1)],
        }
    }

    /// Whether jobs of a tier avoid zones on probation. The operators may list such tiers; the default is the first
    /// tier alone.
    pub fn avoids_probation(&self, tier: usize) -> bool {
        if self.tiers_avoiding_probation.is_empty() {
            return tier == 0;
        }
        self.tiers.get(tier).is_some_and(|named| self.tiers_avoiding_probation.contains(&named.name))
    }
}
