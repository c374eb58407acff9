//! HTTP servers: one address for users, workers and health checks, another for the other controllers. Each request is
//! rejected at once or passed to the core.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rushyoke_core::{HttpResponse, Input, RequestId};
use rushyoke_wire::job::{JobSpec, is_job_id};
use rushyoke_wire::peer;
use rushyoke_wire::worker::UnparsedReport;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::http_client::HttpClient;
use crate::pacing::{PacedStream, Pacer};
use crate::stats::{Counter, Stats};

/// Largest request body that is accepted.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest head of a request, and size of the read buffer of a connection.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// A connection is closed when no request arrives for this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(40);
/// A request body must be complete within this time.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Request that is passed to the core.
pub struct CoreRequest {
    /// Builds the input, given the id under which the core responds.
    pub into_input: Box<dyn FnOnce(RequestId) -> Input>,
    pub response_sender: oneshot::Sender<HttpResponse>,
    pub is_submission: bool,
}

/// Whose requests an address serves.
#[derive(Clone, Copy)]
pub enum ListenerKind {
    /// Users, workers and health checks.
    Public,
    /// The other controllers.
    Peers,
}

/// HTTP server of one address. The counters are shared by the servers of both addresses.
#[derive(Clone)]
pub struct Server {
    pub kind: ListenerKind,
    /// Requests of users and workers, for the core.
    pub requests: mpsc::Sender<CoreRequest>,
    /// Health checks and requests of controllers, which must not wait behind many reports.
    pub priority_requests: mpsc::Sender<CoreRequest>,
    /// Number of open connections, over both addresses.
    pub open_connections: Rc<Cell<usize>>,
    /// Limit of the open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Memory reserved for request bodies that are being read, over both addresses.
    pub body_bytes: Rc<Cell<usize>>,
    /// Limit of that memory; further requests are rejected.
    pub max_body_bytes: usize,
    /// Paces the reads from users and workers.
    pub pacer: Pacer,
    /// Client for this node's own calls. It closes idle connections when inbound ones need the sockets.
    pub client: HttpClient,
    pub stats: Rc<RefCell<Stats>>,
}

impl Server {
    /// Listens on an address.
    pub async fn bind(addr: SocketAddr) -> Result<TcpListener, String> {
        TcpListener::bind(addr).await.map_err(|e| format!("{addr}: {e}"))
    }

    /// Accepts connections and serves their requests.
    pub async fn run(self, listener: TcpListener) {
        loop {
            if let ListenerKind::Public = self.kind {
                self.pacer.acquire().await;
            }
            let Ok((stream, _)) = listener.accept().await else {
                // Out of sockets: waits until some are closed.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            if self.open_connections.get() >= self.max_connections {
                // Closes the connection at once, so that the load balancer tries another node.
                drop(stream);
                continue;
            }
            let _ = stream.set_nodelay(true);
            self.stats.borrow_mut().increment(Counter::ConnectionsAccepted);
            self.open_connections.set(self.open_connections.get() + 1);
            self.client.trim_idle();
            let server = self.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| server.handle(request));
                let mut http = http1::Builder::new();
                http.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
                // Errors of a connection are ignored, since clients may disconnect at any time.
                let _ = match server.kind {
                    ListenerKind::Public => {
                        let paced = PacedStream { stream, pacer: server.pacer.clone() };
                        http.serve_connection(TokioIo::new(paced), service).await
                    }
                    ListenerKind::Peers => http.serve_connection(TokioIo::new(stream), service).await,
                };
                server.open_connections.set(server.open_connections.get() - 1);
            });
        }
    }

    /// Handles one request.
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let route = match self.kind {
            ListenerKind::Public => public_route(&path),
            ListenerKind::Peers if path == "/peer" => Some((Method::POST, Route::Peer)),
            ListenerKind::Peers if path == "/relay" => Some((Method::POST, Route::Relay)),
            ListenerKind::Peers => None,
        };
        let Some((allowed, route)) = route else {
            return Ok(encode_response(HttpResponse::error(404, "no such path")));
        };
        if method != allowed {
            let mut response = encode_response(HttpResponse::error(405, "method not allowed"));
            response
                .headers_mut()
                .insert("allow", allowed.as_str().parse().expect("a method name is a valid header value"));
            return Ok(response);
        }
        match self.read_body(request.into_body()).await {
            Ok(body) => Ok(encode_response(self.route(route, &body).await)),
            Err(rejection) => {
                let mut response = encode_response(rejection);
                response.headers_mut().insert("connection", "close".parse().expect("a constant header value is valid"));
                Ok(response)
            }
        }
    }

    /// Reads a request body. While it is read, memory is reserved for its announced size or, if none is announced, for
    /// the largest accepted body. Returns a rejection if too little memory is free, or if the body is too large or too
    /// slow.
    async fn read_body<B: Body<Data = Bytes>>(&self, body: B) -> Result<Bytes, HttpResponse>
    where
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let size = body.size_hint().upper().map_or(MAX_BODY_BYTES, |size| size.min(MAX_BODY_BYTES as u64) as usize);
        if self.body_bytes.get() + size > self.max_body_bytes {
            self.stats.borrow_mut().count_shed();
            return Err(HttpResponse::later(503, "too many requests at once"));
        }
        self.body_bytes.set(self.body_bytes.get() + size);
        let _reservation = BodyReservation { body_bytes: self.body_bytes.clone(), size };
        match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
                Err(HttpResponse::error(413, "the body is larger than 64 KiB"))
            }
            Ok(Err(_)) => Err(HttpResponse::error(400, "the body could not be read")),
            Err(_) => Err(HttpResponse::error(408, "the body came too slowly")),
        }
    }

    /// Parses a request, passes it to the core and waits for the response.
    async fn route(&self, route: Route, body: &Bytes) -> HttpResponse {
        let is_submission = matches!(route, Route::Submit);
        self.stats.borrow_mut().increment(match route {
            Route::Report => Counter::Reports,
            Route::Ready | Route::Peer | Route::Relay => Counter::PeerRequests,
            Route::Submit | Route::Status(_) | Route::Cancel(_) => Counter::UserRequests,
        });
        let queue = if matches!(route, Route::Ready | Route::Peer | Route::Relay) {
            &self.priority_requests
        } else {
            &self.requests
        };
        let into_input: Box<dyn FnOnce(RequestId) -> Input> = match route {
            Route::Submit => match JobSpec::parse(body) {
                Ok(spec) => Box::new(move |request_id| Input::Submit { request_id, spec: Box::new(spec) }),
                Err(reason) => return HttpResponse::error(400, &reason),
            },
            Route::Status(id) | Route::Cancel(id) if !is_job_id(&id) => {
                return HttpResponse::error(404, "no such job");
            }
            Route::Status(id) => Box::new(move |request_id| Input::Status { request_id, id }),
            Route::Cancel(id) => Box::new(move |request_id| Input::Cancel { request_id, id }),
            Route::Ready => Box::new(|request_id| Input::Ready { request_id }),
            Route::Report => match serde_json::from_slice::<UnparsedReport>(body) {
                Ok(report) => Box::new(move |request_id| {
                    let (report, unparsed_tasks) = report.split();
                    Input::Report { request_id, report: Box::new(report), unparsed_tasks }
                }),
                Err(error) => {
                    tracing::error!(%error, "malformed report");
                    return HttpResponse::error(400, &error.to_string());
                }
            },
            Route::Peer => match peer::decode(body) {
                Some(request) => Box::new(move |request_id| Input::Peer { request_id, request }),
                None => return HttpResponse::error(400, "malformed message"),
            },
            Route::Relay => match peer::decode::<peer::RelayRequest>(body) {
                Some(relay) => {
                    self.stats.borrow_mut().count_relayed(relay.reports.len());
                    Box::new(move |request_id| Input::Relay { request_id, relay })
                }
                None => return HttpResponse::error(400, "malformed message"),
            },
        };
        let (response_sender, response) = oneshot::channel();
        if queue.try_send(CoreRequest { into_input, response_sender, is_submission }).is_err() {
            return HttpResponse::later(503, "too many requests at once");
        }
        response.await.unwrap_or_else(|_| HttpResponse::later(503, "no answer"))
    }
}

/// Memory reserved for a request body. It is released on drop, even if the connection ends before the body is read.
struct BodyReservation {
    body_bytes: Rc<Cell<usize>>,
    size: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.body_bytes.set(self.body_bytes.get() - self.size);
    }
}

/// Kind of a request, with the id of its job.
enum Route {
    Submit,
    Status(String),
    Cancel(String),
    Ready,
    Report,
    Peer,
    Relay,
}

/// Returns the method and the route of a path on the public address.
fn public_route(path: &str) -> Option<(Method, Route)> {
    match path {
        "/ready" => return Some((Method::GET, Route::Ready)),
        "/v1/report" => return Some((Method::POST, Route::Report)),
        "/api/jobs" => return Some((Method::POST, Route::Submit)),
        _ => {}
    }
    let rest = path.strip_prefix("/api/jobs/")?;
    match rest.split_once('/') {
        None if !rest.is_empty() => Some((Method::GET, Route::Status(rest.to_owned()))),
        Some((id, "cancel")) => Some((Method::POST, Route::Cancel(id.to_owned()))),
        _ => None,
    }
}

/// Converts a response of the core into an HTTP response.
fn encode_response(source: HttpResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(source.body)));
    *response.status_mut() = StatusCode::from_u16(source.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert("content-type", "application/json".parse().expect("a constant header value is valid"));
    if let Some(seconds) = source.retry_after_s {
        headers.insert("retry-after", seconds.into());
    }
    response
}

#[cfg(test)]
mod tests;
