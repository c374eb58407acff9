//! Bounded slices of what others send: after a few reads from their connections the process looks
//! for its own answers before it goes on.
//!
//! Guards the leader's lease against a crowd. When all workers come at once, on a small machine,
//! what is ready to be read takes seconds to serve; an answer of the state service that came
//! meanwhile would wait behind all of it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Reads from others' connections in one slice.
const SLICE: u32 = 16;

/// Shared by all connections that others opened.
#[derive(Clone, Default)]
pub struct Pacer(Rc<Inner>);

#[derive(Default)]
struct Inner {
    used: Cell<u32>,
    /// Connections, in their order, that wait for the next slice.
    waiting: RefCell<VecDeque<Waker>>,
    exhausted: tokio::sync::Notify,
}

impl Pacer {
    /// Whether one more read fits into this slice; else it is woken in a later one.
    fn admit(&self, cx: &mut Context<'_>) -> bool {
        if self.0.used.get() < SLICE {
            return true;
        }
        self.0.waiting.borrow_mut().push_back(cx.waker().clone());
        self.0.exhausted.notify_one();
        false
    }

    fn spend(&self) {
        self.0.used.set(self.0.used.get() + 1);
    }

    /// Waits until another connection may be accepted, and counts it.
    pub async fn acquire(&self) {
        std::future::poll_fn(|cx| if self.admit(cx) { Poll::Ready(()) } else { Poll::Pending }).await;
        self.spend();
    }

    /// Begins slice after slice, forever. What is ready to be read is looked for in between, and
    /// served first if it is not paced.
    pub async fn run(self) {
        loop {
            self.0.exhausted.notified().await;
            // Goes on only after the runtime has looked at the sockets.
            tokio::task::yield_now().await;
            self.0.used.set(0);
            let mut waiting = self.0.waiting.borrow_mut();
            let next = waiting.len().min(SLICE as usize);
            let woken: Vec<Waker> = waiting.drain(..next).collect();
            let more = !waiting.is_empty();
            drop(waiting);
            woken.into_iter().for_each(Waker::wake);
            if more {
                self.0.exhausted.notify_one();
            }
        }
    }
}

/// A connection whose reads are paced.
pub struct PacedStream<S> {
    pub stream: S,
    pub pacer: Pacer,
}

impl<S: AsyncRead + Unpin> AsyncRead for PacedStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.pacer.admit(cx) {
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() {
            self.pacer.spend();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PacedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
