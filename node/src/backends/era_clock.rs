//! The newest era of the store, and notification of a new one.

use std::sync::Mutex;

use jujuberoad::era::EraTracker;
use jujuberoad::era::EraVerdict;
use jujuberoad::era::StoreEra;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

/// Holds the newest era of the store for the whole process.
///
/// Every answer of the store is recorded here before it is used, so that no task goes on
/// with what it knows from an older era.
pub struct EraClock {
    state: Mutex<ClockState>,
}

struct ClockState {
    tracker: EraTracker,
    /// Closed when the next era begins.
    current_era: Sender<()>,
    ended: Receiver<()>,
}

impl Default for EraClock {
    fn default() -> Self {
        let (current_era, ended) = channel::bounded(1);
        let tracker = EraTracker::default();
        let state = ClockState {
            tracker,
            current_era,
            ended,
        };
        Self {
            state: Mutex::new(state),
        }
    }
}

impl EraClock {
    /// Records the era of an answer.
    pub fn observe(&self, era: StoreEra) -> EraVerdict {
        let mut state = self.state.lock().expect("era lock");
        let verdict = state.tracker.observe(era);
        if verdict == EraVerdict::Begun {
            let (current_era, ended) = channel::bounded(1);
            state.current_era.close();
            state.current_era = current_era;
            state.ended = ended;
        }
        verdict
    }

    /// Returns the newest era; 0 before the first answer.
    pub fn newest(&self) -> StoreEra {
        let state = self.state.lock().expect("era lock");
        state.tracker.newest().unwrap_or(0)
    }

    /// Waits until an era newer than `known` has begun.
    pub async fn wait_beyond(&self, known: StoreEra) {
        loop {
            let ended = {
                let state = self.state.lock().expect("era lock");
                if state.tracker.newest().unwrap_or(0) > known {
                    return;
                }
                state.ended.clone()
            };
            // Nothing is ever sent; an error means that the era has ended.
            let _ = ended.recv().await;
        }
    }
}
