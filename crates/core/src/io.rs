//! Inputs and outputs of a node.

use std::time::Duration;

use rushyoke_wire::cloud::{Listing, MachineType, Rental};
use rushyoke_wire::job::JobSpec;
use rushyoke_wire::peer::{PeerRequest, PeerResponse, RelayRequest, RelayResponse};
use rushyoke_wire::store::{Changes, Item, Page, Txn};
use rushyoke_wire::worker::{Orders, Report};
use serde_json::value::RawValue;

/// Id of a request that waits for a response of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Id of a call by this node that waits for its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Outcome of a call.
#[derive(Clone, Debug)]
pub enum Outcome<T> {
    /// There was a response.
    Responded(T),
    /// The call was not executed and never will be.
    NotExecuted,
    /// The call may have been executed, or may still be.
    Unknown,
}

/// Urgency of a call to the state service, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A call on which leadership or the right to respond to reports depends.
    Leadership,
    /// A call for records that the start of a task or the end of a job waits for.
    Record,
    /// A call that a user waits for.
    High,
    /// Any other call.
    Low,
}

/// A call to the state service.
#[derive(Clone, Debug)]
pub enum StoreOp {
    /// Reads a key.
    Get(String),
    /// Lists keys in order, a page at a time.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// The key after which the list begins.
        after: String,
    },
    /// Executes a transaction.
    Txn(Txn),
    /// Creates a lease.
    NewLease {
        /// Time after which the lease expires unless it is renewed.
        ttl_ms: u64,
    },
    /// Renews a lease.
    RenewLease(u64),
    /// Ends a lease.
    EndLease(u64),
    /// Waits for changes of keys.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// The revision after which changes are returned.
        after: u64,
        /// How long to wait.
        wait_ms: u64,
    },
}

/// A response of the state service.
#[derive(Clone, Debug)]
pub enum StoreResponse {
    /// A key, if it exists.
    Item(Option<Item>),
    /// A page of keys in order.
    Page(Page),
    /// The revision of a committed transaction.
    Committed(u64),
    /// Keys whose conditions failed, though perhaps not all of them; the transaction was not executed.
    ConditionsFailed(Vec<String>),
    /// The id of a new lease.
    Lease(u64),
    /// The lease was renewed or ended.
    LeaseOk,
    /// The lease has expired or was ended.
    NoSuchLease,
    /// Changes seen by a watch; empty if there were none while it waited.
    Changes(Changes),
    /// The watch requested changes that are no longer stored.
    Compacted,
    /// Status 503: not executed.
    Unavailable,
    /// Status 429: a rate limit was exceeded, not executed.
    RateLimited,
}

/// A call to the cloud.
#[derive(Clone, Debug)]
pub enum CloudOp {
    /// Requests the machine types.
    Types,
    /// Rents machines.
    Rent(Rental),
    /// Releases machines, by name.
    Release(Vec<String>),
    /// Lists machines.
    List {
        /// The name after which the list begins.
        after: Option<String>,
    },
}

/// A response of the cloud.
#[derive(Clone, Debug)]
pub enum CloudResponse {
    /// The machine types.
    Types(Vec<MachineType>),
    /// Names of rented machines.
    Rented(Vec<String>),
    /// The machines were released.
    Released,
    /// A page of machines in order.
    Listing(Listing),
    /// No machine of the requested type is available.
    NoCapacity,
    /// A rate limit or an outage: not executed.
    Unavailable,
}

/// An event that a node handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A user submits a job.
    Submit {
        /// Id of the request.
        request_id: RequestId,
        /// The job.
        spec: Box<JobSpec>,
    },
    /// A user asks about a job.
    Status {
        /// Id of the request.
        request_id: RequestId,
        /// The job's id.
        id: String,
    },
    /// A user cancels a job.
    Cancel {
        /// Id of the request.
        request_id: RequestId,
        /// The job's id.
        id: String,
    },
    /// A health check.
    Ready {
        /// Id of the request.
        request_id: RequestId,
    },
    /// A worker's report.
    Report {
        /// Id of the request.
        request_id: RequestId,
        /// The report.
        report: Box<Report>,
        /// The report's tasks, if they are not parsed yet.
        unparsed_tasks: Option<Box<RawValue>>,
    },
    /// A request of another node.
    Peer {
        /// Id of the request.
        request_id: RequestId,
        /// The message.
        request: PeerRequest,
    },
    /// Reports relayed by another node.
    Relay {
        /// Id of the request.
        request_id: RequestId,
        /// The reports.
        relay: RelayRequest,
    },
    /// Outcome of a call that relayed reports to the leader.
    RelayResponse {
        /// Id of the call.
        call: CallId,
        /// Outcome of the call.
        outcome: Outcome<RelayResponse>,
    },
    /// Outcome of a call to the state service.
    Store {
        /// Id of the call.
        call: CallId,
        /// Outcome of the call.
        outcome: Outcome<StoreResponse>,
    },
    /// Outcome of a call to the cloud.
    Cloud {
        /// Id of the call.
        call: CallId,
        /// Outcome of the call.
        outcome: Outcome<CloudResponse>,
    },
    /// Outcome of a direct call to a worker: the status and report in its response.
    OrderResponse {
        /// Id of the call.
        call: CallId,
        /// Outcome of the call.
        outcome: Outcome<(u16, Report)>,
    },
    /// Outcome of a request to another node.
    PeerResponse {
        /// The node's label.
        label: String,
        /// Outcome of the call.
        outcome: Outcome<PeerResponse>,
    },
    /// Recent processor load; comes before a tick.
    ProcessorLoad {
        /// Share of time for which the processor was busy, 0 to 1.
        share: f64,
        /// Delay of the tick that follows.
        tick_delay: Duration,
    },
    /// Time passes.
    Tick,
}

/// An HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Body of the response.
    pub body: Vec<u8>,
    /// Seconds after which the client should retry.
    pub retry_after_s: Option<u32>,
}

impl HttpResponse {
    /// Returns a response with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> HttpResponse {
        let body = serde_json::to_vec(body).expect("responses always encode");
        HttpResponse { status, body, retry_after_s: None }
    }

    /// Returns an error response.
    pub fn error(status: u16, text: &str) -> HttpResponse {
        HttpResponse::json(status, &serde_json::json!({ "error": text }))
    }

    /// Returns an error response that asks the client to retry in a second.
    pub fn later(status: u16, text: &str) -> HttpResponse {
        HttpResponse { retry_after_s: Some(1), ..HttpResponse::error(status, text) }
    }
}

/// A call or response that a node sends.
#[derive(Clone, Debug)]
pub enum Output {
    /// Responds to a request.
    Response {
        /// Id of the request.
        request_id: RequestId,
        /// The response.
        response: HttpResponse,
    },
    /// Calls the state service.
    Store {
        /// Id of the call.
        call: CallId,
        /// The call.
        op: StoreOp,
        /// Urgency of the call.
        urgency: Urgency,
    },
    /// Calls the cloud.
    Cloud {
        /// Id of the call.
        call: CallId,
        /// The call.
        op: CloudOp,
    },
    /// Calls a worker directly.
    Order {
        /// Id of the call.
        call: CallId,
        /// The worker's address.
        addr: String,
        /// The orders.
        orders: Orders,
        /// Whether the call mainly checks that the worker is alive, so that the response must come soon.
        probe: bool,
    },
    /// Sends a request to another node.
    Peer {
        /// The other node's label.
        label: String,
        /// The message.
        request: PeerRequest,
    },
    /// Relays reports to the leader.
    Relay {
        /// Id of the call.
        call: CallId,
        /// The other node's label.
        label: String,
        /// The reports.
        relay: RelayRequest,
    },
}
