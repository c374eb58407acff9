//! The ways in which machines get out of the controllers' reach, and back.

use std::time::Duration;

use super::Simulation;

/// What becomes of packets between the controllers and a machine while the network is interrupted.
///
/// What its worker reports is held back and arrives afterwards, in the order in which it was sent; the worker
/// has given it up by then, so that the answers are lost. What the controllers send over an open connection is
/// held back in the same way, while a new connection cannot be opened.
#[derive(Clone, Copy, Debug)]
pub struct NetworkInterruption {
    /// When packets pass again.
    pub until: Duration,
    /// Whether the controllers have connections to the machine that stay open.
    pub connected: bool,
}

/// How a machine is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineFault {
    /// The network is interrupted, with connections that stay open.
    InterruptedWithOpenConnections,
    /// The network is interrupted, and no connection is open.
    InterruptedWithoutConnections,
    /// What is sent either way is lost.
    Partitioned,
    /// Answers and commands to it are lost, its reports arrive.
    InboundLost,
    /// Its reports are lost, commands reach it.
    ReportsLost,
    /// It stands still with all that is on it.
    Frozen,
    /// Commands are held back, and carried out late.
    OrdersDelayed,
    /// Reports are held back.
    ReportsDelayed,
    /// One controller alone does not reach it, nor it that one.
    LinkPartitioned {
        /// The controller.
        node: usize,
    },
}

impl Simulation {
    /// A machine gets out of reach for so long; [`Simulation::clear_fault`] ends what does not end by itself.
    pub fn inject_fault(&mut self, machine: &str, how: MachineFault, lasts: Duration) {
        let until = self.now + lasts;
        let name = machine.to_owned();
        match how {
            MachineFault::InterruptedWithOpenConnections => self.interrupt_network(name, until, true),
            MachineFault::InterruptedWithoutConnections => self.interrupt_network(name, until, false),
            MachineFault::Partitioned => drop(self.partitioned_machines.insert(name)),
            MachineFault::InboundLost => drop(self.lost_inbound.insert(name)),
            MachineFault::ReportsLost => drop(self.lost_reports.insert(name)),
            MachineFault::Frozen => drop(self.frozen_until.insert(name, until)),
            MachineFault::OrdersDelayed => drop(self.delayed_orders_until.insert(name, until)),
            MachineFault::ReportsDelayed => drop(self.delayed_reports_until.insert(name, until)),
            MachineFault::LinkPartitioned { node } => drop(self.partitioned_links.insert((node, name))),
        }
    }

    /// A machine is reached again.
    pub fn clear_fault(&mut self, machine: &str) {
        self.interruptions.remove(machine);
        self.partitioned_machines.remove(machine);
        self.lost_inbound.remove(machine);
        self.lost_reports.remove(machine);
        self.frozen_until.remove(machine);
        self.delayed_orders_until.remove(machine);
        self.delayed_reports_until.remove(machine);
        self.partitioned_links.retain(|(_, cut)| cut != machine);
    }

    fn interrupt_network(&mut self, machine: String, until: Duration, connected: bool) {
        self.interruptions.insert(machine, NetworkInterruption { until, connected });
    }
}
