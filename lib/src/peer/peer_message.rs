//! What routers say to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::claims::ClaimAnswer;
use crate::claims::ClaimKey;
use crate::claims::ClaimReply;
use crate::fleet::EndpointLoad;
use crate::fleet::EngineReport;
use crate::fleet::GroupKey;
use crate::ids::EndpointId;
use crate::ids::Fence;
use crate::ids::Milliseconds;
use crate::ids::Nonce;
use crate::ids::StoreVersion;
use crate::membership::ConfirmedVersion;
use crate::membership::PeerVote;
use crate::slots::SlotGrant;
use crate::slots::SlotRequest;

/// A question to a peer, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for the newest versions and for the peer's view of the store.
    Ping {
        /// Digest of the versions that the asker holds.
        digest: u64,
    },
    /// Answers a ping of a router that holds the same versions.
    PongSame {
        /// Time since the store named the oldest of them as the newest, in
        /// milliseconds; nothing when it has not done so lately.
        age_ms: Option<Milliseconds>,
        /// Whether the store can be reached.
        reaches_store: bool,
    },
    /// Answers a ping of a router that holds other versions.
    Pong {
        /// Versions that the store named as the newest.
        confirmed: Vec<ConfirmedVersion>,
        /// Whether the store can be reached, and the versions that are held.
        vote: PeerVote,
    },
    /// Asks the home of a target for slots.
    SlotRequest(SlotRequest),
    /// Answers a request for slots.
    SlotGrant(SlotGrant),
    /// Asks the home of a shard to claim a key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// Drawn by the asker for this one attempt.
        nonce: Nonce,
        /// Time for which the asker waits, in milliseconds.
        timeout_ms: Milliseconds,
    },
    /// Answers a claim.
    ClaimReply(ClaimReply),
    /// Tells the home of a shard how a claimed request ended.
    CompleteClaim {
        /// The key.
        key: ClaimKey,
        /// The nonce under which it was claimed.
        nonce: Nonce,
        /// How the request ended.
        answer: ClaimAnswer,
    },
    /// Acknowledges a settlement.
    ClaimCompleted {
        /// Whether it is on record in the platform's store.
        is_recorded: bool,
    },
    /// Tells how much work the sender has under way at endpoints.
    Loads {
        /// Work by endpoint.
        loads: Vec<(EndpointId, EndpointLoad)>,
        /// Fence under which the sender forms groups, if it does.
        placer: Option<Fence>,
    },
    /// Tells what engines are known to do, ahead of the registry or in place of it.
    EngineReports {
        /// Fence under which the sender forms groups.
        placer: Fence,
        /// Version of the store that showed it; nothing while the store is away.
        as_of: Option<StoreVersion>,
        /// The engines and their reports.
        reports: Vec<(EndpointId, EngineReport)>,
    },
    /// Hands the right to form groups to the receiver while the store is away; the
    /// sender gives no order after it.
    Handover {
        /// Fence under which the receiver goes on.
        fence: Fence,
    },
    /// Tells that a group does not work any more.
    GroupFailure {
        /// The head.
        endpoint: EndpointId,
        /// Its group.
        group: GroupKey,
        /// Member that does not do its part; nothing where all have moved on.
        lost: Option<EndpointId>,
    },
}

impl PeerMessage {
    /// Tells whether the message answers a question.
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
