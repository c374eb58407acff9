//! State of a leader's rentals and releases.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Instant;

use rushyoke_wire::cloud::Rental;
use rushyoke_wire::job::{JobSpec, Kind, Priority};

use super::offers::Market;
use crate::env::Env;
use crate::jobs::Name;

/// Weight of a new job in the moving average of service sizes.
const SERVICE_SIZE_WEIGHT: f64 = 0.2;

/// Rentals and releases of a term.
#[derive(Default)]
pub(crate) struct RentalState {
    /// Number of the last rental request of this term.
    pub(super) request_serial: u64,
    /// Rental requests without a response, and when they were last sent. They are retried under the same name.
    pub(super) open_rentals: Vec<(Rental, Instant)>,
    /// Markets without capacity, and when they may be tried again.
    pub(super) no_capacity_until: BTreeMap<Market, Instant>,
    /// Machines to be released, in order.
    pub(super) to_release: VecDeque<Name>,
    /// Earliest time of the next release request after a failed one.
    pub(super) release_retry_at: Option<Instant>,
    /// Whether a release request has no outcome yet.
    pub(super) release_in_flight: bool,
    /// Machines that were removed from the fleet, the first removed first.
    pub(super) removed: VecDeque<Name>,
    /// The same names, for fast checks.
    pub(super) removed_names: HashSet<Name>,
    /// Whether a listing request has no outcome yet.
    pub(super) listing_in_flight: bool,
    /// When the last listing was requested; `None` if the next one is due at once.
    pub(super) last_listing: Option<Instant>,
    /// The last machine of the previous page, if more pages follow.
    pub(super) listing_after: Option<String>,
    /// Whether a complete list of the cloud's machines has been read in this term.
    pub fleet_listed: bool,
    /// Total CPUs needed at each tick, over the period of the idle timeout.
    pub(super) recent_needs: VecDeque<(Instant, f64)>,
    /// Number of replicas that may be moved now.
    pub(super) move_budget: f64,
    /// Moving average of the CPUs of a production service.
    pub(super) mean_service_cpus: f64,
    /// Rental requests that may still be sent in this second.
    pub(super) remaining_rentals: usize,
}

impl RentalState {
    /// Whether the machine was removed from the fleet.
    pub fn was_removed(&self, name: &Name) -> bool {
        self.removed_names.contains(name)
    }

    /// Remembers that a machine was removed from the fleet, and forgets the oldest names beyond `max_names`.
    pub fn remember_removed(&mut self, name: &Name, max_names: usize) {
        if self.removed_names.insert(name.clone()) {
            self.removed.push_back(name.clone());
        }
        while self.removed.len() > max_names {
            if let Some(oldest) = self.removed.pop_front() {
                self.removed_names.remove(&oldest);
            }
        }
    }

    /// Queues a machine for the next release request.
    pub fn queue_release(&mut self, name: Name) {
        if !self.to_release.contains(&name) {
            self.to_release.push_back(name);
        }
    }

    /// Updates the mean size of production services with a submitted job.
    pub fn observe_job(&mut self, spec: &JobSpec) {
        if spec.kind == Kind::Service && spec.priority == Priority::Production {
            let cpus = f64::from(spec.tasks) * spec.cpus;
            let weight = if self.mean_service_cpus == 0.0 { 1.0 } else { SERVICE_SIZE_WEIGHT };
            self.mean_service_cpus += (cpus - self.mean_service_cpus) * weight;
        }
    }

    /// Returns the CPUs on on-demand machines that are kept free for services.
    pub fn service_reserve(&self, env: &Env) -> f64 {
        self.mean_service_cpus * env.policy.service_reserve
    }
}
