//! Which version of the operator's keys a router has applied, beside what others have.

use std::time::Instant;

use crate::era::StoreEra;
use crate::ids::Milliseconds;
use crate::ids::StoreVersion;
use crate::peer::VersionNote;

/// Age up to which a note shows that the store has no newer change.
pub const NOTE_VALID_MS: Milliseconds = 1_000;

#[derive(Clone, Copy, Debug)]
struct AppliedVersion {
    era: StoreEra,
    /// Version of the newest change; a deletion may be missing after a full read.
    newest_change: StoreVersion,
    /// Version up to which all changes are applied.
    as_of: StoreVersion,
    confirmed_at: Instant,
}

/// Compares the version that this router has applied with those in version notes.
#[derive(Clone, Debug, Default)]
pub struct VersionTracker {
    applied: Option<AppliedVersion>,
}

impl VersionTracker {
    /// Records a full read as of `as_of`, in which `newest_change` is the newest item.
    pub fn record_read(
        &mut self,
        era: StoreEra,
        newest_change: StoreVersion,
        as_of: StoreVersion,
        now: Instant,
    ) {
        let known = self.applied.filter(|applied| applied.era == era);
        let known = known.map_or(0, |applied| applied.newest_change);
        self.applied = Some(AppliedVersion {
            era,
            newest_change: known.max(newest_change),
            as_of,
            confirmed_at: now,
        });
    }

    /// Records the answer of a watch, whose newest event is `newest_change`, if it has any.
    pub fn record_watch(
        &mut self,
        newest_change: Option<StoreVersion>,
        as_of: StoreVersion,
        now: Instant,
    ) {
        let Some(applied) = &mut self.applied else {
            return;
        };
        applied.newest_change = newest_change.unwrap_or(0).max(applied.newest_change);
        applied.as_of = as_of.max(applied.as_of);
        applied.confirmed_at = now;
    }

    /// Returns the note that this router sends.
    pub fn note(&self, now: Instant) -> Option<VersionNote> {
        let applied = self.applied?;
        let age = now.saturating_duration_since(applied.confirmed_at);
        Some(VersionNote {
            era: applied.era,
            version: applied.newest_change,
            age_ms: age.as_millis() as Milliseconds,
        })
    }

    /// Returns whether a note tells of a change that this router has not applied.
    pub fn is_behind(&self, heard: &VersionNote) -> bool {
        self.applied.is_some_and(|applied| {
            let is_later_change = heard.era == applied.era && heard.version > applied.as_of;
            heard.era > applied.era || is_later_change
        })
    }

    /// Returns whether a note, aged as of now, shows that there is nothing to read.
    pub fn is_confirmed_by(&self, heard: &VersionNote) -> bool {
        let is_same_era = self.applied.is_some_and(|own| own.era == heard.era);
        is_same_era && heard.age_ms <= NOTE_VALID_MS && !self.is_behind(heard)
    }
}
