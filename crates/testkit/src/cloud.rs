//! A stand-in for the cloud.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::{CloudOp, CloudResponse};
use rushyoke_wire::cloud::{ListedMachine, Listing, MachineType, Phase};

/// Machines in one answer to a list.
const PAGE: usize = 500;

/// A machine that is rented.
#[derive(Clone)]
pub struct RentedMachine {
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// When it was rented.
    pub rented_at: Duration,
    /// Whether it has booted.
    pub booted: bool,
}

/// A stand-in for the cloud.
pub struct Cloud {
    /// The types that it rents.
    pub types: Vec<MachineType>,
    /// Machines that are rented, by name.
    pub machines: BTreeMap<String, RentedMachine>,
    requests: BTreeMap<String, Vec<String>>,
    serial: u32,
    /// It answers nobody.
    pub outage: bool,
    /// Free machines; none are given beyond.
    pub capacity: u32,
    /// Machines that will never come up.
    pub never_boot: BTreeSet<String>,
    /// Rentals carried out.
    pub rentals: u32,
}

impl Cloud {
    /// A cloud with one type of machine in these zones.
    pub fn new(zones: &[&str]) -> Cloud {
        let kind = MachineType {
            name: "m16".into(),
            cpus: 16.0,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: Some(0.4),
            boot_s: 10.0,
            zones: zones.iter().map(|z| (*z).to_owned()).collect(),
        };
        Cloud {
            types: vec![kind],
            machines: BTreeMap::new(),
            requests: BTreeMap::new(),
            serial: 0,
            outage: false,
            capacity: 20,
            never_boot: BTreeSet::new(),
            rentals: 0,
        }
    }

    /// Adds a machine that nobody asked for, or that was there from the start.
    pub fn add_machine(&mut self, now: Duration, zone: &str, spot: bool) -> String {
        let name = format!("n-{:06}", self.serial);
        self.serial += 1;
        let kind = self.types[0].name.clone();
        self.machines
            .insert(name.clone(), RentedMachine { kind, zone: zone.into(), spot, rented_at: now, booted: false });
        name
    }

    /// Carries out a call.
    pub fn execute(&mut self, now: Duration, op: &CloudOp) -> CloudResponse {
        if self.outage {
            return CloudResponse::Unavailable;
        }
        match op {
            CloudOp::Types => CloudResponse::Types(self.types.clone()),
            CloudOp::Rent(rental) => {
                if let Some(names) = self.requests.get(&rental.request) {
                    return CloudResponse::Rented(names.clone());
                }
                let free = self.capacity.saturating_sub(self.machines.len() as u32);
                if free == 0 {
                    return CloudResponse::NoCapacity;
                }
                self.rentals += 1;
                let names: Vec<String> =
                    (0..rental.count.min(free)).map(|_| self.add_machine(now, &rental.zone, rental.spot)).collect();
                self.requests.insert(rental.request.clone(), names.clone());
                CloudResponse::Rented(names)
            }
            CloudOp::Release(names) => {
                for name in names {
                    self.machines.remove(name);
                }
                CloudResponse::Released
            }
            CloudOp::List { after } => {
                let rows = self.machines.iter().filter(|(name, _)| after.as_ref().is_none_or(|a| *name > a));
                let mut machines = rows.map(|(name, m)| ListedMachine {
                    id: name.clone(),
                    addr: name.clone(),
                    machine_type: m.kind.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    phase: if m.booted { Phase::Running } else { Phase::Booting },
                    age_s: (now - m.rented_at).as_secs_f64(),
                });
                let page = machines.by_ref().take(PAGE).collect();
                CloudResponse::Listing(Listing { machines: page, more: machines.next().is_some() })
            }
        }
    }
}
