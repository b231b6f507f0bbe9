//! Reads the body of a request within its limits.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::problem_reply::ProblemReply;

/// Time within which a caller must have sent the body of its request.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads `body`, which may have at most `limit` bytes.
pub(crate) async fn read_body(body: Incoming, limit: u64) -> Result<Bytes, ProblemReply> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let timer = async {
        smol::Timer::at(Instant::now() + BODY_READ_TIMEOUT).await;
        None
    };
    let read = async { Some(Limited::new(body, limit).collect().await) };
    match read.or(timer).await {
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("the body of the request is longer than {limit} bytes");
            Err(ProblemReply::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail))
        }
        Some(Err(error)) => {
            let detail = format!("the body of the request could not be read: {error}");
            Err(ProblemReply::not_run(StatusCode::BAD_REQUEST, detail))
        }
        None => {
            let detail = "the body of the request did not arrive in time";
            Err(ProblemReply::not_run(StatusCode::REQUEST_TIMEOUT, detail))
        }
    }
}
