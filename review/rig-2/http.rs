//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request as a server got it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
    /// When its connection was opened.
    pub opened: Instant,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
    }
}

/// What a handler does with a request.
pub enum Answer {
    Reply(u16, String),
    /// No answer, as from a machine without power. The connection stays open.
    Hang,
}

pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// Listens on a free port of the loopback address.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// Serves requests on a listener in threads of its own.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: Handler) {
    let opened = Instant::now();
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((first, body)) = read_message(&mut reader) {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request { method, path: path.to_owned(), query: query.to_owned(), body, opened };
        match handler(request) {
            Answer::Reply(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                    return;
                }
            }
            Answer::Hang => loop {
                std::thread::sleep(Duration::from_secs(3600));
            },
        }
    }
}

/// Reads the first line, the headers and the body of a message.
fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim().to_owned(), body))
}

/// A client's connection, which is kept for the next call.
#[derive(Default)]
pub struct Connection {
    open: Option<(SocketAddr, BufReader<TcpStream>)>,
}

impl Connection {
    pub fn close(&mut self) {
        self.open = None;
    }

    /// Calls a server. Returns the status and the body, or `None` if there was no answer in time.
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        if self.open.as_ref().is_some_and(|(to, _)| *to != addr) {
            self.open = None;
        }
        let result = self.exchange(addr, method, path, body, limit);
        if result.is_none() {
            self.open = None;
        }
        result
    }

    fn exchange(
        &mut self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        let until = Instant::now() + limit;
        if self.open.is_none() {
            let stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1))).ok()?;
            let _ = stream.set_nodelay(true);
            self.open = Some((addr, BufReader::new(stream)));
        }
        let (_, reader) = self.open.as_mut()?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: {addr}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        reader.get_ref().set_write_timeout(Some(left)).ok()?;
        reader.get_ref().set_read_timeout(Some(left)).ok()?;
        reader.get_mut().write_all(text.as_bytes()).ok()?;
        let (first, body) = read_message(reader)?;
        if Instant::now() > until {
            return None;
        }
        Some((first.split(' ').nth(1)?.parse().ok()?, body))
    }
}
