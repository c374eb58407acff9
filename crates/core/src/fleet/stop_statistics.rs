//! Stops of tasks of cancelled jobs, counted: what was sent, answered and lost, and what still awaits its effect.
//!
//! Nothing here decides anything. It lets one who reads the log follow a cancellation from the moment at which this
//! leader heard of it to the last of its tasks, in a line a second at the most.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::{Duration, Instant};

use rushyoke_wire::worker::Order;

use crate::env::Env;
use crate::jobs::{Name, parse_task};
use crate::term::Term;

/// Least time between two lines on stops.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Messages to machines that carried stops, and the tasks that these concerned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StopCount {
    pub messages: u32,
    pub tasks: u32,
}

impl StopCount {
    fn add(&mut self, tasks: u32) {
        if tasks > 0 {
            self.messages += 1;
            self.tasks += tasks;
        }
    }
}

/// What became of stops of cancelled tasks since the last line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct StopCounts {
    /// Jobs with tasks on machines of which this leader heard that they are cancelled.
    cancelled_jobs: u32,
    /// Sent in direct calls, and in answers to reports.
    sent_in_calls: StopCount,
    sent_in_responses: StopCount,
    /// Of those in calls: carried out, refused by the worker, and without an answer.
    done: StopCount,
    refused: StopCount,
    lost: StopCount,
    /// Tasks of cancelled jobs whose places were proven empty.
    ended_tasks: u32,
}

/// The way in which stops were sent, or what became of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopEvent {
    SentByCall,
    SentInResponse,
    Done,
    Refused,
    Lost,
}

/// The stops of cancelled tasks of one leader.
#[derive(Debug, Default)]
pub(crate) struct StopStatistics {
    counts: StopCounts,
    logged_at: Option<Instant>,
    /// Cancelled jobs of which tasks have places, and when this leader heard of the cancellation.
    open_jobs: BTreeMap<Name, Instant>,
}

impl StopStatistics {
    pub fn record(&mut self, event: StopEvent, tasks: u32) {
        let count = match event {
            StopEvent::SentByCall => &mut self.counts.sent_in_calls,
            StopEvent::SentInResponse => &mut self.counts.sent_in_responses,
            StopEvent::Done => &mut self.counts.done,
            StopEvent::Refused => &mut self.counts.refused,
            StopEvent::Lost => &mut self.counts.lost,
        };
        count.add(tasks);
    }

    pub fn task_ended(&mut self) {
        self.counts.ended_tasks += 1;
    }

    pub fn job_cancelled(&mut self, job: &Name, now: Instant) {
        if let Entry::Vacant(entry) = self.open_jobs.entry(job.clone()) {
            entry.insert(now);
            self.counts.cancelled_jobs += 1;
        }
    }

    pub fn job_ended(&mut self, job: &Name) {
        self.open_jobs.remove(job);
    }
}

/// Tasks of cancelled jobs that still have places, as a leader knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingStops {
    /// Jobs that are cancelled and have tasks on machines.
    pub jobs: usize,
    /// Tasks of these.
    pub tasks: usize,
    /// For how long the leader has known of the cancellation that is open for the longest time.
    pub oldest: Duration,
}

impl Term {
    /// How many tasks of cancelled jobs these orders stop.
    pub(super) fn count_cancelled_stops(&self, orders: &[Order]) -> u32 {
        let cancelled = |order: &&Order| match order {
            Order::Stop { task, .. } => {
                parse_task(task).is_some_and(|(id, _)| self.jobs.get(id).is_none_or(|job| job.cancelled))
            }
            _ => false,
        };
        orders.iter().filter(cancelled).count() as u32
    }

    /// What of the cancelled jobs still has places.
    pub fn pending_stops(&self, now: Instant) -> PendingStops {
        let places = |job: &Name| self.jobs.get(job).map_or(0, |job| job.places.len());
        PendingStops {
            jobs: self.stops.open_jobs.len(),
            tasks: self.stops.open_jobs.keys().map(places).sum(),
            oldest: self.stops.open_jobs.values().min().map_or(Duration::ZERO, |since| now.duration_since(*since)),
        }
    }

    /// Writes a line if any stop was sent or had an outcome since the last one.
    pub(super) fn log_stops(&mut self, env: &Env) {
        let now = env.steady();
        let early = self.stops.logged_at.is_some_and(|t| now.duration_since(t) < LOG_INTERVAL);
        if early || self.stops.counts == StopCounts::default() {
            return;
        }
        self.stops.logged_at = Some(now);
        let StopCounts {
            cancelled_jobs: heard,
            sent_in_calls: called,
            sent_in_responses: told,
            done,
            refused,
            lost,
            ended_tasks: ended,
        } = std::mem::take(&mut self.stops.counts);
        let awaited = self.pending_stops(now);
        tracing::info!(
            token = self.token,
            heard,
            called = %format_count(called),
            told = %format_count(told),
            done = %format_count(done),
            refused = %format_count(refused),
            lost = %format_count(lost),
            ended,
            jobs = awaited.jobs,
            awaited = awaited.tasks,
            oldest_s = awaited.oldest.as_secs(),
            "stops of cancelled tasks (tasks/messages)"
        );
    }
}

fn format_count(count: StopCount) -> String {
    format!("{}/{}", count.tasks, count.messages)
}
