//! A connection that reports its progress.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use smol::net::TcpStream;

use super::ConnectionMark;

/// A connection of a caller whose [`ConnectionMark`] learns when bytes move.
pub(super) struct MarkedStream {
    inner: TcpStream,
    mark: Arc<ConnectionMark>,
}

impl MarkedStream {
    pub(super) fn new(inner: TcpStream, mark: Arc<ConnectionMark>) -> Self {
        Self { inner, mark }
    }

    fn observe(&self, polled: &Poll<io::Result<usize>>) {
        if matches!(polled, Poll::Ready(Ok(count)) if *count > 0) {
            self.mark.record_progress();
        }
    }
}

impl AsyncRead for MarkedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buffer);
        self.observe(&polled);
        polled
    }
}

impl AsyncWrite for MarkedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.observe(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, buffers);
        self.observe(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(cx);
        // The HTTP library flushes after it has written all that it holds.
        if polled.is_ready() {
            self.mark.record_flush();
        }
        polled
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
