//! Latencies and counters of the process, logged as a summary once a minute.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rushyoke_core::PendingStops;

/// Interval of the summary.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(60);
/// Largest latency that is recorded; longer ones count as this one.
const MAX_LATENCY_MS: u64 = 60_000;

/// Measured latencies.
#[derive(Clone, Copy)]
pub enum Latency {
    /// From the arrival of a submission to its response.
    Submission = 0,
    /// Calls to the state service, except watches.
    Store = 1,
    /// Calls to the cloud.
    Cloud = 2,
    /// Direct calls to workers.
    Order = 3,
}

/// Names of the latencies in the summary, in the order of `Latency`.
const LATENCY_NAMES: [&str; 4] = ["accept", "state", "cloud", "order"];

/// Statistics since the last summary.
pub struct Stats {
    latencies: [Histogram<u32>; 4],
    counters: [u64; COUNTER_NAMES.len()],
    /// Requests rejected for lack of capacity.
    shed: u64,
    /// How often the process has parked to wait for events since it started.
    parks: u64,
    /// Value of `parks` at the last summary.
    parks_at_last_summary: u64,
    /// Largest delay of a tick, which shows for how long the processor was not available.
    max_tick_delay: Duration,
    last_summary: Instant,
}

/// Counted events.
#[derive(Clone, Copy)]
pub enum Counter {
    /// Reports of workers.
    Reports = 0,
    /// Requests of users.
    UserRequests = 1,
    /// Health checks and requests of other controllers.
    PeerRequests = 2,
    /// Inbound connections accepted.
    ConnectionsAccepted = 3,
    /// Outbound connections opened.
    ConnectionsOpened = 4,
    /// Reports that another node relayed.
    RelayedReports = 5,
}

/// Names of the counters in the summary, in the order of `Counter`.
const COUNTER_NAMES: [&str; 6] = ["reports", "users", "peers", "accepted", "opened", "relayed"];

impl Default for Stats {
    fn default() -> Stats {
        Stats::new(Instant::now())
    }
}

impl Stats {
    /// Creates empty statistics.
    pub fn new(now: Instant) -> Stats {
        let histogram = || Histogram::new_with_max(MAX_LATENCY_MS, 2).expect("the bounds are fixed");
        Stats {
            latencies: [histogram(), histogram(), histogram(), histogram()],
            counters: [0; COUNTER_NAMES.len()],
            shed: 0,
            parks: 0,
            parks_at_last_summary: 0,
            max_tick_delay: Duration::ZERO,
            last_summary: now,
        }
    }

    /// Records a latency.
    pub fn record_latency(&mut self, kind: Latency, latency: Duration) {
        let ms = (latency.as_millis() as u64).clamp(1, MAX_LATENCY_MS);
        self.latencies[kind as usize].saturating_record(ms);
    }

    /// Counts reports that another node relayed.
    pub fn count_relayed(&mut self, reports: usize) {
        self.counters[Counter::RelayedReports as usize] += reports as u64;
    }

    /// Adds one to a counter.
    pub fn increment(&mut self, counter: Counter) {
        self.counters[counter as usize] += 1;
    }

    /// Sets how often the process has parked since it started.
    pub fn set_parks(&mut self, parks: u64) {
        self.parks = parks;
    }

    /// Records how late a tick came.
    pub fn record_tick_delay(&mut self, delay: Duration) {
        self.max_tick_delay = self.max_tick_delay.max(delay);
    }

    /// Counts a request that was rejected for lack of capacity.
    pub fn count_shed(&mut self) {
        self.shed += 1;
    }

    /// Logs the summary if it is due, and starts the next interval. `pending_stops` returns the cancelled tasks that
    /// still have a placement, if this node is the leader.
    pub fn log_when_due(&mut self, now: Instant, pending_stops: impl FnOnce() -> Option<PendingStops>) {
        if now.duration_since(self.last_summary) < SUMMARY_INTERVAL {
            return;
        }
        self.last_summary = now;
        let mut line = String::new();
        for (name, histogram) in LATENCY_NAMES.iter().zip(&mut self.latencies) {
            if !histogram.is_empty() {
                let quantile = |q| histogram.value_at_quantile(q);
                line += &format!(
                    "{name} {}x {}/{}/{} ms; ",
                    histogram.len(),
                    quantile(0.5),
                    quantile(0.95),
                    histogram.max()
                );
            }
            histogram.reset();
        }
        let late_ms = self.max_tick_delay.as_millis() as u64;
        tracing::info!(shed = self.shed, late_ms, "delays (count, median, 95%, most): {line}");
        let counts = COUNTER_NAMES.iter().zip(&self.counters).map(|(name, count)| format!("{name} {count}"));
        let parks = self.parks - self.parks_at_last_summary;
        tracing::info!(waits = parks, "work: {}", counts.collect::<Vec<_>>().join(", "));
        if let Some(PendingStops { jobs, tasks, oldest }) = pending_stops() {
            tracing::info!(jobs, tasks, oldest_s = oldest.as_secs(), "cancelled tasks that still have a placement");
        }
        self.parks_at_last_summary = self.parks;
        self.counters = [0; COUNTER_NAMES.len()];
        self.shed = 0;
        self.max_tick_delay = Duration::ZERO;
    }
}
