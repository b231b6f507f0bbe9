//! Simulates the propagation of a record to routers under virtual time and
//! random faults.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use jujuberoad::ids::RouterId;
use jujuberoad::membership::ConfirmedVersion;
use jujuberoad::membership::OutageTally;
use jujuberoad::membership::PeerVote;
use jujuberoad::membership::RelayPlan;
use jujuberoad::membership::RouterEntry;
use jujuberoad::membership::RouterList;
use jujuberoad::membership::VIEW_VALID_MS;
use jujuberoad::membership::VOTE_VALID_MS;
use jujuberoad::membership::ViewGuard;
use jujuberoad::membership::ViewKey;
use smol_str::format_smolstr;

use super::draw;
use super::once_in;

const STEP_MS: u64 = 20;
const RELAYS: usize = 2;
const PING_MS: u64 = 500;
const SILENCE: Duration = Duration::from_millis(2_000);

/// Rules of a run; each control variant breaks one of them.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ViewRule {
    /// Unmodified rules.
    Guarded,
    /// Confirmations are dated by when the response arrives, not by when the query
    /// was sent.
    CountsFromArrival,
    /// A router that cannot reach the store assumes an outage without a vote.
    SkipsVote,
}

/// Results of a run.
#[derive(Default)]
pub struct ViewVerdict {
    pub checks: u64,
    pub fresh_checks: u64,
    pub outage_checks: u64,
    /// Routers that would have started work on a record superseded more than 3
    /// seconds ago.
    pub stale: Vec<String>,
    /// The number of such cases while most voters had recently lost the store.
    pub stale_in_outage: u64,
    /// Routers whose held version decreased.
    pub regressions: Vec<String>,
}

struct ViewRouter {
    guard: ViewGuard,
    tally: OutageTally,
    frozen_until_ms: u64,
    cut_store_until_ms: u64,
    cut_peers_until_ms: u64,
    next_ping_ms: u64,
    next_vote_ms: u64,
    highest: u64,
    store_lost_ms: Option<u64>,
}

enum ViewMessage {
    Read(usize, u64),
    Value(usize, u64, u64),
    Ping(usize, usize, u64),
    Pong(usize, usize, u64, Vec<ConfirmedVersion>, PeerVote),
}

struct ViewSim<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    rule: ViewRule,
    origin: Instant,
    now_ms: u64,
    accepted: Vec<u64>,
    out_until_ms: u64,
    list: RouterList,
    routers: Vec<ViewRouter>,
    in_flight: Vec<(u64, ViewMessage)>,
    verdict: ViewVerdict,
}

/// Runs one random history of `length_ms`.
pub fn run(
    u: &mut Unstructured<'_>,
    rule: ViewRule,
    length_ms: u64,
) -> arbitrary::Result<ViewVerdict> {
    let mut sim = ViewSim::new(u, rule)?;
    while sim.now_ms < length_ms {
        sim.step()?;
    }
    Ok(sim.verdict)
}

fn name(index: usize) -> RouterId {
    format_smolstr!("r{index}")
}

impl<'a, 'b> ViewSim<'a, 'b> {
    fn new(u: &'a mut Unstructured<'b>, rule: ViewRule) -> arbitrary::Result<Self> {
        let mut list = RouterList {
            epoch: 1,
            nonce: 0,
            routers: BTreeMap::new(),
        };
        let mut routers = Vec::new();
        for index in 0..draw(u, 3, 6)? as usize {
            list.routers.insert(
                name(index),
                RouterEntry {
                    router: name(index),
                    incarnation: 1,
                    zone: "z".into(),
                    peer: ([127, 0, 0, 1], 1).into(),
                    http: ([127, 0, 0, 1], 1).into(),
                },
            );
            routers.push(ViewRouter {
                guard: ViewGuard::default(),
                tally: OutageTally::default(),
                frozen_until_ms: 0,
                cut_store_until_ms: 0,
                cut_peers_until_ms: 0,
                next_ping_ms: 0,
                next_vote_ms: 0,
                highest: 0,
                store_lost_ms: None,
            });
        }
        Ok(Self {
            u,
            rule,
            origin: Instant::now(),
            now_ms: 0,
            accepted: vec![0],
            out_until_ms: 0,
            list,
            routers,
            in_flight: Vec::new(),
            verdict: ViewVerdict::default(),
        })
    }

    fn at(&self, ms: u64) -> Instant {
        // Offset from the origin so that subtracting an age does not underflow.
        self.origin + Duration::from_secs(60) + Duration::from_millis(ms)
    }

    fn step(&mut self) -> arbitrary::Result<()> {
        self.now_ms += STEP_MS;
        self.inject_faults()?;
        let in_flight = std::mem::take(&mut self.in_flight);
        for (due_ms, message) in in_flight {
            if self.now_ms < due_ms || self.is_frozen(&message) {
                self.in_flight.push((due_ms, message));
                continue;
            }
            self.receive(message)?;
        }
        self.record_lost_store();
        for index in 0..self.routers.len() {
            if self.now_ms >= self.routers[index].frozen_until_ms {
                self.step_router(index)?;
                self.check_router(index);
            }
        }
        Ok(())
    }

    fn inject_faults(&mut self) -> arbitrary::Result<()> {
        if once_in(self.u, 60)? && self.now_ms >= self.out_until_ms {
            self.accepted.push(self.now_ms);
        }
        if !once_in(self.u, 80)? {
            return Ok(());
        }
        let until_ms = self.now_ms + draw(self.u, 200, 9_000)?;
        let index = draw(self.u, 0, self.routers.len() as u64 - 1)? as usize;
        let router = &mut self.routers[index];
        match draw(self.u, 0, 4)? {
            0 => router.frozen_until_ms = until_ms,
            1 => router.cut_store_until_ms = until_ms,
            2 => router.cut_peers_until_ms = until_ms,
            3 => {
                router.cut_store_until_ms = until_ms;
                router.cut_peers_until_ms = until_ms;
            }
            _ => self.out_until_ms = until_ms,
        }
        Ok(())
    }

    fn is_frozen(&self, message: &ViewMessage) -> bool {
        let receiver = match message {
            ViewMessage::Read(..) => return false,
            ViewMessage::Value(to, ..) | ViewMessage::Pong(to, ..) => *to,
            ViewMessage::Ping(_, to, _) => *to,
        };
        self.now_ms < self.routers[receiver].frozen_until_ms
    }

    fn receive(&mut self, message: ViewMessage) -> arbitrary::Result<()> {
        let now_ms = self.now_ms;
        match message {
            ViewMessage::Read(from, asked_ms) => {
                let is_cut = now_ms < self.routers[from].cut_store_until_ms;
                if now_ms < self.out_until_ms || is_cut {
                    return Ok(());
                }
                let version = self.accepted.len() as u64;
                self.send(ViewMessage::Value(from, version, asked_ms))?;
            }
            ViewMessage::Value(to, version, asked_ms) => {
                let counted_ms = self.counted_ms(asked_ms);
                let asked_at = self.at(counted_ms);
                let router = &mut self.routers[to];
                router.guard.accept(&ViewKey::Config, version);
                router.guard.confirm(&ViewKey::Config, version, asked_at);
            }
            ViewMessage::Ping(from, to, asked_ms) => {
                if now_ms < self.routers[to].cut_peers_until_ms {
                    return Ok(());
                }
                let now = self.at(now_ms);
                let guard = &self.routers[to].guard;
                let vote = PeerVote {
                    reaches_store: guard.reaches_store(SILENCE, now),
                    held: guard.held_versions().clone(),
                };
                let confirmed = guard.confirmations(now);
                self.send(ViewMessage::Pong(from, to, asked_ms, confirmed, vote))?;
            }
            ViewMessage::Pong(to, from, asked_ms, confirmed, vote) => {
                let counted_ms = self.counted_ms(asked_ms);
                let asked_at = self.at(counted_ms);
                let router = &mut self.routers[to];
                router.tally.record(name(from), vote, asked_at);
                let mut is_newer = false;
                for confirmation in confirmed {
                    let confirmed_at = asked_at - Duration::from_millis(confirmation.age_ms);
                    is_newer |=
                        router
                            .guard
                            .confirm(&confirmation.key, confirmation.version, confirmed_at);
                }
                if is_newer {
                    self.send(ViewMessage::Read(to, now_ms))?;
                }
            }
        }
        Ok(())
    }

    fn counted_ms(&self, asked_ms: u64) -> u64 {
        if self.rule == ViewRule::CountsFromArrival {
            self.now_ms
        } else {
            asked_ms
        }
    }

    fn send(&mut self, message: ViewMessage) -> arbitrary::Result<()> {
        if once_in(self.u, 10)? {
            return Ok(());
        }
        // Most messages arrive quickly; a few are long delayed.
        let longest_ms = if once_in(self.u, 20)? { 8_000 } else { 100 };
        let due_ms = self.now_ms + draw(self.u, 0, longest_ms)?;
        self.in_flight.push((due_ms, message));
        Ok(())
    }

    fn step_router(&mut self, index: usize) -> arbitrary::Result<()> {
        let now_ms = self.now_ms;
        let now = self.at(now_ms);
        if now_ms >= self.routers[index].next_ping_ms {
            self.routers[index].next_ping_ms = now_ms + PING_MS;
            let is_silent = !self.routers[index].guard.reaches_store(SILENCE / 2, now);
            if index < RELAYS || is_silent {
                self.send(ViewMessage::Read(index, now_ms))?;
            }
            if index >= RELAYS {
                self.ask_peer(index, index % RELAYS)?;
            }
        }
        if !self.routers[index].guard.reaches_store(SILENCE, now) {
            self.ask_for_votes(index)?;
        }
        Ok(())
    }

    fn ask_peer(&mut self, from: usize, to: usize) -> arbitrary::Result<()> {
        if self.now_ms >= self.routers[from].cut_peers_until_ms {
            self.send(ViewMessage::Ping(from, to, self.now_ms))?;
        }
        Ok(())
    }

    fn ask_for_votes(&mut self, index: usize) -> arbitrary::Result<()> {
        let now = self.at(self.now_ms);
        if self.now_ms >= self.routers[index].next_vote_ms {
            self.routers[index].next_vote_ms = self.now_ms + 500;
            for peer in 0..self.routers.len() {
                if peer != index {
                    self.ask_peer(index, peer)?;
                }
            }
        }
        let router = &mut self.routers[index];
        let held = router.guard.held_versions().clone();
        let agreed = router
            .tally
            .outage_until(&self.list, &name(index), &held, now);
        let alone = (self.rule == ViewRule::SkipsVote)
            .then_some(now + Duration::from_millis(VIEW_VALID_MS));
        if let Some(until) = alone.or(agreed) {
            router.guard.confirm_outage(until);
        }
        Ok(())
    }

    fn record_lost_store(&mut self) {
        let now = self.at(self.now_ms);
        for router in &mut self.routers {
            if !router.guard.reaches_store(SILENCE, now) {
                router.store_lost_ms = Some(self.now_ms);
            }
        }
    }

    /// Returns whether most voters have each lost the store within the validity of a
    /// vote, even if only briefly.
    fn did_most_lose_store(&self) -> bool {
        let since_ms = self.now_ms.saturating_sub(VOTE_VALID_MS);
        let voters = RelayPlan::new(&self.list).voters();
        let mut count = 0;
        for voter in &voters {
            let index: usize = voter.router[1..].parse().unwrap_or(0);
            let store_lost_ms = self.routers[index].store_lost_ms;
            count +=
                usize::from(store_lost_ms.is_some_and(|store_lost_ms| store_lost_ms >= since_ms));
        }
        2 * count > voters.len()
    }

    fn check_router(&mut self, index: usize) {
        let now = self.at(self.now_ms);
        let router = &mut self.routers[index];
        let held = router.guard.held_versions().get(&ViewKey::Config);
        if held < router.highest {
            self.verdict
                .regressions
                .push(format!("{}: router {index}", self.now_ms));
        }
        router.highest = held;
        self.verdict.checks += 1;
        if !router.guard.is_fresh(&ViewKey::Config, now) {
            return;
        }
        self.verdict.fresh_checks += 1;
        let is_in_outage = router.guard.is_in_outage(now);
        self.verdict.outage_checks += u64::from(is_in_outage);
        let due_ms = self.now_ms.saturating_sub(VIEW_VALID_MS);
        let due = self
            .accepted
            .iter()
            .filter(|accepted_ms| **accepted_ms < due_ms)
            .count() as u64;
        if held >= due {
            return;
        }
        if is_in_outage && self.did_most_lose_store() {
            self.verdict.stale_in_outage += 1;
            return;
        }
        let text = format!(
            "{}: router {index} holds version {held}, expected at least {due}",
            self.now_ms
        );
        self.verdict.stale.push(text);
    }
}
