//! Simulates the homes of one claim shard, routers and a store under virtual
//! time with injected faults.
//!
//! Several routers believe to be the home of the shard at any time, writes may
//! take effect late or without a response, and routers crash after a claim.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use jujuberoad::claims::ClaimAction;
use jujuberoad::claims::ClaimAnswer;
use jujuberoad::claims::ClaimKey;
use jujuberoad::claims::ClaimLedger;
use jujuberoad::claims::ClaimPage;
use jujuberoad::claims::ClaimReply;
use jujuberoad::outcome::Outcome;

use super::draw;
use super::once_in;

const STEP_MS: u64 = 10;
const KEYS: usize = 4;
const CLAIM_TIMEOUT_MS: u64 = 1_000;

/// Rules of a run; each control variant breaks one of them.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ClaimRule {
    /// Unmodified rules, with a store that supports compare-and-swap.
    Guarded,
    /// The store ignores the expected version of a write.
    NoCompare,
    /// Routers run a request whose claim was not granted in time.
    RunsUngranted,
}

/// One claim as observed by its router.
#[derive(Clone, Debug)]
pub struct ClaimEvent {
    pub key: usize,
    pub nonce: u64,
    pub called: u64,
    pub returned: Option<u64>,
    pub granted: bool,
    pub is_released: bool,
}

/// Results of a run.
#[derive(Default)]
pub struct ClaimVerdict {
    /// Number of runs by key.
    pub runs: BTreeMap<usize, u64>,
    /// History of all claims, in the order of their calls.
    pub events: Vec<ClaimEvent>,
    /// Contradictory outcomes reported to callers for the same key.
    pub contradictions: Vec<String>,
}

struct SimStore {
    pages: BTreeMap<u64, (ClaimPage, u64)>,
    next_version: u64,
}

enum StoreCall {
    Load,
    Write(ClaimPage, u64),
}

struct PendingCall {
    home: usize,
    epoch: u64,
    effect_ms: u64,
    answer_ms: u64,
    has_effect: bool,
    has_answer: bool,
    started_ms: u64,
    call: StoreCall,
    result: Option<StoreResult>,
}

enum StoreResult {
    Loaded(Vec<(ClaimPage, u64)>),
    Wrote(Option<u64>),
}

struct SimHome {
    ledger: ClaimLedger,
    epoch: u64,
}

struct OpenClaim {
    event: usize,
    expires_ms: u64,
}

struct ClaimSim<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    rule: ClaimRule,
    origin: Instant,
    now_ms: u64,
    store: SimStore,
    homes: Vec<SimHome>,
    calls: Vec<PendingCall>,
    open: BTreeMap<u64, OpenClaim>,
    completions: Vec<(u64, u64, ClaimAnswer)>,
    reported: BTreeMap<usize, Outcome>,
    next_claim_id: u64,
    verdict: ClaimVerdict,
}

/// Runs one random history of `length_ms`; routers may release claims of
/// requests that did not run when `releases` is set.
pub fn run(
    u: &mut Unstructured<'_>,
    rule: ClaimRule,
    releases: bool,
    length_ms: u64,
) -> arbitrary::Result<ClaimVerdict> {
    let origin = Instant::now();
    let new_home = || SimHome {
        ledger: ClaimLedger::new(origin),
        epoch: 0,
    };
    let mut sim = ClaimSim {
        u,
        rule,
        origin,
        now_ms: 0,
        store: SimStore {
            pages: BTreeMap::new(),
            next_version: 0,
        },
        homes: vec![new_home(), new_home(), new_home()],
        calls: Vec::new(),
        open: BTreeMap::new(),
        completions: Vec::new(),
        reported: BTreeMap::new(),
        next_claim_id: 0,
        verdict: ClaimVerdict::default(),
    };
    while sim.now_ms < length_ms {
        sim.step(releases)?;
    }
    Ok(sim.verdict)
}

pub fn key(index: usize) -> ClaimKey {
    ClaimKey::from_parts("team", "service", &index.to_string())
}

fn answer(outcome: Outcome) -> ClaimAnswer {
    ClaimAnswer {
        outcome,
        status: 201,
        body: Vec::new(),
        is_truncated: false,
    }
}

impl ClaimSim<'_, '_> {
    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    fn step(&mut self, releases: bool) -> arbitrary::Result<()> {
        self.now_ms += STEP_MS;
        if once_in(self.u, 8)? {
            self.call_claim()?;
        }
        if once_in(self.u, 150)? {
            let home = draw(self.u, 0, self.homes.len() as u64 - 1)? as usize;
            let epoch = self.homes[home].epoch + 1;
            self.homes[home] = SimHome {
                ledger: ClaimLedger::new(self.now()),
                epoch,
            };
        }
        self.deliver_completions()?;
        self.step_store();
        self.expire_claims(releases);
        for home in 0..self.homes.len() {
            let now = self.now();
            let actions = self.homes[home].ledger.poll(now, self.now_ms);
            self.perform(home, actions)?;
        }
        Ok(())
    }

    fn call_claim(&mut self) -> arbitrary::Result<()> {
        let key_index = draw(self.u, 0, KEYS as u64 - 1)? as usize;
        let home = draw(self.u, 0, self.homes.len() as u64 - 1)? as usize;
        self.next_claim_id += 1;
        let (claim_id, nonce) = (self.next_claim_id, self.next_claim_id);
        let expires_ms = self.now_ms + CLAIM_TIMEOUT_MS;
        let expires_at = self.origin + Duration::from_millis(expires_ms);
        self.homes[home]
            .ledger
            .claim(claim_id, key(key_index), nonce, expires_at);
        self.verdict.events.push(ClaimEvent {
            key: key_index,
            nonce,
            called: self.now_ms,
            returned: None,
            granted: false,
            is_released: false,
        });
        let event = self.verdict.events.len() - 1;
        self.open.insert(claim_id, OpenClaim { event, expires_ms });
        Ok(())
    }

    /// Expires claims that were not granted in time.
    fn expire_claims(&mut self, releases: bool) {
        let now_ms = self.now_ms;
        let expired: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| now_ms >= open.expires_ms)
            .map(|x| *x.0)
            .collect();
        for claim_id in expired {
            let Some(open) = self.open.remove(&claim_id) else {
                continue;
            };
            let event = &mut self.verdict.events[open.event];
            if self.rule == ClaimRule::RunsUngranted {
                *self.verdict.runs.entry(event.key).or_default() += 1;
                continue;
            }
            if releases {
                event.is_released = true;
                let nonce = event.nonce;
                self.completions
                    .push((now_ms + 50, nonce, answer(Outcome::NotRun)));
            }
        }
    }

    fn perform(&mut self, home: usize, actions: Vec<ClaimAction>) -> arbitrary::Result<()> {
        for action in actions {
            match action {
                ClaimAction::Load => self.send(home, StoreCall::Load)?,
                ClaimAction::Write { page, expected } => {
                    self.send(home, StoreCall::Write(page, expected))?;
                }
                ClaimAction::Delete { .. } => {}
                ClaimAction::Reply { claim_id, reply } => self.reply(claim_id, reply)?,
            }
        }
        Ok(())
    }

    fn send(&mut self, home: usize, call: StoreCall) -> arbitrary::Result<()> {
        let effect_ms = self.now_ms + draw(self.u, 0, 60)?;
        // A write may take effect long after its caller has timed out.
        let is_late = once_in(self.u, 12)?;
        let effect_ms = if is_late {
            effect_ms + draw(self.u, 500, 2_000)?
        } else {
            effect_ms
        };
        self.calls.push(PendingCall {
            home,
            epoch: self.homes[home].epoch,
            effect_ms,
            answer_ms: self.now_ms + if is_late { 500 } else { draw(self.u, 60, 120)? },
            has_effect: !once_in(self.u, 12)?,
            has_answer: !is_late && !once_in(self.u, 8)?,
            started_ms: self.now_ms,
            call,
            result: None,
        });
        Ok(())
    }

    fn step_store(&mut self) {
        let now_ms = self.now_ms;
        for pending in &mut self.calls {
            if pending.result.is_some() || now_ms < pending.effect_ms || !pending.has_effect {
                continue;
            }
            pending.result = Some(match &pending.call {
                StoreCall::Load => {
                    StoreResult::Loaded(self.store.pages.values().cloned().collect())
                }
                StoreCall::Write(page, expected) => {
                    let compares = self.rule != ClaimRule::NoCompare;
                    StoreResult::Wrote(self.store.write(page.clone(), *expected, compares))
                }
            });
        }
        let calls = std::mem::take(&mut self.calls);
        for mut pending in calls {
            if now_ms < pending.answer_ms {
                self.calls.push(pending);
                continue;
            }
            let is_same_home = self.homes[pending.home].epoch == pending.epoch;
            if is_same_home && pending.answer_ms != u64::MAX {
                self.answer_home(&mut pending);
            }
            if pending.result.is_none() && pending.has_effect {
                // The caller has timed out, but the call still takes effect.
                pending.answer_ms = u64::MAX;
                self.calls.push(pending);
            }
        }
    }

    fn answer_home(&mut self, pending: &mut PendingCall) {
        let started_at = self.origin + Duration::from_millis(pending.started_ms);
        let result = pending.result.as_ref().filter(|_| pending.has_answer);
        let ledger = &mut self.homes[pending.home].ledger;
        let actions = match result {
            Some(StoreResult::Loaded(pages)) => ledger.load_succeeded(pages.clone(), started_at, 0),
            Some(StoreResult::Wrote(Some(version))) => ledger.write_succeeded(*version),
            Some(StoreResult::Wrote(None)) => {
                ledger.write_failed();
                Vec::new()
            }
            None => {
                match pending.call {
                    StoreCall::Load => ledger.load_failed(),
                    StoreCall::Write(..) => ledger.write_failed(),
                }
                Vec::new()
            }
        };
        let home = pending.home;
        self.perform(home, actions).unwrap_or_default();
    }

    fn reply(&mut self, claim_id: u64, reply: ClaimReply) -> arbitrary::Result<()> {
        let Some(open) = self.open.remove(&claim_id) else {
            return Ok(());
        };
        let event = &mut self.verdict.events[open.event];
        event.returned = Some(self.now_ms);
        event.granted = reply == ClaimReply::Granted;
        let (key_index, nonce) = (event.key, event.nonce);
        if let ClaimReply::AlreadyClaimed(Some(held)) = &reply {
            let reported = *self.reported.entry(key_index).or_insert(held.outcome);
            if reported != held.outcome && held.outcome != Outcome::NotRun {
                let text = format!("key {key_index}: {reported} and {}", held.outcome);
                self.verdict.contradictions.push(text);
            }
        }
        if reply != ClaimReply::Granted {
            return Ok(());
        }
        if once_in(self.u, 6)? {
            // The router crashes between the claim and the run.
            return Ok(());
        }
        *self.verdict.runs.entry(key_index).or_default() += 1;
        let outcome = if once_in(self.u, 4)? {
            Outcome::Unknown
        } else {
            Outcome::Answered
        };
        let due_ms = self.now_ms + draw(self.u, 10, 500)?;
        self.completions.push((due_ms, nonce, answer(outcome)));
        Ok(())
    }

    /// Reports the results of requests to randomly chosen homes.
    fn deliver_completions(&mut self) -> arbitrary::Result<()> {
        let now_ms = self.now_ms;
        let completions = std::mem::take(&mut self.completions);
        for (due_ms, nonce, answer) in completions {
            if now_ms < due_ms {
                self.completions.push((due_ms, nonce, answer));
                continue;
            }
            let event = self
                .verdict
                .events
                .iter()
                .find(|event| event.nonce == nonce);
            let Some(key_index) = event.map(|event| event.key) else {
                continue;
            };
            let home = draw(self.u, 0, self.homes.len() as u64 - 1)? as usize;
            self.homes[home]
                .ledger
                .complete(key(key_index), nonce, answer);
        }
        Ok(())
    }
}

impl SimStore {
    fn write(&mut self, page: ClaimPage, expected: u64, compares: bool) -> Option<u64> {
        let held = self
            .pages
            .get(&page.number)
            .map_or(0, |(_, version)| *version);
        if compares && held != expected {
            return None;
        }
        self.next_version += 1;
        self.pages.insert(page.number, (page, self.next_version));
        Some(self.next_version)
    }
}
