//! Type of response bodies.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;

/// Error while a body is read.
#[derive(Clone, Debug, thiserror::Error)]
#[error("the body ended early: {0}")]
pub struct BodyError(pub String);

/// A buffered or streamed response body.
pub type ReplyBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that is already complete.
pub fn full_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}
