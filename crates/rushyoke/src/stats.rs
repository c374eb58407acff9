//! The service's own delays, in a summary line once a minute.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

const PERIOD: Duration = Duration::from_secs(60);
/// Delays are counted in milliseconds up to this one.
const LONGEST_MS: u64 = 60_000;

/// What is measured.
#[derive(Clone, Copy)]
pub enum Delay {
    /// From a submission's arrival to its answer.
    Accept = 0,
    /// Calls to the state service, watches apart.
    State = 1,
    /// Calls to the cloud.
    Cloud = 2,
    /// Direct orders to workers.
    Order = 3,
}

const NAMES: [&str; 4] = ["accept", "state", "cloud", "order"];

pub struct Stats {
    delays: [Histogram<u32>; 4],
    shed: u64,
    since: Instant,
}

impl Stats {
    pub fn new(now: Instant) -> Stats {
        let histogram = || Histogram::new_with_max(LONGEST_MS, 2).expect("the bounds are fixed");
        Stats { delays: [histogram(), histogram(), histogram(), histogram()], shed: 0, since: now }
    }

    pub fn note(&mut self, what: Delay, delay: Duration) {
        let ms = (delay.as_millis() as u64).clamp(1, LONGEST_MS);
        self.delays[what as usize].saturating_record(ms);
    }

    /// A request was turned away for want of room.
    pub fn shed(&mut self) {
        self.shed += 1;
    }

    pub fn tick(&mut self, now: Instant) {
        if now.duration_since(self.since) < PERIOD {
            return;
        }
        self.since = now;
        let mut line = String::new();
        for (name, histogram) in NAMES.iter().zip(&mut self.delays) {
            if !histogram.is_empty() {
                let at = |q| histogram.value_at_quantile(q);
                line += &format!("{name} {}x {}/{}/{} ms; ", histogram.len(), at(0.5), at(0.95), histogram.max());
            }
            histogram.reset();
        }
        tracing::info!(shed = self.shed, "delays (count, median, 95%, most): {line}");
        self.shed = 0;
    }
}
