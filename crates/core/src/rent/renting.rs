//! What a leader holds of its rentals and returns.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Instant;

use rushyoke_wire::cloud::Rental;
use rushyoke_wire::job::{JobSpec, Kind, Priority};

use crate::env::Env;
use crate::jobs::Name;

/// Weight of a new job in the mean size of services.
const SERVICE_SIZE_WEIGHT: f64 = 0.2;

/// Type, zone and whether spot.
pub(super) type Market = (String, String, bool);

/// Rentals and returns of a term.
#[derive(Default)]
pub(crate) struct RentalState {
    pub(super) request_serial: u64,
    /// Rentals without an answer; repeated under their name until there is one.
    pub(super) open_rentals: Vec<(Rental, Instant)>,
    pub(super) no_capacity_until: BTreeMap<Market, Instant>,
    pub(super) to_release: VecDeque<Name>,
    pub(super) release_retry_at: Option<Instant>,
    pub(super) release_in_flight: bool,
    pub(super) gone: VecDeque<Name>,
    pub(super) gone_names: HashSet<Name>,
    pub(super) listing_in_flight: bool,
    pub(super) last_listing: Option<Instant>,
    pub(super) listing_after: Option<String>,
    /// A whole list has been read.
    pub fleet_listed: bool,
    /// CPUs needed in all, over the last while.
    pub(super) recent_needs: VecDeque<(Instant, f64)>,
    /// Replicas that may be moved now.
    pub(super) move_budget: f64,
    /// Mean CPUs of a production service, learnt from those seen.
    pub(super) mean_service_cpus: f64,
    /// Rentals that may still be sent in this round.
    pub(super) rentals_left: usize,
}

impl RentalState {
    pub fn is_gone(&self, name: &Name) -> bool {
        self.gone_names.contains(name)
    }

    pub fn mark_gone(&mut self, name: &Name, keep: usize) {
        if self.gone_names.insert(name.clone()) {
            self.gone.push_back(name.clone());
        }
        while self.gone.len() > keep {
            if let Some(oldest) = self.gone.pop_front() {
                self.gone_names.remove(&oldest);
            }
        }
    }

    pub fn queue_release(&mut self, name: Name) {
        if !self.to_release.contains(&name) {
            self.to_release.push_back(name);
        }
    }

    pub fn observe_job(&mut self, spec: &JobSpec) {
        if spec.kind == Kind::Service && spec.priority == Priority::Production {
            let cpus = f64::from(spec.tasks) * spec.cpus;
            let weight = if self.mean_service_cpus == 0.0 { 1.0 } else { SERVICE_SIZE_WEIGHT };
            self.mean_service_cpus += (cpus - self.mean_service_cpus) * weight;
        }
    }

    /// CPUs on ordinary machines that stay free for services.
    pub fn service_reserve(&self, env: &Env) -> f64 {
        self.mean_service_cpus * env.policy.service_reserve
    }
}
