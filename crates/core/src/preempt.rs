//! Preemption: frees resources for jobs that must not wait. It stops tasks of lower priority or, for a team
//! within its guarantee, tasks of other teams that exceed theirs.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rushyoke_wire::job::{Kind, Priority};

use crate::env::Env;
use crate::fleet::{Machine, Reservation};
use crate::jobs::*;
use crate::place::{PREEMPTION_RESERVATION_DURATION, meets_constraints};
use crate::quota::Resources;
use crate::term::Term;

/// How long resources that become free on a machine are reserved for a job that waits for them.
const FREED_RESERVATION_DURATION: Duration = Duration::from_secs(3);
/// Number of machines on which one pass preempts tasks for a job.
const MAX_MACHINES_PER_PASS: usize = 4;
/// Maximum number of machines considered for preemption, as a multiple of the placement sample.
const SAMPLE_FACTOR: usize = 2;
/// Cost of delaying a whole job by stopping one of its tasks, in seconds per CPU.
const JOB_DELAY_COST_S: f64 = 30.0;
/// Cost of stopping a task of a job that was starved, in CPU seconds. Such tasks are stopped last, and
/// only by production jobs.
const STARVED_VICTIM_COST_CPU_S: f64 = 1e6;

/// Tasks to stop on one machine, and what that achieves.
struct Plan {
    machine: Name,
    victims: Vec<TaskKey>,
    /// Resources that will be available once the victims have stopped.
    freed: Resources,
    /// Number of the preempting job's tasks that fit into the freed resources.
    tasks: u32,
    /// Cost of stopping the victims, in CPU seconds.
    cost_cpu_s: f64,
}

/// Returns the cost of stopping a task now, in CPU seconds: the work lost, a little for the restart, and
/// more if no other task of its job is waiting. Stopping one task then delays the whole job, while a job
/// whose other tasks still wait loses little. So preemption affects few jobs.
fn preemption_cost_cpu_s(now: Instant, job: &Job, placement: &Placement) -> f64 {
    let ran_s = placement.running_since.map_or(0.0, |since| now.duration_since(since).as_secs_f64());
    let lost_s = if job.spec.checkpoint_interval_s > 0.0 { ran_s % job.spec.checkpoint_interval_s } else { ran_s };
    let job_delay_s = if job.waiting_tasks() == 0 { JOB_DELAY_COST_S } else { 0.0 };
    (lost_s + job_delay_s + 1.0) * job.spec.cpus + if job.was_starved { STARVED_VICTIM_COST_CPU_S } else { 0.0 }
}

/// Whether a job may preempt another because of its higher priority. A job beyond its guarantee must not
/// preempt jobs within theirs, which would return to the queue and be served before it.
fn outranks(job: &Job, victim: &Job, guaranteed: &BTreeSet<Name>) -> bool {
    let entitled = job.spec.priority == Priority::Production || guaranteed.contains(&job.id);
    victim.effective_priority < job.effective_priority
        && (entitled || !guaranteed.contains(&victim.id))
        && !is_protected(job, victim)
}

/// Whether the victim was starved, which protects it from all but production jobs: stopping its tasks
/// would starve it again.
fn is_protected(job: &Job, victim: &Job) -> bool {
    victim.was_starved && job.spec.priority != Priority::Production
}

impl Term {
    /// Stops other tasks so that waiting tasks of a job fit on their machines, and reserves the freed
    /// resources for the job. `guaranteed` contains the jobs within their team's guarantee.
    pub fn preempt_for_job(&mut self, env: &mut Env, name: &Name, guaranteed: &BTreeSet<Name>) {
        let job = &self.jobs[name];
        let need = Resources::of(&job.spec);
        let headroom = self.quotas.usage(&job.spec.team).map_or(0, |u| u.headroom(need));
        let reserved_tasks: u32 = self
            .machines
            .values()
            .filter_map(|m| {
                m.reservation.as_ref().filter(|reservation| reservation.job == *name && reservation.by_preemption)
            })
            .map(|reservation| reservation.resources.fit_count(need))
            .sum();
        let mut wanted = job.waiting_tasks().min(headroom).saturating_sub(reserved_tasks);
        for _ in 0..MAX_MACHINES_PER_PASS {
            if wanted == 0 {
                return;
            }
            let Some(plan) = self.best_plan(env, name, guaranteed, wanted) else {
                return;
            };
            tracing::debug!(
                job = &**name,
                machine = &*plan.machine,
                victims = plan.victims.len(),
                lost_s = plan.cost_cpu_s,
                "preempting tasks on a machine"
            );
            wanted = wanted.saturating_sub(plan.tasks);
            let urgent = self.jobs[name].spec.priority == Priority::Production;
            for (victim, task) in plan.victims {
                let spec = &self.jobs[&victim].spec;
                let grace = if urgent || spec.checkpoint_interval_s == 0.0 { 0.0 } else { spec.save_s };
                self.stop_task(env, &victim, task, grace);
            }
            let until = env.steady() + PREEMPTION_RESERVATION_DURATION;
            let machine = self.machines.get_mut(&plan.machine).expect("planned");
            machine.reservation =
                Some(Reservation { job: name.clone(), resources: plan.freed, until, by_preemption: true });
        }
    }

    /// Reserves resources that become free for a waiting job that does not preempt others, for one task per
    /// machine and on at most `limit` machines. Otherwise smaller tasks would take each CPU as it becomes
    /// free, and more of them would have to be preempted later.
    pub fn reserve_freed_resources(&mut self, env: &Env, name: &Name, limit: usize) {
        let now = env.steady();
        let job = &self.jobs[name];
        let need = Resources::of(&job.spec);
        let zones = self.eligible_zones(job);
        let fits = |m: &&Machine| {
            m.is_schedulable(now)
                && m.reservation.is_none()
                && meets_constraints(&job.spec, m)
                && m.total.can_fit(need)
                && zones.as_ref().is_none_or(|zones| zones.contains(&m.zone))
        };
        let reserved_machines = self
            .machines
            .values()
            .filter(|m| m.reservation.as_ref().is_some_and(|reservation| reservation.job == *name))
            .count();
        let mut candidates: Vec<(f64, Name)> =
            self.machines.values().filter(fits).map(|m| (m.total.cpus - m.used.cpus, m.name.clone())).collect();
        candidates.sort_by(|(free_cpus, _), (other_free_cpus, _)| other_free_cpus.total_cmp(free_cpus));
        let wanted = (job.waiting_tasks() as usize).min(limit).saturating_sub(reserved_machines);
        for (_, machine) in candidates.into_iter().take(wanted) {
            let machine = self.machines.get_mut(&machine).expect("listed");
            machine.reservation = Some(Reservation {
                job: name.clone(),
                resources: need,
                until: now + FREED_RESERVATION_DURATION,
                by_preemption: false,
            });
        }
    }

    /// Frees quota for a job that its team's limit holds back: stops lower-priority tasks of the same team,
    /// those with the lowest cost first.
    pub fn preempt_for_quota(&mut self, env: &mut Env, name: &Name, guaranteed: &BTreeSet<Name>) {
        let now = env.steady();
        let job = &self.jobs[name];
        let need = Resources::of(&job.spec);
        let Some(usage) = self.quotas.usage(&job.spec.team) else { return };
        let mut available = usage.remaining();
        let mut victims: Vec<(f64, TaskKey, Resources)> = Vec::new();
        for other in self.jobs.values().filter(|other| other.spec.team == job.spec.team) {
            let resources = Resources::of(&other.spec);
            for (task, placement) in &other.placements {
                if placement.stop.is_some() {
                    available.add(resources);
                } else if outranks(job, other, guaranteed) && !self.precedes_in_evacuation(&other.id, &job.id) {
                    let cost = preemption_cost_cpu_s(now, other, placement) + self.tier_preemption_cost(other);
                    victims.push((cost, (other.id.clone(), *task), resources));
                }
            }
        }
        available.memory_gb = f64::INFINITY;
        victims.sort_by(|(cost, ..), (other_cost, ..)| cost.total_cmp(other_cost));
        let wanted = job.waiting_tasks();
        let urgent = job.spec.priority == Priority::Production;
        let mut stopped = 0;
        for (_, (victim, task), resources) in victims {
            if available.fit_count(need) >= wanted {
                break;
            }
            available.add(resources);
            stopped += 1;
            let spec = &self.jobs[&victim].spec;
            let grace = if urgent || spec.checkpoint_interval_s == 0.0 { 0.0 } else { spec.save_s };
            self.stop_task(env, &victim, task, grace);
        }
        if stopped > 0 {
            tracing::debug!(job = &**name, stopped, "preempting tasks to free quota below the team's limit");
        }
    }

    /// Whether a job may preempt tasks of another.
    fn may_preempt(&self, victim: &Job, job: &Job, guaranteed: &BTreeSet<Name>) -> bool {
        let is_guaranteed = guaranteed.contains(&job.id);
        let victim_is_guaranteed = guaranteed.contains(&victim.id);
        if victim.spec.kind == Kind::Service && victim.spec.priority == Priority::Production {
            return false;
        }
        // During an evacuation, a later tier must not take resources from an earlier one.
        if self.precedes_in_evacuation(&victim.id, &job.id) {
            return false;
        }
        let has_lower_priority = outranks(job, victim, guaranteed);
        let exceeds_guarantee = is_guaranteed
            && !victim_is_guaranteed
            && !is_protected(job, victim)
            && victim.spec.team != job.spec.team
            && self.quotas.usage(&victim.spec.team).is_some_and(|u| u.exceeds_guarantee());
        has_lower_priority || exceeds_guarantee
    }

    /// Returns the plan with the lowest cost per placed task.
    fn best_plan(&self, env: &mut Env, name: &Name, guaranteed: &BTreeSet<Name>, wanted: u32) -> Option<Plan> {
        let now = env.steady();
        let job = &self.jobs[name];
        let need = Resources::of(&job.spec);
        let zones = self.eligible_zones(job);
        let fits = |machine: &&Machine| {
            let is_reserved = machine
                .reservation
                .as_ref()
                .is_some_and(|reservation| reservation.job != *name || reservation.by_preemption);
            machine.is_schedulable(now)
                && machine.in_open_zone()
                && !is_reserved
                && meets_constraints(&job.spec, machine)
                && zones.as_ref().is_none_or(|zones| zones.contains(&machine.zone))
                && machine.total.can_fit(need)
        };
        let mut fitting: Vec<&Machine> = self.machines.values().filter(fits).collect();
        let sample = env.policy.placement_sample * SAMPLE_FACTOR;
        if fitting.len() > sample {
            fitting = fitting.into_iter().sample(&mut env.rng, sample);
        }
        let mut best: Option<Plan> = None;
        for machine in fitting {
            let mut victims: Vec<(f64, TaskKey, Resources)> = Vec::new();
            let mut freed = self.free_resources(machine);
            for key in &machine.tasks {
                let owner = &self.jobs[&key.0];
                let placement = &owner.placements[&key.1];
                if placement.stop.is_some() {
                    // The task is already stopping, so its resources become free without a preemption.
                    freed.add(Resources::of(&owner.spec));
                } else if self.may_preempt(owner, job, guaranteed) {
                    let cost = preemption_cost_cpu_s(now, owner, placement) + self.tier_preemption_cost(owner);
                    victims.push((cost, key.clone(), Resources::of(&owner.spec)));
                }
            }
            if freed.can_fit(need) {
                continue;
            }
            victims.sort_by(|(cost, ..), (other_cost, ..)| cost.total_cmp(other_cost));
            let mut plan =
                Plan { machine: machine.name.clone(), victims: Vec::new(), freed, tasks: 0, cost_cpu_s: 0.0 };
            for (cost, key, resources) in victims {
                if plan.freed.fit_count(need) >= wanted {
                    break;
                }
                plan.freed.add(resources);
                plan.cost_cpu_s += cost;
                plan.victims.push(key);
            }
            plan.tasks = plan.freed.fit_count(need).min(wanted);
            let cost_per_task = |plan: &Plan| plan.cost_cpu_s / f64::from(plan.tasks);
            if plan.tasks > 0 && best.as_ref().is_none_or(|best| cost_per_task(&plan) < cost_per_task(best)) {
                best = Some(plan);
            }
        }
        // Reserve only what the job will use.
        best.map(|mut plan| {
            let tasks = f64::from(plan.tasks);
            plan.freed = need.scaled(tasks);
            plan
        })
    }
}
