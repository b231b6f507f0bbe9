//! A clock that goes on while the VM is suspended.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A moment since the VM was booted, suspended time included.
///
/// `Instant` stands still while a VM is suspended, so a lease judged by it would
/// seem to hold when it has long lapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current moment.
    pub(crate) fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Self(Duration::new(seconds, nanoseconds))
    }

    /// Returns the moment `span` later.
    pub(crate) fn after(self, span: Duration) -> Self {
        Self(self.0 + span)
    }
}
