//! An answer of a target, as measured by the router that sent the request.

use crate::fleet::ServingTarget;
use crate::ids::Milliseconds;
use crate::peer::TargetOutcomes;

/// Smallest share of its objective that a target has for a request that waited before it was
/// sent. Without it, waits for slots would make all targets of a pool late, and cutting their
/// paces would lengthen the waits.
const MIN_TARGET_SHARE: f64 = 0.75;
/// Share of the objective up to which the engine's work on the prompt of a late answer may be the
/// cause. Such a prompt is late at an idle engine already.
const LONG_PROMPT_SHARE: f64 = 0.5;

/// First event of a stream, or a whole answer of another kind.
#[derive(Clone, Copy, Debug)]
pub struct TargetAnswer {
    /// Objective of the route.
    pub objective_ms: Milliseconds,
    /// Longest pause between two events that the route allows; 0 if it sets none.
    pub longest_pause_ms: Milliseconds,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Time before the request was sent to the target, since the caller's first attempt.
    pub waited_ms: Milliseconds,
    /// Time from sending to the answer.
    pub took_ms: Milliseconds,
}

impl TargetAnswer {
    /// Returns whether the answer was on time; `None` if it says nothing about the target.
    pub fn outcome(&self, target: &ServingTarget) -> Option<TargetOutcomes> {
        if self.objective_ms == 0 {
            return None;
        }
        let objective_ms = self.objective_ms as f64;
        let left_ms = objective_ms - self.waited_ms as f64;
        let allowed_ms = left_ms.max(MIN_TARGET_SHARE * objective_ms);
        let is_late = self.took_ms as f64 > allowed_ms;
        let prompt_ms = f64::from(self.prompt_tokens) * target.prefill_ms_per_token;
        if is_late && prompt_ms > LONG_PROMPT_SHARE * objective_ms {
            return None;
        }
        Some(TargetOutcomes {
            on_time: u32::from(!is_late),
            late: u32::from(is_late),
        })
    }

    /// Returns how many requests with prompts of `mean_tokens` an engine that keeps to its profile
    /// can begin at once so that all of them meet the objective.
    pub fn startable_requests(&self, target: &ServingTarget, mean_tokens: f64) -> f64 {
        let objective_ms = MIN_TARGET_SHARE * self.objective_ms as f64;
        let left_ms = (objective_ms - target.event_interval_ms).max(0.0);
        let cost_ms =
            mean_tokens * target.prefill_ms_per_token + target.event_interval_ms_per_request;
        if cost_ms <= 0.0 {
            return f64::INFINITY;
        }
        left_ms / cost_ms
    }

    /// Returns how many streams an engine that keeps to its profile can run within the longest
    /// pause.
    pub fn steady_requests(&self, target: &ServingTarget) -> f64 {
        let cost_ms = target.event_interval_ms_per_request;
        if self.longest_pause_ms == 0 || cost_ms <= 0.0 {
            return f64::INFINITY;
        }
        (self.longest_pause_ms as f64 - target.event_interval_ms).max(0.0) / cost_ms
    }
}
