//! Measured use of one model's slots.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::PoolSample;

/// Time for which samples are kept. Room for twice the highest use in this time stays with
/// the model when it gives up a group.
const HISTORY_SPAN: Duration = Duration::from_secs(30);
/// Multiple of the highest recent use that the remaining groups must have slots for.
const ROOM_FACTOR: u32 = 2;
/// Use of a model that has requests but no open group.
const USE_WITHOUT_SLOTS: f64 = 2.0;

/// Requests and slots of a model over the last [`HISTORY_SPAN`].
#[derive(Clone, Debug, Default)]
pub struct PoolDemand {
    samples: VecDeque<(Instant, PoolSample)>,
}

impl PoolDemand {
    /// Adds a sample taken at `now`.
    pub fn observe(&mut self, sample: PoolSample, now: Instant) {
        self.samples.push_back((now, sample));
        while let Some((at, _)) = self.samples.front()
            && *at + HISTORY_SPAN < now
        {
            self.samples.pop_front();
        }
    }

    /// Returns the mean use of the slots over the last `span`, where 1.0 is all of them.
    /// Requests that wait raise it above that.
    pub fn mean_use(&self, span: Duration, now: Instant) -> f64 {
        let mut wanted = 0.0;
        let mut slots = 0.0;
        for (at, sample) in self.samples.iter().rev() {
            if *at + span <= now {
                break;
            }
            wanted += f64::from(sample.wanted());
            slots += f64::from(sample.slots);
        }
        if slots > 0.0 {
            return wanted / slots;
        }
        if wanted > 0.0 { USE_WITHOUT_SLOTS } else { 0.0 }
    }

    /// Returns how many groups the model can give up such that the others have slots for twice
    /// its highest use in the last 30 s; one group always stays.
    pub fn spare_groups(&self) -> usize {
        let Some((_, last)) = self.samples.back() else {
            return 0;
        };
        if last.groups == 0 {
            return 0;
        }
        let slots_per_group = (last.slots as usize / last.groups).max(1);
        let samples = self.samples.iter();
        let highest = samples.map(|(_, sample)| sample.wanted()).max();
        let room = (ROOM_FACTOR * highest.unwrap_or(0)) as usize;
        let needed = room.div_ceil(slots_per_group).max(1);
        last.groups.saturating_sub(needed)
    }
}
