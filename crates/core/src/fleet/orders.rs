//! Orders to workers, in answers to reports and in direct calls.
//!
//! Guards against a late start: one that went out directly and was not answered may still run, so the
//! exited entry that would stop it is kept, with no `clear`, until the order is resolved.

use std::time::{Duration, Instant};

use rushyoke_wire::worker::{Order, Orders, Report};

use super::direct_calls::DirectCall;
use super::stop_statistics::StopEvent;
use super::stops::MachineOrders;
use super::{Attempt, Channel};
use crate::env::Env;
use crate::io::*;
use crate::jobs::*;
use crate::term::Term;

/// Orders in one message, stops apart; the rest goes with the next.
const MAX_ORDERS: usize = 200;
/// After a direct order failed, the next one waits.
const DIRECT_RETRY: Duration = Duration::from_millis(500);
/// The wait grows by itself up to so many times: when a zone is cut off, hundreds of machines
/// cannot be called, and each will report by itself once it can.
const MOST_BACKOFF: u32 = 6;

impl Term {
    /// The outcome of direct orders.
    pub fn direct_call_finished(&mut self, env: &mut Env, name: &Name, outcome: Outcome<(u16, Report)>) {
        let now = env.steady();
        self.direct_calls_in_flight -= 1;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let Some(direct) = machine.direct_call.take() else {
            return;
        };
        let fate = match &outcome {
            Outcome::Responded((200, _)) => StopEvent::Done,
            Outcome::Responded(_) => StopEvent::Refused,
            _ => StopEvent::Lost,
        };
        self.stops.record(fate, direct.cancelled_stops);
        match outcome {
            Outcome::Responded((status, report)) if report.machine == **name => {
                if status == 409 {
                    // Nothing of it was executed, nor will be.
                    let session = report.session;
                    tracing::debug!(machine = &**name, session, token = report.token, "direct orders refused");
                }
                if (report.session, report.seq) < direct.newest_message {
                    // The answer is fresh and yet older than what was known before the call:
                    // the worker began anew, and what it lists is all that is there. But a
                    // start that was not answered may still run there: it goes with the machine.
                    let unresolved = machine.unresolved_starts.len();
                    tracing::info!(machine = &**name, unresolved, "its worker began anew");
                    (machine.session, machine.seq, machine.newest_report) = (0, 0, (0, 0));
                    machine.responses_lost |= unresolved > 0;
                    machine.releasing |= machine.responses_lost;
                }
                self.apply_report(env, name, &report, Channel::Direct);
                self.repeat_stops(now, name, direct.has_stops);
                let Some(machine) = self.machines.get_mut(name) else {
                    return;
                };
                if status == 409 && machine.fenced.is_some() {
                    machine.next_call_at = Some(now + DIRECT_RETRY / 4);
                    machine.call_postponed = true;
                } else if machine.fenced.is_none() || std::mem::take(&mut machine.call_postponed) {
                    // It did not know the session; now it is known. Or there are orders since.
                    self.call_soon(name);
                }
            }
            outcome => {
                machine.note_failed_call(now, DIRECT_RETRY, MOST_BACKOFF);
                // Unless it was surely not carried out, what it started may run yet.
                if !matches!(outcome, Outcome::NotExecuted) && machine.session == direct.session {
                    machine.unresolved_starts.extend(direct.starts);
                }
            }
        }
    }

    /// What the machine should be told now: stops first, since they free room and an answer must hold all of them.
    pub(super) fn orders_for(&mut self, now: Instant, name: &Name, via: Channel) -> MachineOrders {
        let mut message = self.stops_for(now, name, via);
        let Some(machine) = self.machines.get_mut(name) else {
            return message;
        };
        if machine.fenced.is_none() || !machine.orders_due {
            return message;
        }
        let mut due_again = !machine.unexpected.is_empty() || !machine.exited.is_empty();
        for key in &machine.tasks {
            let place = self.jobs.get_mut(&key.0).and_then(|job| job.placements.get_mut(&key.1)).expect("placed");
            due_again |= !place.stage.is_reported() || place.stop.is_some();
            if place.stop.is_some() || place.stage.is_reported() || message.orders.len() >= MAX_ORDERS {
                continue;
            }
            let task = format!("{}/{}", key.0, key.1);
            let on_its_way = machine.start_in_flight(&(task.clone(), place.attempt));
            message.orders.extend(start_for(via, task, place, on_its_way));
        }
        machine.orders_due = due_again;
        self.forget_exited(name, via, &mut message.orders);
        message
    }

    /// Entries of exited tasks may go once nothing can run because of that.
    fn forget_exited(&self, name: &Name, via: Channel, orders: &mut Vec<Order>) {
        let machine = &self.machines[name];
        let resolved = |attempt: &Attempt| via == Channel::Report && !machine.unresolved_starts(attempt);
        let forget = |(task, attempt): &Attempt| Order::Forget { task: task.clone(), attempt: *attempt };
        let unexpected = machine.unexpected.iter().filter(|(attempt, exited)| *exited && resolved(attempt));
        let unexpected = unexpected.map(|(attempt, _)| forget(attempt));
        orders.extend(unexpected.take(MAX_ORDERS.saturating_sub(orders.len())));
        let durable = |(attempt, key): &(&Attempt, &TaskKey)| resolved(attempt) && self.records.is_durable(key);
        let exited = machine.exited.iter().filter(durable).map(|(attempt, _)| forget(attempt));
        orders.extend(exited.take(MAX_ORDERS.saturating_sub(orders.len())));
    }

    /// A machine has orders, or must be shown the token, before its next report.
    pub fn call_soon(&mut self, name: &Name) {
        if let Some(machine) = self.machines.get(name) {
            self.machines_to_call.insert((machine.call_reason(), name.clone()));
        }
    }

    /// Sends direct orders to the machines that should not wait for their report, those with
    /// services first, as many at a time as there are sockets for.
    pub fn make_calls(&mut self, env: &mut Env) {
        let now = env.steady();
        while self.available_direct_calls(env) > 0 {
            let Some((_, name)) = self.machines_to_call.pop_first() else {
                return;
            };
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            if machine.addr.is_empty() || !machine.up {
                continue;
            }
            if machine.direct_call.is_some() || machine.next_call_at.is_some_and(|t| t > now) {
                machine.call_postponed = true;
                continue;
            }
            let probe = machine.fenced.is_none() || machine.failed_calls > 0;
            let MachineOrders { orders, .. } = self.orders_for(now, &name, Channel::Direct);
            if orders.is_empty() && !probe {
                continue;
            }
            self.start_direct_call(env, &name, orders);
        }
    }

    pub(super) fn start_direct_call(&mut self, env: &mut Env, name: &Name, orders: Vec<Order>) {
        self.direct_call_started();
        let cancelled_stops = self.count_cancelled_stops(&orders);
        self.stops.record(StopEvent::SentByCall, cancelled_stops);
        let machine = self.machines.get_mut(name).expect("known");
        let starts = orders.iter().filter_map(|order| match order {
            Order::Start { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        });
        let session = machine.session;
        let (seen, starts): (_, Vec<Attempt>) = ((session, machine.seq), starts.collect());
        let stops = orders.iter().any(|order| matches!(order, Order::Stop { .. }));
        // A call to a worker that may be out of reach is not waited for long; stops can be repeated, starts cannot.
        let doubtful = orders.is_empty() || machine.failed_calls > 0 || machine.suspect;
        let probe = starts.is_empty() && doubtful;
        tracing::debug!(machine = &**name, token = self.token, session, orders = orders.len(), cancelled_stops, "call");
        machine.direct_call =
            Some(DirectCall { session, newest_message: seen, starts, has_stops: stops, cancelled_stops });
        let body = Orders { token: self.token, session: Some(session), orders };
        env.call_worker(name.clone(), machine.addr.clone(), body, probe);
    }
}

/// The start of a task that its machine has not shown yet, if it is to be sent now.
fn start_for(via: Channel, task: String, place: &mut Placement, on_its_way: bool) -> Option<Order> {
    if matches!(place.stage, Stage::Planned | Stage::Inherited) {
        return None;
    }
    let due = !place.start_sent || (via == Channel::Report && !on_its_way);
    due.then(|| {
        place.start_sent = true;
        Order::Start { task, attempt: place.attempt }
    })
}
