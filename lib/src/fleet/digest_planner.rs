//! What a router sends to which peers to report load, and what it takes from their reports.

use std::time::Duration;
use std::time::Instant;

use super::DigestInput;
use super::DigestRound;
use super::DigestSend;
use super::DigestSum;
use super::DigestTick;
use super::LoadTable;
use crate::ids::RouterId;
use crate::ids::ZoneId;
use crate::membership::DigestKind;
use crate::membership::HUB_SILENCE;
use crate::membership::HubTable;
use crate::membership::LoadsUse;
use crate::membership::MEMBER_INTERVAL;
use crate::peer::PeerDigest;
use crate::peer::PeerMessage;

/// Base interval between digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(50);
/// Added to the interval for each receiver, so that the message rate of a router stays
/// bounded as the fleet grows.
const DIGEST_INTERVAL_PER_RECEIVER: Duration = Duration::from_millis(5);
/// Longest interval of a hub with members, so that three digests reach each of them in the time
/// after which they take the hub for lost.
const MAX_HUB_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time for which a peer's digest is valid.
const MIN_DIGEST_LIFETIME: Duration = HUB_SILENCE;
/// Number of digests in the time for which one is valid, because datagrams may be lost.
const DIGESTS_PER_LIFETIME: u32 = 3;
/// Factor between the processor shares of routers from which a fleet counts as uneven.
const UNEVEN_FACTOR: u32 = 2;
/// Time for which a fleet counts as uneven after the last digest that showed it, so that this
/// does not change while a member looks for a hub.
const UNEVEN_TIME: Duration = Duration::from_millis(15_000);

/// Plans the digests of one router.
#[derive(Clone, Debug)]
pub struct DigestPlanner {
    table: HubTable,
    sum: DigestSum,
    cpu_millicores: u32,
    interval: Duration,
    /// When a member without a hub, or a hub with members, sends its loads to peers that get no
    /// digest next.
    plain_at: Option<Instant>,
    uneven_until: Option<Instant>,
    /// When the next tick is due.
    tick_at: Option<Instant>,
}

impl DigestPlanner {
    /// Creates the planner of router `id` in `zone`; `is_member` tells whether it looks for a hub.
    pub fn new(id: RouterId, zone: ZoneId, cpu_millicores: u32, is_member: bool) -> Self {
        Self {
            table: HubTable::new(id, zone, is_member),
            sum: DigestSum::default(),
            cpu_millicores,
            interval: DIGEST_INTERVAL,
            plain_at: None,
            uneven_until: None,
            tick_at: None,
        }
    }

    /// Returns which routers are hubs and members.
    pub fn table(&self) -> &HubTable {
        &self.table
    }

    /// Returns the digests of the peers.
    pub fn sum(&self) -> &DigestSum {
        &self.sum
    }

    /// Returns the digests of the peers, to add to them and take from them.
    pub fn sum_mut(&mut self) -> &mut DigestSum {
        &mut self.sum
    }

    /// Returns whether the processor shares of the routers are known to differ by
    /// [`UNEVEN_FACTOR`].
    pub fn is_uneven(&self, now: Instant) -> bool {
        self.uneven_until.is_some_and(|until| now < until)
    }

    /// Takes a message of a peer; `peer_count` is the number of routers, and `is_listed` tells
    /// whether the sender is one of them, which digests can be sent to. Returns the answer.
    pub fn receive(
        &mut self,
        sender: &RouterId,
        message: PeerMessage,
        loads: &mut LoadTable,
        peer_count: usize,
        is_listed: bool,
        now: Instant,
    ) -> Option<PeerMessage> {
        let plain_until = now + lifetime(interval(peer_count));
        match message {
            PeerMessage::Loads {
                loads: reported, ..
            } => match self.table.observe_loads(sender, now, plain_until) {
                LoadsUse::Count => {
                    self.sum.forget(sender);
                    loads.observe_peer(sender.clone(), reported, now, plain_until);
                    None
                }
                LoadsUse::Drop => None,
                LoadsUse::DropAndQuery => Some(PeerMessage::HubQuery),
            },
            PeerMessage::HubQuery => {
                let zone = self.table.zone().clone();
                let is_answered = self.table.observe_query(sender.clone(), now);
                // A member would wait in vain for digests of a hub that does not know it yet.
                (is_answered && is_listed).then_some(PeerMessage::HubInfo { zone })
            }
            PeerMessage::HubInfo { zone } => {
                self.table.observe_info(sender.clone(), zone, now);
                None
            }
            PeerMessage::MemberDigest(digest) => {
                if self.table.observe_member(sender.clone(), now) {
                    self.observe(sender, digest, true, loads, now, now + HUB_SILENCE);
                }
                None
            }
            PeerMessage::FleetDigest(digest) => {
                self.observe_fleet(sender, digest, loads, now);
                None
            }
            _ => None,
        }
    }

    fn observe_fleet(
        &mut self,
        sender: &RouterId,
        digest: PeerDigest,
        loads: &mut LoadTable,
        now: Instant,
    ) {
        if !self.table.observe_fleet(sender, now) {
            return;
        }
        let mut valid_until = now + lifetime(self.interval);
        if self.table.is_member() {
            // It replaces what other routers have sent to this one.
            self.sum.retain(sender);
            loads.retain_peer(sender);
            valid_until = now + HUB_SILENCE;
        }
        self.observe(sender, digest, false, loads, now, valid_until);
    }

    fn observe(
        &mut self,
        sender: &RouterId,
        digest: PeerDigest,
        is_member: bool,
        loads: &mut LoadTable,
        now: Instant,
        valid_until: Instant,
    ) {
        self.sum
            .observe(sender, digest, is_member, loads, now, valid_until);
        let (least, most) = self.sum.cpu_range(self.cpu_millicores);
        if least > 0 && most >= least.saturating_mul(UNEVEN_FACTOR) {
            self.uneven_until = Some(now + UNEVEN_TIME);
        }
    }

    /// Returns what to send at `now`. The loads must not hold expired reports.
    pub fn tick(&mut self, input: DigestInput<'_>, now: Instant) -> DigestTick {
        let peers = input.peers;
        if let Some(due_at) = self.tick_at {
            self.table.excuse(now.saturating_duration_since(due_at));
        }
        let is_peer = |id: &RouterId| peers.binary_search(id).is_ok();
        let step = self.table.step(&is_peer, input.always_announces, now);
        self.sum.expire(now);
        let mut sends = Vec::new();
        if step.queries {
            sends.push(send_all(PeerMessage::HubQuery, peers));
        }
        if step.announces {
            let zone = self.table.zone().clone();
            sends.push(send_all(PeerMessage::HubInfo { zone }, peers));
        }
        if let Some(chosen) = &step.chosen {
            sends.push(last_loads(peers, chosen, step.left.as_ref()));
        }
        let is_member = self.table.is_member();
        if is_member {
            sends.extend(self.plan_member(input, step.lost.is_some(), now));
            self.interval = MEMBER_INTERVAL;
        } else {
            sends.extend(self.plan_hub(input, now));
        }
        let next_at = now + self.interval;
        self.tick_at = Some(next_at);
        DigestTick {
            step,
            sends,
            next_at,
        }
    }

    /// Plans the digest of a member for its hub, or its loads for all peers if they are due.
    fn plan_member(
        &mut self,
        input: DigestInput<'_>,
        has_lost_hub: bool,
        now: Instant,
    ) -> Option<DigestSend> {
        let peers = input.peers;
        let hub = self.table.hub();
        let position = hub.and_then(|hub| peers.binary_search(hub).ok());
        if let Some(position) = position {
            let round = self.begin_round(input, now);
            return Some(DigestSend {
                message: PeerMessage::MemberDigest(round.own().clone()),
                receivers: vec![position],
            });
        }
        if !has_lost_hub && self.plain_at.is_some_and(|at| now < at) {
            return None;
        }
        self.plain_at = Some(now + interval(peers.len() + 1));
        let round = self.begin_round(input, now);
        Some(send_all(plain(round.own().clone()), peers))
    }

    /// Plans the digests of a router that can be a hub.
    fn plan_hub(&mut self, input: DigestInput<'_>, now: Instant) -> Vec<DigestSend> {
        let is_active = self.table.is_active(now);
        let exchanges_digests = input.always_announces || is_active;
        let peers = input.peers;
        let (mut members, mut hubs, mut plain_peers) = (Vec::new(), Vec::new(), Vec::new());
        for (position, peer) in peers.iter().enumerate() {
            match self.table.kind_for(peer, exchanges_digests) {
                DigestKind::Member => members.push(position),
                DigestKind::Hub => hubs.push(position),
                DigestKind::Plain => plain_peers.push(position),
                DigestKind::Nothing => {}
            }
        }
        let receivers = members.len() + hubs.len() + plain_peers.len();
        // The shorter interval of members is not for peers that may be the whole fleet.
        if !members.is_empty() && self.plain_at.is_some_and(|at| now < at) {
            plain_peers.clear();
        } else {
            self.plain_at = Some(now + interval(receivers));
        }
        self.interval = if !is_active {
            interval(peers.len() + 1)
        } else if members.is_empty() {
            interval(receivers)
        } else {
            interval(members.len() + hubs.len()).min(MAX_HUB_INTERVAL)
        };
        let mut round = self.begin_round(input, now);
        let mut sends = Vec::new();
        for position in members {
            sends.push(DigestSend {
                message: PeerMessage::FleetDigest(round.for_member(&peers[position])),
                receivers: vec![position],
            });
        }
        let digest = round.for_hubs();
        if !plain_peers.is_empty() {
            sends.push(DigestSend {
                message: plain(digest.clone()),
                receivers: plain_peers,
            });
        }
        if !hubs.is_empty() {
            sends.push(DigestSend {
                message: PeerMessage::FleetDigest(digest),
                receivers: hubs,
            });
        }
        sends
    }

    fn begin_round<'a>(&'a mut self, input: DigestInput<'a>, now: Instant) -> DigestRound<'a> {
        let rate = input.prefill_ms_per_token;
        self.sum.begin_round(input.own, input.loads, rate, now)
    }
}

/// Returns the interval between digests to a number of receivers.
fn interval(receivers: usize) -> Duration {
    DIGEST_INTERVAL + DIGEST_INTERVAL_PER_RECEIVER * receivers as u32
}

fn lifetime(interval: Duration) -> Duration {
    (interval * DIGESTS_PER_LIFETIME).max(MIN_DIGEST_LIFETIME)
}

fn plain(digest: PeerDigest) -> PeerMessage {
    PeerMessage::Loads {
        loads: digest.loads,
        placer: digest.placer,
    }
}

fn send_all(message: PeerMessage, peers: &[RouterId]) -> DigestSend {
    let receivers = (0..peers.len()).collect();
    DigestSend { message, receivers }
}

/// Takes back what a member has told others of its load, which its new hub reports from now on:
/// its former hub or, if it had none, all peers.
fn last_loads(peers: &[RouterId], chosen: &RouterId, left: Option<&RouterId>) -> DigestSend {
    let is_told = |peer: &RouterId| left.map_or(peer != chosen, |left| peer == left);
    let receivers = (0..peers.len()).filter(|position| is_told(&peers[*position]));
    DigestSend {
        message: plain(PeerDigest::default()),
        receivers: receivers.collect(),
    }
}
