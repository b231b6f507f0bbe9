//! Counts the attempts of one request.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// The attempts of a request, some of which may be in progress at the same time.
#[derive(Debug, Default)]
pub(crate) struct RunCount {
    runs: AtomicU32,
    unexecuted: AtomicU32,
}

impl RunCount {
    /// Records that the request is being sent.
    pub(crate) fn begin(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a peer may make up to `runs` attempts.
    pub(crate) fn begin_relayed(&self, runs: u32) {
        self.runs.fetch_add(runs, Ordering::Relaxed);
    }

    /// Records that no peer has taken the request for `runs` attempts.
    pub(crate) fn record_not_relayed(&self, runs: u32) {
        self.runs.fetch_sub(runs, Ordering::Relaxed);
    }

    /// Records that an attempt has not executed the request.
    pub(crate) fn record_not_run(&self) {
        self.runs.fetch_sub(1, Ordering::Relaxed);
        self.unexecuted.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of attempts that may have executed the request, those in progress
    /// included.
    pub(crate) fn runs(&self) -> u32 {
        self.runs.load(Ordering::Relaxed)
    }

    /// Returns the number of attempts that are known not to have executed the request.
    pub(crate) fn unexecuted(&self) -> u32 {
        self.unexecuted.load(Ordering::Relaxed)
    }
}
