//! How fast a zone that has returned is filled: a token bucket of CPUs whose rate grows with what the zone
//! shows, and falls when it shows trouble.

use std::time::{Duration, Instant};

use crate::settings::Settings;

/// Seconds of the rate that may be saved up.
const SAVED_S: f64 = 1.0;
/// From this share of the zone's CPUs a second on the zone is open.
const OPEN: f64 = 1.0;
/// By how much more a second loss slows the first rate than it lengthens the steps.
const FIRST_RATE_EXPONENT: i32 = 2;
/// Starts that were lost, as a share of all since the last step, from which on a step is no good one.
const LOST_STARTS: f64 = 0.1;

/// The admission of work to a zone that has returned.
#[derive(Clone, Debug)]
pub struct Ramp {
    /// Share of the zone's CPUs that is admitted each second.
    rate: f64,
    first_rate: f64,
    step: Duration,
    stepped: Instant,
    filled: Instant,
    /// CPUs that may be given work now.
    tokens: f64,
    /// Starts since the last step that were seen running, and that were lost.
    confirmed: u32,
    lost: u32,
}

impl Ramp {
    /// A ramp that begins now; `factor` slows it.
    pub fn new(now: Instant, factor: f64, settings: &Settings) -> Ramp {
        let rate = settings.ramp_share / factor.powi(FIRST_RATE_EXPONENT);
        let step = settings.ramp_step.mul_f64(factor);
        Ramp { rate, first_rate: rate, step, stepped: now, filled: now, tokens: 0.0, confirmed: 0, lost: 0 }
    }

    /// Whether the zone takes all that fits.
    pub fn is_open(&self) -> bool {
        self.rate >= OPEN
    }

    /// Whether so many CPUs may be given work now.
    pub fn admits(&self, cpus: f64) -> bool {
        self.is_open() || self.tokens >= cpus
    }

    /// CPUs were given work.
    pub fn consume(&mut self, cpus: f64) {
        self.tokens -= cpus;
    }

    /// A task that was started there was seen running.
    pub fn start_confirmed(&mut self) {
        self.confirmed += 1;
    }

    /// A task that was started there was lost with its machine.
    pub fn start_lost(&mut self) {
        self.lost += 1;
    }

    /// Lets time pass in a zone of so many CPUs; `whole` if nearly all of its machines report in time.
    pub fn tick(&mut self, now: Instant, cpus: f64, largest_machine_cpus: f64, whole: bool) {
        if self.is_open() {
            return;
        }
        let since = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        // Room for one task of any size, or it would never be admitted.
        let most = (self.rate * cpus * SAVED_S).max(largest_machine_cpus);
        self.tokens = (self.tokens + self.rate * cpus * since).min(most);
        if now.saturating_duration_since(self.stepped) >= self.step {
            self.take_step(now, whole);
        }
    }

    fn take_step(&mut self, now: Instant, whole: bool) {
        let starts = f64::from(self.confirmed + self.lost);
        let loses = f64::from(self.lost) > starts * LOST_STARTS;
        match (loses, whole) {
            (true, _) => self.rate = (self.rate / 2.0).max(self.first_rate),
            (false, true) => self.rate *= 2.0,
            // It stays as it is until all report.
            (false, false) => {}
        }
        (self.stepped, self.confirmed, self.lost) = (now, 0, 0);
    }
}
