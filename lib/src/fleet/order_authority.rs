//! Decides whether a router may send orders to engines.

use std::time::Duration;

use crate::ids::Fence;

/// Time since the VM booted, including time in suspension.
pub type BootTime = Duration;

/// Authority of the holder of the placer lock to send orders.
///
/// It is valid while the lease is. When the store does not respond, the lease may have
/// expired, but nobody can acquire the lock from a store that is down, so the authority
/// stays valid. If only this router is cut off from the store, the next holder gets a
/// higher fence. Engines reject orders with a lower fence than they have seen, and peers
/// announce theirs. The first sign of a higher fence revokes the authority permanently.
#[derive(Clone, Debug, Default)]
pub struct OrderAuthority {
    fence: Option<Fence>,
    valid_until: Option<BootTime>,
    failed_calls: u32,
    revoked: Option<Fence>,
}

impl OrderAuthority {
    /// Records a lease renewal until `valid_until`.
    pub fn lease_renewed(&mut self, valid_until: BootTime) {
        self.valid_until = Some(valid_until);
        self.failed_calls = 0;
    }

    /// Records that the store did not respond or rejected a call.
    pub fn store_failed(&mut self) {
        self.failed_calls = self.failed_calls.saturating_add(1);
    }

    /// Records that the store has reported the lease as expired.
    pub fn lease_expired(&mut self) {
        *self = Self {
            revoked: self.revoked,
            ..Self::default()
        };
    }

    /// Records that the lock was acquired; its version is the fence.
    pub fn lock_acquired(&mut self, fence: Fence) {
        self.fence = Some(fence);
    }

    /// Takes over the authority of a peer that shuts down while the store is unreachable;
    /// returns whether it did. It ends when the store shows who holds the lock.
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

    /// Records that the lock is free or has another holder.
    pub fn lock_lost(&mut self) {
        self.fence = None;
    }

    /// Revokes the authority of `fence` and all lower ones after an engine has rejected it.
    pub fn revoke(&mut self, fence: Fence) {
        self.revoked = self.revoked.max(Some(fence));
    }

    /// Records the fence of a peer that sends orders; a higher one revokes the own fence.
    pub fn observe_peer_fence(&mut self, fence: Fence) {
        if let Some(own) = self.fence.filter(|own| *own < fence) {
            self.revoke(own);
        }
    }

    /// Returns the fence of the lock, whether or not the authority is valid.
    pub fn fence(&self) -> Option<Fence> {
        self.fence
    }

    /// Returns the fence for orders at `now`, or `None` if no orders may be sent.
    pub fn current(&self, now: BootTime) -> Option<Fence> {
        let fence = self.fence?;
        let is_leased = self.valid_until.is_some_and(|until| now < until);
        // A process that resumes from suspension has an expired lease but no failed call,
        // so an expired lease alone does not count as an unreachable store.
        let is_store_unreachable = self.failed_calls > 0;
        let is_revoked = self.revoked.is_some_and(|revoked| revoked >= fence);
        ((is_leased || is_store_unreachable) && !is_revoked).then_some(fence)
    }
}
