//! What becomes of tasks on their machines: they run, exit, fail, leave or are stopped.

use std::time::{Duration, Instant};

use rushyoke_wire::job::Kind;
use rushyoke_wire::worker::{Cause, TaskReport, TaskState};

use crate::env::Env;
use crate::jobs::*;
use crate::term::Term;

impl Term {
    pub(super) fn apply_task_report(&mut self, env: &mut Env, key: &TaskKey, report: &TaskReport) {
        let now = env.steady();
        let job = self.jobs.get_mut(&key.0).expect("placed");
        let place = job.placements.get_mut(&key.1).expect("placed");
        let before = place.stage;
        let began = report.state == TaskState::Running && place.running_since.is_none();
        match report.state {
            TaskState::Fetching => place.stage = Stage::Fetching,
            TaskState::Saving => place.stage = Stage::Saving,
            TaskState::Running => {
                place.stage = Stage::Running;
                if place.running_since.is_none() {
                    place.running_since = Some(now);
                    job.running_tasks += 1;
                    let machine = self.machines.get_mut(&place.machine).expect("placed");
                    machine.images.mark_used(&job.spec.image, job.spec.image_gb);
                }
            }
            TaskState::Exited => {
                self.handle_task_exit(env, key, report.cause.unwrap_or(Cause::Error));
                return;
            }
        }
        if before != place.stage {
            if place.stop.is_some_and(|stop| stop.last_sent.is_none()) {
                let machine = place.machine.clone();
                self.call_soon(&machine);
            }
            self.note_progress(&key.0);
            self.note_move_progress(now, key, report.state);
            if began {
                let machine = self.jobs[&key.0].placements[&key.1].machine.clone();
                self.note_running_in_zone(&machine);
            }
        }
    }

    fn handle_task_exit(&mut self, env: &mut Env, key: &TaskKey, why: Cause) {
        let now = env.steady();
        let job = self.jobs.get_mut(&key.0).expect("placed");
        let place = job.placements[&key.1].clone();
        let mut again = now;
        match why {
            Cause::Done => {
                job.mark_done(key.1);
                if let Some(since) = place.running_since {
                    let run_s = now.duration_since(since).as_secs_f64();
                    job.record_run(run_s);
                    self.speculation.record_run(&key.0, &place.machine, run_s);
                }
                self.task_succeeded(&key.0, &place);
            }
            Cause::Stopped => {}
            Cause::Error => again = self.task_failed(now, key, &place),
            Cause::InsufficientResources => {
                let machine = self.machines.get_mut(&place.machine).expect("placed");
                machine.full_until = Some(now + Duration::from_secs(2));
            }
            Cause::AttemptConflict => again = now + Duration::from_secs(2),
            Cause::UnknownTask => again = now + Duration::from_secs(5),
        }
        tracing::debug!(job = &*key.0, task = key.1, machine = &*place.machine, ?why, "exited");
        self.clear_placement(env, key, again);
        let machine = self.machines.get_mut(&place.machine).expect("placed");
        machine.exited.insert((format!("{}/{}", key.0, key.1), place.attempt), key.clone());
        self.close_if_over(&key.0);
    }

    fn task_succeeded(&mut self, job: &Name, place: &Placement) {
        let machine = self.machines.get_mut(&place.machine).expect("placed");
        machine.failed_jobs.retain(|_, at| place.placed_at < *at);
        // A job that works elsewhere clears itself of the failures it had.
        let failed_on = self.jobs[job].failed_on.clone();
        for name in failed_on.iter().filter(|name| **name != place.machine) {
            if self.machines.get(name).is_some_and(|m| m.failed_jobs.contains_key(job)) {
                self.quarantine(name);
            }
        }
    }

    /// A task failed. Tells machines that fail every task apart from jobs that fail
    /// everywhere; returns when the task may be tried again.
    fn task_failed(&mut self, now: Instant, key: &TaskKey, place: &Placement) -> Instant {
        let job = self.jobs.get_mut(&key.0).expect("placed");
        job.failed_on.insert(place.machine.clone());
        job.consecutive_failures += 1;
        let works = job.done_count > 0
            || job.placements.values().any(|p| {
                p.machine != place.machine
                    && p.running_since.is_some_and(|t| now.duration_since(t) > Duration::from_secs(5))
            });
        let bad_job = !works && job.failed_on.len() >= FAULTY_JOB_MACHINES;
        let failures = job.consecutive_failures;
        let machine = self.machines.get_mut(&place.machine).expect("placed");
        if !bad_job {
            machine.failed_jobs.insert(key.0.clone(), now);
            if works || machine.failed_jobs.len() >= 2 {
                let name = place.machine.clone();
                self.quarantine(&name);
            }
        }
        let wait = if bad_job { 2f64.powi(failures.min(6) as i32 - 2).min(30.0) } else { 0.0 };
        now + Duration::from_secs_f64(wait)
    }

    fn quarantine(&mut self, name: &Name) {
        if let Some(machine) = self.machines.get_mut(name)
            && !machine.quarantined
        {
            tracing::info!(
                machine = &**name,
                jobs = machine.failed_jobs.len(),
                "quarantined: it fails the tasks it starts"
            );
            machine.quarantined = true;
        }
    }

    /// The place of a task is proven empty.
    pub fn clear_placement(&mut self, env: &mut Env, key: &TaskKey, again: Instant) {
        let now = env.steady();
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        let Some(place) = job.placements.remove(&key.1) else {
            return;
        };
        if place.running_since.is_some() {
            job.running_tasks -= 1;
        }
        if job.cancelled {
            self.stops.task_ended();
        }
        job.requeue(key.1, again);
        self.quotas.sub(&job.spec);
        if let Some(machine) = self.machines.get_mut(&place.machine) {
            machine.remove_task(key, &job.spec, now);
        }
        self.records.mark_changed(key.clone(), None);
        self.note_placement_ended(now, key, again > now);
        self.scheduling_due = true;
        self.note_progress(&key.0);
        self.close_if_over(&key.0);
    }

    /// Orders a task to leave its machine. One that was never ordered just stays away.
    pub fn stop_task(&mut self, env: &mut Env, job: &Name, task: u32, grace: f64) {
        let Some(place) = self.jobs.get_mut(job).and_then(|job| job.placements.get_mut(&task)) else {
            return;
        };
        if !place.start_sent {
            let now = env.steady();
            self.clear_placement(env, &(job.clone(), task), now);
            return;
        }
        let stop = StopRequest::new(grace);
        if place.stop.is_none_or(|earlier| stop.is_stricter_than(&earlier)) {
            place.stop = Some(stop);
            let name = place.machine.clone();
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.orders_due = true;
                machine.has_immediate_stops |= stop.is_immediate();
            }
            self.call_soon(&name);
        }
    }

    /// The cloud takes a spot machine away: what saves is told to save, what cannot
    /// finish in time is moved at once.
    pub(super) fn handle_reclaim_notice(&mut self, env: &mut Env, name: &Name, notice_s: Option<f64>) {
        let now = env.steady();
        let Some(left) = notice_s else { return };
        let machine = self.machines.get_mut(name).expect("reported");
        let left = Duration::from_secs_f64(left.clamp(0.0, 1e6));
        if machine.reclaimed_at.is_none() {
            tracing::info!(machine = &**name, in_s = left.as_secs(), tasks = machine.tasks.len(), "to be taken");
        }
        machine.reclaimed_at = Some(now + left);
        let keys: Vec<TaskKey> = machine.tasks.iter().cloned().collect();
        for (job, task) in keys {
            let Some(owner) = self.jobs.get(&job) else {
                continue;
            };
            let spec = &owner.spec;
            let place = &owner.placements[&task];
            let ran = place.running_since.map_or(0.0, |t| now.duration_since(t).as_secs_f64());
            let finishes = spec.kind == Kind::Array
                && place.running_since.is_some()
                && (owner.mean_run_s - ran).max(0.0) + 1.0 < left.as_secs_f64();
            if !finishes && place.stop.is_none() {
                let saves = spec.checkpoint_interval_s > 0.0 && place.running_since.is_some();
                let grace = if saves { spec.save_s } else { 0.0 };
                self.stop_task(env, &job, task, grace);
            }
        }
    }
}
