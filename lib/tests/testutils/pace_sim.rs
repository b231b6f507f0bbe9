//! Batching engines and routers with paces, in virtual time.

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use jujuberoad::fleet::LoadTable;
use jujuberoad::fleet::PoolKey;
use jujuberoad::fleet::ServingTarget;
use jujuberoad::fleet::TargetPicker;
use jujuberoad::ids::EndpointId;
use jujuberoad::pace::PaceTable;
use jujuberoad::pace::PacedPicker;
use jujuberoad::pace::TargetAnswer;
use jujuberoad::peer::TargetOutcomes;

pub const OBJECTIVE_MS: u64 = 300;
/// Prompt tokens that an engine reads in one pass.
const PASS_TOKENS: f64 = 4_096.0;

/// What is simulated; times in milliseconds. Engine 0 is the one that something happens to.
#[derive(Clone)]
pub struct PacePlan {
    pub routers: usize,
    pub has_paces: bool,
    /// Whether the build of the routers sends no outcomes.
    pub is_older: bool,
    pub lost_digests: f64,
    /// Requests per second at a time.
    pub rate: fn(u64) -> f64,
    /// When engine 0 appears in the registry, and when its exclusion ends.
    pub listed_from: u64,
    pub excluded_until: u64,
    /// Time factor of engine 0 at a time.
    pub slowness: fn(u64) -> f64,
}

#[derive(Clone)]
struct SimStream {
    router: usize,
    tokens: u32,
    unread: f64,
    events: u32,
    arrived: u64,
    sent: u64,
}

#[derive(Default)]
struct SimEngine {
    prompts: Vec<SimStream>,
    decoding: Vec<SimStream>,
    pass_end: u64,
    /// Prompts that the pass finishes.
    read: usize,
}

#[derive(Default)]
struct SimRouter {
    loads: LoadTable,
    paces: PaceTable,
    outcomes: Vec<(EndpointId, TargetOutcomes)>,
    queue: Vec<SimStream>,
    digest_at: u64,
}

pub struct PaceSim {
    plan: PacePlan,
    /// Draws arrivals, which are the same for all plans.
    arrivals: Rng,
    rng: Rng,
    start: Instant,
    now: u64,
    pool: PoolKey,
    targets: Vec<ServingTarget>,
    engines: Vec<SimEngine>,
    routers: Vec<SimRouter>,
    /// Time, engine (`None` if refused) and time to the first event of each request.
    pub firsts: Vec<(u64, Option<usize>, u64)>,
}

impl PaceSim {
    pub fn new(plan: PacePlan, targets: Vec<ServingTarget>, seed: u64) -> Self {
        let (service, model) = ("s".into(), None);
        Self {
            arrivals: Rng::with_seed(seed),
            rng: Rng::with_seed(seed + 1_000),
            start: Instant::now(),
            now: 0,
            pool: PoolKey { service, model },
            engines: targets.iter().map(|_| SimEngine::default()).collect(),
            routers: (0..plan.routers).map(|_| SimRouter::default()).collect(),
            targets,
            plan,
            firsts: Vec::new(),
        }
    }

    pub fn run(&mut self, span: u64) {
        for _ in 0..span {
            self.now += 1;
            let now = self.start + Duration::from_millis(self.now);
            if self.arrivals.f64() < (self.plan.rate)(self.now) / 1_000.0 {
                self.add_request();
            }
            for router in 0..self.routers.len() {
                if self.now >= self.routers[router].digest_at {
                    self.send_digest(router, now);
                }
                self.serve_queue(router, now);
            }
            for index in 0..self.engines.len() {
                if self.now >= self.engines[index].pass_end {
                    self.end_pass(index, now);
                }
            }
        }
    }

    /// Adds a request; half of them reach a tenth of the routers.
    fn add_request(&mut self) {
        let (routers, rng) = (self.plan.routers, &mut self.arrivals);
        let range = if rng.bool() { routers / 10 } else { routers };
        let router = rng.usize(0..range);
        let tokens = 40 + (2_400.0 * rng.f64() * rng.f64()) as u32;
        self.routers[router].queue.push(SimStream {
            router,
            tokens,
            unread: f64::from(tokens),
            events: 1 + (68.0 * rng.f64() * rng.f64()) as u32,
            arrived: self.now,
            sent: 0,
        });
    }

    fn send_digest(&mut self, from: usize, now: Instant) {
        let interval = 50 + 5 * self.plan.routers as u64;
        let sender = &mut self.routers[from];
        sender.digest_at = self.now + interval / 2 + self.rng.u64(0..interval);
        let own = sender.loads.own();
        let loads: Vec<_> = own.map(|(id, load)| (id.clone(), *load)).collect();
        let mut outcomes = std::mem::take(&mut sender.outcomes);
        outcomes.retain(|_| !self.plan.is_older);
        let until = now + Duration::from_millis((3 * interval).max(600));
        for (index, router) in self.routers.iter_mut().enumerate() {
            if index != from && self.rng.f64() >= self.plan.lost_digests {
                let name = format!("r{from}").into();
                router.loads.observe_peer(name, loads.clone(), now, until);
                router.paces.observe_peers(&outcomes, &router.loads, now);
            }
        }
    }

    fn serve_queue(&mut self, index: usize, now: Instant) {
        let SimRouter {
            loads,
            paces,
            queue,
            ..
        } = &mut self.routers[index];
        loads.expire(now);
        let targets = &self.targets[usize::from(self.now < self.plan.listed_from)..];
        let is_excluded = self.now < self.plan.excluded_until;
        let avoided = |target: &ServingTarget| is_excluded && target.endpoint == "h0";
        if self.plan.has_paces && paces.is_refresh_due(now) {
            paces.refresh([(&self.pool, targets)].into_iter(), loads, &avoided, now);
        }
        for mut stream in std::mem::take(queue) {
            let picker = TargetPicker {
                loads,
                zone: "z",
                avoided: &avoided,
                bound: &|target| paces.bound(target),
                queue_limit: 0,
                now,
            };
            let routers = self.plan.routers;
            let picker = PacedPicker {
                paces,
                picker,
                routers,
            };
            let waited = self.now - stream.arrived;
            let Some(target) = picker.pick(targets, || self.rng.f64()) else {
                if waited < OBJECTIVE_MS / 2 {
                    queue.push(stream);
                } else {
                    self.firsts.push((self.now, None, waited));
                }
                continue;
            };
            paces.record_arrival(&self.pool, now);
            loads.begin_request(&target.endpoint, stream.tokens);
            let engine = self.targets.iter().position(|other| other == target);
            stream.sent = self.now;
            self.engines[engine.expect("a target")].prompts.push(stream);
        }
    }

    /// Ends a pass of an engine, in which all streams get an event, and begins the next.
    fn end_pass(&mut self, index: usize, now: Instant) {
        let (engine, target) = (&mut self.engines[index], &self.targets[index]);
        let (id, routers) = (&target.endpoint, &mut self.routers);
        for stream in &mut engine.decoding {
            stream.events -= 1;
            if stream.events == 0 {
                routers[stream.router].loads.end_request(id, 0);
            }
        }
        engine.decoding.retain(|stream| stream.events > 0);
        for stream in engine.prompts.drain(..std::mem::take(&mut engine.read)) {
            let took = self.now - stream.arrived;
            self.firsts.push((self.now, Some(index), took));
            let router = &mut routers[stream.router];
            router.loads.finish_prefill(id, stream.tokens);
            let answer = TargetAnswer {
                objective_ms: OBJECTIVE_MS,
                longest_pause_ms: 300,
                prompt_tokens: stream.tokens,
                waited_ms: stream.sent - stream.arrived,
                took_ms: self.now - stream.sent,
            };
            let (outcome, _) = router.paces.observe(target, &answer, &router.loads, now);
            let outcome = outcome.map(|outcome| (id.clone(), outcome));
            router.outcomes.extend(outcome);
            engine.decoding.push(stream);
        }
        let streams = engine.decoding.len();
        if streams + engine.prompts.len() == 0 {
            return;
        }
        let mut budget = PASS_TOKENS;
        for prompt in &mut engine.prompts {
            let part = prompt.unread.min(budget);
            prompt.unread -= part;
            budget -= part;
            engine.read += usize::from(prompt.unread <= 0.0);
        }
        let is_first = index == 0;
        let factor = is_first.then(|| (self.plan.slowness)(self.now));
        let span = target.event_interval_ms
            + streams as f64 * target.event_interval_ms_per_request
            + (PASS_TOKENS - budget) * target.prefill_ms_per_token;
        engine.pass_end = self.now + (factor.unwrap_or(1.0) * span) as u64 + 1;
    }
}
