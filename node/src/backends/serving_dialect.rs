//! How callers, endpoints and the registry put things.

use std::time::Instant;

use hyper::HeaderMap;
use hyper::StatusCode;
use jujuberoad::fleet::EndpointRecord;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::ModelId;
use jujuberoad::ids::TeamId;
use jujuberoad::ids::ZoneId;
use jujuberoad::serving::ServingConfig;
use smol_str::SmolStr;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of this request.
    pub request_id: Option<SmolStr>,
    /// Time for which the caller waits.
    pub timeout_ms: Option<Milliseconds>,
    /// Key of its team.
    pub api_key: Option<SmolStr>,
    /// Model that it asks for.
    pub model: Option<ModelId>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Most tokens of its answer.
    pub max_output_tokens: u32,
    /// Last event of the stream that the caller has seen already.
    pub last_event_id: Option<u64>,
}

/// What the head of a request to an endpoint is to say.
#[derive(Clone, Debug, Default)]
pub struct EndpointHead {
    /// Time that is left for the request.
    pub remaining_ms: Milliseconds,
    /// Endpoint that must run it, and no other at the same address.
    pub endpoint: EndpointId,
    /// Team of the caller, if it has one.
    pub team: Option<TeamId>,
    /// Rank of the request; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that is answered.
    pub request_id: Option<SmolStr>,
    /// Whether the answer bears the endpoint's signature.
    pub is_signed: bool,
    /// Whether the endpoint says that the request has not run.
    pub was_not_run: bool,
    /// Requests that it runs and that wait there.
    pub load: Option<(u32, u32)>,
}

/// A value that cannot be understood.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{subject}: {message}")]
pub struct DialectError {
    /// What was read.
    pub subject: String,
    /// What is wrong with it.
    pub message: String,
}

/// Translates between the outside and the types of the product; decides nothing.
pub trait ServingDialect: Send + Sync {
    /// Prefix below which the operator writes.
    fn operator_prefix(&self) -> &str;

    /// Tells whether a key holds the configuration.
    fn is_config_key(&self, key: &str) -> bool;

    /// Returns the zone that a key takes out of service.
    fn evacuated_zone(&self, key: &str) -> Option<ZoneId>;

    /// Prefix below which endpoints register.
    fn registry_prefix(&self) -> &str;

    /// Returns the endpoint whose entry has `key`.
    fn endpoint_of_key(&self, key: &str) -> Option<EndpointId>;

    /// Reads a configuration.
    fn decode_config(&self, value: &[u8]) -> Result<ServingConfig, DialectError>;

    /// Reads the entry of an endpoint that was received at `now`.
    fn decode_endpoint(
        &self,
        id: &EndpointId,
        value: &[u8],
        now: Instant,
    ) -> Result<EndpointRecord, DialectError>;

    /// Reads the head of a caller's request.
    fn read_caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Turns the headers of a caller into those for an endpoint.
    fn write_endpoint_head(&self, headers: &mut HeaderMap, head: &EndpointHead);

    /// Reads the head of an endpoint's answer.
    fn read_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Adds the id of the request to an answer of our own.
    fn set_request_id(&self, headers: &mut HeaderMap, request: &SmolStr);
}
