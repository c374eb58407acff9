//! The servers: users, workers and health checks on one address, the other controllers
//! on another. Every request is answered at once or handed to the core.

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

/// Largest body that is taken.
const MOST_BODY: usize = 64 * 1024;
/// Largest head of a request, and what a connection may keep unread.
const MOST_HEAD: usize = 8 * 1024;
/// A connection on which nothing comes for so long is closed.
const IDLE: Duration = Duration::from_secs(40);
/// A body must be there after this time.
const SLOWEST_BODY: Duration = Duration::from_secs(10);

/// A request on its way to the core.
pub struct CoreRequest {
    pub into_input: Box<dyn FnOnce(RequestId) -> Input>,
    pub response_sender: oneshot::Sender<HttpResponse>,
    pub is_submission: bool,
}

#[derive(Clone, Copy)]
pub enum ListenerKind {
    Public,
    Peers,
}

#[derive(Clone)]
pub struct Server {
    pub kind: ListenerKind,
    pub requests: mpsc::Sender<CoreRequest>,
    /// For what must not wait behind a crowd of reports: health checks and controllers.
    pub priority_requests: mpsc::Sender<CoreRequest>,
    /// Connections open now and at the most, over both sides.
    pub open_connections: Rc<Cell<usize>>,
    pub max_connections: usize,
    /// Memory taken by bodies that are being read, over both sides, and at the most.
    pub body_bytes: Rc<Cell<usize>>,
    pub max_body_bytes: usize,
    /// Requests of users and workers are served in slices.
    pub pacer: Pacer,
    /// Our own connections, which give way.
    pub client: HttpClient,
    pub stats: Rc<RefCell<Stats>>,
}

impl Server {
    pub async fn bind(addr: SocketAddr) -> Result<TcpListener, String> {
        TcpListener::bind(addr).await.map_err(|e| format!("{addr}: {e}"))
    }

    pub async fn run(self, listener: TcpListener) {
        loop {
            if let ListenerKind::Public = self.kind {
                self.pacer.acquire().await;
            }
            let Ok((stream, _)) = listener.accept().await else {
                // Out of sockets: those in use come free.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            if self.open_connections.get() >= self.max_connections {
                // Closed at once, so that the load balancer tries another node.
                drop(stream);
                continue;
            }
            let _ = stream.set_nodelay(true);
            self.stats.borrow_mut().increment(Counter::ConnectionsAccepted);
            self.open_connections.set(self.open_connections.get() + 1);
            self.client.trim_idle();
            let server = self.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| server.serve(request));
                let mut http = http1::Builder::new();
                http.timer(TokioTimer::new()).header_read_timeout(IDLE).max_buf_size(MOST_HEAD);
                // Connections end as clients please.
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

    async fn serve(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let route = match self.kind {
            ListenerKind::Public => public_route(&path),
            ListenerKind::Peers if path == "/peer" => Some((Method::POST, Route::Peer)),
            ListenerKind::Peers if path == "/relay" => Some((Method::POST, Route::Relay)),
            ListenerKind::Peers => None,
        };
        let Some((allowed, route)) = route else {
            return Ok(respond(HttpResponse::error(404, "no such path")));
        };
        if method != allowed {
            let mut response = respond(HttpResponse::error(405, "method not allowed"));
            response.headers_mut().insert("allow", allowed.as_str().parse().expect("a method's name"));
            return Ok(response);
        }
        match self.body(request.into_body()).await {
            Ok(body) => Ok(respond(self.route(route, &body).await)),
            Err(answer) => {
                let mut response = respond(answer);
                response.headers_mut().insert("connection", "close".parse().expect("a fixed value"));
                Ok(response)
            }
        }
    }

    /// Reads a body, of which no more is taken than it announced, and all together no more than
    /// there is memory for.
    async fn body<B: Body<Data = Bytes>>(&self, body: B) -> Result<Bytes, HttpResponse>
    where
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let size = body.size_hint().upper().map_or(MOST_BODY, |size| size.min(MOST_BODY as u64) as usize);
        if self.body_bytes.get() + size > self.max_body_bytes {
            self.stats.borrow_mut().count_shed();
            return Err(HttpResponse::later(503, "too many requests at once"));
        }
        self.body_bytes.set(self.body_bytes.get() + size);
        let _given_back = GivenBack { bodies: self.body_bytes.clone(), size };
        match timeout(SLOWEST_BODY, Limited::new(body, MOST_BODY).collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
                Err(HttpResponse::error(413, "the body is larger than 64 KiB"))
            }
            Ok(Err(_)) => Err(HttpResponse::error(400, "the body could not be read")),
            Err(_) => Err(HttpResponse::error(408, "the body came too slowly")),
        }
    }

    async fn route(&self, route: Route, body: &Bytes) -> HttpResponse {
        let is_submission = matches!(route, Route::Submit);
        self.stats.borrow_mut().increment(match route {
            Route::Report => Counter::Reports,
            Route::Ready | Route::Peer | Route::Relay => Counter::PeerRequests,
            Route::Submit | Route::Status(_) | Route::Cancel(_) => Counter::UserRequests,
        });
        let core = if matches!(route, Route::Ready | Route::Peer | Route::Relay) {
            &self.priority_requests
        } else {
            &self.requests
        };
        let into_input: Box<dyn FnOnce(RequestId) -> Input> = match route {
            Route::Submit => match JobSpec::parse(body) {
                Ok(spec) => Box::new(move |request_id| Input::Submit { request_id, spec: Box::new(spec) }),
                Err(why) => return HttpResponse::error(400, &why),
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
        if core.try_send(CoreRequest { into_input, response_sender, is_submission }).is_err() {
            return HttpResponse::later(503, "too many requests at once");
        }
        response.await.unwrap_or_else(|_| HttpResponse::later(503, "no answer"))
    }
}

/// Gives a body's memory back, also when its connection ends before it is read.
struct GivenBack {
    bodies: Rc<Cell<usize>>,
    size: usize,
}

impl Drop for GivenBack {
    fn drop(&mut self) {
        self.bodies.set(self.bodies.get() - self.size);
    }
}

enum Route {
    Submit,
    Status(String),
    Cancel(String),
    Ready,
    Report,
    Peer,
    Relay,
}

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

fn respond(answer: HttpResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert("content-type", "application/json".parse().expect("a fixed value"));
    if let Some(seconds) = answer.retry_after_s {
        headers.insert("retry-after", seconds.into());
    }
    response
}

#[cfg(test)]
mod tests;
