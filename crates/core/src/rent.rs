//! Rents machines from the cloud for waiting work and for the configured headroom, and releases
//! idle ones.
//!
//! The name of a rental request contains the leader's fencing token, so names are never reused.

mod demand;
mod offers;
mod plan;
mod releases;
pub(crate) mod renting;
mod requirements;
mod supply;

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_wire::cloud::{Listing, Rental};

use crate::calls::{Purpose, RentCall};
use crate::env::Env;
use crate::fleet::Machine;
use crate::io::*;
use crate::jobs::Name;
use crate::quota::Resources;
use crate::term::Term;
use offers::Market;
use plan::shortfall;
use requirements::{Requirements, resources_of};

/// Largest number of machines in one rental request.
const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Largest number of machines in one release request.
const MAX_MACHINES_PER_RELEASE: usize = 100;
/// Share of the cloud's call rate limit used for rentals; the rest is for releases and listings.
const RENTAL_CALL_SHARE: f64 = 0.5;
/// Minimum number of rental requests per second, whatever the rate limit.
const MIN_RENTALS_PER_S: f64 = 2.0;
/// Time for which a machine type is not requested in a zone after the cloud had no capacity for it there.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_secs(6);
/// Delay before a failed call to the cloud is retried.
const RETRY_DELAY: Duration = Duration::from_millis(1200);
/// Multiple of the usual boot time after which a booting machine no longer counts as supply.
const LATE_AFTER_BOOT_TIMES: f64 = 2.0;
/// Multiple of the usual boot time after which a machine that never reported is released.
const LOST_AFTER_BOOT_TIMES: f64 = 5.0;
/// Minimum time that the cloud charges for a machine; idle machines are not released before it has passed.
const MIN_CHARGED_TIME: Duration = Duration::from_secs(58);
/// Minimum run time of a task before it may be moved: users do not count a start that is stopped
/// sooner.
const MIN_RUN_BEFORE_MOVE_S: f64 = 32.0;
/// Replicas that may be moved each second, as a share of the running ones. A move takes a few
/// tenths of a second where the image is cached, so this costs the replicas a thousandth of their time.
const REPLICA_MOVES_PER_S_SHARE: f64 = 0.0025;
/// Assumed time until a machine with replicas becomes empty; they end only with their service.
const SERVICE_EMPTY_TIME_S: f64 = 1e6;
/// Largest number of unused replica moves that accumulate.
const MAX_SAVED_MOVES: f64 = 8.0;

impl Term {
    /// Rents and releases machines; called once a second.
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

    /// Requests the next page of the cloud's list of machines when it is due.
    fn request_listing(&mut self, env: &mut Env) {
        let now = env.steady();
        let period = (env.facts.cloud_list_lag / 2).clamp(Duration::from_secs(2), Duration::from_secs(10));
        let due = self.renting.last_listing.is_none_or(|requested_at| now.duration_since(requested_at) >= period);
        if due && !self.renting.listing_in_flight {
            self.renting.listing_in_flight = true;
            self.renting.last_listing = Some(now);
            let after = self.renting.listing_after.clone();
            env.call_cloud(Purpose::Rent(RentCall::List), CloudOp::List { after });
        }
    }

    /// Rents machines that provide `need` and meet the requirements. If no spot machines are available, on-demand machines
    /// are rented for spot work.
    ///
    /// All machines are requested at once, within the limit on calls to the cloud: in a large fleet, renting
    /// a part each second would take minutes while jobs wait for their first task.
    fn rent_resources(&mut self, env: &mut Env, mut need: Resources, requirements: &Requirements) {
        let now = env.steady();
        self.renting.no_capacity_until.retain(|_, until| *until > now);
        let mut machines_by_zone: BTreeMap<String, u32> = BTreeMap::new();
        for machine in self.machines.values() {
            *machines_by_zone.entry(machine.zone.clone()).or_default() += 1;
        }
        while !need.is_zero() && self.renting.remaining_rentals > 0 {
            let Some((market, count)) = self.cheapest_market(env, need, requirements, &machines_by_zone) else {
                if requirements.allows_spot() {
                    self.rent_resources(env, need, &requirements.on_demand_only());
                }
                return;
            };
            if let Some(machine_type) = env.machine_type(&market.machine_type) {
                need = shortfall(need, resources_of(machine_type).scaled(f64::from(count)));
            }
            *machines_by_zone.entry(market.zone.clone()).or_default() += count;
            self.request_machines(env, market, count);
        }
    }

    /// Sends a new rental request for machines of a market.
    fn request_machines(&mut self, env: &mut Env, market: Market, count: u32) {
        self.renting.remaining_rentals -= 1;
        self.renting.request_serial += 1;
        let request = format!("r-{}-{}", self.token, self.renting.request_serial);
        let Market { machine_type, zone, spot } = market;
        tracing::info!(request, kind = machine_type, zone, spot, count, "renting");
        self.send_rental(env, Rental { request, machine_type, zone, spot, count });
    }

    /// Sends a rental request and tracks it until the cloud responds.
    fn send_rental(&mut self, env: &mut Env, rental: Rental) {
        self.renting.open_rentals.push((rental.clone(), env.steady()));
        env.call_cloud(Purpose::Rent(RentCall::Rent(rental.clone())), CloudOp::Rent(rental));
    }

    /// Sends rental requests again, under the same name, that have had no response for too long.
    fn retry_rentals(&mut self, env: &mut Env) {
        let now = env.steady();
        let timeout = Duration::from_secs(8);
        let due: Vec<Rental> = self
            .renting
            .open_rentals
            .iter()
            .filter(|(_, sent_at)| now.duration_since(*sent_at) > timeout)
            .map(|(rental, _)| rental.clone())
            .collect();
        for rental in due {
            self.renting.open_rentals.retain(|(open, _)| open.request != rental.request);
            self.send_rental(env, rental);
        }
    }

    /// Handles the outcome of a call to the cloud.
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

    /// Handles the outcome of a rental request.
    fn rental_outcome(&mut self, env: &mut Env, rental: Rental, outcome: Outcome<CloudResponse>) {
        let now = env.steady();
        // The request may have been carried out, so it stays open and is retried under its name.
        if matches!(outcome, Outcome::Unknown) {
            return;
        }
        let open_before = self.renting.open_rentals.len();
        self.renting.open_rentals.retain(|(open, _)| open.request != rental.request);
        let already_handled = self.renting.open_rentals.len() == open_before;
        let market = Market { machine_type: rental.machine_type.clone(), zone: rental.zone.clone(), spot: rental.spot };
        match outcome {
            Outcome::Responded(CloudResponse::Rented(_)) if already_handled => {}
            Outcome::Responded(CloudResponse::Rented(names)) => {
                if (names.len() as u32) < rental.count {
                    self.renting.no_capacity_until.insert(market, now + NO_CAPACITY_BACKOFF);
                }
                tracing::info!(request = rental.request, machines = names.len(), "rented");
                self.zones.insert(rental.zone.clone());
                self.add_rented_machines(env, &rental, names);
            }
            Outcome::Responded(CloudResponse::NoCapacity) => {
                tracing::info!(kind = rental.machine_type, zone = rental.zone, spot = rental.spot, "no capacity");
                self.renting.no_capacity_until.insert(market, now + NO_CAPACITY_BACKOFF);
            }
            _ => {
                self.renting.no_capacity_until.insert(market, now + RETRY_DELAY);
            }
        }
    }

    /// Adds machines that were rented and will boot.
    fn add_rented_machines(&mut self, env: &Env, rental: &Rental, names: Vec<String>) {
        let Some(machine_type) = env.machine_type(&rental.machine_type) else { return };
        for name in names {
            let name = Name::from(name.as_str());
            let machine = || Machine::rented(name.clone(), machine_type, &rental.zone, rental.spot, env.steady());
            self.machines.entry(name.clone()).or_insert_with(machine);
        }
    }

    /// Handles the outcome of a release request.
    fn release_outcome(&mut self, env: &mut Env, names: Vec<Name>, outcome: Outcome<CloudResponse>) {
        self.renting.release_in_flight = false;
        if matches!(outcome, Outcome::Responded(CloudResponse::Released)) {
            for name in names {
                tracing::info!(machine = &*name, "released");
                self.remove_machine(env, &name);
            }
            return;
        }
        self.renting.release_retry_at = Some(env.steady() + RETRY_DELAY);
        let maybe_released = matches!(outcome, Outcome::Unknown);
        for name in names {
            // A machine that was certainly not released may be used again once its worker reports.
            if let Some(machine) = self.machines.get_mut(&name).filter(|_| !maybe_released) {
                machine.release_sent = None;
                machine.releasing = machine.suspect;
            }
            self.renting.queue_release(name);
        }
    }

    /// Applies one page of the cloud's list of machines.
    fn apply_listing(&mut self, env: &mut Env, listing: &Listing) {
        for listed in &listing.machines {
            self.machine_listed(env, listed);
        }
        let last = listing.machines.last().map(|m| m.id.clone());
        self.renting.listing_after = last.filter(|_| listing.more);
        if self.renting.listing_after.is_some() {
            // The next page is due at once: a fleet of thousands takes many pages, and nothing is rented before all of
            // them are read.
            self.renting.last_listing = None;
            self.request_listing(env);
        } else {
            self.renting.fleet_listed = true;
        }
    }
}
