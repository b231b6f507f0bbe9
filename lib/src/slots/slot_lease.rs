//! Router side of slot leases.

use std::time::Duration;
use std::time::Instant;

use super::SLOT_RENEW_MS;
use super::SlotGrant;
use super::SlotPermit;
use super::SlotRefusal;
use super::SlotRequest;
use super::TargetState;
use crate::health::REPORT_VALID_MS;
use crate::ids::Epoch;
use crate::ids::Generation;
use crate::ids::Incarnation;
use crate::ids::Milliseconds;
use crate::ids::RouterId;
use crate::ids::TargetId;

/// Delay before a slot request is retried after no response, or while the target
/// is closed or unknown.
const SLOT_RETRY_MS: Milliseconds = 100;
/// Delay before the next slot request to a home that has no free slots.
const SLOT_FULL_RETRY_MS: Milliseconds = 20;
/// Divisor of a target's limit that gives the maximum of unused slots per router.
const HEADROOM_DIVISOR: u32 = 8;
/// Number of consecutive unanswered requests above which the standby is tried.
const MAX_UNANSWERED_REQUESTS: u32 = 3;

/// Slots of one target that are leased to this router.
#[derive(Clone, Debug)]
pub struct SlotLease {
    target: TargetId,
    router: RouterId,
    incarnation: Incarnation,
    epoch: Epoch,
    number: u64,
    sent_at: Option<Instant>,
    unanswered_requests: u32,
    slots: u32,
    free: u32,
    valid_until: Option<Instant>,
    generation: Generation,
    state: TargetState,
    in_use: u32,
    recently_acquired: u32,
    suspended_until: Option<Instant>,
    reported_charge: u32,
    home_charge: u32,
}

impl SlotLease {
    /// Creates a lease of `router` for `target` without any slots.
    pub fn new(target: TargetId, router: RouterId, incarnation: Incarnation) -> Self {
        Self {
            target,
            router,
            incarnation,
            epoch: 0,
            number: 0,
            sent_at: None,
            unanswered_requests: 0,
            slots: 0,
            free: 0,
            valid_until: None,
            generation: 0,
            state: TargetState::Unknown,
            in_use: 0,
            recently_acquired: 0,
            suspended_until: None,
            reported_charge: 0,
            home_charge: 0,
        }
    }

    /// Returns the number of requests in progress.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns the number of slots of `generation` that are available at `now`.
    pub fn spare(&self, generation: Generation, now: Instant) -> u32 {
        let is_valid = self.valid_until.is_some_and(|until| now < until);
        if self.is_suspended(now) || !is_valid || self.generation != generation {
            return 0;
        }
        self.slots.saturating_sub(self.in_use)
    }

    /// Returns the number of slots in the current grant.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of unallocated slots that the home last reported.
    pub fn free_at_home(&self) -> u32 {
        self.free
    }

    /// Returns the state of the target at `now`, as far as this router knows it.
    pub fn state(&self, now: Instant) -> TargetState {
        if self.is_suspended(now) {
            return TargetState::Closed;
        }
        match self.valid_until {
            Some(until) if now < until => self.state,
            _ if self.state == TargetState::Closed => TargetState::Closed,
            _ => TargetState::Unknown,
        }
    }

    /// Acquires one slot if the grant is valid and applies to `generation`.
    pub fn acquire(&mut self, generation: Generation, now: Instant) -> Option<SlotPermit> {
        let send_by = self.valid_until?;
        if self.spare(generation, now) == 0 {
            return None;
        }
        self.in_use += 1;
        self.recently_acquired += 1;
        let is_cold = self.state.is_cold();
        Some(SlotPermit {
            target: self.target.clone(),
            generation,
            send_by,
            is_cold,
        })
    }

    /// Releases the slot of a request that has ended.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Drops the grant when there is a sign that the target has changed.
    pub fn drop_grant(&mut self) {
        self.slots = 0;
        self.valid_until = None;
    }

    /// Suspends the target for `REPORT_VALID_MS` after a request has failed in a
    /// way that indicates a lost member.
    ///
    /// By then the home has detected the loss from missing reports; if it has
    /// not, the target did not cause the failure.
    pub fn suspend(&mut self, now: Instant) {
        self.drop_grant();
        self.suspended_until = Some(now + Duration::from_millis(REPORT_VALID_MS));
    }

    fn is_suspended(&self, now: Instant) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// Returns whether it is time to renew or release the held slots.
    ///
    /// Unused slots are released sooner when the home has no free slots left.
    /// The router keeps sending requests until the home no longer charges it any
    /// slots.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        let Some(sent_at) = self.sent_at else {
            return false;
        };
        let has_unused_slots = self.slots.max(self.home_charge) > self.in_use;
        let delay_ms = if has_unused_slots && self.free == 0 {
            SLOT_FULL_RETRY_MS
        } else {
            SLOT_RENEW_MS
        };
        let is_due = now >= sent_at + Duration::from_millis(delay_ms);
        is_due && (self.in_use > 0 || self.slots > 0 || self.home_charge > 0)
    }

    /// Returns whether more slots may be requested: the target is not suspended,
    /// and the retry delay since the last request has passed if that request was
    /// unanswered or granted no slots.
    pub fn may_request(&self, now: Instant) -> bool {
        if self.is_suspended(now) {
            return false;
        }
        let Some(sent_at) = self.sent_at else {
            return true;
        };
        let delay_ms = match (self.unanswered_requests > 0, self.state) {
            (true, _) | (_, TargetState::Closed | TargetState::Unknown) => SLOT_RETRY_MS,
            (false, _) if self.slots == 0 => SLOT_FULL_RETRY_MS,
            (false, _) => 0,
        };
        now >= sent_at + Duration::from_millis(delay_ms)
    }

    /// Returns the number of slots to request ahead of demand: as many as were
    /// acquired since the last slot request, up to an eighth of `limit`, and none
    /// when the home has no free slots.
    pub fn headroom(&self, limit: u32) -> u32 {
        if self.free == 0 {
            return 0;
        }
        self.recently_acquired.min(limit / HEADROOM_DIVISOR)
    }

    /// Returns whether more than `MAX_UNANSWERED_REQUESTS` consecutive requests are unanswered.
    pub fn is_home_unresponsive(&self) -> bool {
        self.unanswered_requests > MAX_UNANSWERED_REQUESTS
    }

    /// Releases the slots that are neither in use nor wanted, and returns the next
    /// request. While the home does not respond, every second request goes to its
    /// standby.
    pub fn next_request(&mut self, epoch: Epoch, wanted: u32, now: Instant) -> SlotRequest {
        let is_to_standby =
            self.is_home_unresponsive() && self.unanswered_requests.is_multiple_of(2);
        self.epoch = epoch;
        self.number += 1;
        self.unanswered_requests = self.unanswered_requests.saturating_add(1);
        self.sent_at = Some(now);
        self.recently_acquired = 0;
        let is_valid = self.valid_until.is_some_and(|until| now < until);
        let holding = if is_valid {
            self.slots.min(self.in_use + wanted)
        } else {
            0
        };
        self.slots = holding;
        self.reported_charge = holding.max(self.in_use);
        self.home_charge = self.home_charge.max(self.reported_charge);
        SlotRequest {
            target: self.target.clone(),
            router: self.router.clone(),
            incarnation: self.incarnation,
            epoch,
            number: self.number,
            in_use: self.in_use,
            holding: self.reported_charge,
            wanted,
            is_to_standby,
        }
    }

    /// Applies the grant for the newest request; returns false for any other grant,
    /// which is ignored.
    pub fn apply(&mut self, grant: &SlotGrant) -> bool {
        let Some(sent_at) = self.sent_at else {
            return false;
        };
        if grant.number != self.number || grant.epoch != self.epoch || self.unanswered_requests == 0
        {
            return false;
        }
        self.unanswered_requests = 0;
        self.home_charge = self.reported_charge.max(grant.slots);
        self.slots = grant.slots;
        self.free = grant.free;
        self.generation = grant.generation;
        self.valid_until = Some(sent_at + Duration::from_millis(grant.valid_ms));
        self.state = match grant.refusal {
            Some(SlotRefusal::Closed) => TargetState::Closed,
            Some(SlotRefusal::NotHome | SlotRefusal::StaleView | SlotRefusal::TakingOver) => {
                TargetState::Unknown
            }
            _ if grant.is_cold => TargetState::Cold,
            _ => TargetState::Warm,
        };
        true
    }
}
