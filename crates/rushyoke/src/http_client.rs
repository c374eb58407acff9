//! A small HTTP/1.1 client: a few kept connections per address, deadlines, and an
//! honest account of whether a request may have been carried out.

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

type Sender = SendRequest<Full<Bytes>>;

/// Connections kept per address while idle.
const KEPT: usize = 4;

#[derive(Clone)]
pub struct HttpClient {
    /// Idle connections, the most recently used last.
    idle: Rc<RefCell<VecDeque<(SocketAddr, Sender)>>>,
    idle_limit: IdleLimit,
    stats: Rc<RefCell<Stats>>,
}

/// How many idle connections are kept: a share of our own, and what those that others may
/// open leave free. To open one costs several times what an exchange on it does.
#[derive(Clone)]
pub struct IdleLimit {
    pub reserved: usize,
    /// Connections that others have open, and the most that they may.
    pub inbound: Rc<Cell<usize>>,
    pub max_inbound: usize,
}

impl IdleLimit {
    fn max_idle(&self) -> usize {
        // Some stay free for what is opened at the same moment, or is about to be closed.
        self.reserved + (self.max_inbound - self.max_inbound / 8).saturating_sub(self.inbound.get())
    }
}

pub struct OutgoingRequest {
    pub addr: SocketAddr,
    pub method: Method,
    pub path: String,
    pub body: Bytes,
    pub connect_timeout: Duration,
    pub response_timeout: Duration,
    /// Largest answer that is read.
    pub max_response_bytes: usize,
}

impl HttpClient {
    pub fn new(idle_limit: IdleLimit, stats: Rc<RefCell<Stats>>) -> HttpClient {
        HttpClient { idle: Rc::default(), idle_limit, stats }
    }

    pub async fn request(&self, request: OutgoingRequest) -> Outcome<(u16, Bytes)> {
        while let Some(sender) = self.take(request.addr) {
            match self.send(sender, &request).await {
                // A kept connection that had ended: nothing was sent.
                Outcome::NotExecuted => continue,
                outcome => return outcome,
            }
        }
        let stream = match timeout(request.connect_timeout, TcpStream::connect(request.addr)).await {
            Ok(Ok(stream)) => stream,
            // An attempt to connect that was given up does not complete later.
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

    fn take(&self, addr: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        while let Some(at) = idle.iter().rposition(|(kept, _)| *kept == addr) {
            let (_, sender) = idle.remove(at)?;
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, addr: SocketAddr, sender: Sender) {
        let mut idle = self.idle.borrow_mut();
        if idle.iter().rev().filter(|(kept, _)| *kept == addr).take(KEPT).count() == KEPT {
            return;
        }
        idle.push_back((addr, sender));
        drop(idle);
        self.trim_idle();
    }

    /// Others have opened connections: those idle for longest make room for them.
    pub fn trim_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        while idle.len() > self.idle_limit.max_idle() {
            idle.pop_front();
        }
    }

    /// Closes what is kept for an address that stopped answering.
    fn close(&self, addr: SocketAddr) {
        self.idle.borrow_mut().retain(|(kept, _)| *kept != addr);
    }

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
        let answer = async {
            let response = sender.try_send_request(message).await.map_err(|mut e| {
                // The request comes back if it was never written.
                e.take_message().is_some()
            })?;
            let status = response.status().as_u16();
            let body = match Limited::new(response.into_body(), request.max_response_bytes).collect().await {
                Ok(body) => body.to_bytes(),
                // Too large to be read: the status says that it was carried out.
                Err(error) if error.downcast_ref::<LengthLimitError>().is_some() => Bytes::new(),
                Err(_) => return Err(false),
            };
            Ok((status, body))
        };
        match timeout(request.response_timeout, answer).await {
            Ok(Ok(answer)) => {
                self.keep_when_ready(request.addr, sender);
                Outcome::Responded(answer)
            }
            Ok(Err(true)) => Outcome::NotExecuted,
            Ok(Err(false)) => Outcome::Unknown,
            Err(_) => {
                self.close(request.addr);
                Outcome::Unknown
            }
        }
    }

    /// A connection is ready again a moment after its answer was read.
    fn keep_when_ready(&self, addr: SocketAddr, mut sender: Sender) {
        if sender.is_ready() {
            self.keep(addr, sender);
            return;
        }
        let http = self.clone();
        tokio::task::spawn_local(async move {
            if let Ok(Ok(())) = timeout(Duration::from_secs(1), sender.ready()).await {
                http.keep(addr, sender);
            }
        });
    }
}
