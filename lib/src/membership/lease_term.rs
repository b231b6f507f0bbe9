//! Validity of a lease on the side of its holder.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Milliseconds;

/// The term of a lease, measured by the clock of its holder.
///
/// The store starts the term when it receives a call. The holder starts it
/// when it sends that call and subtracts a safety margin, so the holder always
/// stops before the store expires the lease. A holder that was paused detects
/// the expiry by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    ttl_ms: Milliseconds,
    margin_ms: Milliseconds,
    renew_at: Instant,
    valid_until: Instant,
}

impl LeaseTerm {
    /// Starts the term of a lease that was requested at `asked_at` and lasts
    /// `ttl_ms`; the holder stops acting `margin_ms` before its expiry.
    pub fn begin(ttl_ms: Milliseconds, margin_ms: Milliseconds, asked_at: Instant) -> Self {
        let mut term = Self {
            ttl_ms,
            margin_ms,
            renew_at: asked_at,
            valid_until: asked_at,
        };
        term.record_renewal(asked_at);
        term
    }

    /// Records that the store accepted a renewal sent at `asked_at`.
    pub fn record_renewal(&mut self, asked_at: Instant) {
        let valid_ms = self.ttl_ms.saturating_sub(self.margin_ms);
        self.valid_until = asked_at + Duration::from_millis(valid_ms);
        self.renew_at = asked_at + Duration::from_millis(self.ttl_ms / 3);
    }

    /// Returns whether the holder may act on the lease at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        now < self.valid_until
    }

    /// Returns whether the lease is due for renewal.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        now >= self.renew_at
    }
}
