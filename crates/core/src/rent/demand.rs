//! What waits, what runs and what must be kept free, against the machines that are there or come.

use std::collections::{BTreeMap, BTreeSet};

use crate::env::Env;
use crate::jobs::Job;
use crate::quota::Resources;
use crate::term::Term;

use super::{LATE_AFTER_BOOT_TIMES, MIN_RENTALS_PER_S, RENTAL_CALL_SHARE};

/// What a type of machine takes to boot if the cloud does not say.
const DEFAULT_BOOT_S: f64 = 60.0;

/// Zones that a job is bound to, and whether it may use spot machines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneConstraint {
    zones: Vec<String>,
    spot: bool,
}

/// Room that work needs.
#[derive(Default)]
struct Demand {
    /// Of work that may use spot machines.
    spot: Resources,
    /// Of work that may not.
    ordinary: Resources,
    /// Of work that is bound to zones.
    zone_bound: BTreeMap<ZoneConstraint, Resources>,
}

impl Demand {
    fn add(&mut self, spot: bool, need: Resources) {
        let room = if spot { &mut self.spot } else { &mut self.ordinary };
        room.add(need);
    }
}

/// Room that is free, or will be.
#[derive(Default)]
struct Supply {
    spot: Resources,
    ordinary: Resources,
    /// By zone, and whether on spot machines.
    zones: BTreeMap<(String, bool), Resources>,
    /// CPUs that are in use.
    in_use: f64,
}

impl Supply {
    fn add(&mut self, zone: &str, spot: bool, free: Resources) {
        let room = if spot { &mut self.spot } else { &mut self.ordinary };
        room.add(free);
        self.zones.entry((zone.to_owned(), spot)).or_default().add(free);
    }

    /// What is free for work that is bound to zones.
    fn within(&self, constraint: &ZoneConstraint) -> Resources {
        let mut free = Resources::default();
        for ((zone, spot), room) in &self.zones {
            if constraint.zones.contains(zone) && (constraint.spot || !spot) {
                free.add(*room);
            }
        }
        free
    }
}

impl Term {
    /// Tasks of a job that wait and that its team's limit would let run.
    fn startable_tasks(&self, job: &Job, quota_left: &mut BTreeMap<String, f64>) -> f64 {
        let waiting = job.waiting_tasks();
        if waiting == 0 {
            return 0.0;
        }
        let left = quota_left
            .entry(job.spec.team.clone())
            .or_insert_with(|| self.quotas.usage(&job.spec.team).map_or(0.0, |u| u.team.cpus_max - u.cpus));
        let cpus = job.spec.cpus;
        let fit = if cpus > 0.0 { (*left / cpus).max(0.0) as u32 } else { waiting };
        let tasks = f64::from(waiting.min(fit));
        *left -= tasks * cpus;
        tasks
    }

    /// Demand that has no room yet, and what must be kept free, by kind of machine.
    pub(super) fn rent_shortfall(&mut self, env: &mut Env) {
        self.renting.rentals_left = (env.facts.cloud_rps * RENTAL_CALL_SHARE).max(MIN_RENTALS_PER_S) as usize;
        self.rent_by_tiers(env);
        let mut demand = self.demand(|_| true);
        let supply = self.supply(env);
        self.rent_zone_bound(env, &mut demand, &supply);
        let policy = env.policy.clone();
        let largest = env.machine_types.iter().map(|t| t.cpus).fold(0.0, f64::max);
        let headroom = (supply.in_use * policy.headroom_share).max(policy.headroom_machines * largest);
        demand.ordinary.cpus += self.renting.service_reserve(env);
        if !self.jobs.is_empty() {
            demand.spot.cpus += headroom;
        }
        // What ordinary machines have left over serves spot work too.
        let left_over = (supply.ordinary.cpus - demand.ordinary.cpus).max(0.0);
        self.choose_retiring(env, supply.in_use + demand.spot.cpus + demand.ordinary.cpus);
        demand.spot.cpus = (demand.spot.cpus - left_over).max(0.0);
        self.rent_resources(env, shortfall(demand.ordinary, supply.ordinary), false, None);
        self.rent_resources(env, shortfall(demand.spot, supply.spot), true, None);
    }

    /// While a zone is evacuated, what each tier and those before it lack is asked for before anything of
    /// a later one: the cloud's calls and machines may not do for all.
    fn rent_by_tiers(&mut self, env: &mut Env) {
        if !self.is_evacuating() {
            return;
        }
        let tiers: BTreeSet<usize> = self.jobs.values().map(|job| self.tier_of(job)).collect();
        let last = tiers.last().copied();
        for tier in tiers.into_iter().filter(|tier| Some(*tier) != last) {
            let mut demand = self.demand(|earlier| earlier <= tier);
            let supply = self.supply(env);
            self.rent_zone_bound(env, &mut demand, &supply);
            let left_over = (supply.ordinary.cpus - demand.ordinary.cpus).max(0.0);
            demand.spot.cpus = (demand.spot.cpus - left_over).max(0.0);
            self.rent_resources(env, shortfall(demand.ordinary, supply.ordinary), false, None);
            self.rent_resources(env, shortfall(demand.spot, supply.spot), true, None);
        }
    }

    /// Rents for work that is bound to zones, and leaves in the demand what has room there: it takes its
    /// part of what is free, wherever that is.
    fn rent_zone_bound(&mut self, env: &mut Env, demand: &mut Demand, supply: &Supply) {
        for (constraint, need) in std::mem::take(&mut demand.zone_bound) {
            let gap = shortfall(need, supply.within(&constraint));
            if !gap.is_zero() {
                self.rent_resources(env, gap, constraint.spot, Some(&constraint.zones));
            }
            demand.add(constraint.spot, need.minus(gap));
        }
    }

    /// Room for what waits and may start, and for what will have to start elsewhere, of the tiers that
    /// are wanted. Earlier tiers use up their teams' limits first.
    fn demand(&self, wanted: impl Fn(usize) -> bool) -> Demand {
        let mut demand = Demand::default();
        let mut quota_left = BTreeMap::new();
        let evacuates = self.is_evacuating();
        let tier = |job: &Job| if evacuates { self.tier_of(job) } else { 0 };
        let mut jobs: Vec<(usize, &Job)> = self.jobs.values().map(|job| (tier(job), job)).collect();
        if evacuates {
            jobs.sort_by_key(|(tier, _)| *tier);
        }
        for (_, job) in jobs.into_iter().filter(|(tier, _)| wanted(*tier)) {
            let tasks = self.startable_tasks(job, &mut quota_left);
            if tasks == 0.0 {
                continue;
            }
            let need = Resources::of(&job.spec).scaled(tasks);
            match self.allowed_zones(job) {
                Some(zones) => {
                    demand.zone_bound.entry(ZoneConstraint { zones, spot: job.spec.spot }).or_default().add(need)
                }
                None => demand.add(job.spec.spot, need),
            }
        }
        // What runs on machines that are cut off will want room elsewhere when their leases end.
        for machine in self.machines.values().filter(|m| self.will_lose_tasks(m)) {
            for (name, _) in &machine.tasks {
                let job = &self.jobs[name];
                // What is bound to its zone waits for it.
                let elsewhere = job.spec.zone.as_ref() != Some(&machine.zone);
                if elsewhere && wanted(tier(job)) {
                    demand.add(job.spec.spot, Resources::of(&job.spec));
                }
            }
        }
        demand
    }

    /// Room that is free on machines that are there, boot or were asked for.
    fn supply(&self, env: &Env) -> Supply {
        let now = env.steady();
        let mut supply = Supply::default();
        for machine in self.machines.values().filter(|m| m.counts_as_capacity()) {
            let boot = env.machine_type(&machine.kind).map_or(DEFAULT_BOOT_S, |k| k.boot_s);
            let late =
                !machine.up && now.duration_since(machine.known_since).as_secs_f64() > boot * LATE_AFTER_BOOT_TIMES;
            // One that is known from a record only has room, but how much?
            if late || machine.kind.is_empty() {
                continue;
            }
            supply.in_use += machine.used.cpus;
            supply.add(&machine.zone, machine.spot, machine.total.minus(machine.used));
        }
        for (rental, _) in &self.renting.open_rentals {
            if let Some(kind) = env.machine_type(&rental.kind) {
                let room = Resources { cpus: kind.cpus, gpus: kind.gpus, memory_gb: kind.memory_gb };
                supply.add(&rental.zone, rental.spot, room.scaled(f64::from(rental.count)));
            }
        }
        supply
    }

    /// The only zones where a job's next task may go, if not everywhere.
    pub fn allowed_zones(&self, job: &Job) -> Option<Vec<String>> {
        let zones = self.eligible_zones(job);
        match (&job.spec.zone, zones) {
            (Some(zone), None) => Some(vec![zone.clone()]),
            (Some(zone), Some(zones)) => Some(zones.into_iter().filter(|z| z == zone).collect()),
            (None, Some(zones)) => Some(zones.into_iter().collect()),
            (None, None) => None,
        }
    }
}

pub(super) fn shortfall(need: Resources, free: Resources) -> Resources {
    let gap = need.minus(free);
    Resources { cpus: gap.cpus.max(0.0), gpus: gap.gpus.max(0.0), memory_gb: gap.memory_gb.max(0.0) }
}
