//! Limits the rate of moves: a budget that grows with time, and a cooldown for machines.
//!
//! The cooldown prevents oscillation: for a while, a machine that was the source of a move cannot be a
//! destination, nor the reverse. Otherwise tasks could move back and forth before the load model is up to date.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::Name;
use crate::settings::Settings;

/// Maximum accumulated budget, as the number of seconds in which it grows to that.
const MAX_BURST_S: f64 = 2.0;
const MINUTE_S: f64 = 60.0;

/// The role of a machine in a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveRole {
    /// The machine that the task leaves.
    Source,
    /// The machine that the task is moved to.
    Destination,
}

/// The budget of moves and the machines in cooldown.
#[derive(Debug, Default)]
pub struct MoveRateLimiter {
    /// Number of moves that may begin now; fractions accumulate.
    budget: f64,
    filled_at: Option<Instant>,
    /// The last role of each machine in cooldown, and when it had it.
    cooling_down: BTreeMap<Name, (MoveRole, Instant)>,
}

impl MoveRateLimiter {
    /// Grows the budget for a fleet of this many machines, and ends expired cooldowns.
    pub fn tick(&mut self, now: Instant, machines: usize, settings: &Settings) {
        let rate = settings.moves_per_machine * machines as f64 / MINUTE_S;
        let elapsed = self.filled_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.filled_at = Some(now);
        let max_budget = if rate > 0.0 { (rate * MAX_BURST_S).max(1.0) } else { 0.0 };
        self.budget = (self.budget + rate * elapsed.as_secs_f64()).min(max_budget);
        self.cooling_down.retain(|_, (_, at)| now.saturating_duration_since(*at) < settings.cooldown);
    }

    /// Number of moves that may begin now.
    pub fn available(&self) -> usize {
        self.budget as usize
    }

    /// Whether a machine may take part in a move in this role.
    pub fn allows(&self, machine: &Name, role: MoveRole) -> bool {
        self.cooling_down.get(machine).is_none_or(|(last_role, _)| *last_role == role)
    }

    /// Charges the budget for a move that begins, and starts the cooldown of both machines.
    pub fn move_begun(&mut self, now: Instant, source: &Name, destination: &Name) {
        self.budget = (self.budget - 1.0).max(0.0);
        self.cooling_down.insert(source.clone(), (MoveRole::Source, now));
        self.cooling_down.insert(destination.clone(), (MoveRole::Destination, now));
    }

    /// Drops the cooldown of a machine that is gone.
    pub fn forget_machine(&mut self, machine: &Name) {
        self.cooling_down.remove(machine);
    }
}
