//! Renting and returning machines: capacity for what waits, some ahead of need, and
//! back when it stands idle. Request names never repeat, since each holds the token.

mod demand;
mod releases;
pub(crate) mod renting;

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_wire::cloud::{Listing, MachineType, Rental};

use crate::calls::{Purpose, RentCall};
use crate::env::Env;
use crate::fleet::Machine;
use crate::io::*;
use crate::jobs::Name;
use crate::quota::Resources;
use crate::term::Term;
use demand::shortfall;
use renting::Market;

/// Most machines in one rental, and in one return.
const MAX_MACHINES_PER_RENTAL: u32 = 50;
const MAX_MACHINES_PER_RELEASE: usize = 100;
/// Share of the cloud's calls a second that go into rentals, and the least number: the rest
/// is for returns and lists.
const RENTAL_CALL_SHARE: f64 = 0.5;
const MIN_RENTALS_PER_S: f64 = 2.0;
/// A refused kind of machine is asked for again after this time.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_secs(6);
const RETRY_DELAY: Duration = Duration::from_millis(1200);
/// Boot times after which a machine is no longer counted on, and given up.
const LATE_AFTER_BOOT_TIMES: f64 = 2.0;
const LOST_AFTER_BOOT_TIMES: f64 = 5.0;
/// The cloud charges a machine for at least this time.
const MIN_CHARGED_TIME: Duration = Duration::from_secs(58);
/// A task that was started is left alone for this time before it is moved: the users do
/// not count starts that are stopped sooner.
const MIN_RUN_BEFORE_MOVE_S: f64 = 32.0;
/// Replicas that may be moved each second, as a share of those that run. A move takes a few
/// tenths of a second where the image is cached, so this costs them a thousandth of their time.
const REPLICA_MOVES_PER_S_SHARE: f64 = 0.0025;
/// What a machine with replicas counts as taking to become empty.
const SERVICE_EMPTY_TIME_S: f64 = 1e6;
/// Moves that may be saved up.
const MAX_SAVED_MOVES: f64 = 8.0;

/// What is wanted or had of one kind, in machines of a type.
fn machines_needed(room: Resources, kind: &MachineType) -> f64 {
    let part = |want: f64, have: f64| {
        if want <= 0.0 {
            0.0
        } else if have > 0.0 {
            want / have
        } else {
            f64::INFINITY
        }
    };
    part(room.cpus, kind.cpus).max(part(room.gpus, kind.gpus)).max(part(room.memory_gb, kind.memory_gb))
}

impl Term {
    /// Once a second.
    pub fn rent_tick(&mut self, env: &mut Env) {
        let now = env.steady();
        self.retry_rentals(env);
        self.request_listing(env);
        if !env.machine_types.is_empty() && !self.fleet_view_unreliable(env) {
            self.rent_shortfall(env);
        }
        self.drain_retiring(env);
        self.release_idle(env, now);
        self.send_releases(env, now);
    }

    fn request_listing(&mut self, env: &mut Env) {
        let now = env.steady();
        let period = (env.facts.cloud_list_lag / 2).clamp(Duration::from_secs(2), Duration::from_secs(10));
        let due = self.renting.last_listing.is_none_or(|t| now.duration_since(t) >= period);
        if due && !self.renting.listing_in_flight {
            self.renting.listing_in_flight = true;
            self.renting.last_listing = Some(now);
            let after = self.renting.listing_after.clone();
            env.call_cloud(Purpose::Rent(RentCall::List), CloudOp::List { after });
        }
    }

    /// Rents machines for `room`; spot work falls back on ordinary machines. All of it at
    /// once, as far as the cloud's calls go: in a large fleet a part each second would take
    /// minutes, while jobs wait for their first task.
    fn rent_resources(&mut self, env: &mut Env, mut room: Resources, spot: bool, within: Option<&[String]>) {
        let now = env.steady();
        self.renting.no_capacity_until.retain(|_, until| *until > now);
        let mut there: BTreeMap<String, u32> = BTreeMap::new();
        for machine in self.machines.values() {
            *there.entry(machine.zone.clone()).or_default() += 1;
        }
        while !room.is_zero() && self.renting.rentals_left > 0 {
            let mut options: Vec<(f64, f64, Market)> = Vec::new();
            for kind in env.machine_types.iter() {
                let count = machines_needed(room, kind);
                if !count.is_finite() {
                    continue;
                }
                let price = if spot { kind.spot_price.unwrap_or(f64::INFINITY) } else { kind.price };
                for zone in kind.zones.iter().filter(|z| within.is_none_or(|w| w.contains(z))) {
                    let market = (kind.name.clone(), zone.clone(), spot);
                    let busy = self.renting.no_capacity_until.contains_key(&market);
                    let closed = self.zone_is_unreachable(zone) || self.zone_is_closed(zone);
                    if price.is_finite() && !busy && !closed {
                        options.push((price * count, count, market));
                    }
                }
            }
            // Among equals the zone with the fewest machines, so that no zone holds all.
            let held = |market: &Market| there.get(&market.1).copied().unwrap_or(0);
            options.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| held(&a.2).cmp(&held(&b.2))));
            let Some((cost, count, (kind, zone, _))) = options.first().cloned() else {
                if spot {
                    self.rent_resources(env, room, false, within);
                }
                return;
            };
            // Spread over the zones that are as good.
            let zones = options.iter().filter(|option| option.0 <= cost).count() as u32;
            let count = (count.ceil() as u32).max(1).div_ceil(zones).min(MAX_MACHINES_PER_RENTAL);
            self.renting.rentals_left -= 1;
            self.renting.request_serial += 1;
            let request = format!("r-{}-{}", self.token, self.renting.request_serial);
            tracing::info!(request, kind, zone, spot, count, "renting");
            if let Some(kind) = env.machine_type(&kind) {
                let rented = Resources { cpus: kind.cpus, gpus: kind.gpus, memory_gb: kind.memory_gb };
                room = shortfall(room, rented.scaled(f64::from(count)));
            }
            *there.entry(zone.clone()).or_default() += count;
            self.send_rental(env, Rental { request, kind, zone, spot, count });
        }
    }

    fn send_rental(&mut self, env: &mut Env, rental: Rental) {
        self.renting.open_rentals.push((rental.clone(), env.steady()));
        env.call_cloud(Purpose::Rent(RentCall::Rent(rental.clone())), CloudOp::Rent(rental));
    }

    fn retry_rentals(&mut self, env: &mut Env) {
        let now = env.steady();
        let wait = Duration::from_secs(8);
        let due: Vec<Rental> = self
            .renting
            .open_rentals
            .iter()
            .filter(|(_, at)| now.duration_since(*at) > wait)
            .map(|(r, _)| r.clone())
            .collect();
        for rental in due {
            self.renting.open_rentals.retain(|(r, _)| r.request != rental.request);
            self.send_rental(env, rental);
        }
    }

    /// A call to the cloud has an outcome.
    pub fn cloud_call_outcome(&mut self, env: &mut Env, call: RentCall, outcome: Outcome<CloudResponse>) {
        match call {
            RentCall::Rent(rental) => self.rental_outcome(env, rental, outcome),
            RentCall::Release(names) => self.release_outcome(env, names, outcome),
            RentCall::List => {
                self.renting.listing_in_flight = false;
                if let Outcome::Responded(CloudResponse::Listing(listing)) = outcome {
                    self.apply_listing(env, &listing);
                }
            }
        }
    }

    fn rental_outcome(&mut self, env: &mut Env, rental: Rental, outcome: Outcome<CloudResponse>) {
        let now = env.steady();
        // Unanswered: it may have been carried out, so it is repeated by name.
        if matches!(outcome, Outcome::Unknown) {
            return;
        }
        let asked = self.renting.open_rentals.len();
        self.renting.open_rentals.retain(|(open, _)| open.request != rental.request);
        let answered_before = self.renting.open_rentals.len() == asked;
        let market = (rental.kind.clone(), rental.zone.clone(), rental.spot);
        match outcome {
            Outcome::Responded(CloudResponse::Rented(_)) if answered_before => {}
            Outcome::Responded(CloudResponse::Rented(names)) => {
                if (names.len() as u32) < rental.count {
                    self.renting.no_capacity_until.insert(market, now + NO_CAPACITY_BACKOFF);
                }
                tracing::info!(request = rental.request, machines = names.len(), "rented");
                self.zones.insert(rental.zone.clone());
                self.add_rented_machines(env, &rental, names);
            }
            Outcome::Responded(CloudResponse::NoCapacity) => {
                tracing::info!(kind = rental.kind, zone = rental.zone, spot = rental.spot, "no capacity");
                self.renting.no_capacity_until.insert(market, now + NO_CAPACITY_BACKOFF);
            }
            _ => {
                self.renting.no_capacity_until.insert(market, now + RETRY_DELAY);
            }
        }
    }

    /// Machines that were rented will come up.
    fn add_rented_machines(&mut self, env: &Env, rental: &Rental, names: Vec<String>) {
        let Some(kind) = env.machine_type(&rental.kind) else { return };
        for name in names {
            let name = Name::from(name.as_str());
            let machine = || Machine::rented(name.clone(), kind, &rental.zone, rental.spot, env.steady());
            self.machines.entry(name.clone()).or_insert_with(machine);
        }
    }

    fn release_outcome(&mut self, env: &mut Env, names: Vec<Name>, outcome: Outcome<CloudResponse>) {
        self.renting.release_in_flight = false;
        if matches!(outcome, Outcome::Responded(CloudResponse::Released)) {
            for name in names {
                tracing::info!(machine = &*name, "returned");
                self.remove_machine(env, &name);
            }
            return;
        }
        self.renting.release_retry_at = Some(env.steady() + RETRY_DELAY);
        let unsure = matches!(outcome, Outcome::Unknown);
        for name in names {
            // Surely not returned: it may be used again if it is heard of.
            if let Some(machine) = self.machines.get_mut(&name).filter(|_| !unsure) {
                machine.release_sent = None;
                machine.releasing = machine.suspect;
            }
            self.renting.queue_release(name);
        }
    }

    fn apply_listing(&mut self, env: &mut Env, listing: &Listing) {
        for listed in &listing.machines {
            self.machine_listed(env, listed);
        }
        let last = listing.machines.last().map(|m| m.id.clone());
        self.renting.listing_after = last.filter(|_| listing.more);
        if self.renting.listing_after.is_some() {
            // A fleet of thousands takes many pages, and nothing is rented before all are read.
            self.renting.last_listing = None;
            self.request_listing(env);
        } else {
            self.renting.fleet_listed = true;
        }
    }
}
