//! Kinds of load reports.

use strum::Display;

/// What a router sends to a peer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[strum(serialize_all = "kebab-case")]
pub enum DigestKind {
    /// `Loads`, which every build reads.
    Plain,
    /// The digest of the sender and its members, for another hub.
    Hub,
    /// The digest of the whole fleet, for a member of the sender.
    Member,
    /// Nothing: the peer gets the digest of the fleet from another hub.
    Nothing,
}
