//! The body of a caller's request.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::EXPECT;
use jujuberoad::serving::TrafficLimits;
use jujuberoad_node::runtime;

use crate::body_memory::BodyHold;
use crate::body_memory::BodyRefusal;
use crate::call_deadline::timeout_at;
use crate::caller_memory::CallerMemory;
use crate::caller_request;
use crate::local_reply::LocalReply;

/// Time for which the rest of a refused request's body is read: some round trips, in which
/// the caller gets the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Maximum size of the rest that is read: the default limit for a whole body.
const MAX_DISCARDED_BYTES: usize = 4 << 20;

/// A body that may not have arrived as a whole yet.
pub(crate) struct RequestBody {
    incoming: Incoming,
    /// Whether the caller sends it without waiting for an interim response.
    is_invited: bool,
    /// Whether it got no room, so that its connection is to be closed.
    is_unwelcome: bool,
}

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
enum ReadFailure {
    #[error("the body is longer than {0} bytes")]
    TooLong(u64),
    #[error("failed to read the request body: {0}")]
    Broken(hyper::Error),
    #[error(transparent)]
    Refused(BodyRefusal),
}

impl RequestBody {
    /// Takes the body of a request with `headers`.
    pub(crate) fn new(incoming: Incoming, headers: &HeaderMap) -> Self {
        Self {
            incoming,
            is_invited: !headers.contains_key(EXPECT),
            is_unwelcome: false,
        }
    }

    /// Reads the whole body by `deadline`, into memory of `memory`.
    pub(crate) async fn read(
        &mut self,
        memory: &CallerMemory,
        limits: &TrafficLimits,
        deadline: Instant,
    ) -> Result<Bytes, LocalReply> {
        let limit = limits.body_bytes;
        let (hold, evicted) = memory.bodies.begin_request();
        let read = async {
            let read = self.gather(&hold, limit);
            let evicted = async {
                evicted.wait().await;
                Err(ReadFailure::Refused(BodyRefusal::Evicted))
            };
            timeout_at(deadline, read.or(evicted)).await
        };
        let Some(read) = read.await else {
            let reason = "the request body did not arrive before the deadline";
            return Err(LocalReply::not_run(StatusCode::REQUEST_TIMEOUT, reason));
        };
        let read = read.and_then(|()| hold.finish().map_err(ReadFailure::Refused));
        read.map_err(|failure| {
            let status = match failure {
                ReadFailure::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
                ReadFailure::Broken(_) => StatusCode::BAD_REQUEST,
                ReadFailure::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            };
            let reply = LocalReply::not_run(status, failure.to_string());
            if !matches!(failure, ReadFailure::Refused(_)) {
                return reply;
            }
            self.is_unwelcome = true;
            reply.with_retry_at(caller_request::pick_retry_at(deadline))
        })
    }

    /// Reads the body to its end into memory of `hold`.
    async fn gather(&mut self, hold: &BodyHold, limit: u64) -> Result<(), ReadFailure> {
        // An announced length over the limit is refused before any byte is read.
        if self.incoming.size_hint().lower() > limit {
            return Err(ReadFailure::TooLong(limit));
        }
        // Reading makes the server send the interim response.
        self.is_invited = true;
        let mut byte_count = 0;
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(ReadFailure::Broken)?;
            let Ok(piece) = frame.into_data() else {
                continue;
            };
            byte_count += piece.len() as u64;
            if byte_count > limit {
                return Err(ReadFailure::TooLong(limit));
            }
            // The piece is copied, since it keeps the whole read buffer of the connection.
            hold.append(&mut &piece[..]).map_err(ReadFailure::Refused)?;
        }
        Ok(())
    }

    /// Reads the rest in the background, so that the connection is not reset while the caller
    /// sends it; returns whether the connection can be used again.
    pub(crate) fn discard(mut self, memory: &CallerMemory) -> bool {
        if self.incoming.is_end_stream() {
            return !self.is_unwelcome;
        }
        if !self.is_invited {
            return false;
        }
        let Some(permit) = memory.try_discard() else {
            return false;
        };
        let deadline = Instant::now() + DISCARD_TIME;
        let is_reusable = !self.is_unwelcome;
        runtime::spawn(async move {
            let _permit = permit;
            let rest = async {
                let mut discarded = 0;
                while let Some(Ok(frame)) = self.incoming.frame().await {
                    discarded += frame.data_ref().map_or(0, Bytes::len);
                    if discarded > MAX_DISCARDED_BYTES {
                        return;
                    }
                }
            };
            // The server closes the connection if the body is dropped before its end.
            timeout_at(deadline, rest).await;
        });
        is_reusable
    }
}
