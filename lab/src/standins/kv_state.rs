//! State of the stand-in for the platform's key-value service.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

/// Reason for which a write was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvError {
    /// The key has another version than expected: this one, or 0 if it does not exist.
    Conflict(u64),
    /// The lease has expired.
    NoLease,
}

/// Versioned keys, leases and the faults to simulate.
#[derive(Debug, Default)]
pub struct KvState {
    values: BTreeMap<String, KvValue>,
    leases: BTreeMap<u64, KvLease>,
    next_version: u64,
    next_lease: u64,
    /// Number of calls by kind.
    pub calls: BTreeMap<&'static str, u64>,
    /// End of a simulated outage.
    pub unavailable_until: Option<Instant>,
    /// Number of next PUT requests that are processed without sending a response.
    pub responses_to_drop: u64,
    /// Delay added to each call, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Clone, Debug)]
struct KvValue {
    version: u64,
    bytes: Bytes,
    lease: Option<u64>,
}

#[derive(Debug)]
struct KvLease {
    ttl_ms: u64,
    expires_at: Instant,
}

impl KvState {
    /// Returns whether the service is unavailable at `now`.
    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.unavailable_until.is_some_and(|until| now < until)
    }

    /// Counts a call.
    pub fn count_call(&mut self, kind: &'static str) {
        *self.calls.entry(kind).or_default() += 1;
    }

    /// Returns the version and value of a key.
    pub fn get(&mut self, key: &str, now: Instant) -> Option<(u64, Bytes)> {
        self.expire(now);
        self.values
            .get(key)
            .map(|value| (value.version, value.bytes.clone()))
    }

    /// Returns the keys that start with `prefix`.
    pub fn list(&mut self, prefix: &str, now: Instant) -> Vec<String> {
        self.expire(now);
        self.values
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Writes a key if its version is `expected`, and returns the new version.
    ///
    /// Version 0 stands for a key that does not exist. With a lease, the key is deleted
    /// when the lease expires.
    pub fn put(
        &mut self,
        key: &str,
        expected: u64,
        bytes: Bytes,
        lease: Option<u64>,
        now: Instant,
    ) -> Result<u64, KvError> {
        self.check(key, expected, now)?;
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(KvError::NoLease);
        }
        self.next_version += 1;
        let version = self.next_version;
        self.values.insert(
            key.to_owned(),
            KvValue {
                version,
                bytes,
                lease,
            },
        );
        Ok(version)
    }

    /// Deletes a key if its version is `expected`.
    pub fn delete(&mut self, key: &str, expected: u64, now: Instant) -> Result<(), KvError> {
        self.check(key, expected, now)?;
        self.values.remove(key);
        Ok(())
    }

    /// Creates a lease and returns its id.
    pub fn open_lease(&mut self, ttl_ms: u64, now: Instant) -> u64 {
        self.next_lease += 1;
        let expires_at = now + Duration::from_millis(ttl_ms);
        self.leases
            .insert(self.next_lease, KvLease { ttl_ms, expires_at });
        self.next_lease
    }

    /// Renews a lease; returns false if it has expired.
    pub fn renew_lease(&mut self, lease: u64, now: Instant) -> bool {
        self.expire(now);
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.expires_at = now + Duration::from_millis(lease.ttl_ms);
        true
    }

    fn check(&mut self, key: &str, expected: u64, now: Instant) -> Result<(), KvError> {
        self.expire(now);
        let found = self.values.get(key).map_or(0, |value| value.version);
        if found == expected {
            Ok(())
        } else {
            Err(KvError::Conflict(found))
        }
    }

    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| now < lease.expires_at);
        let leases = &self.leases;
        self.values
            .retain(|_, value| value.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }
}
