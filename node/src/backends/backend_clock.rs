//! The clock.

use std::time::Instant;

use async_trait::async_trait;

/// Tells the time and waits for it.
#[async_trait]
pub trait BackendClock: Send + Sync {
    /// Returns the present moment.
    fn now(&self) -> Instant;

    /// Returns the milliseconds of Unix time.
    fn unix_ms(&self) -> u64;

    /// Waits until `deadline`.
    async fn sleep_until(&self, deadline: Instant);
}
