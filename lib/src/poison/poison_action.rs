//! What a detector asks its router to tell the others.

use std::collections::BTreeSet;

use super::QuarantineNotice;
use crate::ids::PromptPartId;

/// A message to all peers, and a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoisonAction {
    /// Parts are about to be quarantined; peers object with survivals that they know of.
    Suspect(BTreeSet<PromptPartId>),
    /// A quarantine has begun.
    Quarantine(QuarantineNotice),
    /// A quarantine was lifted before its end.
    Lift(QuarantineNotice),
}
