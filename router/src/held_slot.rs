//! A slot for as long as a request needs it.

use std::sync::Arc;
use std::time::Instant;

use jujuberoad::routing::RouteTarget;

use crate::slot_choice::SlotChoice;
use crate::slot_scheduler::SlotScheduler;

/// Gives its slot back when it is dropped.
pub(crate) struct HeldSlot {
    choice: SlotChoice,
    scheduler: Arc<SlotScheduler>,
}

impl HeldSlot {
    pub(crate) fn new(choice: SlotChoice, scheduler: Arc<SlotScheduler>) -> Self {
        Self { choice, scheduler }
    }

    /// Returns the target as it was when the slot was taken.
    pub(crate) fn target(&self) -> &RouteTarget {
        &self.choice.target
    }

    /// Describes the choice for the log.
    pub(crate) fn reason(&self) -> String {
        let state = if self.choice.permit.is_cold {
            "cold"
        } else {
            "warm"
        };
        format!("state={state} passed-over={:?}", self.choice.passed_over)
    }

    /// Tells whether the request may still be sent on this slot.
    pub(crate) fn may_send(&self, now: Instant) -> bool {
        now < self.choice.permit.send_by && self.scheduler.is_open(&self.choice.target, now)
    }

    /// Forgets the grant behind this slot, because the target is not what it was.
    pub(crate) fn drop_grant(&self) {
        self.scheduler.drop_grant(&self.choice.permit.target);
    }

    /// Starts nothing on the target for a while, after a failure there.
    pub(crate) fn suspend(&self) {
        self.scheduler.suspend(&self.choice.permit.target);
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        self.scheduler.release(&self.choice.permit.target);
    }
}
