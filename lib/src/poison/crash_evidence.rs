//! What a router tells its peers of crashes.

use serde::Deserialize;
use serde::Serialize;

use super::CrashReport;
use super::SurvivalReport;

/// Maximum number of items of each sort in one message, so that it fits in a datagram.
const MAX_ITEMS: usize = 12;

/// Crashes and survivals that a router has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Endpoints that seem to have crashed.
    pub crashes: Vec<CrashReport>,
    /// Parts of prompts whose runs have lived long enough.
    pub survivals: Vec<SurvivalReport>,
}

impl CrashEvidence {
    /// Returns the evidence in pieces that fit in a message; none if there is no evidence.
    pub fn into_messages(mut self) -> Vec<Self> {
        let mut messages = Vec::new();
        while !self.is_empty() {
            messages.push(Self {
                crashes: take_items(&mut self.crashes),
                survivals: take_items(&mut self.survivals),
            });
        }
        messages
    }

    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty()
    }
}

fn take_items<T>(items: &mut Vec<T>) -> Vec<T> {
    items.drain(..items.len().min(MAX_ITEMS)).collect()
}
