//! Keeps requests to an endpoint within the rate that it takes from all routers together.

use std::time::Duration;
use std::time::Instant;

use super::QuotaDivider;
use super::RateLimits;
use super::SendLog;
use crate::ids::EndpointId;
use crate::ids::RequestRate;

/// Window of the limit for cold endpoints. It exceeds one second because requests sent more
/// than a second apart may arrive within one second when the earlier ones take longer in
/// transit.
const COLD_WINDOW: Duration = Duration::from_millis(1_050);
/// Span in which requests are counted against a named limit. Over several seconds, more
/// routers get a share of a low limit than over one.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Longest span in which an endpoint with a very low limit gets one request. Without any, no
/// router would learn that the limit has ended.
const LONGEST_LIMIT_SPAN: Duration = Duration::from_secs(10);
/// Time by which the window of a named limit exceeds its span, for different times in transit.
const TRANSIT_MARGIN: Duration = Duration::from_millis(200);
/// Parts of a window over which a router spreads its share of a named limit.
const PACE_PARTS: u32 = 4;

/// Counts this router's requests to each endpoint against its share of what the endpoint takes.
///
/// Each router counts only its own requests, and the shares add up to at most the rate, so the
/// sum over all routers stays within it even when messages between them are lost.
#[derive(Clone, Debug, Default)]
pub struct SendPacer {
    log: SendLog,
}

impl SendPacer {
    /// Returns whether this router may send another request to `endpoint` now.
    pub fn may_send(
        &self,
        endpoint: &EndpointId,
        limits: RateLimits,
        divider: &QuotaDivider,
        now: Instant,
    ) -> bool {
        self.room_at(endpoint, limits, divider, now) == Some(now)
    }

    /// Returns when this router may send the next request to `endpoint`; `None` if it has no
    /// share of what the endpoint takes.
    pub fn room_at(
        &self,
        endpoint: &EndpointId,
        limits: RateLimits,
        divider: &QuotaDivider,
        now: Instant,
    ) -> Option<Instant> {
        let mut room_at = now;
        if let Some(per_second) = limits.cold_per_second {
            let share = divider.share_of(endpoint, per_second, now);
            room_at = self.log.room_at(endpoint, share, COLD_WINDOW, now)?;
        }
        let Some(limit) = limits.named else {
            return Some(room_at);
        };
        let (requests, span) = limit_quota(limit);
        let share = divider.share_of(endpoint, requests as f64, now);
        let window = span + TRANSIT_MARGIN;
        let part = share.div_ceil(PACE_PARTS);
        let paced_at = self.log.room_at(endpoint, part, window / PACE_PARTS, now)?;
        let share_at = self.log.room_at(endpoint, share, window, now)?;
        Some(room_at.max(paced_at).max(share_at))
    }

    /// Returns how many requests this router has sent to `endpoint` since `since`.
    pub fn sends_since(&self, endpoint: &EndpointId, since: Instant) -> usize {
        self.log.count_since(endpoint, since)
    }

    /// Records a request that is sent to `endpoint`.
    pub fn record_send(&mut self, endpoint: &EndpointId, now: Instant) {
        self.log.record(endpoint, now);
    }

    /// Records a request that is about to be sent to `endpoint`: until it is
    /// [sent](Self::send_reserved) or [cancelled](Self::cancel), it takes part of the share,
    /// because it may be sent at any time.
    pub fn reserve(&mut self, endpoint: &EndpointId) {
        self.log.reserve(endpoint);
    }

    /// Records that a reserved request is sent.
    pub fn send_reserved(&mut self, endpoint: &EndpointId, now: Instant) {
        self.log.cancel(endpoint);
        self.log.record(endpoint, now);
    }

    /// Records that a reserved request is not sent.
    pub fn cancel(&mut self, endpoint: &EndpointId) {
        self.log.cancel(endpoint);
    }

    /// Removes endpoints without recent requests.
    pub fn prune(&mut self, now: Instant) {
        self.log.prune(now);
    }
}

/// Returns how many requests a limit allows all routers together, and in which span.
fn limit_quota(limit: RequestRate) -> (u64, Duration) {
    let allowed_in = |span: Duration| {
        let allowed = u128::from(limit) * span.as_millis() / 1_000_000;
        u64::try_from(allowed).unwrap_or(u64::MAX)
    };
    let requests = allowed_in(LIMIT_SPAN);
    if requests > 0 {
        return (requests, LIMIT_SPAN);
    }
    let span_ms = 1_000_000 / limit.max(1);
    let span = Duration::from_millis(span_ms).min(LONGEST_LIMIT_SPAN);
    (1, span)
}
