//! Tiers: the order in which work is placed while a zone is evacuated.

use rushyoke_wire::job::Priority;

use crate::settings::{Settings, Tier};

/// What decides a job's tier.
#[derive(Clone, Copy, Debug)]
pub struct TierQuery<'a> {
    /// Its class.
    pub class: &'a str,
    /// Its priority.
    pub priority: Priority,
    /// Whether it is within its team's guarantee.
    pub guaranteed: bool,
}

/// Tiers of classes that operators name in none.
const DERIVED: usize = 4;

impl TierQuery<'_> {
    /// The tier by priority and guarantee alone.
    fn derived(&self) -> usize {
        match (self.priority, self.guaranteed) {
            (Priority::Production, _) => 0,
            (Priority::High, _) | (Priority::Normal, true) => 1,
            (Priority::Normal, false) => 2,
            (Priority::BestEffort, _) => DERIVED - 1,
        }
    }
}

impl Settings {
    /// A job's tier; the lower number goes first.
    pub fn tier_of(&self, query: &TierQuery) -> usize {
        let holds = |tier: &Tier| tier.classes.iter().any(|class| class == query.class);
        self.tiers.iter().position(holds).unwrap_or(self.tiers.len() + query.derived())
    }

    /// How many tiers there are.
    pub fn tier_count(&self) -> usize {
        self.tiers.len() + DERIVED
    }

    /// A tier's name, for the log.
    pub fn tier_name(&self, tier: usize) -> &str {
        const NAMES: [&str; DERIVED] = ["production", "guaranteed", "standard", "best effort"];
        match self.tiers.get(tier) {
            Some(named) => &named.name,
            None => NAMES[(tier - self.tiers.len()).min(DERIVED - 1)],
        }
    }

    /// Whether work of a tier keeps off a zone on probation: as operators say, or the first tier.
    pub fn avoids_probation(&self, tier: usize) -> bool {
        if self.tiers_avoiding_probation.is_empty() {
            return tier == 0;
        }
        self.tiers.get(tier).is_some_and(|named| self.tiers_avoiding_probation.contains(&named.name))
    }
}
