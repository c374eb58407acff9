//! Machines that are more than enough: chosen, emptied and returned.

use std::collections::BTreeSet;
use std::time::Instant;

use rushyoke_wire::job::Kind;

use crate::calls::{Purpose, RentCall};
use crate::env::Env;
use crate::fleet::{Machine, Reservation};
use crate::io::*;
use crate::jobs::*;
use crate::place::{CLAIM_DURATION, meets_constraints};
use crate::quota::Resources;
use crate::term::Term;

use super::{
    LOST_AFTER_BOOT_TIMES, MAX_MACHINES_PER_RELEASE, MAX_SAVED_MOVES, MIN_CHARGED_TIME, MIN_RUN_BEFORE_MOVE_S,
    REPLICA_MOVES_PER_S_SHARE, SERVICE_EMPTY_TIME_S,
};

impl Term {
    /// Chooses machines that can be returned soon: with all others, what is in use, what
    /// waits and what is kept free would fit. `need` counts CPUs.
    pub(super) fn choose_retiring(&mut self, env: &mut Env, need: f64) {
        let now = env.steady();
        let window = env.policy.idle_timeout;
        self.renting.recent_needs.push_back((now, need));
        while self.renting.recent_needs.front().is_some_and(|(t, _)| now.duration_since(*t) > window) {
            self.renting.recent_needs.pop_front();
        }
        let mut have: f64 = self.machines.values().filter(|m| m.counts_as_capacity()).map(|m| m.total.cpus).sum();
        let mut candidates: Vec<(bool, bool, f64, Name)> = self
            .machines
            .values()
            .filter(|m| m.up && m.counts_as_capacity())
            .map(|m| (m.hosts_service(), m.spot, self.seconds_until_empty(now, m), m.name.clone()))
            .collect();
        // Those with replicas last, since these end with their service only; then the dearest
        // first, and of those the ones that are empty the soonest.
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.total_cmp(&b.2)));
        // What may not use spot machines must find room on the ordinary ones that stay.
        let firm_jobs = self.jobs.values().filter(|job| !job.spec.spot);
        let firm_use: f64 = firm_jobs.map(|job| job.spec.cpus * job.placements.len() as f64).sum();
        let firm_need = firm_use + self.renting.service_reserve(env);
        let firm = self.machines.values().filter(|m| m.counts_as_capacity() && !m.spot);
        let mut firm_have: f64 = firm.map(|m| m.total.cpus).sum();
        let mut retiring = BTreeSet::new();
        for (_, spot, _, name) in candidates {
            let cpus = self.machines[&name].total.cpus;
            if have - cpus < need {
                break;
            }
            if !spot {
                if firm_have - cpus < firm_need {
                    continue;
                }
                firm_have -= cpus;
            }
            have -= cpus;
            retiring.insert(name);
        }
        for machine in self.machines.values_mut() {
            machine.retiring = retiring.contains(&machine.name) || machine.was_drained_for(|drain| drain.retiring);
        }
    }

    /// Whether tasks of the job wait that its team's limit would let run.
    fn has_startable_tasks(&self, job: &Job) -> bool {
        let usage = self.quotas.usage(&job.spec.team);
        job.waiting_tasks() > 0 && usage.is_some_and(|u| u.headroom(Resources::of(&job.spec)) > 0)
    }

    /// Moves the tasks of a retiring machine that save their progress, and replicas, where that
    /// empties it: one machine at a time, while nothing waits and the others have the room.
    pub(super) fn drain_retiring(&mut self, env: &mut Env) {
        let now = env.steady();
        // What runs well is not moved because a zone is back.
        if self.any_zone_unhealthy() || self.jobs.values().any(|job| self.has_startable_tasks(job)) {
            return;
        }
        let replicas: u32 = self.machines.values().map(Machine::service_replicas).sum();
        let renting = &mut self.renting;
        renting.move_budget =
            (renting.move_budget + f64::from(replicas) * REPLICA_MOVES_PER_S_SHARE).min(MAX_SAVED_MOVES);
        let mut free: Vec<(&Machine, Resources)> = Vec::new();
        for machine in
            self.machines.values().filter(|m| m.is_schedulable(now) && !m.retiring && m.reservation.is_none())
        {
            free.push((machine, self.free_resources(machine)));
        }
        // The fullest first, so that the others can be returned.
        free.sort_by(|a, b| a.1.cpus.total_cmp(&b.1.cpus));
        let mut best: Option<(f64, Vec<(TaskKey, Name)>)> = None;
        for machine in self.machines.values().filter(|m| m.retiring && !m.tasks.is_empty()) {
            let used = machine.used.cpus;
            let replicas = f64::from(machine.service_replicas());
            if replicas > self.renting.move_budget || best.as_ref().is_some_and(|(least, _)| used >= *least) {
                continue;
            }
            let Some(moved) = self.tasks_to_move(now, machine) else { continue };
            let count = moved.len();
            let mut room = free.clone();
            let mut targets: BTreeSet<&Name> = BTreeSet::new();
            let mut plan = Vec::new();
            for key in moved {
                let job = &self.jobs[&key.0];
                let need = Resources::of(&job.spec);
                let target = room.iter_mut().find(|(m, r)| {
                    let apart = job.spec.kind == Kind::Array || can_take_replica(m, machine, job, &targets);
                    r.can_fit(need) && apart && m.images.contains(&job.spec.image)
                });
                let Some((target, room)) = target else { break };
                room.sub(need);
                if job.spec.kind == Kind::Service {
                    targets.insert(&target.name);
                }
                plan.push((key, target.name.clone()));
            }
            if plan.len() == count {
                best = Some((used, plan));
            }
        }
        let Some((_, moved)) = best else { return };
        let place = &self.jobs[&moved[0].0.0].placements[&moved[0].0.1];
        tracing::info!(machine = &*place.machine, tasks = moved.len(), "moving its tasks, to return it");
        for ((job, task), target) in moved {
            let spec = self.jobs[&job].spec.clone();
            if spec.kind == Kind::Service {
                self.renting.move_budget -= 1.0;
                let until = now + CLAIM_DURATION;
                let claim =
                    Reservation { job: job.clone(), resources: Resources::of(&spec), until, by_preemption: true };
                self.machines.get_mut(&target).expect("a target").reservation = Some(claim);
            }
            self.stop_task(env, &job, task, spec.save_s);
        }
    }

    /// The tasks to move for a machine to become empty; `None` if it would not, or if
    /// nothing needs a move.
    fn tasks_to_move(&self, now: Instant, machine: &Machine) -> Option<Vec<TaskKey>> {
        let mut moved = Vec::new();
        for (name, task) in &machine.tasks {
            let job = &self.jobs[name];
            let place = &job.placements[task];
            let ran = now.duration_since(place.running_since?).as_secs_f64();
            let left = job.mean_run_s - ran;
            if place.stop.is_some() {
                continue;
            }
            // One that saves but ends soon is quicker left alone.
            let saves = job.spec.checkpoint_interval_s > 0.0 && left > MIN_RUN_BEFORE_MOVE_S;
            let moves = job.spec.kind == Kind::Service || saves;
            if moves && ran > MIN_RUN_BEFORE_MOVE_S {
                moved.push((name.clone(), *task));
            } else if job.spec.kind == Kind::Service || left > MIN_RUN_BEFORE_MOVE_S / 2.0 {
                return None;
            }
        }
        (!moved.is_empty()).then_some(moved)
    }

    /// Seconds until a machine's tasks are expected to have ended.
    fn seconds_until_empty(&self, now: Instant, machine: &Machine) -> f64 {
        if machine.hosts_service() {
            return SERVICE_EMPTY_TIME_S + machine.used.cpus;
        }
        let left = machine.tasks.iter().filter_map(|(name, task)| {
            let job = self.jobs.get(name)?;
            let ran = job.placements.get(task)?.running_since.map_or(0.0, |t| now.duration_since(t).as_secs_f64());
            Some((job.mean_run_s - ran).max(1.0))
        });
        left.fold(0.0, f64::max)
    }

    pub(super) fn release_idle(&mut self, env: &mut Env, now: Instant) {
        let mut lost = Vec::new();
        for machine in self.machines.values() {
            let boot = env.machine_type(&machine.kind).map_or(60.0, |k| k.boot_s.max(1.0));
            let age = now.duration_since(machine.known_since).as_secs_f64();
            if machine.releasing {
                if machine.release_sent.is_none() {
                    lost.push(machine.name.clone());
                }
            } else if !machine.up && !machine.kind.is_empty() && age > boot * LOST_AFTER_BOOT_TIMES {
                tracing::info!(machine = &*machine.name, age_s = age, "never came up; given up");
                lost.push(machine.name.clone());
            } else if machine.quarantined && machine.tasks.is_empty() {
                lost.push(machine.name.clone());
            }
        }
        let waiting: Vec<(&Job, Option<Vec<String>>)> = self
            .jobs
            .values()
            .filter(|job| self.has_startable_tasks(job))
            .map(|job| (job, self.allowed_zones(job)))
            .collect();
        let wanted = |machine: &Machine| {
            waiting.iter().any(|(job, zones)| {
                meets_constraints(&job.spec, machine)
                    && zones.as_ref().is_none_or(|zones| zones.contains(&machine.zone))
            })
        };
        let mut idle: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.up && m.counts_as_capacity() && m.tasks.is_empty() && !wanted(m))
            // A move is on its way there.
            .filter(|m| m.total.minus(self.free_resources(m)).is_zero())
            .filter(|m| m.retiring && now.duration_since(m.known_since) > MIN_CHARGED_TIME)
            .collect();
        // The dearest first.
        idle.sort_by_key(|m| m.spot);
        // Capacity takes a boot to come back, so a short lull is no reason to return any.
        let need = self.renting.recent_needs.iter().map(|(_, n)| *n).fold(0.0, f64::max);
        let mut have: f64 = self.machines.values().filter(|m| m.counts_as_capacity()).map(|m| m.total.cpus).sum();
        for machine in idle {
            if have - machine.total.cpus >= need {
                have -= machine.total.cpus;
                lost.push(machine.name.clone());
            }
        }
        for name in lost {
            let machine = self.machines.get_mut(&name).expect("listed");
            machine.releasing = true;
            self.renting.queue_release(name);
        }
    }

    pub(super) fn send_releases(&mut self, env: &mut Env, now: Instant) {
        let renting = &mut self.renting;
        if renting.release_in_flight
            || renting.to_release.is_empty()
            || renting.release_retry_at.is_some_and(|t| t > now)
        {
            return;
        }
        // One that was heard of again stays.
        renting.to_release.retain(|name| self.machines.get(name).is_none_or(|m| m.releasing));
        let count = renting.to_release.len().min(MAX_MACHINES_PER_RELEASE);
        let names: Vec<Name> = renting.to_release.drain(..count).collect();
        if names.is_empty() {
            return;
        }
        for name in &names {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.release_sent = Some(now);
            }
        }
        renting.release_in_flight = true;
        let list = names.iter().map(|n| n.to_string()).collect();
        env.call_cloud(Purpose::Rent(RentCall::Release(names)), CloudOp::Release(list));
    }
}

/// Whether a machine can take a replica that is moved: in the same zone, and apart from the service's others.
fn can_take_replica(target: &Machine, from: &Machine, job: &Job, taken: &BTreeSet<&Name>) -> bool {
    let key = |task| (job.id.clone(), task);
    target.zone == from.zone
        && meets_constraints(&job.spec, target)
        && !taken.contains(&target.name)
        && target.tasks.range(key(0)..=key(u32::MAX)).next().is_none()
}
