//! Reserves a target for a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use jujuberoad::admission::overload::PoolClass;
use jujuberoad::admission::overload::WaitEstimate;
use jujuberoad::admission::overload::WaitingRequest;
use jujuberoad::fleet::LimitTable;
use jujuberoad::fleet::PoolKey;
use jujuberoad::fleet::RateLimits;
use jujuberoad::fleet::ServingTarget;
use jujuberoad::fleet::TargetPicker;
use jujuberoad::ids::EndpointId;
use jujuberoad::pace::PacedPicker;

use crate::call_deadline::timeout_at;
use crate::fleet_cache::FleetView;
use crate::gateway_core::GatewayCore;
use crate::ordered_reserve;
use crate::ordered_reserve::count_running;
use crate::pool_board::RunningCount;
use crate::target_paces;

/// Interval at which a queued request checks for a slot without a wakeup, because load
/// digests from peers do not trigger one.
pub(crate) const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Criteria by which a target is selected.
#[derive(Clone, Debug)]
pub(crate) struct TargetQuery {
    pub(crate) pool: PoolKey,
    pub(crate) priority: u32,
    pub(crate) prompt_tokens: u32,
    /// When the request stops waiting for a slot.
    pub(crate) queue_deadline: Instant,
    /// Endpoints to which the request has already been sent.
    pub(crate) tried: Vec<EndpointId>,
    /// The addresses of these endpoints.
    tried_addresses: Vec<SocketAddr>,
    /// Whether this resumes a stream, which precedes requests that have not started.
    pub(crate) is_resumed: bool,
    /// Place of the request in the order for overloaded fleets, if that is in force.
    pub(crate) waiting: Option<WaitingRequest>,
}

impl TargetQuery {
    /// Creates a query for the first attempt of a request.
    pub(crate) fn new(
        pool: PoolKey,
        priority: u32,
        prompt_tokens: u32,
        queue_deadline: Instant,
    ) -> Self {
        Self {
            pool,
            priority,
            prompt_tokens,
            queue_deadline,
            tried: Vec::new(),
            tried_addresses: Vec::new(),
            is_resumed: false,
            waiting: None,
        }
    }

    /// Lets the request wait in the order for overloaded fleets.
    pub(crate) fn with_order(mut self, waiting: WaitingRequest) -> Self {
        self.waiting = Some(waiting);
        self
    }

    /// Returns the requests that this one is counted with.
    pub(crate) fn pool_class(&self) -> PoolClass {
        let waiting = self.waiting.as_ref();
        PoolClass {
            pool: self.pool.clone(),
            priority: waiting.map_or(self.priority, |waiting| waiting.priority),
            team: waiting.and_then(|waiting| waiting.team.clone()),
        }
    }

    /// Records that the request is being sent to `target`.
    pub(crate) fn record_try(&mut self, target: &ServingTarget) {
        self.tried.push(target.endpoint.clone());
        self.tried_addresses.push(target.address);
    }
}

/// Why no target could be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ReserveError {
    /// No endpoint serves the pool at all.
    NoneServes,
    /// The request has already been sent to every endpoint.
    AllTried,
    /// More requests are queued than can get a slot in time.
    QueueFull,
    /// No slot became free in time.
    NoSlotInTime,
    /// The expected wait is longer than the request can wait.
    Overloaded(Option<WaitEstimate>),
    /// Every endpoint limits its rate, and this router's shares are used up for too long.
    RateLimited,
    /// Every endpoint wants a rest from this router; the first rest ends then.
    Resting(Instant),
}

/// A target with a reserved slot; dropping it releases the slot.
pub(crate) struct ReservedTarget {
    core: Arc<GatewayCore>,
    pub(crate) target: ServingTarget,
    pub(crate) reserved_at: Instant,
    is_sent: AtomicBool,
    /// This router's share of the rate of the target if that was cold.
    pub(crate) cold_share: Option<u32>,
    /// Whether an earlier attempt of the request went to the same address. An answer to that one
    /// may be repeated on its connection, and names the request as well.
    pub(crate) is_same_address: bool,
    pending_prefill_tokens: u32,
    /// Counts the request as running while the decisions for overloaded fleets are in force.
    running: Option<RunningCount>,
}

impl ReservedTarget {
    /// Reserves the best target, waiting for one until `query.queue_deadline`.
    pub(crate) async fn reserve(
        core: &Arc<GatewayCore>,
        query: &TargetQuery,
    ) -> Result<Self, ReserveError> {
        let mut reserved = match &query.waiting {
            Some(request) if !query.is_resumed => {
                ordered_reserve::reserve(core, query, request).await?
            }
            _ => Self::reserve_by_priority(core, query).await?,
        };
        reserved.running = count_running(core, query);
        Ok(reserved)
    }

    /// Reserves the best target; requests wait in the order of their priority.
    async fn reserve_by_priority(
        core: &Arc<GatewayCore>,
        query: &TargetQuery,
    ) -> Result<Self, ReserveError> {
        let ahead = core.queue.count_ahead(&query.pool, query.priority);
        if (ahead == 0 || query.is_resumed)
            && let Some(reserved) = Self::try_reserve(core, query)
        {
            return Ok(reserved);
        }
        let serving = Self::check_targets(core, query)?;
        // Each target is expected to free at most one slot within the maximum wait.
        if !query.is_resumed && ahead > serving {
            return Err(ReserveError::QueueFull);
        }
        Self::check_room(core, query)?;
        let priority = if query.is_resumed {
            0
        } else {
            query.priority + 1
        };
        let entry = core.queue.enqueue(query.pool.clone(), priority);
        loop {
            let now = Instant::now();
            if now >= query.queue_deadline {
                return Err(ReserveError::NoSlotInTime);
            }
            let wake_at = query.queue_deadline.min(now + QUEUE_POLL_INTERVAL);
            timeout_at(wake_at, entry.wakeups.recv().or(std::future::pending())).await;
            if entry.is_first()
                && let Some(reserved) = Self::try_reserve(core, query)
            {
                return Ok(reserved);
            }
        }
    }

    /// Returns the number of targets, or an error if none of them takes the request in time.
    pub(crate) fn check_targets(
        core: &GatewayCore,
        query: &TargetQuery,
    ) -> Result<usize, ReserveError> {
        let view = core.fleet.view();
        let targets = view.targets.pool(&query.pool);
        if targets.is_empty() {
            return Err(ReserveError::NoneServes);
        }
        if targets
            .iter()
            .all(|target| query.tried.contains(&target.endpoint))
        {
            return Err(ReserveError::AllTried);
        }
        if let Some(rest_end) = Self::first_rest_end(core, query, targets)
            && rest_end > query.queue_deadline
        {
            return Err(ReserveError::Resting(rest_end));
        }
        Ok(targets.len())
    }

    /// Returns an error if the rate of every target is used up for too long.
    pub(crate) fn check_room(core: &GatewayCore, query: &TargetQuery) -> Result<(), ReserveError> {
        let view = core.fleet.view();
        let targets = view.targets.pool(&query.pool);
        // Peers may lift a limit or leave the list meanwhile, but that is not to be expected.
        let room_at = Self::next_room_at(core, query, &view, targets);
        let latest_room_at = query.queue_deadline.max(Instant::now());
        if room_at.is_none_or(|at| at > latest_room_at) {
            return Err(ReserveError::RateLimited);
        }
        Ok(())
    }

    /// Returns when the first rest ends if all targets that the request may be sent to want one.
    fn first_rest_end(
        core: &GatewayCore,
        query: &TargetQuery,
        targets: &[ServingTarget],
    ) -> Option<Instant> {
        let now = Instant::now();
        let avoided = core.avoided();
        let mut first = None;
        for target in targets {
            if query.tried.contains(&target.endpoint) {
                continue;
            }
            let rest_end = avoided.rest_end(target, now)?;
            first = Some(first.map_or(rest_end, |first: Instant| first.min(rest_end)));
        }
        first
    }

    /// Returns when this router's share of the rate of some target allows the next request, or
    /// when a cold one is warm; `None` if it has no share of any.
    fn next_room_at(
        core: &GatewayCore,
        query: &TargetQuery,
        view: &FleetView,
        targets: &[ServingTarget],
    ) -> Option<Instant> {
        let now = Instant::now();
        let hears_registry = core.hears_registry(view);
        let limits = core.limits.lock().expect("limit lock");
        let divider = core.quota_divider.lock().expect("quota divider lock");
        let pacer = core.pacer.lock().expect("pacer lock");
        if !divider.is_settled(now) {
            return Some(now);
        }
        let targets = targets.iter();
        let untried = targets.filter(|target| !query.tried.contains(&target.endpoint));
        let rooms = untried.filter_map(|target| {
            let limits = rate_limits(target, view, &limits, hears_registry, now);
            let room_at = |limits| pacer.room_at(&target.endpoint, limits, &divider, now);
            let warm = RateLimits {
                cold_per_second: None,
                ..limits
            };
            let settles_at = view.zone_returns.settles_at(&target.zone);
            let warm_at = target.cold_until.max(settles_at).unwrap_or(now);
            // Nothing tells when the store serves this router again.
            let warm_room_at = room_at(warm).filter(|_| hears_registry);
            let warm_room_at = warm_room_at.map(|at| at.max(warm_at));
            room_at(limits).into_iter().chain(warm_room_at).min()
        });
        rooms.min()
    }

    pub(crate) fn try_reserve(core: &Arc<GatewayCore>, query: &TargetQuery) -> Option<Self> {
        let view = core.fleet.view();
        let targets = view.targets.pool(&query.pool);
        let avoid_list = core.avoided().clone();
        let now = Instant::now();
        let hears_registry = core.hears_registry(&view);
        let limits = core.limits.lock().expect("limit lock");
        let divider = core.quota_divider.lock().expect("quota divider lock");
        let mut pacer = core.pacer.lock().expect("pacer lock");
        let may_send = |target: &ServingTarget| {
            let limits = rate_limits(target, &view, &limits, hears_registry, now);
            pacer.may_send(&target.endpoint, limits, &divider, now)
        };
        let avoided = |target: &ServingTarget| {
            query.tried.contains(&target.endpoint)
                || avoid_list.is_avoided(target, now)
                || core.stalls.is_suspect(&target.endpoint)
                || !may_send(target)
        };
        let mut loads = core.loads.lock().expect("load lock");
        let is_excluded = |target: &ServingTarget| {
            avoid_list.is_avoided(target, now) || core.stalls.is_suspect(&target.endpoint)
        };
        let mut paces = core
            .paces_targets()
            .then(|| target_paces::lock_current(core, &view.targets, &loads, &is_excluded, now));
        let bound = |target: &ServingTarget| {
            let paces = paces.as_ref();
            paces.map_or(target.slots, |paces| paces.bound(target))
        };
        let picker = TargetPicker {
            loads: &loads,
            zone: &core.settings.zone,
            avoided: &avoided,
            bound: &bound,
            queue_limit: 0,
            now,
        };
        let target = match &paces {
            None => picker.pick(targets, fastrand::f64)?.clone(),
            Some(paces) => {
                let routers = divider.router_count(now);
                let picker = PacedPicker {
                    paces,
                    picker,
                    routers,
                };
                picker.pick(targets, fastrand::f64)?.clone()
            }
        };
        if let Some(paces) = &mut paces {
            paces.record_arrival(&query.pool, now);
        }
        drop(paces);
        loads.begin_request(&target.endpoint, query.prompt_tokens);
        drop(loads);
        pacer.reserve(&target.endpoint);
        if limits.limit(&target.endpoint).is_some() {
            core.metrics.limited_sends.inc();
        }
        let cold_rate = rate_limits(&target, &view, &limits, hears_registry, now).cold_per_second;
        let cold_share = cold_rate.map(|rate| divider.share_of(&target.endpoint, rate, now));
        Some(Self {
            core: Arc::clone(core),
            is_same_address: query.tried_addresses.contains(&target.address),
            target,
            reserved_at: now,
            is_sent: AtomicBool::new(false),
            cold_share,
            pending_prefill_tokens: query.prompt_tokens,
            running: None,
        })
    }

    /// Records that the request is handed to a connection to the endpoint.
    pub(crate) fn record_send(&self, now: Instant) {
        let mut pacer = self.core.pacer.lock().expect("pacer lock");
        if self.is_sent.swap(true, Ordering::Relaxed) {
            pacer.record_send(&self.target.endpoint, now);
        } else {
            pacer.send_reserved(&self.target.endpoint, now);
        }
    }

    /// Records that the endpoint has processed the prompt.
    pub(crate) fn record_prompt_processed(&mut self) {
        let mut loads = self.core.loads.lock().expect("load lock");
        loads.finish_prefill(&self.target.endpoint, self.pending_prefill_tokens);
        self.pending_prefill_tokens = 0;
    }
}

impl Drop for ReservedTarget {
    fn drop(&mut self) {
        let mut loads = self.core.loads.lock().expect("load lock");
        loads.end_request(&self.target.endpoint, self.pending_prefill_tokens);
        drop(loads);
        if !*self.is_sent.get_mut() {
            let mut pacer = self.core.pacer.lock().expect("pacer lock");
            pacer.cancel(&self.target.endpoint);
        }
        self.core.queue.wake_first();
    }
}

/// Returns the rates that a target takes from all routers together.
fn rate_limits(
    target: &ServingTarget,
    view: &FleetView,
    named: &LimitTable,
    hears_registry: bool,
    now: Instant,
) -> RateLimits {
    let is_cold = !hears_registry
        || target.cold_until.is_some_and(|until| now < until)
        || view.zone_returns.may_be_cold(&target.zone);
    let has_cold_rate = target.cold_requests_per_second > 0.0;
    RateLimits {
        cold_per_second: (is_cold && has_cold_rate).then_some(target.cold_requests_per_second),
        named: named.limit(&target.endpoint),
    }
}
