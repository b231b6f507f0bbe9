//! Reads request bodies within limits on size and time.

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

/// Timeout for receiving the whole request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads `body` in full; a body of more than `limit` bytes is rejected.
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
            let detail = format!("reading the request body failed: {error}");
            Err(ProblemReply::not_run(StatusCode::BAD_REQUEST, detail))
        }
        None => {
            let detail = "timed out reading the request body";
            Err(ProblemReply::not_run(StatusCode::REQUEST_TIMEOUT, detail))
        }
    }
}
