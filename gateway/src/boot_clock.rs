//! A monotonic clock that includes the time for which the VM was suspended.

use std::time::Duration;

use jujuberoad::fleet::BootTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the VM was booted, including suspended time.
///
/// `Instant` does not advance while a VM is suspended, so a lease checked against
/// it would appear valid after it has expired.
pub(crate) fn now() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
