//! Decides which running task to move next: from the most to the least utilized machines, one task at a
//! time, as long as a move's expected gain exceeds its cost.

use crate::cost::{CostModel, MoveCost, MoveEndpoint};
use crate::load::LoadModel;
use crate::moves::Moves;
use crate::rate_limit::{MoveRateLimiter, MoveRole};
use crate::resources::Resources;
use crate::settings::Settings;
use crate::{Name, TaskKey};

/// Number of the most utilized machines that are considered as sources of one move, to avoid a scan of the fleet.
const SOURCES_CONSIDERED: usize = 8;
/// Number of the least utilized machines that are considered as destinations of one move.
const DESTINATIONS_CONSIDERED: usize = 8;

/// A task that may be moved, as reported by the core.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The task.
    pub key: TaskKey,
    /// Its current attempt.
    pub attempt: u64,
    /// Resources that it requests.
    pub need: Resources,
    /// Its remaining run time.
    pub remaining_s: f64,
    /// Run time that would be lost and run again.
    pub lost_work_s: f64,
    /// Time from the stop order until the task is proven gone.
    pub stop_s: f64,
}

/// The planner's queries to the core about single machines.
pub trait FleetView {
    /// Returns the tasks on the machine that may be moved, at most one per job, since tasks of a job are
    /// alike.
    fn candidates(&self, machine: &Name) -> Vec<Candidate>;
    /// Returns the total remaining run time of all tasks on the machine.
    fn remaining_s(&self, machine: &Name) -> f64;
    /// Whether the task may run on the machine and fits into its free resources, which exclude reserved and
    /// booked ones.
    fn fits(&self, task: &Candidate, machine: &Name) -> bool;
    /// Returns the time that fetching the task's image to the machine takes.
    fn fetch_s(&self, task: &Candidate, machine: &Name) -> f64;
}

/// A move with a sufficient expected gain.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The task to move.
    pub task: Candidate,
    /// The source machine.
    pub from: Name,
    /// The destination machine.
    pub to: Name,
    /// Expected net gain, after the cost of the move.
    pub gain_s: f64,
}

/// The inputs of planning.
pub struct Planner<'a> {
    /// Load of the machines.
    pub load: &'a LoadModel,
    /// Moves that are already open.
    pub moves: &'a Moves,
    /// Budget of moves and cooldowns of machines.
    pub rate_limit: &'a MoveRateLimiter,
    /// The operators' settings.
    pub settings: &'a Settings,
}

impl Planner<'_> {
    /// Returns the next move worth its cost, if there is one: the best move from the most utilized machine that
    /// has such a move.
    pub fn next(&self, view: &impl FleetView) -> Option<Proposal> {
        let destinations = self.load.least_loaded(DESTINATIONS_CONSIDERED);
        let lowest_utilization =
            destinations.iter().filter_map(|name| self.load.utilization(name)).fold(f64::INFINITY, f64::min);
        for source in self.load.most_loaded(SOURCES_CONSIDERED) {
            let utilization = self.load.utilization(&source)?;
            if utilization - lowest_utilization < self.settings.utilization_gap {
                return None;
            }
            if !self.rate_limit.allows(&source, MoveRole::Source) {
                continue;
            }
            let best = self.best_from(&source, utilization, &destinations, view);
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// Returns the move from this source with the largest gain.
    fn best_from(
        &self,
        from: &Name,
        utilization: f64,
        destinations: &[Name],
        view: &impl FleetView,
    ) -> Option<Proposal> {
        let cost_model = CostModel::new(self.settings);
        let remaining_s = view.remaining_s(from);
        let mut best: Option<Proposal> = None;
        for task in view.candidates(from) {
            if self.moves.get(&task.key).is_some() {
                continue;
            }
            let task_share = self.load.share_of(from, task.need);
            let source =
                MoveEndpoint { utilization, task_share, others_remaining_s: (remaining_s - task.remaining_s).max(0.0) };
            for machine in destinations.iter().filter(|machine| *machine != from) {
                let Some(gain_s) = self.gain_s(&cost_model, &task, &source, machine, view) else { continue };
                if best.as_ref().is_none_or(|best| gain_s > best.gain_s) {
                    best = Some(Proposal { task: task.clone(), from: from.clone(), to: machine.clone(), gain_s });
                }
            }
        }
        best
    }

    /// Returns the net gain of a move, if the machine may be its destination and the gain reaches both the
    /// minimum and the required multiple of the cost.
    fn gain_s(
        &self,
        cost_model: &CostModel,
        task: &Candidate,
        source: &MoveEndpoint,
        machine: &Name,
        view: &impl FleetView,
    ) -> Option<f64> {
        let task_share = self.load.share_of(machine, task.need);
        let utilization = self.load.utilization(machine)? + task_share;
        let gap_suffices = source.utilization - (utilization - task_share) >= self.settings.utilization_gap;
        if !gap_suffices || !self.rate_limit.allows(machine, MoveRole::Destination) || !view.fits(task, machine) {
            return None;
        }
        let fetch_s = view.fetch_s(task, machine);
        let cost =
            MoveCost { remaining_s: task.remaining_s, lost_work_s: task.lost_work_s, stop_s: task.stop_s, fetch_s };
        let destination = MoveEndpoint { utilization, task_share, others_remaining_s: view.remaining_s(machine) };
        let gain_s = cost_model.net_gain_s(&cost, source, &destination);
        let min_gain_s = self.settings.min_gain.as_secs_f64();
        // `gain_s` is net of the cost, so the cost is added back for the ratio.
        let worthwhile = gain_s >= min_gain_s && gain_s + cost.total_s() >= cost.total_s() * self.settings.gain_ratio;
        worthwhile.then_some(gain_s)
    }
}
