//! Pool of HTTP client connections, by peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use jujuberoad::ids::Milliseconds;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use super::HttpReply;
use super::PooledBody;
use super::WholeBodyError;
use super::interim_counter::InterimCounter;
use super::read_whole_body;
use super::set_liveness_options;
use super::yielding_stream::YieldingStream;
use crate::backends::CallError;
use crate::backends::CallStep;
use crate::runtime;

/// Idle time after which a connection is no longer reused, as the peer may have become
/// unreachable without closing it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Maximum number of idle connections kept for each peer.
const MAX_IDLE_PER_PEER: usize = 64;
/// Number of peers above which the times of old connections are forgotten.
const MAX_OPENED_ENTRIES: usize = 1_024;
/// Age at which the time of a connection is forgotten then.
const OPENED_LIFETIME: Duration = Duration::from_secs(10);
/// Default connect timeout.
const CONNECT_TIMEOUT_MS: Milliseconds = 1_000;
/// Default limit for unacknowledged data; longer than the slowest round trip with a few lost
/// packets.
const UNACKNOWLEDGED_MS: Milliseconds = 3_000;
/// Maximum size of a response body that [`HttpPool::exchange`] buffers by default.
const MAX_REPLY_BYTES: usize = 4 << 20;
/// The same for the control interface of engines: reports and answers to orders hold a few
/// kilobytes, and those of all engines may arrive at the same time.
const MAX_CONTROL_REPLY_BYTES: usize = 64 << 10;
/// Maximum size of a response head. Heads of endpoints hold a few hundred bytes.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Reuses connections that have been idle for a short time only.
///
/// A peer may become unreachable without any error on its connections. A connection that
/// has been idle for too long is therefore closed instead of reused. A connection on
/// which a deadline passed is never reused either; if it passed before the response head
/// arrived, all idle connections to the same peer are closed as well.
pub struct HttpPool {
    connect_timeout_ms: Milliseconds,
    unacknowledged_ms: Milliseconds,
    max_reply_bytes: usize,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// When the last connection to each peer was opened.
    opened: Mutex<HashMap<SocketAddr, Instant>>,
}

/// A connection that no other request uses.
pub(super) struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    interim: Arc<InterimCounter>,
    opened_at: Instant,
}

struct IdleConnection {
    connection: PooledConnection,
    expires_at: Instant,
}

impl HttpPool {
    /// Creates an empty pool with the default connect timeout.
    pub fn new() -> Arc<Self> {
        Self::with_timeouts(CONNECT_TIMEOUT_MS, UNACKNOWLEDGED_MS)
    }

    /// Creates an empty pool whose connections are closed once sent data has not been
    /// acknowledged for `unacknowledged_ms`.
    pub fn with_timeouts(
        connect_timeout_ms: Milliseconds,
        unacknowledged_ms: Milliseconds,
    ) -> Arc<Self> {
        Self::build(connect_timeout_ms, unacknowledged_ms, MAX_REPLY_BYTES)
    }

    /// Creates an empty pool for the control interface of engines, whose response bodies are
    /// short, with the default connect timeout.
    pub fn for_control() -> Arc<Self> {
        Self::for_control_with_timeout(CONNECT_TIMEOUT_MS)
    }

    /// Creates an empty pool like [`Self::for_control`] with a connect timeout of
    /// `connect_timeout_ms`.
    pub fn for_control_with_timeout(connect_timeout_ms: Milliseconds) -> Arc<Self> {
        Self::build(
            connect_timeout_ms,
            UNACKNOWLEDGED_MS,
            MAX_CONTROL_REPLY_BYTES,
        )
    }

    fn build(
        connect_timeout_ms: Milliseconds,
        unacknowledged_ms: Milliseconds,
        max_reply_bytes: usize,
    ) -> Arc<Self> {
        Arc::new(Self {
            connect_timeout_ms,
            unacknowledged_ms,
            max_reply_bytes,
            idle: Mutex::default(),
            opened: Mutex::default(),
        })
    }

    /// Sends `request` and returns the response once its head has arrived, which must
    /// happen by `head_deadline`.
    ///
    /// The request is sent once more, on a new connection, if the first connection closed
    /// before any byte of it was sent. With `new_connection`, no idle connection is used.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        head_deadline: Instant,
    ) -> Result<Response<PooledBody>, CallError> {
        self.send_observed(address, request, new_connection, head_deadline, &|| ())
            .await
    }

    /// Sends a request like [`Self::send`] and calls `on_send` each time that it is handed to a
    /// connection.
    pub async fn send_observed(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        head_deadline: Instant,
        on_send: &(dyn Fn() + Sync),
    ) -> Result<Response<PooledBody>, CallError> {
        let idle = if new_connection {
            None
        } else {
            self.take_idle(address)
        };
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.connect(address, head_deadline).await?,
        };
        let mut pending = request;
        for _ in 0..2 {
            on_send();
            match self
                .try_send(connection, address, pending, head_deadline)
                .await
            {
                Ok(response) => return Ok(response),
                Err(SendFailure {
                    error,
                    unsent: None,
                }) => return Err(error),
                Err(SendFailure {
                    unsent: Some(request),
                    ..
                }) => pending = request,
            }
            connection = self.connect(address, head_deadline).await?;
        }
        Err(CallError::unsent(
            CallStep::Send,
            address,
            "two connections closed before the request was sent",
        ))
    }

    /// Opens a connection to `address` and closes it, to find out whether the peer is reached.
    /// Peers limit the number of open connections, so it is not kept.
    pub async fn try_connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<(), CallError> {
        self.connect(address, deadline).await.map(drop)
    }

    /// Returns when the last connection to `address` was opened; `None` if that is long ago.
    pub fn opened_at(&self, address: SocketAddr) -> Option<Instant> {
        let opened = self.opened.lock().expect("pool lock");
        opened.get(&address).copied()
    }

    /// Sends a request and buffers the whole response, by `deadline`.
    pub async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        deadline: Instant,
    ) -> Result<HttpReply, CallError> {
        self.exchange_with(address, method, path, &[], body, deadline)
            .await
    }

    /// Sends a request with `headers` and buffers the whole response, by `deadline`. The
    /// `host` header is the address of the peer if `headers` has none.
    pub async fn exchange_with(
        self: &Arc<Self>,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        deadline: Instant,
    ) -> Result<HttpReply, CallError> {
        let mut request = Request::builder().method(method).uri(path);
        if !headers.iter().any(|(name, _)| *name == "host") {
            request = request.header("host", address.to_string());
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| CallError::unsent(CallStep::Send, address, error))?;
        let response = self.send(address, request, false, deadline).await?;
        let (head, body) = response.into_parts();
        let read = read_whole_body(body, self.max_reply_bytes);
        let body = before_deadline(deadline, read)
            .await
            .ok_or_else(|| CallError::sent(CallStep::Read, address, "deadline passed"))?
            .map_err(|error| {
                let step = match error {
                    WholeBodyError::Broken(_) => CallStep::Read,
                    WholeBodyError::TooLong(_) | WholeBodyError::TooManyPieces => CallStep::Limit,
                };
                CallError::sent(step, address, error)
            })?;
        Ok(HttpReply {
            peer: address,
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    pub(super) fn put_idle(&self, address: SocketAddr, connection: PooledConnection) {
        let mut idle = self.idle.lock().expect("pool lock");
        let connections = idle.entry(address).or_default();
        if connection.sender.is_closed() || connections.len() >= MAX_IDLE_PER_PEER {
            return;
        }
        connections.push(IdleConnection {
            connection,
            expires_at: Instant::now() + MAX_IDLE_TIME,
        });
    }

    async fn try_send(
        self: &Arc<Self>,
        mut connection: PooledConnection,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        head_deadline: Instant,
    ) -> Result<Response<PooledBody>, SendFailure> {
        connection.interim.reset();
        let interim = Arc::clone(&connection.interim);
        hyper::ext::on_informational(&mut request, move |_| interim.record());
        let sent = connection.sender.try_send_request(request);
        let Some(sent) = before_deadline(head_deadline, sent).await else {
            self.discard_idle(address);
            let error = CallError::sent(CallStep::Send, address, "deadline passed");
            return Err(SendFailure {
                error,
                unsent: None,
            });
        };
        match sent {
            Ok(response) => {
                let pool = Arc::clone(self);
                Ok(response.map(|body| PooledBody::new(body, address, pool, connection)))
            }
            Err(mut failure) => {
                let unsent = failure.take_message();
                let error = if connection.interim.is_exceeded() {
                    CallError::sent(CallStep::Limit, address, "too many interim responses")
                } else if failure.error().is_parse_too_large() {
                    CallError::sent(CallStep::Limit, address, failure.error())
                } else {
                    CallError::sent(CallStep::Send, address, failure.error())
                };
                let error = error.on_connection_of(connection.opened_at);
                Err(SendFailure { error, unsent })
            }
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<PooledConnection, CallError> {
        let deadline =
            deadline.min(Instant::now() + Duration::from_millis(self.connect_timeout_ms));
        let stream = before_deadline(deadline, TcpStream::connect(address))
            .await
            .ok_or_else(|| CallError::unsent(CallStep::Connect, address, "deadline passed"))?
            .map_err(|error| CallError::not_connected(address, &error))?;
        set_liveness_options(&stream, self.unacknowledged_ms)
            .map_err(|error| CallError::unsent(CallStep::Connect, address, error))?;
        let interim: Arc<InterimCounter> = Arc::default();
        let stream = YieldingStream::new(stream, Arc::clone(&interim));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            // Without it, bodies are copied into a buffer of the connection as a whole.
            .writev(true)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| CallError::unsent(CallStep::Connect, address, error))?;
        runtime::spawn(async move {
            // Errors of the connection are also returned by the sender.
            let _ = connection.await;
        });
        let opened_at = Instant::now();
        self.record_opened(address, opened_at);
        Ok(PooledConnection {
            sender,
            interim,
            opened_at,
        })
    }

    fn record_opened(&self, address: SocketAddr, opened_at: Instant) {
        let mut opened = self.opened.lock().expect("pool lock");
        if opened.len() >= MAX_OPENED_ENTRIES {
            opened.retain(|_, at| opened_at < *at + OPENED_LIFETIME);
        }
        opened.insert(address, opened_at);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("pool lock");
        let connections = idle.get_mut(&address)?;
        while let Some(idle) = connections.pop() {
            if now >= idle.expires_at {
                connections.clear();
                return None;
            }
            if idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn discard_idle(&self, address: SocketAddr) {
        self.idle.lock().expect("pool lock").remove(&address);
    }
}

/// The error of a request without a response, and the request itself if no byte of it was
/// sent.
struct SendFailure {
    error: CallError,
    unsent: Option<Request<Full<Bytes>>>,
}

/// Waits for `future`; returns `None` if `deadline` passes first.
async fn before_deadline<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        smol::Timer::at(deadline).await;
        None
    };
    async { Some(future.await) }.or(timer).await
}
