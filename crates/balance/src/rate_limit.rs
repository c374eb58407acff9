//! How often moves may begin: a budget that fills with time, and machines that rest.
//!
//! Guards against oscillation: a machine that gave a task takes none for a while, and the reverse, so
//! that work is not passed to and fro while the load model settles.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::Name;
use crate::settings::Settings;

/// Seconds of the budget that may be saved up.
const SAVED_S: f64 = 2.0;
const MINUTE_S: f64 = 60.0;

/// In which direction a machine took part in a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveRole {
    /// A task left it.
    Source,
    /// A task came to it.
    Destination,
}

/// The budget of moves and the machines that rest.
#[derive(Debug, Default)]
pub struct MoveRateLimiter {
    budget: f64,
    filled: Option<Instant>,
    resting: BTreeMap<Name, (MoveRole, Instant)>,
}

impl MoveRateLimiter {
    /// Lets the budget grow for a fleet of so many machines, and ends rests that are over.
    pub fn tick(&mut self, now: Instant, machines: usize, settings: &Settings) {
        let rate = settings.moves_per_machine * machines as f64 / MINUTE_S;
        let since = self.filled.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.filled = Some(now);
        let most = if rate > 0.0 { (rate * SAVED_S).max(1.0) } else { 0.0 };
        self.budget = (self.budget + rate * since.as_secs_f64()).min(most);
        self.resting.retain(|_, (_, at)| now.saturating_duration_since(*at) < settings.cooldown);
    }

    /// Moves that may begin now.
    pub fn available(&self) -> usize {
        self.budget as usize
    }

    /// Whether a machine may take part in this direction.
    pub fn allows(&self, machine: &Name, direction: MoveRole) -> bool {
        self.resting.get(machine).is_none_or(|(last, _)| *last == direction)
    }

    /// A move begins.
    pub fn move_begun(&mut self, now: Instant, from: &Name, to: &Name) {
        self.budget = (self.budget - 1.0).max(0.0);
        self.resting.insert(from.clone(), (MoveRole::Source, now));
        self.resting.insert(to.clone(), (MoveRole::Destination, now));
    }

    /// A machine is gone.
    pub fn forget_machine(&mut self, machine: &Name) {
        self.resting.remove(machine);
    }
}
