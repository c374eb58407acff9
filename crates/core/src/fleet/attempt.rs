//! Attempts of tasks, as orders and reports name them.

use rushyoke_wire::worker::{Order, TaskReport};

use crate::jobs::{Placement, TaskKey};

/// One attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Attempt {
    /// The task's full name, `job/index`.
    pub task: String,
    /// Number of the attempt.
    pub number: u64,
}

impl Attempt {
    /// Returns the attempt of a placed task.
    pub fn of(key: &TaskKey, placement: &Placement) -> Attempt {
        Attempt { task: format!("{}/{}", key.0, key.1), number: placement.attempt }
    }

    /// Returns the attempt that an entry of a report is about.
    pub fn listed(entry: &TaskReport) -> Attempt {
        Attempt { task: entry.task.clone(), number: entry.attempt }
    }

    /// Returns the order to start it.
    pub fn start(&self) -> Order {
        Order::Start { task: self.task.clone(), attempt: self.number }
    }

    /// Returns the order to stop it, with some seconds to save its progress.
    pub fn stop(&self, grace_s: f64) -> Order {
        Order::Stop { task: self.task.clone(), attempt: self.number, grace_s }
    }

    /// Returns the order to forget it.
    pub fn forget(&self) -> Order {
        Order::Forget { task: self.task.clone(), attempt: self.number }
    }
}

/// An attempt that a worker lists although it is not placed on the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnexpectedAttempt {
    pub attempt: Attempt,
    /// Whether it has not exited, so that it must be stopped.
    pub is_alive: bool,
}
