//! Implementation of [`BackendClock`] on the operating system's clocks.

use std::time::Instant;
use std::time::SystemTime;

use async_trait::async_trait;

use super::BackendClock;

/// Reads the clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

#[async_trait]
impl BackendClock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
    }

    async fn sleep_until(&self, deadline: Instant) {
        smol::Timer::at(deadline).await;
    }
}
