//! Which tasks a machine must still be told to stop.
//!
//! Guards against a cancelled task that outlives its time. An answer to a report renews the worker's lease for all
//! that it runs, so it carries every stop that has shown no effect, whatever was sent before: an earlier answer, or
//! call, may have been lost.

use std::time::{Duration, Instant};

use rushyoke_wire::worker::Order;

use super::{Attempt, Channel, Machine};
use crate::env::Env;
use crate::jobs::{Name, Place, Stage, StopRequest, TaskKey};
use crate::term::Term;

/// Bytes of the stops in one message; workers take lines of up to 64 KiB.
const MAX_STOP_BYTES: usize = 48 * 1024;
/// Bytes of an encoded order beside its task's name, about.
const ORDER_OVERHEAD_BYTES: usize = 80;
/// A stop that was carried out and shows no effect is repeated after this time.
const STOP_REPEAT_DELAY: Duration = Duration::from_secs(1);
/// A stop with grace that shows no effect is repeated after this time.
const GRACEFUL_STOP_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The orders of one message to a machine.
#[derive(Debug, Default)]
pub(super) struct MachineOrders {
    pub orders: Vec<Order>,
    /// What its stops take, about.
    stop_bytes: usize,
    /// There are more stops than a message can hold: it must not renew the worker's lease.
    pub stops_omitted: bool,
}

impl MachineOrders {
    /// Stops these attempts at once.
    pub fn with_stops<'a>(attempts: impl IntoIterator<Item = &'a Attempt>) -> MachineOrders {
        let mut message = MachineOrders::default();
        for (task, attempt) in attempts {
            message.try_add_stops([Order::Stop { task: task.clone(), attempt: *attempt, grace_s: 0.0 }]);
        }
        message
    }

    /// Adds stops that belong together, if there is room; false if there is none.
    fn try_add_stops<const N: usize>(&mut self, stops: [Order; N]) -> bool {
        let bytes: usize = stops.iter().map(|order| order.task().len() + ORDER_OVERHEAD_BYTES).sum();
        let room = self.stop_bytes + bytes <= MAX_STOP_BYTES;
        if room {
            self.orders.extend(stops);
            self.stop_bytes += bytes;
        }
        self.stops_omitted |= !room;
        room
    }
}

impl Term {
    /// The stops that the machine should be told now.
    pub(super) fn stops_for(&mut self, now: Instant, name: &Name, via: Channel) -> MachineOrders {
        let Some(machine) = self.machines.get(name) else {
            return MachineOrders::default();
        };
        let unexpected = machine.unexpected.iter().filter(|(_, exited)| !exited);
        let mut message = MachineOrders::with_stops(unexpected.map(|(attempt, _)| attempt));
        if machine.fenced.is_some() && machine.orders_due {
            for key in &machine.tasks {
                let place = self.jobs.get_mut(&key.0).and_then(|job| job.places.get_mut(&key.1)).expect("placed");
                if place.stop.is_some() {
                    stop_place(now, via, key, place, &mut message);
                }
            }
        }
        message
    }

    /// Calls a machine to see whether it lives, and tells it what it must stop.
    pub(super) fn probe(&mut self, env: &mut Env, name: &Name) {
        let MachineOrders { orders, .. } = self.stops_for(env.steady(), name, Channel::Direct);
        self.start_direct_call(env, name, orders);
    }

    /// A call was answered: what its machine must stop still, if anything, goes with the next one. A worker that
    /// was told and goes on all the same is given a moment.
    pub(super) fn repeat_stops(&mut self, now: Instant, name: &Name, told: bool) {
        let Some(machine) = self.machines.get_mut(name).filter(|machine| machine.has_immediate_stops) else {
            return;
        };
        if told {
            machine.next_call_at = Some(now + STOP_REPEAT_DELAY);
            machine.call_postponed = true;
        } else {
            self.call_soon(name);
        }
    }

    /// Whether the machine was seen to run what must end at once.
    pub(super) fn has_task_to_stop_now(&self, machine: &Machine) -> bool {
        let must_end = |(job, task): &TaskKey| {
            let place = self.jobs.get(job).and_then(|job| job.places.get(task));
            place.is_some_and(|place| place.stage.is_seen() && place.stop.is_some_and(|stop| stop.is_immediate()))
        };
        machine.unexpected.iter().any(|(_, exited)| !exited) || machine.tasks.iter().any(must_end)
    }
}

/// Adds what the machine of a task that must leave should be told of it now.
fn stop_place(now: Instant, via: Channel, key: &TaskKey, place: &mut Place, message: &mut MachineOrders) {
    let Some(stop) = place.stop.as_mut().filter(|_| !matches!(place.stage, Stage::Planned | Stage::Inherited)) else {
        return;
    };
    let (task, attempt) = (format!("{}/{}", key.0, key.1), place.attempt);
    let sent = if !place.stage.is_seen() {
        // The start may have been lost or be late: started and stopped at once,
        // the entry that remains keeps a late copy from running.
        let start = Order::Start { task: task.clone(), attempt };
        via == Channel::Report && message.try_add_stops([start, Order::Stop { task, attempt, grace_s: 0.0 }])
    } else {
        let due = is_due(now, stop, place.stage);
        due && message.try_add_stops([Order::Stop { task, attempt, grace_s: stop.grace_s }])
    };
    if sent {
        stop.sent = Some(now);
    }
}

/// An immediate stop goes with every message until its effect is seen, since it can be repeated freely. One that
/// saves is told again only if it must not.
fn is_due(now: Instant, stop: &StopRequest, stage: Stage) -> bool {
    let told_lately = stop.sent.is_some_and(|sent| now.duration_since(sent) <= GRACEFUL_STOP_REPEAT_INTERVAL);
    stop.is_immediate() || stop.sent.is_none() || stage != Stage::Saving && !told_lately
}
