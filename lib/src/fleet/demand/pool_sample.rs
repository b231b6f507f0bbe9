//! One measurement of a model's requests and slots.

use crate::ids::ModelId;

/// Use of the slots from which requests that wait count.
const FULL_USE: f64 = 0.9;

/// Requests and slots of one model at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolSample {
    /// Model that the requests are for.
    pub model: ModelId,
    /// Number of its open groups that requests can reach.
    pub groups: usize,
    /// Slots of these groups.
    pub slots: u32,
    /// Requests of all routers in progress at these groups.
    pub running: u32,
    /// Requests that wait for a slot, as far as they are known.
    pub waiting: u32,
}

impl PoolSample {
    /// Returns the requests that want a slot.
    ///
    /// Those that wait count only while nearly all slots are taken, since requests also wait for
    /// other reasons, and only up to the number of slots, so that one long queue does not
    /// outweigh all other samples of a period.
    pub fn wanted(&self) -> u32 {
        let is_full = f64::from(self.running) >= FULL_USE * f64::from(self.slots);
        let waiting = self.waiting.min(self.slots.max(1));
        self.running + if is_full { waiting } else { 0 }
    }
}
