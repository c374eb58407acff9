//! The simulated network: delivers what nodes and workers send, subject to the injected faults.

use std::time::Duration;

use rushyoke_core::{CallId, CloudOp, HttpResponse, Input, Outcome, Output, RequestId, StoreOp, StoreResponse};
use rushyoke_wire::peer::{PeerResponse, RelayRequest, RelayResponse, decode};
use rushyoke_wire::worker::{Order, Orders, Report, ReportRedirect};

use super::{Event, NETWORK_LATENCY, OrderCopy, Requester, Simulation, Watch};

/// Time after which a caller gives up a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a node gives up the response to relayed reports.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest body of a response or of a direct call that a worker accepts.
const MAX_WORKER_MESSAGE_BYTES: usize = 64 * 1024;

impl Simulation {
    /// Sends a node's output on its way: a response, or a request to another component.
    pub(super) fn dispatch_output(&mut self, node: usize, output: Output) {
        match output {
            Output::Response { request_id, response } => self.handle_response(node, request_id, response),
            Output::Store { call, op, .. } => self.call_store(node, call, op),
            Output::Cloud { call, op } => {
                let incarnation = self.node_processes[node].incarnation;
                let lost = self.lose_rental_responses && matches!(op, CloudOp::Rent(_));
                if lost {
                    let input = Input::Cloud { call, outcome: Outcome::Unknown };
                    self.schedule_input(self.now + CALL_TIMEOUT, node, input);
                }
                self.schedule(self.now + NETWORK_LATENCY, Event::Cloud { node, incarnation, call, op, reply: !lost });
            }
            Output::Order { call, addr: machine, orders, .. } => self.call_worker(node, call, machine, orders),
            Output::Peer { label, request } => match self.peer_request(node, &label) {
                Some((other, request_id)) => {
                    let incarnation = self.node_processes[node].incarnation;
                    self.requesters.insert((other, request_id), Requester::Peer { node, incarnation });
                    self.schedule_input(self.now + NETWORK_LATENCY, other, Input::Peer { request_id, request });
                }
                None => {
                    let input = Input::PeerResponse { label, outcome: Outcome::Unknown };
                    self.schedule_input(self.now + NETWORK_LATENCY, node, input);
                }
            },
            Output::Relay { call, label, relay } => self.relay_reports(node, call, &label, relay),
        }
    }

    /// Schedules an input for the node's current process. A process that starts later does not get it.
    fn schedule_input(&mut self, at: Duration, node: usize, input: Input) {
        let incarnation = self.node_processes[node].incarnation;
        self.schedule(at, Event::ToNode { node, incarnation, input: Box::new(input) });
    }

    /// Delivers a node's response to the requester.
    fn handle_response(&mut self, node: usize, request_id: RequestId, response: HttpResponse) {
        match self.requesters.remove(&(node, request_id)) {
            Some(Requester::User(id, request)) => {
                self.checker.check_response(self.now, self.facts.cancel_limit, node, &request, &response);
                self.responses.insert(id, response);
            }
            Some(Requester::Worker { machine, id })
                if !self.partitioned_from_workers.contains(&node)
                    && !self.partitioned_links.contains(&(node, machine.clone())) =>
            {
                assert!(
                    response.body.len() <= MAX_WORKER_MESSAGE_BYTES,
                    "a response of {} bytes to {machine}",
                    response.body.len()
                );
                self.schedule(self.now + NETWORK_LATENCY, Event::ReportResponse { machine, id, response });
            }
            Some(Requester::Relay { node: requester, incarnation, call }) => {
                let response = decode::<RelayResponse>(&response.body).expect("peers send well-formed responses");
                let input = Box::new(Input::RelayResponse { call, outcome: Outcome::Responded(response) });
                let at = self.delayed_relay_responses_until.unwrap_or_default().max(self.now + NETWORK_LATENCY);
                self.schedule(at, Event::ToNode { node: requester, incarnation, input });
            }
            Some(Requester::Peer { node: requester, incarnation }) => {
                let mut response = PeerResponse::decode(&response.body).expect("peers send well-formed responses");
                response.lowest_token = response.lowest_token.filter(|_| !self.peers_without_promise.contains(&node));
                let label = format!("node-{node}");
                let input = Box::new(Input::PeerResponse { label, outcome: Outcome::Responded(response) });
                self.schedule(self.now + NETWORK_LATENCY, Event::ToNode { node: requester, incarnation, input });
            }
            _ => {}
        }
    }

    /// Sends a node's call to the state service.
    fn call_store(&mut self, node: usize, call: CallId, op: StoreOp) {
        let (now, incarnation) = (self.now, self.node_processes[node].incarnation);
        let is_watch = matches!(op, StoreOp::Watch { .. });
        if self.partitioned_from_store.contains(&node) || is_watch && self.store.outage {
            // During an outage, open watches wait; a new one is refused like any other call.
            let outcome = Outcome::Responded(StoreResponse::Unavailable);
            self.schedule_input(now + NETWORK_LATENCY, node, Input::Store { call, outcome });
            return;
        }
        if let StoreOp::Watch { prefix, after, wait_ms } = op {
            let until = now + Duration::from_millis(wait_ms);
            self.watches.push(Watch { node, incarnation, call, prefix, after, until });
            return;
        }
        let no_response = Input::Store { call, outcome: Outcome::Unknown };
        let is_renewal = matches!(op, StoreOp::RenewLease(_));
        let is_txn = matches!(op, StoreOp::Txn(_));
        let lost = is_renewal && self.renewals_to_lose > 0;
        self.renewals_to_lose -= u32::from(lost);
        if lost || is_renewal && self.nodes_without_updates.contains(&node) {
            self.schedule_input(now + CALL_TIMEOUT, node, no_response);
            return;
        }
        let delayed_until = match (&op, self.delayed_lists_until) {
            (StoreOp::List { prefix, .. }, Some((delayed_prefix, until))) if prefix == delayed_prefix => Some(until),
            _ => self.slow_txns_until.get(&node).copied().filter(|_| is_txn),
        };
        if let Some(until) = delayed_until {
            self.schedule(until, Event::Store { node, incarnation, call, op, reply: true });
            return;
        }
        let lost_at = if self.lost_txn_responses.contains(&node) { Some(now + NETWORK_LATENCY) } else { None };
        match lost_at.or(self.timed_out_txns_until.get(&node).copied()).filter(|_| is_txn) {
            Some(until) => {
                self.schedule_input(now + CALL_TIMEOUT, node, no_response);
                self.schedule(until, Event::Store { node, incarnation, call, op, reply: false });
            }
            None => self.schedule(now + NETWORK_LATENCY, Event::Store { node, incarnation, call, op, reply: true }),
        }
    }

    /// Sends a direct call from a node to a worker.
    fn call_worker(&mut self, node: usize, call: CallId, machine: String, orders: Orders) {
        let (now, incarnation) = (self.now, self.node_processes[node].incarnation);
        let bytes = serde_json::to_vec(&orders).expect("orders encode").len();
        assert!(bytes <= MAX_WORKER_MESSAGE_BYTES, "a call of {bytes} bytes to {machine}");
        let open_calls = self.open_direct_calls.entry(node).or_default();
        *open_calls += 1;
        self.peak_direct_calls = self.peak_direct_calls.max(*open_calls);
        let unreachable = self.partitioned_links.contains(&(node, machine.clone()))
            || self.partitioned_machines.contains(&machine)
            || self.lost_inbound.contains(&machine)
            || !self.workers.contains_key(&machine)
            || self.partitioned_from_workers.contains(&node);
        let interruption = self.interruptions.get(&machine).copied();
        let interrupted_until = interruption.filter(|i| i.connections_open).map(|i| i.until);
        if unreachable || interruption.is_some_and(|i| !i.connections_open) {
            self.schedule_input(now + CALL_TIMEOUT, node, Input::OrderResponse { call, outcome: Outcome::NotExecuted });
        } else if let Some(until) = interrupted_until.or(self.delayed_orders_until.get(&machine).copied()) {
            self.schedule_input(now + CALL_TIMEOUT, node, Input::OrderResponse { call, outcome: Outcome::Unknown });
            self.schedule(until, Event::Order { node, incarnation, call, machine, orders, reply: false });
        } else {
            self.schedule(
                now + NETWORK_LATENCY,
                Event::Order { node, incarnation, call, machine, orders, reply: true },
            );
        }
    }

    /// Sends reports that a node relays to the node with the given label.
    fn relay_reports(&mut self, node: usize, call: CallId, label: &str, relay: RelayRequest) {
        let no_response = Input::RelayResponse { call, outcome: Outcome::Unknown };
        let Some((other, request_id)) = self.peer_request(node, label) else {
            self.schedule_input(self.now + NETWORK_LATENCY, node, no_response);
            return;
        };
        self.relayed_reports += relay.reports.len() as u64;
        self.relayed_full_reports += relay.reports.iter().filter(|r| r.full.is_some()).count() as u64;
        let incarnation = self.node_processes[node].incarnation;
        self.requesters.insert((other, request_id), Requester::Relay { node, incarnation, call });
        self.schedule_input(self.now + NETWORK_LATENCY, other, Input::Relay { request_id, relay });
        // If the other node crashes before it responds, the call times out. After a response this has no effect.
        self.schedule_input(self.now + RELAY_TIMEOUT, node, no_response);
    }

    /// Returns the node with the given label and the id of a new request to it, if the two nodes can
    /// reach each other.
    fn peer_request(&mut self, node: usize, label: &str) -> Option<(usize, RequestId)> {
        let other: usize = label.trim_start_matches("node-").parse().expect("labels end in a number");
        let is_isolated = |n: &usize| self.nodes_without_updates.contains(n) || self.partitioned_from_peers.contains(n);
        if self.node_processes[other].node.is_none() || is_isolated(&node) || is_isolated(&other) {
            return None;
        }
        self.serial += 1;
        Some((other, RequestId(self.serial)))
    }

    /// Handles an event that is due.
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
                let response =
                    if self.store.outage { StoreResponse::Unavailable } else { self.store.execute(self.now, &op) };
                let committed = u32::from(!reply && matches!(response, StoreResponse::Committed(_)));
                if self.lost_txn_responses.contains(&node) {
                    self.commits_without_response += committed;
                } else {
                    self.late_commits += committed;
                }
                if reply {
                    let is_delayable = matches!(op, StoreOp::Txn(_) | StoreOp::Get(_));
                    let delayed_until =
                        self.delayed_responses_until.get(&node).copied().filter(|_| is_delayable).unwrap_or_default();
                    let delay = self.store_response_delay.get(&node).copied().unwrap_or(NETWORK_LATENCY);
                    assert!(delay < CALL_TIMEOUT, "the caller would give up a call that takes {delay:?}");
                    let input = Box::new(Input::Store { call, outcome: Outcome::Responded(response) });
                    self.schedule(delayed_until.max(self.now + delay), Event::ToNode { node, incarnation, input });
                }
            }
            Event::Cloud { node, incarnation, call, op, reply } => {
                let response = self.cloud.execute(self.now, &op);
                let rented = &self.cloud.machines;
                self.workers.retain(|name, _| rented.contains_key(name));
                if reply {
                    let input = Box::new(Input::Cloud { call, outcome: Outcome::Responded(response) });
                    self.schedule(self.now + NETWORK_LATENCY, Event::ToNode { node, incarnation, input });
                }
            }
            Event::Order { .. } => self.deliver_orders(event),
            Event::OrderCopy { machine, copy } => self.deliver_order_copy(machine, copy),
            Event::Report { node, machine, id, report } => {
                let unreachable = self.partitioned_links.contains(&(node, machine.clone()))
                    || self.partitioned_from_workers.contains(&node);
                if self.node_processes[node].node.is_none() || unreachable {
                    return;
                }
                self.serial += 1;
                let request_id = RequestId(self.serial);
                self.requesters.insert((node, request_id), Requester::Worker { machine, id });
                let tasks = serde_json::value::to_raw_value(&report.tasks).expect("tasks encode");
                let report = Box::new(Report { tasks: Vec::new(), ..*report });
                self.deliver(node, Input::Report { request_id, report, unparsed_tasks: Some(tasks) });
            }
            Event::ReportResponse { machine, id, response } => self.deliver_report_response(&machine, id, &response),
        }
    }

    /// Delivers a direct call to its worker, unless the machine is frozen or gone.
    fn deliver_orders(&mut self, event: Event) {
        let Event::Order { node, incarnation, call, machine, orders, reply } = event else { return };
        let now = self.now;
        let no_response = Box::new(Input::OrderResponse { call, outcome: Outcome::Unknown });
        if let Some(until) = self.frozen_until.get(&machine).copied() {
            if reply {
                self.schedule(now + CALL_TIMEOUT, Event::ToNode { node, incarnation, input: no_response });
            }
            let at = until + NETWORK_LATENCY;
            self.schedule(at, Event::Order { node, incarnation, call, machine, orders, reply: false });
            return;
        }
        let Some(worker) = self.workers.get_mut(&machine) else {
            if reply {
                // The machine was released while the call was in flight, so the call times out.
                self.schedule(now + CALL_TIMEOUT, Event::ToNode { node, incarnation, input: no_response });
            }
            return;
        };
        let status = worker.handle_direct_call(now, &orders);
        let report = worker.report();
        worker.had_message |= reply && status == 200;
        if reply {
            if self.record_starts && orders.orders.iter().any(|order| matches!(order, Order::Start { .. })) {
                self.recorded_starts.push((machine.clone(), OrderCopy { orders: orders.clone(), executed_at: now }));
            }
            for delay in self.copied_orders_after.get(&machine).cloned().unwrap_or_default() {
                let copy = OrderCopy { orders: orders.clone(), executed_at: now };
                self.schedule(now + delay, Event::OrderCopy { machine: machine.clone(), copy });
            }
            let input = Box::new(Input::OrderResponse { call, outcome: Outcome::Responded((status, report)) });
            self.schedule(now + NETWORK_LATENCY, Event::ToNode { node, incarnation, input });
        }
    }

    /// Delivers a copy of a direct call to its worker, unless the machine is gone. A frozen machine receives it when it
    /// resumes.
    pub(super) fn deliver_order_copy(&mut self, machine: String, copy: OrderCopy) {
        if let Some(until) = self.frozen_until.get(&machine).copied() {
            self.schedule(until + NETWORK_LATENCY, Event::OrderCopy { machine, copy });
            return;
        }
        if let Some(worker) = self.workers.get_mut(&machine) {
            if worker.started_at > copy.executed_at && !worker.had_message {
                self.copies_before_first_message += 1;
                return;
            }
            let listed_before = worker.tasks.len();
            worker.handle_direct_call(self.now, &copy.orders);
            self.order_copies += 1;
            self.starts_by_copies += worker.tasks.len().saturating_sub(listed_before) as u64;
        }
    }

    /// Delivers the response to a report, unless the worker has given the report up.
    fn deliver_report_response(&mut self, machine: &str, id: u64, response: &HttpResponse) {
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
        let Some((_, sent_at, session)) = worker.pending_report.filter(|(pending_id, ..)| *pending_id == id) else {
            return;
        };
        worker.pending_report = None;
        match response.status {
            200 => {
                let orders: Orders = serde_json::from_slice(&response.body).expect("orders are well formed");
                worker.handle_report_response(now, sent_at, session, &orders);
            }
            421 => {
                let redirect: ReportRedirect = serde_json::from_slice(&response.body).expect("a 421 is well formed");
                match redirect.report_to.and_then(|label| label.trim_start_matches("node-").parse().ok()) {
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
