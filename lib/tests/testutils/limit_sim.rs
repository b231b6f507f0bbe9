//! Simulates routers before endpoints that name limits on the rate of their requests, under
//! virtual time.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use jujuberoad::fleet::LimitNotice;
use jujuberoad::fleet::LimitOutbox;
use jujuberoad::fleet::LimitStatement;
use jujuberoad::fleet::LimitTable;
use jujuberoad::fleet::QuotaDivider;
use jujuberoad::fleet::RateLimits;
use jujuberoad::fleet::SendPacer;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::RequestRate;
use jujuberoad::ids::RouterId;
use smol_str::format_smolstr;

/// Step of virtual time.
const STEP_MS: u64 = 5;
/// Length of a run.
const RUN_MS: u64 = 30_000;
/// Time after its first limit from which an endpoint's requests count.
const SETTLE_MS: u64 = 3_000;
/// Span in which they are counted.
const SPAN_MS: u64 = 4_000;
/// Time after a router has been told of a limit from which its requests count.
const TOLD_MS: u64 = 500;
const RETENTION_MS: u64 = 10_000;
/// Interval at which routers tell each other of limits.
const NOTICE_MS: u64 = 50;

/// Rules of a run; each control variant breaks one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRule {
    /// Unmodified rules.
    Kept,
    /// Limits are not regarded.
    Ignored,
    /// Each router takes the whole limit for itself.
    NotDivided,
}

/// A limit in force at an endpoint from one time until another.
#[derive(Clone, Copy, Debug)]
pub struct LimitPhase {
    pub from_ms: u64,
    pub until_ms: u64,
    pub per_1000_s: RequestRate,
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct LimitScenario {
    pub routers: usize,
    pub endpoints: usize,
    /// Number of endpoints that the phases apply to; the others never name a limit.
    pub limited: usize,
    pub requests_per_second: u64,
    pub phases: Vec<LimitPhase>,
}

/// What was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct LimitOutcome {
    /// Requests in some span beyond what was allowed, for each endpoint that got too many.
    pub excesses: Vec<String>,
    /// Requests that found no endpoint.
    pub refused: usize,
    /// Requests to limited endpoints while they named a limit.
    pub limited_arrivals: usize,
    /// What these endpoints said they take in that time.
    pub limited_room: f64,
    /// Requests to limited endpoints after the last limit had ended for 4 s.
    pub late_arrivals: usize,
}

struct SimRouter {
    divider: QuotaDivider,
    pacer: SendPacer,
    limits: LimitTable,
    outbox: LimitOutbox,
    in_flight: Vec<usize>,
    told_at: Vec<Option<u64>>,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Notice {
        router: usize,
        notice: LimitNotice,
    },
    Arrival {
        router: usize,
        endpoint: usize,
        sent_ms: u64,
    },
    Statement {
        router: usize,
        endpoint: usize,
        sent_ms: u64,
    },
    Answer {
        router: usize,
        endpoint: usize,
        sent_ms: u64,
        limit: Option<RequestRate>,
    },
}

/// A run of [`LimitScenario`].
pub struct LimitSim {
    scenario: LimitScenario,
    rule: LimitRule,
    rng: Rng,
    start: Instant,
    ids: Vec<EndpointId>,
    routers: Vec<SimRouter>,
    events: BTreeMap<u64, Vec<SimEvent>>,
    /// Arrivals by endpoint: when, and from which router.
    arrivals: Vec<Vec<(u64, usize)>>,
    outcome: LimitOutcome,
}

impl LimitSim {
    pub fn new(scenario: LimitScenario, rule: LimitRule, seed: u64) -> Self {
        let start = Instant::now();
        let names: Vec<RouterId> = (0..scenario.routers)
            .map(|index| format_smolstr!("r{index}"))
            .collect();
        let router = |own: &RouterId| {
            let mut divider = QuotaDivider::new(own.clone(), RETENTION_MS);
            for name in names.iter().filter(|_| rule != LimitRule::NotDivided) {
                divider.add(name);
            }
            divider.list_read(start);
            SimRouter {
                divider,
                pacer: SendPacer::default(),
                limits: LimitTable::default(),
                outbox: LimitOutbox::default(),
                in_flight: vec![0; scenario.endpoints],
                told_at: vec![None; scenario.endpoints],
            }
        };
        Self {
            rule,
            rng: Rng::with_seed(seed),
            start,
            ids: (0..scenario.endpoints)
                .map(|index| format_smolstr!("e{index}"))
                .collect(),
            routers: names.iter().map(router).collect(),
            events: BTreeMap::new(),
            arrivals: vec![Vec::new(); scenario.endpoints],
            outcome: LimitOutcome::default(),
            scenario,
        }
    }

    pub fn run(mut self) -> LimitOutcome {
        for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
            while let Some(entry) = self.events.first_entry() {
                if *entry.key() > now_ms {
                    break;
                }
                let (at_ms, events) = entry.remove_entry();
                for event in events {
                    self.handle(event, at_ms);
                }
            }
            self.send_requests(now_ms);
            if now_ms % NOTICE_MS == 0 {
                self.send_notices(now_ms);
            }
        }
        for endpoint in 0..self.scenario.limited {
            self.check(endpoint);
        }
        self.outcome
    }

    fn at(&self, ms: u64) -> Instant {
        // The routers know each other when the run starts.
        self.start + Duration::from_millis(ms + 2_000)
    }

    fn limit_at(&self, endpoint: usize, ms: u64) -> Option<RequestRate> {
        if endpoint >= self.scenario.limited {
            return None;
        }
        let phases = self.scenario.phases.iter();
        let in_force = phases.filter(|phase| (phase.from_ms..phase.until_ms).contains(&ms));
        in_force.map(|phase| phase.per_1000_s).min()
    }

    fn schedule(&mut self, at_ms: u64, event: SimEvent) {
        self.events.entry(at_ms).or_default().push(event);
    }

    fn send_requests(&mut self, now_ms: u64) {
        let mean = self.scenario.requests_per_second as f64 * STEP_MS as f64 / 1_000.0;
        let mut count = mean as usize;
        count += usize::from(self.rng.f64() < mean.fract());
        for _ in 0..count {
            // The first routers get more callers than the last ones.
            let draw = self.rng.f64() * self.rng.f64().max(0.3);
            let router = (draw * self.scenario.routers as f64) as usize;
            let Some(endpoint) = self.pick(router, now_ms) else {
                self.outcome.refused += 1;
                continue;
            };
            let now = self.at(now_ms);
            let id = self.ids[endpoint].clone();
            let state = &mut self.routers[router];
            state.pacer.record_send(&id, now);
            state.in_flight[endpoint] += 1;
            let arrival_ms = now_ms + self.rng.u64(1..=10);
            let event = SimEvent::Arrival {
                router,
                endpoint,
                sent_ms: now_ms,
            };
            self.schedule(arrival_ms, event);
        }
    }

    fn send_notices(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        for sender in 0..self.routers.len() {
            for notice in self.routers[sender].outbox.take(now) {
                for router in 0..self.routers.len() {
                    // Some datagrams are lost, and some arrive late.
                    let fate = self.rng.u8(..);
                    if router == sender || fate < 25 {
                        continue;
                    }
                    let transit_ms = if fate < 50 { 40 } else { 3 };
                    let notice = notice.clone();
                    self.schedule(now_ms + transit_ms, SimEvent::Notice { router, notice });
                }
            }
        }
    }

    fn pick(&mut self, router: usize, now_ms: u64) -> Option<usize> {
        let now = self.at(now_ms);
        let state = &self.routers[router];
        let may_send = |endpoint: &usize| {
            let id = &self.ids[*endpoint];
            let limits = RateLimits {
                cold_per_second: None,
                named: state.limits.limit(id),
            };
            self.rule == LimitRule::Ignored || state.pacer.may_send(id, limits, &state.divider, now)
        };
        let free = (0..self.scenario.endpoints).filter(may_send);
        free.min_by_key(|endpoint| (state.in_flight[*endpoint], self.rng.u32(..)))
    }

    fn handle(&mut self, event: SimEvent, at_ms: u64) {
        match event {
            SimEvent::Notice { router, notice } => {
                let now = self.at(at_ms);
                if let Some(statement) = notice.statement(now) {
                    let state = &mut self.routers[router];
                    state.limits.observe(&notice.endpoint, statement, now);
                }
            }
            SimEvent::Arrival {
                router,
                endpoint,
                sent_ms,
            } => {
                self.arrivals[endpoint].push((at_ms, router));
                let statement_ms = at_ms + self.rng.u64(10..=400);
                let event = SimEvent::Statement {
                    router,
                    endpoint,
                    sent_ms,
                };
                self.schedule(statement_ms, event);
            }
            SimEvent::Statement {
                router,
                endpoint,
                sent_ms,
            } => {
                // A lost packet holds up some answers.
                let is_late = self.rng.u8(..) < 8;
                let transit_ms = if is_late { 300 } else { self.rng.u64(1..=10) };
                let limit = self.limit_at(endpoint, at_ms);
                let event = SimEvent::Answer {
                    router,
                    endpoint,
                    sent_ms,
                    limit,
                };
                self.schedule(at_ms + transit_ms, event);
            }
            SimEvent::Answer {
                router,
                endpoint,
                sent_ms,
                limit,
            } => {
                let statement = LimitStatement {
                    limit,
                    asked_at: self.at(sent_ms),
                    answered_at: self.at(at_ms),
                };
                let state = &mut self.routers[router];
                state.in_flight[endpoint] -= 1;
                let id = &self.ids[endpoint];
                if state.limits.observe(id, statement, statement.answered_at) {
                    state.outbox.push(id.clone(), statement);
                }
                if limit.is_some() {
                    state.told_at[endpoint].get_or_insert(at_ms);
                }
            }
        }
    }

    fn check(&mut self, endpoint: usize) {
        let arrivals = std::mem::take(&mut self.arrivals[endpoint]);
        let phases = self.scenario.phases.clone();
        let Some(first_ms) = phases.iter().map(|phase| phase.from_ms).min() else {
            return;
        };
        let last_ms = phases.iter().map(|phase| phase.until_ms).max();
        for ms in (0..RUN_MS).step_by(STEP_MS as usize) {
            if let Some(limit) = self.limit_at(endpoint, ms) {
                self.outcome.limited_room += limit as f64 / 1_000.0 * STEP_MS as f64 / 1_000.0;
            }
        }
        for (at_ms, _) in &arrivals {
            self.outcome.limited_arrivals += usize::from(self.limit_at(endpoint, *at_ms).is_some());
            let is_late = last_ms.is_some_and(|last_ms| *at_ms > last_ms + SPAN_MS);
            self.outcome.late_arrivals += usize::from(is_late);
        }
        let counts = |(at_ms, router): &&(u64, usize)| {
            let told_at = self.routers[*router].told_at[endpoint];
            told_at.is_some_and(|told_at| told_at + TOLD_MS <= *at_ms)
        };
        let counted: Vec<u64> = arrivals.iter().filter(counts).map(|(at, _)| *at).collect();
        let mut worst: Option<(i64, String)> = None;
        for (index, from_ms) in counted.iter().enumerate() {
            if *from_ms < first_ms + SETTLE_MS {
                continue;
            }
            let until_ms = from_ms + SPAN_MS;
            // The most that the endpoint took at any time of the span.
            let limits = (*from_ms..until_ms)
                .step_by(STEP_MS as usize)
                .map(|ms| self.limit_at(endpoint, ms));
            let Some(limit) = limits
                .min_by_key(|limit| std::cmp::Reverse(limit.unwrap_or(u64::MAX)))
                .flatten()
            else {
                continue;
            };
            let count = counted[index..].partition_point(|at| *at < until_ms);
            let allowed = (1.5 * limit as f64 / 1_000.0 * 4.0 + 5.0) as usize;
            let excess = count as i64 - allowed as i64;
            if excess > 0 && worst.as_ref().is_none_or(|(most, _)| *most < excess) {
                let text = format!("e{endpoint}: {count} of {allowed} from {from_ms} ms");
                worst = Some((excess, text));
            }
        }
        self.outcome.excesses.extend(worst.map(|(_, text)| text));
    }
}
