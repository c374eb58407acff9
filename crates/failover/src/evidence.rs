//! What is seen of zones, and the evidence on which their state changes.

use std::collections::{BTreeMap, BTreeSet};

/// What is seen of a zone's machines at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneView {
    /// Machines that came up and are not known to be gone.
    pub machines: usize,
    /// Machines whose reports are overdue.
    pub overdue: usize,
    /// Machines that did not answer their last direct call, whatever they report.
    pub unreachable: usize,
    /// Machines that are overdue, unreachable, or answer calls while their reports do not come.
    pub out_of_contact: usize,
    /// Machines that the cloud does not take back.
    pub ordinary: usize,
    /// Ordinary machines that are out.
    pub ordinary_out_of_contact: usize,
    /// Machines whose reports come in time and are answered.
    pub in_time: usize,
    /// Tasks placed on machines that are out.
    pub tasks_out_of_contact: usize,
    /// CPUs of the machines that are not out.
    pub cpus: f64,
    /// CPUs of the largest machine.
    pub largest_machine_cpus: f64,
}

impl ZoneView {
    /// Share of the machines that is out of reach, or of the ordinary ones if that is less: the cloud takes
    /// spot machines back in waves, which is no loss of their zone.
    pub fn out_of_contact_share(&self) -> f64 {
        let of_all = share(self.out_of_contact, self.machines);
        if self.ordinary == 0 { of_all } else { of_all.min(share(self.ordinary_out_of_contact, self.ordinary)) }
    }
}

/// A part of a whole; of nothing, none.
pub(crate) fn share(part: usize, of: usize) -> f64 {
    part as f64 / of.max(1) as f64
}

/// What is seen of the fleet at one moment.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Zones by name; all that ever had a machine.
    pub zones: BTreeMap<String, ZoneView>,
    /// Zones of which most of a sample of machines did not answer.
    pub sampled_partitioned: BTreeSet<String>,
    /// Zones from which another controller answers.
    pub zones_with_controller: BTreeSet<String>,
    /// Other controllers, and how many of them answer.
    pub other_controllers: usize,
    /// Controllers that answer.
    pub responding_controllers: usize,
    /// This controller gave way for that reason lately, and leads again: nobody else could.
    pub stepped_down: bool,
    /// Workers still look for this leader: missing reports show nothing yet.
    pub workers_reconnecting: bool,
}

/// Why a zone's state changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Reports of this many machines are overdue, or they do not answer calls.
    MachinesOut {
        /// Machines out of reach.
        out: usize,
        /// Machines in all.
        of: usize,
    },
    /// Most of a sample of the zone's machines did not answer.
    SampleFailed,
    /// They stayed out of reach, and direct calls to them failed.
    CallsFailed {
        /// Machines to which calls failed.
        failed: usize,
        /// Machines out of reach.
        out: usize,
    },
    /// Machines report in time again.
    ReportsInTime {
        /// Machines that do.
        in_time: usize,
        /// Machines in all.
        of: usize,
    },
    /// The zone has no machines left, and a controller in it answers.
    ControllerAnswers,
    /// The zone has had no machines for as long as a probation: new ones may tell.
    NoMachines,
    /// Too few machines are out of reach for a suspicion.
    MachinesBack {
        /// Machines out of reach.
        out: usize,
        /// Machines in all.
        of: usize,
    },
    /// Probation passed without a relapse.
    ProbationPassed,
}
