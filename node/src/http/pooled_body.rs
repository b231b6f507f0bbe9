//! The body of a response received over a pooled connection.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use super::BodyError;
use super::HttpPool;
use super::http_pool::PooledConnection;

/// Returns its connection to the pool once it has been read to its end.
///
/// If it is dropped earlier, the connection is closed, so that the rest of the response
/// can never be taken for the response to another request.
pub struct PooledBody {
    incoming: Incoming,
    address: SocketAddr,
    pool: Arc<HttpPool>,
    connection: Option<PooledConnection>,
}

impl PooledBody {
    pub(super) fn new(
        incoming: Incoming,
        address: SocketAddr,
        pool: Arc<HttpPool>,
        connection: PooledConnection,
    ) -> Self {
        let mut body = Self {
            incoming,
            address,
            pool,
            connection: Some(connection),
        };
        body.release_at_end();
        body
    }

    fn release_at_end(&mut self) {
        if !self.incoming.is_end_stream() {
            return;
        }
        if let Some(connection) = self.connection.take() {
            self.pool.put_idle(self.address, connection);
        }
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match polled {
            Poll::Ready(Some(Err(error))) => {
                self.connection = None;
                Poll::Ready(Some(Err(BodyError(error.to_string()))))
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.release_at_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                self.release_at_end();
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
