//! Decides whether a router may send orders to engines.

use std::time::Duration;

use crate::era::StoreEra;
use crate::ids::Fence;

/// Time since the VM booted, including time in suspension.
pub type BootTime = Duration;

/// Time for which a failed call shows that the store is unreachable. Calls are at most a
/// second apart in an outage and take up to 1.5 s to fail.
const OUTAGE_EVIDENCE_TIME: Duration = Duration::from_millis(3_000);

/// Authority of the holder of the placer lock to send orders.
///
/// It is valid while the lease is. When the store does not respond, the lease may have
/// expired, but nobody can acquire the lock from a store that is down, so each failed call
/// keeps the authority valid for a while. A process that was suspended makes no calls, so its
/// authority ends. If only this router is cut off from the store, the next holder gets a
/// higher fence. Engines reject orders with a lower fence than they have seen, and peers
/// announce theirs. The first sign of a higher fence revokes the authority permanently.
#[derive(Clone, Debug, Default)]
pub struct OrderAuthority {
    fence: Option<Fence>,
    valid_until: Option<BootTime>,
    /// Time until which the last failed call keeps the authority valid.
    outage_until: Option<BootTime>,
    /// Era of the store in which the lock was acquired.
    era: StoreEra,
    /// Time before which no orders may be sent.
    orders_from: BootTime,
    revoked: Option<Fence>,
}

impl OrderAuthority {
    /// Records a lease renewal until `valid_until`.
    pub fn lease_renewed(&mut self, valid_until: BootTime) {
        self.valid_until = Some(valid_until);
        self.outage_until = None;
    }

    /// Records that the store was restored from a copy. The lock and the lease are lost even
    /// if they reappear, because the copy may be older than their loss.
    pub fn era_begun(&mut self, era: StoreEra) {
        self.revoked = self.revoked.max(self.fence);
        *self = Self {
            era,
            revoked: self.revoked,
            ..Self::default()
        };
    }

    /// Returns the era of the store that the authority belongs to.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Delays orders until `at`, so that a holder of an earlier era hears of the new one.
    pub fn delay_orders(&mut self, at: BootTime) {
        self.orders_from = self.orders_from.max(at);
    }

    /// Records that the store did not respond or rejected a call. That keeps the authority
    /// valid only if it still was: a call that fails after the process was suspended says
    /// nothing about the time in between.
    pub fn store_failed(&mut self, now: BootTime) {
        let is_continuous = match self.valid_until {
            Some(until) => now < until,
            None => self.fence.is_none(),
        };
        if is_continuous || self.is_store_unreachable(now) {
            self.outage_until = Some(now + OUTAGE_EVIDENCE_TIME);
        }
    }

    fn is_store_unreachable(&self, now: BootTime) -> bool {
        self.outage_until.is_some_and(|until| now < until)
    }

    /// Records that the store has reported the lease as expired.
    pub fn lease_expired(&mut self) {
        *self = Self {
            era: self.era,
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
        let is_taken = self.outage_until.is_some() && is_free && !is_revoked;
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
        self.announced(now).filter(|_| now >= self.orders_from)
    }

    /// Returns the fence that peers are told at `now`; orders may follow later.
    pub fn announced(&self, now: BootTime) -> Option<Fence> {
        let fence = self.fence?;
        let is_leased = self.valid_until.is_some_and(|until| now < until);
        let is_revoked = self.revoked.is_some_and(|revoked| revoked >= fence);
        ((is_leased || self.is_store_unreachable(now)) && !is_revoked).then_some(fence)
    }
}
