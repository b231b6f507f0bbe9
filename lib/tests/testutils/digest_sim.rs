//! Routers that exchange digests over a simulated network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::DigestInput;
use jujuberoad::fleet::DigestPlanner;
use jujuberoad::fleet::LoadTable;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::RouterId;
use jujuberoad::peer::PEER_VERSION;
use jujuberoad::peer::PeerDigest;
use jujuberoad::peer::PeerFrame;
use jujuberoad::peer::PeerMessage;
use jujuberoad::peer::PoolWaiting;

/// Latency between two routers.
const LATENCY: Duration = Duration::from_millis(2);
/// Processor share of a hub and of a member.
pub const HUB_CPU: u32 = 500;
pub const MEMBER_CPU: u32 = 120;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterRole {
    Hub,
    Member,
    /// A build that knows no digests.
    Older,
}

pub struct SimRouter {
    pub id: RouterId,
    pub role: RouterRole,
    pub planner: DigestPlanner,
    pub loads: LoadTable,
    pub is_up: bool,
    /// Number of hubs that it has lost.
    pub losses: u32,
    pub next_at: Instant,
    paused_until: Option<Instant>,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub sent: u64,
    pub received: u64,
    pub kinds: BTreeMap<&'static str, u64>,
}

pub struct DigestSim {
    pub now: Instant,
    pub routers: Vec<SimRouter>,
    pub always_announces: bool,
    /// Whether each router reports the time in milliseconds as the tokens of its own endpoint.
    pub stamps: bool,
    /// What waits at each router, and the number of endpoints that it has an answer of in each
    /// digest.
    pub waiting: Vec<PoolWaiting>,
    pub outcomes: usize,
    started: Instant,
    /// Links that lose everything, from one router to another.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Routers that do not know another one yet, and that one.
    pub unlisted: BTreeSet<(usize, usize)>,
    ids: Vec<RouterId>,
    inbox: BTreeMap<(Instant, u64), (usize, usize, PeerMessage, u64)>,
    serial: u64,
}

fn zone_of(index: usize) -> &'static str {
    ["z1", "z2", "z3"][index % 3]
}

impl DigestSim {
    pub fn new(roles: &[RouterRole], always_announces: bool) -> Self {
        let now = Instant::now();
        let routers = roles.iter().enumerate().map(|(index, role)| {
            let id = RouterId::from(format!("r{index:03}"));
            // Their first ticks differ as those of processes do.
            let next_at = now + Duration::from_millis(37 * index as u64 % 211);
            SimRouter::new(id, *role, index, next_at)
        });
        let routers: Vec<_> = routers.collect();
        Self {
            now,
            ids: routers.iter().map(|router| router.id.clone()).collect(),
            routers,
            always_announces,
            stamps: false,
            waiting: Vec::new(),
            outcomes: 0,
            started: now,
            cuts: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            inbox: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Returns a fleet of hubs, then members.
    pub fn fleet(hubs: usize, members: usize) -> Self {
        let mut roles = vec![RouterRole::Hub; hubs];
        roles.resize(hubs + members, RouterRole::Member);
        Self::new(&roles, false)
    }

    /// Places one request of each router on an endpoint that all share and on one of its own.
    pub fn place_loads(&mut self) {
        for index in 0..self.routers.len() {
            self.place_load(index);
        }
    }

    pub fn place_load(&mut self, index: usize) {
        let loads = &mut self.routers[index].loads;
        loads.begin_request(&own_endpoint(index), 0);
        loads.begin_request(&"shared".into(), 0);
    }

    pub fn run_ms(&mut self, span: u64) {
        let end = self.now + Duration::from_millis(span);
        loop {
            let tick_at = self.routers.iter().filter(|router| router.is_up);
            let tick_at = tick_at.map(|router| router.next_at).min();
            let due_at = self.inbox.keys().next().map(|(at, _)| *at);
            let Some(next) = tick_at.into_iter().chain(due_at).min() else {
                break;
            };
            if next > end {
                break;
            }
            self.now = next;
            if due_at == Some(next) {
                self.deliver();
            } else {
                self.tick(next);
            }
        }
        self.now = end;
    }

    pub fn stop(&mut self, index: usize) {
        self.routers[index].is_up = false;
    }

    /// Starts a process that knows nothing in place of the one at `index`.
    pub fn restart(&mut self, index: usize) {
        let (id, role) = (self.routers[index].id.clone(), self.routers[index].role);
        self.routers[index] = SimRouter::new(id, role, index, self.now);
    }

    /// Lets a process rest; what it is sent meanwhile arrives after its next tick.
    pub fn pause(&mut self, index: usize, span: u64) {
        let router = &mut self.routers[index];
        router.next_at = router.next_at.max(self.now) + Duration::from_millis(span);
        router.paused_until = Some(router.next_at);
    }

    pub fn hub_of(&self, index: usize) -> Option<usize> {
        let hub = self.routers[index].planner.table().hub()?;
        self.ids.iter().position(|id| id == hub)
    }

    /// Returns the requests that a router counts on the shared endpoint.
    pub fn shared(&self, index: usize) -> u32 {
        self.seen(index, &"shared".into())
    }

    pub fn seen(&self, index: usize, endpoint: &EndpointId) -> u32 {
        let mut loads = self.routers[index].loads.clone();
        loads.expire(self.now);
        loads.total(endpoint, 0.0, self.now).requests
    }

    /// Returns the mean age in milliseconds of what routers know of each other's load.
    pub fn mean_age_ms(&self) -> f64 {
        let now = (self.now - self.started).as_millis() as f64;
        let (mut sum, mut count) = (0.0, 0.0);
        for (index, router) in self.routers.iter().enumerate() {
            for other in (0..self.routers.len()).filter(|other| *other != index) {
                let load = router.loads.total(&own_endpoint(other), 0.0, self.now);
                sum += now - f64::from(load.pending_prefill_tokens);
                count += 1.0;
            }
        }
        sum / count
    }

    pub fn reset_counts(&mut self) {
        for router in &mut self.routers {
            (router.sent, router.sent_bytes) = (0, 0);
            (router.received, router.received_bytes) = (0, 0);
            router.kinds.clear();
        }
    }

    fn tick(&mut self, at: Instant) {
        let routers = self.routers.iter();
        let due = routers.clone().position(|r| r.is_up && r.next_at == at);
        let index = due.expect("a router is due");
        let now = self.now;
        let router = &mut self.routers[index];
        router.loads.expire(now);
        if self.stamps {
            let endpoint = own_endpoint(index);
            router.loads.end_request(&endpoint, u32::MAX);
            let stamp = (now - self.started).as_millis() as u32;
            router.loads.begin_request(&endpoint, stamp);
        }
        for number in 0..self.outcomes {
            let endpoint = EndpointId::from(format!("i-{number}"));
            let sum = router.planner.sum_mut();
            sum.record_outcome(&endpoint, true);
        }
        let mut own = router.own_digest();
        own.waiting.clone_from(&self.waiting);
        if router.role == RouterRole::Older {
            let all = (0..self.ids.len())
                .filter(|other| *other != index)
                .collect();
            router.next_at = now + Duration::from_millis(50 + 5 * self.ids.len() as u64);
            let message = PeerMessage::Loads {
                loads: own.loads,
                placer: None,
            };
            self.send(index, all, message);
            return;
        }
        let positions: Vec<usize> = (0..self.ids.len())
            .filter(|other| *other != index && !self.unlisted.contains(&(index, *other)))
            .collect();
        let peers: Vec<RouterId> = positions.iter().map(|at| self.ids[*at].clone()).collect();
        let input = DigestInput {
            own,
            loads: &router.loads,
            peers: &peers,
            prefill_ms_per_token: &|_| 0.0,
            always_announces: self.always_announces,
        };
        let tick = router.planner.tick(input, now);
        router.next_at = tick.next_at;
        router.losses += u32::from(tick.step.lost.is_some());
        for send in tick.sends {
            let receivers = send.receivers.iter().map(|at| positions[*at]).collect();
            self.send(index, receivers, send.message);
        }
    }

    fn send(&mut self, from: usize, receivers: Vec<usize>, message: PeerMessage) {
        let frame = PeerFrame {
            version: PEER_VERSION,
            sender: self.ids[from].clone(),
            exchange: 0,
            message,
        };
        let bytes = postcard::to_stdvec(&frame).expect("a frame").len() as u64;
        let kind = kind_of(&frame.message);
        for to in receivers {
            let router = &mut self.routers[from];
            router.sent += 1;
            router.sent_bytes += bytes;
            *router.kinds.entry(kind).or_default() += 1;
            if self.cuts.contains(&(from, to)) {
                continue;
            }
            self.serial += 1;
            let resumed_at = self.routers[to].paused_until.unwrap_or(self.now);
            let arrives_at = resumed_at.max(self.now) + LATENCY;
            let key = (arrives_at, self.serial);
            self.inbox
                .insert(key, (from, to, frame.message.clone(), bytes));
        }
    }

    fn deliver(&mut self) {
        let (_, (from, to, message, bytes)) = self.inbox.pop_first().expect("a frame");
        let (sender, count, now) = (self.ids[from].clone(), self.ids.len(), self.now);
        let router = &mut self.routers[to];
        if !router.is_up {
            return;
        }
        router.received += 1;
        router.received_bytes += bytes;
        if router.role == RouterRole::Older {
            if let PeerMessage::Loads { loads, .. } = message {
                let lifetime = Duration::from_millis(3 * (50 + 5 * count as u64));
                let valid_until = now + lifetime.max(Duration::from_millis(600));
                router.loads.observe_peer(sender, loads, now, valid_until);
            }
            return;
        }
        let is_listed = !self.unlisted.contains(&(to, from));
        let planner = &mut router.planner;
        let answer = planner.receive(&sender, message, &mut router.loads, count, is_listed, now);
        if let Some(answer) = answer {
            self.send(to, vec![from], answer);
        }
    }
}

impl SimRouter {
    fn new(id: RouterId, role: RouterRole, index: usize, next_at: Instant) -> Self {
        let is_member = role == RouterRole::Member;
        let cpu = if is_member { MEMBER_CPU } else { HUB_CPU };
        Self {
            planner: DigestPlanner::new(id.clone(), zone_of(index).into(), cpu, is_member),
            id,
            role,
            loads: LoadTable::default(),
            is_up: true,
            losses: 0,
            next_at,
            paused_until: None,
            sent_bytes: 0,
            received_bytes: 0,
            sent: 0,
            received: 0,
            kinds: BTreeMap::new(),
        }
    }

    fn own_digest(&self) -> PeerDigest {
        let is_member = self.role == RouterRole::Member;
        let cpu = if is_member { MEMBER_CPU } else { HUB_CPU };
        let own = self.loads.own();
        PeerDigest {
            least_cpu_millicores: cpu,
            most_cpu_millicores: cpu,
            loads: own.map(|(id, load)| (id.clone(), *load)).collect(),
            ..PeerDigest::default()
        }
    }
}

pub fn own_endpoint(index: usize) -> EndpointId {
    EndpointId::from(format!("e{index:03}"))
}

fn kind_of(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Loads { .. } => "loads",
        PeerMessage::HubQuery => "query",
        PeerMessage::HubInfo { .. } => "info",
        PeerMessage::MemberDigest(_) => "member",
        PeerMessage::FleetDigest(_) => "fleet",
        _ => "other",
    }
}

/// Four pools of two priorities and three teams.
pub fn pools() -> Vec<PoolWaiting> {
    let models = ["wide", "slim", "deep", "fast"].into_iter();
    let keys = models.flat_map(|model| (0..6).map(move |number| (model, number)));
    keys.map(|(model, number)| PoolWaiting {
        service: "engines".into(),
        model: Some(model.into()),
        priority: number % 2,
        team: Some(format!("team-{}", number / 2).into()),
        waiting: 3,
        running: 7,
        finished: 9,
    })
    .collect()
}
