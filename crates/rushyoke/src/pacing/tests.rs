use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio::task::LocalSet;

use super::*;

#[test]
fn an_answer_of_our_own_does_not_wait_behind_a_crowd() {
    // Found on a day on which two of three processes ended: the third lost its lease while it
    // served the workers of all three.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let pacer = Pacer::default();
        tokio::task::spawn_local(pacer.clone().run());
        let served = Rc::new(Cell::new(0u32));
        let mut crowd = Vec::new();
        for _ in 0..200 {
            let (mut other, stream) = duplex(64);
            other.write_all(b"x").await.expect("room");
            crowd.push(other);
            let (mut paced, served) = (PacedStream { stream, pacer: pacer.clone() }, served.clone());
            tokio::task::spawn_local(async move {
                while paced.read_u8().await.is_ok() {
                    served.set(served.get() + 1);
                }
            });
        }
        let (mut state, mut own) = duplex(64);
        let (before, at) = (served.clone(), Rc::new(Cell::new(None)));
        let seen = at.clone();
        let answered = tokio::task::spawn_local(async move {
            own.read_u8().await.expect("an answer");
            seen.set(Some(before.get()));
        });
        // The answer comes while the crowd is being served.
        while served.get() == 0 {
            tokio::task::yield_now().await;
        }
        let then = served.get();
        state.write_all(b"x").await.expect("room");
        answered.await.expect("it ends");
        let waited = at.get().expect("seen") - then;
        assert!(waited <= 2 * SLICE, "{waited} of the crowd came first");
        while served.get() < 200 {
            tokio::task::yield_now().await;
        }
    });
}
