//! Failover of all zones of a fleet, and the consequences of their states for placement.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::evidence::{FleetView, ZoneView};
use crate::ramp::Ramp;
use crate::record::{DrainReasons, DrainedMachines, FailoverRecord};
use crate::settings::Settings;
use crate::state::ZoneState;
use crate::zone::{Transition, Zone, ZoneContext};
use crate::{Name, TaskKey};

/// How long a zone is given no new work after it became suspect. If it is not lost by then, it was a false alarm
/// or only a part of the zone failed.
const SUSPECT_PAUSE: Duration = Duration::from_secs(5);
/// Size of a zone in the record without its name, in bytes.
const ZONE_BYTES: usize = 160;
/// Size of a machine in the record without its name, in bytes.
const MACHINE_BYTES: usize = 4;

/// How much new work a zone accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Access {
    /// As much as fits.
    #[default]
    Open,
    /// As much as its ramp admits.
    Ramped,
    /// None for the moment, but its machines still count as capacity.
    Paused,
    /// None, and its machines don't count as capacity.
    Closed,
}

/// The results of one observation of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// Changes of zone states.
    pub transitions: Vec<Transition>,
    /// Whether most of the fleet is out of contact and no other controller responds: this node is likely
    /// partitioned, and another one should lead.
    pub minority: bool,
    /// The evacuation that has just ended.
    pub finished_evacuation: Option<Evacuation>,
}

/// The tasks of one tier in an evacuation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TierCount {
    /// Tasks that lost their placement.
    pub displaced: u64,
    /// Tasks among them that have a new placement.
    pub placed: u64,
    /// Time from the loss of the zone until the last of them was placed.
    pub last_placed_after: Duration,
}

/// An evacuation, which lasts from the loss of a zone until its tasks have new placements.
#[derive(Clone, Debug, PartialEq)]
pub struct Evacuation {
    /// When the first zone was lost.
    pub since: Instant,
    /// Counts of tasks by tier.
    pub tiers: Vec<TierCount>,
}

/// Zone failover during one term of a leader.
#[derive(Clone, Debug)]
pub struct Failover {
    settings: Settings,
    zones: BTreeMap<String, Zone>,
    evacuation: Option<Evacuation>,
    /// Tasks that lost their placement with a zone and wait for another one, with their tiers.
    displaced: BTreeMap<TaskKey, usize>,
    /// Machines that were being drained when their zone was suspected.
    drained: BTreeMap<Name, DrainReasons>,
    unwritten: bool,
}

impl Failover {
    /// Creates the failover state of a fleet that has not been observed yet.
    pub fn new(settings: Settings) -> Failover {
        Failover {
            settings,
            zones: BTreeMap::new(),
            evacuation: None,
            displaced: BTreeMap::new(),
            drained: BTreeMap::new(),
            unwritten: false,
        }
    }

    /// The operators' settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns a zone, if it was ever observed.
    pub fn zone(&self, name: &str) -> Option<&Zone> {
        self.zones.get(name)
    }

    /// Returns a zone's state; a zone that was never observed is healthy.
    pub fn state(&self, name: &str) -> ZoneState {
        self.zones.get(name).map_or(ZoneState::Healthy, Zone::state)
    }

    /// Whether all zones are healthy.
    pub fn all_healthy(&self) -> bool {
        self.zones.values().all(|zone| zone.state() == ZoneState::Healthy)
    }

    /// Whether all zones accept work without restriction.
    pub fn all_open(&self) -> bool {
        self.all_healthy() && self.settings.excluded_zones.is_empty()
    }

    /// Applies an observation of the fleet to all zones. The zones of a single-zone fleet are not judged.
    pub fn observe(&mut self, now: Instant, fleet: &FleetView) -> Observation {
        let mut observation = Observation::default();
        let zones_with_machines = fleet.zones.values().filter(|view| view.machines > 0).count();
        if fleet.zones.len() < 2 || zones_with_machines == 0 {
            return observation;
        }
        let mostly_out_of_contact = |view: &&ZoneView| view.out_of_contact_share() >= self.settings.suspect_share;
        let any_in_contact =
            fleet.zones.values().filter(|view| view.machines > 0).any(|view| !mostly_out_of_contact(&view));
        let machines: usize = fleet.zones.values().map(|view| view.machines).sum();
        let machines_out: usize =
            fleet.zones.values().filter(mostly_out_of_contact).map(|view| view.out_of_contact).sum();
        let isolated = fleet.other_controllers > 0 && fleet.responding_controllers == 0;
        let in_minority = machines_out * 2 > machines && isolated && !fleet.workers_reconnecting;
        observation.minority = in_minority && !fleet.stepped_down;
        let can_judge = !fleet.workers_reconnecting && any_in_contact && !observation.minority;
        // A new leader may know a zone only from the record.
        let names: BTreeSet<&String> = fleet.zones.keys().chain(self.zones.keys()).collect();
        for name in names.into_iter().cloned().collect::<Vec<_>>() {
            let view = &fleet.zones.get(&name).copied().unwrap_or_default();
            let zone = self.zones.entry(name.clone()).or_insert_with(|| Zone::new(now));
            zone.note_first_sign(now, view);
            let context = ZoneContext {
                sampled_partitioned: fleet.sampled_partitioned.contains(&name),
                controller_responds: fleet.zones_with_controller.contains(&name),
                can_judge,
            };
            if let Some((from, evidence, since_first_sign)) = zone.observe(now, view, context, &self.settings) {
                let (zone_name, to, episode) = (name.clone(), zone.state(), zone.episode());
                observation.transitions.push(Transition {
                    zone: zone_name,
                    from,
                    to,
                    evidence,
                    episode,
                    since_first_sign,
                });
                self.unwritten = true;
            }
            if self.settings.admitted_zones.contains(&name) {
                zone.end_probation(now);
            }
        }
        observation.finished_evacuation = self.update_evacuation(now, fleet);
        observation
    }

    /// Begins an evacuation when a zone is lost, and ends it when no displaced task remains to be placed or the
    /// time limit has passed, so that later tiers do not wait forever.
    fn update_evacuation(&mut self, now: Instant, fleet: &FleetView) -> Option<Evacuation> {
        let limit = self.settings.max_evacuation;
        let is_recent_loss = |zone: &Zone| zone.lost_at().is_some_and(|at| now.saturating_duration_since(at) < limit);
        let is_lost_or_returning = |zone: &Zone| matches!(zone.state(), ZoneState::Lost | ZoneState::Returning);
        let recently_lost_zones: Vec<&String> = self
            .zones
            .iter()
            .filter(|(_, zone)| is_lost_or_returning(zone) && is_recent_loss(zone))
            .map(|(name, _)| name)
            .collect();
        let more_will_be_displaced = recently_lost_zones.iter().any(|name| {
            let lost = self.zones[*name].state() == ZoneState::Lost;
            lost && fleet.zones.get(*name).is_some_and(|view| view.tasks_out_of_contact > 0)
        });
        let should_evacuate = !recently_lost_zones.is_empty() && (more_will_be_displaced || !self.displaced.is_empty());
        match (should_evacuate, &self.evacuation) {
            (true, None) => {
                let tiers = vec![TierCount::default(); self.settings.tier_count()];
                self.evacuation = Some(Evacuation { since: now, tiers });
                None
            }
            (false, Some(_)) => {
                self.displaced.clear();
                self.evacuation.take()
            }
            _ => None,
        }
    }

    /// Whether an evacuation is in progress, during which placement follows the order of tiers.
    pub fn is_evacuating(&self) -> bool {
        self.evacuation.is_some()
    }

    /// Records that a task lost its placement with a zone.
    pub fn task_displaced(&mut self, key: &TaskKey, tier: usize) {
        if self.displaced.insert(key.clone(), tier).is_none()
            && let Some(evacuation) = &mut self.evacuation
        {
            evacuation.tiers[tier].displaced += 1;
        }
    }

    /// Records that a task was placed.
    pub fn task_placed(&mut self, now: Instant, key: &TaskKey) {
        let Some(tier) = self.displaced.remove(key) else { return };
        if let Some(evacuation) = &mut self.evacuation {
            let count = &mut evacuation.tiers[tier];
            count.placed += 1;
            count.last_placed_after = now.saturating_duration_since(evacuation.since);
        }
    }

    /// Forgets the displaced tasks of a job that has ended.
    pub fn job_ended(&mut self, job: &Name) {
        if self.displaced.is_empty() {
            return;
        }
        let keys: Vec<TaskKey> =
            self.displaced.range((job.clone(), 0)..=(job.clone(), u32::MAX)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.displaced.remove(&key);
        }
    }

    /// Whether a task of a class may be restarted because of a zone failure after `reruns` such restarts.
    pub fn may_rerun(&self, class: &str, reruns: u32) -> bool {
        self.settings.max_reruns.get(class).is_none_or(|max| reruns < *max)
    }

    /// Returns how much new work a zone accepts.
    pub fn access(&self, now: Instant, zone: &str) -> Access {
        if self.settings.excluded_zones.contains(zone) {
            return Access::Closed;
        }
        let Some(observed) = self.zones.get(zone) else { return Access::Open };
        match observed.state() {
            ZoneState::Healthy => Access::Open,
            ZoneState::Suspect if now.saturating_duration_since(observed.since()) < SUSPECT_PAUSE => Access::Paused,
            ZoneState::Suspect => Access::Open,
            ZoneState::Lost => Access::Closed,
            ZoneState::Returning if observed.ramp().is_none_or(Ramp::is_open) => Access::Open,
            ZoneState::Returning => Access::Ramped,
        }
    }

    /// Whether the ramp of a zone, if it has one, admits work for this many CPUs now.
    pub fn admits(&self, zone: &str, cpus: f64) -> bool {
        self.zones.get(zone).and_then(Zone::ramp).is_none_or(|ramp| ramp.admits(cpus))
    }

    /// Charges the ramp of a zone for work of this many CPUs that was placed there.
    pub fn charge_admission(&mut self, zone: &str, cpus: f64) {
        if let Some(ramp) = self.zones.get_mut(zone).and_then(Zone::ramp_mut) {
            ramp.consume(cpus);
        }
    }

    /// Records that a task that was started in a zone is running.
    pub fn start_confirmed(&mut self, zone: &str) {
        if let Some(ramp) = self.zones.get_mut(zone).and_then(Zone::ramp_mut) {
            ramp.start_confirmed();
        }
    }

    /// Records that a task that was started in a zone was lost with its machine.
    pub fn start_lost(&mut self, zone: &str) {
        if let Some(ramp) = self.zones.get_mut(zone).and_then(Zone::ramp_mut) {
            ramp.start_lost();
        }
    }

    // Machines that were being drained when their zone was suspected.

    /// Returns why a machine was being drained when its zone was suspected.
    pub fn recorded_drain(&self, machine: &Name) -> DrainReasons {
        self.drained.get(machine).copied().unwrap_or_default()
    }

    /// Records that a machine of an unhealthy zone was being drained.
    pub fn record_drain(&mut self, machine: &Name, drain: DrainReasons) {
        if drain.any() && self.drained.insert(machine.clone(), drain) != Some(drain) {
            self.unwritten = true;
        }
    }

    /// Forgets the drain of a machine that is gone or whose zone is healthy.
    pub fn forget_drain(&mut self, machine: &Name) {
        self.unwritten |= self.drained.remove(machine).is_some();
    }

    // The durable form.

    /// Whether the record must be written.
    pub fn has_unwritten_changes(&self) -> bool {
        self.unwritten
    }

    /// Marks the record to be written, because its last write failed or has an unknown outcome.
    pub fn mark_unwritten(&mut self) {
        self.unwritten = true;
    }

    /// Returns the record in at most `max_bytes`; it counts as written from now on.
    pub fn to_record(&mut self, now: Instant, wall_ms: u64, max_bytes: usize) -> FailoverRecord {
        self.unwritten = false;
        let mut remaining_bytes = max_bytes;
        let mut fits = |bytes: usize| {
            let fits = bytes <= remaining_bytes;
            remaining_bytes -= if fits { bytes } else { 0 };
            fits
        };
        let mut record = FailoverRecord::default();
        for (name, zone) in &self.zones {
            if let Some(zone) = zone.to_record(name, now, wall_ms, &self.settings)
                && fits(ZONE_BYTES + name.len())
            {
                record.zones.push(zone);
            }
        }
        record.drained = self.drained_record(fits);
        record
    }

    /// Returns the drained machines that fit into the record, quarantined ones first.
    fn drained_record(&self, mut fits: impl FnMut(usize) -> bool) -> DrainedMachines {
        let mut machines_with = |has_reason: fn(&DrainReasons) -> bool| {
            let machines = self.drained.iter().filter(|(_, drain)| has_reason(drain)).map(|(name, _)| name.to_string());
            machines.filter(|name| fits(name.len() + MACHINE_BYTES)).collect()
        };
        DrainedMachines {
            quarantined: machines_with(|drain| drain.quarantined),
            straggling: machines_with(|drain| drain.straggling),
            retiring: machines_with(|drain| drain.retiring),
        }
    }

    /// Restores the state from the record of an earlier leader.
    pub fn adopt(&mut self, record: &FailoverRecord, now: Instant, wall_ms: u64) {
        for zone in &record.zones {
            self.zones.insert(zone.zone.clone(), Zone::from_record(zone, now, wall_ms, &self.settings));
        }
        self.adopt_drained(&record.drained.quarantined, |drain| drain.quarantined = true);
        self.adopt_drained(&record.drained.straggling, |drain| drain.straggling = true);
        self.adopt_drained(&record.drained.retiring, |drain| drain.retiring = true);
    }

    fn adopt_drained(&mut self, machines: &[String], set_reason: fn(&mut DrainReasons)) {
        for name in machines {
            set_reason(self.drained.entry(Name::from(name.as_str())).or_default());
        }
    }
}
