//! Sends a request to one endpoint and validates the head of the response.

use std::time::Instant;

use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::Version;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallStep;
use jujuberoad_node::backends::EndpointHead;
use jujuberoad_node::backends::ResponseHead;
use jujuberoad_node::http::PooledBody;
use jujuberoad_node::http::remove_connection_headers;

use crate::caller_request::CallerRequest;
use crate::cold_watch;
use crate::gateway_core::GatewayCore;
use crate::limit_watch;
use crate::relay_call::ENDPOINT_HEADER;
use crate::reserved_target::ReservedTarget;
use crate::rest_watch;

/// A response whose head has been validated; its body is not read yet.
pub(crate) struct EndpointResponse {
    pub(crate) response: Response<PooledBody>,
    pub(crate) head: ResponseHead,
}

/// Sends `request` and awaits the response head until the request's deadline.
///
/// A response without the id of this request, a success without a signature, or a refusal
/// that may come after a run, is an error, and its connection is closed.
pub(crate) async fn send(
    core: &GatewayCore,
    request: &CallerRequest,
    reserved: &ReservedTarget,
    resume_after: Option<u64>,
) -> Result<EndpointResponse, CallError> {
    let address = reserved.target.address;
    let outgoing = build_request(core, request, reserved, resume_after)
        .map_err(|error| CallError::unsent(CallStep::Send, address, error))?;
    let sent_at = Instant::now();
    let new_connection = reserved.is_same_address;
    let on_send = || {
        let now = Instant::now();
        reserved.record_send(now);
        cold_watch::observe_send(core, request, reserved, now);
    };
    let pool = &core.pool;
    let sent = pool.send_observed(
        address,
        outgoing,
        new_connection,
        request.deadline,
        &on_send,
    );
    let mut response = sent.await?;
    let head = core
        .backends
        .dialect
        .read_response_head(response.status(), response.headers());
    // A misdirected request was answered by another endpoint.
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    if !is_misdirected && head.is_leaving {
        rest_watch::observe_leaving(core, &reserved.target.endpoint);
    }
    // Endpoints name the request in every response. One that names none may be a late copy of
    // the response to an earlier request on the same connection.
    if head.request_id.as_ref() != Some(&request.id) {
        let message = format!("response belongs to another request: {:?}", head.request_id);
        return Err(CallError::sent(CallStep::Decode, address, message));
    }
    if response.status().is_success() && !head.is_signed {
        let message = format!(
            "response with status {} has no endpoint signature",
            response.status()
        );
        return Err(CallError::sent(CallStep::Decode, address, message));
    }
    if !is_misdirected {
        rest_watch::observe_rest(core, &reserved.target.endpoint, &head);
        limit_watch::observe_response(core, &reserved.target.endpoint, &head, sent_at);
    }
    request.check_refusal(response.status(), &head, address)?;
    remove_connection_headers(response.headers_mut());
    if request.relay_head.is_some()
        && let Ok(endpoint) = HeaderValue::from_str(&reserved.target.endpoint)
    {
        response.headers_mut().insert(ENDPOINT_HEADER, endpoint);
    }
    // Each hop has a version of its own. In that of an old endpoint, a stream would have no
    // chunks, and the caller could not tell a broken one from a whole one.
    *response.version_mut() = Version::HTTP_11;
    Ok(EndpointResponse { response, head })
}

fn build_request(
    core: &GatewayCore,
    request: &CallerRequest,
    reserved: &ReservedTarget,
    resume_after: Option<u64>,
) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let path = request
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let left = request.deadline.saturating_duration_since(Instant::now());
    let head = EndpointHead {
        remaining_ms: left.as_millis() as u64,
        endpoint: reserved.target.endpoint.clone(),
        team: request.team.clone(),
        priority: Some(request.priority),
        resume_after,
    };
    let mut headers = request.headers.clone();
    headers.remove(CONTENT_LENGTH);
    core.backends
        .dialect
        .write_endpoint_head(&mut headers, &head);
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(path.parse::<Uri>()?)
        .body(Full::new(request.body.clone()))?;
    *outgoing.headers_mut() = headers;
    Ok(outgoing)
}
