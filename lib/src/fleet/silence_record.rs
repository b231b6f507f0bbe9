//! What is known of an endpoint that does not respond.

use std::time::Duration;
use std::time::Instant;

use super::SilenceKind;

/// Time without any answer after which an endpoint counts as lost. A process that is suspended
/// or collects garbage is back before.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);
/// The same if not even connections are accepted, which the VM does for a process that pauses.
/// A lost packet accounts for one probe, not for several in a row.
const DARK_LIMIT: Duration = Duration::from_millis(200);
/// Time between two probes of a silent endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// How long an endpoint has been unresponsive, and whether its loss is proved.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilenceRecord {
    pub(super) until: Instant,
    silent_since: Instant,
    /// Since when connections are not accepted, if the last call shows that.
    dark_since: Option<Instant>,
    is_proved: bool,
    next_probe_at: Instant,
}

impl SilenceRecord {
    /// Creates a record of an endpoint that is silent since `now`.
    pub(super) fn new(now: Instant, until: Instant) -> Self {
        Self {
            until,
            silent_since: now,
            dark_since: None,
            is_proved: false,
            next_probe_at: now,
        }
    }

    /// Records what one more failed call shows.
    pub(super) fn observe(&mut self, kind: SilenceKind, now: Instant) {
        match kind {
            SilenceKind::Refused => self.is_proved = true,
            SilenceKind::NotAccepted => {
                self.dark_since.get_or_insert(now);
            }
            SilenceKind::Unanswered => self.dark_since = None,
        }
    }

    /// Returns whether the endpoint may still go on where it stopped.
    pub(super) fn may_return(&self, now: Instant) -> bool {
        let is_dark = self
            .dark_since
            .is_some_and(|dark_since| dark_since + DARK_LIMIT <= now);
        !self.is_proved && !is_dark && now < self.until && now < self.silent_since + SILENCE_LIMIT
    }

    /// Returns whether the endpoint has to be probed now, and records the probe.
    pub(super) fn take_probe(&mut self, now: Instant) -> bool {
        if !self.may_return(now) || now < self.next_probe_at {
            return false;
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        true
    }
}
