//! Decides whether a request may wait, whether it may take a free slot, and when a refused
//! caller should return.

use std::time::Duration;
use std::time::Instant;

use super::PoolPressure;
use super::WaitEstimate;
use super::WaitingRequest;

/// Time for which room is kept for requests that take precedence: those that come within it
/// find a slot. 100 ms left more slots idle in the bursts of `test_overload`.
const KEPT_ROOM_SPAN: Duration = Duration::from_millis(50);
/// Largest share of a pool's slots that is kept for requests that take precedence.
const MAX_KEPT_SHARE: f64 = 0.25;
/// Maximum late requests that wait at a router for one pool. Each of them is kept in memory,
/// and the cost of a look at the queue grows with its length.
const MAX_LATE_WAITING: usize = 64;
/// Longest retry delay as a share of the caller's remaining time; callers honour up to a third.
const RETRY_AFTER_SHARE: f64 = 0.33;
/// Shortest retry delay. Room is seen by peers only after one or two of their digests.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);

/// What becomes of a request for which no slot is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionChoice {
    /// It waits for a slot.
    Wait,
    /// It is refused at once; the expected wait is absent if that is not the reason.
    Refuse(Option<WaitEstimate>),
}

/// Requests at this router, as far as the decisions depend on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OverloadPolicy {
    /// Late requests that wait at this router for the same pool.
    pub late_waiting: usize,
    /// Targets of the pool; while its rate is unknown, as many requests may be ahead of one that
    /// begins to wait.
    pub targets: usize,
}

impl OverloadPolicy {
    /// Decides whether a request may begin to wait or wait on.
    ///
    /// A late request takes only slots that no other wants, so it waits while it can expect one
    /// before its caller's deadline.
    pub fn choose(
        &self,
        request: &WaitingRequest,
        pressure: &PoolPressure,
        now: Instant,
    ) -> AdmissionChoice {
        let ahead = pressure.ahead_of(request);
        let estimate = pressure.estimate_wait(ahead, now);
        if !request.is_late(now) {
            return match estimate {
                Some(estimate) if estimate.room_at <= request.late_at => AdmissionChoice::Wait,
                None if ahead as usize <= self.targets => AdmissionChoice::Wait,
                None => AdmissionChoice::Refuse(None),
                // The caller can return, and others that wait can be on time.
                Some(_) if !request.is_returning => AdmissionChoice::Refuse(estimate),
                Some(_) => self.choose_late(request, pressure, now),
            };
        }
        self.choose_late(request, pressure, now)
    }

    /// Decides about a request that is not going to be on time.
    fn choose_late(
        &self,
        request: &WaitingRequest,
        pressure: &PoolPressure,
        now: Instant,
    ) -> AdmissionChoice {
        // A pool that finishes nothing may have lost its targets.
        let has_ended = pressure.finished() > 0;
        if !has_ended || now >= request.give_up_at || self.late_waiting > MAX_LATE_WAITING {
            return AdmissionChoice::Refuse(None);
        }
        let late_waiting = u32::try_from(self.late_waiting).unwrap_or(u32::MAX);
        let ahead = pressure.waiting().saturating_add(late_waiting);
        match pressure.estimate_wait(ahead, now) {
            Some(estimate) if estimate.room_at > request.give_up_at => {
                AdmissionChoice::Refuse(Some(estimate))
            }
            _ => AdmissionChoice::Wait,
        }
    }
}

impl PoolPressure {
    /// Returns how many free slots `request` leaves to others in a pool of `slots`, because they
    /// wait in the fleet and take precedence, or because they are expected to come.
    pub fn kept_room(&self, request: &WaitingRequest, slots: u32, now: Instant) -> u32 {
        let is_late = request.is_late(now);
        let (waiting, per_second) = if is_late {
            (self.waiting(), self.finished())
        } else {
            (
                self.preceding(request),
                self.finished_before(request.priority),
            )
        };
        let expected = f64::from(per_second) * KEPT_ROOM_SPAN.as_secs_f64();
        let most = f64::from(slots) * MAX_KEPT_SHARE;
        // Without digests, requests that can be on time may wait at any peer.
        let kept = if is_late && !self.has_peers() {
            most as u32
        } else {
            expected.ceil().min(most) as u32
        };
        waiting.saturating_add(kept)
    }
}

/// Returns when a caller that is refused now should return: once room is expected, within a
/// third of its remaining time, and spread over as long again. `random` is in `0..1`.
pub fn retry_at(
    estimate: Option<WaitEstimate>,
    deadline: Instant,
    random: f64,
    now: Instant,
) -> Instant {
    let left = deadline.saturating_duration_since(now);
    let longest = left.mul_f64(RETRY_AFTER_SHARE);
    let room_at = estimate.map_or(now, |estimate| estimate.room_at);
    let until_room = room_at.saturating_duration_since(now);
    // Half of the range is left for the spread, so that returning callers form no wave.
    let shortest = until_room.max(MIN_RETRY_DELAY).min(longest / 2);
    let spread = (longest - shortest).min(shortest.max(2 * MIN_RETRY_DELAY));
    now + shortest + spread.mul_f64(random)
}
