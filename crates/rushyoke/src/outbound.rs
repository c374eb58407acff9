//! The calls to the state service, the cloud, the workers and the other controllers:
//! how each looks on the wire, and what its answer means. A malformed answer is logged
//! and counts as none.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rushyoke_core::{CloudOp, CloudResponse, Outcome, StoreOp, StoreResponse};
use rushyoke_wire::cloud::{Listing, MachineNames, MachineTypes};
use rushyoke_wire::peer::{PeerRequest, PeerResponse, RelayRequest, RelayResponse, decode, encode};
use rushyoke_wire::store::{Changes, Committed, Item, Lease, NewLease, Page, Refused};
use rushyoke_wire::worker::{Orders, Report};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http_client::{HttpClient, OutgoingRequest};

/// What a watch may take beyond the time it waits: one that hangs is soon opened again, since
/// the leader may answer no worker for long without it.
const WATCH_GRACE: Duration = Duration::from_millis(1500);
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
const CLOUD_TIMEOUT: Duration = Duration::from_secs(5);
const WORKER_TIMEOUT: Duration = Duration::from_secs(3);
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Workers wait for four seconds for what a busy leader is asked to answer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(2500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Machines per page of the list.
const MACHINES_PER_PAGE: usize = 500;

fn outgoing(
    addr: SocketAddr,
    method: Method,
    path: impl Into<String>,
    body: Vec<u8>,
    response_timeout: Duration,
) -> OutgoingRequest {
    OutgoingRequest {
        addr,
        method,
        path: path.into(),
        body: Bytes::from(body),
        connect_timeout: CONNECT_TIMEOUT,
        response_timeout,
        max_response_bytes: MAX_RESPONSE_BYTES,
    }
}

fn json<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("requests always encode")
}

/// Reads an answer's body; anything malformed counts as no answer.
fn parse<T: DeserializeOwned>(what: &str, body: &Bytes) -> Option<T> {
    match serde_json::from_slice(body) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::error!(what, %error, "malformed answer");
            None
        }
    }
}

fn known<T>(answer: Option<T>) -> Outcome<T> {
    answer.map_or(Outcome::Unknown, Outcome::Responded)
}

fn unexpected<T>(what: &str, status: u16) -> Outcome<T> {
    tracing::error!(what, status, "unexpected answer");
    Outcome::Unknown
}

pub async fn call_store(http: &HttpClient, addr: SocketAddr, op: StoreOp) -> Outcome<StoreResponse> {
    let request = match &op {
        StoreOp::Get(key) => outgoing(addr, Method::GET, format!("/kv/{key}"), Vec::new(), STORE_TIMEOUT),
        StoreOp::List { prefix, after } => {
            let after = if after.is_empty() { String::new() } else { format!("&since={after}") };
            outgoing(addr, Method::GET, format!("/kv?starts={prefix}{after}&most=1000"), Vec::new(), STORE_TIMEOUT)
        }
        StoreOp::Txn(txn) => outgoing(addr, Method::POST, "/txn", json(txn), STORE_TIMEOUT),
        StoreOp::NewLease { ttl_ms } => {
            outgoing(addr, Method::POST, "/leases", json(&NewLease { ttl_ms: *ttl_ms }), STORE_TIMEOUT)
        }
        StoreOp::RenewLease(lease) => {
            outgoing(addr, Method::POST, format!("/leases/{lease}/touch"), Vec::new(), STORE_TIMEOUT)
        }
        StoreOp::EndLease(lease) => {
            outgoing(addr, Method::DELETE, format!("/leases/{lease}"), Vec::new(), STORE_TIMEOUT)
        }
        StoreOp::Watch { prefix, after, wait_ms } => {
            let path = format!("/changes?starts={prefix}&since={after}&block_ms={wait_ms}");
            outgoing(addr, Method::GET, path, Vec::new(), Duration::from_millis(*wait_ms) + WATCH_GRACE)
        }
    };
    let (status, body) = match http.request(request).await {
        Outcome::Responded(answer) => answer,
        Outcome::NotExecuted => return Outcome::NotExecuted,
        Outcome::Unknown => return Outcome::Unknown,
    };
    if matches!(status, 429 | 503) {
        tracing::debug!(status, ?op, "the state service declines");
        let answer = if status == 429 { StoreResponse::RateLimited } else { StoreResponse::Unavailable };
        return Outcome::Responded(answer);
    }
    match (&op, status) {
        (StoreOp::Get(_), 200) => known(parse::<Item>("state", &body).map(|item| StoreResponse::Item(Some(item)))),
        (StoreOp::Get(_), 404) => Outcome::Responded(StoreResponse::Item(None)),
        (StoreOp::List { .. }, 200) => known(parse::<Page>("state", &body).map(StoreResponse::Page)),
        (StoreOp::Txn(_), 200) => {
            known(parse::<Committed>("state", &body).map(|c| StoreResponse::Committed(c.revision)))
        }
        (StoreOp::Txn(_), 409) => {
            known(parse::<Refused>("state", &body).map(|r| StoreResponse::ConditionsFailed(r.failed)))
        }
        (StoreOp::Txn(_), 400) => {
            let text = String::from_utf8_lossy(&body);
            if !text.contains("no such lease") {
                tracing::error!(%text, "the state service calls a transaction malformed");
            }
            Outcome::Responded(StoreResponse::NoSuchLease)
        }
        (StoreOp::NewLease { .. }, 200) => known(parse::<Lease>("state", &body).map(|l| StoreResponse::Lease(l.lease))),
        (StoreOp::RenewLease(_) | StoreOp::EndLease(_), 200 | 204) => Outcome::Responded(StoreResponse::LeaseOk),
        (StoreOp::RenewLease(_) | StoreOp::EndLease(_), 404) => Outcome::Responded(StoreResponse::NoSuchLease),
        // Changes have no size limit. More than can be taken are as good as too old: what they
        // concern is read again, in pages.
        (StoreOp::Watch { .. }, 200) if body.is_empty() => Outcome::Responded(StoreResponse::Compacted),
        (StoreOp::Watch { .. }, 200) => known(parse::<Changes>("state", &body).map(StoreResponse::Changes)),
        (StoreOp::Watch { .. }, 410) => Outcome::Responded(StoreResponse::Compacted),
        _ => unexpected("state", status),
    }
}

pub async fn call_cloud(http: &HttpClient, addr: SocketAddr, op: CloudOp) -> Outcome<CloudResponse> {
    let request = match &op {
        CloudOp::Types => outgoing(addr, Method::GET, "/flavors", Vec::new(), CLOUD_TIMEOUT),
        CloudOp::Rent(rental) => outgoing(addr, Method::POST, "/machines", json(rental), CLOUD_TIMEOUT),
        CloudOp::Release(machines) => outgoing(
            addr,
            Method::POST,
            "/machines/release",
            json(&MachineNames { machines: machines.clone() }),
            CLOUD_TIMEOUT,
        ),
        CloudOp::List { after } => {
            let after = after.as_ref().map(|a| format!("since={a}&")).unwrap_or_default();
            outgoing(addr, Method::GET, format!("/machines?{after}most={MACHINES_PER_PAGE}"), Vec::new(), CLOUD_TIMEOUT)
        }
    };
    let (status, body) = match http.request(request).await {
        Outcome::Responded(answer) => answer,
        Outcome::NotExecuted => return Outcome::NotExecuted,
        Outcome::Unknown => return Outcome::Unknown,
    };
    match (&op, status) {
        (CloudOp::Types, 200) => known(parse::<MachineTypes>("cloud", &body).map(|t| CloudResponse::Types(t.types))),
        (CloudOp::Rent(_), 200) => {
            known(parse::<MachineNames>("cloud", &body).map(|n| CloudResponse::Rented(n.machines)))
        }
        (CloudOp::Release(_), 200) => Outcome::Responded(CloudResponse::Released),
        (CloudOp::List { .. }, 200) => known(parse::<Listing>("cloud", &body).map(CloudResponse::Listing)),
        (CloudOp::Rent(_), 503) if String::from_utf8_lossy(&body).contains("no capacity") => {
            Outcome::Responded(CloudResponse::NoCapacity)
        }
        (_, 429 | 503) => {
            tracing::debug!(status, "the cloud declines");
            Outcome::Responded(CloudResponse::Unavailable)
        }
        _ => unexpected("cloud", status),
    }
}

/// Direct orders; the outcome is the status and the worker's report. The answer to a probe, which asks for a sign
/// of life, must not take long.
pub async fn send_orders(http: &HttpClient, addr: &str, orders: &Orders, probe: bool) -> Outcome<(u16, Report)> {
    let Ok(addr) = addr.parse::<SocketAddr>() else {
        tracing::error!(addr, "a worker's address cannot be used");
        return Outcome::NotExecuted;
    };
    let wait = if probe { PROBE_TIMEOUT } else { WORKER_TIMEOUT };
    let request = OutgoingRequest {
        connect_timeout: PROBE_TIMEOUT,
        ..outgoing(addr, Method::POST, "/orders", json(orders), wait)
    };
    match http.request(request).await {
        Outcome::Responded((status @ (200 | 409), body)) => {
            known(parse("worker", &body).map(|report| (status, report)))
        }
        Outcome::Responded((status, _)) => unexpected("worker", status),
        Outcome::NotExecuted => Outcome::NotExecuted,
        Outcome::Unknown => Outcome::Unknown,
    }
}

pub async fn call_peer(http: &HttpClient, addr: SocketAddr, message: &PeerRequest) -> Outcome<PeerResponse> {
    to_peer(http, addr, "/peer", message, PEER_TIMEOUT).await
}

pub async fn relay_reports(http: &HttpClient, addr: SocketAddr, message: &RelayRequest) -> Outcome<RelayResponse> {
    to_peer(http, addr, "/relay", message, RELAY_TIMEOUT).await
}

async fn to_peer<A: Serialize, T: for<'a> serde::Deserialize<'a>>(
    http: &HttpClient,
    addr: SocketAddr,
    path: &str,
    message: &A,
    wait: Duration,
) -> Outcome<T> {
    match http.request(outgoing(addr, Method::POST, path, encode(message), wait)).await {
        Outcome::Responded((200, body)) => known(decode(&body)),
        _ => Outcome::Unknown,
    }
}
