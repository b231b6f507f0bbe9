//! Holds calls to a service that does not answer.

use std::time::Duration;
use std::time::Instant;

/// Failures in a row, over all kinds of calls, from which the service counts as away.
const AWAY_AFTER: u32 = 2;
/// First and longest pause between calls that look whether it is back. Calls that a
/// service turns away are billed too, and what changed in an outage is to be in force
/// two seconds after it.
const LOOK_PAUSE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(800));
/// Pause after which one that waits asks the gate again.
const ASK_AGAIN: Duration = Duration::from_millis(150);

/// Lets all calls pass while a service answers, and one at a time while it does not.
///
/// Each of several tasks that watch the same service would find out for itself that it
/// is away, and go on trying.
#[derive(Clone, Debug, Default)]
pub struct CallGate {
    failures: u32,
    next_look: Option<Instant>,
}

impl CallGate {
    /// Returns nothing where a call may be made now, else when to ask again.
    ///
    /// Whoever may pass while the service is away looks for all others.
    pub fn try_pass(&mut self, now: Instant) -> Option<Instant> {
        if !self.is_away() {
            return None;
        }
        match self.next_look {
            Some(at) if now < at => Some(at.min(now + ASK_AGAIN)),
            _ => {
                self.next_look = Some(now + self.look_pause());
                None
            }
        }
    }

    /// Notes a call that was answered.
    pub fn note_answer(&mut self) {
        *self = Self::default();
    }

    /// Notes a call that was turned away or not answered; `draw` in 0..1 spreads the
    /// next looks of different processes.
    pub fn note_failure(&mut self, now: Instant, draw: f64) {
        self.failures = self.failures.saturating_add(1);
        if self.is_away() {
            let pause = self.look_pause().mul_f64(0.75 + 0.5 * draw);
            self.next_look = Some(now + pause);
        }
    }

    /// Tells whether the service counts as away.
    pub fn is_away(&self) -> bool {
        self.failures >= AWAY_AFTER
    }

    fn look_pause(&self) -> Duration {
        let doublings = self.failures.saturating_sub(AWAY_AFTER).min(4);
        (LOOK_PAUSE.0 * 2_u32.pow(doublings)).min(LOOK_PAUSE.1)
    }
}
