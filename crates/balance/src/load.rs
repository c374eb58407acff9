//! The load model: resources in use by machine, zone and team, and the utilization that machines will reach.
//! It is updated incrementally, so that no single event iterates over all machines or tasks.
//!
//! - *Used* resources belong to tasks that were reported running.
//! - *Starting* resources belong to placed tasks that were not reported running yet; their image may still be
//!   fetched.
//! - *Reserved* resources were freed by preemption and are kept for a job.
//! - *Booked* resources are for tasks that open moves will bring.
//! - *Departing* resources belong to tasks that open moves will take away.
//!
//! A machine's *utilization* is the sum of the first four minus the last. So a machine that is filling up does
//! not look idle, and one that tasks are about to leave does not look full.

use std::collections::{BTreeMap, BTreeSet};

use crate::evenness::Evenness;
use crate::resources::Resources;
use crate::{Name, TaskKey};

/// Number of steps between no and full utilization in the index of machines.
const UTILIZATION_STEPS: f64 = 1000.0;

/// A machine as reported by the core.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineInfo {
    /// Its zone.
    pub zone: Name,
    /// Its total resources.
    pub total: Resources,
    /// Whether tasks may be moved to it.
    pub accepts_moves: bool,
    /// Resources on it that were freed by preemption and are reserved for a job.
    pub reserved: Resources,
}

/// A placed task, as the model counts it.
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
    reserved: Resources,
    booked: Resources,
    departing: Resources,
    /// Its step in the index and its exact utilization, as last counted.
    indexed: Option<(u32, f64)>,
}

impl MachineLoad {
    fn allocated(&self) -> Resources {
        self.used.plus(self.starting).plus(self.reserved).plus(self.booked)
    }

    fn utilization(&self) -> f64 {
        self.allocated().minus(self.departing).dominant_share(self.total)
    }
}

/// Resources in use by a team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamLoad {
    /// Resources of tasks that were reported running.
    pub used: Resources,
    /// Resources of tasks that are placed but not yet reported running.
    pub starting: Resources,
}

impl TeamLoad {
    /// Returns the sum of both.
    pub fn all(&self) -> Resources {
        self.used.plus(self.starting)
    }
}

/// Total and allocated resources of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Resources of its machines.
    pub total: Resources,
    /// Resources that are used, starting, reserved or booked.
    pub allocated: Resources,
}

/// The load of all machines, zones and teams.
#[derive(Debug, Default)]
pub struct LoadModel {
    machines: BTreeMap<Name, MachineLoad>,
    tasks: BTreeMap<TaskKey, (Name, PlacedTask)>,
    teams: BTreeMap<Name, TeamLoad>,
    zones: BTreeMap<Name, ZoneLoad>,
    /// Machines in the order of their utilization.
    by_utilization: BTreeSet<(u32, Name)>,
    /// The machines among them that accept moves.
    destinations_by_utilization: BTreeSet<(u32, Name)>,
    evenness: Evenness,
    total: Resources,
    allocated: Resources,
}

impl LoadModel {
    /// Number of machines whose resources are known.
    pub fn machines(&self) -> usize {
        self.evenness.machines()
    }

    /// How evenly the machines are utilized.
    pub fn evenness(&self) -> &Evenness {
        &self.evenness
    }

    /// Total resources of all machines.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Resources of all machines that are not allocated.
    pub fn free(&self) -> Resources {
        let free = self.total.minus(self.allocated);
        Resources { cpus: free.cpus.max(0.0), gpus: free.gpus.max(0.0), memory_gb: free.memory_gb.max(0.0) }
    }

    /// Returns the resources in use by a team.
    pub fn team(&self, team: &str) -> TeamLoad {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Returns the total and allocated resources of a zone.
    pub fn zone(&self, zone: &str) -> ZoneLoad {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// Returns the utilization that a machine will have once the open moves are done.
    pub fn utilization(&self, machine: &str) -> Option<f64> {
        self.machines.get(machine).map(MachineLoad::utilization)
    }

    /// Returns the dominant share of the machine that `need` takes.
    pub fn share_of(&self, machine: &str, need: Resources) -> f64 {
        self.machines.get(machine).map_or(0.0, |load| need.dominant_share(load.total))
    }

    /// Whether tasks may be moved to the machine.
    pub fn accepts_moves(&self, machine: &str) -> bool {
        self.machines.get(machine).is_some_and(|load| load.accepts_moves)
    }

    /// Returns the resources that open moves have booked on a machine.
    pub fn booked(&self, machine: &str) -> Resources {
        self.machines.get(machine).map(|load| load.booked).unwrap_or_default()
    }

    /// Returns the most utilized machines, the highest first.
    pub fn most_loaded(&self, count: usize) -> Vec<Name> {
        self.by_utilization.iter().rev().take(count).map(|(_, name)| name.clone()).collect()
    }

    /// Returns the least utilized machines that accept moves, the lowest first.
    pub fn least_loaded(&self, count: usize) -> Vec<Name> {
        self.destinations_by_utilization.iter().take(count).map(|(_, name)| name.clone()).collect()
    }

    /// Applies a change to a machine and updates the sums and the index.
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
        if let Some((step, utilization)) = load.indexed.take() {
            self.evenness.remove(utilization);
            self.by_utilization.remove(&(step, name.clone()));
            self.destinations_by_utilization.remove(&(step, name.clone()));
        }
        // A machine of which only the name is known has no utilization.
        if load.total.is_zero() {
            return;
        }
        let utilization = load.utilization();
        let step = (utilization * UTILIZATION_STEPS).clamp(0.0, UTILIZATION_STEPS * 2.0) as u32;
        load.indexed = Some((step, utilization));
        self.evenness.add(utilization);
        self.by_utilization.insert((step, name.clone()));
        if load.accepts_moves {
            self.destinations_by_utilization.insert((step, name.clone()));
        }
    }

    /// Updates the data of a machine; cheap if nothing changed.
    pub fn set_machine(&mut self, name: &Name, info: MachineInfo) {
        let unchanged = self.machines.get(name).is_some_and(|load| {
            load.zone.as_ref() == Some(&info.zone)
                && load.total == info.total
                && load.accepts_moves == info.accepts_moves
                && load.reserved == info.reserved
        });
        if unchanged {
            return;
        }
        self.change(name, |load| {
            load.zone = Some(info.zone);
            load.total = info.total;
            load.accepts_moves = info.accepts_moves;
            load.reserved = info.reserved;
        });
    }

    /// Removes a machine. Its tasks must have been removed before.
    pub fn remove_machine(&mut self, name: &Name) {
        if !self.machines.contains_key(name) {
            return;
        }
        self.change(name, |load| {
            // `change` needs the zone and the index entry to remove the machine from both.
            *load = MachineLoad { zone: load.zone.clone(), indexed: load.indexed, ..MachineLoad::default() };
        });
        self.machines.remove(name);
    }

    /// Adds a task that was placed.
    pub fn add_task(&mut self, key: &TaskKey, machine: &Name, team: &Name, need: Resources) {
        self.remove_task(key);
        self.teams.entry(team.clone()).or_default().starting.add(need);
        let task = PlacedTask { team: team.clone(), need, running: false };
        self.tasks.insert(key.clone(), (machine.clone(), task));
        self.change(machine, |load| load.starting.add(need));
    }

    /// Marks a task as running on the machine where it was placed.
    pub fn mark_running(&mut self, key: &TaskKey) {
        let Some((machine, task)) = self.tasks.get_mut(key).filter(|(_, task)| !task.running) else { return };
        task.running = true;
        let (machine, need) = (machine.clone(), task.need);
        let team = self.teams.entry(task.team.clone()).or_default();
        team.starting.sub(need);
        team.used.add(need);
        self.change(&machine, |load| {
            load.starting.sub(need);
            load.used.add(need);
        });
    }

    /// Removes a task that has left its machine.
    pub fn remove_task(&mut self, key: &TaskKey) {
        let Some((machine, task)) = self.tasks.remove(key) else { return };
        if let Some(team) = self.teams.get_mut(&task.team) {
            let amount = if task.running { &mut team.used } else { &mut team.starting };
            amount.sub(task.need);
        }
        self.change(&machine, |load| {
            let amount = if task.running { &mut load.used } else { &mut load.starting };
            amount.sub(task.need);
        });
    }

    /// Books resources on the destination of a move.
    pub fn book(&mut self, machine: &Name, need: Resources) {
        self.change(machine, |load| load.booked.add(need));
    }

    /// Counts a task that a move will take away from the machine.
    pub fn add_departing(&mut self, machine: &Name, need: Resources) {
        self.change(machine, |load| load.departing.add(need));
    }

    /// Stops counting a departing task, which has left or stays.
    pub fn remove_departing(&mut self, machine: &Name, need: Resources) {
        if self.machines.contains_key(machine) {
            self.change(machine, |load| load.departing.sub(need));
        }
    }

    /// Releases booked resources.
    pub fn unbook(&mut self, machine: &Name, need: Resources) {
        if self.machines.contains_key(machine) {
            self.change(machine, |load| load.booked.sub(need));
        }
    }
}
