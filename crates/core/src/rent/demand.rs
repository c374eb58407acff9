//! Compares the demand for resources (waiting tasks, tasks that will need a new machine, headroom) with the
//! supply of machines that run, boot or were requested.

use std::collections::{BTreeMap, BTreeSet};

use crate::env::Env;
use crate::jobs::Job;
use crate::quota::Resources;
use crate::term::Term;

use super::{LATE_AFTER_BOOT_TIMES, MIN_RENTALS_PER_S, RENTAL_CALL_SHARE};

/// Boot time of a machine type if the cloud does not give it.
const DEFAULT_BOOT_S: f64 = 60.0;

/// The zones that a job is limited to, and whether it may use spot machines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneConstraint {
    zones: Vec<String>,
    spot: bool,
}

/// Resources that tasks need.
#[derive(Default)]
struct Demand {
    /// Resources for tasks that may use spot machines.
    spot: Resources,
    /// Resources for tasks that need on-demand machines.
    on_demand: Resources,
    /// Resources for tasks that are limited to zones.
    zone_bound: BTreeMap<ZoneConstraint, Resources>,
}

impl Demand {
    /// Adds demand that is not limited to zones.
    fn add(&mut self, spot: bool, need: Resources) {
        let total = if spot { &mut self.spot } else { &mut self.on_demand };
        total.add(need);
    }
}

/// Resources that are free now or once machines have booted.
#[derive(Default)]
struct Supply {
    /// Free resources of spot machines.
    spot: Resources,
    /// Free resources of on-demand machines.
    on_demand: Resources,
    /// Free resources by zone and whether the machines are spot machines.
    zones: BTreeMap<(String, bool), Resources>,
    /// CPUs in use.
    in_use: f64,
}

impl Supply {
    /// Adds free resources in a zone.
    fn add(&mut self, zone: &str, spot: bool, free: Resources) {
        let total = if spot { &mut self.spot } else { &mut self.on_demand };
        total.add(free);
        self.zones.entry((zone.to_owned(), spot)).or_default().add(free);
    }

    /// Returns the free resources for tasks with this zone constraint.
    fn within(&self, constraint: &ZoneConstraint) -> Resources {
        let mut free = Resources::default();
        for ((zone, spot), free_in_zone) in &self.zones {
            if constraint.zones.contains(zone) && (constraint.spot || !spot) {
                free.add(*free_in_zone);
            }
        }
        free
    }
}

impl Term {
    /// Returns the number of waiting tasks of a job that its team's limit would let start, and subtracts their CPUs
    /// from `remaining_cpus`, the CPUs that each team may still use.
    fn startable_tasks(&self, job: &Job, remaining_cpus: &mut BTreeMap<String, f64>) -> f64 {
        let waiting = job.waiting_tasks();
        if waiting == 0 {
            return 0.0;
        }
        let team_cpus = remaining_cpus
            .entry(job.spec.team.clone())
            .or_insert_with(|| self.quotas.usage(&job.spec.team).map_or(0.0, |usage| usage.team.cpus_max - usage.cpus));
        let cpus = job.spec.cpus;
        let allowed = if cpus > 0.0 { (*team_cpus / cpus).max(0.0) as u32 } else { waiting };
        let tasks = f64::from(waiting.min(allowed));
        *team_cpus -= tasks * cpus;
        tasks
    }

    /// Rents machines for the demand, reserve and headroom that the supply does not cover, and chooses the
    /// machines to retire.
    pub(super) fn rent_shortfall(&mut self, env: &mut Env) {
        self.renting.remaining_rentals = (env.facts.cloud_rps * RENTAL_CALL_SHARE).max(MIN_RENTALS_PER_S) as usize;
        self.rent_by_tiers(env);
        let mut demand = self.demand(|_| true);
        let supply = self.supply(env);
        self.rent_zone_bound(env, &mut demand, &supply);
        let policy = env.policy.clone();
        let largest = env.machine_types.iter().map(|machine_type| machine_type.cpus).fold(0.0, f64::max);
        let headroom = (supply.in_use * policy.headroom_share).max(policy.headroom_machines * largest);
        demand.on_demand.cpus += self.renting.service_reserve(env);
        if !self.jobs.is_empty() {
            demand.spot.cpus += headroom;
        }
        // The surplus of on-demand machines serves spot work too.
        let surplus = (supply.on_demand.cpus - demand.on_demand.cpus).max(0.0);
        self.choose_retiring(env, supply.in_use + demand.spot.cpus + demand.on_demand.cpus);
        demand.spot.cpus = (demand.spot.cpus - surplus).max(0.0);
        self.rent_resources(env, shortfall(demand.on_demand, supply.on_demand), false, None);
        self.rent_resources(env, shortfall(demand.spot, supply.spot), true, None);
    }

    /// While a zone is evacuated, rents machines tier by tier, earlier tiers first: the calls to the cloud and its
    /// machines may not suffice for all. The last tier is left to the caller.
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
            let surplus = (supply.on_demand.cpus - demand.on_demand.cpus).max(0.0);
            demand.spot.cpus = (demand.spot.cpus - surplus).max(0.0);
            self.rent_resources(env, shortfall(demand.on_demand, supply.on_demand), false, None);
            self.rent_resources(env, shortfall(demand.spot, supply.spot), true, None);
        }
    }

    /// Rents machines for tasks that are limited to zones. The part of their demand that the free resources of
    /// those zones cover is added to the general demand, since it uses up a part of the supply.
    fn rent_zone_bound(&mut self, env: &mut Env, demand: &mut Demand, supply: &Supply) {
        for (constraint, need) in std::mem::take(&mut demand.zone_bound) {
            let gap = shortfall(need, supply.within(&constraint));
            if !gap.is_zero() {
                self.rent_resources(env, gap, constraint.spot, Some(&constraint.zones));
            }
            demand.add(constraint.spot, need.minus(gap));
        }
    }

    /// Returns the demand of waiting tasks that may start and of tasks that will have to start on another machine,
    /// of the tiers that `includes_tier` accepts. Earlier tiers use up their teams' quotas first.
    fn demand(&self, includes_tier: impl Fn(usize) -> bool) -> Demand {
        let mut demand = Demand::default();
        let mut remaining_cpus = BTreeMap::new();
        let evacuating = self.is_evacuating();
        let tier = |job: &Job| if evacuating { self.tier_of(job) } else { 0 };
        let mut jobs: Vec<(usize, &Job)> = self.jobs.values().map(|job| (tier(job), job)).collect();
        if evacuating {
            jobs.sort_by_key(|(tier, _)| *tier);
        }
        for (_, job) in jobs.into_iter().filter(|(tier, _)| includes_tier(*tier)) {
            let tasks = self.startable_tasks(job, &mut remaining_cpus);
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
        // Tasks on partitioned machines will need other machines once the leases of these expire.
        for machine in self.machines.values().filter(|m| self.will_lose_tasks(m)) {
            for (name, _) in &machine.tasks {
                let job = &self.jobs[name];
                // A job that is limited to this zone waits until the zone returns.
                let may_move = job.spec.zone.as_ref() != Some(&machine.zone);
                if may_move && includes_tier(tier(job)) {
                    demand.add(job.spec.spot, Resources::of(&job.spec));
                }
            }
        }
        demand
    }

    /// Returns the free resources of machines that run, boot or were requested.
    fn supply(&self, env: &Env) -> Supply {
        let now = env.steady();
        let mut supply = Supply::default();
        for machine in self.machines.values().filter(|m| m.counts_as_capacity()) {
            let boot_s =
                env.machine_type(&machine.type_name).map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
            let late =
                !machine.up && now.duration_since(machine.known_since).as_secs_f64() > boot_s * LATE_AFTER_BOOT_TIMES;
            // The size of a machine known only from a record is unknown.
            if late || machine.type_name.is_empty() {
                continue;
            }
            supply.in_use += machine.used.cpus;
            supply.add(&machine.zone, machine.spot, machine.total.minus(machine.used));
        }
        for (rental, _) in &self.renting.open_rentals {
            if let Some(machine_type) = env.machine_type(&rental.machine_type) {
                let machine =
                    Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb };
                supply.add(&rental.zone, rental.spot, machine.scaled(f64::from(rental.count)));
            }
        }
        supply
    }

    /// Returns the zones where a job's next task may be placed; `None` if all are allowed.
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

/// Returns the part of `need` that `free` does not cover, at least 0 of each resource.
pub(super) fn shortfall(need: Resources, free: Resources) -> Resources {
    let gap = need.minus(free);
    Resources { cpus: gap.cpus.max(0.0), gpus: gap.gpus.max(0.0), memory_gb: gap.memory_gb.max(0.0) }
}
