//! What a home knows about one router that holds slots.

use std::time::Instant;

use super::SlotRequest;
use crate::ids::Incarnation;

/// The newest request of a router and the answer to it.
///
/// A router applies no answer but that to its newest request. When the home
/// has seen that request, all earlier answers are void, whether or not they
/// arrived: until the new one does, the router acts on what it says it holds.
#[derive(Clone, Debug)]
pub(super) struct SlotHolder {
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
    pub(super) in_use: u32,
    pub(super) demand: u32,
    pub(super) turn_started_at: Instant,
    pub(super) lease_expires_at: Instant,
    holding: u32,
    granted: u32,
}

impl SlotHolder {
    pub(super) fn new(incarnation: Incarnation, now: Instant, lease_expires_at: Instant) -> Self {
        Self {
            incarnation,
            number: 0,
            in_use: 0,
            demand: 0,
            turn_started_at: now,
            lease_expires_at,
            holding: 0,
            granted: 0,
        }
    }

    /// Takes a newer request.
    pub(super) fn observe(&mut self, request: &SlotRequest, lease_expires_at: Instant) {
        self.number = request.number;
        self.in_use = request.in_use;
        self.holding = request.holding;
        self.granted = 0;
        self.demand = request.in_use.saturating_add(request.wanted);
        self.lease_expires_at = lease_expires_at;
    }

    /// Notes the answer to the newest request.
    pub(super) fn grant(&mut self, slots: u32) {
        self.granted = slots;
    }

    /// Returns the most requests that the router may have in progress.
    ///
    /// An answer that has ended by time alone still counts: the router may have
    /// used it after it sent its newest request.
    pub(super) fn charge(&self) -> u32 {
        self.in_use.max(self.holding).max(self.granted)
    }
}
