//! The state service's messages.

use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "data")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    pub rows: Vec<Item>,
    pub more: bool,
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "path")]
    pub key: String,
    /// 0: the key does not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub writes: Vec<Write>,
}

impl Txn {
    pub fn when(mut self, key: impl Into<String>, version: u64) -> Txn {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    pub fn put(mut self, key: impl Into<String>, value: Value) -> Txn {
        self.writes.push(Write::Put { key: key.into(), value, lease: None });
        self
    }

    pub fn put_leased(mut self, key: impl Into<String>, value: Value, lease: u64) -> Txn {
        self.writes.push(Write::Put { key: key.into(), value, lease: Some(lease) });
        self
    }

    pub fn delete(mut self, key: impl Into<String>) -> Txn {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NewLease {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    #[serde(rename = "permit")]
    pub lease: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "stamp")]
        version: u64,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
        #[serde(rename = "stamp")]
        version: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    #[serde(rename = "ledger")]
    pub revision: u64,
    #[serde(default)]
    pub events: Vec<Event>,
}
