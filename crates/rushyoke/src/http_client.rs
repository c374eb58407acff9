//! HTTP/1.1 client with a small pool of idle connections and timeouts. Its outcomes tell whether a request may have
//! been carried out.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rushyoke_core::Outcome;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::stats::{Counter, Stats};

/// Sending half of a connection.
type Sender = SendRequest<Full<Bytes>>;

/// Idle connections kept per address.
const MAX_IDLE_PER_ADDR: usize = 4;

/// HTTP client whose clones share one pool of idle connections.
#[derive(Clone)]
pub struct HttpClient {
    /// Idle connections in the order of their last use, the most recent last.
    idle: Rc<RefCell<VecDeque<(SocketAddr, Sender)>>>,
    idle_limit: IdleConnectionLimit,
    stats: Rc<RefCell<Stats>>,
}

/// Limit of the idle connections: a reserved number, plus the sockets that inbound connections do not use. Idle
/// connections are worth keeping, since opening a connection costs several times as much as a request on it.
#[derive(Clone)]
pub struct IdleConnectionLimit {
    /// Idle connections that are allowed at any time.
    pub reserved: usize,
    /// Number of open inbound connections.
    pub inbound: Rc<Cell<usize>>,
    /// Limit of the open inbound connections.
    pub max_inbound: usize,
}

impl IdleConnectionLimit {
    /// Returns the number of idle connections allowed now.
    fn max_idle(&self) -> usize {
        // An eighth of the inbound sockets stays free for connections that are being opened or closed.
        self.reserved + (self.max_inbound - self.max_inbound / 8).saturating_sub(self.inbound.get())
    }
}

/// HTTP request with its limits.
pub struct OutgoingRequest {
    pub addr: SocketAddr,
    pub method: Method,
    pub path: String,
    pub body: Bytes,
    pub connect_timeout: Duration,
    /// Time from sending the request until the whole response has been read.
    pub response_timeout: Duration,
    /// Largest response body that is read. A larger one counts as an empty body.
    pub max_response_bytes: usize,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new(idle_limit: IdleConnectionLimit, stats: Rc<RefCell<Stats>>) -> HttpClient {
        HttpClient { idle: Rc::default(), idle_limit, stats }
    }

    /// Sends a request on an idle connection or a new one. Returns the status and the body of the response.
    pub async fn request(&self, request: OutgoingRequest) -> Outcome<(u16, Bytes)> {
        while let Some(sender) = self.take_idle(request.addr) {
            match self.send(sender, &request).await {
                // The idle connection was already closed, and nothing was sent.
                Outcome::NotExecuted => continue,
                outcome => return outcome,
            }
        }
        let stream = match timeout(request.connect_timeout, TcpStream::connect(request.addr)).await {
            Ok(Ok(stream)) => stream,
            // An abandoned attempt to connect cannot complete later.
            _ => return Outcome::NotExecuted,
        };
        self.stats.borrow_mut().increment(Counter::ConnectionsOpened);
        let _ = stream.set_nodelay(true);
        let Ok((sender, connection)) = handshake(TokioIo::new(stream)).await else {
            return Outcome::NotExecuted;
        };
        tokio::task::spawn_local(connection);
        self.send(sender, &request).await
    }

    /// Removes and returns the most recently used open connection to an address.
    fn take_idle(&self, addr: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        while let Some(position) = idle.iter().rposition(|(idle_addr, _)| *idle_addr == addr) {
            let (_, sender) = idle.remove(position)?;
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Returns a connection to the pool, unless enough are kept for its address.
    fn keep_idle(&self, addr: SocketAddr, sender: Sender) {
        let mut idle = self.idle.borrow_mut();
        if idle.iter().rev().filter(|(idle_addr, _)| *idle_addr == addr).take(MAX_IDLE_PER_ADDR).count()
            == MAX_IDLE_PER_ADDR
        {
            return;
        }
        idle.push_back((addr, sender));
        drop(idle);
        self.trim_idle();
    }

    /// Closes the longest idle connections until the number of idle ones is within the limit.
    pub fn trim_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        while idle.len() > self.idle_limit.max_idle() {
            idle.pop_front();
        }
    }

    /// Closes the idle connections to an address that does not respond.
    fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().retain(|(idle_addr, _)| *idle_addr != addr);
    }

    /// Sends a request on a connection and reads the response.
    async fn send(&self, mut sender: Sender, request: &OutgoingRequest) -> Outcome<(u16, Bytes)> {
        let message = Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .header("host", request.addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(request.body.clone()));
        let Ok(message) = message else {
            return Outcome::NotExecuted;
        };
        let exchange = async {
            let response = sender.try_send_request(message).await.map_err(|mut error| {
                // The error contains the request if it was never written.
                error.take_message().is_some()
            })?;
            let status = response.status().as_u16();
            let body = match Limited::new(response.into_body(), request.max_response_bytes).collect().await {
                Ok(body) => body.to_bytes(),
                // The body is too large to read, but the status shows that the request was carried out.
                Err(error) if error.downcast_ref::<LengthLimitError>().is_some() => Bytes::new(),
                Err(_) => return Err(false),
            };
            Ok((status, body))
        };
        match timeout(request.response_timeout, exchange).await {
            Ok(Ok(response)) => {
                self.keep_idle_when_ready(request.addr, sender);
                Outcome::Responded(response)
            }
            Ok(Err(true)) => Outcome::NotExecuted,
            Ok(Err(false)) => Outcome::Unknown,
            Err(_) => {
                self.close_idle(request.addr);
                Outcome::Unknown
            }
        }
    }

    /// Returns a connection to the pool once it is ready, which may be a moment after its response was read.
    fn keep_idle_when_ready(&self, addr: SocketAddr, mut sender: Sender) {
        if sender.is_ready() {
            self.keep_idle(addr, sender);
            return;
        }
        let client = self.clone();
        tokio::task::spawn_local(async move {
            if let Ok(Ok(())) = timeout(Duration::from_secs(1), sender.ready()).await {
                client.keep_idle(addr, sender);
            }
        });
    }
}
