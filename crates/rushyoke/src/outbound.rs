//! Calls to the state service, the cloud, the workers and the other controllers: encodes the requests and interprets
//! the responses. A malformed response is logged and its outcome is unknown.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rushyoke_core::{CloudOp, CloudResponse, Outcome, StoreOp, StoreResponse};
use rushyoke_wire::cloud::{Listing, MachineNames, MachineTypes};
use rushyoke_wire::peer::{PeerRequest, PeerResponse, RelayRequest, RelayResponse, decode, encode};
use rushyoke_wire::store::{Changes, Committed, FailedConditions, Item, Lease, NewLease, Page};
use rushyoke_wire::worker::{Orders, Report};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http_client::{HttpClient, OutgoingRequest};

/// Time that a watch may take beyond the waiting time that it requests. It is short, so that a hanging watch is soon
/// replaced: a leader that has had no response to a watch for too long must stop responding to workers.
const WATCH_GRACE: Duration = Duration::from_millis(1500);
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
const CLOUD_TIMEOUT: Duration = Duration::from_secs(5);
const WORKER_TIMEOUT: Duration = Duration::from_secs(3);
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Workers wait 4 seconds for the response to a report, and a busy leader needs part of that time.
const RELAY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout for connecting; to workers it is `PROBE_TIMEOUT` instead.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Machines per page of the cloud's list.
const MACHINES_PER_PAGE: usize = 500;

/// Builds a request with the default timeout for connecting and the default limit of the response.
fn request_to(
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

/// Encodes the body of a request.
fn encode_json<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("requests always encode")
}

/// Parses the body of a response. Logs a malformed one.
fn parse_json<T: DeserializeOwned>(service: &str, body: &Bytes) -> Option<T> {
    match serde_json::from_slice(body) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::error!(what = service, %error, "malformed response");
            None
        }
    }
}

/// Returns the outcome of a call from its parsed response; `None` means a malformed one.
fn responded_or_unknown<T>(response: Option<T>) -> Outcome<T> {
    response.map_or(Outcome::Unknown, Outcome::Responded)
}

/// Logs a response with an unexpected status. Returns the outcome of its call.
fn unexpected_status<T>(service: &str, status: u16) -> Outcome<T> {
    tracing::error!(what = service, status, "unexpected response status");
    Outcome::Unknown
}

/// Calls the state service.
pub async fn call_store(client: &HttpClient, addr: SocketAddr, op: StoreOp) -> Outcome<StoreResponse> {
    let request = match &op {
        StoreOp::Get(key) => request_to(addr, Method::GET, format!("/kv/{key}"), Vec::new(), STORE_TIMEOUT),
        StoreOp::List { prefix, after } => {
            let after = if after.is_empty() { String::new() } else { format!("&since={after}") };
            request_to(addr, Method::GET, format!("/kv?starts={prefix}{after}&most=1000"), Vec::new(), STORE_TIMEOUT)
        }
        StoreOp::Txn(txn) => request_to(addr, Method::POST, "/txn", encode_json(txn), STORE_TIMEOUT),
        StoreOp::NewLease { ttl_ms } => {
            request_to(addr, Method::POST, "/leases", encode_json(&NewLease { ttl_ms: *ttl_ms }), STORE_TIMEOUT)
        }
        StoreOp::RenewLease(lease) => {
            request_to(addr, Method::POST, format!("/leases/{lease}/touch"), Vec::new(), STORE_TIMEOUT)
        }
        StoreOp::EndLease(lease) => {
            request_to(addr, Method::DELETE, format!("/leases/{lease}"), Vec::new(), STORE_TIMEOUT)
        }
        StoreOp::Watch { prefix, after, wait_ms } => {
            let path = format!("/changes?starts={prefix}&since={after}&block_ms={wait_ms}");
            request_to(addr, Method::GET, path, Vec::new(), Duration::from_millis(*wait_ms) + WATCH_GRACE)
        }
    };
    let (status, body) = match client.request(request).await {
        Outcome::Responded(response) => response,
        Outcome::NotExecuted => return Outcome::NotExecuted,
        Outcome::Unknown => return Outcome::Unknown,
    };
    if matches!(status, 429 | 503) {
        tracing::debug!(status, ?op, "the state service rejected a call");
        let response = if status == 429 { StoreResponse::RateLimited } else { StoreResponse::Unavailable };
        return Outcome::Responded(response);
    }
    match (&op, status) {
        (StoreOp::Get(_), 200) => {
            responded_or_unknown(parse_json::<Item>("state", &body).map(|item| StoreResponse::Item(Some(item))))
        }
        (StoreOp::Get(_), 404) => Outcome::Responded(StoreResponse::Item(None)),
        (StoreOp::List { .. }, 200) => {
            responded_or_unknown(parse_json::<Page>("state", &body).map(StoreResponse::Page))
        }
        (StoreOp::Txn(_), 200) => responded_or_unknown(
            parse_json::<Committed>("state", &body).map(|committed| StoreResponse::Committed(committed.revision)),
        ),
        (StoreOp::Txn(_), 409) => responded_or_unknown(
            parse_json::<FailedConditions>("state", &body)
                .map(|conditions| StoreResponse::ConditionsFailed(conditions.failed)),
        ),
        (StoreOp::Txn(_), 400) => {
            let text = String::from_utf8_lossy(&body);
            if !text.contains("no such lease") {
                tracing::error!(%text, "the state service rejected a transaction as malformed");
            }
            Outcome::Responded(StoreResponse::NoSuchLease)
        }
        (StoreOp::NewLease { .. }, 200) => {
            responded_or_unknown(parse_json::<Lease>("state", &body).map(|granted| StoreResponse::Lease(granted.lease)))
        }
        (StoreOp::RenewLease(_) | StoreOp::EndLease(_), 200 | 204) => Outcome::Responded(StoreResponse::LeaseOk),
        (StoreOp::RenewLease(_) | StoreOp::EndLease(_), 404) => Outcome::Responded(StoreResponse::NoSuchLease),
        // The size of a response with changes is not limited. The client returns a body that is too large to read as an
        // empty one, which is handled like compacted changes: the keys are read again, in pages.
        (StoreOp::Watch { .. }, 200) if body.is_empty() => Outcome::Responded(StoreResponse::Compacted),
        (StoreOp::Watch { .. }, 200) => {
            responded_or_unknown(parse_json::<Changes>("state", &body).map(StoreResponse::Changes))
        }
        (StoreOp::Watch { .. }, 410) => Outcome::Responded(StoreResponse::Compacted),
        _ => unexpected_status("state", status),
    }
}

/// Calls the cloud.
pub async fn call_cloud(client: &HttpClient, addr: SocketAddr, op: CloudOp) -> Outcome<CloudResponse> {
    let request = match &op {
        CloudOp::Types => request_to(addr, Method::GET, "/flavors", Vec::new(), CLOUD_TIMEOUT),
        CloudOp::Rent(rental) => request_to(addr, Method::POST, "/machines", encode_json(rental), CLOUD_TIMEOUT),
        CloudOp::Release(machines) => request_to(
            addr,
            Method::POST,
            "/machines/release",
            encode_json(&MachineNames { machines: machines.clone() }),
            CLOUD_TIMEOUT,
        ),
        CloudOp::List { after } => {
            let after = after.as_ref().map(|machine| format!("since={machine}&")).unwrap_or_default();
            request_to(
                addr,
                Method::GET,
                format!("/machines?{after}most={MACHINES_PER_PAGE}"),
                Vec::new(),
                CLOUD_TIMEOUT,
            )
        }
    };
    let (status, body) = match client.request(request).await {
        Outcome::Responded(response) => response,
        Outcome::NotExecuted => return Outcome::NotExecuted,
        Outcome::Unknown => return Outcome::Unknown,
    };
    match (&op, status) {
        (CloudOp::Types, 200) => responded_or_unknown(
            parse_json::<MachineTypes>("cloud", &body).map(|list| CloudResponse::Types(list.types)),
        ),
        (CloudOp::Rent(_), 200) => responded_or_unknown(
            parse_json::<MachineNames>("cloud", &body).map(|rented| CloudResponse::Rented(rented.machines)),
        ),
        (CloudOp::Release(_), 200) => Outcome::Responded(CloudResponse::Released),
        (CloudOp::List { .. }, 200) => {
            responded_or_unknown(parse_json::<Listing>("cloud", &body).map(CloudResponse::Listing))
        }
        (CloudOp::Rent(_), 503) if String::from_utf8_lossy(&body).contains("no capacity") => {
            Outcome::Responded(CloudResponse::NoCapacity)
        }
        (_, 429 | 503) => {
            tracing::debug!(status, "the cloud rejected a call");
            Outcome::Responded(CloudResponse::Unavailable)
        }
        _ => unexpected_status("cloud", status),
    }
}

/// Sends orders directly to a worker. Returns the status and the report of its response. A probe, which only checks
/// whether the worker is alive, has a shorter timeout.
pub async fn send_orders(client: &HttpClient, addr: &str, orders: &Orders, probe: bool) -> Outcome<(u16, Report)> {
    let Ok(addr) = addr.parse::<SocketAddr>() else {
        tracing::error!(addr, "invalid worker address");
        return Outcome::NotExecuted;
    };
    let response_timeout = if probe { PROBE_TIMEOUT } else { WORKER_TIMEOUT };
    let request = OutgoingRequest {
        connect_timeout: PROBE_TIMEOUT,
        ..request_to(addr, Method::POST, "/orders", encode_json(orders), response_timeout)
    };
    match client.request(request).await {
        Outcome::Responded((status @ (200 | 409), body)) => {
            responded_or_unknown(parse_json("worker", &body).map(|report| (status, report)))
        }
        Outcome::Responded((status, _)) => unexpected_status("worker", status),
        Outcome::NotExecuted => Outcome::NotExecuted,
        Outcome::Unknown => Outcome::Unknown,
    }
}

/// Sends a message to another controller.
pub async fn call_peer(client: &HttpClient, addr: SocketAddr, message: &PeerRequest) -> Outcome<PeerResponse> {
    post_to_peer(client, addr, "/peer", message, PEER_TIMEOUT, PeerResponse::decode).await
}

/// Relays workers' reports to the leader.
pub async fn relay_reports(client: &HttpClient, addr: SocketAddr, message: &RelayRequest) -> Outcome<RelayResponse> {
    post_to_peer(client, addr, "/relay", message, RELAY_TIMEOUT, decode).await
}

/// Posts an encoded message to another controller and decodes the response.
async fn post_to_peer<Req: Serialize, Resp>(
    client: &HttpClient,
    addr: SocketAddr,
    path: &str,
    message: &Req,
    response_timeout: Duration,
    decode: impl Fn(&[u8]) -> Option<Resp>,
) -> Outcome<Resp> {
    match client.request(request_to(addr, Method::POST, path, encode(message), response_timeout)).await {
        Outcome::Responded((200, body)) => responded_or_unknown(decode(&body)),
        _ => Outcome::Unknown,
    }
}
