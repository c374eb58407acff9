//! Inputs and outputs of a node.

use std::time::Duration;

use rushyoke_wire::cloud::{Listing, MachineType, Rental};
use rushyoke_wire::job::JobSpec;
use rushyoke_wire::peer::{PeerRequest, PeerResponse, Relay, RelayResponse};
use rushyoke_wire::store::{Changes, Item, Page, Txn};
use rushyoke_wire::worker::{Orders, Report};
use serde_json::value::RawValue;

/// Names a request that waits for an answer of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Req(pub u64);

/// Names a call of ours that waits for an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// What became of a call.
#[derive(Clone, Debug)]
pub enum Outcome<T> {
    Answered(T),
    /// It was surely not carried out and never will be.
    NotDone,
    /// It may have been carried out, or may be yet.
    Unknown,
}

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

#[derive(Clone, Debug)]
pub enum StoreOp {
    Get(String),
    List { prefix: String, after: String },
    Txn(Txn),
    NewLease { ttl_ms: u64 },
    Touch(u64),
    EndLease(u64),
    Watch { prefix: String, after: u64, wait_ms: u64 },
}

#[derive(Clone, Debug)]
pub enum StoreAnswer {
    Item(Option<Item>),
    Page(Page),
    Committed(u64),
    Refused(Vec<String>),
    Lease(u64),
    LeaseLives,
    NoSuchLease,
    Changes(Changes),
    /// The watch asked for changes that are no longer kept.
    TooOld,
    /// 503: not carried out.
    Unavailable,
    /// 429: beyond a limit, not carried out.
    Limited,
}

#[derive(Clone, Debug)]
pub enum CloudOp {
    Types,
    Rent(Rental),
    Release(Vec<String>),
    List { after: Option<String> },
}

#[derive(Clone, Debug)]
pub enum CloudAnswer {
    Types(Vec<MachineType>),
    Rented(Vec<String>),
    Released,
    Listing(Listing),
    NoCapacity,
    /// 429 or an outage: not carried out.
    Unavailable,
}

#[derive(Clone, Debug)]
pub enum Input {
    Submit {
        req: Req,
        spec: Box<JobSpec>,
    },
    Status {
        req: Req,
        id: String,
    },
    Cancel {
        req: Req,
        id: String,
    },
    Ready {
        req: Req,
    },
    Report {
        req: Req,
        report: Box<Report>,
        /// The report's tasks if they were not read yet.
        unread: Option<Box<RawValue>>,
    },
    Peer {
        req: Req,
        request: PeerRequest,
    },
    /// Reports that another node hands on.
    Relay {
        req: Req,
        relay: Relay,
    },
    RelayResponse {
        call: Call,
        outcome: Outcome<RelayResponse>,
    },
    Store {
        call: Call,
        outcome: Outcome<StoreAnswer>,
    },
    Cloud {
        call: Call,
        outcome: Outcome<CloudAnswer>,
    },
    /// The status and report that a worker answered to direct orders.
    Ordered {
        call: Call,
        outcome: Outcome<(u16, Report)>,
    },
    PeerResponse {
        label: String,
        outcome: Outcome<PeerResponse>,
    },
    /// How much of its time the processor was busy lately, 0 to 1, and how much too late the
    /// tick comes that follows.
    Busy {
        share: f64,
        late: Duration,
    },
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
}

impl Answer {
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Answer {
        let body = serde_json::to_vec(body).expect("answers always encode");
        Answer { status, body, retry_after_s: None }
    }

    pub fn error(status: u16, text: &str) -> Answer {
        Answer::json(status, &serde_json::json!({ "error": text }))
    }

    /// Tells the client at once that it should come back.
    pub fn later(status: u16, text: &str) -> Answer {
        Answer { retry_after_s: Some(1), ..Answer::error(status, text) }
    }
}

#[derive(Clone, Debug)]
pub enum Output {
    Answer { req: Req, answer: Answer },
    Store { call: Call, op: StoreOp, urgency: Urgency },
    Cloud { call: Call, op: CloudOp },
    Order { call: Call, addr: String, orders: Orders },
    Peer { label: String, request: PeerRequest },
    Relay { call: Call, label: String, relay: Relay },
}
