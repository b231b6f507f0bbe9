//! Expected wait of a request.

use std::time::Duration;
use std::time::Instant;

/// When a request is expected to get a slot, and the values that this follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitEstimate {
    /// Requests of the fleet that get a slot earlier.
    pub ahead: u32,
    /// Requests of the pool that ended in the last second.
    pub finished_per_second: u32,
    /// When the request is expected to get a slot.
    pub room_at: Instant,
}

impl WaitEstimate {
    /// Returns the estimate for a request with `ahead` requests before it, or `None` while the
    /// pool finishes none, because nothing is known then.
    pub fn new(ahead: u32, finished_per_second: u32, now: Instant) -> Option<Self> {
        if finished_per_second == 0 {
            return None;
        }
        let seconds = f64::from(ahead) / f64::from(finished_per_second);
        Some(Self {
            ahead,
            finished_per_second,
            room_at: now + Duration::from_secs_f64(seconds),
        })
    }
}
