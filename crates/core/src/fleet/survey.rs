//! Distinguishes the failure of a few machines from a network partition, by probing a sample of
//! the other machines when some stop responding.
//!
//! Keeps the leader from releasing, within seconds, a third of a fleet whose tasks run on until
//! the leases expire, and from renting machines on the basis of an incomplete view. Nothing here
//! proves that a placement is over: it only determines how long to wait before a machine is released.

pub(crate) mod state;

use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rushyoke_failover::{MachineCounts, SurveySample};

use super::Machine;
use crate::env::Env;
use crate::jobs::Name;
use crate::term::Term;

/// Least number of machines with failed direct calls for which a survey is made.
pub(super) const MIN_FAILING_FOR_SURVEY: usize = 3;
/// Number of machines that a survey probes.
pub(super) const SURVEY_SAMPLE_SIZE: usize = 48;
/// Number of machines that a survey probes for a leader to which no worker reports directly.
pub(super) const ISOLATED_SAMPLE_SIZE: usize = 8;
/// Time between surveys.
const SURVEY_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which the responses of a survey are evaluated.
const SURVEY_RESPONSE_TIME: Duration = Duration::from_millis(1000);
/// Time after which outstanding responses of a survey are no longer waited for.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(2000);
/// Least number of unresponsive machines that counts as a partition.
const MIN_PARTITIONED_MACHINES: usize = 12;
/// Unresponsive machines count as a partition if they exceed the fleet's size divided by this.
const PARTITIONED_FLEET_DIVISOR: usize = 6;

use state::Survey;

impl Term {
    /// Probes a sample of machines when some do not respond, and evaluates the responses. This
    /// distinguishes the failure of a few machines from a network partition long before most
    /// reports are overdue. A `sample_size` of zero means that no survey is needed.
    pub(super) fn survey(&mut self, env: &mut Env, sample_size: usize, unresponsive: MachineCounts, up: MachineCounts) {
        let now = env.steady();
        let due = self.survey.started_at.is_none_or(|at| now.duration_since(at) >= SURVEY_INTERVAL);
        if sample_size == 0 {
            if due {
                self.survey = Survey::default();
            }
            return;
        }
        if due {
            let can_be_probed = |machine: &&Machine| {
                machine.up
                    && !machine.releasing
                    && !machine.unverified
                    && machine.direct_call.is_none()
                    && !machine.addr.is_empty()
            };
            let candidates: Vec<Name> =
                self.machines.values().filter(can_be_probed).map(|machine| machine.name.clone()).collect();
            let sample_size = sample_size.min(self.available_direct_calls(env));
            let sample: Vec<Name> = candidates.into_iter().sample(&mut env.rng, sample_size);
            sample.iter().for_each(|name| self.probe(env, name));
            (self.survey.started_at, self.survey.sample) = (Some(now), sample);
        }
        if self.survey.started_at.is_some_and(|at| now.duration_since(at) >= SURVEY_RESPONSE_TIME) {
            self.evaluate_sample(up);
        }
        let sampled = self.survey.unresponsive;
        let unresponsive = MachineCounts {
            all: unresponsive.all.max(sampled.all),
            on_demand: unresponsive.on_demand.max(sampled.on_demand),
        };
        // If only spot machines are unresponsive, the cloud has more likely reclaimed them.
        let is_large_share = |unresponsive: usize, up: usize| unresponsive * PARTITIONED_FLEET_DIVISOR > up;
        let partitioned = unresponsive.all >= MIN_PARTITIONED_MACHINES
            && is_large_share(unresponsive.all, up.all)
            && (up.on_demand == 0 || is_large_share(unresponsive.on_demand, up.on_demand));
        if partitioned {
            if self.survey.partitioned_at.is_none() {
                let (silent, of) = (unresponsive.all, up.all);
                tracing::info!(
                    silent,
                    of,
                    "many machines are unresponsive at once: waiting for their leases to expire"
                );
            }
            self.survey.partitioned_at = Some(now);
        } else if self.survey.partitioned_at.is_some_and(|at| now.duration_since(at) >= SURVEY_INTERVAL) {
            // The delay gives the last machines time to respond when a partition ends.
            self.survey.partitioned_at = None;
        }
    }

    /// Evaluates the responses of the sample.
    fn evaluate_sample(&mut self, up: MachineCounts) {
        let mut sample = SurveySample::default();
        for machine in self.survey.sample.iter().filter_map(|name| self.machines.get(name)) {
            sample.add_result(&machine.zone, machine.spot, machine.failed_probes > 0, machine.failed_calls > 0);
        }
        self.survey.unreachable_zones = sample.partitioned_zones();
        self.survey.unresponsive = sample.estimate_unresponsive(up);
        // This counts failed direct calls even if the machines' reports arrive, which other nodes may relay.
        self.survey.most_unreachable = sample.most_calls_failed();
    }

    /// Whether responses of the sample are outstanding; until then this node itself may be out of reach.
    pub(super) fn survey_pending(&self, now: Instant) -> bool {
        let pending = |name| self.machines.get(name).is_some_and(|machine: &Machine| machine.direct_call.is_some());
        self.survey.started_at.is_some_and(|at| now.duration_since(at) < SURVEY_TIMEOUT)
            && self.survey.sample.iter().any(pending)
    }

    /// Whether an unresponsive machine is likely partitioned together with many others, rather than dead.
    pub fn is_partitioned(&self, machine: &Machine) -> bool {
        machine.failed_probes > 0 && (self.survey.partitioned_at.is_some() || self.zone_is_unreachable(&machine.zone))
    }

    /// Returns when the lease of a partitioned machine has likely expired. An earlier leader in the
    /// same partition may still respond to its worker. If all earlier leaders are known to have
    /// stopped, the last one did so before its leader key expired.
    pub(super) fn likely_lease_end(&self, env: &Env, machine: &Machine) -> Instant {
        let lease = env.facts.worker_lease;
        match machine.fenced_at {
            Some(_) => machine.last_heard + lease,
            None if self.predecessors_known_inactive => self.started_at + lease.saturating_sub(env.policy.leader_lease),
            None => self.lease_bounds(env).expires_at(machine),
        }
    }

    /// Whether too little is known of the machines to decide on renting more. A new leader learns of
    /// machines without tasks, and of the types of the others, only from the cloud's list; and when
    /// many machines are unresponsive the cause may be this node's network. A wrong decision here
    /// could rent a hundred machines.
    pub fn fleet_view_unreliable(&self, env: &Env) -> bool {
        let survey_running =
            self.survey.started_at.is_some_and(|at| env.steady().duration_since(at) < SURVEY_RESPONSE_TIME);
        (self.machines_inherited && !self.renting.fleet_listed) || self.survey.most_unreachable || survey_running
    }

    /// Whether a survey is in progress or many machines are unresponsive, so that no tasks should be moved.
    pub fn survey_active(&self) -> bool {
        self.survey.started_at.is_some() || self.survey.partitioned_at.is_some()
    }
}
