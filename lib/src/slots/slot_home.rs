//! Home side of slot leases.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::HOME_TAKEOVER_MS;
use super::SLOT_LEASE_MS;
use super::SLOT_ROTATION_MS;
use super::SlotGrant;
use super::SlotRefusal;
use super::SlotRequest;
use super::slot_holder::SlotHolder;
use crate::health::TargetHealth;
use crate::ids::Epoch;
use crate::ids::Generation;
use crate::ids::Milliseconds;
use crate::ids::RouterId;
use crate::ids::TargetId;

/// Owns the concurrency limit of one target and leases its slots to routers.
///
/// When the lease of a router expires or the router restarts, its slots count
/// as lost in flight until an engine report sampled after that point shows
/// fewer requests.
#[derive(Clone, Debug)]
pub struct SlotHome {
    target: TargetId,
    epoch: Epoch,
    generation: Generation,
    warm_limit: u32,
    cold_limit: u32,
    health: TargetHealth,
    takeover_ends_at: Instant,
    holders: BTreeMap<RouterId, SlotHolder>,
    lost: u32,
    lost_changed_at: Option<Instant>,
}

impl SlotHome {
    /// Creates the home of `target` at `now`.
    ///
    /// With `takes_over`, no slots are granted on a cold target until the grants
    /// of the previous home have expired and a later engine report has been
    /// received.
    pub fn new(target: TargetId, epoch: Epoch, takes_over: bool, now: Instant) -> Self {
        let wait_ms = if takes_over { HOME_TAKEOVER_MS } else { 0 };
        Self {
            target,
            epoch,
            generation: 0,
            warm_limit: 0,
            cold_limit: 0,
            health: TargetHealth::Closed {
                reason: "not polled yet".to_owned(),
            },
            takeover_ends_at: now + Duration::from_millis(wait_ms),
            holders: BTreeMap::new(),
            lost: if takes_over { u32::MAX } else { 0 },
            lost_changed_at: takes_over.then_some(now),
        }
    }

    /// Returns the target that this home manages.
    pub fn target(&self) -> &TargetId {
        &self.target
    }

    /// Returns the current health of the target.
    pub fn health(&self) -> &TargetHealth {
        &self.health
    }

    /// Adopts the epoch of a newer router list under which this router is still
    /// the home.
    pub fn set_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
    }

    /// Sets the concurrency limits and the group generation to which they apply.
    pub fn set_limits(&mut self, warm_limit: u32, cold_limit: u32, generation: Generation) {
        self.warm_limit = warm_limit;
        self.cold_limit = cold_limit;
        self.generation = generation;
    }

    /// Updates the health of the target.
    pub fn set_health(&mut self, health: TargetHealth) {
        self.health = health;
    }

    /// Updates the lost slots from an engine's count of requests in progress,
    /// sampled at `sampled_at`.
    ///
    /// On a target in cold start, any request that the engine still counts may be
    /// a lost one. On a warm target, the requests that routers are known to have
    /// are subtracted, because a busy target would otherwise never release its
    /// lost slots.
    pub fn observe_load(&mut self, in_flight: u64, sampled_at: Instant, now: Instant) {
        self.expire(now);
        let Some(since) = self.lost_changed_at else {
            return;
        };
        if sampled_at <= since || sampled_at < self.takeover_ends_at {
            return;
        }
        let known: u64 = match self.health {
            TargetHealth::Warm { .. } => self
                .holders
                .values()
                .map(|holder| u64::from(holder.in_use))
                .sum(),
            _ => 0,
        };
        let unknown = in_flight.saturating_sub(known).min(u64::from(self.lost));
        self.lost = u32::try_from(unknown).unwrap_or(u32::MAX);
        if self.lost == 0 {
            self.lost_changed_at = None;
        }
    }

    /// Returns the concurrency limit at `now`, which depends on the health.
    pub fn limit(&self, now: Instant) -> u32 {
        match &self.health {
            TargetHealth::Warm { until } if now < *until => self.warm_limit,
            TargetHealth::Cold { until } if now < *until => self.cold_limit,
            _ => 0,
        }
    }

    /// Returns the slots charged to all routers, including slots lost in flight.
    pub fn charge(&self) -> u32 {
        let held: u32 = self.holders.values().map(|holder| holder.charge()).sum();
        held.saturating_add(self.known_lost())
    }

    /// Processes a slot request; returns `None` for one that arrives out of order.
    pub fn handle_request(&mut self, request: &SlotRequest, now: Instant) -> Option<SlotGrant> {
        self.expire(now);
        if request.epoch != self.epoch {
            return Some(self.refuse(request, SlotRefusal::NotHome));
        }
        let lease_expires_at = now + Duration::from_millis(SLOT_LEASE_MS);
        let known = self.holders.remove(&request.router);
        if known.as_ref().is_some_and(|holder| {
            holder.incarnation == request.incarnation && holder.number >= request.number
        }) {
            self.holders
                .extend(known.map(|holder| (request.router.clone(), holder)));
            return None;
        }
        let mut holder = match known {
            Some(holder) if holder.incarnation == request.incarnation => holder,
            Some(earlier) => {
                self.add_lost(earlier.charge(), now);
                SlotHolder::new(request.incarnation, now, lease_expires_at)
            }
            None => SlotHolder::new(request.incarnation, now, lease_expires_at),
        };
        holder.observe(request, lease_expires_at);
        let grant = self.grant(request, &mut holder, now);
        self.holders.insert(request.router.clone(), holder);
        Some(grant)
    }

    fn grant(&self, request: &SlotRequest, holder: &mut SlotHolder, now: Instant) -> SlotGrant {
        let (until, is_cold) = match &self.health {
            TargetHealth::Warm { until } => (*until, false),
            TargetHealth::Cold { until } => (*until, true),
            TargetHealth::Closed { .. } => return self.refuse(request, SlotRefusal::Closed),
        };
        let has_taken_over = now >= self.takeover_ends_at && self.lost != u32::MAX;
        if is_cold && !has_taken_over {
            return self.refuse(request, SlotRefusal::TakingOver);
        }
        let limit = self.limit(now).saturating_sub(self.known_lost());
        let others: u32 = self.holders.values().map(|holder| holder.charge()).sum();
        let available = limit.saturating_sub(others);
        let share = self.fair_share(limit, holder, now);
        let slots = holder.demand.min(available).min(share);
        let lease_ends_at = now + Duration::from_millis(SLOT_LEASE_MS);
        let ends_at = lease_ends_at.min(until);
        let valid = ends_at.saturating_duration_since(now);
        holder.grant(slots);
        let is_refused = slots == 0 && holder.demand > 0;
        SlotGrant {
            target: self.target.clone(),
            epoch: self.epoch,
            number: request.number,
            slots,
            valid_ms: Milliseconds::try_from(valid.as_millis()).unwrap_or(0),
            generation: self.generation,
            is_cold,
            free: available - slots,
            refusal: is_refused.then_some(SlotRefusal::Full),
        }
    }

    /// Returns the max-min fair share of `limit` for `holder`. When there are more
    /// routers than slots, the routers with the earliest turns get one slot each,
    /// and a router with slots starts a new turn after `SLOT_ROTATION_MS`.
    fn fair_share(&self, limit: u32, holder: &mut SlotHolder, now: Instant) -> u32 {
        let others: Vec<&SlotHolder> = self
            .holders
            .values()
            .filter(|other| other.demand > 0)
            .collect();
        let mut demands: Vec<u32> = others.iter().map(|other| other.demand).collect();
        demands.push(holder.demand);
        let share = max_min_share(limit, &mut demands);
        if share > 0 {
            return share;
        }
        let turn = Duration::from_millis(SLOT_ROTATION_MS);
        if holder.charge() > 0 && now >= holder.turn_started_at + turn {
            holder.turn_started_at = now;
        }
        let earlier = others
            .iter()
            .filter(|other| other.turn_started_at < holder.turn_started_at)
            .count();
        u32::from(earlier < limit as usize)
    }

    /// Returns the slots lost in flight, or 0 while a new home does not know them yet.
    fn known_lost(&self) -> u32 {
        if self.lost == u32::MAX { 0 } else { self.lost }
    }

    fn refuse(&self, request: &SlotRequest, refusal: SlotRefusal) -> SlotGrant {
        SlotGrant {
            target: self.target.clone(),
            epoch: self.epoch,
            number: request.number,
            slots: 0,
            valid_ms: 0,
            generation: self.generation,
            is_cold: self.health.is_cold(),
            free: 0,
            refusal: Some(refusal),
        }
    }

    fn expire(&mut self, now: Instant) {
        let mut lost = 0_u32;
        self.holders.retain(|_, holder| {
            if now < holder.lease_expires_at {
                return true;
            }
            lost = lost.saturating_add(holder.charge());
            false
        });
        if lost > 0 {
            self.add_lost(lost, now);
        }
    }

    fn add_lost(&mut self, count: u32, now: Instant) {
        if count == 0 {
            return;
        }
        self.lost = self.lost.saturating_add(count);
        self.lost_changed_at = Some(now);
    }
}

/// Returns the largest share `s` for which the sum of `min(demand, s)` is at most
/// `limit`, or `u32::MAX` when `limit` covers all demands.
fn max_min_share(limit: u32, demands: &mut [u32]) -> u32 {
    demands.sort_unstable();
    let mut left = limit;
    let mut claimants = demands.len() as u32;
    for demand in demands {
        let share = left / claimants;
        if *demand > share {
            return share;
        }
        left -= *demand;
        claimants -= 1;
    }
    u32::MAX
}
