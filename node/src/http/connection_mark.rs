//! What a server knows about the use of one connection.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use jujuberoad::admission::ConnectionPhase;
use jujuberoad::ids::ConnectionId;

use super::ConnectionBound;

/// Reports progress and phases of a connection to its [`ConnectionBound`]. Handlers find it in
/// the extensions of a request, as an `Arc`.
pub struct ConnectionMark {
    bound: Arc<ConnectionBound>,
    id: ConnectionId,
    /// Whether the response has ended, but may not have been sent as a whole.
    is_ending: AtomicBool,
}

impl ConnectionMark {
    pub(super) fn new(bound: Arc<ConnectionBound>, id: ConnectionId) -> Arc<Self> {
        Arc::new(Self {
            bound,
            id,
            is_ending: false.into(),
        })
    }

    /// Notes that the request is about to be passed on, so that the connection is kept; returns
    /// false if the connection is to be closed already.
    pub fn record_forwarded(&self) -> bool {
        self.bound.set_phase(self.id, ConnectionPhase::Forwarded)
    }

    pub(super) fn begin_request(&self) {
        self.is_ending.store(false, Ordering::Relaxed);
        // The connection task ends by itself if the connection is to be closed.
        self.bound.set_phase(self.id, ConnectionPhase::Receiving);
    }

    pub(super) fn end_response(&self) {
        self.is_ending.store(true, Ordering::Relaxed);
    }

    pub(super) fn record_progress(&self) {
        self.bound.observe(self.id);
    }

    /// Notes that everything has been written. Only then is the connection idle: a caller may
    /// read the end of its response slowly.
    pub(super) fn record_flush(&self) {
        if self.is_ending.swap(false, Ordering::Relaxed) {
            self.bound.set_phase(self.id, ConnectionPhase::Idle);
        }
    }
}

impl Drop for ConnectionMark {
    fn drop(&mut self) {
        self.bound.close(self.id);
    }
}
