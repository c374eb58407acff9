//! Zone failover: passes observations of the fleet to the failure detector of zones, and applies the zone states
//! that it returns.
//!
//! Zone states change only the order and the rate of placement, rentals and releases. A task of a lost zone gets
//! a new placement only once its old one has provably ended, by the same rules as for any other task (`fleet`).

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

/// Placement penalty of a machine whose zone is on probation, for tiers that avoid such zones, after the zone's
/// first loss. It is less than the time that most images take to fetch, and grows with the square of the zone's flap
/// factor.
const PROBATION_PENALTY_S: f64 = 4.0;
/// Difference in the preemption cost between two successive tiers, in CPU seconds.
const TIER_WEIGHT_CPU_S: f64 = 10_000.0;
/// Bytes of the largest value of the state service that the record of zones leaves unused.
const RECORD_RESERVE_BYTES: usize = 256;

/// Adds a machine to the observations of its zone; `in_time` is whether its reports are on time.
pub(crate) fn observe_machine(view: &mut ZoneView, machine: &Machine, overdue: bool, in_time: bool) {
    let unreachable = machine.failed_calls() > 0;
    // Direct calls may fail while another controller relays its reports and this leader's responses.
    let unreachable_without_relay = unreachable && !machine.receives_responses();
    let out_of_contact = overdue || unreachable_without_relay || machine.reports_missing();
    view.machines += 1;
    view.overdue += usize::from(overdue);
    view.unreachable += usize::from(unreachable);
    view.out_of_contact += usize::from(out_of_contact);
    view.on_demand += usize::from(!machine.spot);
    view.on_demand_out_of_contact += usize::from(out_of_contact && !machine.spot);
    view.in_time += usize::from(in_time && !out_of_contact);
    if out_of_contact {
        view.tasks_out_of_contact += machine.tasks.len();
    } else {
        view.cpus += machine.total.cpus;
    }
    view.largest_machine_cpus = view.largest_machine_cpus.max(machine.total.cpus);
}

impl Term {
    /// Updates the zone states from new observations of all machines. `workers_reconnecting` is whether workers are
    /// still looking for this new leader.
    pub fn update_zone_states(&mut self, env: &Env, mut zones: BTreeMap<String, ZoneView>, workers_reconnecting: bool) {
        let now = env.steady();
        for zone in &self.zones {
            zones.entry(zone.clone()).or_default();
        }
        // The empty name stands for the unknown zone of machines that are known only from records.
        zones.remove("");
        let Some(failover) = &mut self.failover else { return };
        let fleet = FleetView {
            zones,
            sampled_partitioned: self.survey.unreachable_zones().clone(),
            zones_with_controller: self.controllers.zones.clone(),
            other_controllers: self.controllers.total,
            responding_controllers: self.controllers.responding,
            stepped_down: self.controllers.recently_stepped_down,
            workers_reconnecting,
        };
        let observation = failover.observe(now, &fleet);
        if observation.minority && !self.in_minority {
            tracing::info!("most machines and all other controllers are unreachable: this node is likely partitioned");
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

    /// Copies the zone states to the machines.
    fn apply_zone_states(&mut self, now: Instant) {
        let Some(failover) = &mut self.failover else { return };
        let mut zone_states: BTreeMap<String, (Access, bool)> = BTreeMap::new();
        for machine in self.machines.values_mut() {
            if !zone_states.contains_key(&machine.zone) {
                let unhealthy = failover.state(&machine.zone) != ZoneState::Healthy;
                zone_states.insert(machine.zone.clone(), (failover.access(now, &machine.zone), unhealthy));
            }
            let (access, unhealthy) = zone_states[&machine.zone];
            machine.zone_access = access;
            machine.zone_unhealthy = unhealthy;
            keep_draining(failover, machine);
        }
    }

    // Effects of the zone states.

    /// Whether a zone's machines are unreachable, as new machines in it would be. All decisions that depend on the
    /// reachability of a zone use this function.
    pub fn zone_is_unreachable(&self, zone: &str) -> bool {
        match &self.failover {
            Some(failover) => matches!(failover.state(zone), ZoneState::Suspect | ZoneState::Lost),
            None => self.survey.unreachable_zones().contains(zone),
        }
    }

    /// Whether no task may be placed in a zone: it is lost or excluded by the settings.
    pub fn zone_is_closed(&self, zone: &str) -> bool {
        let lost = self.zone_is_lost(zone);
        lost || self.failover.as_ref().is_some_and(|failover| failover.settings().excluded_zones.contains(zone))
    }

    /// Whether a zone is in the state lost.
    fn zone_is_lost(&self, zone: &str) -> bool {
        self.failover.as_ref().is_some_and(|failover| failover.state(zone) == ZoneState::Lost)
    }

    /// Whether any zone is not healthy. No task is then moved just to release a machine.
    pub fn any_zone_unhealthy(&self) -> bool {
        self.failover.as_ref().is_some_and(|failover| !failover.all_healthy())
    }

    /// Whether a zone is being evacuated, so that jobs are placed in the order of their tiers.
    pub fn is_evacuating(&self) -> bool {
        self.failover.as_ref().is_some_and(Failover::is_evacuating)
    }

    /// Returns the number of a job's tier; tiers with lower numbers are placed first.
    pub fn tier_of(&self, job: &Job) -> usize {
        let Some(failover) = &self.failover else { return 0 };
        let guaranteed = self.jobs_within_quota.contains(&job.id);
        failover.settings().tier_of(&TierQuery { class: &job.spec.class, priority: job.effective_priority, guaranteed })
    }

    /// Returns the cost that a job's tier adds to the work lost by preempting one of its tasks, in CPU seconds. While a
    /// zone is evacuated, tasks of the last tier are preempted first, even if tasks of an earlier tier have just
    /// started.
    pub fn tier_preemption_cost(&self, job: &Job) -> f64 {
        match &self.failover {
            Some(failover) if failover.is_evacuating() => {
                (failover.settings().tier_count() - self.tier_of(job)) as f64 * TIER_WEIGHT_CPU_S
            }
            _ => 0.0,
        }
    }

    /// Whether a zone is being evacuated and `job` is of an earlier tier than `other`, so that it may use resources
    /// reserved for `other`.
    pub fn precedes_in_evacuation(&self, job: &Name, other: &Name) -> bool {
        if !self.is_evacuating() {
            return false;
        }
        let (Some(job), Some(other)) = (self.jobs.get(job), self.jobs.get(other)) else { return false };
        self.tier_of(job) < self.tier_of(other)
    }

    /// Whether all zones where the job's next task may be placed are closed or paused. Such a job does not hold
    /// back others.
    pub fn is_bound_to_closed_zones(&self, now: Instant, job: &Job) -> bool {
        let Some(failover) = self.failover.as_ref().filter(|failover| !failover.all_open()) else { return false };
        let closed = |zone: &String| matches!(failover.access(now, zone), Access::Closed | Access::Paused);
        self.allowed_zones(job).is_some_and(|zones| zones.iter().all(closed))
    }

    /// Whether a task of this size may be placed in the machine's zone now: a returning zone is filled at a limited
    /// rate.
    pub fn zone_admits(&self, machine: &Machine, need: Resources) -> bool {
        machine.zone_access != Access::Ramped
            || self.failover.as_ref().is_none_or(|failover| failover.admits(&machine.zone, need.cpus))
    }

    /// Returns the placement penalty, in seconds, of a machine in an unhealthy zone for a job whose tier avoids
    /// zones on probation; 0 in all other cases.
    pub fn probation_penalty_s(&self, now: Instant, job: &Job, machine: &Machine) -> f64 {
        let Some(failover) = self.failover.as_ref().filter(|_| machine.zone_unhealthy) else { return 0.0 };
        if !failover.settings().avoids_probation(self.tier_of(job)) {
            return 0.0;
        }
        let factor = failover.zone(&machine.zone).map_or(1.0, |zone| zone.flap_factor(now, failover.settings()));
        PROBATION_PENALTY_S * factor * factor
    }

    /// Whether the tasks of a machine will probably need another machine when its lease expires.
    pub fn will_lose_tasks(&self, machine: &Machine) -> bool {
        let partitioned = machine.suspect && self.is_partitioned(machine);
        let lost = self.zone_is_lost(&machine.zone) && (machine.suspect || machine.failed_calls() > 0);
        !machine.releasing && (partitioned || lost)
    }

    /// Whether an unresponsive machine is kept because of its zone. It is kept for some time after its lease has
    /// expired, since the zone may return before a new machine would have booted, and for some time after the zone's
    /// return, since its worker may still wait for a response that was lost.
    pub fn is_kept_with_zone(&self, now: Instant, machine: &Machine, lease_end: Instant) -> bool {
        let Some(failover) = &self.failover else { return false };
        let Some(zone) = failover.zone(&machine.zone) else { return false };
        let retention = failover.settings().machine_retention;
        match zone.state() {
            ZoneState::Lost => now < lease_end + retention,
            ZoneState::Returning => now < zone.since() + retention,
            ZoneState::Healthy | ZoneState::Suspect => false,
        }
    }

    // Tasks that lose their placements.

    /// Whether a task in an unhealthy zone has been restarted because of zones as often as its class allows. An expired
    /// lease then does not suffice to place it again: its machine must report, or the machine's end must be confirmed.
    pub fn needs_confirmed_stop(&self, key: &TaskKey, zone: &str) -> bool {
        let Some(failover) = &self.failover else { return false };
        let Some(job) = self.jobs.get(&key.0).filter(|job| !job.cancelled) else { return false };
        let reruns = job.zone_reruns.get(&key.1).copied().unwrap_or(0);
        failover.state(zone) != ZoneState::Healthy && !failover.may_rerun(&job.spec.class, reruns)
    }

    /// Counts a restart because of the zone for a task that is about to lose its placement, since its machine's lease
    /// has expired or the machine has ended. Nothing is counted if the zone is healthy.
    pub fn note_displaced(&mut self, key: &TaskKey, machine: &Name) {
        let Some(zone) = self.machines.get(machine).map(|machine| machine.zone.clone()) else { return };
        let Some(failover) = self.failover.as_ref().filter(|failover| failover.state(&zone) != ZoneState::Healthy)
        else {
            return;
        };
        let returning = failover.state(&zone) == ZoneState::Returning;
        let Some(job) = self.jobs.get_mut(&key.0).filter(|job| !job.cancelled) else { return };
        if job.placements.get(&key.1).is_none_or(|placement| !placement.start.may_be_sent()) {
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

    /// Notes a task's new placement for the zone's evacuation and the rate of a returning zone.
    pub fn note_placed_in_zone(&mut self, now: Instant, key: &TaskKey, machine: &Name) {
        let Some(failover) = &mut self.failover else { return };
        failover.task_placed(now, key);
        if let (Some(machine), Some(job)) = (self.machines.get(machine), self.jobs.get(&key.0)) {
            failover.charge_admission(&machine.zone, job.spec.cpus);
        }
    }

    /// Notes that a task was first reported running, for the zone's state.
    pub fn note_running_in_zone(&mut self, machine: &Name) {
        if let (Some(failover), Some(machine)) = (&mut self.failover, self.machines.get(machine)) {
            failover.start_confirmed(&machine.zone);
        }
    }

    // The record of zones.

    /// Whether the record of zones has unwritten changes.
    pub fn zone_record_is_unwritten(&self) -> bool {
        self.failover.as_ref().is_some_and(Failover::has_unwritten_changes)
    }

    /// Marks the record of zones as unwritten after its write failed.
    pub fn zone_record_not_written(&mut self) {
        if let Some(failover) = &mut self.failover {
            failover.mark_unwritten();
        }
    }

    /// Adds the record of zones to a transaction if it has changed and the transaction writes the last segment of the
    /// log: that segment's condition prevents a late copy of the transaction from being applied.
    pub fn write_zone_record(&mut self, env: &Env, txn: &mut Txn, batch: &mut Batch) {
        let Some(failover) =
            self.failover.as_mut().filter(|failover| batch.segment && failover.has_unwritten_changes())
        else {
            return;
        };
        if txn.writes.len() >= env.facts.txn_ops {
            return;
        }
        let max_bytes = env.facts.value_bytes.saturating_sub(RECORD_RESERVE_BYTES);
        let record = failover.to_record(env.steady(), env.now.wall_ms, max_bytes);
        let value = serde_json::to_value(record).expect("records always encode");
        *txn = std::mem::take(txn).put(rushyoke_failover::RECORD_KEY, value);
        batch.failover = true;
    }

    /// Adopts the record of zones that an earlier leader wrote.
    pub fn load_zone_record(&mut self, env: &Env, item: Option<Item>) {
        let (Some(failover), Some(item)) = (&mut self.failover, item) else { return };
        match serde_json::from_value(item.value) {
            Ok(record) => failover.adopt(&record, env.steady(), env.now.wall_ms),
            Err(error) => tracing::error!(key = item.key, %error, "a record cannot be read"),
        }
    }
}

/// Keeps a machine draining until its zone is healthy, also under the next leader, if it was draining when the
/// zone became suspect.
fn keep_draining(failover: &mut Failover, machine: &mut Machine) {
    if !machine.zone_unhealthy {
        failover.forget_drain(&machine.name);
        // Not recorded for a suspect machine, which may be retiring only because it is unreachable.
        if !machine.suspect && machine.failed_calls() == 0 {
            let (retiring, quarantined, straggling) = (machine.retiring, machine.quarantined, machine.straggler);
            machine.drain_reasons = DrainReasons { retiring, quarantined, straggling };
        }
        return;
    }
    if !machine.drain_reasons.any() {
        machine.drain_reasons = failover.recorded_drain(&machine.name);
    }
    failover.record_drain(&machine.name, machine.drain_reasons);
    machine.quarantined |= machine.drain_reasons.quarantined;
    machine.retiring |= machine.drain_reasons.retiring;
    machine.straggler |= machine.drain_reasons.straggling;
}

/// Logs a change of a zone's state.
fn log_transition(failover: &Failover, now: Instant, transition: &Transition) {
    let Transition { zone, from, to, evidence, episode, since_first_sign } = transition;
    let settings = failover.settings();
    let tracked = failover.zone(zone);
    let penalty = tracked.map_or(0.0, |tracked| tracked.penalty(now, settings));
    let probation_s = tracked.map_or(0, |tracked| tracked.probation(settings).as_secs());
    let took_ms = since_first_sign.as_millis() as u64;
    tracing::info!(zone, %from, %to, ?evidence, episode, took_ms, penalty, probation_s, "zone state");
}

/// Logs the counts of an evacuation, by tier.
fn log_evacuation(failover: &Failover, evacuation: &Evacuation) {
    for (tier, count) in evacuation.tiers.iter().enumerate().filter(|(_, count)| count.displaced > 0) {
        let name = failover.settings().tier_name(tier);
        let last_placed_ms = count.last_placed_after.as_millis() as u64;
        tracing::info!(tier = name, lost = count.displaced, placed = count.placed, last_placed_ms, "evacuated");
    }
}
