//! Admission control for a zone that has returned: a token bucket of CPUs. Its rate doubles with each step in
//! which nearly all machines report, and is halved when too many starts in the zone are lost.

use std::time::{Duration, Instant};

use crate::settings::Settings;

/// Capacity of the bucket, as the number of seconds in which it fills.
const MAX_BURST_S: f64 = 1.0;
/// Admission is unlimited from this rate on: all of the zone's CPUs each second.
const UNLIMITED_RATE: f64 = 1.0;
/// The first rate is divided by the flap factor raised to this power. The length of steps is multiplied by the
/// flap factor itself.
const FIRST_RATE_EXPONENT: i32 = 2;
/// The rate is halved after a step in which more than this share of the starts was lost.
const MAX_LOST_STARTS_SHARE: f64 = 0.1;

/// Limits how fast a zone that has returned is given new work.
#[derive(Clone, Debug)]
pub struct Ramp {
    /// Share of the zone's CPUs that is admitted each second.
    rate: f64,
    first_rate: f64,
    step: Duration,
    step_began: Instant,
    filled_at: Instant,
    /// CPUs that may be given work now.
    tokens: f64,
    /// Starts since the last step that were reported running.
    confirmed: u32,
    /// Starts since the last step that were lost with their machine.
    lost: u32,
}

impl Ramp {
    /// Creates a ramp that begins now; a larger `flap_factor` slows it down.
    pub fn new(now: Instant, flap_factor: f64, settings: &Settings) -> Ramp {
        let rate = settings.ramp_share / flap_factor.powi(FIRST_RATE_EXPONENT);
        let step = settings.ramp_step.mul_f64(flap_factor);
        Ramp { rate, first_rate: rate, step, step_began: now, filled_at: now, tokens: 0.0, confirmed: 0, lost: 0 }
    }

    /// Whether admission is unlimited.
    pub fn is_open(&self) -> bool {
        self.rate >= UNLIMITED_RATE
    }

    /// Whether this many CPUs may be given work now.
    pub fn admits(&self, cpus: f64) -> bool {
        self.is_open() || self.tokens >= cpus
    }

    /// Takes the tokens for CPUs that were given work.
    pub fn consume(&mut self, cpus: f64) {
        self.tokens -= cpus;
    }

    /// Counts a task that was started in the zone and is running.
    pub fn start_confirmed(&mut self) {
        self.confirmed += 1;
    }

    /// Counts a task that was started in the zone and lost with its machine.
    pub fn start_lost(&mut self) {
        self.lost += 1;
    }

    /// Advances time in a zone with this many CPUs. `mostly_reporting` tells whether nearly all of its machines
    /// report in time.
    pub fn tick(&mut self, now: Instant, cpus: f64, largest_machine_cpus: f64, mostly_reporting: bool) {
        if self.is_open() {
            return;
        }
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        // The capacity allows at least a task as large as a machine, which would never be admitted otherwise.
        let capacity = (self.rate * cpus * MAX_BURST_S).max(largest_machine_cpus);
        self.tokens = (self.tokens + self.rate * cpus * elapsed_s).min(capacity);
        if now.saturating_duration_since(self.step_began) >= self.step {
            self.take_step(now, mostly_reporting);
        }
    }

    fn take_step(&mut self, now: Instant, mostly_reporting: bool) {
        let starts = f64::from(self.confirmed + self.lost);
        let lost_too_many = f64::from(self.lost) > starts * MAX_LOST_STARTS_SHARE;
        match (lost_too_many, mostly_reporting) {
            (true, _) => self.rate = (self.rate / 2.0).max(self.first_rate),
            (false, true) => self.rate *= 2.0,
            // The rate stays until nearly all machines report.
            (false, false) => {}
        }
        (self.step_began, self.confirmed, self.lost) = (now, 0, 0);
    }
}
