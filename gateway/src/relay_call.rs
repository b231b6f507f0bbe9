//! Sends a request through a peer, because this router has lost its path to the endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::Version;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::ServiceId;
use jujuberoad::peer::RelayHead;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallStep;
use jujuberoad_node::http::PooledBody;
use jujuberoad_node::http::remove_connection_headers;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::caller_request::CallerRequest;
use crate::gateway_core::GatewayCore;
use crate::rest_watch;

/// Header of a relayed request, which holds its [`RelayHead`], and of the response of a router
/// that could not take it.
pub(crate) const RELAY_HEADER: &str = "jujube-relay";
/// Value of [`RELAY_HEADER`] in a response: the request was not executed and another router may
/// be able to take it.
pub(crate) const RELAY_UNABLE: &str = "unable";
/// Header of the response to a relayed request: the endpoint that it comes from.
pub(crate) const ENDPOINT_HEADER: &str = "jujube-endpoint";
/// Maximum number of peers that are asked for one attempt.
const MAX_PEERS: usize = 3;

/// How an attempt to relay a request ended.
pub(crate) enum RelayEnd {
    /// The response of an endpoint or of the peer itself.
    Answered(Box<RelayedResponse>),
    /// No peer took the request.
    NoPeer,
    /// The peer did not answer; it may have executed the request.
    Lost(CallError),
}

/// A response that came through a peer; its body is not read yet.
pub(crate) struct RelayedResponse {
    pub(crate) address: SocketAddr,
    pub(crate) response: Response<PooledBody>,
    pub(crate) permit: RelayPermit,
}

/// Counts a request as in progress at a peer until it is dropped.
pub(crate) struct RelayPermit {
    core: Arc<GatewayCore>,
    pub(crate) peer: RouterId,
}

impl RelayPermit {
    fn new(core: &Arc<GatewayCore>, peer: &RouterId) -> Self {
        let mut relays = core.relays.lock().expect("relay lock");
        relays.begin(peer, Instant::now());
        Self {
            core: Arc::clone(core),
            peer: peer.clone(),
        }
    }
}

impl Drop for RelayPermit {
    fn drop(&mut self) {
        self.core.relays.lock().expect("relay lock").end(&self.peer);
    }
}

/// Relays `request` behind event `resume_after`, after `runs` attempts that may have executed it.
///
/// A peer makes all attempts that the route still allows, counts them, and never relays the request
/// further. One that turns the request away has not executed it, so the next peer is asked.
pub(crate) async fn relay(
    core: &Arc<GatewayCore>,
    request: &CallerRequest,
    runs: u32,
    resume_after: Option<u64>,
) -> RelayEnd {
    let head = RelayHead {
        sender: core.settings.id.clone(),
        config_version: request.config_version,
        runs,
        is_counted: request.is_counted,
    };
    for _ in 0..MAX_PEERS {
        let Some((peer, address)) = pick_peer(core, &request.pool.service) else {
            return RelayEnd::NoPeer;
        };
        let permit = RelayPermit::new(core, &peer);
        let outcome = send(core, request, address, &head, resume_after).await;
        let (text, end) = match outcome {
            Ok(response) if is_unable(&response) => {
                let mut relays = core.relays.lock().expect("relay lock");
                relays.observe_unable(&peer, Instant::now());
                ("unable".to_owned(), None)
            }
            Ok(response) => {
                let text = response.status().as_str().to_owned();
                let end = match check_relayed_refusal(core, request, &response, address) {
                    Ok(()) => RelayEnd::Answered(Box::new(RelayedResponse {
                        address,
                        response,
                        permit,
                    })),
                    Err(error) => RelayEnd::Lost(error),
                };
                (text, Some(end))
            }
            Err(error) => {
                let mut relays = core.relays.lock().expect("relay lock");
                relays.observe_silence(&peer, Instant::now());
                let text = error.to_string();
                (text, error.was_sent.then_some(RelayEnd::Lost(error)))
            }
        };
        core.metrics.relays.inc();
        core.log.write(
            LogKind::Relay,
            json!({
                "request": request.id,
                "route": request.route.name,
                "to": peer,
                "result": text,
                "runs": runs,
                "after_event": resume_after,
                "age_ms": request.age_ms(),
            }),
        );
        if let Some(end) = end {
            return end;
        }
    }
    RelayEnd::NoPeer
}

/// Returns whether some peer may take requests for `service`.
pub(crate) fn has_peer(core: &GatewayCore, service: &ServiceId) -> bool {
    pick_peer(core, service).is_some()
}

fn pick_peer(core: &GatewayCore, service: &ServiceId) -> Option<(RouterId, SocketAddr)> {
    let addresses = core.peer_addresses.lock().expect("peer lock");
    let relays = core.relays.lock().expect("relay lock");
    let others = addresses.keys().filter(|id| **id != core.settings.id);
    let peer = relays.pick(others, service, Instant::now(), fastrand::f64)?;
    let address = addresses.get(peer)?;
    Some((peer.clone(), *address))
}

fn is_unable(response: &Response<PooledBody>) -> bool {
    let value = response.headers().get(RELAY_HEADER);
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && value.is_some_and(|value| value == RELAY_UNABLE)
}

/// Checks a refusal that a peer passes on from an endpoint; its own ones are true. Peers of an
/// earlier version do not check them.
fn check_relayed_refusal(
    core: &GatewayCore,
    request: &CallerRequest,
    response: &Response<PooledBody>,
    address: SocketAddr,
) -> Result<(), CallError> {
    let status = response.status();
    let dialect = &core.backends.dialect;
    let head = dialect.read_response_head(status, response.headers());
    if !head.is_signed {
        return Ok(());
    }
    request.check_refusal(status, &head, address)
}

/// Sends the request to a peer and validates the head of the response.
async fn send(
    core: &GatewayCore,
    request: &CallerRequest,
    address: SocketAddr,
    head: &RelayHead,
    resume_after: Option<u64>,
) -> Result<Response<PooledBody>, CallError> {
    let outgoing = build_request(core, request, head, resume_after)
        .map_err(|error| CallError::unsent(CallStep::Send, address, error))?;
    let sent = core.pool.send(address, outgoing, false, request.deadline);
    let mut response = sent.await?;
    let dialect = &core.backends.dialect;
    let answered = dialect.read_response_head(response.status(), response.headers());
    if answered.request_id.as_ref() != Some(&request.id) {
        let message = format!(
            "response belongs to another request: {:?}",
            answered.request_id
        );
        return Err(CallError::sent(CallStep::Decode, address, message));
    }
    if response.status().is_success() && !answered.is_signed {
        let message = "relayed response has no endpoint signature";
        return Err(CallError::sent(CallStep::Decode, address, message));
    }
    // This router passes the response on, so it must not send to that endpoint later either.
    let endpoint = response.headers_mut().remove(ENDPOINT_HEADER);
    if answered.is_leaving
        && let Some(endpoint) = endpoint.as_ref().and_then(|value| value.to_str().ok())
    {
        rest_watch::observe_leaving(core, &endpoint.into());
    }
    remove_connection_headers(response.headers_mut());
    *response.version_mut() = Version::HTTP_11;
    Ok(response)
}

fn build_request(
    core: &GatewayCore,
    request: &CallerRequest,
    head: &RelayHead,
    resume_after: Option<u64>,
) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let target = request.uri.path_and_query();
    let target = target.map_or("/", |target| target.as_str());
    let left = request.deadline.saturating_duration_since(Instant::now());
    let mut headers: HeaderMap = request.headers.clone();
    headers.remove(CONTENT_LENGTH);
    let remaining_ms = left.as_millis() as u64;
    let dialect = &core.backends.dialect;
    dialect.write_relay_head(&mut headers, remaining_ms, resume_after);
    headers.insert(RELAY_HEADER, HeaderValue::from_str(&head.to_string())?);
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(target.parse::<Uri>()?)
        .body(Full::new(request.body.clone()))?;
    *outgoing.headers_mut() = headers;
    Ok(outgoing)
}
