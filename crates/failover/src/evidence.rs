//! Observations of zones, and the evidence on which their state changes.

use std::collections::{BTreeMap, BTreeSet};

/// An observation of a zone's machines at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneView {
    /// Machines that came up and are not known to be gone.
    pub machines: usize,
    /// Machines whose reports are overdue.
    pub overdue: usize,
    /// Machines that did not respond to the last direct call to them, whether or not they report.
    pub unreachable: usize,
    /// Machines that are overdue, unreachable, or respond to calls while their reports do not arrive.
    pub out_of_contact: usize,
    /// On-demand machines, which the cloud does not reclaim.
    pub on_demand: usize,
    /// On-demand machines that are out of contact.
    pub on_demand_out_of_contact: usize,
    /// Machines whose reports arrive in time and get a response.
    pub in_time: usize,
    /// Tasks placed on machines that are out of contact.
    pub tasks_out_of_contact: usize,
    /// CPUs of the machines that are in contact.
    pub cpus: f64,
    /// CPUs of the largest machine.
    pub largest_machine_cpus: f64,
}

impl ZoneView {
    /// Returns the share of the machines that is out of contact, or the share of the on-demand machines if that is
    /// smaller. The cloud reclaims many spot machines at once, which does not mean that their zone is lost.
    pub fn out_of_contact_share(&self) -> f64 {
        let of_all = share(self.out_of_contact, self.machines);
        if self.on_demand == 0 { of_all } else { of_all.min(share(self.on_demand_out_of_contact, self.on_demand)) }
    }
}

/// Returns `part` as a share of `whole`, or 0 if both are 0.
pub(crate) fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// An observation of the fleet at one moment.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Every zone that ever had a machine, by name.
    pub zones: BTreeMap<String, ZoneView>,
    /// Zones in which most machines of a sample did not respond.
    pub sampled_partitioned: BTreeSet<String>,
    /// Zones from which another controller responds.
    pub zones_with_controller: BTreeSet<String>,
    /// Number of other controllers.
    pub other_controllers: usize,
    /// Number of other controllers that respond.
    pub responding_controllers: usize,
    /// Whether this controller recently stepped down because it was in a minority, and leads again because no other
    /// controller could.
    pub stepped_down: bool,
    /// Whether workers are still looking for this new leader, so that missing reports are not evidence yet.
    pub workers_reconnecting: bool,
}

/// Why a zone's state changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Reports of machines are overdue, or the machines do not respond to calls.
    MachinesOut {
        /// Machines out of contact.
        out: usize,
        /// All machines of the zone.
        of: usize,
    },
    /// Most of a sample of the zone's machines did not respond.
    SampleFailed,
    /// The machines stayed out of contact, and direct calls to them failed.
    CallsFailed {
        /// Machines to which calls failed.
        failed: usize,
        /// Machines out of contact.
        out: usize,
    },
    /// Machines report in time again.
    ReportsInTime {
        /// Machines that report in time.
        in_time: usize,
        /// All machines of the zone.
        of: usize,
    },
    /// The zone has no machines left, and a controller in it responds.
    ControllerAnswers,
    /// The zone has had no machines for the length of a probation; it is tried again with new ones.
    NoMachines,
    /// Too few machines are out of contact to keep the zone suspect.
    MachinesBack {
        /// Machines out of contact.
        out: usize,
        /// All machines of the zone.
        of: usize,
    },
    /// Probation passed without a relapse.
    ProbationPassed,
}
