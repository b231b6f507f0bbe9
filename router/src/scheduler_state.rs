//! State of a slot scheduler: slot leases, queues and waiting requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use jujuberoad::admission::RetryBudget;
use jujuberoad::admission::WaitQueue;
use jujuberoad::ids::TargetId;
use jujuberoad::routing::ChoiceHint;
use jujuberoad::slots::SlotLease;
use smol::channel::Sender;

use crate::slot_choice::SlotChoice;
use crate::slot_demand::SlotDemand;

/// State of a slot scheduler, protected by its lock.
#[derive(Default)]
pub(crate) struct SchedulerState {
    pub(crate) slot_leases: HashMap<TargetId, SlotLease>,
    pub(crate) queues: BTreeMap<SlotDemand, Box<dyn WaitQueue>>,
    pub(crate) waiters: HashMap<u64, SlotWaiter>,
    pub(crate) assigned: HashMap<u64, SlotChoice>,
    /// Targets that a request would have preferred but whose state is unknown;
    /// slots are requested from their homes next.
    pub(crate) unknown_targets: BTreeSet<TargetId>,
    pub(crate) next_id: u64,
    pub(crate) budget: RetryBudget,
}

/// A request waiting for a slot.
pub(crate) struct SlotWaiter {
    pub(crate) hint: ChoiceHint,
    pub(crate) avoid: Option<TargetId>,
    pub(crate) sender: Sender<()>,
}

impl SchedulerState {
    /// Removes requests whose deadline has passed; dropping their senders wakes them.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        for queue in self.queues.values_mut() {
            for ticket in queue.expire(now) {
                self.waiters.remove(&ticket.id);
            }
        }
    }
}
