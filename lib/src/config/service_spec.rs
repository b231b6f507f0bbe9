//! Configuration of a plain service.

use smol_str::SmolStr;

use crate::ids::ServiceId;

/// A `[service NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub service: ServiceId,
    /// Path prefix of its requests.
    pub prefix: SmolStr,
    /// Concurrent requests that a warm endpoint can handle.
    pub slots: u64,
    /// Concurrent requests that an endpoint can handle during cold start.
    pub cold_slots: u64,
    /// Whether requests other than GET and HEAD may be retried.
    pub repeatable: bool,
}
