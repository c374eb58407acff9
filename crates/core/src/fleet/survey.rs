//! Tells the end of a few machines from a cut of the network when some fall silent, by asking
//! a sample of the others.
//!
//! Guards against giving up, within seconds, a third of a fleet whose work runs on until its
//! leases end, and against renting by what a leader does not know. Nothing here proves a place
//! empty: it only says how long to wait before a machine is returned.

pub(crate) mod state;

use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rushyoke_failover::{Silent, SurveySample};

use super::Machine;
use crate::env::Env;
use crate::jobs::Name;
use crate::term::Term;

/// Machines that must fail to answer for a survey, the machines that it asks, those that a leader
/// without workers of its own asks, how often it is made, and when its answers are in.
pub(super) const MIN_FAILING_FOR_SURVEY: usize = 3;
pub(super) const SURVEY_SAMPLE_SIZE: usize = 48;
pub(super) const ISOLATED_SAMPLE_SIZE: usize = 8;
const SURVEY_INTERVAL: Duration = Duration::from_secs(5);
const SURVEY_RESPONSE_TIME: Duration = Duration::from_millis(1000);
const SURVEY_TIMEOUT: Duration = Duration::from_millis(2000);
/// Silent machines that are taken for cut off, as a number and as one part of so many.
const MIN_PARTITIONED_MACHINES: usize = 12;
const PARTITIONED_FLEET_DIVISOR: usize = 6;

use state::Survey;

impl Term {
    /// Some machines fail to answer: asks a sample of the others, to tell the end of a few
    /// machines from a cut of the network, long before most of their reports are overdue.
    pub(super) fn survey(&mut self, env: &mut Env, ask: usize, silent: Silent, up: Silent) {
        let now = env.steady();
        let due = self.survey.started_at.is_none_or(|t| now.duration_since(t) >= SURVEY_INTERVAL);
        if ask == 0 {
            if due {
                self.survey = Survey::default();
            }
            return;
        }
        if due {
            let free =
                |m: &&Machine| m.up && !m.releasing && !m.unverified && m.direct_call.is_none() && !m.addr.is_empty();
            let others: Vec<Name> = self.machines.values().filter(free).map(|m| m.name.clone()).collect();
            let most = ask.min(self.free_calls(env));
            let sample: Vec<Name> = others.into_iter().sample(&mut env.rng, most);
            sample.iter().for_each(|name| self.probe(env, name));
            (self.survey.started_at, self.survey.sample) = (Some(now), sample);
        }
        if self.survey.started_at.is_some_and(|t| now.duration_since(t) >= SURVEY_RESPONSE_TIME) {
            self.evaluate_sample(up);
        }
        let known = self.survey.unresponsive;
        let silent = Silent { all: silent.all.max(known.all), ordinary: silent.ordinary.max(known.ordinary) };
        // Spot machines alone are more likely taken back.
        let many = |silent: usize, up: usize| silent * PARTITIONED_FLEET_DIVISOR > up;
        let parted = silent.all >= MIN_PARTITIONED_MACHINES
            && many(silent.all, up.all)
            && (up.ordinary == 0 || many(silent.ordinary, up.ordinary));
        if parted {
            if self.survey.partitioned_at.is_none() {
                let (silent, of) = (silent.all, up.all);
                tracing::info!(silent, of, "many machines are silent at once: waiting for their leases to end");
            }
            self.survey.partitioned_at = Some(now);
        } else if self.survey.partitioned_at.is_some_and(|t| now.duration_since(t) >= SURVEY_INTERVAL) {
            // Not before: when a cut ends, the last machines get their time to answer, too.
            self.survey.partitioned_at = None;
        }
    }

    /// What the sample shows, now that its answers are in.
    fn evaluate_sample(&mut self, up: Silent) {
        let mut sample = SurveySample::default();
        for machine in self.survey.sample.iter().filter_map(|name| self.machines.get(name)) {
            sample.note(&machine.zone, machine.spot, machine.failed_probes > 0, machine.failed_calls > 0);
        }
        self.survey.unreachable_zones = sample.cut_zones();
        self.survey.unresponsive = sample.silent_of(up);
        // Be they heard or not: other nodes may hand their reports on.
        self.survey.most_unreachable = sample.most_are_mute();
    }

    /// Whether answers of a sample are still to come: it may be this node that is out of reach.
    pub(super) fn survey_pending(&self, now: Instant) -> bool {
        let pending = |name| self.machines.get(name).is_some_and(|m: &Machine| m.direct_call.is_some());
        self.survey.started_at.is_some_and(|at| now.duration_since(at) < SURVEY_TIMEOUT)
            && self.survey.sample.iter().any(pending)
    }

    /// Whether a silent machine is likely cut off, with many others, and not dead.
    pub fn is_partitioned(&self, machine: &Machine) -> bool {
        machine.failed_probes > 0 && (self.survey.partitioned_at.is_some() || self.zone_is_cut(&machine.zone))
    }

    /// When the lease of a machine that is cut off has likely ended. An earlier leader that is
    /// cut off with it may go on answering it; one that is known to be silent fell before its
    /// key did.
    pub(super) fn likely_lease_end(&self, env: &Env, machine: &Machine) -> Instant {
        let lease = env.facts.lease;
        match machine.fenced {
            Some(_) => machine.last_heard + lease,
            None if self.old_known => self.since + lease.saturating_sub(env.policy.lead_ttl),
            None => self.lease_bounds(env).expires_at(machine),
        }
    }

    /// Whether what is known of the machines is too little to rent by: a new leader learns from
    /// the cloud's list of those without tasks, and the kind of the others; and when many fall
    /// silent it may be this node's network. Each mistake would be a hundred machines.
    pub fn fleet_view_unreliable(&self, env: &Env) -> bool {
        let asking = self.survey.started_at.is_some_and(|at| env.steady().duration_since(at) < SURVEY_RESPONSE_TIME);
        (self.inherited && !self.renting.listed) || self.survey.most_unreachable || asking
    }

    /// Whether many machines are silent or a sample is asked: no time to move work.
    pub fn survey_active(&self) -> bool {
        self.survey.started_at.is_some() || self.survey.partitioned_at.is_some()
    }
}
