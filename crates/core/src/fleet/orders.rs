//! Orders to workers, sent in responses to reports and in direct calls.
//!
//! Keeps a late start from running a task a second time: a direct call may be carried out late, or again after its
//! response. The worker's entry for the exited task refuses the start until it is forgotten, and a `forget` order goes only
//! with a token that refuses the call (`tokens`).

use std::time::{Duration, Instant};

use rushyoke_wire::worker::{Order, Orders, Report};

use super::direct_calls::DirectCall;
use super::order_log::{Authority, OrderEvent};
use super::stop_statistics::StopEvent;
use super::stops::MachineOrders;
use super::{Attempt, Channel};
use crate::env::Env;
use crate::io::*;
use crate::jobs::*;
use crate::term::Term;

/// Status of the response to a direct call of which the worker executed nothing, because of its token or session.
const STATUS_REFUSED: u16 = 409;
/// Most orders in one message, not counting stops; the others go with the next message.
const MAX_ORDERS_PER_MESSAGE: usize = 200;
/// Delay of the next direct call after a failed one.
const DIRECT_CALL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Largest multiple of the retry delay. It is high because a partitioned zone leaves hundreds of
/// machines that cannot be called, and each will report by itself once it can.
const MAX_BACKOFF_MULTIPLIER: u32 = 6;

impl Term {
    /// Handles the outcome of a direct call.
    pub fn direct_call_finished(&mut self, env: &mut Env, name: &Name, outcome: Outcome<(u16, Report)>) {
        let now = env.steady();
        self.direct_calls_in_flight -= 1;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let Some(call) = machine.direct_call.take() else {
            return;
        };
        let event = match &outcome {
            Outcome::Responded((200, _)) => StopEvent::Done,
            Outcome::Responded(_) => StopEvent::Refused,
            _ => StopEvent::Lost,
        };
        self.stop_statistics.record(event, call.cancelled_stops);
        let may_arrive = match &outcome {
            Outcome::Responded((_, report)) => report.machine != **name,
            Outcome::NotExecuted => false,
            Outcome::Unknown => true,
        };
        match outcome {
            Outcome::Responded((status, report)) if !may_arrive => {
                self.note_starts_settled(&call);
                self.direct_call_responded(env, name, &call, status, &report);
            }
            _ => {
                machine.note_failed_call(now, DIRECT_CALL_RETRY_DELAY, MAX_BACKOFF_MULTIPLIER);
                if !may_arrive {
                    self.note_starts_settled(&call);
                }
            }
        }
    }

    /// Applies the worker's response to a direct call, and arranges the next call if one is needed.
    fn direct_call_responded(&mut self, env: &mut Env, name: &Name, call: &DirectCall, status: u16, report: &Report) {
        let now = env.steady();
        let refused = status == STATUS_REFUSED;
        if refused {
            self.log_refused_call(now, name, call, report);
        }
        if let Some(machine) = self.machines.get_mut(name)
            && (report.session, report.seq) < call.newest_message
        {
            // The response is new, but its session and sequence number are older than those known before the call: the
            // worker has restarted, and it lists all that it runs.
            let direct_starts = machine.direct_starts.len();
            tracing::info!(machine = &**name, direct_starts, "its worker has restarted");
            machine.note_restart(now, env.facts.worker_lease);
        }
        self.apply_report(env, name, report, Channel::Direct);
        self.repeat_stops(now, name, call.has_stops);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.token_due && report.session != call.session {
            // It has restarted, and nothing on it refuses late copies of earlier calls until a call is accepted.
            machine.next_call_at = None;
            self.queue_direct_call(name);
        } else if refused && machine.fenced_at.is_some() {
            machine.next_call_at = Some(now + DIRECT_CALL_RETRY_DELAY / 4);
            machine.call_postponed = true;
        } else if machine.fenced_at.is_none() || std::mem::take(&mut machine.call_postponed) {
            // This leader did not know the session and now does, or new orders came up meanwhile.
            self.queue_direct_call(name);
        }
    }

    /// Returns the orders to send to the machine now: stops first, since they free resources and since a response must
    /// contain all of them.
    pub(super) fn orders_for(&mut self, now: Instant, name: &Name, channel: Channel) -> MachineOrders {
        let mut message = self.stops_for(now, name, channel);
        let Some(machine) = self.machines.get_mut(name) else {
            return message;
        };
        if machine.fenced_at.is_none() || !machine.orders_due {
            return message;
        }
        let mut orders_remain = !machine.unexpected_attempts.is_empty() || !machine.exited.is_empty();
        for key in &machine.tasks {
            let placement = self.jobs.get_mut(&key.0).and_then(|job| job.placements.get_mut(&key.1)).expect("placed");
            orders_remain |= !placement.stage.is_reported() || placement.stop.is_some();
            if placement.stop.is_some()
                || placement.stage.is_reported()
                || message.orders.len() >= MAX_ORDERS_PER_MESSAGE
            {
                continue;
            }
            let attempt = Attempt::of(key, placement);
            let in_flight = machine.start_in_flight(&attempt);
            let sent_before = placement.start.may_be_sent();
            if let Some(start) = start_order(channel, &attempt, placement, in_flight) {
                message.orders.push(start);
                if channel == Channel::Report && !sent_before {
                    placement.start = StartState::Settled;
                    self.records.note_start_settled(key);
                }
                message.repeated.extend(sent_before.then_some((OrderEvent::StartRepeated, attempt)));
            }
        }
        machine.orders_due = orders_remain;
        if channel == Channel::Report {
            self.forget_exited(name, &mut message);
        }
        let sent_under = Authority { token: self.token_for(name), session: self.machines[name].session };
        self.log_orders(now, name, sent_under, &message.repeated);
        message
    }

    /// Orders the worker to forget exited tasks whose starts it refuses from then on.
    fn forget_exited(&mut self, name: &Name, message: &mut MachineOrders) {
        let machine = &self.machines[name];
        let unexpected = machine.unexpected_attempts.iter().filter(|unexpected| !unexpected.is_alive);
        let unexpected = unexpected.map(|unexpected| &unexpected.attempt);
        let durable = |(_, key): &(&Attempt, &TaskKey)| self.records.is_durable(key);
        let exited = machine.exited.iter().filter(durable).map(|(attempt, _)| attempt);
        let room = MAX_ORDERS_PER_MESSAGE.saturating_sub(message.orders.len());
        let mut forgettable: Vec<Attempt> = unexpected.chain(exited).take(room).cloned().collect();
        if forgettable.iter().any(|attempt| !machine.refuses_starts_of(attempt)) {
            self.raise_token(name);
        }
        let machine = self.machines.get_mut(name).expect("known");
        forgettable.retain(|attempt| machine.refuses_starts_of(attempt));
        for attempt in forgettable {
            message.orders.push(attempt.forget());
            if !machine.forgets_sent.insert(attempt.clone()) {
                message.repeated.push((OrderEvent::ForgetRepeated, attempt));
            }
        }
    }

    /// Queues a direct call to a machine that needs orders, or the token, before its next report.
    pub fn queue_direct_call(&mut self, name: &Name) {
        if let Some(machine) = self.machines.get(name) {
            self.machines_to_call.insert((machine.call_reason(), name.clone()));
        }
    }

    /// Makes the queued direct calls, those to machines with services first, as many as the limit
    /// on concurrent calls allows.
    pub fn make_direct_calls(&mut self, env: &mut Env) {
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
            if machine.direct_call.is_some() || machine.next_call_at.is_some_and(|at| at > now) {
                machine.call_postponed = true;
                continue;
            }
            let probe = machine.fenced_at.is_none() || machine.failed_calls > 0 || machine.token_due;
            let MachineOrders { orders, .. } = self.orders_for(now, &name, Channel::Direct);
            if orders.is_empty() && !probe {
                continue;
            }
            self.start_direct_call(env, &name, orders);
        }
    }

    /// Sends orders to a machine by a direct call.
    pub(super) fn start_direct_call(&mut self, env: &mut Env, name: &Name, orders: Vec<Order>) {
        self.direct_call_started();
        let cancelled_stops = self.count_cancelled_stops(&orders);
        self.stop_statistics.record(StopEvent::SentInCall, cancelled_stops);
        if self.machines[name].token_due {
            self.raise_token(name);
        }
        let token = self.token_for(name);
        let machine = self.machines.get_mut(name).expect("known");
        let starts = orders.iter().filter_map(|order| match order {
            Order::Start { task, attempt } => Some(Attempt { task: task.clone(), number: *attempt }),
            _ => None,
        });
        let session = machine.session;
        let (newest_message, starts): (_, Vec<Attempt>) = ((session, machine.seq), starts.collect());
        self.note_starts_sent(name, &starts, token);
        let machine = self.machines.get_mut(name).expect("known");
        let has_stops = orders.iter().any(|order| matches!(order, Order::Stop { .. }));
        // A call to a worker that may be unreachable gets a short timeout, unless it carries starts: stops can be
        // repeated, starts cannot.
        let maybe_unreachable = orders.is_empty() || machine.failed_calls > 0 || machine.suspect;
        let probe = starts.is_empty() && maybe_unreachable;
        tracing::debug!(machine = &**name, token, session, orders = orders.len(), cancelled_stops, "call");
        machine.direct_call = Some(DirectCall { token, session, newest_message, starts, has_stops, cancelled_stops });
        let body = Orders { token, session: Some(session), orders };
        env.call_worker(name.clone(), machine.addr.clone(), body, probe);
    }
}

/// Returns the start order of a task that its machine has not reported yet, if it is to be sent now.
fn start_order(channel: Channel, attempt: &Attempt, placement: &Placement, in_flight: bool) -> Option<Order> {
    if matches!(placement.stage, Stage::Planned | Stage::Inherited) {
        return None;
    }
    let due = !placement.start.may_be_sent() || (channel == Channel::Report && !in_flight);
    due.then(|| attempt.start())
}
