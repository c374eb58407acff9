//! What waits, what runs and what must be kept free, against the machines that are there or come.

use std::collections::{BTreeMap, BTreeSet};

use crate::env::Env;
use crate::jobs::Job;
use crate::quota::Resources;
use crate::term::Term;

use super::{LATE_BOOT, LEAST_RENTALS, RENTAL_SHARE};

/// What a type of machine takes to boot if the cloud does not say.
const UNKNOWN_BOOT_S: f64 = 60.0;

/// Zones that a job is bound to, and whether it may use spot machines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Binding {
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
    bound: BTreeMap<Binding, Resources>,
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
    fn within(&self, binding: &Binding) -> Resources {
        let mut free = Resources::default();
        for ((zone, spot), room) in &self.zones {
            if binding.zones.contains(zone) && (binding.spot || !spot) {
                free.add(*room);
            }
        }
        free
    }
}

impl Term {
    /// Tasks of a job that wait and that its team's limit would let run.
    fn startable(&self, job: &Job, team_left: &mut BTreeMap<String, f64>) -> f64 {
        let waiting = job.waiting();
        if waiting == 0 {
            return 0.0;
        }
        let left = team_left
            .entry(job.spec.team.clone())
            .or_insert_with(|| self.quotas.usage(&job.spec.team).map_or(0.0, |u| u.team.cpus_max - u.cpus));
        let cpus = job.spec.cpus;
        let fit = if cpus > 0.0 { (*left / cpus).max(0.0) as u32 } else { waiting };
        let tasks = f64::from(waiting.min(fit));
        *left -= tasks * cpus;
        tasks
    }

    /// Demand that has no room yet, and what must be kept free, by kind of machine.
    pub(super) fn rent_what_is_missing(&mut self, env: &mut Env) {
        self.renting.calls = (env.facts.cloud_rps * RENTAL_SHARE).max(LEAST_RENTALS) as usize;
        self.rent_by_tiers(env);
        let mut demand = self.demand(|_| true);
        let supply = self.supply(env);
        self.rent_bound(env, &mut demand, &supply);
        let policy = env.policy.clone();
        let largest = env.types.iter().map(|t| t.cpus).fold(0.0, f64::max);
        let headroom = (supply.in_use * policy.headroom_share).max(policy.headroom_machines * largest);
        demand.ordinary.cpus += self.renting.service_reserve(env);
        if !self.jobs.is_empty() {
            demand.spot.cpus += headroom;
        }
        // What ordinary machines have left over serves spot work too.
        let left_over = (supply.ordinary.cpus - demand.ordinary.cpus).max(0.0);
        self.retire(env, supply.in_use + demand.spot.cpus + demand.ordinary.cpus);
        demand.spot.cpus = (demand.spot.cpus - left_over).max(0.0);
        self.rent_kind(env, missing(demand.ordinary, supply.ordinary), false, None);
        self.rent_kind(env, missing(demand.spot, supply.spot), true, None);
    }

    /// While a zone is evacuated, what each tier and those before it lack is asked for before anything of
    /// a later one: the cloud's calls and machines may not do for all.
    fn rent_by_tiers(&mut self, env: &mut Env) {
        if !self.evacuates() {
            return;
        }
        let tiers: BTreeSet<usize> = self.jobs.values().map(|job| self.tier_of(job)).collect();
        let last = tiers.last().copied();
        for tier in tiers.into_iter().filter(|tier| Some(*tier) != last) {
            let mut demand = self.demand(|earlier| earlier <= tier);
            let supply = self.supply(env);
            self.rent_bound(env, &mut demand, &supply);
            let left_over = (supply.ordinary.cpus - demand.ordinary.cpus).max(0.0);
            demand.spot.cpus = (demand.spot.cpus - left_over).max(0.0);
            self.rent_kind(env, missing(demand.ordinary, supply.ordinary), false, None);
            self.rent_kind(env, missing(demand.spot, supply.spot), true, None);
        }
    }

    /// Rents for work that is bound to zones, and leaves in the demand what has room there: it takes its
    /// part of what is free, wherever that is.
    fn rent_bound(&mut self, env: &mut Env, demand: &mut Demand, supply: &Supply) {
        for (binding, need) in std::mem::take(&mut demand.bound) {
            let gap = missing(need, supply.within(&binding));
            if !gap.is_zero() {
                self.rent_kind(env, gap, binding.spot, Some(&binding.zones));
            }
            demand.add(binding.spot, need.minus(gap));
        }
    }

    /// Room for what waits and may start, and for what will have to start elsewhere, of the tiers that
    /// are wanted. Earlier tiers use up their teams' limits first.
    fn demand(&self, wanted: impl Fn(usize) -> bool) -> Demand {
        let mut demand = Demand::default();
        let mut team_left = BTreeMap::new();
        let evacuates = self.evacuates();
        let tier = |job: &Job| if evacuates { self.tier_of(job) } else { 0 };
        let mut jobs: Vec<(usize, &Job)> = self.jobs.values().map(|job| (tier(job), job)).collect();
        if evacuates {
            jobs.sort_by_key(|(tier, _)| *tier);
        }
        for (_, job) in jobs.into_iter().filter(|(tier, _)| wanted(*tier)) {
            let tasks = self.startable(job, &mut team_left);
            if tasks == 0.0 {
                continue;
            }
            let need = Resources::of(&job.spec).scaled(tasks);
            match self.bound_to(job) {
                Some(zones) => demand.bound.entry(Binding { zones, spot: job.spec.spot }).or_default().add(need),
                None => demand.add(job.spec.spot, need),
            }
        }
        // What runs on machines that are cut off will want room elsewhere when their leases end.
        for machine in self.machines.values().filter(|m| self.will_lose_work(m)) {
            for (name, _) in &machine.places {
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
        for machine in self.machines.values().filter(|m| m.counts()) {
            let boot = env.type_named(&machine.kind).map_or(UNKNOWN_BOOT_S, |k| k.boot_s);
            let late = !machine.up && now.duration_since(machine.known).as_secs_f64() > boot * LATE_BOOT;
            // One that is known from a record only has room, but how much?
            if late || machine.kind.is_empty() {
                continue;
            }
            supply.in_use += machine.used.cpus;
            supply.add(&machine.zone, machine.spot, machine.total.minus(machine.used));
        }
        for (rental, _) in &self.renting.open {
            if let Some(kind) = env.type_named(&rental.kind) {
                let room = Resources { cpus: kind.cpus, gpus: kind.gpus, memory_gb: kind.memory_gb };
                supply.add(&rental.zone, rental.spot, room.scaled(f64::from(rental.count)));
            }
        }
        supply
    }

    /// The only zones where a job's next task may go, if not everywhere.
    pub fn bound_to(&self, job: &Job) -> Option<Vec<String>> {
        let zones = self.zones_for(job);
        match (&job.spec.zone, zones) {
            (Some(zone), None) => Some(vec![zone.clone()]),
            (Some(zone), Some(zones)) => Some(zones.into_iter().filter(|z| z == zone).collect()),
            (None, Some(zones)) => Some(zones.into_iter().collect()),
            (None, None) => None,
        }
    }
}

pub(super) fn missing(need: Resources, free: Resources) -> Resources {
    let gap = need.minus(free);
    Resources { cpus: gap.cpus.max(0.0), gpus: gap.gpus.max(0.0), memory_gb: gap.memory_gb.max(0.0) }
}
