//! Where waiting tasks go: the choice of a machine. The order of jobs is in `pass`.

mod pass;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rushyoke_wire::job::{JobSpec, Kind, Priority};

use crate::env::Env;
use crate::fleet::Machine;
use crate::jobs::*;
use crate::quota::Resources;
use crate::term::Term;

/// What a machine that is empty counts for beside one that is full, in seconds: work is packed.
const PACKING_S: f64 = 2.0;
/// Share of a machine by which use must differ for its cost to differ, when work is spread.
const ONE_MORE: f64 = 0.05;
/// Machines weighed for a service's replica, in samples of a placement.
const SERVICE_SAMPLES: usize = 8;

/// How the tasks of a job are laid out over machines.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// What is weighed changes with every task.
    OneByOne,
    /// The machines are filled in their order.
    Filling,
    /// A task each on all machines that cost no more than the best does with one task more.
    Level { within_s: f64 },
}

/// Tasks of a job to be placed on machines that were ranked for it.
struct Round<'a> {
    job: &'a Name,
    most: u32,
    borrows: bool,
    way: Way,
}

/// Whether a job's tasks may run on a machine like this.
pub(crate) fn meets_constraints(spec: &JobSpec, machine: &Machine) -> bool {
    (!machine.spot || spec.spot)
        && spec.types.as_ref().is_none_or(|types| types.contains(&machine.kind))
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
}

impl Term {
    /// Places up to `most` tasks of a job; returns how many. `borrows` if it is beyond its team's guarantee.
    fn place_job(&mut self, env: &mut Env, name: &Name, most: u32, borrows: bool) -> u32 {
        let mut placed = 0;
        while placed < most {
            let job = &self.jobs[name];
            let way = self.way_of(job);
            let ranked = self.rank(env, job, Resources::of(&job.spec));
            let mut reserve = self.reserve_left(env, job);
            let round = Round { job: name, most: most - placed, borrows, way };
            let count = self.place_round(env.steady(), &round, ranked, &mut reserve);
            placed += count;
            // A sample of the machines is filled: while a zone is evacuated no later tier goes before the rest.
            if count == 0 || way == Way::Filling && !self.is_evacuating() {
                break;
            }
        }
        placed
    }

    fn way_of(&self, job: &Job) -> Way {
        if job.spec.kind == Kind::Service || job.spec.spread || job.spec.one_zone {
            return Way::OneByOne;
        }
        match &self.balancer {
            Some(balancer) => Way::Level { within_s: balancer.cost_model().contention_s(job.mean_run_s, ONE_MORE) },
            None => Way::Filling,
        }
    }

    /// Places tasks on machines in the order of their cost; returns how many.
    fn place_round(&mut self, now: Instant, round: &Round, ranked: Vec<(f64, Name)>, reserve: &mut f64) -> u32 {
        let least = ranked.first().map_or(0.0, |(cost, _)| *cost);
        let mut placed = 0;
        for (cost, machine) in ranked {
            let each = match round.way {
                Way::Filling => u32::MAX,
                Way::OneByOne if placed > 0 => return placed,
                Way::Level { within_s } if cost > least + within_s => return placed,
                Way::OneByOne | Way::Level { .. } => 1,
            };
            let mut here = 0;
            while here < each && placed < round.most && self.starts_there(now, round, &machine, reserve) {
                here += 1;
                placed += 1;
            }
        }
        placed
    }

    /// CPUs on ordinary machines that a job may take without touching what is kept for
    /// services.
    fn reserve_left(&self, env: &Env, job: &Job) -> f64 {
        if job.spec.priority == Priority::Production {
            return f64::INFINITY;
        }
        self.free_on_demand_cpus(env.steady()) - self.renting.service_reserve(env)
    }

    /// CPUs that are free on ordinary machines.
    pub fn free_on_demand_cpus(&self, now: Instant) -> f64 {
        let ordinary = self.machines.values().filter(|m| !m.spot && m.is_schedulable(now));
        ordinary.map(|m| m.total.cpus - m.used.cpus).sum()
    }

    /// Plans one more task of the job on the machine, if limit and room allow.
    fn starts_there(&mut self, now: Instant, round: &Round, machine: &Name, reserve: &mut f64) -> bool {
        let name = round.job;
        let job = &self.jobs[name];
        let need = Resources::of(&job.spec);
        let Some(task) = job.next_ready_task(now) else { return false };
        let target = &self.machines[machine];
        let reserved = !target.spot && *reserve < need.cpus;
        let admitted = self.zone_admits(target, need);
        if reserved
            || !admitted
            || self.is_at_team_limit(&job.spec.team, need)
            || !self.available_resources(target, name).can_fit(need)
        {
            return false;
        }
        let ordinary = !target.spot;
        if round.borrows && !self.is_evacuating() && !self.may_borrow(now, name) {
            return false;
        }
        if ordinary {
            *reserve -= need.cpus;
        }
        self.place_task(name, task, machine, now);
        true
    }

    /// Gives a waiting task a place; it is ordered once that is durable.
    pub fn place_task(&mut self, name: &Name, task: u32, machine: &Name, now: Instant) {
        let attempt = self.next_attempt();
        let job = self.jobs.get_mut(name).expect("chosen");
        job.dequeue(task);
        job.last_placed = Some(now);
        job.starvation_credit = job.starvation_credit.saturating_sub(1);
        let place = Placement {
            machine: machine.clone(),
            attempt,
            stage: Stage::Planned,
            placed_at: now,
            running_since: None,
            stop: None,
            start_sent: false,
        };
        job.placements.insert(task, place);
        self.quotas.add(&job.spec);
        let target = self.machines.get_mut(machine).expect("chosen");
        target.add_task((name.clone(), task), &job.spec);
        if let Some(claim) = &mut target.reservation
            && claim.job == *name
        {
            claim.resources.sub(Resources::of(&job.spec));
            if claim.resources.is_zero() {
                target.reservation = None;
            }
        }
        tracing::debug!(job = &**name, task, machine = &**machine, attempt, "placed");
        self.note_placement_started(now, &(name.clone(), task), machine);
        self.note_placed_in_zone(now, &(name.clone(), task), machine);
        let turn = crate::records::state::WritePriority::of(&self.jobs[name].spec);
        self.records.mark_changed((name.clone(), task), Some(turn));
    }

    /// Zones where one more task of the job may go; `None` for all.
    pub fn eligible_zones(&self, job: &Job) -> Option<BTreeSet<String>> {
        if !job.spec.one_zone && !job.spec.spread {
            return None;
        }
        let mut counts: BTreeMap<String, u32> = self.zones.iter().map(|zone| (zone.clone(), 0)).collect();
        let mut unknown = 0;
        for place in job.placements.values() {
            match self.machines.get(&place.machine).and_then(|m| counts.get_mut(&m.zone)) {
                Some(count) => *count += 1,
                // A machine known from a record only may be in any zone.
                _ => unknown += 1,
            }
        }
        if job.spec.one_zone {
            if unknown > 0 {
                return Some(BTreeSet::new());
            }
            let used: BTreeSet<String> = counts.iter().filter(|(_, n)| **n > 0).map(|(z, _)| z.clone()).collect();
            if !used.is_empty() {
                return Some(used);
            }
            let need = Resources::of(&job.spec);
            // A zone that takes no work is chosen only if there is no other.
            let room = |zone: &String| -> (bool, u32) {
                let there = self.machines.values().filter(|m| m.zone == *zone && meets_constraints(&job.spec, m));
                let room = there.map(|m| m.total.minus(m.used).fit_count(need)).sum();
                (!self.zone_is_closed(zone), room)
            };
            return counts.into_keys().max_by_key(|zone| room(zone)).map(|zone| BTreeSet::from([zone]));
        }
        let most = job.spec.tasks.div_ceil(2);
        Some(counts.into_iter().filter(|(_, n)| n + unknown < most).map(|(zone, _)| zone).collect())
    }

    /// The machines that could take one more task of a job, the best first.
    fn rank(&self, env: &mut Env, job: &Job, need: Resources) -> Vec<(f64, Name)> {
        let now = env.steady();
        let zones = self.eligible_zones(job);
        let mut fitting: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.is_schedulable(now) && meets_constraints(&job.spec, m))
            .filter(|m| zones.as_ref().is_none_or(|zones| zones.contains(&m.zone)))
            .filter(|m| self.available_resources(m, &job.id).can_fit(need) && self.zone_admits(m, need))
            .filter(|m| !job.avoids(&m.name))
            .collect();
        // With more machines than can be weighed for every task, a sample does; a larger one
        // for services, which are few and wait for nothing but their image.
        let sample = env.policy.placement_sample * if job.spec.kind == Kind::Service { SERVICE_SAMPLES } else { 1 };
        if fitting.len() > sample {
            fitting = fitting.into_iter().sample(&mut env.rng, sample);
        }
        let mut ranked: Vec<(f64, &Machine)> = fitting.into_iter().map(|m| (self.cost(env, job, m), m)).collect();
        ranked.sort_by(|(a, m), (b, n)| a.total_cmp(b).then_with(|| m.name.cmp(&n.name)));
        ranked.into_iter().map(|(cost, m)| (cost, m.name.clone())).collect()
    }

    /// What speaks against a machine for a task of the job, in seconds.
    fn cost(&self, env: &Env, job: &Job, machine: &Machine) -> f64 {
        let crowding = self.crowding(job, machine);
        // Services stand together on few machines, so that the others can be returned,
        // but replicas of one service apart, so that one machine's end costs one.
        let (hosting, mates) = if job.spec.kind == Kind::Service {
            let key = |task| (job.id.clone(), task);
            let mates = machine.tasks.range(key(0)..=key(u32::MAX)).count();
            (if machine.hosts_service() { 0.0 } else { 4.0 }, mates as f64 * 1.5)
        } else {
            (0.0, 0.0)
        };
        let retiring = if machine.retiring { 40.0 } else { 0.0 };
        let kind = if job.spec.spot && !machine.spot { 3.0 } else { 0.0 };
        let doubt = if job.failed_on.contains(&machine.name) { 60.0 } else { 0.0 };
        let slow = if machine.straggler { 30.0 } else { 0.0 };
        let probation = self.probation_penalty_s(env.steady(), job, machine);
        self.image_fetch_s(env, job, machine) + crowding + hosting + mates + retiring + kind + doubt + slow + probation
    }

    /// What the use of a machine counts for, in seconds. With load spreading a run takes longer among
    /// others; else the fuller machine goes first, so that others can be returned.
    fn crowding(&self, job: &Job, machine: &Machine) -> f64 {
        let free = (machine.total.cpus - machine.used.cpus) / machine.total.cpus.max(1.0);
        match &self.balancer {
            Some(balancer) if job.spec.kind == Kind::Array => {
                let share = Resources::of(&job.spec).dominant_share(machine.total);
                let used = balancer.load().utilization(&machine.name).unwrap_or(1.0 - free);
                balancer.cost_model().contention_s(job.mean_run_s, used + share)
            }
            _ => PACKING_S * free,
        }
    }

    /// How long the job's image takes to be on the machine. Images that are fetched at
    /// the same time may share the rate.
    pub fn image_fetch_s(&self, env: &Env, job: &Job, machine: &Machine) -> f64 {
        if machine.images.contains(&job.spec.image) {
            return 0.0;
        }
        let rate = env.machine_type(&machine.kind).map_or(1.0, |k| k.fetch_gb_per_s.max(0.01));
        let alone = job.spec.image_gb / rate;
        let mut fetched: BTreeSet<&str> = BTreeSet::new();
        for (name, task) in &machine.tasks {
            let Some(owner) = self.jobs.get(name) else { continue };
            let waits = owner.placements.get(task).is_some_and(|place| place.running_since.is_none());
            if waits && !machine.images.contains(&owner.spec.image) {
                fetched.insert(&owner.spec.image);
            }
        }
        if fetched.contains(job.spec.image.as_str()) { alone * 0.6 } else { alone * (1.0 + fetched.len() as f64) }
    }

    /// Room on a machine that nothing takes, and that no open move has booked.
    pub fn free_resources(&self, machine: &Machine) -> Resources {
        let free = machine.total.minus(machine.used);
        match &self.balancer {
            Some(balancer) => free.minus(balancer.load().booked(&machine.name)),
            None => free,
        }
    }

    /// Free room on a machine for this job: room made for another is left alone.
    pub fn available_resources(&self, machine: &Machine, job: &Name) -> Resources {
        let mut room = self.free_resources(machine);
        if let Some(claim) = &machine.reservation
            && claim.job != *job
            && !self.precedes_in_evacuation(job, &claim.job)
        {
            room.sub(claim.resources);
        }
        room
    }
}

/// How long room that was made by stopping others is kept for the job.
pub(crate) const CLAIM_DURATION: Duration = Duration::from_secs(12);
