//! Whether a router's view is recent enough to start work on.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::ConfirmedVersion;
use super::VIEW_VALID_MS;
use super::VersionVector;
use super::ViewKey;
use crate::ids::Milliseconds;
use crate::ids::StoreVersion;

/// Keeps the versions that are held and until when each has been confirmed.
///
/// A version is confirmed when the store, or a relay that has just heard from
/// the store, names it as the newest. The moment that counts is the one at
/// which the question was sent, so a frozen router or a late answer never
/// makes a view look newer than it is. Versions never fall.
#[derive(Clone, Debug, Default)]
pub struct ViewGuard {
    held: VersionVector,
    confirmed_until: BTreeMap<ViewKey, Instant>,
    outage_until: Option<Instant>,
    store_failed_at: Option<Instant>,
}

impl ViewGuard {
    /// Returns the versions that are held.
    pub fn held_versions(&self) -> &VersionVector {
        &self.held
    }

    /// Takes a record of `version`; returns whether it replaces the one held.
    pub fn accept(&mut self, key: &ViewKey, version: StoreVersion) -> bool {
        self.held.raise(key, version)
    }

    /// Takes word that `version` was the newest one of `key` at `asked_at`.
    ///
    /// Returns whether the record has to be read, because a newer version is
    /// known than the one held.
    pub fn confirm(&mut self, key: &ViewKey, version: StoreVersion, asked_at: Instant) -> bool {
        if version > self.held.get(key) {
            return true;
        }
        if version == self.held.get(key) {
            let until = asked_at + Duration::from_millis(VIEW_VALID_MS);
            self.store_failed_at = self
                .store_failed_at
                .filter(|failed_at| *failed_at >= asked_at);
            let confirmed_until = self.confirmed_until.entry(key.clone()).or_insert(until);
            *confirmed_until = (*confirmed_until).max(until);
        }
        false
    }

    /// Notes that the store, or word of it, was found missing at `now`.
    pub fn record_store_failure(&mut self, now: Instant) {
        self.store_failed_at = Some(now);
    }

    /// Notes that most peers agreed until `until` that the store is out.
    pub fn confirm_outage(&mut self, until: Instant) {
        self.outage_until = Some(until);
    }

    /// Tells whether work that depends on `key` may start at `now`.
    pub fn is_fresh(&self, key: &ViewKey, now: Instant) -> bool {
        if self.held.get(key) == 0 {
            return false;
        }
        let until = self.confirmed_until.get(key).copied();
        until
            .max(self.outage_until)
            .is_some_and(|until| now < until)
    }

    /// Returns what has been confirmed about the records that are held.
    pub fn confirmations(&self, now: Instant) -> Vec<ConfirmedVersion> {
        let valid = Duration::from_millis(VIEW_VALID_MS);
        let mut confirmations = Vec::new();
        for (key, until) in &self.confirmed_until {
            let age = (now + valid).saturating_duration_since(*until);
            let age_ms = Milliseconds::try_from(age.as_millis()).unwrap_or(Milliseconds::MAX);
            if age_ms >= VIEW_VALID_MS {
                continue;
            }
            let version = self.held.get(key);
            confirmations.push(ConfirmedVersion {
                key: key.clone(),
                version,
                age_ms,
            });
        }
        confirmations
    }

    /// Takes word that all held versions were the newest ones at `asked_at`.
    pub fn confirm_held(&mut self, asked_at: Instant) {
        let held: Vec<_> = self
            .held
            .iter()
            .map(|(key, version)| (key.clone(), version))
            .collect();
        for (key, version) in held {
            self.confirm(&key, version, asked_at);
        }
    }

    /// Returns the age of the oldest confirmation among all held records;
    /// nothing when one of them is not confirmed any more.
    pub fn oldest_confirmation_age_ms(&self, now: Instant) -> Option<Milliseconds> {
        let confirmations = self.confirmations(now);
        let is_complete = confirmations.len() == self.held.iter().count();
        let oldest = confirmations.iter().map(|confirmed| confirmed.age_ms).max();
        oldest.filter(|_| is_complete)
    }

    /// Tells whether the store has been heard from within `span` before `now`,
    /// and not been found missing since.
    pub fn reaches_store(&self, span: Duration, now: Instant) -> bool {
        let valid = Duration::from_millis(VIEW_VALID_MS);
        let until = self.confirmed_until.get(&ViewKey::Config);
        let is_heard = until.is_some_and(|until| now + valid < *until + span);
        is_heard && self.store_failed_at.is_none()
    }

    /// Tells whether the view rests on an agreed outage of the store.
    pub fn is_in_outage(&self, now: Instant) -> bool {
        let is_confirmed = self
            .confirmed_until
            .get(&ViewKey::Config)
            .is_some_and(|until| now < *until);
        !is_confirmed && self.outage_until.is_some_and(|until| now < until)
    }
}
