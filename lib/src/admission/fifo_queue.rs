//! Unbounded FIFO queue, used as a baseline.

use std::collections::VecDeque;
use std::time::Instant;

use super::QueueError;
use super::QueueTicket;
use super::RequestClass;
use super::WaitQueue;

/// Serves requests in order of arrival, regardless of team and class.
#[derive(Debug, Default)]
pub struct FifoQueue {
    tickets: VecDeque<QueueTicket>,
}

impl WaitQueue for FifoQueue {
    fn push(&mut self, ticket: QueueTicket, _now: Instant) -> Result<(), QueueError> {
        self.tickets.push_back(ticket);
        Ok(())
    }

    fn pop(&mut self, _lowest: RequestClass, _now: Instant) -> Option<QueueTicket> {
        self.tickets.pop_front()
    }

    fn expire(&mut self, now: Instant) -> Vec<QueueTicket> {
        let tickets = std::mem::take(&mut self.tickets);
        let (expired, waiting): (Vec<_>, Vec<_>) = tickets
            .into_iter()
            .partition(|ticket| now >= ticket.expires_at);
        self.tickets = waiting.into();
        expired
    }

    fn cancel(&mut self, id: u64) -> bool {
        let before = self.tickets.len();
        self.tickets.retain(|ticket| ticket.id != id);
        self.tickets.len() < before
    }

    fn len(&self) -> usize {
        self.tickets.len()
    }
}
