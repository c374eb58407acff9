//! What controllers tell one another, in postcard. Nothing here decides anything that
//! the rules depend on but one fact: an answer to a fresh question shows which
//! incarnation of a controller lives now.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    pub job: String,
    pub done: u32,
    pub running: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAsk {
    pub label: String,
    /// The asker's token while it leads.
    pub token: Option<u64>,
    /// The lead takes no more jobs.
    pub full: bool,
    /// For display, from the lead only.
    pub progress: Vec<Progress>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerTell {
    pub label: String,
    pub incarnation: u64,
    /// Whether the state service answers this node.
    pub store_ok: bool,
    /// The token with which this incarnation still acts, if any.
    pub token: Option<u64>,
}

/// Encodes a peer message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("peer messages always encode")
}

/// Decodes a peer message; `None` for anything malformed.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
