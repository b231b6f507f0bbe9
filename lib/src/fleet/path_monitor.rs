//! Tells lost paths from lost endpoints.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use super::service_paths::ServicePaths;
use crate::ids::EndpointId;
use crate::ids::ServiceId;

/// What this router has seen of its own paths to the endpoints of each service.
///
/// Endpoints fail one by one, and the others are in contact meanwhile. When several endpoints of
/// one service fail and hardly any other is reached, the path of this router is the likely cause.
/// The verdict costs little if it is wrong: requests go through peers, and if none takes them,
/// to the endpoints as usual.
#[derive(Clone, Debug, Default)]
pub struct PathMonitor {
    services: HashMap<ServiceId, ServicePaths>,
}

impl PathMonitor {
    /// Records contact with an endpoint; `connected_at` is when the last connection to it was
    /// opened, if known.
    pub fn observe_contact(
        &mut self,
        service: &ServiceId,
        endpoint: &EndpointId,
        connected_at: Option<Instant>,
        now: Instant,
    ) {
        let paths = self.services.entry(service.clone()).or_default();
        paths.observe_contact(endpoint, connected_at, now);
    }

    /// Records that an endpoint did not respond.
    pub fn observe_failure(&mut self, service: &ServiceId, endpoint: &EndpointId, now: Instant) {
        let paths = self.services.entry(service.clone()).or_default();
        paths.observe_failure(endpoint, now);
    }

    /// Returns whether the path to a service is lost: by what its own endpoints show, or because
    /// the path to another service is and none of its own endpoints was reached since.
    pub fn is_severed(&mut self, service: &ServiceId, now: Instant) -> bool {
        let paths = self.services.entry(service.clone()).or_default();
        if paths.review(now) {
            return true;
        }
        let contact_at = paths.last_contact_at();
        let severed_at = self.services.values().filter_map(ServicePaths::severed_at);
        severed_at.max().is_some_and(|at| contact_at < Some(at))
    }

    /// Returns whether some endpoints of a service fail and hardly any other is reached, which may
    /// turn out to be a lost path.
    pub fn is_doubtful(&self, service: &ServiceId, now: Instant) -> bool {
        let paths = self.services.get(service);
        paths.is_some_and(|paths| paths.is_doubtful(now))
    }

    /// Returns the services among `known` whose path is lost.
    pub fn severed_services<'a>(
        &mut self,
        known: impl Iterator<Item = &'a ServiceId>,
        now: Instant,
    ) -> BTreeSet<ServiceId> {
        let severed = known.filter(|service| self.is_severed(service, now));
        severed.cloned().collect()
    }
}
