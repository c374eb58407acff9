//! Zone failover as a pure state machine: no I/O, no clock, no randomness.
//!
//! The scheduler's core feeds a [`Failover`] with what it sees of each zone and asks it which zones take
//! work, in which order work is placed while a zone is evacuated, and how fast a zone that has returned
//! is filled again. The core alone gives orders and writes. Nothing here proves a place empty: a verdict
//! changes order and pace, never that proof. See `docs/failover.md` for the design.

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
