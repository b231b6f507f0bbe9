//! What a home knows about one router that holds slots.

use std::time::Instant;

use super::SlotRequest;
use crate::ids::Incarnation;

/// A promise of slots that the router may still act on.
#[derive(Clone, Copy, Debug)]
struct SlotPromise {
    number: u64,
    slots: u32,
    ends_at: Instant,
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
    pub(super) fn observe(&mut self, request: &SlotRequest, now: Instant, silent_at: Instant) {
        self.number = request.number;
        self.in_use = request.in_use;
        self.desired = request.in_use.saturating_add(request.wanted);
        self.silent_at = silent_at;
        self.promises
            .retain(|promise| promise.number >= request.applied && now < promise.ends_at);
    }

    pub(super) fn promise(&mut self, number: u64, slots: u32, ends_at: Instant) {
        self.promises.push(SlotPromise {
            number,
            slots,
            ends_at,
        });
    }

    /// Returns the most requests that the router may have in progress.
    pub(super) fn charge(&self, now: Instant) -> u32 {
        let live = self.promises.iter().filter(|promise| now < promise.ends_at);
        live.map(|promise| promise.slots)
            .fold(self.in_use, u32::max)
    }

    /// Returns the charge as it was before the router fell silent.
    pub(super) fn charge_when_silent(&self) -> u32 {
        self.promises
            .iter()
            .map(|promise| promise.slots)
            .fold(self.in_use, u32::max)
    }
}
