//! What operators say about a plain service.

use smol_str::SmolStr;

use crate::ids::ServiceId;

/// A `[service NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub service: ServiceId,
    /// Path prefix under which callers reach it.
    pub prefix: SmolStr,
    /// Requests that a warm endpoint bears at a time.
    pub slots: u64,
    /// Requests that an endpoint in cold start bears at a time.
    pub cold_slots: u64,
    /// Whether calls other than GET and HEAD may be repeated.
    pub repeatable: bool,
}
