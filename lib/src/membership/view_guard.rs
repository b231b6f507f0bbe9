//! Decides whether a router's view is recent enough to start work.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::ConfirmedVersion;
use super::VIEW_VALID_MS;
use super::VersionVector;
use super::ViewKey;
use crate::ids::Milliseconds;
use crate::ids::StoreVersion;

/// Tracks the held version of each record and how long its confirmation is valid.
///
/// A version is confirmed when the store, or a relay that has recently heard
/// from the store, reports it as the newest. A confirmation is dated by when
/// the query was sent, so a paused router or a delayed response never makes a
/// view look newer than it is. Versions never decrease.
#[derive(Clone, Debug, Default)]
pub struct ViewGuard {
    held: VersionVector,
    confirmed_until: BTreeMap<ViewKey, Instant>,
    outage_until: Option<Instant>,
    store_failed_at: Option<Instant>,
}

impl ViewGuard {
    /// Returns the versions of the held records.
    pub fn held_versions(&self) -> &VersionVector {
        &self.held
    }

    /// Accepts a record of `version`; returns whether it replaces the held one.
    pub fn accept(&mut self, key: &ViewKey, version: StoreVersion) -> bool {
        self.held.raise(key, version)
    }

    /// Records that `version` was the newest one of `key` at `asked_at`.
    ///
    /// Returns whether the record must be read because `version` is newer than
    /// the held one.
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

    /// Records at `now` that a call to the store failed, or that a relay reported
    /// that it cannot reach the store.
    pub fn record_store_failure(&mut self, now: Instant) {
        self.store_failed_at = Some(now);
    }

    /// Records that a majority of voters agrees until `until` that the store is
    /// unavailable.
    pub fn confirm_outage(&mut self, until: Instant) {
        self.outage_until = Some(until);
    }

    /// Returns whether work that depends on `key` may start at `now`.
    pub fn is_fresh(&self, key: &ViewKey, now: Instant) -> bool {
        if self.held.get(key) == 0 {
            return false;
        }
        let until = self.confirmed_until.get(key).copied();
        until
            .max(self.outage_until)
            .is_some_and(|until| now < until)
    }

    /// Returns the confirmations of the held records that are still valid.
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

    /// Records that all held versions were the newest ones at `asked_at`.
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

    /// Returns the age of the oldest confirmation among all held records, or
    /// `None` if the confirmation of any of them has expired.
    pub fn oldest_confirmation_age_ms(&self, now: Instant) -> Option<Milliseconds> {
        let confirmations = self.confirmations(now);
        let is_complete = confirmations.len() == self.held.iter().count();
        let oldest = confirmations.iter().map(|confirmed| confirmed.age_ms).max();
        oldest.filter(|_| is_complete)
    }

    /// Returns whether the store was last heard from within `span` before `now`
    /// and no call has failed since.
    pub fn reaches_store(&self, span: Duration, now: Instant) -> bool {
        let valid = Duration::from_millis(VIEW_VALID_MS);
        let until = self.confirmed_until.get(&ViewKey::Config);
        let is_heard = until.is_some_and(|until| now + valid < *until + span);
        is_heard && self.store_failed_at.is_none()
    }

    /// Returns whether the view is valid only because voters agree that the store is
    /// unavailable.
    pub fn is_in_outage(&self, now: Instant) -> bool {
        let is_confirmed = self
            .confirmed_until
            .get(&ViewKey::Config)
            .is_some_and(|until| now < *until);
        !is_confirmed && self.outage_until.is_some_and(|until| now < until)
    }
}
