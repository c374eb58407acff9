//! Expected cost of placements and moves in seconds. A single unit allows data locality to be weighed
//! against an even distribution of load.

use crate::settings::Settings;

/// Converts the utilization of machines into expected seconds.
#[derive(Clone, Copy, Debug)]
pub struct CostModel {
    contention_slowdown: f64,
}

/// Expected cost of a move and the remaining run time of its task, all in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveCost {
    /// Remaining run time of the task, if it were alone on a machine.
    pub remaining_s: f64,
    /// Work since the last checkpoint, which is lost and runs again.
    pub lost_work_s: f64,
    /// Time from the stop order until the task is proven gone from its source.
    pub stop_s: f64,
    /// Time until the task's image is at the destination.
    pub fetch_s: f64,
}

impl MoveCost {
    /// Total time lost to the move.
    pub fn total_s(&self) -> f64 {
        self.lost_work_s + self.stop_s + self.fetch_s
    }
}

/// The source or destination machine of a move, as the cost model sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveEndpoint {
    /// Utilization of the machine with the task on it, as a share.
    pub utilization: f64,
    /// Dominant share of the machine that the task takes.
    pub task_share: f64,
    /// Total remaining run time of the other tasks on the machine.
    pub others_remaining_s: f64,
}

impl CostModel {
    /// Creates a cost model from the settings.
    pub fn new(settings: &Settings) -> CostModel {
        CostModel { contention_slowdown: settings.contention_slowdown }
    }

    /// Expected time to fetch a new task's image, plus the time that contention adds to its run. The run time
    /// itself is left out, since it is the same on every machine.
    pub fn placement_s(&self, fetch_s: f64, run_s: f64, utilization_after: f64) -> f64 {
        fetch_s + self.contention_s(run_s, utilization_after)
    }

    /// Additional time that a run takes on a machine with this utilization.
    pub fn contention_s(&self, run_s: f64, utilization: f64) -> f64 {
        run_s * self.contention_slowdown * utilization.clamp(0.0, 1.0)
    }

    /// Expected net gain of a move over all affected tasks, after its cost: the time that the moved task
    /// saves under less contention, plus what the tasks at the source save, minus what those at the
    /// destination lose.
    pub fn net_gain_s(&self, cost: &MoveCost, source: &MoveEndpoint, destination: &MoveEndpoint) -> f64 {
        let unmoved_s = cost.remaining_s + self.contention_s(cost.remaining_s, source.utilization);
        let rerun_s = cost.remaining_s + cost.lost_work_s;
        let moved_s = cost.stop_s + cost.fetch_s + rerun_s + self.contention_s(rerun_s, destination.utilization);
        let saved_at_source_s = self.contention_s(source.others_remaining_s, source.task_share);
        let lost_at_destination_s = self.contention_s(destination.others_remaining_s, destination.task_share);
        unmoved_s - moved_s + saved_at_source_s - lost_at_destination_s
    }
}
