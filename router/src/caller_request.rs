//! A validated request from a caller.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use jujuberoad::admission::QueueTicket;
use jujuberoad::admission::RequestClass;
use jujuberoad::config::FleetConfig;
use jujuberoad::config::TeamSpec;
use jujuberoad::ids::Milliseconds;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::problem_reply::ProblemReply;

/// Request header with the caller's team.
const TEAM_HEADER: &str = "jujube-team";
/// Request header with the request's class.
const CLASS_HEADER: &str = "jujube-class";

/// The parts of a request that calls to models and to services share.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Random id, unique in the fleet.
    pub(crate) id: SmolStr,
    pub(crate) method: Method,
    /// Path and query of the request URI.
    pub(crate) path: String,
    /// Headers as received from the caller.
    pub(crate) headers: HeaderMap,
    /// Team that the caller belongs to.
    pub(crate) team: TeamSpec,
    /// Priority class.
    pub(crate) class: RequestClass,
    pub(crate) body: Bytes,
    /// Time by which the response must be complete.
    pub(crate) deadline: Instant,
    /// Maximum time that one attempt waits for a slot.
    pub(crate) queue_timeout_ms: Milliseconds,
}

impl CallerRequest {
    /// Returns the queue ticket of an attempt that starts to wait for a slot at `now`.
    ///
    /// Each attempt gets the full queue time limit, because a stream that is lost
    /// after minutes needs a new slot just like a new request.
    pub(crate) fn ticket(&self, now: Instant) -> QueueTicket {
        QueueTicket {
            id: 0,
            team: self.team.team.clone(),
            share: self.team.share,
            team_limit: self.team.queue,
            class: self.class,
            expires_at: deadline_after(now, self.queue_timeout_ms).min(self.deadline),
        }
    }
}

/// Returns a random id for a new request.
pub(crate) fn new_request_id() -> SmolStr {
    format_smolstr!("{:016x}", fastrand::u64(..))
}

/// Returns the configured team that the team header names.
pub(crate) fn team_from_headers(
    headers: &HeaderMap,
    config: &FleetConfig,
) -> Result<TeamSpec, ProblemReply> {
    let Some(name) = headers
        .get(TEAM_HEADER)
        .and_then(|value| value.to_str().ok())
    else {
        let detail = format!("header {TEAM_HEADER:?} is missing; expected the name of a team");
        return Err(ProblemReply::not_run(StatusCode::UNAUTHORIZED, detail));
    };
    config.teams.get(name).cloned().ok_or_else(|| {
        let detail = format!("team {name:?} is not part of the configuration");
        ProblemReply::not_run(StatusCode::FORBIDDEN, detail)
    })
}

/// Returns the class that the class header names; without the header, the most urgent one.
pub(crate) fn class_from_headers(headers: &HeaderMap) -> Result<RequestClass, ProblemReply> {
    let Some(value) = headers.get(CLASS_HEADER) else {
        return Ok(RequestClass::default());
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| {
        let detail = format!("header {CLASS_HEADER:?}: expected counter or receipt");
        ProblemReply::not_run(StatusCode::BAD_REQUEST, detail)
    })
}

/// Returns the time `milliseconds` after `now`.
pub(crate) fn deadline_after(now: Instant, milliseconds: u64) -> Instant {
    now + Duration::from_millis(milliseconds)
}
