//! What is free on the machines that run, boot or were requested.

use crate::env::Env;
use crate::quota::Resources;
use crate::term::Term;

use super::LATE_AFTER_BOOT_TIMES;
use super::demand::TaskGroup;
use super::requirements::resources_of;

/// Boot time of a machine type if the cloud does not give it.
const DEFAULT_BOOT_S: f64 = 60.0;

/// A machine and what is free on it.
struct FreeMachine<'a> {
    type_name: &'a str,
    zone: &'a str,
    spot: bool,
    free: Resources,
}

/// Resources that are free now or once machines have booted.
#[derive(Default)]
pub(super) struct Supply<'a> {
    machines: Vec<FreeMachine<'a>>,
    /// CPUs in use.
    pub in_use: f64,
    /// CPUs on on-demand machines that tasks which may use spot machines leave free.
    pub reserved_on_demand_cpus: f64,
}

impl Supply<'_> {
    /// Returns the sum of what is free on spot machines, or on on-demand machines.
    pub fn total(&self, spot: bool) -> Resources {
        let mut total = Resources::default();
        for machine in self.machines.iter().filter(|machine| machine.spot == spot) {
            total.add(machine.free);
        }
        total
    }

    /// Lets the tasks of a group use what is free, spot machines first, and returns how many of them no machine has room
    /// for.
    pub fn take(&mut self, group: &TaskGroup) -> u32 {
        let mut tasks = group.tasks;
        if group.requirements.allows_spot() {
            tasks = self.take_from(group, tasks, true);
            let spare_cpus = self.total(false).cpus - self.reserved_on_demand_cpus;
            let allowed = Resources { cpus: spare_cpus, ..Resources::default() }
                .fit_count(Resources { cpus: group.size.cpus, ..Resources::default() });
            let beyond_reserve = tasks.saturating_sub(allowed);
            beyond_reserve + self.take_from(group, tasks - beyond_reserve, false)
        } else {
            self.take_from(group, tasks, false)
        }
    }

    /// Lets tasks of a group use what is free on spot machines, or on on-demand machines, and returns how many of them are
    /// left.
    fn take_from(&mut self, group: &TaskGroup, mut tasks: u32, spot: bool) -> u32 {
        let candidates = self.machines.iter_mut().filter(|machine| machine.spot == spot);
        for machine in candidates.filter(|machine| group.requirements.admits(machine.type_name, machine.zone)) {
            if tasks == 0 {
                break;
            }
            let count = machine.free.fit_count(group.size).min(tasks);
            machine.free.sub(group.size.scaled(f64::from(count)));
            tasks -= count;
        }
        tasks
    }
}

impl Term {
    /// Returns the free resources of machines that run, boot or were requested.
    pub(super) fn supply<'a>(&'a self, env: &'a Env) -> Supply<'a> {
        let now = env.steady();
        let mut supply = Supply::default();
        for machine in self.machines.values().filter(|m| m.counts_as_capacity()) {
            let boot_s =
                env.machine_type(&machine.type_name).map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
            let late =
                !machine.up && now.duration_since(machine.known_since).as_secs_f64() > boot_s * LATE_AFTER_BOOT_TIMES;
            // The size of a machine known only from a record is unknown.
            if late || machine.type_name.is_empty() {
                continue;
            }
            supply.in_use += machine.used.cpus;
            supply.machines.push(FreeMachine {
                type_name: &machine.type_name,
                zone: &machine.zone,
                spot: machine.spot,
                free: machine.total.minus(machine.used),
            });
        }
        for (rental, _) in &self.renting.open_rentals {
            if let Some(machine_type) = env.machine_type(&rental.machine_type) {
                supply.machines.extend((0..rental.count).map(|_| FreeMachine {
                    type_name: &rental.machine_type,
                    zone: &rental.zone,
                    spot: rental.spot,
                    free: resources_of(machine_type),
                }));
            }
        }
        supply
    }
}
