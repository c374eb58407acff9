//! Room for work that must not wait: stops tasks of lower priority, or work that other
//! teams run beyond their guarantee when a team wants its own.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rushyoke_wire::job::{Kind, Priority};

use crate::env::Env;
use crate::fleet::{Machine, Reservation};
use crate::jobs::*;
use crate::place::{CLAIM_DURATION, meets_constraints};
use crate::quota::Resources;
use crate::term::Term;

/// How long room that comes free is kept for a job.
const HOLD_FOR: Duration = Duration::from_secs(3);
/// Machines on which one pass makes room for a job.
const PER_PASS: usize = 4;
/// Machines weighed for that when there are more, in samples of a placement.
const SAMPLES: usize = 2;
/// What the delay of a job counts for beside the lost work of a task, in seconds.
const DELAY: f64 = 30.0;
/// What stopping a task of a job that starved counts for, in CPU seconds: such tasks are
/// stopped last, and by services only.
const RESCUED: f64 = 1e6;

struct Plan {
    machine: Name,
    victims: Vec<TaskKey>,
    freed: Resources,
    tasks: u32,
    lost_s: f64,
}

/// CPU seconds of work lost if the task were stopped now, a little for the restart, and more
/// if its job lacks no task so far: stopping one delays the job as a whole, while one that
/// waits for others anyway loses little. So the stops fall on few jobs.
fn lost_s(now: Instant, job: &Job, place: &Placement) -> f64 {
    let ran = place.running_since.map_or(0.0, |t| now.duration_since(t).as_secs_f64());
    let lost = if job.spec.checkpoint_interval_s > 0.0 { ran % job.spec.checkpoint_interval_s } else { ran };
    let whole = if job.waiting_tasks() == 0 { DELAY } else { 0.0 };
    (lost + whole + 1.0) * job.spec.cpus + if job.was_starved { RESCUED } else { 0.0 }
}

/// Whether a job may stop another for its higher priority. One beyond its guarantee
/// leaves those within theirs alone: they would only come back and go first.
fn outranks(job: &Job, victim: &Job, within: &BTreeSet<Name>) -> bool {
    let entitled = job.spec.priority == Priority::Production || within.contains(&job.id);
    victim.effective_priority < job.effective_priority
        && (entitled || !within.contains(&victim.id))
        && !spared(job, victim)
}

/// Whether a job's tasks were placed since it starved: what stops them again would undo it.
fn spared(job: &Job, victim: &Job) -> bool {
    victim.was_starved && job.spec.priority != Priority::Production
}

impl Term {
    pub fn preempt_for_job(&mut self, env: &mut Env, name: &Name, within: &BTreeSet<Name>) {
        let job = &self.jobs[name];
        let need = Resources::of(&job.spec);
        let quota = self.quotas.usage(&job.spec.team).map_or(0, |u| u.headroom(need));
        let claimed: u32 = self
            .machines
            .values()
            .filter_map(|m| m.reservation.as_ref().filter(|claim| claim.job == *name && claim.by_preemption))
            .map(|claim| claim.resources.fit_count(need))
            .sum();
        let mut wanted = job.waiting_tasks().min(quota).saturating_sub(claimed);
        for _ in 0..PER_PASS {
            if wanted == 0 {
                return;
            }
            let Some(plan) = self.best_plan(env, name, within, wanted) else {
                return;
            };
            tracing::debug!(
                job = &**name,
                machine = &*plan.machine,
                victims = plan.victims.len(),
                lost_s = plan.lost_s,
                "making room"
            );
            wanted = wanted.saturating_sub(plan.tasks);
            let urgent = self.jobs[name].spec.priority == Priority::Production;
            for (victim, task) in plan.victims {
                let spec = &self.jobs[&victim].spec;
                let grace = if urgent || spec.checkpoint_interval_s == 0.0 { 0.0 } else { spec.save_s };
                self.stop_task(env, &victim, task, grace);
            }
            let until = env.steady() + CLAIM_DURATION;
            let machine = self.machines.get_mut(&plan.machine).expect("planned");
            machine.reservation =
                Some(Reservation { job: name.clone(), resources: plan.freed, until, by_preemption: true });
        }
    }

    /// Keeps what comes free for a job within its guarantee while its patience lasts, one
    /// task's room a machine: smaller tasks would take every CPU as it comes free, and
    /// more of them would have to be stopped in the end.
    pub fn reserve_freed_resources(&mut self, env: &Env, name: &Name, most: usize) {
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
        let held = self.machines.values().filter(|m| m.reservation.as_ref().is_some_and(|c| c.job == *name)).count();
        let mut free: Vec<(f64, Name)> =
            self.machines.values().filter(fits).map(|m| (m.total.cpus - m.used.cpus, m.name.clone())).collect();
        free.sort_by(|a, b| b.0.total_cmp(&a.0));
        let wanted = (job.waiting_tasks() as usize).min(most).saturating_sub(held);
        for (_, machine) in free.into_iter().take(wanted) {
            let machine = self.machines.get_mut(&machine).expect("listed");
            machine.reservation =
                Some(Reservation { job: name.clone(), resources: need, until: now + HOLD_FOR, by_preemption: false });
        }
    }

    /// Makes room below the team's limit for a job that it holds back: stops tasks of
    /// the same team's work of lower priority, those that lose the least first.
    pub fn preempt_for_quota(&mut self, env: &mut Env, name: &Name, within: &BTreeSet<Name>) {
        let now = env.steady();
        let job = &self.jobs[name];
        let need = Resources::of(&job.spec);
        let Some(usage) = self.quotas.usage(&job.spec.team) else { return };
        let mut have = usage.remaining();
        let mut victims: Vec<(f64, TaskKey, Resources)> = Vec::new();
        for other in self.jobs.values().filter(|other| other.spec.team == job.spec.team) {
            let room = Resources::of(&other.spec);
            for (task, place) in &other.placements {
                if place.stop.is_some() {
                    have.add(room);
                } else if outranks(job, other, within) && !self.precedes_in_evacuation(&other.id, &job.id) {
                    let lost = lost_s(now, other, place) + self.tier_preemption_cost(other);
                    victims.push((lost, (other.id.clone(), *task), room));
                }
            }
        }
        have.memory_gb = f64::INFINITY;
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let wanted = job.waiting_tasks();
        let urgent = job.spec.priority == Priority::Production;
        let mut stopped = 0;
        for (_, (victim, task), room) in victims {
            if have.fit_count(need) >= wanted {
                break;
            }
            have.add(room);
            stopped += 1;
            let spec = &self.jobs[&victim].spec;
            let grace = if urgent || spec.checkpoint_interval_s == 0.0 { 0.0 } else { spec.save_s };
            self.stop_task(env, &victim, task, grace);
        }
        if stopped > 0 {
            tracing::debug!(job = &**name, stopped, "making room below the team's limit");
        }
    }

    fn may_stop(&self, victim: &Job, job: &Job, within: &BTreeSet<Name>) -> bool {
        let inside = within.contains(&job.id);
        let victim_inside = within.contains(&victim.id);
        if victim.spec.kind == Kind::Service && victim.spec.priority == Priority::Production {
            return false;
        }
        // Placement goes by tiers: a later one takes no room from an earlier one.
        if self.precedes_in_evacuation(&victim.id, &job.id) {
            return false;
        }
        let lower = outranks(job, victim, within);
        let borrowed = inside
            && !victim_inside
            && !spared(job, victim)
            && victim.spec.team != job.spec.team
            && self.quotas.usage(&victim.spec.team).is_some_and(|u| u.exceeds_guarantee());
        lower || borrowed
    }

    /// The machine where the least work is lost for the room gained.
    fn best_plan(&self, env: &mut Env, name: &Name, within: &BTreeSet<Name>, wanted: u32) -> Option<Plan> {
        let now = env.steady();
        let job = &self.jobs[name];
        let need = Resources::of(&job.spec);
        let zones = self.eligible_zones(job);
        let fits = |machine: &&Machine| {
            let taken = machine.reservation.as_ref().is_some_and(|claim| claim.job != *name || claim.by_preemption);
            machine.is_schedulable(now)
                && machine.in_open_zone()
                && !taken
                && meets_constraints(&job.spec, machine)
                && zones.as_ref().is_none_or(|zones| zones.contains(&machine.zone))
                && machine.total.can_fit(need)
        };
        let mut fitting: Vec<&Machine> = self.machines.values().filter(fits).collect();
        let most = env.policy.placement_sample * SAMPLES;
        if fitting.len() > most {
            fitting = fitting.into_iter().sample(&mut env.rng, most);
        }
        let mut best: Option<Plan> = None;
        for machine in fitting {
            let mut victims: Vec<(f64, TaskKey, Resources)> = Vec::new();
            let mut freed = self.free_resources(machine);
            for key in &machine.tasks {
                let owner = &self.jobs[&key.0];
                let place = &owner.placements[&key.1];
                if place.stop.is_some() {
                    // Its room comes free by itself.
                    freed.add(Resources::of(&owner.spec));
                } else if self.may_stop(owner, job, within) {
                    let lost = lost_s(now, owner, place) + self.tier_preemption_cost(owner);
                    victims.push((lost, key.clone(), Resources::of(&owner.spec)));
                }
            }
            if freed.can_fit(need) {
                continue;
            }
            victims.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut plan = Plan { machine: machine.name.clone(), victims: Vec::new(), freed, tasks: 0, lost_s: 0.0 };
            for (lost, key, room) in victims {
                if plan.freed.fit_count(need) >= wanted {
                    break;
                }
                plan.freed.add(room);
                plan.lost_s += lost;
                plan.victims.push(key);
            }
            plan.tasks = plan.freed.fit_count(need).min(wanted);
            let per_task = |plan: &Plan| plan.lost_s / f64::from(plan.tasks);
            if plan.tasks > 0 && best.as_ref().is_none_or(|b| per_task(&plan) < per_task(b)) {
                best = Some(plan);
            }
        }
        // Only what the job will use is kept for it.
        best.map(|mut plan| {
            let tasks = f64::from(plan.tasks);
            plan.freed = need.scaled(tasks);
            plan
        })
    }
}
