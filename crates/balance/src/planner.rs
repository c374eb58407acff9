//! Which running tasks should move: from the machines that are used the most to those that are used
//! the least, one at a time, while a move gains more expected time than it costs.

use crate::cost::{CostModel, MoveCost, MoveEndpoint};
use crate::load::LoadModel;
use crate::moves::Moves;
use crate::rate_limit::{MoveRateLimiter, MoveRole};
use crate::resources::Resources;
use crate::settings::Settings;
use crate::{Name, TaskKey};

/// Machines looked at on either side for one move: the ends of the order by use, not the fleet.
const SOURCES: usize = 8;
const DESTINATIONS: usize = 8;

/// A task that may be moved, as the core sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The task.
    pub key: TaskKey,
    /// Its attempt.
    pub attempt: u64,
    /// What it needs.
    pub need: Resources,
    /// Run time that it has left.
    pub remaining_s: f64,
    /// Work that would run again.
    pub lost_work_s: f64,
    /// From the order to stop to the proof that it is gone.
    pub stop_s: f64,
}

/// What the planner asks the core about a few machines.
pub trait FleetView {
    /// Tasks on the machine that may be moved, at most one for each job: those of a job are alike.
    fn candidates(&self, machine: &Name) -> Vec<Candidate>;
    /// Run time that all tasks on the machine have left together.
    fn remaining_s(&self, machine: &Name) -> f64;
    /// Whether the task may run on the machine, and there is room that nobody has claimed or booked.
    fn fits(&self, task: &Candidate, machine: &Name) -> bool;
    /// How long its image takes to be there.
    fn fetch_s(&self, task: &Candidate, machine: &Name) -> f64;
}

/// A move that pays.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The task to move.
    pub task: Candidate,
    /// From where.
    pub from: Name,
    /// To where.
    pub to: Name,
    /// Expected seconds gained, cost taken off.
    pub gain_s: f64,
}

/// What planning reads.
pub struct Planner<'a> {
    /// Load of the machines.
    pub load: &'a LoadModel,
    /// Moves that are open.
    pub moves: &'a Moves,
    /// Budget and rests.
    pub rate_limit: &'a MoveRateLimiter,
    /// The operators' settings.
    pub settings: &'a Settings,
}

impl Planner<'_> {
    /// The next move, if one pays: from the most used machine that has one.
    pub fn next(&self, view: &impl FleetView) -> Option<Proposal> {
        let destinations = self.load.least_loaded(DESTINATIONS);
        let least_loaded =
            destinations.iter().filter_map(|name| self.load.utilization(name)).fold(f64::INFINITY, f64::min);
        for from in self.load.most_loaded(SOURCES) {
            let used = self.load.utilization(&from)?;
            if used - least_loaded < self.settings.utilization_gap {
                return None;
            }
            if !self.rate_limit.allows(&from, MoveRole::Source) {
                continue;
            }
            let best = self.best_from(&from, used, &destinations, view);
            if best.is_some() {
                return best;
            }
        }
        None
    }

    fn best_from(&self, from: &Name, used: f64, to: &[Name], view: &impl FleetView) -> Option<Proposal> {
        let cost_model = CostModel::new(self.settings);
        let remaining_s = view.remaining_s(from);
        let mut best: Option<Proposal> = None;
        for task in view.candidates(from) {
            if self.moves.get(&task.key).is_some() {
                continue;
            }
            let share = self.load.share_of(from, task.need);
            let source = MoveEndpoint {
                utilization: used,
                task_share: share,
                others_remaining_s: (remaining_s - task.remaining_s).max(0.0),
            };
            for machine in to.iter().filter(|machine| *machine != from) {
                let Some(gain_s) = self.gain_s(&cost_model, &task, &source, machine, view) else { continue };
                if best.as_ref().is_none_or(|best| gain_s > best.gain_s) {
                    best = Some(Proposal { task: task.clone(), from: from.clone(), to: machine.clone(), gain_s });
                }
            }
        }
        best
    }

    /// What the move gains, if it pays: by more than the hysteresis, and by a multiple of its cost.
    fn gain_s(
        &self,
        cost_model: &CostModel,
        task: &Candidate,
        source: &MoveEndpoint,
        machine: &Name,
        view: &impl FleetView,
    ) -> Option<f64> {
        let share = self.load.share_of(machine, task.need);
        let used = self.load.utilization(machine)? + share;
        let apart = source.utilization - (used - share) >= self.settings.utilization_gap;
        if !apart || !self.rate_limit.allows(machine, MoveRole::Destination) || !view.fits(task, machine) {
            return None;
        }
        let fetch_s = view.fetch_s(task, machine);
        let cost =
            MoveCost { remaining_s: task.remaining_s, lost_work_s: task.lost_work_s, stop_s: task.stop_s, fetch_s };
        let side = MoveEndpoint { utilization: used, task_share: share, others_remaining_s: view.remaining_s(machine) };
        let gain_s = cost_model.net_gain_s(&cost, source, &side);
        let least = self.settings.min_gain.as_secs_f64();
        // The gain has its cost taken off already.
        let pays = gain_s >= least && gain_s + cost.total_s() >= cost.total_s() * self.settings.gain_ratio;
        pays.then_some(gain_s)
    }
}
