//! Zone failover as a pure state machine: no I/O, no clock, no randomness.
//!
//! The scheduler's core passes its observations of each zone to a [`Failover`] and asks it which zones accept
//! work, in which order tasks are placed while a zone is evacuated, and how fast a returned zone is given work
//! again. The core alone sends orders and writes records. The state of a zone changes only the order and rate
//! of placement. It is no proof that a task is gone from a machine, which the core still requires. See `docs/failover.md` for the design.

#![warn(missing_docs)]

mod evidence;
mod failover;
mod penalty;
mod ramp;
mod record;
mod sample;
mod settings;
mod state;
mod tiers;
mod zone;

use std::sync::Arc;

pub use evidence::{Evidence, FleetView, ZoneView};
pub use failover::{Access, Evacuation, Failover, Observation, TierCount};
pub use penalty::Penalty;
pub use ramp::Ramp;
pub use record::{DrainReasons, DrainedMachines, FailoverRecord, PREFIX as RECORD_PREFIX, RECORD_KEY, ZoneRecord};
pub use sample::{MachineCounts, SurveySample};
pub use settings::{Settings, SettingsError, Tier};
pub use state::ZoneState;
pub use tiers::TierQuery;
pub use zone::{Transition, Zone};

/// The name of a job, machine or zone.
pub type Name = Arc<str>;

/// A job and the number of one of its tasks.
pub type TaskKey = (Name, u32);
