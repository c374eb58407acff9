//! Expected times, in seconds: what a placement and a move cost. One unit decides, so that keeping
//! work near its inputs and spreading it evenly can be weighed against each other.

use crate::settings::Settings;

/// Turns the use of machines into expected seconds.
#[derive(Clone, Copy, Debug)]
pub struct Pricing {
    crowding_share: f64,
}

/// What a move is expected to cost, and the time left on either side of it; seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveCost {
    /// Run time that the task has left, alone on a machine.
    pub left_s: f64,
    /// Work since its last checkpoint, which runs again.
    pub repeated_s: f64,
    /// From the order to stop to the proof that the task is gone.
    pub stop_s: f64,
    /// Until its image is at the destination.
    pub fetch_s: f64,
}

impl MoveCost {
    /// Time that the move takes and wastes.
    pub fn total_s(&self) -> f64 {
        self.repeated_s + self.stop_s + self.fetch_s
    }
}

/// One side of a move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Side {
    /// Use of the machine with the task on it, as a share.
    pub used: f64,
    /// Share of the machine that the task takes.
    pub share: f64,
    /// Run time that the other tasks on the machine have left together.
    pub others_left_s: f64,
}

impl Pricing {
    /// Pricing by the operators' settings.
    pub fn new(settings: &Settings) -> Pricing {
        Pricing { crowding_share: settings.crowding_share }
    }

    /// Expected time until a new task is done on a machine: its image, and its run among others.
    /// What is the same on every machine is left out.
    pub fn placement_s(&self, fetch_s: f64, run_s: f64, used_after: f64) -> f64 {
        fetch_s + self.crowding_s(run_s, used_after)
    }

    /// By how much longer a run takes on a machine that is used so much.
    pub fn crowding_s(&self, run_s: f64, used: f64) -> f64 {
        run_s * self.crowding_share * used.clamp(0.0, 1.0)
    }

    /// Expected seconds that a move gains over all tasks concerned, its cost taken off: what the task
    /// itself wins by running among fewer, what its old neighbours win, and what its new ones lose.
    pub fn net_gain_s(&self, cost: &MoveCost, from: &Side, to: &Side) -> f64 {
        let stays = cost.left_s + self.crowding_s(cost.left_s, from.used);
        let redone = cost.left_s + cost.repeated_s;
        let moves = cost.stop_s + cost.fetch_s + redone + self.crowding_s(redone, to.used);
        let relief = self.crowding_s(from.others_left_s, from.share);
        let burden = self.crowding_s(to.others_left_s, to.share);
        stays - moves + relief - burden
    }
}
