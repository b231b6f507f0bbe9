//! Bound for the open connections of a server.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use jujuberoad::admission::ConnectionPhase;
use jujuberoad::admission::ConnectionTable;
use jujuberoad::admission::ConnectionVerdict;
use jujuberoad::ids::ConnectionId;

use super::ConnectionMark;
use crate::runtime::StopSignal;
use crate::runtime::StopTrigger;

/// Closes connections of callers when too many are open.
pub struct ConnectionBound {
    max_connections: usize,
    state: Mutex<BoundState>,
    closed_count: AtomicU64,
}

struct BoundState {
    table: ConnectionTable,
    /// What closes a connection when it is dropped.
    triggers: HashMap<ConnectionId, StopTrigger>,
}

impl ConnectionBound {
    /// Creates a bound of `max_connections`.
    pub fn new(max_connections: usize) -> Arc<Self> {
        let state = BoundState {
            table: ConnectionTable::new(max_connections),
            triggers: HashMap::new(),
        };
        Arc::new(Self {
            max_connections,
            state: Mutex::new(state),
            closed_count: AtomicU64::new(0),
        })
    }

    /// Returns the number of connections that were closed or turned away at the bound.
    pub fn closed_count(&self) -> u64 {
        self.closed_count.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.state.lock().expect("connection lock").table.len()
    }

    /// Returns whether as many connections are open as may be.
    pub(super) fn is_reached(&self) -> bool {
        self.open_count() >= self.max_connections
    }

    /// Adds a connection and returns its mark, and the signal at which it has to close; returns
    /// `None` if there is no room.
    pub(super) fn open(self: &Arc<Self>) -> Option<(Arc<ConnectionMark>, StopSignal)> {
        let mut state = self.state.lock().expect("connection lock");
        let verdict = state.table.open(Instant::now());
        let ConnectionVerdict::Opened(id, closed) = verdict else {
            self.closed_count.fetch_add(1, Ordering::Relaxed);
            return None;
        };
        if let Some(closed) = closed {
            self.closed_count.fetch_add(1, Ordering::Relaxed);
            state.triggers.remove(&closed);
        }
        let (trigger, evicted) = StopSignal::new();
        state.triggers.insert(id, trigger);
        Some((ConnectionMark::new(Arc::clone(self), id), evicted))
    }

    pub(super) fn observe(&self, id: ConnectionId) {
        let mut state = self.state.lock().expect("connection lock");
        state.table.observe(id, Instant::now());
    }

    pub(super) fn set_phase(&self, id: ConnectionId, phase: ConnectionPhase) -> bool {
        let mut state = self.state.lock().expect("connection lock");
        state.table.set_phase(id, phase)
    }

    pub(super) fn close(&self, id: ConnectionId) {
        let mut state = self.state.lock().expect("connection lock");
        state.table.close(id);
        state.triggers.remove(&id);
    }
}
