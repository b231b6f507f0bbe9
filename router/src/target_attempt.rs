//! Slot acquisition, failure handling and retries that model and service calls share.

use std::time::Instant;

use hyper::Response;
use hyper::StatusCode;
use jujuberoad::ids::TargetId;
use jujuberoad::outcome::Outcome;
use jujuberoad::routing::AttemptFailure;
use jujuberoad::routing::AttemptHistory;
use jujuberoad::routing::ChoiceHint;
use jujuberoad::routing::RetryStep;
use jujuberoad_node::http::ReplyBody;
use smol_str::SmolStr;
use spdlog::info;

use crate::acquire_error::AcquireError;
use crate::acquire_request::AcquireRequest;
use crate::caller_request::CallerRequest;
use crate::caller_request::deadline_after;
use crate::held_slot::HeldSlot;
use crate::problem_reply::ProblemReply;
use crate::slot_demand::SlotDemand;
use crate::slot_scheduler::SlotScheduler;

/// Response header with the reason why a target refused a request without running it.
pub(crate) const REFUSED_HEADER: &str = "jujube-refused";
/// Delay after which callers may retry when attempts have failed, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Why an attempt did not succeed.
pub(crate) enum AttemptError {
    /// No slot was acquired.
    NoSlot(AcquireError),
    /// The attempt failed on a target.
    Failed {
        failure: AttemptFailure,
        target: TargetId,
        message: String,
    },
    /// The target responded with an error that is passed on to the caller.
    Answered(Box<Response<ReplyBody>>),
}

/// Reply to a request that did not succeed.
pub(crate) enum ErrorReply {
    /// The router reports this problem.
    Problem(ProblemReply),
    /// The target responded with an error that is passed on to the caller.
    Answered(Box<Response<ReplyBody>>),
}

/// Acquires a slot and checks that its grant and target are still valid immediately before
/// use; if not, acquires another one.
pub(crate) async fn acquire_valid_slot(
    scheduler: &std::sync::Arc<SlotScheduler>,
    request: &CallerRequest,
    demand: &SlotDemand,
    hint: ChoiceHint,
    avoid: Option<&TargetId>,
) -> Result<HeldSlot, AttemptError> {
    loop {
        let acquire_request = AcquireRequest {
            demand: demand.clone(),
            ticket: request.ticket(Instant::now()),
            hint,
            avoid: avoid.cloned(),
        };
        let slot = scheduler
            .acquire(acquire_request)
            .await
            .map_err(AttemptError::NoSlot)?;
        if !slot.may_send(Instant::now()) {
            continue;
        }
        let target = slot.target();
        info!(
            "route: request={} team={} class={} target={} zone={} {}",
            request.id,
            request.team.team,
            request.class,
            target.target,
            target.zone,
            slot.log_fields()
        );
        return Ok(slot);
    }
}

/// Returns the error of an attempt that failed on the target of `slot`.
///
/// If the target refused the request, its slot grant is discarded; after any other
/// failure, the target is suspended.
pub(crate) fn fail_attempt(
    slot: &HeldSlot,
    was_sent: bool,
    was_refused: bool,
    message: String,
) -> AttemptError {
    if was_refused {
        slot.discard_grant();
    } else {
        slot.suspend();
    }
    let failure = AttemptFailure {
        was_sent,
        was_refused,
    };
    AttemptError::Failed {
        failure,
        target: slot.target().target.clone(),
        message,
    }
}

/// Decides whether to retry after a failed attempt; if so, returns the target to avoid.
pub(crate) fn decide_retry(
    scheduler: &SlotScheduler,
    request: &SmolStr,
    history: &mut AttemptHistory,
    error: AttemptError,
) -> Result<TargetId, ErrorReply> {
    let (failure, target, message) = match error {
        AttemptError::Answered(response) => return Err(ErrorReply::Answered(response)),
        AttemptError::NoSlot(error) => {
            return Err(ErrorReply::Problem(no_slot_problem(
                &error,
                history.outcome(),
            )));
        }
        AttemptError::Failed {
            failure,
            target,
            message,
        } => (failure, target, message),
    };
    let now = Instant::now();
    match history.record_failure(failure, scheduler.spend_retry(), now) {
        RetryStep::Retry => {
            info!("retry: request={request} failed={target} reason={message:?}");
            Ok(target)
        }
        RetryStep::End(outcome) => Err(ErrorReply::Problem(ProblemReply {
            status: StatusCode::BAD_GATEWAY,
            outcome,
            detail: message,
            retry_at: retry_at(outcome, deadline_after(now, RETRY_AFTER_MS)),
        })),
    }
}

fn no_slot_problem(error: &AcquireError, outcome: Outcome) -> ProblemReply {
    let status = match error {
        AcquireError::Queue(_) => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let retry_at = retry_at(outcome, error.retry_at());
    ProblemReply {
        status,
        outcome,
        detail: error.to_string(),
        retry_at,
    }
}

/// Returns the retry time for the caller: `None` if the request may have run, since only
/// a request that did not run may be sent again.
fn retry_at(outcome: Outcome, at: Instant) -> Option<Instant> {
    (outcome == Outcome::NotRun).then_some(at)
}
