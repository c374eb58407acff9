//! The state service's messages.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A part of a list of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Keys in order.
    pub rows: Vec<Item>,
    /// Whether keys follow.
    pub more: bool,
    /// The revision that it shows.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A key that must have a version for a transaction to be carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// 0: the key does not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Writes a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease with which it ends.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: all its writes, if all its conditions hold, or none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// What must hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// What is then changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds a condition; version 0 stands for a key that does not exist.
    pub fn when(mut self, key: impl Into<String>, version: u64) -> Txn {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Adds a write of a key that no lease holds.
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Txn {
        self.writes.push(Write::Put { key: key.into(), value, lease: None });
        self
    }

    /// Adds a write of a key that ends with a lease.
    pub fn put_leased(mut self, key: impl Into<String>, value: Value, lease: u64) -> Txn {
        self.writes.push(Write::Put { key: key.into(), value, lease: Some(lease) });
        self
    }

    /// Adds the deletion of a key.
    pub fn delete(mut self, key: impl Into<String>) -> Txn {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

/// The answer to a transaction that was carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    /// The version of all that it wrote.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// The answer to a transaction that was not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// Keys whose conditions did not hold.
    pub failed: Vec<String>,
}

/// Asks for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NewLease {
    /// Its life without renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A lease that was given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Its number.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// A change that a watch tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Value,
        /// The revision of the change.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was deleted.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
        /// The revision of the change.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// What a watch tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The revision up to which it is complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes, the oldest first.
    #[serde(default)]
    pub events: Vec<Event>,
}
