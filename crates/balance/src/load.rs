//! The load model: for each machine, zone and team what is used, promised and booked, and where it is
//! heading. Kept by changes: no message makes it look at all machines or tasks.
//!
//! *Used* is what tasks take that were seen running, *promised* what placed tasks will take that were
//! not (their image may still be coming), *claimed* what preemption keeps for a job, *booked* what
//! open moves bring, *departing* what they take away. A machine's *use* is where it is heading: the first
//! four less the last. So one that is just filling up does not look idle, and one that moves already
//! leave does not look as full as it is.

use std::collections::{BTreeMap, BTreeSet};

use crate::evenness::Evenness;
use crate::resources::Resources;
use crate::{Name, TaskKey};

/// Steps of the index by use.
const STEPS: f64 = 1000.0;

/// What the core says of a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineInfo {
    /// Its zone.
    pub zone: Name,
    /// All that it has.
    pub total: Resources,
    /// Whether tasks may be moved to it.
    pub accepts_moves: bool,
    /// What preemption keeps on it for a job.
    pub claimed: Resources,
}

/// A task on a machine, as the model counts it.
#[derive(Clone, Debug)]
struct PlacedTask {
    team: Name,
    need: Resources,
    running: bool,
}

#[derive(Clone, Debug, Default)]
struct MachineLoad {
    zone: Option<Name>,
    total: Resources,
    accepts_moves: bool,
    used: Resources,
    starting: Resources,
    claimed: Resources,
    booked: Resources,
    departing: Resources,
    /// Its step in the index, and its use as it was counted there.
    indexed: Option<(u32, f64)>,
}

impl MachineLoad {
    fn allocated(&self) -> Resources {
        self.used.plus(self.starting).plus(self.claimed).plus(self.booked)
    }

    fn utilization(&self) -> f64 {
        self.allocated().minus(self.departing).dominant_share(self.total)
    }
}

/// What a team has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamLoad {
    /// By tasks that were seen running.
    pub used: Resources,
    /// By tasks that were placed and not yet seen running.
    pub starting: Resources,
}

impl TeamLoad {
    /// Both together.
    pub fn all(&self) -> Resources {
        self.used.plus(self.starting)
    }
}

/// What a zone has, and what is taken of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// What its machines have.
    pub total: Resources,
    /// Used, promised, claimed and booked.
    pub allocated: Resources,
}

/// The load of all machines, zones and teams.
#[derive(Debug, Default)]
pub struct LoadModel {
    machines: BTreeMap<Name, MachineLoad>,
    tasks: BTreeMap<TaskKey, (Name, PlacedTask)>,
    teams: BTreeMap<Name, TeamLoad>,
    zones: BTreeMap<Name, ZoneLoad>,
    /// Machines in the order of their use.
    by_utilization: BTreeSet<(u32, Name)>,
    /// Those that are open among them.
    destinations_by_utilization: BTreeSet<(u32, Name)>,
    evenness: Evenness,
    total: Resources,
    allocated: Resources,
}

impl LoadModel {
    /// Machines that are known with all that they have.
    pub fn machines(&self) -> usize {
        self.evenness.machines()
    }

    /// How evenly they are used.
    pub fn evenness(&self) -> &Evenness {
        &self.evenness
    }

    /// What all machines have.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// What nobody uses, is promised or has booked.
    pub fn free(&self) -> Resources {
        let free = self.total.minus(self.allocated);
        Resources { cpus: free.cpus.max(0.0), gpus: free.gpus.max(0.0), memory_gb: free.memory_gb.max(0.0) }
    }

    /// What a team has.
    pub fn team(&self, team: &str) -> TeamLoad {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// What a zone has.
    pub fn zone(&self, zone: &str) -> ZoneLoad {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// The share of a machine that will be used once open moves are done.
    pub fn utilization(&self, machine: &str) -> Option<f64> {
        self.machines.get(machine).map(MachineLoad::utilization)
    }

    /// What all machines but this one would not change: the share that `need` is of it.
    pub fn share_of(&self, machine: &str, need: Resources) -> f64 {
        self.machines.get(machine).map_or(0.0, |load| need.dominant_share(load.total))
    }

    /// Whether tasks may be moved to the machine.
    pub fn accepts_moves(&self, machine: &str) -> bool {
        self.machines.get(machine).is_some_and(|load| load.accepts_moves)
    }

    /// Room on a machine that is booked by open moves.
    pub fn booked(&self, machine: &str) -> Resources {
        self.machines.get(machine).map(|load| load.booked).unwrap_or_default()
    }

    /// The machines that are used the most.
    pub fn most_loaded(&self, count: usize) -> Vec<Name> {
        self.by_utilization.iter().rev().take(count).map(|(_, name)| name.clone()).collect()
    }

    /// The open machines that are used the least.
    pub fn least_loaded(&self, count: usize) -> Vec<Name> {
        self.destinations_by_utilization.iter().take(count).map(|(_, name)| name.clone()).collect()
    }

    /// Applies a change to a machine, and brings sums and index in line with it.
    fn change(&mut self, name: &Name, change: impl FnOnce(&mut MachineLoad)) {
        let load = self.machines.entry(name.clone()).or_default();
        let (zone, total, allocated) = (load.zone.clone(), load.total, load.allocated());
        change(load);
        self.total = self.total.minus(total).plus(load.total);
        self.allocated = self.allocated.minus(allocated).plus(load.allocated());
        if let Some(zone) = zone {
            let sums = self.zones.entry(zone).or_default();
            sums.total.sub(total);
            sums.allocated.sub(allocated);
        }
        if let Some(zone) = &load.zone {
            let sums = self.zones.entry(zone.clone()).or_default();
            sums.total.add(load.total);
            sums.allocated.add(load.allocated());
        }
        self.reindex(name);
    }

    fn reindex(&mut self, name: &Name) {
        let Some(load) = self.machines.get_mut(name) else { return };
        if let Some((step, share)) = load.indexed.take() {
            self.evenness.remove(share);
            self.by_utilization.remove(&(step, name.clone()));
            self.destinations_by_utilization.remove(&(step, name.clone()));
        }
        // One of which only a name is known has no share.
        if load.total.is_zero() {
            return;
        }
        let share = load.utilization();
        let step = (share * STEPS).clamp(0.0, STEPS * 2.0) as u32;
        load.indexed = Some((step, share));
        self.evenness.add(share);
        self.by_utilization.insert((step, name.clone()));
        if load.accepts_moves {
            self.destinations_by_utilization.insert((step, name.clone()));
        }
    }

    /// What the core knows of a machine; cheap if nothing changed.
    pub fn set_machine(&mut self, name: &Name, info: MachineInfo) {
        let same = self.machines.get(name).is_some_and(|load| {
            load.zone.as_ref() == Some(&info.zone)
                && load.total == info.total
                && load.accepts_moves == info.accepts_moves
                && load.claimed == info.claimed
        });
        if same {
            return;
        }
        self.change(name, |load| {
            load.zone = Some(info.zone);
            load.total = info.total;
            load.accepts_moves = info.accepts_moves;
            load.claimed = info.claimed;
        });
    }

    /// A machine is gone; its tasks were taken off before.
    pub fn remove_machine(&mut self, name: &Name) {
        if !self.machines.contains_key(name) {
            return;
        }
        self.change(name, |load| {
            // Its entry in the index goes with the change.
            *load = MachineLoad { zone: load.zone.clone(), indexed: load.indexed, ..MachineLoad::default() };
        });
        self.machines.remove(name);
    }

    /// A task has a place now.
    pub fn add_task(&mut self, key: &TaskKey, machine: &Name, team: &Name, need: Resources) {
        self.remove_task(key);
        self.teams.entry(team.clone()).or_default().starting.add(need);
        let held = PlacedTask { team: team.clone(), need, running: false };
        self.tasks.insert(key.clone(), (machine.clone(), held));
        self.change(machine, |load| load.starting.add(need));
    }

    /// A task was seen running where it was placed.
    pub fn mark_running(&mut self, key: &TaskKey) {
        let Some((machine, held)) = self.tasks.get_mut(key).filter(|(_, held)| !held.running) else { return };
        held.running = true;
        let (machine, need) = (machine.clone(), held.need);
        let team = self.teams.entry(held.team.clone()).or_default();
        team.starting.sub(need);
        team.used.add(need);
        self.change(&machine, |load| {
            load.starting.sub(need);
            load.used.add(need);
        });
    }

    /// A task has left its place.
    pub fn remove_task(&mut self, key: &TaskKey) {
        let Some((machine, held)) = self.tasks.remove(key) else { return };
        if let Some(team) = self.teams.get_mut(&held.team) {
            let part = if held.running { &mut team.used } else { &mut team.starting };
            part.sub(held.need);
        }
        self.change(&machine, |load| {
            let part = if held.running { &mut load.used } else { &mut load.starting };
            part.sub(held.need);
        });
    }

    /// Room is booked for a move on its way.
    pub fn book(&mut self, machine: &Name, need: Resources) {
        self.change(machine, |load| load.booked.add(need));
    }

    /// A task is to leave a machine by a move.
    pub fn add_departing(&mut self, machine: &Name, need: Resources) {
        self.change(machine, |load| load.departing.add(need));
    }

    /// It has left, or stays.
    pub fn remove_departing(&mut self, machine: &Name, need: Resources) {
        if self.machines.contains_key(machine) {
            self.change(machine, |load| load.departing.sub(need));
        }
    }

    /// Booked room is given back.
    pub fn unbook(&mut self, machine: &Name, need: Resources) {
        if self.machines.contains_key(machine) {
            self.change(machine, |load| load.booked.sub(need));
        }
    }
}
