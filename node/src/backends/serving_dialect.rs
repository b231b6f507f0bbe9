//! Trait for the headers, keys and value formats of the surrounding platform.

use std::sync::Arc;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::StatusCode;
use jujuberoad::fleet::EndpointRecord;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::ModelId;
use jujuberoad::ids::PromptPartId;
use jujuberoad::ids::TeamId;
use jujuberoad::ids::ZoneId;
use jujuberoad::serving::ServingConfig;
use smol_str::SmolStr;

use super::StatedLimit;
use super::StatedRest;

/// Fields read from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of the request.
    pub request_id: Option<SmolStr>,
    /// Time that the caller waits for the response.
    pub timeout_ms: Option<Milliseconds>,
    /// API key of the caller's team.
    pub api_key: Option<SmolStr>,
    /// Requested model.
    pub model: Option<ModelId>,
    /// Number of prompt tokens; 0 if not given.
    pub prompt_tokens: u32,
    /// Parts of the prompt that other requests may share, each once and in order. The
    /// dialect limits their number and length.
    pub shared_prompt_parts: Arc<[PromptPartId]>,
    /// Maximum number of generated tokens; 0 if not given.
    pub max_output_tokens: u32,
    /// Id of the last stream event that the caller has received.
    pub last_event_id: Option<u64>,
}

/// Fields to write into the headers of a request to an endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointHead {
    /// Time left until the deadline of the request.
    pub remaining_ms: Milliseconds,
    /// Endpoint that is meant; another one at the same address must refuse the request.
    pub endpoint: EndpointId,
    /// Team of the caller, if known.
    pub team: Option<TeamId>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Id of the event after which the endpoint resumes the stream.
    pub resume_after: Option<u64>,
}

/// Fields read from the status and headers of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that the response belongs to.
    pub request_id: Option<SmolStr>,
    /// Whether the response carries the endpoint's signature.
    pub is_signed: bool,
    /// Whether the endpoint states that it has not executed the request.
    pub was_not_run: bool,
    /// Numbers of running and of queued requests at the endpoint.
    pub load: Option<(u32, u32)>,
    /// Rate of requests that the endpoint takes.
    pub request_limit: StatedLimit,
    /// Rest that the endpoint wants from this router alone.
    pub rest: StatedRest,
    /// Whether the endpoint shuts down and wants no new requests.
    pub is_leaving: bool,
}

/// A value that cannot be decoded.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{subject}: {message}")]
pub struct DialectError {
    /// Key of the value.
    pub subject: String,
    /// Reason why the value is invalid.
    pub message: String,
}

/// Translates between the platform's formats and the types of this system, without any
/// policy of its own.
pub trait ServingDialect: Send + Sync {
    /// Returns the prefix of the keys that operators write.
    fn operator_prefix(&self) -> &str;

    /// Returns whether `key` holds the configuration.
    fn is_config_key(&self, key: &str) -> bool;

    /// Returns the zone that is out of service while `key` exists.
    fn evacuated_zone(&self, key: &str) -> Option<ZoneId>;

    /// Returns the prefix of the keys under which endpoints register.
    fn registry_prefix(&self) -> &str;

    /// Returns the endpoint whose registry entry is stored under `key`.
    fn endpoint_of_key(&self, key: &str) -> Option<EndpointId>;

    /// Decodes a configuration.
    fn decode_config(&self, value: &[u8]) -> Result<ServingConfig, DialectError>;

    /// Decodes the registry entry of an endpoint; `now` is the time at which it was
    /// received, to which its relative times refer.
    fn decode_endpoint(
        &self,
        id: &EndpointId,
        value: &[u8],
        now: Instant,
    ) -> Result<EndpointRecord, DialectError>;

    /// Reads the headers of a caller's request.
    fn read_caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Turns the headers of a caller's request into those for an endpoint.
    fn write_endpoint_head(&self, headers: &mut HeaderMap, head: &EndpointHead);

    /// Turns the headers of a caller's request into those for another router, which has
    /// `remaining_ms` for it and resumes its stream after event `resume_after`. The key of the
    /// caller stays.
    fn write_relay_head(
        &self,
        headers: &mut HeaderMap,
        remaining_ms: Milliseconds,
        resume_after: Option<u64>,
    );

    /// Reads the status and headers of an endpoint's response.
    fn read_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Adds the request id to the headers of a local reply.
    fn set_request_id(&self, headers: &mut HeaderMap, request: &SmolStr);
}
