//! A fake cloud.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::{CloudOp, CloudResponse};
use rushyoke_wire::cloud::{ListedMachine, Listing, MachineType, Phase};

/// Number of machines in a page of a listing.
const PAGE_SIZE: usize = 500;

/// A rented machine.
#[derive(Clone)]
pub struct RentedMachine {
    /// Name of its machine type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Simulated time at which it was rented.
    pub rented_at: Duration,
    /// Whether it has booted.
    pub booted: bool,
}

/// A fake cloud that rents machines.
pub struct Cloud {
    /// Machine types that it offers.
    pub types: Vec<MachineType>,
    /// Rented machines, by name.
    pub machines: BTreeMap<String, RentedMachine>,
    /// Machines rented for each rental request, so that a repeated request rents no more.
    requests: BTreeMap<String, Vec<String>>,
    /// Number of the next machine.
    next_serial: u32,
    /// Whether the cloud is unavailable.
    pub outage: bool,
    /// Largest number of machines that can be rented at the same time.
    pub capacity: u32,
    /// Machine types of which no machine can be rented.
    pub types_without_capacity: BTreeSet<String>,
    /// Machines that will never boot.
    pub never_boot: BTreeSet<String>,
    /// Number of rentals executed.
    pub rentals: u32,
}

impl Cloud {
    /// Returns a cloud that offers one machine type in the given zones.
    pub fn new(zones: &[&str]) -> Cloud {
        let machine_type = MachineType {
            name: "m16".into(),
            cpus: 16.0,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: Some(0.4),
            boot_s: 10.0,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
        };
        Cloud {
            types: vec![machine_type],
            machines: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_serial: 0,
            outage: false,
            capacity: 20,
            types_without_capacity: BTreeSet::new(),
            never_boot: BTreeSet::new(),
            rentals: 0,
        }
    }

    /// Rents out a machine of the first type, even beyond the capacity, and returns its name.
    pub fn add_machine(&mut self, now: Duration, zone: &str, spot: bool) -> String {
        let kind = self.types[0].name.clone();
        self.add_machine_of_type(now, kind, zone, spot)
    }

    /// Rents out a machine of a type, even beyond the capacity, and returns its name.
    pub fn add_machine_of_type(&mut self, now: Duration, kind: String, zone: &str, spot: bool) -> String {
        let name = format!("n-{:06}", self.next_serial);
        self.next_serial += 1;
        self.machines
            .insert(name.clone(), RentedMachine { kind, zone: zone.into(), spot, rented_at: now, booted: false });
        name
    }

    /// Offers a further machine type, made from the first one.
    pub fn add_type(&mut self, change: impl FnOnce(MachineType) -> MachineType) {
        let machine_type = change(self.types[0].clone());
        self.types.push(machine_type);
    }

    /// Executes an operation.
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
                if free == 0 || self.types_without_capacity.contains(&rental.machine_type) {
                    return CloudResponse::NoCapacity;
                }
                self.rentals += 1;
                let kind = &rental.machine_type;
                let names: Vec<String> = (0..rental.count.min(free))
                    .map(|_| self.add_machine_of_type(now, kind.clone(), &rental.zone, rental.spot))
                    .collect();
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
                let rows = self.machines.iter().filter(|(name, _)| after.as_ref().is_none_or(|after| *name > after));
                let mut machines = rows.map(|(name, machine)| ListedMachine {
                    id: name.clone(),
                    addr: name.clone(),
                    machine_type: machine.kind.clone(),
                    zone: machine.zone.clone(),
                    spot: machine.spot,
                    phase: if machine.booted { Phase::Running } else { Phase::Booting },
                    age_s: (now - machine.rented_at).as_secs_f64(),
                });
                let page = machines.by_ref().take(PAGE_SIZE).collect();
                CloudResponse::Listing(Listing { machines: page, more: machines.next().is_some() })
            }
        }
    }
}
