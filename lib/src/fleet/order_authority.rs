//! Whether a router may give orders to engines.

use std::time::Duration;

use crate::ids::Fence;

/// Time since a VM was booted, suspended time included.
pub type BootTime = Duration;

/// The right of the holder of the placer's lock.
///
/// It holds while the lease does. When the store answers nobody here, the lease may
/// have lapsed, but nobody can take the lock from a store that is down. Where only
/// this router is cut off, the next holder has a higher fence, which engines refuse
/// to forget and peers tell; the right ends at the first sign of it, for good.
#[derive(Clone, Debug, Default)]
pub struct OrderAuthority {
    fence: Option<Fence>,
    valid_until: Option<BootTime>,
    failed_calls: u32,
    revoked: Option<Fence>,
}

impl OrderAuthority {
    /// Notes that the lease has been renewed until `valid_until`.
    pub fn lease_renewed(&mut self, valid_until: BootTime) {
        self.valid_until = Some(valid_until);
        self.failed_calls = 0;
    }

    /// Notes that the store did not answer, or turned the call away.
    pub fn store_failed(&mut self) {
        self.failed_calls = self.failed_calls.saturating_add(1);
    }

    /// Notes that the store says the lease has lapsed.
    pub fn lease_expired(&mut self) {
        *self = Self {
            revoked: self.revoked,
            ..Self::default()
        };
    }

    /// Notes that the lock was taken; its version is the fence.
    pub fn lock_acquired(&mut self, fence: Fence) {
        self.fence = Some(fence);
    }

    /// Takes over the right of a peer that stops while the store is away; tells
    /// whether it was taken. It ends when the store shows who holds the lock.
    pub fn take_over(&mut self, fence: Fence) -> bool {
        let is_revoked = self.revoked.is_some_and(|revoked| revoked >= fence);
        let is_free = self.fence.is_none_or(|own| own < fence);
        let is_taken = self.failed_calls > 0 && is_free && !is_revoked;
        if is_taken {
            self.fence = Some(fence);
            self.valid_until = None;
        }
        is_taken
    }

    /// Notes that the lock is free or somebody else's.
    pub fn lock_lost(&mut self) {
        self.fence = None;
    }

    /// Ends the right under `fence` and all below: an engine has refused it.
    pub fn revoke(&mut self, fence: Fence) {
        self.revoked = self.revoked.max(Some(fence));
    }

    /// Takes the fence of a peer that gives orders.
    pub fn observe_peer_fence(&mut self, fence: Fence) {
        if let Some(own) = self.fence.filter(|own| *own < fence) {
            self.revoke(own);
        }
    }

    /// Returns the fence of the lock, whether or not the right holds.
    pub fn fence(&self) -> Option<Fence> {
        self.fence
    }

    /// Returns the fence under which orders may be given at `now`.
    pub fn current(&self, now: BootTime) -> Option<Fence> {
        let fence = self.fence?;
        let is_leased = self.valid_until.is_some_and(|until| now < until);
        // A frozen process wakes with a lapsed lease and no failed call.
        let is_store_unreachable = self.failed_calls > 0;
        let is_revoked = self.revoked.is_some_and(|revoked| revoked >= fence);
        ((is_leased || is_store_unreachable) && !is_revoked).then_some(fence)
    }
}
