//! The flap penalty: grows by one with each loss and decays with a half-life, as in route flap damping.

use std::time::{Duration, Instant};

/// A value that halves in each half-life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalty {
    value: f64,
    at: Option<Instant>,
}

/// What each loss adds.
const LOSS: f64 = 1.0;

impl Penalty {
    /// A penalty that had this value at a moment.
    pub fn new(value: f64, at: Instant) -> Penalty {
        Penalty { value: value.max(0.0), at: Some(at) }
    }

    /// Its value now.
    pub fn value(&self, now: Instant, half_life: Duration) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let halvings = now.saturating_duration_since(at).as_secs_f64() / half_life.as_secs_f64();
        self.value * (-halvings).exp2()
    }

    /// A zone is lost.
    pub fn add_loss(&mut self, now: Instant, half_life: Duration) {
        *self = Penalty::new(self.value(now, half_life) + LOSS, now);
    }

    /// By how much probation is longer, and filling slower, than after a single loss.
    pub fn factor(&self, now: Instant, half_life: Duration) -> f64 {
        (self.value(now, half_life) - LOSS).exp2().max(1.0)
    }
}
