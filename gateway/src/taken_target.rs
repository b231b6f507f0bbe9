//! Taking a target for one request.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use jujuberoad::fleet::PoolKey;
use jujuberoad::fleet::ServingTarget;
use jujuberoad::fleet::TargetPicker;
use jujuberoad::ids::EndpointId;

use crate::call_deadline::by_deadline;
use crate::gateway_core::GatewayCore;

/// Pause after which a waiting request looks again without being woken, so that
/// news of peers count.
const LOOK_AGAIN: Duration = Duration::from_millis(40);

/// What a request needs.
#[derive(Clone, Debug)]
pub(crate) struct TargetNeed {
    pub(crate) pool: PoolKey,
    pub(crate) priority: u32,
    pub(crate) prompt_tokens: u32,
    /// Moment at which waiting no longer helps.
    pub(crate) give_up_at: Instant,
    /// Endpoints that have had the request already.
    pub(crate) tried: Vec<EndpointId>,
    /// Whether it may go before requests that have not begun.
    pub(crate) is_resumed: bool,
}

/// Why no target could be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum NoTarget {
    /// No endpoint serves the pool at all.
    NoneServes,
    /// Every endpoint has had the request already.
    AllTried,
    /// The queue is longer than can be served in time.
    QueueFull,
    /// No slot became free in time.
    NoSlotInTime,
}

/// A target with a request under way; the request ends when this is dropped.
pub(crate) struct TakenTarget {
    core: Arc<GatewayCore>,
    pub(crate) target: ServingTarget,
    pending_prefill_tokens: u32,
}

impl TakenTarget {
    /// Takes the best target, waiting until `need.give_up_at` for one.
    pub(crate) async fn take(core: &Arc<GatewayCore>, need: &TargetNeed) -> Result<Self, NoTarget> {
        let ahead = core.queue.ahead(&need.pool, need.priority);
        if (ahead == 0 || need.is_resumed)
            && let Some(taken) = Self::try_take(core, need)
        {
            return Ok(taken);
        }
        let view = core.board.view();
        let targets = view.targets.pool(&need.pool);
        let serving = targets.len();
        if serving == 0 {
            return Err(NoTarget::NoneServes);
        }
        if targets
            .iter()
            .all(|target| need.tried.contains(&target.endpoint))
        {
            return Err(NoTarget::AllTried);
        }
        // Each target frees a slot within the waiting time at best.
        if !need.is_resumed && ahead > serving {
            return Err(NoTarget::QueueFull);
        }
        let priority = if need.is_resumed {
            0
        } else {
            need.priority + 1
        };
        let place = core.queue.join(need.pool.clone(), priority);
        loop {
            let now = Instant::now();
            if now >= need.give_up_at {
                return Err(NoTarget::NoSlotInTime);
            }
            let look_at = need.give_up_at.min(now + LOOK_AGAIN);
            by_deadline(look_at, place.wakeups.recv().or(std::future::pending())).await;
            if place.is_first()
                && let Some(taken) = Self::try_take(core, need)
            {
                return Ok(taken);
            }
        }
    }

    fn try_take(core: &Arc<GatewayCore>, need: &TargetNeed) -> Option<Self> {
        let view = core.board.view();
        let targets = view.targets.pool(&need.pool);
        let avoid_list = core.avoided().clone();
        let now = Instant::now();
        let avoided = |target: &ServingTarget| {
            need.tried.contains(&target.endpoint)
                || avoid_list.is_avoided(target, now)
                || core.stalls.is_suspect(&target.endpoint)
                || !has_cold_room(core, target, now)
        };
        let mut loads = core.loads.lock().expect("load lock");
        let picker = TargetPicker {
            loads: &loads,
            zone: &core.settings.zone,
            avoided: &avoided,
            queue_limit: 0,
            now,
        };
        let target = picker.pick(targets, fastrand::f64)?.clone();
        loads.begin_request(&target.endpoint, need.prompt_tokens);
        drop(loads);
        note_cold_send(core, &target, now);
        Some(Self {
            core: Arc::clone(core),
            target,
            pending_prefill_tokens: need.prompt_tokens,
        })
    }

    /// Notes that the prompt has been read.
    pub(crate) fn note_answered(&mut self) {
        let mut loads = self.core.loads.lock().expect("load lock");
        loads.finish_prefill(&self.target.endpoint, self.pending_prefill_tokens);
        self.pending_prefill_tokens = 0;
    }
}

impl Drop for TakenTarget {
    fn drop(&mut self) {
        let mut loads = self.core.loads.lock().expect("load lock");
        loads.end_request(&self.target.endpoint, self.pending_prefill_tokens);
        drop(loads);
        self.core.queue.wake_first();
    }
}

/// Tells whether a cold target bears one more request from this router.
fn has_cold_room(core: &GatewayCore, target: &ServingTarget, now: Instant) -> bool {
    let is_cold = target.cold_until.is_some_and(|until| now < until);
    if !is_cold || target.cold_requests_per_second <= 0.0 {
        return true;
    }
    let share = {
        let quota_divider = core.quota_divider.lock().expect("roll lock");
        quota_divider.share_of(&target.endpoint, target.cold_requests_per_second, now)
    };
    let limiter = core.cold_start_limiter.lock().expect("cold lock");
    limiter.has_capacity(&target.endpoint, share, now)
}

fn note_cold_send(core: &GatewayCore, target: &ServingTarget, now: Instant) {
    if target.cold_until.is_none_or(|until| now >= until) {
        return;
    }
    let mut limiter = core.cold_start_limiter.lock().expect("cold lock");
    limiter.record_send(&target.endpoint, now);
}
