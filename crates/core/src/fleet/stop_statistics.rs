//! Counts the stops of tasks of cancelled jobs: how many were sent, responded to and lost, and how many tasks are still
//! to end.
//!
//! Used only for logging: the lines, at most one a second, show the progress of a cancellation from the moment at which
//! this leader learns of it until its last task has ended.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::{Duration, Instant};

use rushyoke_wire::worker::Order;

use crate::env::Env;
use crate::jobs::{Name, parse_task};
use crate::term::Term;

/// Least time between two log lines on stops.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Number of messages with stops to machines, and of the tasks that they stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StopCount {
    pub messages: u32,
    pub tasks: u32,
}

impl StopCount {
    /// Counts one message, if it stops any task.
    fn add(&mut self, tasks: u32) {
        if tasks > 0 {
            self.messages += 1;
            self.tasks += tasks;
        }
    }
}

/// Stops of tasks of cancelled jobs since the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct StopEventCounts {
    /// Number of jobs with placed tasks that this leader learned were cancelled.
    cancelled_jobs: u32,
    /// Stops sent in direct calls.
    sent_in_calls: StopCount,
    /// Stops sent in responses to reports.
    sent_in_responses: StopCount,
    /// Stops in direct calls that the worker carried out.
    done: StopCount,
    /// Stops in direct calls that the worker refused.
    refused: StopCount,
    /// Stops in direct calls that got no response.
    lost: StopCount,
    /// Number of tasks of cancelled jobs whose placements have ended.
    ended_tasks: u32,
}

/// How stops were sent, or the outcome of a direct call with stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopEvent {
    /// Sent in a direct call.
    SentInCall,
    /// Sent in a response to a report.
    SentInResponse,
    /// The worker carried out the orders of the direct call.
    Done,
    /// The worker refused the orders of the direct call.
    Refused,
    /// The direct call got no response.
    Lost,
}

/// A leader's counts of stops of tasks of cancelled jobs.
#[derive(Debug, Default)]
pub(crate) struct StopStatistics {
    /// Counts since the last log line.
    counts: StopEventCounts,
    /// When the last log line was written.
    logged_at: Option<Instant>,
    /// Cancelled jobs that still have placed tasks, and when this leader learned of each cancellation.
    open_jobs: BTreeMap<Name, Instant>,
}

impl StopStatistics {
    /// Counts a message with stops, or its outcome.
    pub fn record(&mut self, event: StopEvent, tasks: u32) {
        let count = match event {
            StopEvent::SentInCall => &mut self.counts.sent_in_calls,
            StopEvent::SentInResponse => &mut self.counts.sent_in_responses,
            StopEvent::Done => &mut self.counts.done,
            StopEvent::Refused => &mut self.counts.refused,
            StopEvent::Lost => &mut self.counts.lost,
        };
        count.add(tasks);
    }

    /// Counts a task of a cancelled job whose placement has ended.
    pub fn task_ended(&mut self) {
        self.counts.ended_tasks += 1;
    }

    /// Adds a job that this leader has learned is cancelled.
    pub fn job_cancelled(&mut self, job: &Name, now: Instant) {
        if let Entry::Vacant(entry) = self.open_jobs.entry(job.clone()) {
            entry.insert(now);
            self.counts.cancelled_jobs += 1;
        }
    }

    /// Removes a cancelled job without placed tasks.
    pub fn job_ended(&mut self, job: &Name) {
        self.open_jobs.remove(job);
    }
}

/// Tasks of cancelled jobs that are still placed on machines, as known to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingStops {
    /// Number of cancelled jobs with tasks on machines.
    pub jobs: usize,
    /// Number of those tasks.
    pub tasks: usize,
    /// How long the leader has known of the oldest of these cancellations.
    pub oldest: Duration,
}

impl Term {
    /// Number of tasks of cancelled jobs that these orders stop.
    pub(super) fn count_cancelled_stops(&self, orders: &[Order]) -> u32 {
        let cancelled = |order: &&Order| match order {
            Order::Stop { task, .. } => {
                parse_task(task).is_some_and(|(id, _)| self.jobs.get(id).is_none_or(|job| job.cancelled))
            }
            _ => false,
        };
        orders.iter().filter(cancelled).count() as u32
    }

    /// Returns the cancelled jobs and tasks that are still placed on machines.
    pub fn pending_stops(&self, now: Instant) -> PendingStops {
        let placed_tasks = |job: &Name| self.jobs.get(job).map_or(0, |job| job.placements.len());
        PendingStops {
            jobs: self.stop_statistics.open_jobs.len(),
            tasks: self.stop_statistics.open_jobs.keys().map(placed_tasks).sum(),
            oldest: self
                .stop_statistics
                .open_jobs
                .values()
                .min()
                .map_or(Duration::ZERO, |since| now.duration_since(*since)),
        }
    }

    /// Writes a log line if any stop was sent or had an outcome since the last line.
    pub(super) fn log_stops(&mut self, env: &Env) {
        let now = env.steady();
        let logged_recently = self.stop_statistics.logged_at.is_some_and(|at| now.duration_since(at) < LOG_INTERVAL);
        if logged_recently || self.stop_statistics.counts == StopEventCounts::default() {
            return;
        }
        self.stop_statistics.logged_at = Some(now);
        let StopEventCounts { cancelled_jobs, sent_in_calls, sent_in_responses, done, refused, lost, ended_tasks } =
            std::mem::take(&mut self.stop_statistics.counts);
        let pending = self.pending_stops(now);
        tracing::info!(
            token = self.token,
            heard = cancelled_jobs,
            called = %format_count(sent_in_calls),
            told = %format_count(sent_in_responses),
            done = %format_count(done),
            refused = %format_count(refused),
            lost = %format_count(lost),
            ended = ended_tasks,
            jobs = pending.jobs,
            awaited = pending.tasks,
            oldest_s = pending.oldest.as_secs(),
            "stops of cancelled tasks (tasks/messages)"
        );
    }
}

/// Formats a count as `tasks/messages`.
fn format_count(count: StopCount) -> String {
    format!("{}/{}", count.tasks, count.messages)
}
