//! The machine types that the cloud offers. They are also written to the state service for nodes that
//! start while the cloud is down.

use std::sync::Arc;

use rushyoke_wire::cloud::MachineType;

use crate::calls::Purpose;
use crate::io::*;

use super::{Node, TYPES_KEY, TYPES_REFRESH_INTERVAL, TYPES_RETRY_INTERVAL};

impl Node {
    /// Applies a new set of machine types. The leader writes it to the state service, so that a node
    /// that starts while the cloud is down can still validate submissions.
    pub(super) fn store_machine_types(&mut self, types: Vec<MachineType>) {
        let first_time = self.env.machine_types.is_empty();
        self.env.machine_types = Arc::new(types);
        if let Some(term) = &mut self.term {
            term.update_machine_types(&self.env);
        }
        if first_time || self.term.is_some() {
            let value = serde_json::to_value(&*self.env.machine_types).expect("types always encode");
            if value.to_string().len() > self.env.facts.value_bytes {
                return;
            }
            let txn = rushyoke_wire::store::Txn::default().put(TYPES_KEY, value);
            self.env.call_store(Purpose::WriteTypes, Urgency::Low, StoreOp::Txn(txn));
        }
    }

    /// Requests the machine types, if that is due.
    pub(super) fn types_tick(&mut self) {
        let now = self.env.steady();
        let interval = match (self.env.machine_types.is_empty(), self.term.is_some()) {
            (true, _) => TYPES_RETRY_INTERVAL,
            (false, true) => TYPES_REFRESH_INTERVAL,
            (false, false) => return,
        };
        if self.types_request_pending || self.types_requested_at.is_some_and(|at| now.duration_since(at) < interval) {
            return;
        }
        self.types_requested_at = Some(now);
        self.types_request_pending = true;
        self.env.call_cloud(Purpose::Types, CloudOp::Types);
        if self.env.machine_types.is_empty() {
            self.env.call_store(Purpose::ReadTypes, Urgency::High, StoreOp::Get(TYPES_KEY.into()));
        }
    }
}
