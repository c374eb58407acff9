//! The durable form of open moves: several values (parts) in the state service, each containing some of the
//! moves. A part is written in the same transaction as the marks of its moved tasks, so that neither is
//! durable without the other.
//!
//! Versions of the scheduler without moves leave these keys alone, so an entry may be stale. It is
//! recognized by its attempt: attempt numbers are never reused, so an entry is valid only while its task
//! has the attempt that the entry names, or none.

use serde::{Deserialize, Serialize};

/// Prefix of the keys in the state service under which open moves are stored.
pub const PREFIX: &str = "balance/moves/";
/// Maximum number of parts: enough for more than a thousand open moves in values of 8 KiB.
pub const MAX_PARTS: usize = 16;

/// Returns the key of a part.
pub fn key(part: usize) -> String {
    format!("{PREFIX}{part:02}")
}

/// One part of the record: some of the open moves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OpenMoves {
    /// The open moves.
    pub moves: Vec<OpenMove>,
}

/// An open move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenMove {
    /// The task's job.
    #[serde(rename = "j")]
    pub job: String,
    /// The task's number within its job.
    #[serde(rename = "t")]
    pub task: u32,
    /// The attempt at the source.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// The source machine.
    #[serde(rename = "f")]
    pub from: String,
    /// The destination machine.
    #[serde(rename = "d")]
    pub to: String,
}

impl OpenMove {
    /// Upper bound of the size of an entry with these names, in bytes.
    pub fn max_bytes(job: &str, from: &str, to: &str) -> usize {
        // Punctuation and field names, and the digits of a task's number and an attempt.
        const PUNCTUATION: usize = 40;
        const DIGITS: usize = 10 + 20;
        PUNCTUATION + DIGITS + job.len() + from.len() + to.len()
    }
}
