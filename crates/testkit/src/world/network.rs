//! The network of the stand-ins: what nodes send, and what becomes of it under each trouble.

use std::time::Duration;

use rushyoke_core::{CallId, CloudOp, HttpResponse, Input, Outcome, Output, RequestId, StoreOp, StoreResponse};
use rushyoke_wire::peer::{PeerResponse, RelayRequest, RelayResponse, decode};
use rushyoke_wire::worker::{Orders, Report, ReportRedirect};

use super::{Asker, Event, HOP, Watch, World};

/// After these times a caller gives a call, or a relayed report, up.
const CALL_LIMIT: Duration = Duration::from_millis(1500);
const RELAY_LIMIT: Duration = Duration::from_secs(1);
/// Bytes of a line in an answer to a worker, and of a request's body, at the most.
const LONGEST_LINE: usize = 64 * 1024;

impl World {
    /// Carries what a node sends or answers.
    pub(super) fn output(&mut self, node: usize, output: Output) {
        match output {
            Output::Response { request_id, response } => self.answered(node, request_id, response),
            Output::Store { call, op, .. } => self.store_called(node, call, op),
            Output::Cloud { call, op } => {
                let incarnation = self.slots[node].incarnation;
                let lost = self.lose_rental_answers && matches!(op, CloudOp::Rent(_));
                if lost {
                    let input = Input::Cloud { call, outcome: Outcome::Unknown };
                    self.input_at(self.now + CALL_LIMIT, node, input);
                }
                self.push(self.now + HOP, Event::Cloud { node, incarnation, call, op, reply: !lost });
            }
            Output::Order { call, addr: machine, orders, .. } => self.worker_called(node, call, machine, orders),
            Output::Peer { label, request } => match self.peer(node, &label) {
                Some((other, request_id)) => {
                    let incarnation = self.slots[node].incarnation;
                    self.askers.insert((other, request_id), Asker::Peer { node, incarnation });
                    self.input_at(self.now + HOP, other, Input::Peer { request_id, request });
                }
                None => {
                    let input = Input::PeerResponse { label, outcome: Outcome::Unknown };
                    self.input_at(self.now + HOP, node, input);
                }
            },
            Output::Relay { call, label, relay } => self.relayed_to(node, call, &label, relay),
        }
    }

    /// An input for the process that runs on a node now; a later one does not get it.
    fn input_at(&mut self, at: Duration, node: usize, input: Input) {
        let incarnation = self.slots[node].incarnation;
        self.push(at, Event::ToNode { node, incarnation, input: Box::new(input) });
    }

    fn answered(&mut self, node: usize, request_id: RequestId, answer: HttpResponse) {
        match self.askers.remove(&(node, request_id)) {
            Some(Asker::User(id, question)) => {
                self.rules.answered(self.now, self.facts.cancel_limit, node, &question, &answer);
                self.answers.insert(id, answer);
            }
            Some(Asker::Worker { machine, id })
                if !self.no_workers.contains(&node) && !self.cut_links.contains(&(node, machine.clone())) =>
            {
                assert!(answer.body.len() <= LONGEST_LINE, "{} bytes for {machine}", answer.body.len());
                self.push(self.now + HOP, Event::ReportAnswer { machine, id, answer });
            }
            Some(Asker::Relay { node: asker, incarnation, call }) => {
                let response = decode::<RelayResponse>(&answer.body).expect("peers answer well");
                let input = Box::new(Input::RelayResponse { call, outcome: Outcome::Responded(response) });
                let at = self.hold_relays.unwrap_or_default().max(self.now + HOP);
                self.push(at, Event::ToNode { node: asker, incarnation, input });
            }
            Some(Asker::Peer { node: asker, incarnation }) => {
                let response = decode::<PeerResponse>(&answer.body).expect("peers answer well");
                let label = format!("node-{node}");
                let input = Box::new(Input::PeerResponse { label, outcome: Outcome::Responded(response) });
                self.push(self.now + HOP, Event::ToNode { node: asker, incarnation, input });
            }
            _ => {}
        }
    }

    fn store_called(&mut self, node: usize, call: CallId, op: StoreOp) {
        let (now, incarnation) = (self.now, self.slots[node].incarnation);
        let watch = matches!(op, StoreOp::Watch { .. });
        if self.no_store.contains(&node) || watch && self.store.outage {
            // Watches that are open wait; a new one is refused like all else.
            let outcome = Outcome::Responded(StoreResponse::Unavailable);
            self.input_at(now + HOP, node, Input::Store { call, outcome });
            return;
        }
        if let StoreOp::Watch { prefix, after, wait_ms } = op {
            let until = now + Duration::from_millis(wait_ms);
            self.watches.push(Watch { node, incarnation, call, prefix, after, until });
            return;
        }
        let unanswered = Input::Store { call, outcome: Outcome::Unknown };
        let touch = matches!(op, StoreOp::RenewLease(_));
        let txn = matches!(op, StoreOp::Txn(_));
        let lost = touch && self.lose_touches > 0;
        self.lose_touches -= u32::from(lost);
        if lost || touch && self.adrift.contains(&node) {
            self.input_at(now + CALL_LIMIT, node, unanswered);
            return;
        }
        let held = match (&op, self.hold_lists) {
            (StoreOp::List { prefix, .. }, Some((held, until))) if prefix == held => Some(until),
            _ => self.slow_txns.get(&node).copied().filter(|_| txn),
        };
        if let Some(until) = held {
            self.push(until, Event::Store { node, incarnation, call, op, reply: true });
            return;
        }
        let lost_at = if self.lose_answers.contains(&node) { Some(now + HOP) } else { None };
        match lost_at.or(self.hold_txns.get(&node).copied()).filter(|_| txn) {
            Some(until) => {
                self.input_at(now + CALL_LIMIT, node, unanswered);
                self.push(until, Event::Store { node, incarnation, call, op, reply: false });
            }
            None => self.push(now + HOP, Event::Store { node, incarnation, call, op, reply: true }),
        }
    }

    fn worker_called(&mut self, node: usize, call: CallId, machine: String, orders: Orders) {
        let (now, incarnation) = (self.now, self.slots[node].incarnation);
        let bytes = serde_json::to_vec(&orders).expect("orders encode").len();
        assert!(bytes <= LONGEST_LINE, "a call of {bytes} bytes to {machine}");
        let open = self.orders.entry(node).or_default();
        *open += 1;
        self.most_orders = self.most_orders.max(*open);
        let unreachable = self.cut_links.contains(&(node, machine.clone()))
            || self.cut.contains(&machine)
            || self.deaf.contains(&machine)
            || !self.workers.contains_key(&machine)
            || self.no_workers.contains(&node);
        let interruption = self.interrupted.get(&machine).copied();
        let held_by_cut = interruption.filter(|cut| cut.connected).map(|cut| cut.until);
        if unreachable || interruption.is_some_and(|cut| !cut.connected) {
            self.input_at(now + CALL_LIMIT, node, Input::OrderResponse { call, outcome: Outcome::NotExecuted });
        } else if let Some(until) = held_by_cut.or(self.hold_orders.get(&machine).copied()) {
            self.input_at(now + CALL_LIMIT, node, Input::OrderResponse { call, outcome: Outcome::Unknown });
            self.push(until, Event::Order { node, incarnation, call, machine, orders, reply: false });
        } else {
            self.push(now + HOP, Event::Order { node, incarnation, call, machine, orders, reply: true });
        }
    }

    fn relayed_to(&mut self, node: usize, call: CallId, label: &str, relay: RelayRequest) {
        let unanswered = Input::RelayResponse { call, outcome: Outcome::Unknown };
        let Some((other, request_id)) = self.peer(node, label) else {
            self.input_at(self.now + HOP, node, unanswered);
            return;
        };
        self.relayed += relay.reports.len() as u64;
        self.relayed_full += relay.reports.iter().filter(|r| r.full.is_some()).count() as u64;
        let incarnation = self.slots[node].incarnation;
        self.askers.insert((other, request_id), Asker::Relay { node, incarnation, call });
        self.input_at(self.now + HOP, other, Input::Relay { request_id, relay });
        // The answer may be lost with the other node.
        self.input_at(self.now + RELAY_LIMIT, node, unanswered);
    }

    /// The other node by its label and a request to it, unless the two are out of reach.
    fn peer(&mut self, node: usize, label: &str) -> Option<(usize, RequestId)> {
        let other: usize = label.trim_start_matches("node-").parse().expect("labels end in a number");
        let lost = |n: &usize| self.adrift.contains(n) || self.no_peers.contains(n);
        if self.slots[other].node.is_none() || lost(&node) || lost(&other) {
            return None;
        }
        self.serial += 1;
        Some((other, RequestId(self.serial)))
    }

    /// Something arrives.
    pub(super) fn event(&mut self, event: Event) {
        match event {
            Event::ToNode { node, incarnation, input } => {
                if self.slots[node].incarnation == incarnation {
                    if matches!(*input, Input::OrderResponse { .. }) && self.slots[node].node.is_some() {
                        *self.orders.entry(node).or_default() -= 1;
                    }
                    self.give(node, *input);
                }
            }
            Event::Store { node, incarnation, call, op, reply } => {
                let answer =
                    if self.store.outage { StoreResponse::Unavailable } else { self.store.execute(self.now, &op) };
                let committed = u32::from(!reply && matches!(answer, StoreResponse::Committed(_)));
                if self.lose_answers.contains(&node) {
                    self.unanswered += committed;
                } else {
                    self.late_commits += committed;
                }
                if reply {
                    let user = matches!(op, StoreOp::Txn(_) | StoreOp::Get(_));
                    let held = self.hold_answers.get(&node).copied().filter(|_| user).unwrap_or_default();
                    let input = Box::new(Input::Store { call, outcome: Outcome::Responded(answer) });
                    self.push(held.max(self.now + HOP), Event::ToNode { node, incarnation, input });
                }
            }
            Event::Cloud { node, incarnation, call, op, reply } => {
                let answer = self.cloud.execute(self.now, &op);
                let rented = &self.cloud.machines;
                self.workers.retain(|name, _| rented.contains_key(name));
                if reply {
                    let input = Box::new(Input::Cloud { call, outcome: Outcome::Responded(answer) });
                    self.push(self.now + HOP, Event::ToNode { node, incarnation, input });
                }
            }
            Event::Order { .. } => self.orders_arrive(event),
            Event::Report { node, machine, id, report } => {
                let cut = self.cut_links.contains(&(node, machine.clone())) || self.no_workers.contains(&node);
                if self.slots[node].node.is_none() || cut {
                    return;
                }
                self.serial += 1;
                let request_id = RequestId(self.serial);
                self.askers.insert((node, request_id), Asker::Worker { machine, id });
                let tasks = serde_json::value::to_raw_value(&report.tasks).expect("tasks encode");
                let report = Box::new(Report { tasks: Vec::new(), ..*report });
                self.give(node, Input::Report { request_id, report, unparsed_tasks: Some(tasks) });
            }
            Event::ReportAnswer { machine, id, answer } => self.report_answered(&machine, id, &answer),
        }
    }

    /// Direct orders reach a machine, or are lost with it.
    fn orders_arrive(&mut self, event: Event) {
        let Event::Order { node, incarnation, call, machine, orders, reply } = event else { return };
        let now = self.now;
        let unanswered = Box::new(Input::OrderResponse { call, outcome: Outcome::Unknown });
        if let Some(until) = self.hang.get(&machine).copied() {
            if reply {
                self.push(now + CALL_LIMIT, Event::ToNode { node, incarnation, input: unanswered });
            }
            let at = until + HOP;
            self.push(at, Event::Order { node, incarnation, call, machine, orders, reply: false });
            return;
        }
        let Some(worker) = self.workers.get_mut(&machine) else {
            if reply {
                // It ended while the call was on its way, which is given up in time.
                self.push(now + CALL_LIMIT, Event::ToNode { node, incarnation, input: unanswered });
            }
            return;
        };
        let status = worker.direct(now, &orders);
        let report = worker.report();
        if reply {
            let input = Box::new(Input::OrderResponse { call, outcome: Outcome::Responded((status, report)) });
            self.push(now + HOP, Event::ToNode { node, incarnation, input });
        }
    }

    fn report_answered(&mut self, machine: &str, id: u64, answer: &HttpResponse) {
        let now = self.now;
        if self.cut.contains(machine)
            || self.deaf.contains(machine)
            || self.hang.contains_key(machine)
            || self.interrupted.contains_key(machine)
        {
            return;
        }
        let nodes = self.slots.len();
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let Some((_, sent, session)) = worker.waiting.filter(|(waiting, ..)| *waiting == id) else {
            return;
        };
        worker.waiting = None;
        match answer.status {
            200 => {
                let orders: Orders = serde_json::from_slice(&answer.body).expect("orders are well formed");
                worker.answered(now, sent, session, &orders);
            }
            421 => {
                let elsewhere: ReportRedirect = serde_json::from_slice(&answer.body).expect("a 421 is well formed");
                match elsewhere.report_to.and_then(|l| l.trim_start_matches("node-").parse().ok()) {
                    Some(node) => (worker.node, worker.next_report) = (node, now),
                    None => {
                        (worker.node, worker.next_report) = ((worker.node + 1) % nodes, now + Duration::from_secs(1))
                    }
                }
            }
            _ => (worker.node, worker.next_report) = ((worker.node + 1) % nodes, now + Duration::from_secs(1)),
        }
    }
}
