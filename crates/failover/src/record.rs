//! The durable form of failover state: one value in the state service. It is written in the same transactions
//! as the log of placements, so that an evacuated task's new placement is never durable before the episode to
//! which it belongs.
//!
//! Versions of the scheduler without failover leave the key alone, so the value may be stale. Therefore states
//! are judged again on new evidence, and penalties decay by wall-clock time.

use serde::{Deserialize, Serialize};

use crate::state::ZoneState;

/// Prefix of the keys of failover records.
pub const PREFIX: &str = "failover/";
/// Key of the failover record.
pub const RECORD_KEY: &str = "failover/zones";

/// The failover record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FailoverRecord {
    /// Zones that are not healthy or still have a penalty.
    pub zones: Vec<ZoneRecord>,
    /// Machines of these zones that were being drained when their zone was suspected.
    #[serde(default)]
    pub drained: DrainedMachines,
}

/// The record of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Name of the zone.
    pub zone: String,
    /// State of the zone.
    pub state: ZoneState,
    /// Wall-clock time at which the zone entered its state, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Number of evacuations of the zone.
    pub episode: u64,
    /// Wall-clock time of the last loss, in milliseconds since the Unix epoch.
    pub lost_ms: u64,
    /// The flap penalty just after the last loss.
    pub penalty: f64,
}

/// Machines that were being drained, by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainedMachines {
    /// Machines that were being retired because there was excess capacity.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub retiring: Vec<String>,
    /// Machines that were quarantined because the tasks that they started failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<String>,
    /// Machines that were slow for their level.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub straggling: Vec<String>,
}

/// Why a machine is being drained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainReasons {
    /// There is excess capacity.
    pub retiring: bool,
    /// The tasks that it starts fail.
    pub quarantined: bool,
    /// It is slow for its level.
    pub straggling: bool,
}

impl DrainReasons {
    /// Whether there is any reason to drain the machine.
    pub fn any(self) -> bool {
        self.retiring || self.quarantined || self.straggling
    }
}
