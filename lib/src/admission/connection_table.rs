//! Decides which connections of callers stay open.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::ConnectionId;

/// What a connection is used for. Connections of an earlier phase are closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// No request is in progress; a head may be arriving.
    Idle,
    /// A request is in progress that no endpoint has.
    Receiving,
    /// A request may have been passed on to an endpoint. The connection is not closed.
    Forwarded,
}

/// Whether a new connection may stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionVerdict {
    /// It is open, and this other one is to be closed for it.
    Opened(ConnectionId, Option<ConnectionId>),
    /// No other connection may be closed for it.
    NoRoom,
}

#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    phase: ConnectionPhase,
    progressed_at: Instant,
}

/// The open connections of callers and when bytes last moved on each.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    last_id: ConnectionId,
    connections: BTreeMap<ConnectionId, OpenConnection>,
}

impl ConnectionTable {
    /// Creates a table for at most `max_connections`.
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            last_id: 0,
            connections: BTreeMap::new(),
        }
    }

    /// Adds a connection. At the bound, it takes the place of the one that has gone longest
    /// without progress, an idle one before one with a request in progress.
    pub fn open(&mut self, now: Instant) -> ConnectionVerdict {
        let mut closed = None;
        if self.connections.len() >= self.max_connections {
            let closable = self.connections.iter();
            let closable = closable.filter(|(_, open)| open.phase != ConnectionPhase::Forwarded);
            let oldest = closable.min_by_key(|(_, open)| (open.phase, open.progressed_at));
            let Some((&victim, _)) = oldest else {
                return ConnectionVerdict::NoRoom;
            };
            self.connections.remove(&victim);
            closed = Some(victim);
        }
        self.last_id += 1;
        let open = OpenConnection {
            phase: ConnectionPhase::Idle,
            progressed_at: now,
        };
        self.connections.insert(self.last_id, open);
        ConnectionVerdict::Opened(self.last_id, closed)
    }

    /// Notes that bytes moved on a connection.
    pub fn observe(&mut self, id: ConnectionId, now: Instant) {
        if let Some(open) = self.connections.get_mut(&id) {
            open.progressed_at = now;
        }
    }

    /// Sets the phase of a connection; returns false if it is to be closed.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase) -> bool {
        let Some(open) = self.connections.get_mut(&id) else {
            return false;
        };
        open.phase = phase;
        true
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
