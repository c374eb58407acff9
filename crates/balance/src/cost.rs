//! Expected times, in seconds: what a placement and a move cost. One unit decides, so that keeping
//! work near its inputs and spreading it evenly can be weighed against each other.

use crate::settings::Settings;

/// Turns the use of machines into expected seconds.
#[derive(Clone, Copy, Debug)]
pub struct CostModel {
    contention_slowdown: f64,
}

/// What a move is expected to cost, and the time left on either side of it; seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveCost {
    /// Run time that the task has left, alone on a machine.
    pub remaining_s: f64,
    /// Work since its last checkpoint, which runs again.
    pub lost_work_s: f64,
    /// From the order to stop to the proof that the task is gone.
    pub stop_s: f64,
    /// Until its image is at the destination.
    pub fetch_s: f64,
}

impl MoveCost {
    /// Time that the move takes and wastes.
    pub fn total_s(&self) -> f64 {
        self.lost_work_s + self.stop_s + self.fetch_s
    }
}

/// One side of a move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveEndpoint {
    /// Use of the machine with the task on it, as a share.
    pub utilization: f64,
    /// Share of the machine that the task takes.
    pub task_share: f64,
    /// Run time that the other tasks on the machine have left together.
    pub others_remaining_s: f64,
}

impl CostModel {
    /// Pricing by the operators' settings.
    pub fn new(settings: &Settings) -> CostModel {
        CostModel { contention_slowdown: settings.contention_slowdown }
    }

    /// Expected time until a new task is done on a machine: its image, and its run among others.
    /// What is the same on every machine is left out.
    pub fn placement_s(&self, fetch_s: f64, run_s: f64, used_after: f64) -> f64 {
        fetch_s + self.contention_s(run_s, used_after)
    }

    /// By how much longer a run takes on a machine that is utilization so much.
    pub fn contention_s(&self, run_s: f64, utilization: f64) -> f64 {
        run_s * self.contention_slowdown * utilization.clamp(0.0, 1.0)
    }

    /// Expected seconds that a move gains over all tasks concerned, its cost taken off: what the task
    /// itself wins by running among fewer, what its old neighbours win, and what its new ones lose.
    pub fn net_gain_s(&self, cost: &MoveCost, from: &MoveEndpoint, to: &MoveEndpoint) -> f64 {
        let stays = cost.remaining_s + self.contention_s(cost.remaining_s, from.utilization);
        let redone = cost.remaining_s + cost.lost_work_s;
        let moves = cost.stop_s + cost.fetch_s + redone + self.contention_s(redone, to.utilization);
        let relief = self.contention_s(from.others_remaining_s, from.task_share);
        let burden = self.contention_s(to.others_remaining_s, to.task_share);
        stays - moves + relief - burden
    }
}
