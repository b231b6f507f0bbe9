//! Queue of requests that wait for a slot.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

use jujuberoad::admission::overload::PoolPressure;
use jujuberoad::admission::overload::RequestRank;
use jujuberoad::admission::overload::WaitingRequest;
use jujuberoad::fleet::PoolKey;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

/// Waiting requests, ordered by priority and then by arrival, or by [`WaitingRequest::rank`].
#[derive(Default)]
pub(crate) struct SlotQueue {
    state: Mutex<QueueState>,
}

#[derive(Default)]
struct QueueState {
    next_number: u64,
    waiters: Vec<SlotWaiter>,
    /// Requests of the fleet as last seen, for pools whose requests are ordered by rank.
    pressures: HashMap<PoolKey, PoolPressure>,
}

struct SlotWaiter {
    number: u64,
    priority: u32,
    pool: PoolKey,
    sender: Sender<()>,
    /// Absent for a request that precedes all others, and where the order is by priority.
    request: Option<WaitingRequest>,
}

/// A request's entry in the queue; dropping it removes the request.
pub(crate) struct QueueEntry<'a> {
    queue: &'a SlotQueue,
    number: u64,
    pub(crate) wakeups: Receiver<()>,
}

impl SlotQueue {
    /// Enqueues a request for a pool.
    pub(crate) fn enqueue(&self, pool: PoolKey, priority: u32) -> QueueEntry<'_> {
        self.insert(pool, priority, None)
    }

    /// Enqueues a request for a pool whose requests are ordered by rank.
    pub(crate) fn enqueue_ordered(
        &self,
        pool: &PoolKey,
        request: WaitingRequest,
    ) -> QueueEntry<'_> {
        let priority = request.priority.saturating_add(1);
        self.insert(pool.clone(), priority, Some(request))
    }

    fn insert(
        &self,
        pool: PoolKey,
        priority: u32,
        request: Option<WaitingRequest>,
    ) -> QueueEntry<'_> {
        let (sender, wakeups) = channel::bounded(1);
        let mut state = self.state.lock().expect("queue lock");
        let number = state.next_number;
        state.next_number += 1;
        let waiter = SlotWaiter {
            number,
            priority,
            pool,
            sender,
            request,
        };
        let key = (priority, number);
        let index = state
            .waiters
            .partition_point(|other| (other.priority, other.number) < key);
        state.waiters.insert(index, waiter);
        QueueEntry {
            queue: self,
            number,
            wakeups,
        }
    }

    /// Returns the number of requests for `pool` that precede a new one of `priority`.
    pub(crate) fn count_ahead(&self, pool: &PoolKey, priority: u32) -> usize {
        let state = self.state.lock().expect("queue lock");
        let waiters = state.waiters.iter();
        waiters
            .filter(|waiter| waiter.pool == *pool && waiter.priority <= priority)
            .count()
    }

    /// Returns whether a waiting request for `pool` precedes a new one.
    pub(crate) fn has_earlier(
        &self,
        pool: &PoolKey,
        request: &WaitingRequest,
        pressure: &PoolPressure,
        now: Instant,
    ) -> bool {
        let state = self.state.lock().expect("queue lock");
        let rank = request.rank(state.next_number, pressure, now);
        let mut waiters = state.waiters.iter();
        waiters.any(|waiter| waiter.pool == *pool && waiter.rank(pressure, now) < Some(rank))
    }

    /// Returns the number of requests for `pool` that wait and can no longer be on time.
    pub(crate) fn count_late(&self, pool: &PoolKey, now: Instant) -> usize {
        let state = self.state.lock().expect("queue lock");
        let waiters = state.waiters.iter();
        waiters
            .filter(|waiter| {
                let request = waiter.request.as_ref();
                waiter.pool == *pool && request.is_some_and(|request| request.is_late(now))
            })
            .count()
    }

    /// Returns the number of waiting requests in all pools.
    pub(crate) fn len(&self) -> usize {
        self.state.lock().expect("queue lock").waiters.len()
    }

    /// Wakes the first request of each pool.
    pub(crate) fn wake_first(&self) {
        let state = self.state.lock().expect("queue lock");
        let now = Instant::now();
        let mut seen: Vec<&PoolKey> = Vec::new();
        for waiter in &state.waiters {
            if seen.contains(&&waiter.pool) {
                continue;
            }
            seen.push(&waiter.pool);
            let Some(waiter) = state.first(&waiter.pool, now) else {
                continue;
            };
            // A full channel means that a wakeup is already pending.
            let _ = waiter.sender.try_send(());
        }
    }

    /// Wakes all requests.
    pub(crate) fn wake_all(&self) {
        let state = self.state.lock().expect("queue lock");
        for waiter in &state.waiters {
            let _ = waiter.sender.try_send(());
        }
    }
}

impl QueueState {
    /// Returns the request for `pool` that is served next.
    fn first(&self, pool: &PoolKey, now: Instant) -> Option<&SlotWaiter> {
        let mut waiters = self.waiters.iter().filter(|waiter| waiter.pool == *pool);
        match self.pressures.get(pool) {
            Some(pressure) => waiters.min_by_key(|waiter| waiter.rank(pressure, now)),
            None => waiters.next(),
        }
    }
}

impl SlotWaiter {
    /// Returns the place of the request in the order; resumed streams precede all others.
    fn rank(&self, pressure: &PoolPressure, now: Instant) -> Option<RequestRank> {
        let request = self.request.as_ref()?;
        Some(request.rank(self.number, pressure, now))
    }
}

impl QueueEntry<'_> {
    /// Returns whether no other request for the same pool precedes this one by rank. Wakeups go
    /// to the first request by the same `pressure`.
    pub(crate) fn is_first_by(&self, pressure: &PoolPressure, now: Instant) -> bool {
        let mut state = self.queue.state.lock().expect("queue lock");
        let Some(own) = state.waiters.iter().find(|w| w.number == self.number) else {
            return false;
        };
        let pool = own.pool.clone();
        state.pressures.insert(pool.clone(), pressure.clone());
        let first = state.first(&pool, now);
        first.is_some_and(|first| first.number == self.number)
    }

    /// Returns whether no other request for the same pool precedes this one.
    pub(crate) fn is_first(&self) -> bool {
        let state = self.queue.state.lock().expect("queue lock");
        let Some(own) = state.waiters.iter().find(|w| w.number == self.number) else {
            return false;
        };
        let first = state.first(&own.pool, Instant::now());
        first.is_some_and(|first| first.number == self.number)
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.state.lock().expect("queue lock");
        state.waiters.retain(|waiter| waiter.number != self.number);
        if state.waiters.is_empty() {
            state.pressures.clear();
        }
        drop(state);
        self.queue.wake_first();
    }
}
