//! Home-side record of one router that holds slots.

use std::time::Instant;

use super::SlotRequest;
use crate::ids::Incarnation;

/// Newest request of a router and the grant that answered it.
///
/// A router applies only the grant that answers its newest request. Once the
/// home has received that request, all earlier grants are void, whether or not
/// they were delivered. Until the new grant arrives, the router may use only the
/// slots that it reported in the request.
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

    /// Records a newer request, which voids the previous grant.
    pub(super) fn observe(&mut self, request: &SlotRequest, lease_expires_at: Instant) {
        self.number = request.number;
        self.in_use = request.in_use;
        self.holding = request.holding;
        self.granted = 0;
        self.demand = request.in_use.saturating_add(request.wanted);
        self.lease_expires_at = lease_expires_at;
    }

    /// Records the number of slots granted for the newest request.
    pub(super) fn grant(&mut self, slots: u32) {
        self.granted = slots;
    }

    /// Returns the slots charged to the router: an upper bound on the requests
    /// that it may have in progress.
    ///
    /// An expired grant still counts, because the router may have started
    /// requests under it after it sent its newest request.
    pub(super) fn charge(&self) -> u32 {
        self.in_use.max(self.holding).max(self.granted)
    }
}
