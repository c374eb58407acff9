//! Messages of the state service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Version of the key: the revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a list of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Items, ordered by key.
    pub rows: Vec<Item>,
    /// Whether more keys follow.
    pub more: bool,
    /// Revision at which the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction: the key must have this version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Required version; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Writes a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease whose expiry deletes the key, if any.
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

/// A transaction: performs all writes if all conditions hold, and none otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions on the versions of keys.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Writes that are performed if all conditions hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds a condition; version 0 requires that the key does not exist.
    pub fn when(mut self, key: impl Into<String>, version: u64) -> Txn {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Adds a write of a key without a lease.
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Txn {
        self.writes.push(Write::Put { key: key.into(), value, lease: None });
        self
    }

    /// Adds a write of a key that is deleted when the lease expires.
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

/// Response to a transaction that was committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    /// Version of all keys that it wrote.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Response to a transaction whose conditions did not all hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailedConditions {
    /// Keys whose conditions failed.
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NewLease {
    /// Time after which the lease expires without renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Response with a granted lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "data")]
        value: Value,
        /// Revision of the change.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was deleted.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
        /// Revision of the change.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// Response to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which the changes are complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes, the oldest first.
    #[serde(default)]
    pub events: Vec<Event>,
}
