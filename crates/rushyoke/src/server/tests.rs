use http_body_util::StreamBody;
use hyper::body::Frame;

use super::*;
use crate::http_client::IdleLimit;

fn server(max_body_bytes: usize) -> Server {
    let idle_limit = IdleLimit { reserved: 1, inbound: Rc::default(), max_inbound: 1 };
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

/// Runs on a clock that stands still and jumps to the next timer.
fn at_once<T>(story: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(story)
}

fn pieces(sizes: Vec<usize>) -> StreamBody<impl futures_util::Stream<Item = Result<Frame<Bytes>, Infallible>>> {
    let frames = sizes.into_iter().map(|size| Ok(Frame::data(Bytes::from(vec![b'x'; size]))));
    StreamBody::new(futures_util::stream::iter(frames))
}

#[test]
fn a_body_takes_no_more_than_its_bound() {
    at_once(async {
        let server = server(200_000);
        assert_eq!(server.body(pieces(vec![30_000, 30_000])).await.expect("small enough").len(), 60_000);
        assert_eq!(server.body(pieces(vec![30_000; 9])).await.expect_err("too large").status, 413);
        assert_eq!(server.body_bytes.get(), 0, "its memory was given back");
    });
}

#[test]
fn slow_senders_are_let_go_and_a_crowd_of_them_is_turned_away_at_once() {
    at_once(async {
        let server = server(200_000);
        let never = || StreamBody::new(futures_util::stream::pending::<Result<Frame<Bytes>, Infallible>>());
        let three = async { tokio::join!(server.body(never()), server.body(never()), server.body(never())) };
        let fourth = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let refused = server.body(pieces(vec![10])).await.expect_err("no room");
            assert_eq!((refused.status, refused.retry_after_s), (503, Some(1)));
        };
        let (three, ()) = tokio::join!(three, fourth);
        for slow in [three.0, three.1, three.2] {
            assert_eq!(slow.expect_err("too slow").status, 408);
        }
        assert_eq!(server.body(pieces(vec![10])).await.expect("room again").len(), 10);
    });
}
