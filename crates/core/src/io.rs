//! Inputs and outputs of a node.

use std::time::Duration;

use rushyoke_wire::cloud::{Listing, MachineType, Rental};
use rushyoke_wire::job::JobSpec;
use rushyoke_wire::peer::{PeerRequest, PeerResponse, RelayRequest, RelayResponse};
use rushyoke_wire::store::{Changes, Item, Page, Txn};
use rushyoke_wire::worker::{Orders, Report};
use serde_json::value::RawValue;

/// Names a request that waits for an answer of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Names a call of ours that waits for an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What became of a call.
#[derive(Clone, Debug)]
pub enum Outcome<T> {
    /// It was answered.
    Responded(T),
    /// It was surely not carried out and never will be.
    NotExecuted,
    /// It may have been carried out, or may be yet.
    Unknown,
}

/// How urgent a call to the state service is; the first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Leadership.
    Leadership,
    /// What a start or a job's end waits for.
    Record,
    /// What a user waits for.
    High,
    /// All else.
    Low,
}

/// A call to the state service.
#[derive(Clone, Debug)]
pub enum StoreOp {
    /// Reads a key.
    Get(String),
    /// Reads keys in order.
    List {
        /// What the keys begin with.
        prefix: String,
        /// The key, or the revision, after which it begins.
        after: String,
    },
    /// Carries out a transaction.
    Txn(Txn),
    /// Asks for a lease.
    NewLease {
        /// Its life without renewal.
        ttl_ms: u64,
    },
    /// Renews a lease.
    RenewLease(u64),
    /// Ends a lease.
    EndLease(u64),
    /// Waits for a change.
    Watch {
        /// What the keys begin with.
        prefix: String,
        /// The key, or the revision, after which it begins.
        after: u64,
        /// How long to wait.
        wait_ms: u64,
    },
}

/// What the state service answers.
#[derive(Clone, Debug)]
pub enum StoreResponse {
    /// A key, if it exists.
    Item(Option<Item>),
    /// Keys in order.
    Page(Page),
    /// The revision of a transaction that was carried out.
    Committed(u64),
    /// Keys whose conditions did not hold; it may not name all.
    ConditionsFailed(Vec<String>),
    /// A new lease.
    Lease(u64),
    /// The lease was renewed or ended.
    LeaseOk,
    /// The lease has ended.
    NoSuchLease,
    /// Changes that a watch saw, or none in its time.
    Changes(Changes),
    /// The watch asked for changes that are no longer kept.
    Compacted,
    /// 503: not carried out.
    Unavailable,
    /// 429: beyond a limit, not carried out.
    RateLimited,
}

/// A call to the cloud.
#[derive(Clone, Debug)]
pub enum CloudOp {
    /// Asks for the types of machines.
    Types,
    /// Rents machines.
    Rent(Rental),
    /// Returns machines.
    Release(Vec<String>),
    /// Lists machines.
    List {
        /// The name after which it begins.
        after: Option<String>,
    },
}

/// What the cloud answers.
#[derive(Clone, Debug)]
pub enum CloudResponse {
    /// The types of machines.
    Types(Vec<MachineType>),
    /// Names of rented machines.
    Rented(Vec<String>),
    /// The machines are gone.
    Released,
    /// Machines in order.
    Listing(Listing),
    /// There is none of the kind.
    NoCapacity,
    /// 429 or an outage: not carried out.
    Unavailable,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Input {
    /// A user submits a job.
    Submit {
        /// The request to answer.
        request_id: RequestId,
        /// The job.
        spec: Box<JobSpec>,
    },
    /// A user asks about a job.
    Status {
        /// The request to answer.
        request_id: RequestId,
        /// The job's id.
        id: String,
    },
    /// A user cancels a job.
    Cancel {
        /// The request to answer.
        request_id: RequestId,
        /// The job's id.
        id: String,
    },
    /// A health check.
    Ready {
        /// The request to answer.
        request_id: RequestId,
    },
    /// A worker reports.
    Report {
        /// The request to answer.
        request_id: RequestId,
        /// The report.
        report: Box<Report>,
        /// The report's tasks if they were not read yet.
        unparsed_tasks: Option<Box<RawValue>>,
    },
    /// Another node asks and tells.
    Peer {
        /// The request to answer.
        request_id: RequestId,
        /// The message.
        request: PeerRequest,
    },
    /// Reports that another node hands on.
    Relay {
        /// The request to answer.
        request_id: RequestId,
        /// The reports.
        relay: RelayRequest,
    },
    /// The leader answered reports that were handed on.
    RelayResponse {
        /// The call.
        call: CallId,
        /// What became of it.
        outcome: Outcome<RelayResponse>,
    },
    /// A call to the state service has an outcome.
    Store {
        /// The call.
        call: CallId,
        /// What became of it.
        outcome: Outcome<StoreResponse>,
    },
    /// A call to the cloud has an outcome.
    Cloud {
        /// The call.
        call: CallId,
        /// What became of it.
        outcome: Outcome<CloudResponse>,
    },
    /// The status and report that a worker answered to direct orders.
    OrderResponse {
        /// The call.
        call: CallId,
        /// What became of it.
        outcome: Outcome<(u16, Report)>,
    },
    /// Another node answered.
    PeerResponse {
        /// The node's label.
        label: String,
        /// What became of it.
        outcome: Outcome<PeerResponse>,
    },
    /// How much of its time the processor was busy lately, 0 to 1, and how much too late the
    /// tick comes that follows.
    ProcessorLoad {
        /// Share of its time for which the processor was busy.
        share: f64,
        /// How much too late the next tick comes.
        tick_delay: Duration,
    },
    /// Time passes.
    Tick,
}

/// An HTTP answer.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpResponse {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// When the client should come back.
    pub retry_after_s: Option<u32>,
}

impl HttpResponse {
    /// An answer with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> HttpResponse {
        let body = serde_json::to_vec(body).expect("answers always encode");
        HttpResponse { status, body, retry_after_s: None }
    }

    /// An answer that says what is wrong.
    pub fn error(status: u16, text: &str) -> HttpResponse {
        HttpResponse::json(status, &serde_json::json!({ "error": text }))
    }

    /// Tells the client at once that it should come back.
    pub fn later(status: u16, text: &str) -> HttpResponse {
        HttpResponse { retry_after_s: Some(1), ..HttpResponse::error(status, text) }
    }
}

/// What a node sends.
#[derive(Clone, Debug)]
pub enum Output {
    /// Answers a request.
    Response {
        /// The request.
        request_id: RequestId,
        /// The answer.
        response: HttpResponse,
    },
    /// Calls the state service.
    Store {
        /// Names the call for its outcome.
        call: CallId,
        /// The call.
        op: StoreOp,
        /// How urgent it is.
        urgency: Urgency,
    },
    /// Calls the cloud.
    Cloud {
        /// Names the call for its outcome.
        call: CallId,
        /// The call.
        op: CloudOp,
    },
    /// Orders a worker directly.
    Order {
        /// Names the call for its outcome.
        call: CallId,
        /// The worker's address.
        addr: String,
        /// The orders.
        orders: Orders,
        /// It asks for a sign of life: the answer must not take long.
        probe: bool,
    },
    /// Asks and tells another node.
    Peer {
        /// The other node's label.
        label: String,
        /// The message.
        request: PeerRequest,
    },
    /// Hands reports to the leader.
    Relay {
        /// Names the call for its outcome.
        call: CallId,
        /// The other node's label.
        label: String,
        /// The reports.
        relay: RelayRequest,
    },
}
