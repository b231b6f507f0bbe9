//! Which router is the hub of which members.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::DigestKind;
use super::HubStep;
use super::LoadsUse;
use super::rendezvous_score;
use crate::ids::RouterId;
use crate::ids::ZoneId;

/// Time between two digests of a member.
pub const MEMBER_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a message after which a member gives up its hub and a hub its member.
pub const HUB_SILENCE: Duration = Duration::from_millis(600);
/// Time between two queries of a member without a hub.
const QUERY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which a member collects answers before it chooses a hub, so that a hub of its own
/// zone is preferred to a closer answer of another one.
const CHOICE_DELAY: Duration = Duration::from_millis(200);
/// Time between two announcements of a hub.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(5_000);
/// Time for which an announcement is valid: two intervals and a late datagram.
const ANNOUNCED_TIME: Duration = Duration::from_millis(12_000);
/// Time for which a query or a member keeps a router a hub, and for which the sender of a query
/// counts as a router that gets its digests elsewhere.
const QUERIED_TIME: Duration = Duration::from_millis(15_000);
/// Time for which a hub that fell silent is not chosen again. A link that is cut one way lets its
/// announcements through.
const AVOIDED_TIME: Duration = Duration::from_millis(15_000);
/// Time between two checks of a member whether another hub ranks higher by now.
const REVIEW_INTERVAL: Duration = Duration::from_millis(10_000);
/// Time between two queries of a member to a peer that sends it loads though it has a hub.
const REMINDER_INTERVAL: Duration = Duration::from_millis(10_000);

#[derive(Clone, Debug)]
struct KnownHub {
    zone: ZoneId,
    valid_until: Instant,
}

#[derive(Clone, Debug)]
struct ChosenHub {
    router: RouterId,
    silent_at: Instant,
    review_at: Instant,
    has_answered: bool,
}

/// Hubs, members and other peers of one router, from the messages that it has received.
#[derive(Clone, Debug)]
pub struct HubTable {
    id: RouterId,
    zone: ZoneId,
    is_member: bool,
    hubs: BTreeMap<RouterId, KnownHub>,
    hub: Option<ChosenHub>,
    choose_at: Option<Instant>,
    query_at: Option<Instant>,
    announce_at: Option<Instant>,
    avoided: BTreeMap<RouterId, Instant>,
    reminded: BTreeMap<RouterId, Instant>,
    /// Members of this router, until when each of them is one.
    members: BTreeMap<RouterId, Instant>,
    /// Routers that have sent a query, until when it counts.
    queriers: BTreeMap<RouterId, Instant>,
    /// Routers that have sent `Loads`, until when these count.
    plain: BTreeMap<RouterId, Instant>,
    active_until: Option<Instant>,
}

impl HubTable {
    /// Creates the table of router `id` in `zone`; `is_member` tells whether it looks for a hub.
    pub fn new(id: RouterId, zone: ZoneId, is_member: bool) -> Self {
        Self {
            id,
            zone,
            is_member,
            hubs: BTreeMap::new(),
            hub: None,
            choose_at: None,
            query_at: None,
            announce_at: None,
            avoided: BTreeMap::new(),
            reminded: BTreeMap::new(),
            members: BTreeMap::new(),
            queriers: BTreeMap::new(),
            plain: BTreeMap::new(),
            active_until: None,
        }
    }

    /// Returns the availability zone of this router.
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// Returns whether this router looks for a hub.
    pub fn is_member(&self) -> bool {
        self.is_member
    }

    /// Returns the hub of this router.
    pub fn hub(&self) -> Option<&RouterId> {
        self.hub.as_ref().map(|hub| &hub.router)
    }

    /// Returns whether a hub has sent the digest of the fleet, which replaces all other reports.
    pub fn follows_hub(&self) -> bool {
        self.hub.as_ref().is_some_and(|hub| hub.has_answered)
    }

    /// Returns the members of this router.
    pub fn members(&self) -> impl Iterator<Item = &RouterId> {
        self.members.keys()
    }

    /// Returns whether this router is to announce itself because of members.
    pub fn is_active(&self, now: Instant) -> bool {
        self.active_until.is_some_and(|until| now < until)
    }

    /// Records that a peer can be a hub.
    pub fn observe_info(&mut self, sender: RouterId, zone: ZoneId, now: Instant) {
        let known = KnownHub {
            zone,
            valid_until: now + ANNOUNCED_TIME,
        };
        self.queriers.remove(&sender);
        self.hubs.insert(sender, known);
        if self.is_member && self.hub.is_none() && self.choose_at.is_none() {
            self.choose_at = Some(now + CHOICE_DELAY);
        }
    }

    /// Records a query; returns whether to answer it.
    pub fn observe_query(&mut self, sender: RouterId, now: Instant) -> bool {
        if self.is_member {
            return false;
        }
        // A router with a processor share below the bound is no hub any more.
        self.hubs.remove(&sender);
        self.queriers.insert(sender, now + QUERIED_TIME);
        self.active_until = Some(now + QUERIED_TIME);
        true
    }

    /// Records the digest of a member; returns whether it counts.
    pub fn observe_member(&mut self, sender: RouterId, now: Instant) -> bool {
        if self.is_member {
            return false;
        }
        self.plain.remove(&sender);
        self.queriers.insert(sender.clone(), now + QUERIED_TIME);
        self.active_until = Some(now + QUERIED_TIME);
        self.members.insert(sender, now + HUB_SILENCE);
        true
    }

    /// Records the digest of a hub; returns whether it counts. The first one of the own hub
    /// replaces all other reports.
    pub fn observe_fleet(&mut self, sender: &RouterId, now: Instant) -> bool {
        if self.is_member {
            let Some(hub) = self.hub.as_mut().filter(|hub| hub.router == *sender) else {
                return false;
            };
            hub.silent_at = now + HUB_SILENCE;
            hub.has_answered = true;
            return true;
        }
        if let Some(known) = self.hubs.get_mut(sender) {
            known.valid_until = now + ANNOUNCED_TIME;
        }
        self.plain.remove(sender);
        self.members.remove(sender);
        true
    }

    /// Records the loads of a peer, which count until `valid_until`.
    pub fn observe_loads(
        &mut self,
        sender: &RouterId,
        now: Instant,
        valid_until: Instant,
    ) -> LoadsUse {
        if !self.is_member {
            // A member that sends loads has given up its hub.
            self.members.remove(sender);
            self.plain.insert(sender.clone(), valid_until);
            return LoadsUse::Count;
        }
        if !self.follows_hub() {
            return LoadsUse::Count;
        }
        let remind_at = self.reminded.get(sender);
        if remind_at.is_some_and(|at| now < *at) {
            return LoadsUse::Drop;
        }
        self.reminded
            .insert(sender.clone(), now + REMINDER_INTERVAL);
        LoadsUse::DropAndQuery
    }

    /// Prolongs the time for which a hub or a member may be silent by the time for which this
    /// process has not run: their messages may wait in the socket.
    pub fn excuse(&mut self, pause: Duration) {
        if let Some(hub) = &mut self.hub {
            hub.silent_at += pause;
        }
        for until in self.members.values_mut() {
            *until += pause;
        }
    }

    /// Drops what has expired and returns what to send now. `is_peer` tells which routers exist;
    /// `always_announces` makes a router that can be a hub announce itself without members.
    pub fn step(
        &mut self,
        is_peer: &dyn Fn(&RouterId) -> bool,
        always_announces: bool,
        now: Instant,
    ) -> HubStep {
        self.hubs
            .retain(|id, known| now < known.valid_until && is_peer(id));
        self.avoided.retain(|_, until| now < *until);
        self.reminded.retain(|_, until| now < *until);
        self.members.retain(|id, until| now < *until && is_peer(id));
        self.queriers
            .retain(|id, until| now < *until && is_peer(id));
        self.plain.retain(|id, until| now < *until && is_peer(id));
        if self.is_member {
            return self.member_step(now);
        }
        let mut step = HubStep::default();
        let is_due = self.announce_at.is_none_or(|at| now >= at);
        if is_due && (always_announces || self.is_active(now)) {
            self.announce_at = Some(now + ANNOUNCE_INTERVAL);
            step.announces = true;
        }
        step
    }

    fn member_step(&mut self, now: Instant) -> HubStep {
        let mut step = HubStep::default();
        if let Some(hub) = self.hub.take_if(|hub| now >= hub.silent_at) {
            self.avoided.insert(hub.router.clone(), now + AVOIDED_TIME);
            self.hubs.remove(&hub.router);
            self.query_at = None;
            // Hubs that are known need no new answer.
            self.choose_at = (!self.hubs.is_empty()).then_some(now);
            step.lost = Some(hub.router);
        }
        if self.hub.is_some() {
            return self.review_hub(now);
        }
        if self.choose_at.is_some_and(|at| now >= at) {
            self.choose_at = None;
            if let Some(router) = self.best_hub() {
                self.hub = Some(ChosenHub {
                    router: router.clone(),
                    silent_at: now + HUB_SILENCE,
                    review_at: now + REVIEW_INTERVAL,
                    has_answered: false,
                });
                step.chosen = Some(router);
                return step;
            }
        }
        if self.query_at.is_none_or(|at| now >= at) {
            self.query_at = Some(now + QUERY_INTERVAL);
            step.queries = true;
        }
        step
    }

    /// Changes to a hub that ranks higher, so that members spread again after a hub has returned.
    fn review_hub(&mut self, now: Instant) -> HubStep {
        let mut step = HubStep::default();
        let best = self.best_hub();
        let Some(hub) = self.hub.as_mut().filter(|hub| now >= hub.review_at) else {
            return step;
        };
        hub.review_at = now + REVIEW_INTERVAL;
        let Some(best) = best.filter(|best| *best != hub.router) else {
            return step;
        };
        hub.silent_at = now + HUB_SILENCE;
        step.left = Some(std::mem::replace(&mut hub.router, best.clone()));
        step.chosen = Some(best);
        step
    }

    fn best_hub(&self) -> Option<RouterId> {
        let hubs = self.hubs.iter();
        let hubs = hubs.filter(|(id, _)| !self.avoided.contains_key(*id));
        let best = hubs
            .max_by_key(|(id, known)| (known.zone == self.zone, rendezvous_score(id, &self.id)));
        best.map(|(id, _)| id.clone())
    }

    /// Returns what this router sends to a peer. A fleet without members and announcements gets
    /// `Loads` only.
    pub fn kind_for(&self, peer: &RouterId, exchanges_digests: bool) -> DigestKind {
        if self.members.contains_key(peer) {
            return DigestKind::Member;
        }
        if self.plain.contains_key(peer) && !self.hubs.contains_key(peer) {
            return DigestKind::Plain;
        }
        if self.queriers.contains_key(peer) {
            return DigestKind::Nothing;
        }
        if exchanges_digests && self.hubs.contains_key(peer) {
            return DigestKind::Hub;
        }
        DigestKind::Plain
    }
}
