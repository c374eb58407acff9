//! What all concerns of a node use: the clocks, the settings, and the calls that are under way.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use rand::rngs::StdRng;
use rushyoke_wire::cloud::MachineType;

use crate::calls::Purpose;
use crate::facts::{Facts, Policy};
use crate::io::*;
use crate::jobs::Name;

/// The caller's clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The steady clock.
    pub steady: Instant,
    /// Time of day in milliseconds since 1970, for deadlines only.
    pub wall_ms: u64,
}

/// What all concerns of a node use.
pub(crate) struct Env {
    pub now: Now,
    pub facts: Arc<Facts>,
    pub policy: Arc<Policy>,
    pub rng: StdRng,
    pub machine_types: Arc<Vec<MachineType>>,
    pub outputs: Vec<Output>,
    pub calls: HashMap<CallId, Purpose>,
    pub next_call: u64,
}

impl Env {
    pub fn steady(&self) -> Instant {
        self.now.steady
    }

    fn call(&mut self, purpose: Purpose) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.calls.insert(call, purpose);
        call
    }

    pub fn call_store(&mut self, purpose: Purpose, urgency: Urgency, op: StoreOp) {
        let call = self.call(purpose);
        self.outputs.push(Output::Store { call, op, urgency });
    }

    pub fn call_cloud(&mut self, purpose: Purpose, op: CloudOp) {
        let call = self.call(purpose);
        self.outputs.push(Output::Cloud { call, op });
    }

    pub fn call_worker(&mut self, machine: Name, addr: String, orders: rushyoke_wire::worker::Orders, probe: bool) {
        let call = self.call(Purpose::Order { machine });
        self.outputs.push(Output::Order { call, addr, orders, probe });
    }

    pub fn relay_reports(&mut self, label: String, relay: rushyoke_wire::peer::RelayRequest) {
        let call = self.call(Purpose::Relay);
        self.outputs.push(Output::Relay { call, label, relay });
    }

    pub fn respond(&mut self, request_id: RequestId, response: HttpResponse) {
        self.outputs.push(Output::Response { request_id, response });
    }

    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|t| t.name == name)
    }
}
