//! What a leader holds of its rentals and returns.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Instant;

use rushyoke_wire::cloud::Rental;
use rushyoke_wire::job::{JobSpec, Kind, Priority};

use crate::env::Env;
use crate::jobs::Name;

/// Weight of a new job in the mean size of services.
const LEARN: f64 = 0.2;

/// Type, zone and whether spot.
pub(super) type Market = (String, String, bool);

/// Rentals and returns of a term.
#[derive(Default)]
pub(crate) struct Renting {
    pub(super) serial: u64,
    /// Rentals without an answer; repeated under their name until there is one.
    pub(super) open: Vec<(Rental, Instant)>,
    pub(super) refused: BTreeMap<Market, Instant>,
    pub(super) returning: VecDeque<Name>,
    pub(super) return_retry: Option<Instant>,
    pub(super) return_open: bool,
    pub(super) gone: VecDeque<Name>,
    pub(super) gone_names: HashSet<Name>,
    pub(super) listing: bool,
    pub(super) listed_at: Option<Instant>,
    pub(super) list_after: Option<String>,
    /// A whole list has been read.
    pub listed: bool,
    /// CPUs needed in all, over the last while.
    pub(super) needs: VecDeque<(Instant, f64)>,
    /// Replicas that may be moved now.
    pub(super) moves: f64,
    /// Mean CPUs of a production service, learnt from those seen.
    pub(super) service_cpus: f64,
    /// Rentals that may still be sent in this round.
    pub(super) calls: usize,
}

impl Renting {
    pub fn is_gone(&self, name: &Name) -> bool {
        self.gone_names.contains(name)
    }

    pub fn gone(&mut self, name: &Name, keep: usize) {
        if self.gone_names.insert(name.clone()) {
            self.gone.push_back(name.clone());
        }
        while self.gone.len() > keep {
            if let Some(oldest) = self.gone.pop_front() {
                self.gone_names.remove(&oldest);
            }
        }
    }

    pub fn release_later(&mut self, name: Name) {
        if !self.returning.contains(&name) {
            self.returning.push_back(name);
        }
    }

    pub fn saw_job(&mut self, spec: &JobSpec) {
        if spec.kind == Kind::Service && spec.priority == Priority::Production {
            let cpus = f64::from(spec.tasks) * spec.cpus;
            let weight = if self.service_cpus == 0.0 { 1.0 } else { LEARN };
            self.service_cpus += (cpus - self.service_cpus) * weight;
        }
    }

    /// CPUs on ordinary machines that stay free for services.
    pub fn service_reserve(&self, env: &Env) -> f64 {
        self.service_cpus * env.policy.service_reserve
    }
}
