//! Spreads datagrams over time, so that a link does not drop them.

use std::time::Duration;
use std::time::Instant;

/// Bytes that may be sent at once. Queues of links hold a few times as much.
const BURST_BYTES: u64 = 32 << 10;

/// Spreads datagrams over time, at half the bandwidth of a link; the rest is for other traffic.
///
/// A link whose queue is full drops datagrams, and all that are sent together with them.
#[derive(Clone, Debug)]
pub struct LinkPace {
    bytes_per_second: u64,
    /// When everything sent so far has left at this rate.
    drained_at: Instant,
}

impl LinkPace {
    /// Creates a pace for a link with `bits_per_second`.
    pub fn new(bits_per_second: u64, now: Instant) -> Self {
        Self {
            bytes_per_second: (bits_per_second / 16).max(1),
            drained_at: now,
        }
    }

    /// Records a datagram that is sent at `now`; returns when the next one may be sent.
    pub fn record(&mut self, bytes: u64, now: Instant) -> Instant {
        self.drained_at = self.drained_at.max(now) + self.time_for(bytes);
        let next_at = self.drained_at.checked_sub(self.time_for(BURST_BYTES));
        next_at.map_or(now, |at| at.max(now))
    }

    fn time_for(&self, bytes: u64) -> Duration {
        Duration::from_micros(bytes.saturating_mul(1_000_000) / self.bytes_per_second)
    }
}
