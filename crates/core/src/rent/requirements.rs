//! Which machines can take the tasks of a job, as far as renting has to know.

use rushyoke_wire::cloud::MachineType;
use rushyoke_wire::job::JobSpec;

use crate::quota::Resources;

/// The machines that can take the tasks of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Requirements {
    /// Names of the machine types that are allowed and large enough; `None` if all are.
    types: Option<Vec<String>>,
    /// The allowed zones; `None` if all are.
    zones: Option<Vec<String>>,
    /// Whether spot machines are allowed.
    spot: bool,
}

impl Requirements {
    /// Returns the requirements of tasks that any on-demand machine can take, or any machine if `spot` is set.
    pub fn any_machine(spot: bool) -> Requirements {
        Requirements { types: None, zones: None, spot }
    }

    /// Returns the requirements of a job's tasks in these zones, or in any if `None`.
    pub fn of(spec: &JobSpec, zones: Option<Vec<String>>, machine_types: &[MachineType]) -> Requirements {
        let need = Resources::of(spec);
        let is_suitable = |machine_type: &&MachineType| {
            spec.types.as_ref().is_none_or(|types| types.contains(&machine_type.name))
                && resources_of(machine_type).can_fit(need)
        };
        let suitable: Vec<String> = machine_types.iter().filter(is_suitable).map(|t| t.name.clone()).collect();
        let types = (suitable.len() < machine_types.len()).then_some(suitable);
        Requirements { types, zones, spot: spec.spot }
    }

    /// Returns the same requirements without spot machines.
    pub fn on_demand_only(&self) -> Requirements {
        Requirements { spot: false, ..self.clone() }
    }

    /// Whether spot machines are allowed.
    pub fn allows_spot(&self) -> bool {
        self.spot
    }

    /// Whether not every type in every zone will do.
    pub fn is_bound(&self) -> bool {
        self.types.is_some() || self.zones.is_some()
    }

    /// Whether a machine of this type in this zone will do.
    pub fn admits(&self, type_name: &str, zone: &str) -> bool {
        let contains = |names: &Option<Vec<String>>, name: &str| {
            names.as_ref().is_none_or(|names| names.iter().any(|listed| listed == name))
        };
        contains(&self.types, type_name) && contains(&self.zones, zone)
    }

    /// Returns the number of combinations of a type and a zone on offer that will do.
    pub fn count_offers(&self, machine_types: &[MachineType]) -> usize {
        let offers = machine_types.iter().flat_map(|t| t.zones.iter().map(move |zone| (&t.name, zone)));
        offers.filter(|(type_name, zone)| self.admits(type_name, zone)).count()
    }
}

/// Returns the resources of a machine of this type.
pub(super) fn resources_of(machine_type: &MachineType) -> Resources {
    Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb }
}
