//! The network of the stand-ins: what nodes send, and what becomes of it under each trouble.

use std::time::Duration;

use rushyoke_core::{CallId, CloudOp, HttpResponse, Input, Outcome, Output, RequestId, StoreOp, StoreResponse};
use rushyoke_wire::peer::{PeerResponse, RelayRequest, RelayResponse, decode};
use rushyoke_wire::worker::{Orders, Report, ReportRedirect};

use super::{Event, HOP, Requester, Simulation, Watch};

/// After these times a caller gives a call, or a relayed report, up.
const CALL_LIMIT: Duration = Duration::from_millis(1500);
const RELAY_LIMIT: Duration = Duration::from_secs(1);
/// Bytes of a line in an answer to a worker, and of a request's body, at the most.
const LONGEST_LINE: usize = 64 * 1024;

impl Simulation {
    /// Carries what a node sends or answers.
    pub(super) fn dispatch_output(&mut self, node: usize, output: Output) {
        match output {
            Output::Response { request_id, response } => self.handle_response(node, request_id, response),
            Output::Store { call, op, .. } => self.call_store(node, call, op),
            Output::Cloud { call, op } => {
                let incarnation = self.node_processes[node].incarnation;
                let lost = self.lose_rental_responses && matches!(op, CloudOp::Rent(_));
                if lost {
                    let input = Input::Cloud { call, outcome: Outcome::Unknown };
                    self.schedule_input(self.now + CALL_LIMIT, node, input);
                }
                self.schedule(self.now + HOP, Event::Cloud { node, incarnation, call, op, reply: !lost });
            }
            Output::Order { call, addr: machine, orders, .. } => self.call_worker(node, call, machine, orders),
            Output::Peer { label, request } => match self.peer_request(node, &label) {
                Some((other, request_id)) => {
                    let incarnation = self.node_processes[node].incarnation;
                    self.requesters.insert((other, request_id), Requester::Peer { node, incarnation });
                    self.schedule_input(self.now + HOP, other, Input::Peer { request_id, request });
                }
                None => {
                    let input = Input::PeerResponse { label, outcome: Outcome::Unknown };
                    self.schedule_input(self.now + HOP, node, input);
                }
            },
            Output::Relay { call, label, relay } => self.relay_reports(node, call, &label, relay),
        }
    }

    /// An input for the process that runs on a node now; a later one does not get it.
    fn schedule_input(&mut self, at: Duration, node: usize, input: Input) {
        let incarnation = self.node_processes[node].incarnation;
        self.schedule(at, Event::ToNode { node, incarnation, input: Box::new(input) });
    }

    fn handle_response(&mut self, node: usize, request_id: RequestId, answer: HttpResponse) {
        match self.requesters.remove(&(node, request_id)) {
            Some(Requester::User(id, question)) => {
                self.checker.check_response(self.now, self.facts.cancel_limit, node, &question, &answer);
                self.responses.insert(id, answer);
            }
            Some(Requester::Worker { machine, id })
                if !self.partitioned_from_workers.contains(&node)
                    && !self.partitioned_links.contains(&(node, machine.clone())) =>
            {
                assert!(answer.body.len() <= LONGEST_LINE, "{} bytes for {machine}", answer.body.len());
                self.schedule(self.now + HOP, Event::ReportResponse { machine, id, answer });
            }
            Some(Requester::Relay { node: asker, incarnation, call }) => {
                let response = decode::<RelayResponse>(&answer.body).expect("peers answer well");
                let input = Box::new(Input::RelayResponse { call, outcome: Outcome::Responded(response) });
                let at = self.delayed_relay_responses_until.unwrap_or_default().max(self.now + HOP);
                self.schedule(at, Event::ToNode { node: asker, incarnation, input });
            }
            Some(Requester::Peer { node: asker, incarnation }) => {
                let response = decode::<PeerResponse>(&answer.body).expect("peers answer well");
                let label = format!("node-{node}");
                let input = Box::new(Input::PeerResponse { label, outcome: Outcome::Responded(response) });
                self.schedule(self.now + HOP, Event::ToNode { node: asker, incarnation, input });
            }
            _ => {}
        }
    }

    fn call_store(&mut self, node: usize, call: CallId, op: StoreOp) {
        let (now, incarnation) = (self.now, self.node_processes[node].incarnation);
        let watch = matches!(op, StoreOp::Watch { .. });
        if self.partitioned_from_store.contains(&node) || watch && self.store.outage {
            // Watches that are open wait; a new one is refused like all else.
            let outcome = Outcome::Responded(StoreResponse::Unavailable);
            self.schedule_input(now + HOP, node, Input::Store { call, outcome });
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
        let lost = touch && self.renewals_to_lose > 0;
        self.renewals_to_lose -= u32::from(lost);
        if lost || touch && self.nodes_without_updates.contains(&node) {
            self.schedule_input(now + CALL_LIMIT, node, unanswered);
            return;
        }
        let held = match (&op, self.delayed_lists_until) {
            (StoreOp::List { prefix, .. }, Some((held, until))) if prefix == held => Some(until),
            _ => self.slow_txns_until.get(&node).copied().filter(|_| txn),
        };
        if let Some(until) = held {
            self.schedule(until, Event::Store { node, incarnation, call, op, reply: true });
            return;
        }
        let lost_at = if self.lost_txn_responses.contains(&node) { Some(now + HOP) } else { None };
        match lost_at.or(self.timed_out_txns_until.get(&node).copied()).filter(|_| txn) {
            Some(until) => {
                self.schedule_input(now + CALL_LIMIT, node, unanswered);
                self.schedule(until, Event::Store { node, incarnation, call, op, reply: false });
            }
            None => self.schedule(now + HOP, Event::Store { node, incarnation, call, op, reply: true }),
        }
    }

    fn call_worker(&mut self, node: usize, call: CallId, machine: String, orders: Orders) {
        let (now, incarnation) = (self.now, self.node_processes[node].incarnation);
        let bytes = serde_json::to_vec(&orders).expect("orders encode").len();
        assert!(bytes <= LONGEST_LINE, "a call of {bytes} bytes to {machine}");
        let open = self.open_direct_calls.entry(node).or_default();
        *open += 1;
        self.peak_direct_calls = self.peak_direct_calls.max(*open);
        let unreachable = self.partitioned_links.contains(&(node, machine.clone()))
            || self.partitioned_machines.contains(&machine)
            || self.lost_inbound.contains(&machine)
            || !self.workers.contains_key(&machine)
            || self.partitioned_from_workers.contains(&node);
        let interruption = self.interruptions.get(&machine).copied();
        let held_by_cut = interruption.filter(|cut| cut.connected).map(|cut| cut.until);
        if unreachable || interruption.is_some_and(|cut| !cut.connected) {
            self.schedule_input(now + CALL_LIMIT, node, Input::OrderResponse { call, outcome: Outcome::NotExecuted });
        } else if let Some(until) = held_by_cut.or(self.delayed_orders_until.get(&machine).copied()) {
            self.schedule_input(now + CALL_LIMIT, node, Input::OrderResponse { call, outcome: Outcome::Unknown });
            self.schedule(until, Event::Order { node, incarnation, call, machine, orders, reply: false });
        } else {
            self.schedule(now + HOP, Event::Order { node, incarnation, call, machine, orders, reply: true });
        }
    }

    fn relay_reports(&mut self, node: usize, call: CallId, label: &str, relay: RelayRequest) {
        let unanswered = Input::RelayResponse { call, outcome: Outcome::Unknown };
        let Some((other, request_id)) = self.peer_request(node, label) else {
            self.schedule_input(self.now + HOP, node, unanswered);
            return;
        };
        self.relayed_reports += relay.reports.len() as u64;
        self.relayed_full_reports += relay.reports.iter().filter(|r| r.full.is_some()).count() as u64;
        let incarnation = self.node_processes[node].incarnation;
        self.requesters.insert((other, request_id), Requester::Relay { node, incarnation, call });
        self.schedule_input(self.now + HOP, other, Input::Relay { request_id, relay });
        // The answer may be lost with the other node.
        self.schedule_input(self.now + RELAY_LIMIT, node, unanswered);
    }

    /// The other node by its label and a request to it, unless the two are out of reach.
    fn peer_request(&mut self, node: usize, label: &str) -> Option<(usize, RequestId)> {
        let other: usize = label.trim_start_matches("node-").parse().expect("labels end in a number");
        let lost = |n: &usize| self.nodes_without_updates.contains(n) || self.partitioned_from_peers.contains(n);
        if self.node_processes[other].node.is_none() || lost(&node) || lost(&other) {
            return None;
        }
        self.serial += 1;
        Some((other, RequestId(self.serial)))
    }

    /// Something arrives.
    pub(super) fn process_event(&mut self, event: Event) {
        match event {
            Event::ToNode { node, incarnation, input } => {
                if self.node_processes[node].incarnation == incarnation {
                    if matches!(*input, Input::OrderResponse { .. }) && self.node_processes[node].node.is_some() {
                        *self.open_direct_calls.entry(node).or_default() -= 1;
                    }
                    self.deliver(node, *input);
                }
            }
            Event::Store { node, incarnation, call, op, reply } => {
                let answer =
                    if self.store.outage { StoreResponse::Unavailable } else { self.store.execute(self.now, &op) };
                let committed = u32::from(!reply && matches!(answer, StoreResponse::Committed(_)));
                if self.lost_txn_responses.contains(&node) {
                    self.commits_without_response += committed;
                } else {
                    self.late_commits += committed;
                }
                if reply {
                    let user = matches!(op, StoreOp::Txn(_) | StoreOp::Get(_));
                    let held = self.delayed_responses_until.get(&node).copied().filter(|_| user).unwrap_or_default();
                    let input = Box::new(Input::Store { call, outcome: Outcome::Responded(answer) });
                    self.schedule(held.max(self.now + HOP), Event::ToNode { node, incarnation, input });
                }
            }
            Event::Cloud { node, incarnation, call, op, reply } => {
                let answer = self.cloud.execute(self.now, &op);
                let rented = &self.cloud.machines;
                self.workers.retain(|name, _| rented.contains_key(name));
                if reply {
                    let input = Box::new(Input::Cloud { call, outcome: Outcome::Responded(answer) });
                    self.schedule(self.now + HOP, Event::ToNode { node, incarnation, input });
                }
            }
            Event::Order { .. } => self.deliver_orders(event),
            Event::Report { node, machine, id, report } => {
                let cut = self.partitioned_links.contains(&(node, machine.clone()))
                    || self.partitioned_from_workers.contains(&node);
                if self.node_processes[node].node.is_none() || cut {
                    return;
                }
                self.serial += 1;
                let request_id = RequestId(self.serial);
                self.requesters.insert((node, request_id), Requester::Worker { machine, id });
                let tasks = serde_json::value::to_raw_value(&report.tasks).expect("tasks encode");
                let report = Box::new(Report { tasks: Vec::new(), ..*report });
                self.deliver(node, Input::Report { request_id, report, unparsed_tasks: Some(tasks) });
            }
            Event::ReportResponse { machine, id, answer } => self.deliver_report_response(&machine, id, &answer),
        }
    }

    /// Direct orders reach a machine, or are lost with it.
    fn deliver_orders(&mut self, event: Event) {
        let Event::Order { node, incarnation, call, machine, orders, reply } = event else { return };
        let now = self.now;
        let unanswered = Box::new(Input::OrderResponse { call, outcome: Outcome::Unknown });
        if let Some(until) = self.frozen_until.get(&machine).copied() {
            if reply {
                self.schedule(now + CALL_LIMIT, Event::ToNode { node, incarnation, input: unanswered });
            }
            let at = until + HOP;
            self.schedule(at, Event::Order { node, incarnation, call, machine, orders, reply: false });
            return;
        }
        let Some(worker) = self.workers.get_mut(&machine) else {
            if reply {
                // It ended while the call was on its way, which is given up in time.
                self.schedule(now + CALL_LIMIT, Event::ToNode { node, incarnation, input: unanswered });
            }
            return;
        };
        let status = worker.handle_direct_call(now, &orders);
        let report = worker.report();
        if reply {
            let input = Box::new(Input::OrderResponse { call, outcome: Outcome::Responded((status, report)) });
            self.schedule(now + HOP, Event::ToNode { node, incarnation, input });
        }
    }

    fn deliver_report_response(&mut self, machine: &str, id: u64, answer: &HttpResponse) {
        let now = self.now;
        if self.partitioned_machines.contains(machine)
            || self.lost_inbound.contains(machine)
            || self.frozen_until.contains_key(machine)
            || self.interruptions.contains_key(machine)
        {
            return;
        }
        let nodes = self.node_processes.len();
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let Some((_, sent, session)) = worker.pending_report.filter(|(waiting, ..)| *waiting == id) else {
            return;
        };
        worker.pending_report = None;
        match answer.status {
            200 => {
                let orders: Orders = serde_json::from_slice(&answer.body).expect("orders are well formed");
                worker.handle_report_response(now, sent, session, &orders);
            }
            421 => {
                let elsewhere: ReportRedirect = serde_json::from_slice(&answer.body).expect("a 421 is well formed");
                match elsewhere.report_to.and_then(|l| l.trim_start_matches("node-").parse().ok()) {
                    Some(node) => (worker.node, worker.next_report_at) = (node, now),
                    None => {
                        (worker.node, worker.next_report_at) = ((worker.node + 1) % nodes, now + Duration::from_secs(1))
                    }
                }
            }
            _ => (worker.node, worker.next_report_at) = ((worker.node + 1) % nodes, now + Duration::from_secs(1)),
        }
    }
}
