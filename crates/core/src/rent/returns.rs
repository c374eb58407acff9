//! Machines that are more than enough: chosen, emptied and returned.

use std::collections::BTreeSet;
use std::time::Instant;

use rushyoke_wire::job::Kind;

use crate::calls::{Purpose, RentCall};
use crate::env::Env;
use crate::fleet::{Claim, Machine};
use crate::io::*;
use crate::jobs::*;
use crate::place::{CLAIM_FOR, allowed};
use crate::quota::Resources;
use crate::term::Term;

use super::{LOST_BOOT, MIN_CHARGE, MOST_RETURNED, MOVE_AFTER_S, MOVED_SHARE, MOVES_SAVED, WITH_REPLICAS_S};

impl Term {
    /// Chooses machines that can be returned soon: with all others, what is in use, what
    /// waits and what is kept free would fit. `need` counts CPUs.
    pub(super) fn retire(&mut self, env: &mut Env, need: f64) {
        let now = env.steady();
        let window = env.policy.idle;
        self.renting.needs.push_back((now, need));
        while self.renting.needs.front().is_some_and(|(t, _)| now.duration_since(*t) > window) {
            self.renting.needs.pop_front();
        }
        let mut have: f64 = self.machines.values().filter(|m| m.counts()).map(|m| m.total.cpus).sum();
        let mut candidates: Vec<(bool, bool, f64, Name)> = self
            .machines
            .values()
            .filter(|m| m.up && m.counts())
            .map(|m| (m.hosts_service(), m.spot, self.empty_in(now, m), m.name.clone()))
            .collect();
        // Those with replicas last, since these end with their service only; then the dearest
        // first, and of those the ones that are empty the soonest.
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.total_cmp(&b.2)));
        // What may not use spot machines must find room on the ordinary ones that stay.
        let firm_jobs = self.jobs.values().filter(|job| !job.spec.spot);
        let firm_use: f64 = firm_jobs.map(|job| job.spec.cpus * job.places.len() as f64).sum();
        let firm_need = firm_use + self.renting.service_reserve(env);
        let firm = self.machines.values().filter(|m| m.counts() && !m.spot);
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
            machine.retiring = retiring.contains(&machine.name) || machine.was_drained(|drain| drain.retiring);
        }
    }

    /// Whether tasks of the job wait that its team's limit would let run.
    fn could_start(&self, job: &Job) -> bool {
        let usage = self.quotas.usage(&job.spec.team);
        job.waiting() > 0 && usage.is_some_and(|u| u.headroom(Resources::of(&job.spec)) > 0)
    }

    /// Moves the tasks of a retiring machine that save their progress, and replicas, where that
    /// empties it: one machine at a time, while nothing waits and the others have the room.
    pub(super) fn empty_retiring(&mut self, env: &mut Env) {
        let now = env.steady();
        // What runs well is not moved because a zone is back.
        if self.zones_unhealthy() || self.jobs.values().any(|job| self.could_start(job)) {
            return;
        }
        let replicas: u32 = self.machines.values().map(Machine::replicas).sum();
        let renting = &mut self.renting;
        renting.moves = (renting.moves + f64::from(replicas) * MOVED_SHARE).min(MOVES_SAVED);
        let mut free: Vec<(&Machine, Resources)> = Vec::new();
        for machine in self.machines.values().filter(|m| m.usable(now) && !m.retiring && m.claim.is_none()) {
            free.push((machine, self.free_room(machine)));
        }
        // The fullest first, so that the others can be returned.
        free.sort_by(|a, b| a.1.cpus.total_cmp(&b.1.cpus));
        let mut best: Option<(f64, Vec<(TaskKey, Name)>)> = None;
        for machine in self.machines.values().filter(|m| m.retiring && !m.places.is_empty()) {
            let used = machine.used.cpus;
            let replicas = f64::from(machine.replicas());
            if replicas > self.renting.moves || best.as_ref().is_some_and(|(least, _)| used >= *least) {
                continue;
            }
            let Some(moved) = self.movable(now, machine) else { continue };
            let count = moved.len();
            let mut room = free.clone();
            let mut targets: BTreeSet<&Name> = BTreeSet::new();
            let mut plan = Vec::new();
            for key in moved {
                let job = &self.jobs[&key.0];
                let need = Resources::of(&job.spec);
                let target = room.iter_mut().find(|(m, r)| {
                    let apart = job.spec.kind == Kind::Array || takes_replica(m, machine, job, &targets);
                    r.can_fit(need) && apart && m.images.holds(&job.spec.image)
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
        let place = &self.jobs[&moved[0].0.0].places[&moved[0].0.1];
        tracing::info!(machine = &*place.machine, tasks = moved.len(), "moving its tasks, to return it");
        for ((job, task), target) in moved {
            let spec = self.jobs[&job].spec.clone();
            if spec.kind == Kind::Service {
                self.renting.moves -= 1.0;
                let until = now + CLAIM_FOR;
                let claim = Claim { job: job.clone(), room: Resources::of(&spec), until, made: true };
                self.machines.get_mut(&target).expect("a target").claim = Some(claim);
            }
            self.stop_task(env, &job, task, spec.save_s);
        }
    }

    /// The tasks to move for a machine to become empty; `None` if it would not, or if
    /// nothing needs a move.
    fn movable(&self, now: Instant, machine: &Machine) -> Option<Vec<TaskKey>> {
        let mut moved = Vec::new();
        for (name, task) in &machine.places {
            let job = &self.jobs[name];
            let place = &job.places[task];
            let ran = now.duration_since(place.running?).as_secs_f64();
            let left = job.mean_run_s - ran;
            if place.stop.is_some() {
                continue;
            }
            // One that saves but ends soon is quicker left alone.
            let saves = job.spec.checkpoint_s > 0.0 && left > MOVE_AFTER_S;
            let moves = job.spec.kind == Kind::Service || saves;
            if moves && ran > MOVE_AFTER_S {
                moved.push((name.clone(), *task));
            } else if job.spec.kind == Kind::Service || left > MOVE_AFTER_S / 2.0 {
                return None;
            }
        }
        (!moved.is_empty()).then_some(moved)
    }

    /// Seconds until a machine's tasks are expected to have ended.
    fn empty_in(&self, now: Instant, machine: &Machine) -> f64 {
        if machine.hosts_service() {
            return WITH_REPLICAS_S + machine.used.cpus;
        }
        let left = machine.places.iter().filter_map(|(name, task)| {
            let job = self.jobs.get(name)?;
            let ran = job.places.get(task)?.running.map_or(0.0, |t| now.duration_since(t).as_secs_f64());
            Some((job.mean_run_s - ran).max(1.0))
        });
        left.fold(0.0, f64::max)
    }

    pub(super) fn return_idle(&mut self, env: &mut Env, now: Instant) {
        let mut lost = Vec::new();
        for machine in self.machines.values() {
            let boot = env.type_named(&machine.kind).map_or(60.0, |k| k.boot_s.max(1.0));
            let age = now.duration_since(machine.known).as_secs_f64();
            if machine.leaving {
                if machine.release_sent.is_none() {
                    lost.push(machine.name.clone());
                }
            } else if !machine.up && !machine.kind.is_empty() && age > boot * LOST_BOOT {
                tracing::info!(machine = &*machine.name, age_s = age, "never came up; given up");
                lost.push(machine.name.clone());
            } else if machine.quarantined && machine.places.is_empty() {
                lost.push(machine.name.clone());
            }
        }
        let waiting: Vec<(&Job, Option<Vec<String>>)> =
            self.jobs.values().filter(|job| self.could_start(job)).map(|job| (job, self.bound_to(job))).collect();
        let wanted = |machine: &Machine| {
            waiting.iter().any(|(job, zones)| {
                allowed(&job.spec, machine) && zones.as_ref().is_none_or(|zones| zones.contains(&machine.zone))
            })
        };
        let mut idle: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.up && m.counts() && m.places.is_empty() && !wanted(m))
            // A move is on its way there.
            .filter(|m| m.total.minus(self.free_room(m)).is_zero())
            .filter(|m| m.retiring && now.duration_since(m.known) > MIN_CHARGE)
            .collect();
        // The dearest first.
        idle.sort_by_key(|m| m.spot);
        // Capacity takes a boot to come back, so a short lull is no reason to return any.
        let need = self.renting.needs.iter().map(|(_, n)| *n).fold(0.0, f64::max);
        let mut have: f64 = self.machines.values().filter(|m| m.counts()).map(|m| m.total.cpus).sum();
        for machine in idle {
            if have - machine.total.cpus >= need {
                have -= machine.total.cpus;
                lost.push(machine.name.clone());
            }
        }
        for name in lost {
            let machine = self.machines.get_mut(&name).expect("listed");
            machine.leaving = true;
            self.renting.release_later(name);
        }
    }

    pub(super) fn send_returns(&mut self, env: &mut Env, now: Instant) {
        let renting = &mut self.renting;
        if renting.return_open || renting.returning.is_empty() || renting.return_retry.is_some_and(|t| t > now) {
            return;
        }
        // One that was heard of again stays.
        renting.returning.retain(|name| self.machines.get(name).is_none_or(|m| m.leaving));
        let count = renting.returning.len().min(MOST_RETURNED);
        let names: Vec<Name> = renting.returning.drain(..count).collect();
        if names.is_empty() {
            return;
        }
        for name in &names {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.release_sent = Some(now);
            }
        }
        renting.return_open = true;
        let list = names.iter().map(|n| n.to_string()).collect();
        env.cloud(Purpose::Rent(RentCall::Release(names)), CloudOp::Release(list));
    }
}

/// Whether a machine can take a replica that is moved: in the same zone, and apart from the service's others.
fn takes_replica(target: &Machine, from: &Machine, job: &Job, taken: &BTreeSet<&Name>) -> bool {
    let key = |task| (job.id.clone(), task);
    target.zone == from.zone
        && allowed(&job.spec, target)
        && !taken.contains(&target.name)
        && target.places.range(key(0)..=key(u32::MAX)).next().is_none()
}
