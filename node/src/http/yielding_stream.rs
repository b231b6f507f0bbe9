//! A stream that gives other tasks their turn.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use smol::net::TcpStream;

use super::interim_counter::InterimCounter;

/// Number of successive reads after which a reader must wait for its next turn.
const READS_PER_TURN: u32 = 32;

/// A connection whose reader is interrupted after [`READS_PER_TURN`] reads.
///
/// The HTTP library reads a response head in one go as long as bytes arrive, past any number of
/// interim responses. Reads fail once there are too many of them.
pub(super) struct YieldingStream {
    inner: TcpStream,
    interim: Arc<InterimCounter>,
    reads: u32,
}

impl YieldingStream {
    pub(super) fn new(inner: TcpStream, interim: Arc<InterimCounter>) -> Self {
        Self {
            inner,
            interim,
            reads: 0,
        }
    }
}

impl AsyncRead for YieldingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.interim.is_exceeded() {
            return Poll::Ready(Err(io::Error::other("too many interim responses")));
        }
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.inner).poll_read(cx, buffer);
        self.reads = if polled.is_pending() {
            0
        } else {
            self.reads + 1
        };
        polled
    }
}

impl AsyncWrite for YieldingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
