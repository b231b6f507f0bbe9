//! What a slot desk keeps: wallets, queues and the requests that wait.

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

/// State behind the lock of a slot desk.
#[derive(Default)]
pub(crate) struct SchedulerState {
    pub(crate) slot_leases: HashMap<TargetId, SlotLease>,
    pub(crate) queues: BTreeMap<SlotDemand, Box<dyn WaitQueue>>,
    pub(crate) waiters: HashMap<u64, SlotWaiter>,
    pub(crate) assigned: HashMap<u64, SlotChoice>,
    /// Targets that a request would have liked and that are not known yet.
    pub(crate) unknown_targets: BTreeSet<TargetId>,
    pub(crate) next_id: u64,
    pub(crate) budget: RetryBudget,
}

/// A request that waits for a slot.
pub(crate) struct SlotWaiter {
    pub(crate) hint: ChoiceHint,
    pub(crate) avoid: Option<TargetId>,
    pub(crate) sender: Sender<()>,
}

impl SchedulerState {
    /// Lets go of the requests whose time has passed.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        for queue in self.queues.values_mut() {
            for ticket in queue.expire(now) {
                self.waiters.remove(&ticket.id);
            }
        }
    }
}
