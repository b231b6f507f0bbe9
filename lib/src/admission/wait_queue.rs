//! Interface of the queueing disciplines.

use std::time::Instant;

use super::QueueError;
use super::QueueTicket;
use super::RequestClass;

/// Queue of requests that wait for a slot.
pub trait WaitQueue: Send {
    /// Adds a request, or rejects it immediately.
    fn push(&mut self, ticket: QueueTicket, now: Instant) -> Result<(), QueueError>;

    /// Removes and returns the next request among those of class `lowest` and more
    /// urgent ones.
    fn pop(&mut self, lowest: RequestClass, now: Instant) -> Option<QueueTicket>;

    /// Removes and returns the requests whose deadline has passed.
    fn expire(&mut self, now: Instant) -> Vec<QueueTicket>;

    /// Removes the request of a caller that has disconnected; returns whether it was
    /// waiting.
    fn cancel(&mut self, id: u64) -> bool;

    /// Returns the number of waiting requests.
    fn len(&self) -> usize;

    /// Returns whether no request is waiting.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
