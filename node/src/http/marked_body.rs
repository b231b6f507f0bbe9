//! A response body that reports its end.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::BodyError;
use super::ConnectionMark;
use super::ReplyBody;

struct MarkedBody {
    inner: ReplyBody,
    mark: Arc<ConnectionMark>,
}

/// Returns `body`, whose end is reported to `mark`.
pub(super) fn mark_body(body: ReplyBody, mark: Arc<ConnectionMark>) -> ReplyBody {
    MarkedBody { inner: body, mark }.boxed_unsync()
}

impl Body for MarkedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for MarkedBody {
    fn drop(&mut self) {
        self.mark.end_response();
    }
}
