//! The service's own delays, in a summary line once a minute.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rushyoke_core::PendingStops;

const PERIOD: Duration = Duration::from_secs(60);
/// Delays are counted in milliseconds up to this one.
const LONGEST_MS: u64 = 60_000;

/// What is measured.
#[derive(Clone, Copy)]
pub enum Latency {
    /// From a submission's arrival to its answer.
    Submission = 0,
    /// Calls to the state service, watches apart.
    Store = 1,
    /// Calls to the cloud.
    Cloud = 2,
    /// Direct orders to workers.
    Order = 3,
}

const NAMES: [&str; 4] = ["accept", "state", "cloud", "order"];

pub struct Stats {
    delays: [Histogram<u32>; 4],
    work: [u64; WORK.len()],
    shed: u64,
    /// Waits of the process so far, and at the last line.
    waits: u64,
    waited: u64,
    /// How late the latest tick came: the processor was short for so long.
    late: Duration,
    since: Instant,
}

/// What the processor works on, counted.
#[derive(Clone, Copy)]
pub enum Counter {
    /// Workers' reports.
    Reports = 0,
    /// Requests of users.
    UserRequests = 1,
    /// Health checks and the other controllers' questions.
    PeerRequests = 2,
    /// Connections that others opened.
    ConnectionsAccepted = 3,
    /// Connections that this node opened.
    ConnectionsOpened = 4,
    /// Reports that another node handed on.
    RelayedReports = 5,
}

const WORK: [&str; 6] = ["reports", "users", "peers", "accepted", "opened", "relayed"];

impl Default for Stats {
    fn default() -> Stats {
        Stats::new(Instant::now())
    }
}

impl Stats {
    pub fn new(now: Instant) -> Stats {
        let histogram = || Histogram::new_with_max(LONGEST_MS, 2).expect("the bounds are fixed");
        Stats {
            delays: [histogram(), histogram(), histogram(), histogram()],
            work: [0; WORK.len()],
            shed: 0,
            waits: 0,
            waited: 0,
            late: Duration::ZERO,
            since: now,
        }
    }

    pub fn record_latency(&mut self, what: Latency, delay: Duration) {
        let ms = (delay.as_millis() as u64).clamp(1, LONGEST_MS);
        self.delays[what as usize].saturating_record(ms);
    }

    pub fn count_relayed(&mut self, reports: usize) {
        self.work[Counter::RelayedReports as usize] += reports as u64;
    }

    pub fn increment(&mut self, what: Counter) {
        self.work[what as usize] += 1;
    }

    /// How often the process has waited so far, since it started.
    pub fn set_parks(&mut self, waits: u64) {
        self.waits = waits;
    }

    /// A tick came so much later than it was due.
    pub fn record_tick_delay(&mut self, by: Duration) {
        self.late = self.late.max(by);
    }

    /// A request was turned away for want of room.
    pub fn count_shed(&mut self) {
        self.shed += 1;
    }

    /// Writes the summary when it is due; `stops` tells those that await their effect, if this node leads.
    pub fn log_when_due(&mut self, now: Instant, stops: impl FnOnce() -> Option<PendingStops>) {
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
        let late_ms = self.late.as_millis() as u64;
        tracing::info!(shed = self.shed, late_ms, "delays (count, median, 95%, most): {line}");
        let counted = WORK.iter().zip(&self.work).map(|(name, count)| format!("{name} {count}"));
        let waits = self.waits - self.waited;
        tracing::info!(waits, "work: {}", counted.collect::<Vec<_>>().join(", "));
        if let Some(PendingStops { jobs, tasks, oldest }) = stops() {
            tracing::info!(jobs, tasks, oldest_s = oldest.as_secs(), "cancelled tasks that still have places");
        }
        self.waited = self.waits;
        self.work = [0; WORK.len()];
        self.shed = 0;
        self.late = Duration::ZERO;
    }
}
