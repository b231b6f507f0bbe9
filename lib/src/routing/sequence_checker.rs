//! Checks that a stream is whole, in order and the caller's own.

use smol_str::SmolStr;

/// What to do with a token that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamStep {
    /// It is the next one; pass it on.
    Forward,
    /// It has been passed on before; drop it.
    Repeated,
    /// It belongs to another request or leaves a gap; close the connection.
    Broken,
}

/// Follows the tokens of one request over all its attempts.
#[derive(Clone, Debug)]
pub struct SequenceChecker {
    request: SmolStr,
    next: u64,
}

impl SequenceChecker {
    /// Starts before the first token of `request`.
    pub fn new(request: SmolStr) -> Self {
        Self { request, next: 0 }
    }

    /// Returns the index of the token that is to come next.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Takes token `index` of the stream that claims to be that of `request`.
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
