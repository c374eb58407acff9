//! HTTP/1.1 over blocking sockets: a server with a thread per connection, and a client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next().unwrap_or_default()
    }
}

pub enum Reply {
    Answer(u16, String),
    /// The answer is lost on its way: nothing is sent, and the connection stays open until the caller closes it.
    Lost,
}

/// Reads a message; returns its first line and its body.
fn read_message(stream: &mut TcpStream, deadline: Option<Instant>) -> Option<(String, Vec<u8>)> {
    let mut buf = Vec::new();
    let mut chunk = [0u8; 16 * 1024];
    let mut fill = |buf: &mut Vec<u8>| -> Option<()> {
        if let Some(deadline) = deadline {
            let left = deadline.checked_duration_since(Instant::now())?;
            stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        buf.extend_from_slice(&chunk[..count]);
        Some(())
    };
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        fill(&mut buf)?;
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).into_owned();
    let length = head
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse::<usize>().ok())
        .unwrap_or(0);
    while buf.len() < head_end + 4 + length {
        fill(&mut buf)?;
    }
    let body = buf[head_end + 4..head_end + 4 + length].to_vec();
    Some((head.lines().next().unwrap_or_default().to_owned(), body))
}

/// Serves requests on a listener, each connection on a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Reply + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            thread::spawn(move || {
                while let Some((line, body)) = read_message(&mut stream, None) {
                    let mut words = line.split(' ');
                    let method = words.next().unwrap_or_default().to_owned();
                    let target = words.next().unwrap_or_default();
                    let (path, query) = target.split_once('?').unwrap_or((target, ""));
                    let request = Request { method, path: path.to_owned(), query: query.to_owned(), body };
                    match handler(request) {
                        Reply::Answer(status, body) => {
                            let head = format!(
                                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                                body.len()
                            );
                            if stream.write_all((head + &body).as_bytes()).is_err() {
                                return;
                            }
                        }
                        Reply::Lost => {
                            let mut sink = [0u8; 1024];
                            while stream.read(&mut sink).is_ok_and(|count| count > 0) {}
                            return;
                        }
                    }
                }
            });
        }
    });
}

/// A client that keeps one connection open.
pub struct Client {
    stream: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    pub fn new() -> Client {
        Client { stream: None }
    }
    pub fn close(&mut self) {
        self.stream = None;
    }
    /// Returns the status and the body, or `None` without an answer in time.
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        let answer = self.try_call(addr, method, path, body, Instant::now() + limit);
        if answer.is_none() {
            self.stream = None;
        }
        answer
    }
    fn try_call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
        deadline: Instant,
    ) -> Option<(u16, Vec<u8>)> {
        if self.stream.as_ref().is_none_or(|(to, _)| *to != addr) {
            let left = deadline.checked_duration_since(Instant::now())?;
            let stream = TcpStream::connect_timeout(&addr, left.min(Duration::from_secs(1))).ok()?;
            let _ = stream.set_nodelay(true);
            self.stream = Some((addr, stream));
        }
        let (_, stream) = self.stream.as_mut()?;
        let message = format!(
            "{method} {path} HTTP/1.1\r\nhost: {addr}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(message.as_bytes()).ok()?;
        let (line, body) = read_message(stream, Some(deadline))?;
        Some((line.split(' ').nth(1)?.parse().ok()?, body))
    }
}
