//! The border behind which ways of queueing vary.

use std::time::Instant;

use super::QueueError;
use super::QueueTicket;
use super::RequestClass;

/// Keeps the requests that wait for a slot.
pub trait WaitQueue: Send {
    /// Adds a request, or turns it away at once.
    fn push(&mut self, ticket: QueueTicket, now: Instant) -> Result<(), QueueError>;

    /// Takes the request that is served next, among those of class `lowest`
    /// and the more urgent ones.
    fn pop(&mut self, lowest: RequestClass, now: Instant) -> Option<QueueTicket>;

    /// Takes out the requests whose time has passed.
    fn expire(&mut self, now: Instant) -> Vec<QueueTicket>;

    /// Takes out one request, whose caller has gone.
    fn cancel(&mut self, id: u64) -> bool;

    /// Returns how many requests wait.
    fn len(&self) -> usize;

    /// Tells whether no request waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
