//! Notices outages of the store, and their end for watches that were pending meanwhile.

use std::sync::Mutex;
use std::time::Instant;

use jujuberoad_node::backends::StoreError;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

/// Consecutive calls without an answer, or without any other answer than refusals, that make an
/// outage.
const OUTAGE_CALLS: u32 = 2;

/// Number of outages that have ended.
pub(crate) type OutageCount = u64;

/// Counts the outages of the store that have ended, if calls were not answered in them.
///
/// A watch that was pending in such an outage may never be answered, though its connection
/// looks sound from both ends.
pub(crate) struct OutageClock {
    state: Mutex<ClockState>,
}

struct ClockState {
    unanswered_calls: u32,
    /// When the last call failed or was refused.
    last_failure_at: Option<Instant>,
    /// Calls that failed or were refused since the last one that was answered otherwise.
    failed_calls: u32,
    /// When the last call failed or was refused after another one.
    last_outage_at: Option<Instant>,
    ended: OutageCount,
    /// Closed at the end of the next outage.
    next_end: Sender<()>,
    end_signal: Receiver<()>,
}

impl Default for OutageClock {
    fn default() -> Self {
        let (next_end, end_signal) = channel::bounded(1);
        let state = ClockState {
            unanswered_calls: 0,
            last_failure_at: None,
            failed_calls: 0,
            last_outage_at: None,
            ended: 0,
            next_end,
            end_signal,
        };
        Self {
            state: Mutex::new(state),
        }
    }
}

impl OutageClock {
    /// Records the result of a call that is no watch. A refusal is an answer, too.
    pub(crate) fn observe<T>(&self, result: &Result<T, StoreError>) {
        let mut state = self.state.lock().expect("outage lock");
        match result {
            Err(error) if error.is_outage() => {
                let now = Instant::now();
                state.last_failure_at = Some(now);
                state.failed_calls = state.failed_calls.saturating_add(1);
                if state.failed_calls >= OUTAGE_CALLS {
                    state.last_outage_at = Some(now);
                }
            }
            _ => state.failed_calls = 0,
        }
        if let Err(StoreError::Call(_)) = result {
            state.unanswered_calls = state.unanswered_calls.saturating_add(1);
            return;
        }
        let was_outage = std::mem::take(&mut state.unanswered_calls) >= OUTAGE_CALLS;
        if was_outage {
            state.ended += 1;
            let (next_end, end_signal) = channel::bounded(1);
            state.next_end.close();
            state.next_end = next_end;
            state.end_signal = end_signal;
        }
    }

    /// Returns whether a call that is no watch has failed since `since`. The store may have been
    /// away then, and entries may have lapsed meanwhile.
    pub(crate) fn has_failed_since(&self, since: Instant) -> bool {
        let state = self.state.lock().expect("outage lock");
        state.last_failure_at.is_some_and(|at| at >= since)
    }

    /// Returns whether consecutive calls that are no watch have failed or were refused since
    /// `since`. A single call may be refused though the store serves this router.
    pub(crate) fn was_out_since(&self, since: Instant) -> bool {
        let state = self.state.lock().expect("outage lock");
        state.last_outage_at.is_some_and(|at| at >= since)
    }

    /// Returns whether that is so and the last call was answered.
    pub(crate) fn has_recovered_since(&self, since: Instant) -> bool {
        let state = self.state.lock().expect("outage lock");
        state.last_outage_at.is_some_and(|at| at >= since) && state.failed_calls == 0
    }

    /// Returns whether the last call that is no watch was answered.
    pub(crate) fn is_answered(&self) -> bool {
        self.state.lock().expect("outage lock").failed_calls == 0
    }

    /// Returns the number of outages that have ended.
    pub(crate) fn ended(&self) -> OutageCount {
        self.state.lock().expect("outage lock").ended
    }

    /// Waits until more than `known` outages have ended.
    pub(crate) async fn wait_beyond(&self, known: OutageCount) {
        loop {
            let end_signal = {
                let state = self.state.lock().expect("outage lock");
                if state.ended > known {
                    return;
                }
                state.end_signal.clone()
            };
            // Nothing is ever sent; an error means that an outage has ended.
            let _ = end_signal.recv().await;
        }
    }
}
