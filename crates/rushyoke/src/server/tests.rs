use http_body_util::StreamBody;
use hyper::body::Frame;

use super::*;
use crate::http_client::IdleConnectionLimit;

fn server(max_body_bytes: usize) -> Server {
    let idle_limit = IdleConnectionLimit { reserved: 1, inbound: Rc::default(), max_inbound: 1 };
    Server {
        kind: ListenerKind::Public,
        requests: mpsc::channel(1).0,
        priority_requests: mpsc::channel(1).0,
        open_connections: Rc::default(),
        max_connections: 1,
        body_bytes: Rc::default(),
        max_body_bytes,
        pacer: Pacer::default(),
        client: HttpClient::new(idle_limit, Rc::default()),
        stats: Rc::default(),
    }
}

/// Runs a scenario on a paused clock, which advances to the next timer when all tasks wait.
fn run_with_paused_clock<T>(scenario: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("the runtime starts").block_on(scenario)
}

fn body_of_chunks(sizes: Vec<usize>) -> StreamBody<impl futures_util::Stream<Item = Result<Frame<Bytes>, Infallible>>> {
    let frames = sizes.into_iter().map(|size| Ok(Frame::data(Bytes::from(vec![b'x'; size]))));
    StreamBody::new(futures_util::stream::iter(frames))
}

#[test]
fn a_request_body_is_limited_in_size_and_releases_its_memory() {
    run_with_paused_clock(async {
        let server = server(200_000);
        assert_eq!(server.read_body(body_of_chunks(vec![30_000, 30_000])).await.expect("small enough").len(), 60_000);
        assert_eq!(server.read_body(body_of_chunks(vec![30_000; 9])).await.expect_err("too large").status, 413);
        assert_eq!(server.body_bytes.get(), 0, "the memory of the bodies was released");
    });
}

#[test]
fn slow_senders_time_out_and_requests_beyond_the_memory_limit_are_rejected_at_once() {
    run_with_paused_clock(async {
        let server = server(200_000);
        let stalled = || StreamBody::new(futures_util::stream::pending::<Result<Frame<Bytes>, Infallible>>());
        let three = async {
            tokio::join!(server.read_body(stalled()), server.read_body(stalled()), server.read_body(stalled()))
        };
        let fourth = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let rejected = server.read_body(body_of_chunks(vec![10])).await.expect_err("no memory left");
            assert_eq!((rejected.status, rejected.retry_after_s), (503, Some(1)));
        };
        let (three, ()) = tokio::join!(three, fourth);
        for slow in [three.0, three.1, three.2] {
            assert_eq!(slow.expect_err("too slow").status, 408);
        }
        assert_eq!(server.read_body(body_of_chunks(vec![10])).await.expect("memory is free again").len(), 10);
    });
}
