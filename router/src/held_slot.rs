//! Guard of an acquired slot.

use std::sync::Arc;
use std::time::Instant;

use jujuberoad::routing::RouteTarget;

use crate::slot_choice::SlotChoice;
use crate::slot_scheduler::SlotScheduler;

/// An acquired slot, which is released on drop.
pub(crate) struct HeldSlot {
    choice: SlotChoice,
    scheduler: Arc<SlotScheduler>,
}

impl HeldSlot {
    pub(crate) fn new(choice: SlotChoice, scheduler: Arc<SlotScheduler>) -> Self {
        Self { choice, scheduler }
    }

    /// Returns the target as it was when the slot was acquired.
    pub(crate) fn target(&self) -> &RouteTarget {
        &self.choice.target
    }

    /// Returns the log fields that explain the choice of the target.
    pub(crate) fn log_fields(&self) -> String {
        let state = if self.choice.permit.is_cold {
            "cold"
        } else {
            "warm"
        };
        format!("state={state} passed-over={:?}", self.choice.passed_over)
    }

    /// Returns whether the request may still be sent: the grant has not expired and the
    /// target is unchanged and open.
    pub(crate) fn may_send(&self, now: Instant) -> bool {
        now < self.choice.permit.send_by && self.scheduler.is_open(&self.choice.target, now)
    }

    /// Discards the slot grant of the target, because the target has changed.
    pub(crate) fn discard_grant(&self) {
        self.scheduler.drop_grant(&self.choice.permit.target);
    }

    /// Suspends the target after a failure: no request is started there for a while.
    pub(crate) fn suspend(&self) {
        self.scheduler.suspend(&self.choice.permit.target);
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        self.scheduler.release(&self.choice.permit.target);
    }
}
