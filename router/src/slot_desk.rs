//! Slots and queues of one router.

use crate::acquire_request::AcquireRequest;
use crate::target_finder::lowest_servable_class;
use crate::target_finder::usable_slots;
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
use crate::desk_state::DeskState;
use crate::desk_state::SlotWaiter;
use crate::held_slot::HeldSlot;
use crate::router_view::RouterView;
use crate::slot_choice::SlotChoice;
use crate::slot_demand::SlotDemand;
use crate::target_finder::TargetFinder;
use crate::view_board::ViewBoard;

/// Targets that are asked for slots at a time on behalf of one queue.
const TARGETS_ASKED: usize = 4;
/// Part of a queue for which each of them is asked.
const QUEUE_DIVISOR: u32 = 2;
/// Most slots that are asked for at a time.
const MAX_WANTED: u32 = 64;
/// Targets passed over that are named in the log.
const MAX_PASSED_OVER: usize = 3;
/// Time after which callers come back when nothing could serve them.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Hands slots to requests and keeps the ones that wait.
pub(crate) struct SlotDesk {
    own: RouterId,
    incarnation: Incarnation,
    board: Arc<ViewBoard>,
    finder: TargetFinder,
    chooser: Box<dyn TargetChooser>,
    state: Mutex<DeskState>,
    shortage: Sender<()>,
}

impl SlotDesk {
    /// Opens the desk of router `own`; `shortage` is signalled when slots are
    /// to be asked for.
    pub(crate) fn new(
        own: RouterId,
        zone: ZoneId,
        incarnation: Incarnation,
        board: Arc<ViewBoard>,
        chooser: Box<dyn TargetChooser>,
        shortage: Sender<()>,
    ) -> Arc<Self> {
        let state = Mutex::default();
        let finder = TargetFinder::new(zone, Arc::clone(&board));
        Arc::new(Self {
            own,
            incarnation,
            board,
            finder,
            chooser,
            state,
            shortage,
        })
    }

    /// Waits for a slot; the ticket's deadline bounds the wait.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        ask: AcquireRequest,
    ) -> Result<HeldSlot, AcquireError> {
        let now = Instant::now();
        let expires_at = ask.ticket.expires_at;
        let view = self.board.view();
        self.check_service(&view, &ask.demand, now)?;
        let (sender, receiver) = channel::bounded(1);
        let id = self.enqueue(&view, ask, sender, now)?;
        let wait = WaitEnd { desk: self, id };
        let timer = async {
            smol::Timer::at(expires_at).await;
            Err(channel::RecvError)
        };
        // An error means that the request was turned away or that its time is up.
        let _ = futures_lite::future::or(receiver.recv(), timer).await;
        let Some(choice) = wait.take_served() else {
            return Err(AcquireError::Expired {
                retry_at: Instant::now() + RETRY_PAUSE,
            });
        };
        Ok(HeldSlot::new(choice, Arc::clone(self)))
    }

    /// Tells whether a retry may be made, and pays for it.
    pub(crate) fn spend_retry(&self) -> bool {
        self.state.lock().expect("desk lock").budget.try_withdraw()
    }

    /// Notes the first attempt of a request.
    pub(crate) fn earn_retry(&self) {
        self.state.lock().expect("desk lock").budget.deposit();
    }

    /// Takes a slot back and hands it to the request that is next.
    pub(crate) fn finish(&self, target: &TargetId) {
        let mut state = self.state.lock().expect("desk lock");
        if let Some(lease) = state.slot_leases.get_mut(target) {
            lease.release();
        }
        let view = self.board.view();
        self.serve_waiting(&mut state, &view, Instant::now());
    }

    /// Forgets the grant of a target.
    pub(crate) fn drop_grant(&self, target: &TargetId) {
        let mut state = self.state.lock().expect("desk lock");
        if let Some(lease) = state.slot_leases.get_mut(target) {
            lease.drop_grant();
        }
    }

    /// Starts nothing on a target for a while, after a failure there.
    pub(crate) fn suspend(&self, target: &TargetId) {
        let mut state = self.state.lock().expect("desk lock");
        if let Some(lease) = state.slot_leases.get_mut(target) {
            lease.suspend(Instant::now());
        }
    }

    /// Applies a grant and serves the requests that wait.
    pub(crate) fn apply(&self, grant: &SlotGrant) {
        let mut state = self.state.lock().expect("desk lock");
        let Some(lease) = state.slot_leases.get_mut(&grant.target) else {
            return;
        };
        lease.apply(grant);
        let view = self.board.view();
        self.serve_waiting(&mut state, &view, Instant::now());
    }

    /// Returns the requests for slots that are due now.
    pub(crate) fn due_requests(&self, now: Instant) -> Vec<SlotRequest> {
        let view = self.board.view();
        let mut state = self.state.lock().expect("desk lock");
        state.turn_away_expired(now);
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

    /// Tells whether the newest records still allow work on `target` as it was.
    pub(crate) fn is_open(&self, target: &RouteTarget, now: Instant) -> bool {
        self.finder.is_open(target, now)
    }

    /// Returns how many requests wait.
    pub(crate) fn waiting(&self) -> usize {
        let state = self.state.lock().expect("desk lock");
        state.queues.values().map(|queue| queue.len()).sum()
    }

    fn check_service(
        &self,
        view: &RouterView,
        demand: &SlotDemand,
        now: Instant,
    ) -> Result<(), AcquireError> {
        let retry_at = now + RETRY_PAUSE;
        if !self.board.is_fresh(&[ViewKey::Config], now) {
            return Err(AcquireError::StaleView { retry_at });
        }
        if self.finder.candidates(view, demand, now).is_empty() {
            return Err(AcquireError::NoTarget { retry_at });
        }
        Ok(())
    }

    fn enqueue(
        &self,
        view: &RouterView,
        ask: AcquireRequest,
        sender: Sender<()>,
        now: Instant,
    ) -> Result<u64, AcquireError> {
        let mut state = self.state.lock().expect("desk lock");
        state.next_id += 1;
        let id = state.next_id;
        let queue = state
            .queues
            .entry(ask.demand)
            .or_insert_with(|| Box::<FairQueue>::default());
        queue.push(QueueTicket { id, ..ask.ticket }, now)?;
        state.waiters.insert(
            id,
            SlotWaiter {
                hint: ask.hint,
                avoid: ask.avoid,
                sender,
            },
        );
        self.serve_waiting(&mut state, view, now);
        if state.waiters.contains_key(&id) {
            let _ = self.shortage.try_send(());
        }
        Ok(id)
    }

    /// Hands spare slots to requests that wait, in the order of their queues.
    fn serve_waiting(&self, state: &mut DeskState, view: &RouterView, now: Instant) {
        let DeskState {
            slot_leases,
            queues,
            waiters,
            served,
            unknown,
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
                        unknown.insert(name.clone());
                    }
                }
                served.insert(ticket.id, choice);
                let _ = waiter.sender.try_send(());
            }
        }
    }

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

    /// Returns for each target how many slots to ask for on behalf of the queues.
    fn wanted_slots(
        &self,
        state: &mut DeskState,
        view: &RouterView,
        now: Instant,
    ) -> BTreeMap<TargetId, u32> {
        let mut wanted = BTreeMap::new();
        for name in std::mem::take(&mut state.unknown) {
            let lease = state
                .slot_leases
                .entry(name.clone())
                .or_insert_with(|| self.lease(&name));
            if lease.may_request(now) && view.table.get(&name).is_some() {
                wanted.insert(name, 1);
            }
        }
        let DeskState {
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
                .unwrap_or(MAX_WANTED)
                .min(MAX_WANTED);
            let count = count.div_ceil(QUEUE_DIVISOR);
            let mut asked = 0;
            for index in self.chooser.rank(&loads, &ChoiceHint::default()) {
                let name = &candidates[index].target;
                let lease = slot_leases
                    .entry(name.clone())
                    .or_insert_with(|| self.lease(name));
                if asked == TARGETS_ASKED {
                    break;
                }
                if !lease.may_request(now) {
                    continue;
                }
                wanted.insert(name.clone(), count);
                asked += 1;
            }
        }
        wanted
    }

    fn lease(&self, target: &TargetId) -> SlotLease {
        SlotLease::new(target.clone(), self.own.clone(), self.incarnation)
    }
}

/// The wait of one request; leaves nothing behind when it is dropped.
struct WaitEnd<'a> {
    desk: &'a SlotDesk,
    id: u64,
}

impl WaitEnd<'_> {
    fn take_served(&self) -> Option<SlotChoice> {
        self.desk
            .state
            .lock()
            .expect("desk lock")
            .served
            .remove(&self.id)
    }
}

impl Drop for WaitEnd<'_> {
    fn drop(&mut self) {
        let mut state = self.desk.state.lock().expect("desk lock");
        if let Some(choice) = state.served.remove(&self.id) {
            drop(state);
            self.desk.finish(&choice.permit.target);
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
