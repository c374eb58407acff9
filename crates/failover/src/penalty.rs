//! The flap penalty of a zone: it grows by one with each loss and decays exponentially, as in route flap
//! damping.

use std::time::{Duration, Instant};

/// A penalty that is halved after each half-life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalty {
    /// The value at the time `at`.
    value: f64,
    at: Option<Instant>,
}

/// The penalty added by each loss.
const PENALTY_PER_LOSS: f64 = 1.0;

impl Penalty {
    /// Creates a penalty that had this value at the given time.
    pub fn new(value: f64, at: Instant) -> Penalty {
        Penalty { value: value.max(0.0), at: Some(at) }
    }

    /// Returns the decayed value now.
    pub fn value(&self, now: Instant, half_life: Duration) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let half_lives = now.saturating_duration_since(at).as_secs_f64() / half_life.as_secs_f64();
        self.value * (-half_lives).exp2()
    }

    /// Adds the penalty for the loss of the zone.
    pub fn add_loss(&mut self, now: Instant, half_life: Duration) {
        *self = Penalty::new(self.value(now, half_life) + PENALTY_PER_LOSS, now);
    }

    /// Returns the flap factor, by which probation is longer and the ramp slower than after a single loss.
    pub fn factor(&self, now: Instant, half_life: Duration) -> f64 {
        (self.value(now, half_life) - PENALTY_PER_LOSS).exp2().max(1.0)
    }
}
