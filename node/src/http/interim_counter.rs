//! The limit of interim responses.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Maximum number of interim responses (1xx) before a response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Counts the interim responses to one request.
///
/// The connection itself looks at the count, so that it ends a flood without waiting until the
/// task of the request is run.
#[derive(Debug, Default)]
pub(super) struct InterimCounter {
    count: AtomicUsize,
}

impl InterimCounter {
    /// Records an interim response.
    pub(super) fn record(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
    }

    /// Starts anew for the next request on the same connection.
    pub(super) fn reset(&self) {
        self.count.store(0, Ordering::Relaxed);
    }

    /// Returns whether there were more interim responses than allowed.
    pub(super) fn is_exceeded(&self) -> bool {
        self.count.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
    }
}
