//! Logs orders to workers that are repeated, refused or contradicted by what a worker lists, one line each.
//!
//! A fleet of thousands of machines can cause thousands of such events in a second, so the lines are limited. Those
//! beyond the limit are only counted, by kind, in one more line.

use std::time::{Duration, Instant};

use rushyoke_wire::worker::Report;

use super::Attempt;
use super::direct_calls::DirectCall;
use crate::jobs::Name;
use crate::term::Term;

/// Period to which the limit on lines applies.
const WINDOW: Duration = Duration::from_secs(1);
/// Most lines in one period.
const MAX_LINES_PER_WINDOW: u32 = 10;

/// What happened to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderEvent {
    /// A start was sent again: it is durable, and the worker has not listed the attempt yet.
    StartRepeated,
    /// A stop was sent again: the worker still lists the attempt as alive.
    StopRepeated,
    /// An order to forget an attempt was sent again: its end is durable, and the worker still lists it.
    ForgetRepeated,
    /// The worker refused a direct call, because of its token or session.
    Refused,
    /// The worker lists an attempt as alive whose end it had reported. It is stopped.
    EndedAttemptAlive,
    /// The worker lists an attempt as alive that is not placed on its machine. It is stopped.
    UnplacedAttemptAlive,
}

/// Number of kinds of events.
const KINDS: usize = 6;
/// Names of the kinds in the line that counts events, in the order of `OrderEvent`.
const KIND_NAMES: [&str; KINDS] = ["starts", "stops", "forgets", "refused", "ended_alive", "unplaced_alive"];

impl OrderEvent {
    /// Returns why the order was sent or had no effect.
    fn description(self) -> &'static str {
        match self {
            OrderEvent::StartRepeated => "start repeated: the attempt is not listed yet",
            OrderEvent::StopRepeated => "stop repeated: the attempt is still listed",
            OrderEvent::ForgetRepeated => "forget repeated: the ended attempt is still listed",
            OrderEvent::Refused => "direct orders refused by the worker",
            OrderEvent::EndedAttemptAlive => "an attempt whose end was reported is alive: stopping it",
            OrderEvent::UnplacedAttemptAlive => "an attempt that is not placed on the machine is alive: stopping it",
        }
    }
}

/// The events of the current period.
#[derive(Debug, Default)]
pub(crate) struct OrderLog {
    window_started: Option<Instant>,
    lines: u32,
    /// Events since the term began, by kind.
    totals: [u64; KINDS],
    /// Events without a line since the last count was logged.
    omitted: [u64; KINDS],
}

impl OrderLog {
    /// Whether an event may be logged in a line of its own. Otherwise it is counted.
    fn admit(&mut self, now: Instant, event: OrderEvent) -> bool {
        if self.window_started.is_none_or(|at| now.duration_since(at) >= WINDOW) {
            self.log_omitted();
            self.window_started = Some(now);
            self.lines = 0;
        }
        self.totals[event as usize] += 1;
        let admitted = self.lines < MAX_LINES_PER_WINDOW;
        self.lines += u32::from(admitted);
        self.omitted[event as usize] += u64::from(!admitted);
        admitted
    }

    /// Logs the number of events that had no line of their own.
    fn log_omitted(&mut self) {
        if self.omitted == [0; KINDS] {
            return;
        }
        let counts = KIND_NAMES.iter().zip(self.omitted).filter(|(_, count)| *count > 0);
        let counts: Vec<String> = counts.map(|(name, count)| format!("{name}={count}")).collect();
        tracing::info!(counts = counts.join(" "), "further repeated, refused or contradicted orders");
        self.omitted = [0; KINDS];
    }
}

/// The token and session of a message to or from a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Authority {
    pub token: u64,
    pub session: u64,
}

impl Term {
    /// Logs events that concern one attempt each, with the token and session of the message that shows or causes them.
    pub(super) fn log_orders(
        &mut self,
        now: Instant,
        machine: &Name,
        message: Authority,
        events: &[(OrderEvent, Attempt)],
    ) {
        for (event, Attempt { task, number }) in events {
            if self.order_log.admit(now, *event) {
                let Authority { token, session } = message;
                let (what, total) = (event.description(), self.order_log.totals[*event as usize]);
                tracing::info!(machine = &**machine, task, attempt = number, token, session, total, "{what}");
            }
        }
    }

    /// Logs a direct call that the worker refused.
    pub(super) fn log_refused_call(&mut self, now: Instant, machine: &Name, call: &DirectCall, report: &Report) {
        if self.order_log.admit(now, OrderEvent::Refused) {
            let first_start = call.starts.first().map(|Attempt { task, number }| format!("{task}@{number}"));
            tracing::info!(
                machine = &**machine,
                token = call.token,
                session = call.session,
                worker_token = report.token,
                worker_session = report.session,
                starts = call.starts.len(),
                first_start,
                has_stops = call.has_stops,
                total = self.order_log.totals[OrderEvent::Refused as usize],
                "{}",
                OrderEvent::Refused.description()
            );
        }
    }
}
