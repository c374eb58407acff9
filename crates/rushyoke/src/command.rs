//! The small clients: submit, status and cancel. Each failure is one clear line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rushyoke_core::Outcome;
use tokio::task::LocalSet;

use crate::http::{Http, OutgoingRequest, Room};

#[derive(clap::Args)]
pub struct Target {
    /// Address of a controller, such as 127.0.0.1:8080
    #[arg(long, value_name = "ADDR", env = "RUSHYOKE_SERVER")]
    server: SocketAddr,
    /// Seconds to wait for the answer
    #[arg(long, value_name = "S", default_value_t = 5)]
    timeout: u64,
}

pub enum Request {
    Submit { at: Target, file: PathBuf },
    Status { at: Target, id: String },
    Cancel { at: Target, id: String },
}

/// Carries out one request; the line to print, or why it failed.
pub async fn run(request: Request) -> Result<String, String> {
    let (at, method, path, body) = match request {
        Request::Submit { at, file } => {
            let read = if file.as_os_str() == "-" {
                std::io::read_to_string(std::io::stdin())
            } else {
                std::fs::read_to_string(&file)
            };
            let body = read.map_err(|e| format!("{}: {e}", file.display()))?;
            (at, Method::POST, "/api/jobs".to_owned(), body)
        }
        Request::Status { at, id } => (at, Method::GET, format!("/api/jobs/{id}"), String::new()),
        Request::Cancel { at, id } => (at, Method::POST, format!("/api/jobs/{id}/cancel"), String::new()),
    };
    let wait = Duration::from_secs(at.timeout);
    let request =
        OutgoingRequest { addr: at.server, method, path, body: Bytes::from(body), connect: wait, wait, most: 1 << 20 };
    match LocalSet::new()
        .run_until(Http::new(Room { own: 1, open: Rc::default(), most: 0 }, Rc::default()).request(request))
        .await
    {
        Outcome::Responded((200 | 201, body)) => Ok(String::from_utf8_lossy(&body).into_owned()),
        Outcome::Responded((status, body)) => {
            Err(format!("{} answered {status}: {}", at.server, String::from_utf8_lossy(&body)))
        }
        Outcome::NotExecuted => Err(format!("{} cannot be reached", at.server)),
        Outcome::Unknown => {
            Err(format!("{} did not answer within {} s; it may still act on the request", at.server, at.timeout))
        }
    }
}
