//! The cloud's messages: machine types, renting, returning, listing.

use serde::{Deserialize, Serialize};

/// A type of machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs of such a machine.
    pub cpus: f64,
    /// GPUs of such a machine.
    #[serde(default)]
    pub gpus: f64,
    /// Its memory.
    pub memory_gb: f64,
    /// Room for images that are kept.
    #[serde(default)]
    pub cache_gb: f64,
    /// How fast images are fetched.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Present price of an hour if the cloud may take it back.
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    /// Usual time to boot, in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Where there are such machines.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// All types of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// Asks for machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Names the request: a repeat rents nothing more.
    #[serde(rename = "hire")]
    pub request: String,
    /// Their type.
    #[serde(rename = "rig")]
    pub kind: String,
    /// Their zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the cloud may take them back.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "number")]
    pub count: u32,
}

/// The answer to a rental, and the body of a return.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Machines' names.
    #[serde(rename = "tankers")]
    pub machines: Vec<String>,
}

/// What the cloud says of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It is not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// It is up, or died a moment ago.
    Running,
    /// It stopped by itself.
    Failed,
}

/// A machine as the cloud lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Where its worker takes direct orders.
    #[serde(default)]
    pub addr: String,
    /// Its type.
    #[serde(rename = "rig")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the cloud may take it back.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Whether it is up.
    #[serde(rename = "status")]
    pub phase: Phase,
    /// Seconds since it was rented, when the list was made.
    #[serde(default)]
    pub age_s: f64,
}

/// A part of the list of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Machines in the order of their names.
    #[serde(rename = "tankers")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow.
    pub more: bool,
}
