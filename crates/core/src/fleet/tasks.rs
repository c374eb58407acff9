//! The lifecycle of tasks on their machines: they run, exit, fail, are stopped, or leave before the cloud reclaims the
//! machine.

use std::time::{Duration, Instant};

use rushyoke_wire::job::Kind;
use rushyoke_wire::worker::{Cause, TaskReport, TaskState};

use super::Attempt;
use crate::env::Env;
use crate::jobs::*;
use crate::term::Term;

impl Term {
    /// Applies the reported state of a task to its placement.
    pub(super) fn apply_task_report(&mut self, env: &mut Env, key: &TaskKey, report: &TaskReport) {
        let now = env.steady();
        let job = self.jobs.get_mut(&key.0).expect("placed");
        let placement = job.placements.get_mut(&key.1).expect("placed");
        let previous_stage = placement.stage;
        let started_running = report.state == TaskState::Running && placement.running_since.is_none();
        match report.state {
            TaskState::Fetching => placement.stage = Stage::Fetching,
            TaskState::Saving => placement.stage = Stage::Saving,
            TaskState::Running => {
                placement.stage = Stage::Running;
                if placement.running_since.is_none() {
                    placement.running_since = Some(now);
                    job.running_tasks += 1;
                    let machine = self.machines.get_mut(&placement.machine).expect("placed");
                    machine.images.mark_used(&job.spec.image, job.spec.image_gb);
                }
            }
            TaskState::Exited => {
                self.handle_task_exit(env, key, report.cause.unwrap_or(Cause::Error));
                return;
            }
        }
        if previous_stage != placement.stage {
            if placement.stop.is_some_and(|stop| stop.last_sent.is_none()) {
                let machine = placement.machine.clone();
                self.queue_direct_call(&machine);
            }
            self.note_progress(&key.0);
            self.note_move_progress(now, key, report.state);
            if started_running {
                let machine = self.jobs[&key.0].placements[&key.1].machine.clone();
                self.note_running_in_zone(&machine);
            }
        }
    }

    /// Handles a task that has exited, and ends its placement.
    fn handle_task_exit(&mut self, env: &mut Env, key: &TaskKey, cause: Cause) {
        let now = env.steady();
        let job = self.jobs.get_mut(&key.0).expect("placed");
        let placement = job.placements[&key.1].clone();
        let mut retry_at = now;
        match cause {
            Cause::Done => {
                job.mark_done(key.1);
                if let Some(since) = placement.running_since {
                    let run_s = now.duration_since(since).as_secs_f64();
                    job.record_run(run_s);
                    self.speculation.record_run(&key.0, &placement.machine, run_s);
                }
                self.task_succeeded(&key.0, &placement);
            }
            Cause::Stopped => {}
            Cause::Error => retry_at = self.task_failed(now, key, &placement),
            Cause::InsufficientResources => {
                let machine = self.machines.get_mut(&placement.machine).expect("placed");
                machine.full_until = Some(now + Duration::from_secs(2));
            }
            Cause::AttemptConflict => retry_at = now + Duration::from_secs(2),
            Cause::UnknownTask => retry_at = now + Duration::from_secs(5),
        }
        tracing::debug!(job = &*key.0, task = key.1, machine = &*placement.machine, why = ?cause, "exited");
        self.clear_placement(env, key, retry_at);
        let machine = self.machines.get_mut(&placement.machine).expect("placed");
        machine.exited.insert(Attempt::of(key, &placement), key.clone());
        self.close_if_ended(&key.0);
    }

    /// Clears the machine's failures from before the task was placed, and quarantines the other machines on which the
    /// job failed.
    fn task_succeeded(&mut self, job: &Name, placement: &Placement) {
        let machine = self.machines.get_mut(&placement.machine).expect("placed");
        machine.failed_jobs.retain(|_, at| placement.placed_at < *at);
        // The job works here, so its failures elsewhere are the machines' fault.
        let failed_on = self.jobs[job].failed_on.clone();
        for name in failed_on.iter().filter(|name| **name != placement.machine) {
            if self.machines.get(name).is_some_and(|machine| machine.failed_jobs.contains_key(job)) {
                self.quarantine(name);
            }
        }
    }

    /// Handles a failed task and returns when it may be retried. Distinguishes machines that
    /// fail every task from jobs that fail everywhere.
    fn task_failed(&mut self, now: Instant, key: &TaskKey, placement: &Placement) -> Instant {
        let job = self.jobs.get_mut(&key.0).expect("placed");
        job.failed_on.insert(placement.machine.clone());
        job.consecutive_failures += 1;
        let job_works = job.done_count > 0
            || job.placements.values().any(|other| {
                other.machine != placement.machine
                    && other.running_since.is_some_and(|since| now.duration_since(since) > Duration::from_secs(5))
            });
        let faulty_job = !job_works && job.failed_on.len() >= FAULTY_JOB_MACHINES;
        let failures = job.consecutive_failures;
        let machine = self.machines.get_mut(&placement.machine).expect("placed");
        if !faulty_job {
            machine.failed_jobs.insert(key.0.clone(), now);
            if job_works || machine.failed_jobs.len() >= 2 {
                let name = placement.machine.clone();
                self.quarantine(&name);
            }
        }
        let backoff_s = if faulty_job { 2f64.powi(failures.min(6) as i32 - 2).min(30.0) } else { 0.0 };
        now + Duration::from_secs_f64(backoff_s)
    }

    /// Quarantines a machine, so that it gets no more tasks and is released once it has none.
    fn quarantine(&mut self, name: &Name) {
        if let Some(machine) = self.machines.get_mut(name)
            && !machine.quarantined
        {
            tracing::info!(
                machine = &**name,
                jobs = machine.failed_jobs.len(),
                "quarantined: it fails the tasks that it starts"
            );
            machine.quarantined = true;
        }
    }

    /// Ends the placement of a task that is proven not to run. If the task is not done it may be placed again from
    /// `retry_at` on.
    pub fn clear_placement(&mut self, env: &mut Env, key: &TaskKey, retry_at: Instant) {
        let now = env.steady();
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        let Some(placement) = job.placements.remove(&key.1) else {
            return;
        };
        if placement.running_since.is_some() {
            job.running_tasks -= 1;
        }
        if job.cancelled {
            self.stop_statistics.task_ended();
        }
        job.requeue(key.1, retry_at);
        self.quotas.sub(&job.spec);
        if let Some(machine) = self.machines.get_mut(&placement.machine) {
            machine.remove_task(key, &job.spec, now);
        }
        self.records.mark_changed(key.clone(), None);
        self.note_placement_ended(now, key, retry_at > now);
        self.scheduling_due = true;
        self.note_progress(&key.0);
        self.close_if_ended(&key.0);
    }

    /// Orders a task to stop on its machine. If its start was never sent, its placement just ends.
    pub fn stop_task(&mut self, env: &mut Env, job: &Name, task: u32, grace: f64) {
        let Some(placement) = self.jobs.get_mut(job).and_then(|job| job.placements.get_mut(&task)) else {
            return;
        };
        if !placement.start.may_be_sent() {
            let now = env.steady();
            self.clear_placement(env, &(job.clone(), task), now);
            return;
        }
        let stop = StopRequest::new(grace);
        if placement.stop.is_none_or(|earlier| stop.is_stricter_than(&earlier)) {
            placement.stop = Some(stop);
            let name = placement.machine.clone();
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.orders_due = true;
                machine.has_immediate_stops |= stop.is_immediate();
            }
            self.queue_direct_call(&name);
        }
    }

    /// Handles a notice that the cloud will reclaim a spot machine. Running tasks that can save a
    /// checkpoint are stopped with a grace period. Others that cannot finish in time are stopped at
    /// once, to be placed elsewhere.
    pub(super) fn handle_reclaim_notice(&mut self, env: &mut Env, name: &Name, notice_s: Option<f64>) {
        let now = env.steady();
        let Some(remaining) = notice_s else { return };
        let machine = self.machines.get_mut(name).expect("reported");
        let remaining = Duration::from_secs_f64(remaining.clamp(0.0, 1e6));
        if machine.reclaimed_at.is_none() {
            tracing::info!(
                machine = &**name,
                in_s = remaining.as_secs(),
                tasks = machine.tasks.len(),
                "the cloud will reclaim it"
            );
        }
        machine.reclaimed_at = Some(now + remaining);
        let keys: Vec<TaskKey> = machine.tasks.iter().cloned().collect();
        for (job_name, task) in keys {
            let Some(job) = self.jobs.get(&job_name) else {
                continue;
            };
            let spec = &job.spec;
            let placement = &job.placements[&task];
            let ran_for_s = placement.running_since.map_or(0.0, |since| now.duration_since(since).as_secs_f64());
            let finishes_in_time = spec.kind == Kind::Array
                && placement.running_since.is_some()
                && (job.mean_run_s - ran_for_s).max(0.0) + 1.0 < remaining.as_secs_f64();
            if !finishes_in_time && placement.stop.is_none() {
                let can_save = spec.checkpoint_interval_s > 0.0 && placement.running_since.is_some();
                let grace = if can_save { spec.save_s } else { 0.0 };
                self.stop_task(env, &job_name, task, grace);
            }
        }
    }
}
