use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio::task::LocalSet;

use super::*;

#[test]
fn a_state_service_response_does_not_wait_behind_many_inbound_connections() {
    // Regression test: when two of three processes ended, the third lost its lease while it served the workers of
    // all three.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let pacer = Pacer::default();
        tokio::task::spawn_local(pacer.clone().run());
        let reads_served = Rc::new(Cell::new(0u32));
        let mut clients = Vec::new();
        for _ in 0..200 {
            let (mut client, stream) = duplex(64);
            client.write_all(b"x").await.expect("the buffer has room");
            clients.push(client);
            let (mut paced, reads_served) = (PacedStream { stream, pacer: pacer.clone() }, reads_served.clone());
            tokio::task::spawn_local(async move {
                while paced.read_u8().await.is_ok() {
                    reads_served.set(reads_served.get() + 1);
                }
            });
        }
        let (mut store_side, mut node_side) = duplex(64);
        let (reads, reads_at_response) = (reads_served.clone(), Rc::new(Cell::new(None)));
        let reads_at_response_writer = reads_at_response.clone();
        let responded = tokio::task::spawn_local(async move {
            node_side.read_u8().await.expect("the response arrives");
            reads_at_response_writer.set(Some(reads.get()));
        });
        // The response arrives while the inbound connections are being served.
        while reads_served.get() == 0 {
            tokio::task::yield_now().await;
        }
        let reads_at_arrival = reads_served.get();
        store_side.write_all(b"x").await.expect("the buffer has room");
        responded.await.expect("the task ends");
        let reads_ahead = reads_at_response.get().expect("the response was read") - reads_at_arrival;
        assert!(reads_ahead <= 2 * READS_PER_SLICE, "{reads_ahead} inbound reads were served before the response");
        while reads_served.get() < 200 {
            tokio::task::yield_now().await;
        }
    });
}
