//! Paces the reads from inbound connections: they are admitted in slices of bounded size. Between two slices, the
//! process handles the responses to its own calls.
//!
//! This protects the leader's lease when all workers connect at once: on a small machine it takes seconds to serve
//! everything that is ready to be read, and without pacing a response of the state service that arrives meanwhile
//! would wait behind all of it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of reads from inbound connections in one slice.
const READS_PER_SLICE: u32 = 16;

/// Admits reads from inbound connections, slice by slice. Its clones share one state.
#[derive(Clone, Default)]
pub struct Pacer(Rc<Shared>);

/// State shared by the clones of a `Pacer`.
#[derive(Default)]
struct Shared {
    /// Reads in the current slice.
    reads: Cell<u32>,
    /// Connections that wait for a later slice, in the order in which they are served.
    waiters: RefCell<VecDeque<Waker>>,
    /// Notified when a read does not fit into the current slice.
    exhausted: tokio::sync::Notify,
}

impl Pacer {
    /// Returns whether one more read fits into this slice. If not, wakes the task in a later one.
    fn try_admit(&self, cx: &mut Context<'_>) -> bool {
        if self.0.reads.get() < READS_PER_SLICE {
            return true;
        }
        self.0.waiters.borrow_mut().push_back(cx.waker().clone());
        self.0.exhausted.notify_one();
        false
    }

    /// Counts a read in the current slice.
    fn count_read(&self) {
        self.0.reads.set(self.0.reads.get() + 1);
    }

    /// Waits until another connection may be accepted, and counts it as a read.
    pub async fn acquire(&self) {
        std::future::poll_fn(|cx| if self.try_admit(cx) { Poll::Ready(()) } else { Poll::Pending }).await;
        self.count_read();
    }

    /// Starts a new slice whenever one is exhausted. In between, the runtime polls the sockets and serves those
    /// that are not paced.
    pub async fn run(self) {
        loop {
            self.0.exhausted.notified().await;
            // Resumes only after the runtime has polled the sockets.
            tokio::task::yield_now().await;
            self.0.reads.set(0);
            let mut waiters = self.0.waiters.borrow_mut();
            let next = waiters.len().min(READS_PER_SLICE as usize);
            let woken: Vec<Waker> = waiters.drain(..next).collect();
            let more = !waiters.is_empty();
            drop(waiters);
            woken.into_iter().for_each(Waker::wake);
            if more {
                self.0.exhausted.notify_one();
            }
        }
    }
}

/// Inbound connection whose reads are paced.
pub struct PacedStream<S> {
    pub stream: S,
    pub pacer: Pacer,
}

impl<S: AsyncRead + Unpin> AsyncRead for PacedStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.pacer.try_admit(cx) {
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() {
            self.pacer.count_read();
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
