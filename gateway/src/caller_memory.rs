//! What callers may make the process hold.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use jujuberoad_node::http::ConnectionBound;
use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::body_memory::BodyMemory;
use crate::gateway_settings::GatewaySettings;

/// Descriptors that the process needs besides those of callers and of their requests: its
/// sockets, calls to the store, peers and probes.
const OTHER_DESCRIPTORS: u64 = 256;
/// Descriptors for each connection of a caller: its own, and one to an endpoint.
const DESCRIPTORS_PER_CONNECTION: u64 = 2;
/// Maximum number of refused bodies whose rest is read at the same time.
const MAX_DISCARDS: usize = 64;

/// Bounds for bodies, connections and the rests of refused bodies.
pub(crate) struct CallerMemory {
    pub(crate) bodies: Arc<BodyMemory>,
    pub(crate) connections: Arc<ConnectionBound>,
    discards: Arc<AtomicUsize>,
}

impl CallerMemory {
    /// Takes the bounds from the settings and from the limit of the process for descriptors.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let by_descriptors =
            descriptors.saturating_sub(OTHER_DESCRIPTORS) / DESCRIPTORS_PER_CONNECTION;
        let connections = settings.max_connections.min(by_descriptors).max(1);
        let connections = usize::try_from(connections).unwrap_or(usize::MAX);
        Self {
            bodies: BodyMemory::new(settings.body_memory_bytes),
            connections: ConnectionBound::new(connections),
            discards: Arc::default(),
        }
    }

    /// Allows the rest of one more refused body to be read, unless too many are being read.
    pub(crate) fn try_discard(&self) -> Option<DiscardPermit> {
        let permit = DiscardPermit(Arc::clone(&self.discards));
        let earlier = self.discards.fetch_add(1, Ordering::Relaxed);
        (earlier < MAX_DISCARDS).then_some(permit)
    }
}

/// Counts a refused body as being read until it is dropped.
pub(crate) struct DiscardPermit(Arc<AtomicUsize>);

impl Drop for DiscardPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
