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
    pub types: Arc<Vec<MachineType>>,
    pub out: Vec<Output>,
    pub calls: HashMap<Call, Purpose>,
    pub next_call: u64,
}

impl Env {
    pub fn steady(&self) -> Instant {
        self.now.steady
    }

    fn call(&mut self, purpose: Purpose) -> Call {
        self.next_call += 1;
        let call = Call(self.next_call);
        self.calls.insert(call, purpose);
        call
    }

    pub fn store(&mut self, purpose: Purpose, urgency: Urgency, op: StoreOp) {
        let call = self.call(purpose);
        self.out.push(Output::Store { call, op, urgency });
    }

    pub fn cloud(&mut self, purpose: Purpose, op: CloudOp) {
        let call = self.call(purpose);
        self.out.push(Output::Cloud { call, op });
    }

    pub fn order(&mut self, machine: Name, addr: String, orders: rushyoke_wire::worker::Orders, probe: bool) {
        let call = self.call(Purpose::Order { machine });
        self.out.push(Output::Order { call, addr, orders, probe });
    }

    pub fn relay(&mut self, label: String, relay: rushyoke_wire::peer::RelayRequest) {
        let call = self.call(Purpose::Relay);
        self.out.push(Output::Relay { call, label, relay });
    }

    pub fn answer(&mut self, req: Req, answer: Answer) {
        self.out.push(Output::Answer { req, answer });
    }

    pub fn type_named(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }
}
