//! All zones of a fleet, and what follows from their states for placement.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::evidence::{FleetView, ZoneView};
use crate::ramp::Ramp;
use crate::record::{DrainReasons, DrainedMachines, FailoverRecord};
use crate::settings::Settings;
use crate::state::ZoneState;
use crate::zone::{Transition, Zone, ZoneContext};
use crate::{Name, TaskKey};

/// How long after a suspicion a zone gets no new work: by then it is lost, or it was a false alarm or a part
/// of it only.
const SUSPECT_PAUSE: Duration = Duration::from_secs(5);
/// Bytes that a zone takes in the record beside its name, and a machine.
const ZONE_BYTES: usize = 160;
const MACHINE_BYTES: usize = 4;

/// Whether a zone takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Access {
    /// All that fits.
    #[default]
    Open,
    /// As much as its ramp admits.
    Ramped,
    /// None for now; its machines still count as capacity.
    Paused,
    /// None, and its machines are no capacity.
    Closed,
}

/// What a look at the fleet led to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// Zones that changed their state.
    pub transitions: Vec<Transition>,
    /// Most of the fleet is out of reach, and no other controller answers: likely it is this node that is
    /// cut off, and another should lead.
    pub minority: bool,
    /// The evacuation that has just ended.
    pub finished_evacuation: Option<Evacuation>,
}

/// What became of one tier in an evacuation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TierCount {
    /// Tasks whose places were lost.
    pub displaced: u64,
    /// Tasks of these that have a new place.
    pub placed: u64,
    /// When the last of them got it, counted from the loss of the zone.
    pub last_placed_after: Duration,
}

/// An evacuation: from the loss of a zone until its work has new places.
#[derive(Clone, Debug, PartialEq)]
pub struct Evacuation {
    /// When the first zone was lost.
    pub since: Instant,
    /// What became of each tier.
    pub tiers: Vec<TierCount>,
}

/// Failover for one term of a leader.
#[derive(Clone, Debug)]
pub struct Failover {
    settings: Settings,
    zones: BTreeMap<String, Zone>,
    evacuation: Option<Evacuation>,
    /// Tasks that lost their place with a zone and wait for another one, with their tiers.
    displaced: BTreeMap<TaskKey, usize>,
    drained: BTreeMap<Name, DrainReasons>,
    unwritten: bool,
}

impl Failover {
    /// A fleet of which nothing is known yet.
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

    /// A zone, if it was ever seen.
    pub fn zone(&self, name: &str) -> Option<&Zone> {
        self.zones.get(name)
    }

    /// A zone's state; one that was never seen is healthy.
    pub fn state(&self, name: &str) -> ZoneState {
        self.zones.get(name).map_or(ZoneState::Healthy, Zone::state)
    }

    /// Whether all zones are healthy.
    pub fn all_healthy(&self) -> bool {
        self.zones.values().all(|zone| zone.state() == ZoneState::Healthy)
    }

    /// Whether all zones take all work.
    pub fn all_open(&self) -> bool {
        self.all_healthy() && self.settings.excluded_zones.is_empty()
    }

    /// Judges all zones by what is seen of them now. A fleet of one zone is not judged.
    pub fn observe(&mut self, now: Instant, fleet: &FleetView) -> Observation {
        let mut observation = Observation::default();
        let populated = fleet.zones.values().filter(|view| view.machines > 0).count();
        if fleet.zones.len() < 2 || populated == 0 {
            return observation;
        }
        let silent = |view: &&ZoneView| view.out_of_contact_share() >= self.settings.suspect_share;
        let whole = fleet.zones.values().filter(|view| view.machines > 0).any(|view| !silent(&view));
        let all: usize = fleet.zones.values().map(|view| view.machines).sum();
        let silent_machines: usize = fleet.zones.values().filter(silent).map(|view| view.out_of_contact).sum();
        let alone = fleet.other_controllers > 0 && fleet.responding_controllers == 0;
        let minority = silent_machines * 2 > all && alone && !fleet.workers_reconnecting;
        observation.minority = minority && !fleet.stepped_down;
        let can_judge = !fleet.workers_reconnecting && whole && !observation.minority;
        // A new leader may know a zone by the record only.
        let names: BTreeSet<&String> = fleet.zones.keys().chain(self.zones.keys()).collect();
        for name in names.into_iter().cloned().collect::<Vec<_>>() {
            let view = &fleet.zones.get(&name).copied().unwrap_or_default();
            let zone = self.zones.entry(name.clone()).or_insert_with(|| Zone::new(now));
            zone.note_first_sign(now, view);
            let around = ZoneContext {
                sampled_partitioned: fleet.sampled_partitioned.contains(&name),
                controller_responds: fleet.zones_with_controller.contains(&name),
                can_judge,
            };
            if let Some((from, evidence, took)) = zone.observe(now, view, around, &self.settings) {
                let (zone_name, to, episode) = (name.clone(), zone.state(), zone.episode());
                observation.transitions.push(Transition { zone: zone_name, from, to, evidence, episode, took });
                self.unwritten = true;
            }
            if self.settings.admitted_zones.contains(&name) {
                zone.end_probation(now);
            }
        }
        observation.finished_evacuation = self.update_evacuation(now, fleet);
        observation
    }

    /// Begins an evacuation when a zone is lost, and ends it when nothing is left to be placed, or has
    /// been for too long: lower tiers must not wait for ever.
    fn update_evacuation(&mut self, now: Instant, fleet: &FleetView) -> Option<Evacuation> {
        let limit = self.settings.max_evacuation;
        let fresh = |zone: &Zone| zone.lost_at().is_some_and(|at| now.saturating_duration_since(at) < limit);
        let unhealthy = |zone: &Zone| matches!(zone.state(), ZoneState::Lost | ZoneState::Returning);
        let lately: Vec<&String> =
            self.zones.iter().filter(|(_, zone)| unhealthy(zone) && fresh(zone)).map(|(name, _)| name).collect();
        let to_come = lately.iter().any(|name| {
            let lost = self.zones[*name].state() == ZoneState::Lost;
            lost && fleet.zones.get(*name).is_some_and(|view| view.tasks_out_of_contact > 0)
        });
        let wanted = !lately.is_empty() && (to_come || !self.displaced.is_empty());
        match (wanted, &self.evacuation) {
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

    /// Whether placement goes by tiers now.
    pub fn is_evacuating(&self) -> bool {
        self.evacuation.is_some()
    }

    /// A task lost its place with a zone.
    pub fn task_displaced(&mut self, key: &TaskKey, tier: usize) {
        if self.displaced.insert(key.clone(), tier).is_none()
            && let Some(evacuation) = &mut self.evacuation
        {
            evacuation.tiers[tier].displaced += 1;
        }
    }

    /// A task got a place.
    pub fn task_placed(&mut self, now: Instant, key: &TaskKey) {
        let Some(tier) = self.displaced.remove(key) else { return };
        if let Some(evacuation) = &mut self.evacuation {
            let count = &mut evacuation.tiers[tier];
            count.placed += 1;
            count.last_placed_after = now.saturating_duration_since(evacuation.since);
        }
    }

    /// A job is over: its tasks wait for nothing.
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

    /// Whether a task of a class may begin anew because of its zone, having done so `before` times.
    pub fn may_rerun(&self, class: &str, before: u32) -> bool {
        self.settings.max_reruns.get(class).is_none_or(|most| before < *most)
    }

    /// Whether a zone takes new work.
    pub fn access(&self, now: Instant, zone: &str) -> Access {
        if self.settings.excluded_zones.contains(zone) {
            return Access::Closed;
        }
        let Some(known) = self.zones.get(zone) else { return Access::Open };
        match known.state() {
            ZoneState::Healthy => Access::Open,
            ZoneState::Suspect if now.saturating_duration_since(known.since()) < SUSPECT_PAUSE => Access::Paused,
            ZoneState::Suspect => Access::Open,
            ZoneState::Lost => Access::Closed,
            ZoneState::Returning if known.ramp().is_none_or(Ramp::is_open) => Access::Open,
            ZoneState::Returning => Access::Ramped,
        }
    }

    /// Whether a zone that returns takes so many CPUs now.
    pub fn admits(&self, zone: &str, cpus: f64) -> bool {
        self.zones.get(zone).and_then(Zone::ramp).is_none_or(|ramp| ramp.admits(cpus))
    }

    /// Work of so many CPUs is placed in a zone.
    pub fn charge_admission(&mut self, zone: &str, cpus: f64) {
        if let Some(ramp) = self.zones.get_mut(zone).and_then(Zone::ramp_mut) {
            ramp.consume(cpus);
        }
    }

    /// A task that was started in a zone runs.
    pub fn start_confirmed(&mut self, zone: &str) {
        if let Some(ramp) = self.zones.get_mut(zone).and_then(Zone::ramp_mut) {
            ramp.start_confirmed();
        }
    }

    /// A task that was started in a zone was lost with its machine.
    pub fn start_lost(&mut self, zone: &str) {
        if let Some(ramp) = self.zones.get_mut(zone).and_then(Zone::ramp_mut) {
            ramp.start_lost();
        }
    }

    // Machines that were being drained when their zone was suspected.

    /// Why a machine was being drained.
    pub fn recorded_drain(&self, machine: &Name) -> DrainReasons {
        self.drained.get(machine).copied().unwrap_or_default()
    }

    /// A machine of a zone that is not healthy was being drained.
    pub fn record_drain(&mut self, machine: &Name, drain: DrainReasons) {
        if drain.any() && self.drained.insert(machine.clone(), drain) != Some(drain) {
            self.unwritten = true;
        }
    }

    /// A machine is gone, or its zone is healthy.
    pub fn forget_drain(&mut self, machine: &Name) {
        self.unwritten |= self.drained.remove(machine).is_some();
    }

    // The durable form.

    /// Whether the record must be written.
    pub fn has_unwritten_changes(&self) -> bool {
        self.unwritten
    }

    /// A write of the record failed, or is in doubt.
    pub fn mark_unwritten(&mut self) {
        self.unwritten = true;
    }

    /// The record, in so many bytes; from now on it counts as written.
    pub fn to_record(&mut self, now: Instant, wall_ms: u64, most_bytes: usize) -> FailoverRecord {
        self.unwritten = false;
        let mut left = most_bytes;
        let mut fits = |bytes: usize| {
            let fits = bytes <= left;
            left -= if fits { bytes } else { 0 };
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

    /// Machines that fail what they start come first, as far as there is room.
    fn drained_record(&self, mut fits: impl FnMut(usize) -> bool) -> DrainedMachines {
        let mut named = |wanted: fn(&DrainReasons) -> bool| {
            let machines = self.drained.iter().filter(|(_, drain)| wanted(drain)).map(|(name, _)| name.to_string());
            machines.filter(|name| fits(name.len() + MACHINE_BYTES)).collect()
        };
        DrainedMachines {
            quarantined: named(|drain| drain.quarantined),
            straggling: named(|drain| drain.straggling),
            retiring: named(|drain| drain.retiring),
        }
    }

    /// Takes over what an earlier leader left.
    pub fn adopt(&mut self, record: &FailoverRecord, now: Instant, wall_ms: u64) {
        for zone in &record.zones {
            self.zones.insert(zone.zone.clone(), Zone::from_record(zone, now, wall_ms, &self.settings));
        }
        self.adopt_drained(&record.drained.quarantined, |drain| drain.quarantined = true);
        self.adopt_drained(&record.drained.straggling, |drain| drain.straggling = true);
        self.adopt_drained(&record.drained.retiring, |drain| drain.retiring = true);
    }

    fn adopt_drained(&mut self, machines: &[String], mark: fn(&mut DrainReasons)) {
        for name in machines {
            mark(self.drained.entry(Name::from(name.as_str())).or_default());
        }
    }
}
