//! A clock that goes on while the VM is suspended.

use std::time::Duration;

use jujuberoad::fleet::BootTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the VM was booted, suspended time included.
///
/// `Instant` stands still while a VM is suspended, so a lease judged by it would
/// seem to hold when it has long lapsed.
pub(crate) fn now() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
