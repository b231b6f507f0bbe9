//! Routers that share two pools of batching targets, in virtual time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jujuberoad::admission::FirstEventLatency;
use jujuberoad::admission::overload::{self, AdmissionChoice, OverloadPolicy, PoolActivity};
use jujuberoad::admission::overload::{PoolPressure, WaitingRequest};
use jujuberoad::peer::PoolWaiting;

use super::overload_plan::{CLASSES, Digests, OverloadEnds, OverloadPlan, pool_class, pool_key};

const STEP_MS: u64 = 5;
const END_MS: u64 = 10_000;
const ROUTERS: usize = 12;
const TARGETS: usize = 10;
const SLOTS: u32 = 8;
const HOLD_MS: u64 = 450;
const TIMEOUT_MS: u64 = 4_000;
const DIGEST_INTERVAL_MS: u64 = 100;
const DIGEST_LIFETIME_MS: u64 = 600;
const PEER_SUM_LIFETIME_MS: u64 = 50;
#[derive(Clone)]
struct Call {
    class: usize,
    router: usize,
    number: u64,
    first_ms: u64,
    arrived_ms: u64,
    returns: u32,
    request: WaitingRequest,
    counted: bool,
}

struct Run {
    pool: usize,
    target: usize,
    router: usize,
    class: usize,
    ends_ms: u64,
}

pub struct OverloadSim {
    plan: OverloadPlan,
    random: fastrand::Rng,
    start: Instant,
    now_ms: u64,
    number: u64,
    latency: FirstEventLatency,
    waiting: Vec<Call>,
    returning: Vec<(u64, Call)>,
    runs: Vec<Run>,
    own: Vec<PoolActivity>,
    digests: BTreeMap<usize, (u64, Vec<PoolWaiting>)>,
    /// Sums over peers by router, as last read.
    peer_sums: Vec<Vec<PoolWaiting>>,
    ends: OverloadEnds,
}

impl OverloadSim {
    /// Adds up the ends of one run for each seed.
    pub fn run(plan: &OverloadPlan, seeds: u64) -> OverloadEnds {
        let mut total = OverloadEnds::default();
        for seed in 0..seeds {
            let mut sim = Self::new(plan, seed);
            while sim.now_ms < END_MS + TIMEOUT_MS {
                sim.step();
                sim.now_ms += STEP_MS;
            }
            for (total, ends) in total.ends.iter_mut().zip(sim.ends.ends) {
                *total = std::array::from_fn(|index| total[index] + ends[index]);
            }
        }
        total
    }

    fn new(plan: &OverloadPlan, seed: u64) -> Self {
        Self {
            plan: plan.clone(),
            random: fastrand::Rng::with_seed(seed),
            start: Instant::now(),
            now_ms: 0,
            number: 0,
            latency: FirstEventLatency::default(),
            waiting: Vec::new(),
            returning: Vec::new(),
            runs: Vec::new(),
            own: vec![PoolActivity::default(); ROUTERS],
            digests: BTreeMap::new(),
            peer_sums: vec![Vec::new(); ROUTERS],
            ends: OverloadEnds::default(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn is_lost(&self, router: usize) -> bool {
        self.plan.lost_router == Some(router) && self.now_ms >= 4_000
    }

    fn step(&mut self) {
        let now = self.at(self.now_ms);
        let ended = std::mem::take(&mut self.runs).into_iter();
        let (ended, runs): (Vec<Run>, _) = ended.partition(|run| run.ends_ms <= self.now_ms);
        self.runs = runs;
        for run in ended {
            self.own[run.router].end_run(&pool_class(run.class), now);
        }
        for router in 0..ROUTERS {
            // Routers send at different times.
            let is_due = (self.now_ms + 10 * router as u64).is_multiple_of(DIGEST_INTERVAL_MS);
            let sends = match self.plan.digests {
                Digests::Live => true,
                Digests::Missing => false,
                Digests::EndAt(end) => self.now_ms < end,
                Digests::OlderRouters(count) => router >= count,
            };
            if is_due && sends && !self.is_lost(router) {
                let digest = (self.now_ms, self.own[router].snapshot(now));
                self.digests.insert(router, digest);
            }
        }
        for call in std::mem::take(&mut self.waiting) {
            if !self.is_lost(call.router) {
                self.waiting.push(call);
                continue;
            }
            self.ends.ends[call.class][3] += 1;
        }
        let returning = std::mem::take(&mut self.returning).into_iter();
        let (due, returning) = returning.partition(|(at, _)| *at <= self.now_ms);
        self.returning = returning;
        for (_, call) in due {
            let router = self.random.usize(..ROUTERS);
            self.arrive(call.class, router, call.first_ms, call.returns);
        }
        for (class, (.., rate)) in CLASSES.iter().enumerate() {
            for router in 0..ROUTERS {
                let factor = (self.plan.load)(class, router, self.now_ms);
                let chance = rate * factor * STEP_MS as f64 / 1_000.0 / ROUTERS as f64;
                if self.now_ms < END_MS && self.random.f64() < chance {
                    self.arrive(class, router, self.now_ms, 0);
                }
            }
        }
        self.serve();
    }

    fn arrive(&mut self, class: usize, router: usize, first_ms: u64, returns: u32) {
        let (pool, priority, team, objective, _) = CLASSES[class];
        let age = self.now_ms - first_ms;
        let router = if self.is_lost(router) {
            (router + 1) % ROUTERS
        } else {
            router
        };
        let usual = self
            .latency
            .usual_latency(&pool_key(pool), objective)
            .as_millis() as u64;
        let longest = self
            .latency
            .max_wait(&pool_key(pool), objective)
            .as_millis() as u64;
        let (late_ms, give_up_ms) = if self.plan.is_ordered {
            (first_ms + objective - usual, first_ms + TIMEOUT_MS - usual)
        } else {
            let late = if age >= objective {
                0
            } else {
                longest.saturating_sub(age)
            };
            (self.now_ms + late, self.now_ms + late)
        };
        self.number += 1;
        let call = Call {
            class,
            router,
            number: self.number,
            first_ms,
            arrived_ms: self.now_ms,
            returns,
            counted: false,
            request: WaitingRequest {
                priority,
                team: Some(team.into()),
                late_at: self.at(late_ms),
                give_up_at: self.at(give_up_ms),
                is_returning: age > 0,
            },
        };
        self.waiting.push(call);
    }

    fn pressure(&mut self, pool: usize, router: usize) -> PoolPressure {
        if !self.plan.is_ordered {
            return PoolPressure::default();
        }
        let now = self.at(self.now_ms);
        let own = self.own[router].snapshot(now);
        if self.now_ms.is_multiple_of(PEER_SUM_LIFETIME_MS) {
            let fresh = self.digests.iter().filter(|(peer, (sent, _))| {
                **peer != router && self.now_ms < sent + DIGEST_LIFETIME_MS
            });
            let counts = fresh.flat_map(|(_, (_, digest))| digest.clone());
            self.peer_sums[router] = PoolPressure::sum_classes(counts.collect());
        }
        PoolPressure::new(&pool_key(pool), &own, &self.peer_sums[router])
    }

    fn serve(&mut self) {
        let now = self.at(self.now_ms);
        let mut order: Vec<usize> = (0..ROUTERS).collect();
        self.random.shuffle(&mut order);
        for (router, pool) in order.iter().flat_map(|router| [(*router, 0), (*router, 1)]) {
            let waiting = std::mem::take(&mut self.waiting).into_iter();
            let (mut calls, others): (Vec<Call>, _) =
                waiting.partition(|call| call.router == router && CLASSES[call.class].0 == pool);
            self.waiting = others;
            let pressure = self.pressure(pool, router);
            if calls.is_empty() {
                continue;
            }
            let objective = |call: &Call| CLASSES[call.class].3;
            calls.sort_by_key(|call| match self.plan.is_ordered {
                true => (Some(call.request.rank(call.number, &pressure, now)), 0, 0),
                false => {
                    let is_late = call.arrived_ms - call.first_ms >= objective(call);
                    (
                        None,
                        2 * call.request.priority + u32::from(is_late),
                        call.number,
                    )
                }
            });
            let mut late_waiting = 0;
            let mut is_blocked = false;
            for (ahead, mut call) in calls.into_iter().enumerate() {
                // Only the first request of a router takes a slot.
                if !is_blocked && self.try_start(&call, &pressure) {
                    if call.counted {
                        self.own[router].end_wait(&pool_class(call.class));
                    }
                    continue;
                }
                is_blocked = true;
                let is_new = call.arrived_ms == self.now_ms;
                let is_late = call.request.is_late(now);
                late_waiting += usize::from(is_late);
                let policy = OverloadPolicy {
                    late_waiting,
                    targets: TARGETS,
                };
                let choice = match self.plan.is_ordered {
                    true if is_new || is_late => policy.choose(&call.request, &pressure, now),
                    false if is_late || is_new && ahead > TARGETS => AdmissionChoice::Refuse(None),
                    _ => AdmissionChoice::Wait,
                };
                let should_count = !is_late && choice == AdmissionChoice::Wait;
                match (call.counted, should_count) {
                    (false, true) => self.own[router].begin_wait(&pool_class(call.class)),
                    (true, false) => self.own[router].end_wait(&pool_class(call.class)),
                    _ => {}
                }
                call.counted = should_count;
                match choice {
                    AdmissionChoice::Wait => self.waiting.push(call),
                    AdmissionChoice::Refuse(estimate) => self.refuse(call, estimate),
                }
            }
        }
    }

    fn refuse(&mut self, mut call: Call, estimate: Option<overload::WaitEstimate>) {
        let deadline = self.at(call.first_ms + TIMEOUT_MS);
        let now = self.at(self.now_ms);
        if call.returns >= self.plan.returns {
            self.ends.ends[call.class][2] += 1;
            return;
        }
        call.returns += 1;
        let delay = if self.plan.at_once {
            Duration::from_millis(STEP_MS)
        } else if self.plan.is_ordered {
            overload::retry_at(estimate, deadline, self.random.f64(), now) - now
        } else {
            let longest = (deadline - now)
                .mul_f64(0.3)
                .min(Duration::from_millis(1_500));
            let shortest = Duration::from_millis(150).min(longest);
            shortest + (longest - shortest).mul_f64(self.random.f64())
        };
        let returns_at = self.now_ms + delay.as_millis() as u64;
        self.returning.push((returns_at, call));
    }

    fn try_start(&mut self, call: &Call, pressure: &PoolPressure) -> bool {
        let (pool, _, _, objective, _) = CLASSES[call.class];
        let lost = if self.now_ms >= 2_000 {
            self.plan.lost_targets
        } else {
            0
        };
        let mut loads = vec![0; TARGETS - lost];
        for run in self.runs.iter().filter(|run| run.pool == pool) {
            if let Some(load) = loads.get_mut(run.target) {
                *load += 1;
            }
        }
        let slots = SLOTS * loads.len() as u32;
        let free: u32 = loads.iter().map(|load| SLOTS.saturating_sub(*load)).sum();
        let now = self.at(self.now_ms);
        if self.plan.is_ordered && free <= pressure.kept_room(&call.request, slots, now) {
            return false;
        }
        let (target, load) = loads
            .iter()
            .enumerate()
            .min_by_key(|(_, load)| **load)
            .unwrap();
        if *load >= SLOTS {
            return false;
        }
        // Each request on a batching engine delays the first event of the next one.
        let first_event = 40 + 5 * u64::from(*load) + self.random.u64(..20);
        let latency = Duration::from_millis(first_event);
        self.latency.observe(&pool_key(pool), latency);
        let answered = self.now_ms + first_event;
        let is_late = answered - call.first_ms > objective;
        self.ends.ends[call.class][usize::from(is_late)] += 1;
        self.own[call.router].begin_run(&pool_class(call.class));
        let ends_ms = answered + HOLD_MS;
        let (class, router) = (call.class, call.router);
        self.runs.push(Run {
            pool,
            target,
            router,
            class,
            ends_ms,
        });
        true
    }
}
