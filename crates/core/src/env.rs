//! The environment shared by all components of a node: clocks, settings, and calls in flight.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use rand::rngs::StdRng;
use rushyoke_wire::cloud::MachineType;

use crate::calls::Purpose;
use crate::facts::{Facts, Policy};
use crate::io::*;
use crate::jobs::Name;

/// Current times of the caller's clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Time of the steady (monotonic) clock.
    pub steady: Instant,
    /// Time of day in milliseconds since 1970, used for deadlines only.
    pub wall_ms: u64,
}

/// The environment shared by all components of a node.
pub(crate) struct Env {
    /// Time of the current input.
    pub now: Now,
    pub facts: Arc<Facts>,
    pub policy: Arc<Policy>,
    pub rng: StdRng,
    /// Machine types that the cloud offers; empty while unknown.
    pub machine_types: Arc<Vec<MachineType>>,
    /// Outputs of the current input.
    pub outputs: Vec<Output>,
    /// Purposes of the calls in flight.
    pub calls: HashMap<CallId, Purpose>,
    /// Number of the last call.
    pub last_call: u64,
}

impl Env {
    /// Returns the time of the steady clock.
    pub fn steady(&self) -> Instant {
        self.now.steady
    }

    /// Registers a call under a new id.
    fn call(&mut self, purpose: Purpose) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.calls.insert(call, purpose);
        call
    }

    /// Calls the state service.
    pub fn call_store(&mut self, purpose: Purpose, urgency: Urgency, op: StoreOp) {
        let call = self.call(purpose);
        self.outputs.push(Output::Store { call, op, urgency });
    }

    /// Calls the cloud.
    pub fn call_cloud(&mut self, purpose: Purpose, op: CloudOp) {
        let call = self.call(purpose);
        self.outputs.push(Output::Cloud { call, op });
    }

    /// Calls a worker directly. A probe mainly checks that the worker is alive, so its response must come soon.
    pub fn call_worker(&mut self, machine: Name, addr: String, orders: rushyoke_wire::worker::Orders, probe: bool) {
        let call = self.call(Purpose::Order { machine });
        self.outputs.push(Output::Order { call, addr, orders, probe });
    }

    /// Relays reports to another node.
    pub fn relay_reports(&mut self, label: String, relay: rushyoke_wire::peer::RelayRequest) {
        let call = self.call(Purpose::Relay);
        self.outputs.push(Output::Relay { call, label, relay });
    }

    /// Responds to a request.
    pub fn respond(&mut self, request_id: RequestId, response: HttpResponse) {
        self.outputs.push(Output::Response { request_id, response });
    }

    /// Returns the machine type with this name, if it is known.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|t| t.name == name)
    }
}
