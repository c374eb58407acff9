//! What is held of a zone.

use serde::{Deserialize, Serialize};

/// What is held of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ZoneState {
    /// Its machines are in reach.
    Healthy,
    /// A good part of them may be out of reach.
    Suspect,
    /// It is out of reach: its work is to be placed elsewhere as its places are proven empty.
    Lost,
    /// It is in reach again, on probation: it is filled by and by.
    Returning,
}
