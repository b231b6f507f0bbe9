//! A request as it came from a caller, checked.

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

/// Header that names the team of the caller.
const TEAM_HEADER: &str = "jujube-team";
/// Header that names the class of the request.
const CLASS_HEADER: &str = "jujube-class";

/// What is common to all requests.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Id of the request, unique in the fleet.
    pub(crate) id: SmolStr,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers of the caller.
    pub(crate) headers: HeaderMap,
    /// Team of the caller.
    pub(crate) team: TeamSpec,
    /// How urgently the caller waits.
    pub(crate) class: RequestClass,
    /// The body.
    pub(crate) body: Bytes,
    /// Moment by which the answer must be complete.
    pub(crate) deadline: Instant,
    /// Time for which one attempt may wait for a slot.
    pub(crate) queue_timeout_ms: Milliseconds,
}

impl CallerRequest {
    /// Returns the ticket with which an attempt waits for a slot from `now` on.
    ///
    /// Each attempt has the whole time for waiting: a stream that is lost after
    /// minutes has to find a slot just as a new request does.
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

/// Draws the id of a new request.
pub(crate) fn new_request_id() -> SmolStr {
    format_smolstr!("{:016x}", fastrand::u64(..))
}

/// Finds the team of the caller.
pub(crate) fn team_of(headers: &HeaderMap, config: &FleetConfig) -> Result<TeamSpec, ProblemReply> {
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

/// Finds the class of the request; the most urgent one is the default.
pub(crate) fn class_of(headers: &HeaderMap) -> Result<RequestClass, ProblemReply> {
    let Some(value) = headers.get(CLASS_HEADER) else {
        return Ok(RequestClass::default());
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| {
        let detail = format!("header {CLASS_HEADER:?}: expected counter or receipt");
        ProblemReply::not_run(StatusCode::BAD_REQUEST, detail)
    })
}

/// Returns the moment `milliseconds` after `now`.
pub(crate) fn deadline_after(now: Instant, milliseconds: u64) -> Instant {
    now + Duration::from_millis(milliseconds)
}
