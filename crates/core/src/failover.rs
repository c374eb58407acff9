//! Zone failover: feeds the judge of zones with what is seen of the fleet, and carries out what follows.
//!
//! Guards a cut zone's work and the others' room: verdicts change the order and the pace of placement,
//! rentals and returns. A task of a lost zone gets a new place only when its old one is proven empty, by the
//! same proofs as ever (`fleet`).

use std::collections::BTreeMap;
use std::time::Instant;

use rushyoke_failover::{
    Access, DrainReasons, Evacuation, Failover, FleetView, TierQuery, Transition, ZoneState, ZoneView,
};
use rushyoke_wire::store::{Item, Txn};

use crate::calls::Batch;
use crate::env::Env;
use crate::fleet::Machine;
use crate::jobs::*;
use crate::quota::Resources;
use crate::term::Term;

/// What speaks against a machine in a zone on probation for careful work, in seconds, after a first loss:
/// less than most images take to fetch. It grows with the square of the zone's flap factor.
const PROBATION_PENALTY_S: f64 = 4.0;
/// What one tier counts for in the choice of the tasks that make way, in CPU seconds.
const TIER_WEIGHT_CPU_S: f64 = 10_000.0;
/// Bytes of the record of zones that stay unused.
const RECORD_RESERVE_BYTES: usize = 256;

/// Adds a machine to what is seen of its zone.
pub(crate) fn observe_machine(view: &mut ZoneView, machine: &Machine, overdue: bool, in_time: bool) {
    let unreachable = machine.failed_calls() > 0;
    // Its calls may fail while a controller near it hands its reports on, and our answers back.
    let deaf = unreachable && !machine.receives_responses();
    let out = overdue || deaf || machine.reports_missing();
    view.machines += 1;
    view.overdue += usize::from(overdue);
    view.unreachable += usize::from(unreachable);
    view.out_of_contact += usize::from(out);
    view.ordinary += usize::from(!machine.spot);
    view.ordinary_out_of_contact += usize::from(out && !machine.spot);
    view.in_time += usize::from(in_time && !out);
    if out {
        view.tasks_out_of_contact += machine.tasks.len();
    } else {
        view.cpus += machine.total.cpus;
    }
    view.largest_machine_cpus = view.largest_machine_cpus.max(machine.total.cpus);
}

impl Term {
    /// Judges the zones by a look at all machines that has just been made.
    pub fn update_zone_states(&mut self, env: &Env, mut zones: BTreeMap<String, ZoneView>, settling: bool) {
        let now = env.steady();
        for zone in &self.zones {
            zones.entry(zone.clone()).or_default();
        }
        // Machines of earlier records whose zone is not known yet.
        zones.remove("");
        let Some(failover) = &mut self.failover else { return };
        let fleet = FleetView {
            zones,
            sampled_partitioned: self.survey.unreachable_zones().clone(),
            zones_with_controller: self.controllers.zones.clone(),
            other_controllers: self.controllers.total,
            responding_controllers: self.controllers.responding,
            stepped_down: self.controllers.recently_stepped_down,
            workers_reconnecting: settling,
        };
        let observation = failover.observe(now, &fleet);
        if observation.minority && !self.in_minority {
            tracing::info!("most machines and all other controllers are out of reach: likely this node is cut off");
        }
        self.in_minority = observation.minority;
        self.scheduling_due |= !observation.transitions.is_empty();
        for transition in &observation.transitions {
            log_transition(failover, now, transition);
        }
        if let Some(evacuation) = &observation.finished_evacuation {
            log_evacuation(failover, evacuation);
        }
        self.apply_zone_states(now);
    }

    /// Tells the machines what was found of their zones.
    fn apply_zone_states(&mut self, now: Instant) {
        let Some(failover) = &mut self.failover else { return };
        let mut verdicts: BTreeMap<String, (Access, bool)> = BTreeMap::new();
        for machine in self.machines.values_mut() {
            if !verdicts.contains_key(&machine.zone) {
                let unhealthy = failover.state(&machine.zone) != ZoneState::Healthy;
                verdicts.insert(machine.zone.clone(), (failover.access(now, &machine.zone), unhealthy));
            }
            let (access, unhealthy) = verdicts[&machine.zone];
            machine.access = access;
            machine.zone_unhealthy = unhealthy;
            keep_draining(failover, machine);
        }
    }

    // What follows from the verdicts.

    /// Whether a zone's machines are out of reach: new ones would be too. The only place that tells.
    pub fn zone_is_unreachable(&self, zone: &str) -> bool {
        match &self.failover {
            Some(failover) => matches!(failover.state(zone), ZoneState::Suspect | ZoneState::Lost),
            None => self.survey.unreachable_zones().contains(zone),
        }
    }

    /// Whether a zone takes no work at all.
    pub fn zone_is_closed(&self, zone: &str) -> bool {
        let lost = self.zone_is_lost(zone);
        lost || self.failover.as_ref().is_some_and(|failover| failover.settings().excluded_zones.contains(zone))
    }

    fn zone_is_lost(&self, zone: &str) -> bool {
        self.failover.as_ref().is_some_and(|failover| failover.state(zone) == ZoneState::Lost)
    }

    /// Whether any zone is not healthy: no time to tidy up.
    pub fn any_zone_unhealthy(&self) -> bool {
        self.failover.as_ref().is_some_and(|failover| !failover.all_healthy())
    }

    /// Whether placement goes by tiers, since a zone is being evacuated.
    pub fn is_evacuating(&self) -> bool {
        self.failover.as_ref().is_some_and(Failover::is_evacuating)
    }

    /// A job's tier; the lower goes first.
    pub fn tier_of(&self, job: &Job) -> usize {
        let Some(failover) = &self.failover else { return 0 };
        let guaranteed = self.jobs_within_quota.contains(&job.id);
        failover.settings().tier_of(&TierQuery { class: &job.spec.class, priority: job.effective_priority, guaranteed })
    }

    /// What stopping a task of a job counts for beside the work that is lost, in CPU seconds: while a zone is
    /// evacuated the latest tier makes way first, though tasks of an earlier one have just begun.
    pub fn tier_preemption_cost(&self, job: &Job) -> f64 {
        match &self.failover {
            Some(failover) if failover.is_evacuating() => {
                (failover.settings().tier_count() - self.tier_of(job)) as f64 * TIER_WEIGHT_CPU_S
            }
            _ => 0.0,
        }
    }

    /// Whether a job passes over room that is kept for another, since it is of an earlier tier.
    pub fn precedes_in_evacuation(&self, job: &Name, other: &Name) -> bool {
        if !self.is_evacuating() {
            return false;
        }
        let (Some(job), Some(other)) = (self.jobs.get(job), self.jobs.get(other)) else { return false };
        self.tier_of(job) < self.tier_of(other)
    }

    /// Whether all zones where the job's next task may go take no work: it waits in nobody's way.
    pub fn is_bound_to_closed_zones(&self, now: Instant, job: &Job) -> bool {
        let Some(failover) = self.failover.as_ref().filter(|failover| !failover.all_open()) else { return false };
        let closed = |zone: &String| matches!(failover.access(now, zone), Access::Closed | Access::Paused);
        self.allowed_zones(job).is_some_and(|zones| zones.iter().all(closed))
    }

    /// Whether a returning zone takes so many CPUs now.
    pub fn zone_admits(&self, machine: &Machine, need: Resources) -> bool {
        machine.access != Access::Ramped
            || self.failover.as_ref().is_none_or(|failover| failover.admits(&machine.zone, need.cpus))
    }

    /// What speaks against a machine for work that keeps off zones on probation, in seconds.
    pub fn probation_penalty_s(&self, now: Instant, job: &Job, machine: &Machine) -> f64 {
        let Some(failover) = self.failover.as_ref().filter(|_| machine.zone_unhealthy) else { return 0.0 };
        if !failover.settings().avoids_probation(self.tier_of(job)) {
            return 0.0;
        }
        let factor = failover.zone(&machine.zone).map_or(1.0, |zone| zone.flap_factor(now, failover.settings()));
        PROBATION_PENALTY_S * factor * factor
    }

    /// Whether what runs on a machine will want room elsewhere when its lease ends.
    pub fn will_lose_tasks(&self, machine: &Machine) -> bool {
        let cut_off = machine.suspect && self.is_partitioned(machine);
        let lost = self.zone_is_lost(&machine.zone) && (machine.suspect || machine.failed_calls() > 0);
        !machine.releasing && (cut_off || lost)
    }

    /// Whether a silent machine is kept with its zone: for a while beyond its lease, since the zone may be back
    /// before a new machine would have booted, and for a while after the return, since its worker may still
    /// wait for an answer that was lost.
    pub fn is_kept_with_zone(&self, now: Instant, machine: &Machine, lease_end: Instant) -> bool {
        let Some(failover) = &self.failover else { return false };
        let Some(zone) = failover.zone(&machine.zone) else { return false };
        let keep = failover.settings().machine_retention;
        match zone.state() {
            ZoneState::Lost => now < lease_end + keep,
            ZoneState::Returning => now < zone.since() + keep,
            ZoneState::Healthy | ZoneState::Suspect => false,
        }
    }

    // Tasks that lose their places.

    /// Whether a task has begun anew because of zones as often as its class allows: then the end of a lease
    /// is not enough, and it waits for a report of its machine, or for the machine's confirmed end.
    pub fn needs_confirmed_stop(&self, key: &TaskKey, zone: &str) -> bool {
        let Some(failover) = &self.failover else { return false };
        let Some(job) = self.jobs.get(&key.0).filter(|job| !job.cancelled) else { return false };
        let before = job.zone_reruns.get(&key.1).copied().unwrap_or(0);
        failover.state(zone) != ZoneState::Healthy && !failover.may_rerun(&job.spec.class, before)
    }

    /// A task is about to lose its place since its machine's lease or the machine has ended: if its zone is
    /// not healthy, that counts as begun anew because of the zone.
    pub fn note_displaced(&mut self, key: &TaskKey, machine: &Name) {
        let Some(zone) = self.machines.get(machine).map(|machine| machine.zone.clone()) else { return };
        let Some(failover) = self.failover.as_ref().filter(|f| f.state(&zone) != ZoneState::Healthy) else { return };
        let returning = failover.state(&zone) == ZoneState::Returning;
        let Some(job) = self.jobs.get_mut(&key.0).filter(|job| !job.cancelled) else { return };
        if job.placements.get(&key.1).is_none_or(|place| !place.start_sent) {
            return;
        }
        *job.zone_reruns.entry(key.1).or_default() += 1;
        let tier = self.tier_of(&self.jobs[&key.0]);
        let Some(failover) = &mut self.failover else { return };
        failover.task_displaced(key, tier);
        if returning {
            failover.start_lost(&zone);
        }
    }

    /// A task has a new place.
    pub fn note_placed_in_zone(&mut self, now: Instant, key: &TaskKey, machine: &Name) {
        let Some(failover) = &mut self.failover else { return };
        failover.task_placed(now, key);
        if let (Some(machine), Some(job)) = (self.machines.get(machine), self.jobs.get(&key.0)) {
            failover.charge_admission(&machine.zone, job.spec.cpus);
        }
    }

    /// A task was seen running for the first time.
    pub fn note_running_in_zone(&mut self, machine: &Name) {
        if let (Some(failover), Some(machine)) = (&mut self.failover, self.machines.get(machine)) {
            failover.start_confirmed(&machine.zone);
        }
    }

    // The record.

    pub fn zone_record_is_unwritten(&self) -> bool {
        self.failover.as_ref().is_some_and(Failover::has_unwritten_changes)
    }

    pub fn zone_record_not_written(&mut self) {
        if let Some(failover) = &mut self.failover {
            failover.mark_unwritten();
        }
    }

    /// Writes what is known of zones. Only beside a write of the last segment, which keeps a late copy of
    /// this transaction from being applied.
    pub fn write_zone_record(&mut self, env: &Env, txn: &mut Txn, batch: &mut Batch) {
        let Some(failover) =
            self.failover.as_mut().filter(|failover| batch.segment && failover.has_unwritten_changes())
        else {
            return;
        };
        if txn.writes.len() >= env.facts.txn_ops {
            return;
        }
        let room = env.facts.value_bytes.saturating_sub(RECORD_RESERVE_BYTES);
        let record = failover.to_record(env.steady(), env.now.wall_ms, room);
        let value = serde_json::to_value(record).expect("records always encode");
        *txn = std::mem::take(txn).put(rushyoke_failover::RECORD_KEY, value);
        batch.failover = true;
    }

    /// Takes over what an earlier leader knew of zones.
    pub fn load_zone_record(&mut self, env: &Env, item: Option<Item>) {
        let (Some(failover), Some(item)) = (&mut self.failover, item) else { return };
        match serde_json::from_value(item.value) {
            Ok(record) => failover.adopt(&record, env.steady(), env.now.wall_ms),
            Err(error) => tracing::error!(key = item.key, %error, "a record cannot be read"),
        }
    }
}

/// A machine that was being drained when its zone was suspected is drained until the zone is healthy, also
/// under the next leader.
fn keep_draining(failover: &mut Failover, machine: &mut Machine) {
    if !machine.zone_unhealthy {
        failover.forget_drain(&machine.name);
        // Later it may seem to be more than enough only because it is out of reach.
        if !machine.suspect && machine.failed_calls() == 0 {
            let (retiring, quarantined, straggling) = (machine.retiring, machine.quarantined, machine.straggler);
            machine.drain = DrainReasons { retiring, quarantined, straggling };
        }
        return;
    }
    if !machine.drain.any() {
        machine.drain = failover.recorded_drain(&machine.name);
    }
    failover.record_drain(&machine.name, machine.drain);
    machine.quarantined |= machine.drain.quarantined;
    machine.retiring |= machine.drain.retiring;
    machine.straggler |= machine.drain.straggling;
}

fn log_transition(failover: &Failover, now: Instant, transition: &Transition) {
    let Transition { zone, from, to, evidence, episode, took } = transition;
    let settings = failover.settings();
    let known = failover.zone(zone);
    let penalty = known.map_or(0.0, |known| known.penalty(now, settings));
    let probation_s = known.map_or(0, |known| known.probation(settings).as_secs());
    let took_ms = took.as_millis() as u64;
    tracing::info!(zone, %from, %to, ?evidence, episode, took_ms, penalty, probation_s, "zone state");
}

fn log_evacuation(failover: &Failover, evacuation: &Evacuation) {
    for (tier, count) in evacuation.tiers.iter().enumerate().filter(|(_, count)| count.displaced > 0) {
        let name = failover.settings().tier_name(tier);
        let last_placed_ms = count.last_placed_after.as_millis() as u64;
        tracing::info!(tier = name, lost = count.displaced, placed = count.placed, last_placed_ms, "evacuated");
    }
}
