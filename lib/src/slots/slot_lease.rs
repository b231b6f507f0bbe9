//! The router's side of slot leases.

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

/// Time after which an unanswered request for slots is repeated.
const SLOT_RETRY_MS: Milliseconds = 100;
/// Pause before a target without free slots is asked again.
const SLOT_FULL_RETRY_MS: Milliseconds = 20;
/// Part of a target's slots that one router may hold without using them.
const HEADROOM_DIVISOR: u32 = 8;
/// Unanswered requests in a row after which the standby is asked.
const MAX_HOME_MISSES: u32 = 3;

/// Slots of one target that this router holds.
#[derive(Clone, Debug)]
pub struct SlotLease {
    target: TargetId,
    router: RouterId,
    incarnation: Incarnation,
    epoch: Epoch,
    number: u64,
    sent_at: Option<Instant>,
    misses: u32,
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
    /// Opens an empty wallet of `router` for `target`.
    pub fn new(target: TargetId, router: RouterId, incarnation: Incarnation) -> Self {
        Self {
            target,
            router,
            incarnation,
            epoch: 0,
            number: 0,
            sent_at: None,
            misses: 0,
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

    /// Returns the requests in progress.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns how many requests may start at `now` on `generation`.
    pub fn spare(&self, generation: Generation, now: Instant) -> u32 {
        let is_valid = self.valid_until.is_some_and(|until| now < until);
        if self.is_suspended(now) || !is_valid || self.generation != generation {
            return 0;
        }
        self.slots.saturating_sub(self.in_use)
    }

    /// Returns the slots that the newest grant allows.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the slots that the home said were held by nobody.
    pub fn free_at_home(&self) -> u32 {
        self.free
    }

    /// Returns what is known about the target at `now`.
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

    /// Takes one slot, provided that the grant is for `generation`.
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

    /// Gives back the slot of a request that has ended.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Forgets the grant, on the first sign that the target is not what it was.
    pub fn drop_grant(&mut self) {
        self.slots = 0;
        self.valid_until = None;
    }

    /// Starts no request on the target for a while, because one has just failed
    /// there in a way that hints at a lost member.
    ///
    /// After that time the home has noticed as well, or the failure was none of
    /// the target.
    pub fn suspend(&mut self, now: Instant) {
        self.drop_grant();
        self.suspended_until = Some(now + Duration::from_millis(REPORT_VALID_MS));
    }

    fn is_suspended(&self, now: Instant) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// Tells whether held slots are to be renewed or given back.
    ///
    /// Slots that are not used are given back at once when the home has no
    /// others left. A router goes on until the home charges it for nothing.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        let Some(sent_at) = self.sent_at else {
            return false;
        };
        let is_idle = self.slots.max(self.home_charge) > self.in_use;
        let pause_ms = if is_idle && self.free == 0 {
            SLOT_FULL_RETRY_MS
        } else {
            SLOT_RENEW_MS
        };
        let is_due = now >= sent_at + Duration::from_millis(pause_ms);
        is_due && (self.in_use > 0 || self.slots > 0 || self.home_charge > 0)
    }

    /// Tells whether more slots may be asked for: no answer is on its way, and
    /// some time has passed since nothing was granted.
    pub fn may_request(&self, now: Instant) -> bool {
        if self.is_suspended(now) {
            return false;
        }
        let Some(sent_at) = self.sent_at else {
            return true;
        };
        let pause_ms = match (self.misses > 0, self.state) {
            (true, _) | (_, TargetState::Closed | TargetState::Unknown) => SLOT_RETRY_MS,
            (false, _) if self.slots == 0 => SLOT_FULL_RETRY_MS,
            (false, _) => 0,
        };
        now >= sent_at + Duration::from_millis(pause_ms)
    }

    /// Returns how many slots to keep ready for requests yet to come: as many
    /// as were taken since the last request, up to an eighth of `limit`, and
    /// none when the home has no others left.
    pub fn headroom(&self, limit: u32) -> u32 {
        if self.free == 0 {
            return 0;
        }
        self.recently_acquired.min(limit / HEADROOM_DIVISOR)
    }

    /// Tells whether the home has left several requests unanswered.
    pub fn is_home_silent(&self) -> bool {
        self.misses > MAX_HOME_MISSES
    }

    /// Gives back what is neither in use nor wanted, and returns the next
    /// request for the home or, when that is silent, for its standby.
    pub fn request(&mut self, epoch: Epoch, wanted: u32, now: Instant) -> SlotRequest {
        let is_to_standby = self.is_home_silent() && self.misses.is_multiple_of(2);
        self.epoch = epoch;
        self.number += 1;
        self.misses = self.misses.saturating_add(1);
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

    /// Applies the answer to the newest request; any other answer is ignored.
    pub fn apply(&mut self, grant: &SlotGrant) -> bool {
        let Some(sent_at) = self.sent_at else {
            return false;
        };
        if grant.number != self.number || grant.epoch != self.epoch || self.misses == 0 {
            return false;
        }
        self.misses = 0;
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
