//! Surplus machines: chosen for retirement, drained and released to the cloud.

use std::collections::BTreeSet;
use std::time::Instant;

use rushyoke_wire::job::Kind;

use crate::calls::{Purpose, RentCall};
use crate::env::Env;
use crate::fleet::{Machine, Reservation};
use crate::io::*;
use crate::jobs::*;
use crate::place::{PREEMPTION_RESERVATION_DURATION, meets_constraints};
use crate::quota::Resources;
use crate::term::Term;

use super::{
    LOST_AFTER_BOOT_TIMES, MAX_MACHINES_PER_RELEASE, MAX_SAVED_MOVES, MIN_CHARGED_TIME, MIN_RUN_BEFORE_MOVE_S,
    REPLICA_MOVES_PER_S_SHARE, SERVICE_EMPTY_TIME_S,
};

impl Term {
    /// Chooses the machines to retire, such that the others have at least `needed_cpus`: the CPUs in use, those for
    /// waiting tasks and those kept free.
    pub(super) fn choose_retiring(&mut self, env: &mut Env, needed_cpus: f64) {
        let now = env.steady();
        let window = env.policy.idle_timeout;
        self.renting.recent_needs.push_back((now, needed_cpus));
        while self.renting.recent_needs.front().is_some_and(|(time, _)| now.duration_since(*time) > window) {
            self.renting.recent_needs.pop_front();
        }
        let mut kept_cpus: f64 = self.machines.values().filter(|m| m.counts_as_capacity()).map(|m| m.total.cpus).sum();
        let mut candidates: Vec<(bool, bool, f64, Name)> = self
            .machines
            .values()
            .filter(|m| m.up && m.counts_as_capacity())
            .map(|m| (m.hosts_service(), m.spot, self.seconds_until_empty(now, m), m.name.clone()))
            .collect();
        // Machines with replicas last, since replicas end only with their service. Then on-demand machines first, since
        // they cost more, and of equal ones those that will be empty soonest.
        candidates.sort_by(|(service, spot, empty_s, _), (other_service, other_spot, other_empty_s, _)| {
            service.cmp(other_service).then(spot.cmp(other_spot)).then(empty_s.total_cmp(other_empty_s))
        });
        // Tasks that may not use spot machines must fit on the on-demand machines that stay.
        let on_demand_jobs = self.jobs.values().filter(|job| !job.spec.spot);
        let on_demand_cpus_in_use: f64 = on_demand_jobs.map(|job| job.spec.cpus * job.placements.len() as f64).sum();
        let needed_on_demand_cpus = on_demand_cpus_in_use + self.renting.service_reserve(env);
        let on_demand_machines = self.machines.values().filter(|m| m.counts_as_capacity() && !m.spot);
        let mut kept_on_demand_cpus: f64 = on_demand_machines.map(|m| m.total.cpus).sum();
        let mut retiring = BTreeSet::new();
        for (_, spot, _, name) in candidates {
            let cpus = self.machines[&name].total.cpus;
            if kept_cpus - cpus < needed_cpus {
                break;
            }
            if !spot {
                if kept_on_demand_cpus - cpus < needed_on_demand_cpus {
                    continue;
                }
                kept_on_demand_cpus -= cpus;
            }
            kept_cpus -= cpus;
            retiring.insert(name);
        }
        for machine in self.machines.values_mut() {
            machine.retiring = retiring.contains(&machine.name) || machine.was_drained_for(|drain| drain.retiring);
        }
    }

    /// Whether the job has waiting tasks that its team's limit would let start.
    fn has_startable_tasks(&self, job: &Job) -> bool {
        let usage = self.quotas.usage(&job.spec.team);
        job.waiting_tasks() > 0 && usage.is_some_and(|usage| usage.headroom(Resources::of(&job.spec)) > 0)
    }

    /// Empties the retiring machine with the least load by moving its replicas and its tasks with checkpoints. Only one
    /// machine is emptied at a time, while no task waits, and only if the other machines have enough free resources.
    pub(super) fn drain_retiring(&mut self, env: &mut Env) {
        let now = env.steady();
        // Running tasks are not moved while a zone is unhealthy or returning.
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
        // The fullest machines first, so that the others can be released.
        free.sort_by(|(_, free), (_, other_free)| free.cpus.total_cmp(&other_free.cpus));
        let mut best: Option<(f64, Vec<(TaskKey, Name)>)> = None;
        for machine in self.machines.values().filter(|m| m.retiring && !m.tasks.is_empty()) {
            let used = machine.used.cpus;
            let replicas = f64::from(machine.service_replicas());
            if replicas > self.renting.move_budget || best.as_ref().is_some_and(|(best_used, _)| used >= *best_used) {
                continue;
            }
            let Some(tasks) = self.tasks_to_move(now, machine) else { continue };
            let count = tasks.len();
            let mut remaining_free = free.clone();
            let mut targets: BTreeSet<&Name> = BTreeSet::new();
            let mut plan = Vec::new();
            for key in tasks {
                let job = &self.jobs[&key.0];
                let need = Resources::of(&job.spec);
                let target = remaining_free.iter_mut().find(|(target, free)| {
                    let may_take = job.spec.kind == Kind::Array || can_take_replica(target, machine, job, &targets);
                    free.can_fit(need) && may_take && target.images.contains(&job.spec.image)
                });
                let Some((target, free)) = target else { break };
                free.sub(need);
                if job.spec.kind == Kind::Service {
                    targets.insert(&target.name);
                }
                plan.push((key, target.name.clone()));
            }
            if plan.len() == count {
                best = Some((used, plan));
            }
        }
        let Some((_, moves)) = best else { return };
        let placement = &self.jobs[&moves[0].0.0].placements[&moves[0].0.1];
        tracing::info!(
            machine = &*placement.machine,
            tasks = moves.len(),
            "moving the tasks of a machine to release it"
        );
        for ((job, task), target) in moves {
            let spec = self.jobs[&job].spec.clone();
            if spec.kind == Kind::Service {
                self.renting.move_budget -= 1.0;
                let until = now + PREEMPTION_RESERVATION_DURATION;
                let reservation =
                    Reservation { job: job.clone(), resources: Resources::of(&spec), until, by_preemption: true };
                self.machines.get_mut(&target).expect("a target").reservation = Some(reservation);
            }
            self.stop_task(env, &job, task, spec.save_s);
        }
    }

    /// Returns the tasks to move so that the machine is soon empty; `None` if moves cannot achieve that or are not
    /// needed.
    fn tasks_to_move(&self, now: Instant, machine: &Machine) -> Option<Vec<TaskKey>> {
        let mut tasks = Vec::new();
        for (name, task) in &machine.tasks {
            let job = &self.jobs[name];
            let placement = &job.placements[task];
            let ran_s = now.duration_since(placement.running_since?).as_secs_f64();
            let remaining_s = job.mean_run_s - ran_s;
            if placement.stop.is_some() {
                continue;
            }
            // A task with checkpoints that ends soon is left to end: that takes less time.
            let worth_moving = job.spec.checkpoint_interval_s > 0.0 && remaining_s > MIN_RUN_BEFORE_MOVE_S;
            let movable = job.spec.kind == Kind::Service || worth_moving;
            if movable && ran_s > MIN_RUN_BEFORE_MOVE_S {
                tasks.push((name.clone(), *task));
            } else if job.spec.kind == Kind::Service || remaining_s > MIN_RUN_BEFORE_MOVE_S / 2.0 {
                return None;
            }
        }
        (!tasks.is_empty()).then_some(tasks)
    }

    /// Returns the expected time until a machine's tasks have ended, in seconds.
    fn seconds_until_empty(&self, now: Instant, machine: &Machine) -> f64 {
        if machine.hosts_service() {
            return SERVICE_EMPTY_TIME_S + machine.used.cpus;
        }
        let remaining_s = machine.tasks.iter().filter_map(|(name, task)| {
            let job = self.jobs.get(name)?;
            let ran_s =
                job.placements.get(task)?.running_since.map_or(0.0, |start| now.duration_since(start).as_secs_f64());
            Some((job.mean_run_s - ran_s).max(1.0))
        });
        remaining_s.fold(0.0, f64::max)
    }

    /// Queues the release of retiring machines that are idle, of machines that failed or never came up, and of
    /// quarantined ones without tasks.
    pub(super) fn release_idle(&mut self, env: &mut Env, now: Instant) {
        let mut to_release = Vec::new();
        for machine in self.machines.values() {
            let boot_s = env.machine_type(&machine.type_name).map_or(60.0, |machine_type| machine_type.boot_s.max(1.0));
            let age_s = now.duration_since(machine.known_since).as_secs_f64();
            if machine.releasing {
                if machine.release_sent.is_none() {
                    to_release.push(machine.name.clone());
                }
            } else if !machine.up && !machine.type_name.is_empty() && age_s > boot_s * LOST_AFTER_BOOT_TIMES {
                tracing::info!(machine = &*machine.name, age_s, "the machine never came up; releasing it");
                to_release.push(machine.name.clone());
            } else if machine.quarantined && machine.tasks.is_empty() {
                to_release.push(machine.name.clone());
            }
        }
        let startable_jobs: Vec<(&Job, Option<Vec<String>>)> = self
            .jobs
            .values()
            .filter(|job| self.has_startable_tasks(job))
            .map(|job| (job, self.allowed_zones(job)))
            .collect();
        let is_usable = |machine: &Machine| {
            startable_jobs.iter().any(|(job, zones)| {
                meets_constraints(&job.spec, machine)
                    && zones.as_ref().is_none_or(|zones| zones.contains(&machine.zone))
            })
        };
        let mut idle: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.up && m.counts_as_capacity() && m.tasks.is_empty() && !is_usable(m))
            // Excludes machines reserved for a task that moves there.
            .filter(|m| m.total.minus(self.free_resources(m)).is_zero())
            .filter(|m| m.retiring && now.duration_since(m.known_since) > MIN_CHARGED_TIME)
            .collect();
        // On-demand machines first, since they cost more.
        idle.sort_by_key(|m| m.spot);
        // The highest need within the idle timeout counts: after a short lull, new machines would have to boot.
        let needed_cpus = self.renting.recent_needs.iter().map(|(_, cpus)| *cpus).fold(0.0, f64::max);
        let mut kept_cpus: f64 = self.machines.values().filter(|m| m.counts_as_capacity()).map(|m| m.total.cpus).sum();
        for machine in idle {
            if kept_cpus - machine.total.cpus >= needed_cpus {
                kept_cpus -= machine.total.cpus;
                to_release.push(machine.name.clone());
            }
        }
        for name in to_release {
            let machine = self.machines.get_mut(&name).expect("the machine was just listed");
            machine.releasing = true;
            self.renting.queue_release(name);
        }
    }

    /// Sends the next release request unless one is in flight or the retry delay has not passed.
    pub(super) fn send_releases(&mut self, env: &mut Env, now: Instant) {
        let renting = &mut self.renting;
        if renting.release_in_flight
            || renting.to_release.is_empty()
            || renting.release_retry_at.is_some_and(|retry_at| retry_at > now)
        {
            return;
        }
        // A machine whose worker has reported again is kept.
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
        let machines = names.iter().map(|name| name.to_string()).collect();
        env.call_cloud(Purpose::Rent(RentCall::Release(names)), CloudOp::Release(machines));
    }
}

/// Whether a machine can take a replica moved from another one: it is in the same zone, meets the job's constraints,
/// and neither has a replica of the service nor is among the targets of other replicas.
fn can_take_replica(target: &Machine, source: &Machine, job: &Job, other_targets: &BTreeSet<&Name>) -> bool {
    let key = |task| (job.id.clone(), task);
    target.zone == source.zone
        && meets_constraints(&job.spec, target)
        && !other_targets.contains(&target.name)
        && target.tasks.range(key(0)..=key(u32::MAX)).next().is_none()
}
