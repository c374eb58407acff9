//! Load balancing as a pure state machine: no I/O, no clock, no randomness.
//!
//! The scheduler's core reports changes of machines, tasks and teams to a [`Balancer`] and asks it what
//! a placement costs, whether a team may exceed its guarantee, and which running tasks should move. The
//! balancer only advises: the core alone sends orders and writes records, and a move advances only when
//! the core reports the event that allows its next step. See `docs/balance.md` for the design.

#![warn(missing_docs)]

mod balancer;
mod cost;
mod evenness;
mod load;
mod moves;
mod planner;
mod rate_limit;
mod record;
mod resources;
mod settings;
mod shares;

use std::sync::Arc;

pub use balancer::{Balancer, Summary};
pub use cost::{CostModel, MoveCost};
pub use evenness::Evenness;
pub use load::{LoadModel, MachineInfo, TeamLoad, ZoneLoad};
pub use moves::{GiveUpReason, Move, MoveEnd, MoveState, Moves};
pub use planner::{Candidate, FleetView, Proposal};
pub use rate_limit::MoveRateLimiter;
pub use record::{OpenMove, OpenMoves, PREFIX as RECORD_PREFIX, key as record_key};
pub use resources::Resources;
pub use settings::{Settings, SettingsError};
pub use shares::{FairShares, PlacementRequest};

/// The name of a job, machine, zone or team.
pub type Name = Arc<str>;

/// A job and the number of one of its tasks.
pub type TaskKey = (Name, u32);
