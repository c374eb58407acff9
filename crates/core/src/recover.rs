//! A term: the tables of a leader, empty at its start, and how they are filled from the
//! state service. Guards a takeover: until the records are read no order is given, and
//! until a machine has seen our token nothing it says proves a task absent.

mod load;

use std::time::Duration;

use crate::env::Env;
use crate::jobs::*;
use crate::term::Term;

const RETRY: Duration = Duration::from_millis(250);
const PASS_GAP: Duration = Duration::from_millis(50);
const PASS_GAP_PER_JOB: Duration = Duration::from_micros(500);
/// With tens of thousands of jobs a task would wait for the next pass for longer than for its image.
const LONGEST_PASS_GAP: Duration = Duration::from_millis(2500);
const LIVE: &str = "live/";
const LOG: &str = "log/";
const TASK: &str = "task/";

impl Term {
    pub fn begin(&mut self, env: &mut Env) {
        self.read_on(env);
    }

    /// Stops all tasks of a job that is cancelled.
    pub fn stop_cancelled(&mut self, env: &mut Env, name: &Name) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.cancelled = true;
        let tasks: Vec<u32> = job.places.keys().copied().collect();
        tracing::debug!(job = &**name, tasks = tasks.len(), token = self.token, "cancelled");
        if !tasks.is_empty() {
            self.stops.job_cancelled(name, env.steady());
        }
        self.moves_cancelled(name);
        for task in tasks {
            self.stop_task(env, name, task, 0.0);
        }
        self.after_change(name);
    }

    /// Looks whether a job is over.
    pub fn after_change(&mut self, name: &Name) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let over = if job.cancelled { job.places.is_empty() } else { job.complete() };
        if over {
            self.stops.job_ended(name);
            self.records.close(name);
        }
    }

    /// Forgets a job whose end is durable.
    pub fn forget_job(&mut self, name: &Name) {
        self.stops.job_ended(name);
        if let Some(job) = self.jobs.remove(name) {
            self.unlink(&job);
            for page in job.pages.keys() {
                self.records.drop_key(page_key(name, *page));
            }
        }
        self.speculation.forget(name);
        if let Some(balancer) = &mut self.balance {
            balancer.job_ended(name);
        }
        if let Some(failover) = &mut self.failover {
            failover.job_ended(name);
        }
        self.progress.remove(name);
    }

    pub fn tick(&mut self, env: &mut Env) {
        let now = env.steady();
        if self.retry.is_some_and(|t| t <= now) {
            self.retry = None;
            if !self.ready() && !self.waiting {
                self.read_on(env);
            } else if self.ready() {
                self.watch(env);
            }
        }
        if !self.ready() {
            return;
        }
        self.allowance = self.grant;
        self.read_awaited(env);
        if self.last_look.is_none_or(|t| now.duration_since(t) >= Duration::from_millis(300)) {
            self.last_look = Some(now);
            self.check_silence(env);
        }
        if self.last_second.is_none_or(|t| now.duration_since(t) >= Duration::from_secs(1)) {
            self.last_second = Some(now);
            self.rent_tick(env);
            self.speculate_tick(env);
            self.spread_tick(env);
            self.place_due = true;
        }
    }

    /// Runs at the end of every input: places, writes and orders what has become due.
    pub fn settle(&mut self, env: &mut Env) {
        if !self.ready() {
            return;
        }
        let now = env.steady();
        self.place_vacated(env);
        // A pass looks at every unfinished job, so many jobs make passes rarer.
        let gap = (PASS_GAP + PASS_GAP_PER_JOB * self.jobs.len() as u32).min(LONGEST_PASS_GAP);
        if self.place_due && self.placed_at.is_none_or(|t| now.duration_since(t) >= gap) {
            self.place_due = false;
            self.placed_at = Some(now);
            self.place_pass(env);
        }
        self.flush(env);
        self.make_calls(env);
    }
}
