//! Which machines to rent: compares the demand with the supply.
//!
//! Tasks that not every machine can take come first. They use up what is free on the machines that can take them, and
//! machines are rented for the others. The remaining tasks are compared with the sum of what is left free; and
//! a task that fits on no machine needs a new one, whatever the sum.

use std::collections::BTreeMap;

use crate::env::Env;
use crate::quota::Resources;
use crate::term::Term;

use super::demand::TaskGroup;
use super::requirements::Requirements;
use super::supply::Supply;
use super::{MIN_RENTALS_PER_S, RENTAL_CALL_SHARE};

/// CPUs to keep free beside the demand.
#[derive(Clone, Copy, Default)]
struct Reserves {
    /// On on-demand machines, for services.
    on_demand_cpus: f64,
    /// On any machines, as headroom.
    headroom_cpus: f64,
}

/// Resources to rent.
struct RentalPlan {
    /// For tasks that not every machine can take.
    bound: BTreeMap<Requirements, Resources>,
    /// On on-demand machines of any type and zone.
    on_demand: Resources,
    /// On machines of any type and zone.
    spot: Resources,
    /// CPUs that are used, needed or kept free on machines of the present fleet or on unbound new ones.
    needed_cpus: f64,
}

impl Term {
    /// Rents machines for the demand, reserve and headroom that the supply does not cover, and chooses the
    /// machines to retire.
    pub(super) fn rent_shortfall(&mut self, env: &mut Env) {
        self.renting.remaining_rentals = (env.facts.cloud_rps * RENTAL_CALL_SHARE).max(MIN_RENTALS_PER_S) as usize;
        self.rent_by_tiers(env);
        let supply = self.supply(env);
        let reserves = self.reserves(env, supply.in_use);
        let plan = plan_rentals(self.demand(env, |_| true), supply, reserves);
        self.choose_retiring(env, plan.needed_cpus);
        self.rent_plan(env, plan);
    }

    /// While a zone is evacuated, rents machines tier by tier, earlier tiers first: the calls to the cloud and its
    /// machines may not suffice for all. The last tier is left to the caller.
    fn rent_by_tiers(&mut self, env: &mut Env) {
        if !self.is_evacuating() {
            return;
        }
        let tiers = self.tiers();
        let last = tiers.last().copied();
        for tier in tiers.into_iter().filter(|tier| Some(*tier) != last) {
            let demand = self.demand(env, |earlier| earlier <= tier);
            let plan = plan_rentals(demand, self.supply(env), Reserves::default());
            self.rent_plan(env, plan);
        }
    }

    /// Returns the CPUs to keep free while this number is in use.
    fn reserves(&self, env: &Env, cpus_in_use: f64) -> Reserves {
        let largest = env.machine_types.iter().map(|machine_type| machine_type.cpus).fold(0.0, f64::max);
        let headroom = (cpus_in_use * env.policy.headroom_share).max(env.policy.headroom_machines * largest);
        Reserves {
            on_demand_cpus: self.renting.service_reserve(env),
            headroom_cpus: if self.jobs.is_empty() { 0.0 } else { headroom },
        }
    }

    /// Rents what a plan asks for.
    fn rent_plan(&mut self, env: &mut Env, plan: RentalPlan) {
        for (requirements, need) in plan.bound {
            self.rent_resources(env, need, &requirements);
        }
        self.rent_resources(env, plan.on_demand, &Requirements::any_machine(false));
        self.rent_resources(env, plan.spot, &Requirements::any_machine(true));
    }
}

/// Returns what to rent for the demand that the supply does not cover. Groups use up the supply in their order.
fn plan_rentals(demand: Vec<TaskGroup>, mut supply: Supply, reserves: Reserves) -> RentalPlan {
    let (bound_groups, unbound_groups): (Vec<TaskGroup>, Vec<TaskGroup>) =
        demand.into_iter().partition(|group| group.requirements.is_bound());
    let mut needed_cpus = supply.in_use;
    let mut bound: BTreeMap<Requirements, Resources> = BTreeMap::new();
    for group in bound_groups {
        let missing = supply.take(&group);
        needed_cpus += group.resources_for(group.tasks - missing).cpus;
        if missing > 0 {
            let need = group.resources_for(missing);
            bound.entry(group.requirements).or_default().add(need);
        }
    }
    let mut on_demand = Resources { cpus: reserves.on_demand_cpus, ..Resources::default() };
    let mut spot = Resources { cpus: reserves.headroom_cpus, ..Resources::default() };
    for group in &unbound_groups {
        let total = if group.requirements.allows_spot() { &mut spot } else { &mut on_demand };
        total.add(group.resources_for(group.tasks));
    }
    needed_cpus += on_demand.cpus + spot.cpus;
    // The surplus of on-demand machines serves spot work too.
    let surplus = (supply.total(false).cpus - on_demand.cpus).max(0.0);
    spot.cpus = (spot.cpus - surplus).max(0.0);
    let mut on_demand = shortfall(on_demand, supply.total(false));
    let mut spot = shortfall(spot, supply.total(true));
    let (without_room, spot_without_room) = without_room(&unbound_groups, supply, reserves);
    on_demand.expand_to(without_room);
    spot.expand_to(spot_without_room);
    RentalPlan { bound, on_demand, spot, needed_cpus }
}

/// Returns the resources of the tasks that no machine has room for, those that need on-demand machines first.
fn without_room(groups: &[TaskGroup], mut supply: Supply, reserves: Reserves) -> (Resources, Resources) {
    let (mut on_demand, mut spot) = (Resources::default(), Resources::default());
    supply.reserved_on_demand_cpus = reserves.on_demand_cpus;
    for group in groups {
        let need = group.resources_for(supply.take(group));
        if group.requirements.allows_spot() { spot.add(need) } else { on_demand.add(need) }
    }
    (on_demand, spot)
}

/// Returns the part of `need` that `free` does not cover, at least 0 of each resource.
pub(super) fn shortfall(need: Resources, free: Resources) -> Resources {
    let gap = need.minus(free);
    Resources { cpus: gap.cpus.max(0.0), gpus: gap.gpus.max(0.0), memory_gb: gap.memory_gb.max(0.0) }
}
