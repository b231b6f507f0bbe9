//! Opens a stream that comes through a peer.

use std::sync::Arc;

use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallStep;
use jujuberoad_node::http::full_body;

use crate::body_memory::BodyMemory;
use crate::bounded_body::read_whole;
use crate::call_deadline::timeout_at;
use crate::caller_request::CallerRequest;
use crate::event_source::EventSource;
use crate::event_source::SourceItem;
use crate::relay_call::RelayedResponse;
use crate::relay_guard::RelayGuard;
use crate::stream_attempt::MAX_FAILURE_BYTES;
use crate::stream_attempt::OpenStream;
use crate::stream_attempt::is_event_stream;
use crate::stream_end::OpenEnd;

/// Waits for the first event of a stream that comes through a peer. A continuation has to be a
/// stream whose events have ids, since the caller has received the ones before.
pub(crate) async fn open(
    memory: &Arc<BodyMemory>,
    request: &CallerRequest,
    relayed: RelayedResponse,
    is_continuation: bool,
) -> OpenEnd {
    let RelayedResponse {
        address,
        response,
        permit,
    } = relayed;
    let deadline = request.deadline;
    if !response.status().is_success() {
        let (parts, body) = response.into_parts();
        return match read_whole(memory, body, MAX_FAILURE_BYTES, address, deadline).await {
            Ok(body) => {
                let response = Response::from_parts(parts, full_body(body));
                OpenEnd::Failure(Box::new(response))
            }
            Err(error) => OpenEnd::Refused(request.unknown_reply(&error)),
        };
    }
    let (mut parts, body) = response.into_parts();
    if is_continuation && !is_event_stream(parts.status, &parts.headers) {
        let error = CallError::sent(CallStep::Decode, address, "a response without a stream");
        return OpenEnd::Refused(request.unknown_reply(&error));
    }
    parts.headers.remove(CONTENT_LENGTH);
    let mut source = if is_continuation {
        EventSource::new_continuation(body)
    } else {
        EventSource::new(body)
    };
    let first = match timeout_at(deadline, source.next()).await {
        Some(SourceItem::Events(events)) => Some(events),
        Some(SourceItem::Ended) => None,
        Some(SourceItem::Lost(reason)) => {
            let error = CallError::sent(CallStep::Read, address, reason);
            return OpenEnd::Refused(request.unknown_reply(&error));
        }
        Some(SourceItem::Expired) | None => {
            let error = CallError::sent(CallStep::Read, address, "deadline passed");
            return OpenEnd::Refused(request.unknown_reply(&error));
        }
    };
    OpenEnd::Open(Box::new(OpenStream {
        guard: Box::new(RelayGuard::new(permit)),
        parts,
        source,
        first,
    }))
}
