//! The ways in which machines get out of the controllers' reach, and back.

use std::time::Duration;

use super::World;

/// What becomes of packets between the controllers and a machine while the network is interrupted.
///
/// What its worker reports is held back and arrives afterwards, in the order in which it was sent; the worker
/// has given it up by then, so that the answers are lost. What the controllers send over an open connection is
/// held back in the same way, while a new connection cannot be opened.
#[derive(Clone, Copy, Debug)]
pub struct Interruption {
    /// When packets pass again.
    pub until: Duration,
    /// Whether the controllers have connections to the machine that stay open.
    pub connected: bool,
}

/// How a machine is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreachable {
    /// The network is interrupted, with connections that stay open.
    HeldConnected,
    /// The network is interrupted, and no connection is open.
    HeldUnconnected,
    /// What is sent either way is lost.
    Cut,
    /// Answers and commands to it are lost, its reports arrive.
    Deaf,
    /// Its reports are lost, commands reach it.
    Mute,
    /// It stands still with all that is on it.
    Hangs,
    /// Commands are held back, and carried out late.
    OrdersHeld,
    /// Reports are held back.
    ReportsHeld,
    /// One controller alone does not reach it, nor it that one.
    LinkCut {
        /// The controller.
        node: usize,
    },
}

impl World {
    /// A machine gets out of reach for so long; [`World::regain`] ends what does not end by itself.
    pub fn lose(&mut self, machine: &str, how: Unreachable, lasts: Duration) {
        let until = self.now + lasts;
        let name = machine.to_owned();
        match how {
            Unreachable::HeldConnected => self.interrupt(name, until, true),
            Unreachable::HeldUnconnected => self.interrupt(name, until, false),
            Unreachable::Cut => drop(self.cut.insert(name)),
            Unreachable::Deaf => drop(self.deaf.insert(name)),
            Unreachable::Mute => drop(self.mute.insert(name)),
            Unreachable::Hangs => drop(self.hang.insert(name, until)),
            Unreachable::OrdersHeld => drop(self.hold_orders.insert(name, until)),
            Unreachable::ReportsHeld => drop(self.hold_reports.insert(name, until)),
            Unreachable::LinkCut { node } => drop(self.cut_links.insert((node, name))),
        }
    }

    /// A machine is reached again.
    pub fn regain(&mut self, machine: &str) {
        self.interrupted.remove(machine);
        self.cut.remove(machine);
        self.deaf.remove(machine);
        self.mute.remove(machine);
        self.hang.remove(machine);
        self.hold_orders.remove(machine);
        self.hold_reports.remove(machine);
        self.cut_links.retain(|(_, cut)| cut != machine);
    }

    fn interrupt(&mut self, machine: String, until: Duration, connected: bool) {
        self.interrupted.insert(machine, Interruption { until, connected });
    }
}
