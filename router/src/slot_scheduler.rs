//! Assigns a router's slots to its queued requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::admission::FairQueue;
use jujuberoad::admission::QueueTicket;
use jujuberoad::admission::RequestClass;
use jujuberoad::ids::Incarnation;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::TargetId;
use jujuberoad::ids::ZoneId;
use jujuberoad::membership::ViewKey;
use jujuberoad::routing::ChoiceHint;
use jujuberoad::routing::RouteTarget;
use jujuberoad::routing::TargetChooser;
use jujuberoad::slots::SlotGrant;
use jujuberoad::slots::SlotLease;
use jujuberoad::slots::SlotRequest;
use smol::channel;
use smol::channel::Sender;

use crate::acquire_error::AcquireError;
use crate::acquire_request::AcquireRequest;
use crate::held_slot::HeldSlot;
use crate::router_view::RouterView;
use crate::scheduler_state::SchedulerState;
use crate::scheduler_state::SlotWaiter;
use crate::slot_choice::SlotChoice;
use crate::slot_demand::SlotDemand;
use crate::target_finder::TargetFinder;
use crate::target_finder::lowest_servable_class;
use crate::target_finder::usable_slots;
use crate::view_cache::ViewCache;

/// Maximum number of targets from which slots are requested at once for one queue.
const MAX_REQUESTED_TARGETS: usize = 4;
/// Number by which the queue length is divided to get the slots requested from each of
/// these targets.
const QUEUE_LENGTH_DIVISOR: u32 = 2;
/// Maximum number of waiting requests per queue that are counted when slots are
/// requested.
const MAX_COUNTED_REQUESTS: u32 = 64;
/// Maximum number of better-ranked targets recorded as passed over, for the log and
/// for slot requests.
const MAX_PASSED_OVER: usize = 3;
/// Delay after which callers should retry when no target could serve them.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Assigns leased slots to requests, and queues requests until a slot is free.
pub(crate) struct SlotScheduler {
    own_id: RouterId,
    incarnation: Incarnation,
    view_cache: Arc<ViewCache>,
    finder: TargetFinder,
    chooser: Box<dyn TargetChooser>,
    state: Mutex<SchedulerState>,
    shortage: Sender<()>,
}

impl SlotScheduler {
    /// Creates the scheduler of router `own_id`; `shortage` is signalled when a
    /// request has to wait, so that slots are requested without delay.
    pub(crate) fn new(
        own_id: RouterId,
        zone: ZoneId,
        incarnation: Incarnation,
        view_cache: Arc<ViewCache>,
        chooser: Box<dyn TargetChooser>,
        shortage: Sender<()>,
    ) -> Arc<Self> {
        let state = Mutex::default();
        let finder = TargetFinder::new(zone, Arc::clone(&view_cache));
        Arc::new(Self {
            own_id,
            incarnation,
            view_cache,
            finder,
            chooser,
            state,
            shortage,
        })
    }

    /// Waits for a slot until the deadline of the ticket.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: AcquireRequest,
    ) -> Result<HeldSlot, AcquireError> {
        let now = Instant::now();
        let expires_at = request.ticket.expires_at;
        let view = self.view_cache.view();
        self.check_availability(&view, &request.demand, now)?;
        let (sender, receiver) = channel::bounded(1);
        let id = self.enqueue(&view, request, sender, now)?;
        let guard = WaitGuard {
            scheduler: self,
            id,
        };
        let timer = async {
            smol::Timer::at(expires_at).await;
            Err(channel::RecvError)
        };
        // An error means that the request was removed from its queue or timed out.
        // A slot may have been assigned at the same moment, so that is checked below.
        let _ = futures_lite::future::or(receiver.recv(), timer).await;
        let Some(choice) = guard.take_assigned() else {
            return Err(AcquireError::Expired {
                retry_at: Instant::now() + RETRY_DELAY,
            });
        };
        Ok(HeldSlot::new(choice, Arc::clone(self)))
    }

    /// Spends the cost of a retry from the retry budget; returns whether it sufficed.
    pub(crate) fn spend_retry(&self) -> bool {
        self.state
            .lock()
            .expect("scheduler lock")
            .budget
            .try_withdraw()
    }

    /// Credits the retry budget for the first attempt of a request.
    pub(crate) fn earn_retry(&self) {
        self.state.lock().expect("scheduler lock").budget.deposit();
    }

    /// Releases a slot and assigns free slots to waiting requests.
    pub(crate) fn release(&self, target: &TargetId) {
        let mut state = self.state.lock().expect("scheduler lock");
        if let Some(lease) = state.slot_leases.get_mut(target) {
            lease.release();
        }
        let view = self.view_cache.view();
        self.serve_waiting(&mut state, &view, Instant::now());
    }

    /// Drops the grant of a target.
    pub(crate) fn drop_grant(&self, target: &TargetId) {
        let mut state = self.state.lock().expect("scheduler lock");
        if let Some(lease) = state.slot_leases.get_mut(target) {
            lease.drop_grant();
        }
    }

    /// Suspends a target after a failure: no request is started there for a while.
    pub(crate) fn suspend(&self, target: &TargetId) {
        let mut state = self.state.lock().expect("scheduler lock");
        if let Some(lease) = state.slot_leases.get_mut(target) {
            lease.suspend(Instant::now());
        }
    }

    /// Applies a grant and assigns its slots to waiting requests.
    pub(crate) fn apply_grant(&self, grant: &SlotGrant) {
        let mut state = self.state.lock().expect("scheduler lock");
        let Some(lease) = state.slot_leases.get_mut(&grant.target) else {
            return;
        };
        lease.apply(grant);
        let view = self.view_cache.view();
        self.serve_waiting(&mut state, &view, Instant::now());
    }

    /// Returns the slot requests due at `now`, and drops unused leases of targets that
    /// no longer exist.
    pub(crate) fn due_requests(&self, now: Instant) -> Vec<SlotRequest> {
        let view = self.view_cache.view();
        let mut state = self.state.lock().expect("scheduler lock");
        state.remove_expired(now);
        let mut wanted = self.wanted_slots(&mut state, &view, now);
        for (name, lease) in &state.slot_leases {
            if lease.is_renewal_due(now) && !wanted.contains_key(name) {
                let limit = view.table.get(name).map_or(0, |target| target.slots);
                wanted.insert(name.clone(), lease.headroom(limit));
            }
        }
        let mut requests = Vec::new();
        for (name, count) in wanted {
            let Some(lease) = state.slot_leases.get_mut(&name) else {
                continue;
            };
            requests.push(lease.next_request(view.list.epoch, count, now));
        }
        state
            .slot_leases
            .retain(|name, lease| lease.in_use() > 0 || view.table.get(name).is_some());
        requests
    }

    /// Returns whether `target` is open and unchanged in the newest records.
    pub(crate) fn is_open(&self, target: &RouteTarget, now: Instant) -> bool {
        self.finder.is_open(target, now)
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting_count(&self) -> usize {
        let state = self.state.lock().expect("scheduler lock");
        state.queues.values().map(|queue| queue.len()).sum()
    }

    /// Returns an error if the view is stale or no target serves `demand`.
    fn check_availability(
        &self,
        view: &RouterView,
        demand: &SlotDemand,
        now: Instant,
    ) -> Result<(), AcquireError> {
        let retry_at = now + RETRY_DELAY;
        if !self.view_cache.is_fresh(&[ViewKey::Config], now) {
            return Err(AcquireError::StaleView { retry_at });
        }
        if self.finder.candidates(view, demand, now).is_empty() {
            return Err(AcquireError::NoTarget { retry_at });
        }
        Ok(())
    }

    /// Queues a request, assigns it a slot if one is free, and returns its id.
    fn enqueue(
        &self,
        view: &RouterView,
        request: AcquireRequest,
        sender: Sender<()>,
        now: Instant,
    ) -> Result<u64, AcquireError> {
        let mut state = self.state.lock().expect("scheduler lock");
        state.next_id += 1;
        let id = state.next_id;
        let queue = state
            .queues
            .entry(request.demand)
            .or_insert_with(|| Box::<FairQueue>::default());
        queue.push(
            QueueTicket {
                id,
                ..request.ticket
            },
            now,
        )?;
        state.waiters.insert(
            id,
            SlotWaiter {
                hint: request.hint,
                avoid: request.avoid,
                sender,
            },
        );
        self.serve_waiting(&mut state, view, now);
        if state.waiters.contains_key(&id) {
            let _ = self.shortage.try_send(());
        }
        Ok(id)
    }

    /// Assigns spare slots to waiting requests in queue order.
    fn serve_waiting(&self, state: &mut SchedulerState, view: &RouterView, now: Instant) {
        let SchedulerState {
            slot_leases,
            queues,
            waiters,
            assigned,
            unknown_targets,
            ..
        } = state;
        for (demand, queue) in queues {
            if queue.is_empty() {
                continue;
            }
            let candidates = self.finder.candidates(view, demand, now);
            while let Some(lowest) = lowest_servable_class(&candidates, slot_leases, now) {
                let Some(ticket) = queue.pop(lowest, now) else {
                    break;
                };
                let Some(waiter) = waiters.remove(&ticket.id) else {
                    continue;
                };
                let class = ticket.class;
                let Some(choice) = self.choose(&candidates, slot_leases, &waiter, class, now)
                else {
                    break;
                };
                for name in &choice.passed_over {
                    let state = slot_leases.get(name).map(|lease| lease.state(now));
                    if state.is_none_or(|state| state.is_unknown()) {
                        unknown_targets.insert(name.clone());
                    }
                }
                assigned.insert(ticket.id, choice);
                let _ = waiter.sender.try_send(());
            }
        }
    }

    /// Acquires a slot on the best-ranked candidate that has a usable one. The target
    /// to avoid ranks last.
    fn choose(
        &self,
        candidates: &[&RouteTarget],
        slot_leases: &mut HashMap<TargetId, SlotLease>,
        waiter: &SlotWaiter,
        class: RequestClass,
        now: Instant,
    ) -> Option<SlotChoice> {
        let loads = self.finder.loads(candidates, slot_leases, now);
        let mut order = self.chooser.rank(&loads, &waiter.hint);
        order.sort_by_key(|index| waiter.avoid.as_ref() == Some(&loads[*index].target));
        let mut passed_over = Vec::new();
        for index in order {
            let target = candidates[index];
            let lease = slot_leases.get_mut(&target.target);
            let lease = lease.filter(|lease| usable_slots(lease, target, class, now) > 0);
            if let Some(permit) = lease.and_then(|lease| lease.acquire(target.generation, now)) {
                return Some(SlotChoice {
                    permit,
                    target: target.clone(),
                    passed_over,
                });
            }
            if passed_over.len() < MAX_PASSED_OVER {
                passed_over.push(target.target.clone());
            }
        }
        None
    }

    /// Returns the number of slots to request from each target for the queues.
    fn wanted_slots(
        &self,
        state: &mut SchedulerState,
        view: &RouterView,
        now: Instant,
    ) -> BTreeMap<TargetId, u32> {
        let mut wanted = BTreeMap::new();
        for name in std::mem::take(&mut state.unknown_targets) {
            let lease = state
                .slot_leases
                .entry(name.clone())
                .or_insert_with(|| self.new_lease(&name));
            if lease.may_request(now) && view.table.get(&name).is_some() {
                wanted.insert(name, 1);
            }
        }
        let SchedulerState {
            slot_leases,
            queues,
            ..
        } = state;
        for (demand, queue) in queues {
            if queue.is_empty() {
                continue;
            }
            let candidates = self.finder.candidates(view, demand, now);
            let loads = self.finder.loads(&candidates, slot_leases, now);
            let count = u32::try_from(queue.len())
                .unwrap_or(MAX_COUNTED_REQUESTS)
                .min(MAX_COUNTED_REQUESTS);
            let count = count.div_ceil(QUEUE_LENGTH_DIVISOR);
            let mut requested = 0;
            for index in self.chooser.rank(&loads, &ChoiceHint::default()) {
                let name = &candidates[index].target;
                let lease = slot_leases
                    .entry(name.clone())
                    .or_insert_with(|| self.new_lease(name));
                if requested == MAX_REQUESTED_TARGETS {
                    break;
                }
                if !lease.may_request(now) {
                    continue;
                }
                wanted.insert(name.clone(), count);
                requested += 1;
            }
        }
        wanted
    }

    fn new_lease(&self, target: &TargetId) -> SlotLease {
        SlotLease::new(target.clone(), self.own_id.clone(), self.incarnation)
    }
}

/// Removes a request from its queue, or releases the slot assigned to it, when the
/// wait ends early.
struct WaitGuard<'a> {
    scheduler: &'a SlotScheduler,
    id: u64,
}

impl WaitGuard<'_> {
    fn take_assigned(&self) -> Option<SlotChoice> {
        self.scheduler
            .state
            .lock()
            .expect("scheduler lock")
            .assigned
            .remove(&self.id)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.scheduler.state.lock().expect("scheduler lock");
        if let Some(choice) = state.assigned.remove(&self.id) {
            drop(state);
            self.scheduler.release(&choice.permit.target);
            return;
        }
        if state.waiters.remove(&self.id).is_none() {
            return;
        }
        for queue in state.queues.values_mut() {
            if queue.cancel(self.id) {
                return;
            }
        }
    }
}
