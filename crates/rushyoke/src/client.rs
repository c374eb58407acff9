//! Client commands that send one request to a controller: submit, status and cancel. Each error is a single line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rushyoke_core::Outcome;
use tokio::task::LocalSet;

use crate::http_client::{HttpClient, IdleConnectionLimit, OutgoingRequest};

/// Controller that a request is sent to.
#[derive(clap::Args)]
pub struct ServerArgs {
    /// Address of a controller, such as 127.0.0.1:8080
    #[arg(long, value_name = "ADDR", env = "RUSHYOKE_SERVER")]
    server: SocketAddr,
    /// Seconds to wait for the response
    #[arg(long, value_name = "S", default_value_t = 5)]
    timeout: u64,
}

/// Request to a controller.
pub enum Request {
    /// Submits the job described in a file; `-` is standard input.
    Submit { target: ServerArgs, file: PathBuf },
    /// Queries a job's state.
    Status { target: ServerArgs, id: String },
    /// Cancels a job.
    Cancel { target: ServerArgs, id: String },
}

/// Sends one request. Returns the response body, or the reason for the failure.
pub async fn run(request: Request) -> Result<String, String> {
    let (target, method, path, body) = match request {
        Request::Submit { target, file } => {
            let text = if file.as_os_str() == "-" {
                std::io::read_to_string(std::io::stdin())
            } else {
                std::fs::read_to_string(&file)
            };
            let body = text.map_err(|e| format!("{}: {e}", file.display()))?;
            (target, Method::POST, "/api/jobs".to_owned(), body)
        }
        Request::Status { target, id } => (target, Method::GET, format!("/api/jobs/{id}"), String::new()),
        Request::Cancel { target, id } => (target, Method::POST, format!("/api/jobs/{id}/cancel"), String::new()),
    };
    let timeout = Duration::from_secs(target.timeout);
    let request = OutgoingRequest {
        addr: target.server,
        method,
        path,
        body: Bytes::from(body),
        connect_timeout: timeout,
        response_timeout: timeout,
        max_response_bytes: 1 << 20,
    };
    match LocalSet::new()
        .run_until(
            HttpClient::new(IdleConnectionLimit { reserved: 1, inbound: Rc::default(), max_inbound: 0 }, Rc::default())
                .request(request),
        )
        .await
    {
        Outcome::Responded((200 | 201, body)) => Ok(String::from_utf8_lossy(&body).into_owned()),
        Outcome::Responded((status, body)) => {
            Err(format!("{} responded with status {status}: {}", target.server, String::from_utf8_lossy(&body)))
        }
        Outcome::NotExecuted => Err(format!("{} is unreachable", target.server)),
        Outcome::Unknown => Err(format!(
            "{} did not respond within {} s; the request may still be carried out",
            target.server, target.timeout
        )),
    }
}
