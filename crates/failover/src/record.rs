//! The durable form: one value of the state service, written in the transactions of the log, so that no
//! placement of evacuated work is durable before the episode to which it belongs.
//!
//! Versions that know nothing of it leave the key alone. What stands there may then be old: states are
//! judged again on fresh evidence, and penalties decay by the time of day.

use serde::{Deserialize, Serialize};

use crate::state::ZoneState;

/// What the key begins with.
pub const PREFIX: &str = "failover/";
/// The key.
pub const RECORD_KEY: &str = "failover/zones";

/// The value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FailoverRecord {
    /// Zones that are not healthy, or have a penalty left.
    pub zones: Vec<ZoneRecord>,
    /// Machines of these zones that were being drained when their zone was suspected.
    #[serde(default)]
    pub drained: DrainedMachines,
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Its name.
    pub zone: String,
    /// Its state.
    pub state: ZoneState,
    /// Time of day since when, in milliseconds since 1970.
    pub since_ms: u64,
    /// Counts the evacuations of the zone.
    pub episode: u64,
    /// Time of day of the last loss, in milliseconds since 1970.
    pub lost_ms: u64,
    /// The flap penalty just after the last loss.
    pub penalty: f64,
}

/// Machines that were being drained, by the reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainedMachines {
    /// More than enough was there.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub retiring: Vec<String>,
    /// They failed the tasks that they started.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<String>,
    /// They were slow for their level.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub straggling: Vec<String>,
}

/// Why a machine is being drained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainReasons {
    /// More than enough is there.
    pub retiring: bool,
    /// It fails the tasks that it starts.
    pub quarantined: bool,
    /// It is slow for its level.
    pub straggling: bool,
}

impl DrainReasons {
    /// Whether there is any reason.
    pub fn any(self) -> bool {
        self.retiring || self.quarantined || self.straggling
    }
}
