//! When each part last survived.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::fingerprint::is_fingerprint;
use crate::ids::PromptPartId;

/// Time for which a survival makes it likely that a part is sound.
pub(super) const SURVIVAL_MEMORY: Duration = Duration::from_secs(30);
/// Time for which survivals are kept: as long as crashes, and the time above before them.
const RETENTION: Duration = Duration::from_secs(90);
/// Time between removals of old survivals.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of parts, and of fingerprints; those of a router's runs within the retention
/// are fewer.
const MAX_PARTS: usize = 65_536;

/// Last survival of each part at any router.
///
/// Fingerprints are kept apart, because each request has one: they must not use up the room
/// of the parts that requests share.
#[derive(Clone, Debug, Default)]
pub(super) struct SurvivalLog {
    parts: HashMap<PromptPartId, Instant>,
    fingerprints: HashMap<PromptPartId, Instant>,
    next_prune: Option<Instant>,
}

impl SurvivalLog {
    /// Records a survival.
    pub(super) fn record(&mut self, part: &PromptPartId, survived_at: Instant) {
        let log = if is_fingerprint(part) {
            &mut self.fingerprints
        } else {
            &mut self.parts
        };
        if let Some(last) = log.get_mut(part) {
            *last = survived_at.max(*last);
        } else if log.len() < MAX_PARTS {
            log.insert(part.clone(), survived_at);
        }
    }

    /// Returns the last survival of a part.
    pub(super) fn last(&self, part: &str) -> Option<Instant> {
        let log = if is_fingerprint(part) {
            &self.fingerprints
        } else {
            &self.parts
        };
        log.get(part).copied()
    }

    /// Returns whether a part has survived shortly before `at`.
    pub(super) fn is_recent(&self, part: &str, at: Instant) -> bool {
        self.last(part)
            .is_some_and(|survived_at| at < survived_at + SURVIVAL_MEMORY)
    }

    /// Removes survivals that no longer matter, from time to time.
    pub(super) fn prune(&mut self, now: Instant) {
        if self.next_prune.is_some_and(|at| now < at) {
            return;
        }
        self.next_prune = Some(now + PRUNE_INTERVAL);
        for log in [&mut self.parts, &mut self.fingerprints] {
            log.retain(|_, survived_at| now < *survived_at + RETENTION);
        }
    }
}
