//! How long the holder of a lease may act on it.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Milliseconds;

/// A lease as its holder sees it.
///
/// The store counts the lease from when it takes a call, the holder from when
/// it sent that call and with a margin, so the holder always stops first. A
/// holder that was paused finds out by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    ttl_ms: Milliseconds,
    margin_ms: Milliseconds,
    renew_at: Instant,
    valid_until: Instant,
}

impl LeaseTerm {
    /// Starts a lease that was asked for at `asked_at` and lasts `ttl_ms`; the
    /// holder stops to act `margin_ms` before its end.
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

    /// Takes word that a renewal sent at `asked_at` was accepted.
    pub fn record_renewal(&mut self, asked_at: Instant) {
        let valid_ms = self.ttl_ms.saturating_sub(self.margin_ms);
        self.valid_until = asked_at + Duration::from_millis(valid_ms);
        self.renew_at = asked_at + Duration::from_millis(self.ttl_ms / 3);
    }

    /// Tells whether the holder may act on the lease at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        now < self.valid_until
    }

    /// Tells whether the lease is to be renewed.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        now >= self.renew_at
    }
}
