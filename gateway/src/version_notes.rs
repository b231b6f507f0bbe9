//! Version notes of peers, by which a member may wait longer for the store.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::membership::VersionTracker;
use jujuberoad::peer::VersionNote;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::store_watch;

/// Time between two looks at the notes while a watch is in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Wait of a watch at a hub with members. With the time for the answer and a digest, its notes
/// stay below the age at which members drop their watches.
const HUB_WATCH_WAIT: Duration = Duration::from_millis(700);
/// Time by which members learn of a change later than their hub: a digest, and a read.
const MEMBER_DELAY: Duration = Duration::from_millis(700);

/// The version of the operator's keys that this router has applied.
#[derive(Default)]
pub(crate) struct VersionNotes {
    tracker: Mutex<VersionTracker>,
}

impl VersionNotes {
    /// Locks and returns what this router has applied. No other lock is taken under it.
    pub(crate) fn tracker(&self) -> MutexGuard<'_, VersionTracker> {
        self.tracker.lock().expect("version lock")
    }

    fn is_behind(&self, heard: &VersionNote) -> bool {
        self.tracker().is_behind(heard)
    }

    fn is_confirmed_by(&self, heard: &VersionNote) -> bool {
        self.tracker().is_confirmed_by(heard)
    }
}

/// Returns the wait of a watch that changes have to be read by in time even if its answer is
/// lost.
pub(crate) fn watch_wait(core: &GatewayCore) -> Duration {
    if is_confirmed(core) {
        return store_watch::MAX_WATCH_WAIT;
    }
    short_wait(core)
}

fn short_wait(core: &GatewayCore) -> Duration {
    let settle = Duration::from_millis(core.settings.store_settle_ms);
    if core.digests.member_count() == 0 {
        return store_watch::bounded_watch_wait(settle);
    }
    let settle = settle.saturating_sub(MEMBER_DELAY);
    store_watch::bounded_watch_wait(settle).min(HUB_WATCH_WAIT)
}

/// Returns whether a hub tells this member that it has applied the newest version.
fn is_confirmed(core: &GatewayCore) -> bool {
    let note = core.digests.hub_note(Instant::now());
    note.is_some_and(|note| core.version_notes.is_confirmed_by(&note))
}

/// Waits until a watch of the operator's keys that waits for `wait` is to be renewed.
pub(crate) async fn until_outdated(core: &GatewayCore, wait: Duration) {
    let is_long = wait == store_watch::MAX_WATCH_WAIT;
    let heard = core.digests.newest_note(Instant::now());
    let Some(at_start) = heard else {
        // Without notes, the watch is in time by its own wait.
        return std::future::pending().await;
    };
    loop {
        Timer::after(CHECK_INTERVAL).await;
        if is_long && !is_confirmed(core) {
            return;
        }
        let Some(heard) = core.digests.newest_note(Instant::now()) else {
            continue;
        };
        // The watch began after an earlier note, so that it returns what that one tells of.
        let is_newer = (heard.era, heard.version) > (at_start.era, at_start.version);
        if is_newer && core.version_notes.is_behind(&heard) {
            return;
        }
    }
}

/// Waits until a watch of the registry that waits for `wait` is to be renewed: notes say nothing
/// of the registry, so that what the placer relays has to confirm it meanwhile.
pub(crate) async fn until_unconfirmed(core: &GatewayCore, wait: Duration) {
    if wait != store_watch::MAX_WATCH_WAIT {
        return std::future::pending().await;
    }
    let started_at = Instant::now();
    let span = short_wait(core);
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let confirmed_at = core.fleet.view().registry_confirmed_at;
        let confirmed_at = confirmed_at.map_or(started_at, |at| at.max(started_at));
        if confirmed_at.elapsed() >= span || !is_confirmed(core) {
            return;
        }
    }
}
