//! What a home knows about one router that holds slots.

use std::time::Instant;

use super::SlotRequest;
use crate::ids::Incarnation;

/// A promise of slots that the router may have acted on.
#[derive(Clone, Copy, Debug)]
struct SlotPromise {
    number: u64,
    slots: u32,
}

/// The newest request of a router and the promises made to it.
#[derive(Clone, Debug)]
pub(super) struct SlotHolder {
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
    pub(super) in_use: u32,
    pub(super) desired: u32,
    pub(super) turn_from: Instant,
    pub(super) silent_at: Instant,
    promises: Vec<SlotPromise>,
}

impl SlotHolder {
    pub(super) fn new(incarnation: Incarnation, now: Instant, silent_at: Instant) -> Self {
        Self {
            incarnation,
            number: 0,
            in_use: 0,
            desired: 0,
            turn_from: now,
            silent_at,
            promises: Vec::new(),
        }
    }

    /// Takes a newer request; promises older than the applied one are void.
    ///
    /// A promise that has ended by time alone is kept: the router may have used
    /// it after it sent its newest request.
    pub(super) fn observe(&mut self, request: &SlotRequest, silent_at: Instant) {
        self.number = request.number;
        self.in_use = request.in_use;
        self.desired = request.in_use.saturating_add(request.wanted);
        self.silent_at = silent_at;
        self.promises
            .retain(|promise| promise.number >= request.applied);
    }

    pub(super) fn promise(&mut self, number: u64, slots: u32) {
        self.promises.push(SlotPromise { number, slots });
    }

    /// Returns the most requests that the router may have in progress.
    pub(super) fn charge(&self) -> u32 {
        self.promises
            .iter()
            .map(|promise| promise.slots)
            .fold(self.in_use, u32::max)
    }
}
