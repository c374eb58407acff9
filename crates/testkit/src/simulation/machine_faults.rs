//! Fault injection: the ways in which controllers lose contact with a machine, late copies of calls, and the end of all
//! injected faults.

use std::time::Duration;

use rand::RngExt;

use super::Simulation;

/// A temporary interruption of the network between the controllers and a machine.
///
/// The worker's reports are delayed and arrive afterwards, in the order in which they were sent. The worker has
/// given them up by then, so the responses are lost. What the controllers send over an open connection is
/// delayed in the same way, while a new connection cannot be opened.
#[derive(Clone, Copy, Debug)]
pub struct NetworkInterruption {
    /// When the interruption ends.
    pub until: Duration,
    /// Whether the controllers have connections to the machine that stay open.
    pub connections_open: bool,
}

/// A fault by which controllers lose contact with a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineFault {
    /// The network is interrupted, and the controllers' connections stay open.
    InterruptedWithOpenConnections,
    /// The network is interrupted, and the controllers have no open connection.
    InterruptedWithoutConnections,
    /// Messages are lost in both directions.
    Partitioned,
    /// Responses and orders to the machine are lost, while its reports arrive.
    InboundLost,
    /// The machine's reports are lost, while orders reach it.
    ReportsLost,
    /// The machine is frozen, with all its tasks.
    Frozen,
    /// Direct calls are delayed, and their orders carried out late.
    OrdersDelayed,
    /// Reports are delayed.
    ReportsDelayed,
    /// Messages between the machine and one controller are lost in both directions.
    LinkPartitioned {
        /// The controller.
        node: usize,
    },
}

impl Simulation {
    /// Injects a fault into a machine. Interruptions and frozen machines recover after `duration`; the other
    /// faults last until [`Simulation::clear_fault`], with delayed messages arriving after `duration`.
    pub fn inject_fault(&mut self, machine: &str, fault: MachineFault, duration: Duration) {
        let until = self.now + duration;
        let name = machine.to_owned();
        match fault {
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

    /// From now on, copies of each direct call that a machine answers arrive at it again after each of these delays.
    pub fn copy_orders_after(&mut self, delays: &[Duration]) {
        let copies = self.workers.keys().map(|machine| (machine.clone(), delays.to_vec()));
        self.copied_orders_after = copies.collect();
    }

    /// Lets copies of direct calls arrive late at about half of the machines: up to three of each call, from
    /// milliseconds to a minute after it.
    pub fn draw_order_copies(&mut self, rng: &mut impl RngExt) {
        for machine in self.workers.keys() {
            if rng.random_range(0..2) == 0 {
                let delays = (0..rng.random_range(1..4)).map(|_| Duration::from_millis(10 << rng.random_range(0..13)));
                self.copied_orders_after.insert(machine.clone(), delays.collect());
            }
        }
    }

    /// Delivers copies of all recorded direct calls with starts to their machines at once.
    pub fn deliver_recorded_starts(&mut self) {
        for (machine, copy) in self.recorded_starts.clone() {
            self.deliver_order_copy(machine, copy);
        }
    }

    /// Ends the injected faults: lost, delayed and duplicated messages, frozen machines, load and outages.
    pub fn clear_faults(&mut self) {
        self.partitioned_from_store.clear();
        self.partitioned_from_workers.clear();
        self.partitioned_from_peers.clear();
        self.partitioned_machines.clear();
        self.delayed_orders_until.clear();
        self.copied_orders_after.clear();
        self.delayed_reports_until.clear();
        self.lost_inbound.clear();
        self.duplicated_reports_after.clear();
        self.partitioned_links.clear();
        self.nodes_without_updates.clear();
        self.slow_txns_until.clear();
        self.timed_out_txns_until.clear();
        self.delayed_lists_until = None;
        self.hung_watches.clear();
        self.lost_txn_responses.clear();
        self.delayed_responses_until.clear();
        self.store_response_delay.clear();
        self.interruptions.clear();
        self.lost_reports.clear();
        self.frozen_until.clear();
        self.replay_reports_after = None;
        self.recorded_reports.clear();
        self.delayed_relay_responses_until = None;
        self.renewals_to_lose = 0;
        self.lose_rental_responses = false;
        self.processor_load.clear();
        self.cloud.outage = false;
        if self.store.outage {
            let now = self.now;
            self.store.end_outage(now);
        }
    }

    /// Ends all faults of a machine.
    pub fn clear_fault(&mut self, machine: &str) {
        self.interruptions.remove(machine);
        self.partitioned_machines.remove(machine);
        self.lost_inbound.remove(machine);
        self.lost_reports.remove(machine);
        self.frozen_until.remove(machine);
        self.delayed_orders_until.remove(machine);
        self.copied_orders_after.remove(machine);
        self.delayed_reports_until.remove(machine);
        self.partitioned_links.retain(|(_, partitioned)| partitioned != machine);
    }

    fn interrupt_network(&mut self, machine: String, until: Duration, connections_open: bool) {
        self.interruptions.insert(machine, NetworkInterruption { until, connections_open });
    }
}
