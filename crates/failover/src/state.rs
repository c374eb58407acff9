//! The state of a zone.

use serde::{Deserialize, Serialize};

/// The state of a zone, as judged by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ZoneState {
    /// Its machines are reachable.
    Healthy,
    /// A considerable share of its machines may be unreachable.
    Suspect,
    /// It is unreachable. Its tasks are placed elsewhere once they are proven gone from its machines.
    Lost,
    /// It is reachable again but on probation, and is given new work gradually.
    Returning,
}
