//! Determines which tasks a machine must still be ordered to stop.
//!
//! Keeps a cancelled task from running longer than it may. A response to a report renews the worker's lease for all
//! of its tasks, so it carries every stop that has not taken effect, whatever was sent before: an earlier response or
//! direct call may have been lost.

use std::time::{Duration, Instant};

use rushyoke_wire::worker::Order;

use super::order_log::OrderEvent;
use super::{Attempt, Channel, Machine};
use crate::env::Env;
use crate::jobs::{Name, Placement, Stage, StopRequest, TaskKey};
use crate::term::Term;

/// Most bytes of the stops in one message; workers accept lines of up to 64 KiB.
const MAX_STOP_BYTES: usize = 48 * 1024;
/// Approximate size of an encoded order without its task's name.
const ORDER_OVERHEAD_BYTES: usize = 80;
/// Time after which a stop is repeated by a direct call if the worker responded but the task runs on.
const STOP_REPEAT_DELAY: Duration = Duration::from_secs(1);
/// Time after which a stop with a grace period is repeated if it shows no effect.
const GRACEFUL_STOP_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The orders of one message to a machine.
#[derive(Debug, Default)]
pub(super) struct MachineOrders {
    /// Orders in the sequence in which they are sent.
    pub orders: Vec<Order>,
    /// Approximate size of its stops.
    stop_bytes: usize,
    /// Those of them that were sent before.
    pub repeated: Vec<(OrderEvent, Attempt)>,
    /// Some stops did not fit into the message, so it must not renew the worker's lease.
    pub stops_omitted: bool,
}

impl MachineOrders {
    /// Returns a message that stops these attempts at once.
    pub fn with_stops<'a>(attempts: impl IntoIterator<Item = &'a Attempt>) -> MachineOrders {
        let mut message = MachineOrders::default();
        for attempt in attempts {
            message.try_add_stops([attempt.stop(0.0)]);
        }
        message
    }

    /// Adds orders that belong together if they fit into the message, and returns whether they did.
    fn try_add_stops<const N: usize>(&mut self, orders: [Order; N]) -> bool {
        let bytes: usize = orders.iter().map(|order| order.task().len() + ORDER_OVERHEAD_BYTES).sum();
        let fits = self.stop_bytes + bytes <= MAX_STOP_BYTES;
        if fits {
            self.orders.extend(orders);
            self.stop_bytes += bytes;
        }
        self.stops_omitted |= !fits;
        fits
    }
}

impl Term {
    /// Returns the stops to send to the machine now.
    pub(super) fn stops_for(&mut self, now: Instant, name: &Name, channel: Channel) -> MachineOrders {
        let Some(machine) = self.machines.get(name) else {
            return MachineOrders::default();
        };
        let alive = machine.unexpected_attempts.iter().filter(|unexpected| unexpected.is_alive);
        let mut message = MachineOrders::with_stops(alive.map(|unexpected| &unexpected.attempt));
        if machine.fenced_at.is_some() && machine.orders_due {
            for key in &machine.tasks {
                let placement =
                    self.jobs.get_mut(&key.0).and_then(|job| job.placements.get_mut(&key.1)).expect("placed");
                if placement.stop.is_some() {
                    add_stop(now, channel, key, placement, &mut message);
                }
            }
        }
        message
    }

    /// Calls a machine to see whether its worker is alive, and sends it the stops that are due.
    pub(super) fn probe(&mut self, env: &mut Env, name: &Name) {
        let MachineOrders { orders, .. } = self.stops_for(env.steady(), name, Channel::Direct);
        self.start_direct_call(env, name, orders);
    }

    /// Arranges the next direct call after a response, if the machine must still stop tasks. If the last call carried
    /// stops (`stops_sent`), the worker first gets some time to carry them out.
    pub(super) fn repeat_stops(&mut self, now: Instant, name: &Name, stops_sent: bool) {
        let Some(machine) = self.machines.get_mut(name).filter(|machine| machine.has_immediate_stops) else {
            return;
        };
        if stops_sent {
            machine.next_call_at = Some(now + STOP_REPEAT_DELAY);
            machine.call_postponed = true;
        } else {
            self.queue_direct_call(name);
        }
    }

    /// Whether the machine is known to run tasks that must end at once.
    pub(super) fn has_task_to_stop_now(&self, machine: &Machine) -> bool {
        let must_end = |(job, task): &TaskKey| {
            let placement = self.jobs.get(job).and_then(|job| job.placements.get(task));
            placement.is_some_and(|placement| {
                placement.stage.is_reported() && placement.stop.is_some_and(|stop| stop.is_immediate())
            })
        };
        machine.unexpected_attempts.iter().any(|unexpected| unexpected.is_alive) || machine.tasks.iter().any(must_end)
    }
}

/// Adds the orders that are due now for a task that must leave its machine.
fn add_stop(now: Instant, channel: Channel, key: &TaskKey, placement: &mut Placement, message: &mut MachineOrders) {
    let attempt = Attempt::of(key, placement);
    let Some(stop) = placement.stop.as_mut().filter(|_| !matches!(placement.stage, Stage::Planned | Stage::Inherited))
    else {
        return;
    };
    let added = if !placement.stage.is_reported() {
        // The start may have been lost or may arrive late. Starting and stopping the task at once
        // leaves an entry on the worker that keeps a late duplicate of the start from running.
        channel == Channel::Report && message.try_add_stops([attempt.start(), attempt.stop(0.0)])
    } else {
        let due = is_due(now, stop, placement.stage);
        due && message.try_add_stops([attempt.stop(stop.grace_s)])
    };
    if added {
        if stop.last_sent.is_some() {
            message.repeated.push((OrderEvent::StopRepeated, attempt));
        }
        stop.last_sent = Some(now);
    }
}

/// Whether a stop is to be sent now. An immediate stop goes with every message until it shows an effect, since it can be
/// repeated freely. A stop with a grace period is repeated only while the task is not saving.
fn is_due(now: Instant, stop: &StopRequest, stage: Stage) -> bool {
    let sent_recently =
        stop.last_sent.is_some_and(|sent_at| now.duration_since(sent_at) <= GRACEFUL_STOP_REPEAT_INTERVAL);
    stop.is_immediate() || stop.last_sent.is_none() || stage != Stage::Saving && !sent_recently
}
