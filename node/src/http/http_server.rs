//! HTTP/1.1 server on one listening socket.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use spdlog::debug;

use super::ConnectionBound;
use super::HttpHandler;
use super::ServerLimits;
use super::marked_body::mark_body;
use super::marked_stream::MarkedStream;
use super::set_liveness_options;
use crate::runtime;
use crate::runtime::StopSignal;

/// Delay before the next `accept` after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections on one socket and passes their requests to a handler.
pub struct HttpServer {
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    open_connections: Arc<AtomicUsize>,
    limits: ServerLimits,
    bound: Arc<ConnectionBound>,
}

/// Why a connection is not served on.
enum ServeEnd {
    /// It has ended by itself or has made room for another one.
    Closed,
    /// The server stops.
    Stopped,
}

impl HttpServer {
    /// Creates a server that passes the requests on `listener` to `handler`.
    pub fn new(listener: TcpListener, handler: Arc<dyn HttpHandler>) -> Self {
        Self {
            listener,
            handler,
            open_connections: Arc::default(),
            limits: ServerLimits::default(),
            bound: ConnectionBound::new(usize::MAX),
        }
    }

    /// Sets the limits for request heads.
    pub fn with_limits(mut self, limits: ServerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the bound for open connections; by default there is none.
    pub fn with_bound(mut self, bound: Arc<ConnectionBound>) -> Self {
        self.bound = bound;
        self
    }

    /// Returns the counter of open connections.
    pub fn open_connections(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open_connections)
    }

    /// Accepts connections until `stop` is set. After that, open connections finish the
    /// requests in progress in the background and close.
    pub async fn run(self, stop: StopSignal) {
        loop {
            let accepted = async { Some(self.listener.accept().await) };
            let stopped = async {
                stop.wait().await;
                None
            };
            match accepted.or(stopped).await {
                None => return,
                Some(Ok((stream, _))) => {
                    self.serve(stream, stop.clone());
                    // Connections that make room close their sockets before the next one comes.
                    if self.bound.is_reached() {
                        yield_now().await;
                    }
                }
                Some(Err(_)) => {
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream, stop: StopSignal) {
        // Without room for it, the connection is closed.
        let Some((mark, evicted)) = self.bound.open() else {
            return;
        };
        let handler = Arc::clone(&self.handler);
        let guard = ConnectionGuard::new(&self.open_connections);
        let limits = self.limits;
        runtime::spawn(async move {
            let _guard = guard;
            if let Err(error) = set_liveness_options(&stream, limits.unacknowledged_ms) {
                debug!("failed to set the socket options of an accepted connection: {error}");
            }
            let stream = MarkedStream::new(stream, Arc::clone(&mark));
            let service = service_fn(move |mut request: Request<Incoming>| {
                let (handler, mark) = (Arc::clone(&handler), Arc::clone(&mark));
                async move {
                    mark.begin_request();
                    request.extensions_mut().insert(Arc::clone(&mark));
                    let response = handler.handle(request).await;
                    Ok::<_, Infallible>(response.map(|body| mark_body(body, mark)))
                }
            });
            let connection = http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
                .max_headers(limits.max_headers)
                .max_buf_size(limits.max_head_bytes)
                // Without it, bodies are copied into a buffer of the connection as a whole.
                .writev(true)
                .serve_connection(FuturesIo::new(stream), service);
            let mut connection = pin!(connection);
            let ended = async {
                let served = async {
                    let _ = connection.as_mut().await;
                };
                served.or(evicted.wait()).await;
                ServeEnd::Closed
            };
            let stopped = async {
                stop.wait().await;
                ServeEnd::Stopped
            };
            match ended.or(stopped).await {
                ServeEnd::Closed => return,
                ServeEnd::Stopped => connection.as_mut().graceful_shutdown(),
            }
            let served = async {
                let _ = connection.await;
            };
            served.or(evicted.wait()).await;
        });
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(open_connections: &Arc<AtomicUsize>) -> Self {
        open_connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open_connections))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
