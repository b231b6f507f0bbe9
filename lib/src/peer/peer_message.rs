//! Messages that routers send to each other.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::PeerDigest;
use crate::claims::ClaimAnswer;
use crate::claims::ClaimKey;
use crate::claims::ClaimReply;
use crate::fleet::EndpointLoad;
use crate::fleet::EngineReport;
use crate::fleet::GroupKey;
use crate::fleet::LimitNotice;
use crate::fleet::RegistryDelta;
use crate::ids::EndpointId;
use crate::ids::Fence;
use crate::ids::Milliseconds;
use crate::ids::Nonce;
use crate::ids::PromptPartId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::membership::ConfirmedVersion;
use crate::membership::PeerVote;
use crate::poison::CrashEvidence;
use crate::poison::QuarantineNotice;
use crate::slots::SlotGrant;
use crate::slots::SlotRequest;

/// A request to a peer, a response or a notification.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests the newest versions and whether the peer can reach the store.
    Ping {
        /// Digest of the versions that the sender holds.
        digest: u64,
    },
    /// Response to a ping from a router that holds the same versions.
    PongSame {
        /// Age of the oldest confirmation among these versions, in milliseconds;
        /// `None` if any of them has no valid confirmation.
        age_ms: Option<Milliseconds>,
        /// Whether the sender can reach the store.
        reaches_store: bool,
    },
    /// Response to a ping from a router that holds different versions.
    Pong {
        /// Versions that the store has confirmed as the newest.
        confirmed: Vec<ConfirmedVersion>,
        /// Whether the sender can reach the store, and the versions that it holds.
        vote: PeerVote,
    },
    /// Requests slots from the home of a target.
    SlotRequest(SlotRequest),
    /// Response to a slot request.
    SlotGrant(SlotGrant),
    /// Requests a claim from the home of a shard.
    Claim {
        /// The key.
        key: ClaimKey,
        /// Random number that identifies this attempt.
        nonce: Nonce,
        /// Time for which the sender waits for a reply, in milliseconds.
        timeout_ms: Milliseconds,
    },
    /// Response to a claim.
    ClaimReply(ClaimReply),
    /// Reports the result of a claimed request to the home of its shard.
    CompleteClaim {
        /// The key.
        key: ClaimKey,
        /// Nonce of the claim.
        nonce: Nonce,
        /// Result of the request.
        answer: ClaimAnswer,
    },
    /// Response to `CompleteClaim`.
    ClaimCompleted {
        /// Whether the result is recorded in the platform's store.
        is_recorded: bool,
    },
    /// Reports the load that the sender has in progress at endpoints.
    Loads {
        /// Load by endpoint.
        loads: Vec<(EndpointId, EndpointLoad)>,
        /// Fencing token under which the sender forms groups, if it does.
        placer: Option<Fence>,
    },
    /// Relays changes of the registry that the sender has read from the store.
    RegistryDelta {
        /// Fencing token under which the sender forms groups.
        placer: Fence,
        /// Time since the store sent the changes.
        age_ms: Milliseconds,
        /// The changes.
        delta: RegistryDelta,
    },
    /// Distributes engine reports in place of the registry while it is unavailable.
    EngineReports {
        /// Fencing token under which the sender forms groups.
        placer: Fence,
        /// Reports by engine.
        reports: Vec<(EndpointId, EngineReport)>,
    },
    /// Transfers the right to form groups to the receiver while the store is
    /// unavailable; the sender issues no orders afterwards.
    Handover {
        /// Fencing token under which the receiver continues.
        fence: Fence,
    },
    /// Reports that a group no longer works.
    GroupFailure {
        /// Endpoint of the group head.
        endpoint: EndpointId,
        /// The failed group.
        group: GroupKey,
        /// Member that does not respond; `None` if all members have left the group.
        lost: Option<EndpointId>,
    },
    /// Tells what the sender has seen of crashes of engines.
    CrashEvidence(CrashEvidence),
    /// Asks for survivals of parts that the sender is about to quarantine.
    SuspectParts(BTreeSet<PromptPartId>),
    /// Announces quarantines that the sender has in force or has lifted.
    Quarantines(Vec<QuarantineNotice>),
    /// Tells of limits on the rate of requests that endpoints have named, changed or ended.
    RequestLimits(Vec<LimitNotice>),
    /// Tells to which services the sender has lost its path; none if it has them all again.
    LostPaths(BTreeSet<ServiceId>),
    /// Asks which routers can be the hub of the sender.
    HubQuery,
    /// Tells that the sender can be a hub.
    HubInfo {
        /// Availability zone of the sender.
        zone: ZoneId,
    },
    /// Digest of a member for its hub.
    MemberDigest(PeerDigest),
    /// Digest of a hub: for a member, that of the whole fleet without the member's own part; for
    /// another hub, that of the sender and its members.
    FleetDigest(PeerDigest),
}

impl PeerMessage {
    /// Returns whether the message is a response.
    pub fn is_response(&self) -> bool {
        matches!(
            self,
            Self::Pong { .. }
                | Self::PongSame { .. }
                | Self::SlotGrant(_)
                | Self::ClaimReply(_)
                | Self::ClaimCompleted { .. }
        )
    }
}
