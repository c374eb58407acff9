//! A leader's term from its start to its periodic work: loading the state from the state service,
//! ending jobs, and running the work that is due. For a safe takeover, no order is sent before the records
//! are loaded, and a report proves that a task is gone only once the machine is fenced.

mod load;

use std::time::Duration;

use crate::env::Env;
use crate::jobs::*;
use crate::term::Term;

/// Delay before a failed read or watch is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Minimum time between scheduling passes, to which [`PASS_INTERVAL_PER_JOB`] is added.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(50);
/// Additional time between scheduling passes per unfinished job.
const PASS_INTERVAL_PER_JOB: Duration = Duration::from_micros(500);
/// Maximum time between scheduling passes. With tens of thousands of jobs, a task would otherwise wait longer
/// for the next pass than for its image.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(2500);
/// Prefix of the keys of unfinished jobs.
const LIVE_PREFIX: &str = "live/";
/// Prefix of the keys of log segments.
const LOG_PREFIX: &str = "log/";
/// Prefix of the keys of task pages.
const TASK_PREFIX: &str = "task/";

impl Term {
    /// Starts to load the records.
    pub fn start_loading(&mut self, env: &mut Env) {
        self.read_next_page(env);
    }

    /// Stops all tasks of a cancelled job.
    pub fn stop_cancelled_job(&mut self, env: &mut Env, name: &Name) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.cancelled = true;
        let tasks: Vec<u32> = job.placements.keys().copied().collect();
        tracing::debug!(job = &**name, tasks = tasks.len(), token = self.token, "cancelled");
        if !tasks.is_empty() {
            self.stop_statistics.job_cancelled(name, env.steady());
        }
        self.cancel_moves_of(name);
        for task in tasks {
            self.stop_task(env, name, task, 0.0);
        }
        self.close_if_ended(name);
    }

    /// Queues the end of a job to be written if the job has ended: it is done, or cancelled and without
    /// placements.
    pub fn close_if_ended(&mut self, name: &Name) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let ended = if job.cancelled { job.placements.is_empty() } else { job.is_complete() };
        if ended {
            self.stop_statistics.job_ended(name);
            self.records.queue_close(name);
        }
    }

    /// Removes a job whose end is durable.
    pub fn forget_job(&mut self, name: &Name) {
        self.stop_statistics.job_ended(name);
        if let Some(job) = self.jobs.remove(name) {
            self.unlink_dependencies(&job);
            for page in job.page_versions.keys() {
                self.records.delete_key(page_key(name, *page));
            }
        }
        self.speculation.forget(name);
        if let Some(balancer) = &mut self.balancer {
            balancer.job_ended(name);
        }
        if let Some(failover) = &mut self.failover {
            failover.job_ended(name);
        }
        self.jobs_with_progress.remove(name);
    }

    /// Runs periodic work.
    pub fn tick(&mut self, env: &mut Env) {
        let now = env.steady();
        if self.retry_at.is_some_and(|t| t <= now) {
            self.retry_at = None;
            if !self.ready() && !self.load_request_pending {
                self.read_next_page(env);
            } else if self.ready() {
                self.watch_jobs(env);
            }
        }
        if !self.ready() {
            return;
        }
        self.direct_call_budget = self.direct_calls_per_tick;
        self.read_dependencies(env);
        if self.last_liveness_check.is_none_or(|t| now.duration_since(t) >= Duration::from_millis(300)) {
            self.last_liveness_check = Some(now);
            self.check_liveness(env);
        }
        if self.last_periodic_work.is_none_or(|t| now.duration_since(t) >= Duration::from_secs(1)) {
            self.last_periodic_work = Some(now);
            self.rent_tick(env);
            self.speculation_tick(env);
            self.rebalance_tick(env);
            self.scheduling_due = true;
        }
    }

    /// Runs after every input: places tasks, writes records and calls workers if that is due.
    pub fn run_due_work(&mut self, env: &mut Env) {
        if !self.ready() {
            return;
        }
        let now = env.steady();
        self.place_vacated_tasks(env);
        // A pass examines every unfinished job, so passes run less often if there are many jobs.
        let interval = (MIN_PASS_INTERVAL + PASS_INTERVAL_PER_JOB * self.jobs.len() as u32).min(MAX_PASS_INTERVAL);
        if self.scheduling_due && self.last_pass_at.is_none_or(|t| now.duration_since(t) >= interval) {
            self.scheduling_due = false;
            self.last_pass_at = Some(now);
            self.place_pass(env);
        }
        self.write_records(env);
        self.make_direct_calls(env);
    }
}
