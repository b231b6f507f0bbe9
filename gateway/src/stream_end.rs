//! What comes of opening a stream and of waiting for its next event.

use hyper::Response;
use jujuberoad_node::http::ReplyBody;

use crate::local_reply::LocalReply;
use crate::stream_attempt::OpenStream;

/// The result of opening a stream.
pub(crate) enum OpenEnd {
    Open(Box<OpenStream>),
    /// An error response of an endpoint, forwarded unchanged.
    Failure(Box<Response<ReplyBody>>),
    /// No endpoint answered.
    Refused(LocalReply),
}

/// What came of waiting for a run.
pub(crate) enum WaitEnd<T> {
    /// An output of the run.
    Original(T),
    /// Another run, which has its first event, after a silence.
    TakenOver {
        run: Box<OpenStream>,
        reason: &'static str,
    },
}
