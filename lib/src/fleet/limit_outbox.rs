//! Limits that peers have to be told of.

use std::collections::BTreeMap;
use std::time::Instant;

use super::LimitNotice;
use super::LimitStatement;
use crate::ids::EndpointId;

/// Number of times that each statement is sent, because datagrams may be lost.
const SENDS: u32 = 3;

/// The statements that have changed a limit lately, each until it has been sent [`SENDS`] times.
#[derive(Clone, Debug, Default)]
pub struct LimitOutbox {
    pending: BTreeMap<EndpointId, (LimitStatement, u32)>,
}

impl LimitOutbox {
    /// Adds a statement; it replaces an earlier one of the same endpoint.
    pub fn push(&mut self, endpoint: EndpointId, statement: LimitStatement) {
        self.pending.insert(endpoint, (statement, SENDS));
    }

    /// Returns what to send to all peers now.
    pub fn take(&mut self, now: Instant) -> Vec<LimitNotice> {
        let mut notices = Vec::new();
        self.pending.retain(|endpoint, (statement, sends_left)| {
            notices.push(LimitNotice::new(endpoint.clone(), statement, now));
            *sends_left -= 1;
            *sends_left > 0
        });
        notices
    }
}
