//! The cloud's offers: the markets in which machines can be rented for a need, and at what cost.

use std::collections::BTreeMap;

use rushyoke_wire::cloud::MachineType;

use crate::env::Env;
use crate::quota::Resources;
use crate::term::Term;

use super::MAX_MACHINES_PER_RENTAL;
use super::requirements::Requirements;

/// Machines that are rented alike. The cloud has a price and a capacity for each market.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Market {
    /// Name of the machine type.
    pub machine_type: String,
    pub zone: String,
    /// Whether the machines are spot machines.
    pub spot: bool,
}

/// What one market costs for a need.
struct Offer {
    market: Market,
    /// Number of machines that provide the need, not rounded up.
    machines: f64,
    /// Price per hour of that number of machines.
    cost: f64,
}

/// Returns the number of machines of a type that provide the resources, not rounded up; infinite if the type lacks
/// one of them.
fn machines_needed(need: Resources, machine_type: &MachineType) -> f64 {
    let ratio = |needed: f64, provided: f64| {
        if needed <= 0.0 {
            0.0
        } else if provided > 0.0 {
            needed / provided
        } else {
            f64::INFINITY
        }
    };
    ratio(need.cpus, machine_type.cpus)
        .max(ratio(need.gpus, machine_type.gpus))
        .max(ratio(need.memory_gb, machine_type.memory_gb))
}

impl Term {
    /// Returns the market with the least cost for a need, and how many machines to request there. They are spread over
    /// the markets of equal cost; of these, the zone with the fewest machines comes first, so that no zone gets all.
    pub(super) fn cheapest_market(
        &self,
        env: &Env,
        need: Resources,
        requirements: &Requirements,
        machines_by_zone: &BTreeMap<String, u32>,
    ) -> Option<(Market, u32)> {
        let offers = self.offers(env, need, requirements);
        let machines_in = |offer: &Offer| machines_by_zone.get(&offer.market.zone).copied().unwrap_or(0);
        let cheapest = offers.iter().min_by(|offer, other| {
            offer.cost.total_cmp(&other.cost).then_with(|| machines_in(offer).cmp(&machines_in(other)))
        })?;
        let equal_offers = offers.iter().filter(|offer| offer.cost <= cheapest.cost).count() as u32;
        let machines = (cheapest.machines.ceil() as u32).max(1).div_ceil(equal_offers);
        Some((cheapest.market.clone(), machines.min(MAX_MACHINES_PER_RENTAL)))
    }

    /// Returns the offers of all markets that meet the requirements and may have capacity.
    fn offers(&self, env: &Env, need: Resources, requirements: &Requirements) -> Vec<Offer> {
        let spot = requirements.allows_spot();
        let mut offers = Vec::new();
        for machine_type in env.machine_types.iter() {
            let price = if spot { machine_type.spot_price } else { Some(machine_type.price) };
            let machines = machines_needed(need, machine_type);
            let Some(cost) = price.map(|price| price * machines).filter(|cost| cost.is_finite()) else { continue };
            for zone in machine_type.zones.iter().filter(|zone| requirements.admits(&machine_type.name, zone)) {
                let market = Market { machine_type: machine_type.name.clone(), zone: zone.clone(), spot };
                if self.is_on_offer(&market) {
                    offers.push(Offer { market, machines, cost });
                }
            }
        }
        offers
    }

    /// Whether machines may be requested in a market now: it was not found without capacity a moment ago, and its zone can
    /// be used.
    fn is_on_offer(&self, market: &Market) -> bool {
        let no_capacity = self.renting.no_capacity_until.contains_key(market);
        !no_capacity && !self.zone_is_unreachable(&market.zone) && !self.zone_is_closed(&market.zone)
    }
}
