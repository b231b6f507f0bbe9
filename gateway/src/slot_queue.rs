//! Queue of requests that wait for a slot.

use std::sync::Mutex;

use jujuberoad::fleet::PoolKey;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

/// Waiting requests, ordered by priority and then by arrival.
#[derive(Default)]
pub(crate) struct SlotQueue {
    state: Mutex<QueueState>,
}

#[derive(Default)]
struct QueueState {
    next_number: u64,
    waiters: Vec<SlotWaiter>,
}

struct SlotWaiter {
    number: u64,
    priority: u32,
    pool: PoolKey,
    sender: Sender<()>,
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
        let (sender, wakeups) = channel::bounded(1);
        let mut state = self.state.lock().expect("queue lock");
        let number = state.next_number;
        state.next_number += 1;
        let waiter = SlotWaiter {
            number,
            priority,
            pool,
            sender,
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

    /// Returns the number of waiting requests in all pools.
    pub(crate) fn len(&self) -> usize {
        self.state.lock().expect("queue lock").waiters.len()
    }

    /// Wakes the first request of each pool.
    pub(crate) fn wake_first(&self) {
        let state = self.state.lock().expect("queue lock");
        let mut seen: Vec<&PoolKey> = Vec::new();
        for waiter in &state.waiters {
            if seen.contains(&&waiter.pool) {
                continue;
            }
            seen.push(&waiter.pool);
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

impl QueueEntry<'_> {
    /// Returns whether no other request for the same pool precedes this one.
    pub(crate) fn is_first(&self) -> bool {
        let state = self.queue.state.lock().expect("queue lock");
        let Some(own) = state.waiters.iter().find(|w| w.number == self.number) else {
            return false;
        };
        let first = state.waiters.iter().find(|waiter| waiter.pool == own.pool);
        first.is_some_and(|first| first.number == self.number)
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.state.lock().expect("queue lock");
        state.waiters.retain(|waiter| waiter.number != self.number);
        drop(state);
        self.queue.wake_first();
    }
}
