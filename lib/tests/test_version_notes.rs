//! Version notes, by which members wait longer for the store.

use std::time::Duration;
use std::time::Instant;

use jujuberoad::membership::VersionTracker;
use jujuberoad::peer::VersionNote;

fn note(era: u64, version: u64, age_ms: u64) -> VersionNote {
    VersionNote {
        era,
        version,
        age_ms,
    }
}

/// Guards against a long wait on an old note, a note of another era or one of a newer version.
#[test]
fn only_recent_notes_of_applied_versions_confirm() {
    let now = Instant::now();
    let mut tracker = VersionTracker::default();
    assert!(!tracker.is_confirmed_by(&note(1, 0, 0)));
    tracker.record_read(1, 40, 60, now);
    // The store has had other writes up to 60.
    assert!(tracker.is_confirmed_by(&note(1, 50, 1_000)));
    assert!(!tracker.is_confirmed_by(&note(1, 50, 1_001)));
    assert!(!tracker.is_confirmed_by(&note(1, 61, 0)));
    assert!(!tracker.is_confirmed_by(&note(0, 40, 0)));
    assert!(tracker.is_behind(&note(1, 61, 5_000)));
    assert!(tracker.is_behind(&note(2, 3, 0)));
    assert!(!tracker.is_behind(&note(0, 99, 0)));
}

/// Guards against notes that go back, or that look younger than what the store has said.
#[test]
fn notes_tell_of_the_newest_change_and_its_confirmation() {
    let now = Instant::now();
    let later = now + Duration::from_millis(300);
    let mut tracker = VersionTracker::default();
    assert_eq!(tracker.note(now), None);
    tracker.record_read(1, 40, 60, now);
    assert_eq!(tracker.note(later), Some(note(1, 40, 300)));
    tracker.record_watch(Some(70), 72, later);
    tracker.record_watch(None, 90, later);
    assert_eq!(tracker.note(later), Some(note(1, 70, 0)));
    // A full read does not show a deletion, which was the newest change.
    tracker.record_read(1, 40, 95, later);
    assert_eq!(tracker.note(later), Some(note(1, 70, 0)));
    // After a restore, only the new era counts.
    tracker.record_read(2, 45, 46, later);
    assert_eq!(tracker.note(later), Some(note(2, 45, 0)));
}
