//! The cloud's messages: machine types, renting, returning, listing.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    #[serde(default)]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Types {
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    #[serde(rename = "hire")]
    pub request: String,
    #[serde(rename = "rig")]
    pub kind: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

/// The answer to a rental, and the body of a return.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Names {
    #[serde(rename = "tankers")]
    pub machines: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    #[serde(rename = "starting")]
    Booting,
    Running,
    Failed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    #[serde(rename = "name_id")]
    pub id: String,
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "rig")]
    pub kind: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    #[serde(rename = "status")]
    pub phase: Phase,
    #[serde(default)]
    pub age_s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    #[serde(rename = "tankers")]
    pub machines: Vec<Listed>,
    pub more: bool,
}
