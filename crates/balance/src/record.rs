//! The durable form of open moves: values of the state service that hold some moves each, written in the
//! same transaction as the mark of each moved task, so that neither is there without the other.
//!
//! Versions that know nothing of it leave the key alone. What it names is then stale, and is told by
//! the attempt: attempts never repeat, so an entry holds only while its task has the attempt that the
//! entry names, or none.

use serde::{Deserialize, Serialize};

/// What the keys begin with under which open moves stand in the state service.
pub const PREFIX: &str = "balance/moves/";
/// The most values: a thousand open moves and more with values of 8 KiB.
pub const MAX_PARTS: usize = 16;

/// The key of one of the values.
pub fn key(part: usize) -> String {
    format!("{PREFIX}{part:02}")
}

/// A value: some of the moves that are open.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OpenMoves {
    /// The open moves.
    pub moves: Vec<OpenMove>,
}

/// A move that is open.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenMove {
    /// The task's job.
    #[serde(rename = "j")]
    pub job: String,
    /// The task's number.
    #[serde(rename = "t")]
    pub task: u32,
    /// The attempt at the source.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// The source.
    #[serde(rename = "f")]
    pub from: String,
    /// The destination.
    #[serde(rename = "d")]
    pub to: String,
}

impl OpenMove {
    /// Bytes that an entry takes in the value at the most, with these names.
    pub fn max_bytes(job: &str, from: &str, to: &str) -> usize {
        // Punctuation and field names, and the digits of a task's number and an attempt.
        const PUNCTUATION: usize = 40;
        const DIGITS: usize = 10 + 20;
        PUNCTUATION + DIGITS + job.len() + from.len() + to.len()
    }
}
