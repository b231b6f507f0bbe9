//! Checks that a token stream is complete, in order and belongs to the caller's request.

use smol_str::SmolStr;

/// What to do with a received token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamStep {
    /// It is the next one; forward it.
    Forward,
    /// It has been forwarded before; drop it.
    Repeated,
    /// It belongs to another request or leaves a gap; close the connection.
    Broken,
}

/// Tracks the token sequence of one request across all its attempts.
#[derive(Clone, Debug)]
pub struct SequenceChecker {
    request: SmolStr,
    next: u64,
}

impl SequenceChecker {
    /// Returns a checker that expects the first token of `request`.
    pub fn new(request: SmolStr) -> Self {
        Self { request, next: 0 }
    }

    /// Returns the index of the next expected token.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Checks token `index` of a stream whose events name `request`.
    pub fn observe(&mut self, request: &str, index: u64) -> StreamStep {
        if request != self.request || index > self.next {
            return StreamStep::Broken;
        }
        if index < self.next {
            return StreamStep::Repeated;
        }
        self.next += 1;
        StreamStep::Forward
    }
}
