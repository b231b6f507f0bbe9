//! Reserves a target in the order that holds while the fleet may lack room.

use std::sync::Arc;
use std::time::Instant;

use futures_lite::FutureExt;
use jujuberoad::admission::overload::AdmissionChoice;
use jujuberoad::admission::overload::OverloadPolicy;
use jujuberoad::admission::overload::PoolClass;
use jujuberoad::admission::overload::PoolPressure;
use jujuberoad::admission::overload::WaitingRequest;

use crate::call_deadline::timeout_at;
use crate::gateway_core::GatewayCore;
use crate::pool_board::RunningCount;
use crate::pool_board::WaitCount;
use crate::pool_board::pool_pressure;
use crate::reserved_target::QUEUE_POLL_INTERVAL;
use crate::reserved_target::ReserveError;
use crate::reserved_target::ReservedTarget;
use crate::reserved_target::TargetQuery;
use crate::slot_queue::QueueEntry;

/// One request that is to get a slot.
struct OrderedWait<'a> {
    core: &'a Arc<GatewayCore>,
    query: &'a TargetQuery,
    request: &'a WaitingRequest,
}

/// Reserves the best target for `request` once it is its turn, waiting while it can expect room.
pub(crate) async fn reserve(
    core: &Arc<GatewayCore>,
    query: &TargetQuery,
    request: &WaitingRequest,
) -> Result<ReservedTarget, ReserveError> {
    let wait = OrderedWait {
        core,
        query,
        request,
    };
    let now = Instant::now();
    let pressure = pool_pressure(core, &query.pool, now);
    if !core.queue.has_earlier(&query.pool, request, &pressure, now)
        && let Some(reserved) = wait.try_reserve(&pressure, now)
    {
        return Ok(reserved);
    }
    ReservedTarget::check_targets(core, query)?;
    ReservedTarget::check_room(core, query)?;
    wait.check_expected_wait(&pressure, now)?;
    wait.run(&query.pool_class()).await
}

impl OrderedWait<'_> {
    async fn run(&self, class: &PoolClass) -> Result<ReservedTarget, ReserveError> {
        let Self {
            core,
            query,
            request,
        } = self;
        let entry: QueueEntry = core.queue.enqueue_ordered(&query.pool, (*request).clone());
        let mut count = WaitCount::new(core, class);
        let mut is_late = false;
        loop {
            let now = Instant::now();
            if now >= request.give_up_at {
                return Err(ReserveError::NoSlotInTime);
            }
            if !is_late && request.is_late(now) {
                is_late = true;
                count.end();
            }
            let wake_at = request.give_up_at.min(now + QUEUE_POLL_INTERVAL);
            timeout_at(wake_at, entry.wakeups.recv().or(std::future::pending())).await;
            let now = Instant::now();
            let pressure = pool_pressure(core, &query.pool, now);
            if entry.is_first_by(&pressure, now)
                && let Some(reserved) = self.try_reserve(&pressure, now)
            {
                return Ok(reserved);
            }
            // A request that waits keeps its place unless it can no longer be answered at all.
            if is_late {
                self.check_expected_wait(&pressure, now)?;
            }
        }
    }

    /// Reserves a target if that leaves enough room to requests that take precedence.
    fn try_reserve(&self, pressure: &PoolPressure, now: Instant) -> Option<ReservedTarget> {
        let needs_room = self.request.is_late(now)
            || pressure.preceding(self.request) > 0
            || pressure.finished_before(self.request.priority) > 0;
        if needs_room {
            let (slots, free) = self.room(now);
            if free <= pressure.kept_room(self.request, slots, now) {
                return None;
            }
        }
        ReservedTarget::try_reserve(self.core, self.query)
    }

    /// Returns the number of slots of the pool's usable targets, and how many are free.
    fn room(&self, now: Instant) -> (u32, u32) {
        let view = self.core.fleet.view();
        let avoided = self.core.avoided().clone();
        let loads = self.core.loads.lock().expect("load lock");
        let paces = self.core.paces.lock().expect("pace lock");
        let (mut slots, mut free) = (0, 0);
        for target in view.targets.pool(&self.query.pool) {
            if avoided.is_avoided(target, now) {
                continue;
            }
            let load = loads.total(&target.endpoint, target.prefill_ms_per_token, now);
            let bound = paces.bound(target);
            slots += bound;
            free += bound.saturating_sub(load.requests);
        }
        (slots, free)
    }

    /// Returns an error if the request is refused because of its expected wait.
    fn check_expected_wait(
        &self,
        pressure: &PoolPressure,
        now: Instant,
    ) -> Result<(), ReserveError> {
        let view = self.core.fleet.view();
        let policy = OverloadPolicy {
            late_waiting: self.core.queue.count_late(&self.query.pool, now),
            targets: view.targets.pool(&self.query.pool).len(),
        };
        match policy.choose(self.request, pressure, now) {
            AdmissionChoice::Wait => Ok(()),
            AdmissionChoice::Refuse(estimate) => {
                self.core.metrics.overload_refusals.inc();
                Err(ReserveError::Overloaded(estimate))
            }
        }
    }
}

/// Counts a request as running if the order is in force for it.
pub(crate) fn count_running(core: &Arc<GatewayCore>, query: &TargetQuery) -> Option<RunningCount> {
    query.waiting.as_ref()?;
    Some(RunningCount::new(core, query.pool_class()))
}
