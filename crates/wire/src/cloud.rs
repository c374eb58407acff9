//! Messages of the cloud: machine types, renting, releasing and listing machines.

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of a machine.
    pub memory_gb: f64,
    /// Size of a machine's image cache.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Current price per hour of a spot machine, which the cloud may reclaim; `None` if the type has no spot machines.
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    /// Usual boot time, in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones that offer the type.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// The cloud's list of machine types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All machine types.
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Name of the request. It makes the request idempotent: a retry under the same name rents no more machines.
    #[serde(rename = "hire")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested, which the cloud may reclaim.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Response to a rental request, and body of a release request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "tankers")]
    pub machines: Vec<String>,
}

/// A machine's state according to the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The machine is booting.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is up, or has failed so recently that the cloud does not show it yet.
    Running,
    /// The machine has failed.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Address at which its worker accepts direct calls.
    #[serde(default)]
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// State of the machine.
    #[serde(rename = "status")]
    pub phase: Phase,
    /// Seconds between the rental of the machine and the listing.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Machines, ordered by name.
    #[serde(rename = "tankers")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow.
    pub more: bool,
}
