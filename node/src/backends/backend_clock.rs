//! Trait for reading time and sleeping.

use std::time::Instant;

use async_trait::async_trait;

/// A monotonic and a wall clock, and a timer.
#[async_trait]
pub trait BackendClock: Send + Sync {
    /// Returns the current monotonic time.
    fn now(&self) -> Instant;

    /// Returns the current Unix time in milliseconds.
    fn unix_ms(&self) -> u64;

    /// Sleeps until `deadline`.
    async fn sleep_until(&self, deadline: Instant);
}
