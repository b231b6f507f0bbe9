//! Simulates routers that choose among engines with delayed load information, in
//! virtual time.
//!
//! An engine works in forward passes: each pass yields one event of every running stream
//! and prefills waiting prompts, so prompts that arrive together delay all streams.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use jujuberoad::fleet::LoadTable;
use jujuberoad::fleet::ServingTarget;
use jujuberoad::fleet::TargetPicker;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::ZoneId;

/// Network delay of a load digest between routers.
const PEER_DELAY_MS: u64 = 2;

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct ChoicePlan {
    pub routers_per_zone: usize,
    /// Engines in each zone.
    pub engines_per_zone: Vec<usize>,
    pub slots: u32,
    pub requests_per_second: f64,
    /// Mean prompt length, and the standard deviation of its logarithm.
    pub prompt_tokens: (f64, f64),
    /// Maximum prompt length in tokens.
    pub longest_prompt: u32,
    /// Mean number of events per stream.
    pub events: f64,
    /// Duration of a pass without prompts, before the cost per stream, in milliseconds.
    pub event_interval_ms: f64,
    pub prefill_ms_per_token: f64,
    /// Maximum number of prompt tokens per pass.
    pub tokens_per_pass: u32,
    /// Interval between two digests of a router.
    pub digest_ms: u64,
}

impl Default for ChoicePlan {
    /// Nine large groups and thirty routers, at a third of the groups' capacity.
    fn default() -> Self {
        Self {
            routers_per_zone: 10,
            engines_per_zone: vec![3, 3, 3],
            slots: 20,
            requests_per_second: 69.0,
            prompt_tokens: (1_600.0, 0.9),
            longest_prompt: 5_880,
            events: 18.0,
            event_interval_ms: 47.0,
            prefill_ms_per_token: 1.0 / 45.9,
            tokens_per_pass: 6 * 2_048,
            digest_ms: 200,
        }
    }
}

/// Results as seen by the callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChoiceOutcome {
    pub streams: u32,
    /// Streams with a pause over 300 ms.
    pub paused: u32,
    /// Streams whose first event came more than 300 ms after the choice.
    pub slow_first: u32,
    /// Streams for which every engine was full.
    pub refused: u32,
    /// Streams sent to another zone.
    pub cross_zone: u32,
}

impl ChoiceOutcome {
    pub fn add(&mut self, other: &Self) {
        self.streams += other.streams;
        self.paused += other.paused;
        self.slow_first += other.slow_first;
        self.refused += other.refused;
        self.cross_zone += other.cross_zone;
    }

    pub fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.streams.max(1))
    }
}

impl fmt::Display for ChoiceOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} streams: paused {:.4} slow {:.4} refused {:.4} far {:.4}",
            self.streams,
            self.share(self.paused),
            self.share(self.slow_first),
            self.share(self.refused),
            self.share(self.cross_zone)
        )
    }
}

#[derive(Clone, Debug)]
struct Stream {
    router: usize,
    tokens: u32,
    unread_tokens: f64,
    events_left: u32,
    sent_at: f64,
    last_event_at: Option<f64>,
    has_paused: bool,
}

#[derive(Clone, Debug, Default)]
struct SimEngine {
    prompts: VecDeque<Stream>,
    decoding: Vec<Stream>,
    pass: Option<Pass>,
}

#[derive(Clone, Debug)]
struct Pass {
    ends_at: f64,
    finished_prompts: usize,
    partial_tokens: f64,
}

/// The simulation state.
pub struct ChoiceSim {
    plan: ChoicePlan,
    rng: Rng,
    start: Instant,
    now_ms: u64,
    targets: Vec<ServingTarget>,
    engines: Vec<SimEngine>,
    routers: Vec<LoadTable>,
    next_digest: Vec<u64>,
    digests: VecDeque<(u64, usize)>,
    pub outcome: ChoiceOutcome,
}

impl ChoiceSim {
    pub fn new(plan: ChoicePlan, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut targets = Vec::new();
        let zones = plan.engines_per_zone.len();
        let places = plan.engines_per_zone.iter().enumerate();
        let places = places.flat_map(|(zone, count)| std::iter::repeat_n(zone, *count));
        for (index, place) in places.enumerate() {
            targets.push(ServingTarget {
                endpoint: format!("h{index}").into(),
                address: ([127, 0, 0, 1], 1).into(),
                zone: zone(place),
                group: None,
                members: Vec::new(),
                slots: plan.slots,
                cold_until: None,
                cold_requests_per_second: 0.0,
                prefill_ms_per_token: plan.prefill_ms_per_token,
                event_interval_ms: plan.event_interval_ms,
                event_interval_ms_per_request: 0.6,
            });
        }
        let count = zones * plan.routers_per_zone;
        let next_digest: Vec<u64> = (0..count).map(|_| rng.u64(0..plan.digest_ms)).collect();
        Self {
            engines: vec![SimEngine::default(); targets.len()],
            targets,
            routers: vec![LoadTable::default(); count],
            next_digest,
            digests: VecDeque::new(),
            plan,
            rng,
            start: Instant::now(),
            now_ms: 0,
            outcome: ChoiceOutcome::default(),
        }
    }

    /// Advances the simulation by `span_ms`.
    pub fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.now_ms += 1;
            self.send_digests();
            let chance = self.plan.requests_per_second / 1_000.0;
            if self.rng.f64() < chance {
                self.send_request();
            }
            for index in 0..self.engines.len() {
                self.advance(index);
            }
        }
    }

    fn send_digests(&mut self) {
        for router in 0..self.routers.len() {
            if self.now_ms >= self.next_digest[router] {
                self.next_digest[router] += self.plan.digest_ms;
                self.digests
                    .push_back((self.now_ms + PEER_DELAY_MS, router));
            }
        }
        while self
            .digests
            .front()
            .is_some_and(|(at, _)| *at <= self.now_ms)
        {
            let Some((_, from)) = self.digests.pop_front() else {
                return;
            };
            let own = self.routers[from].own();
            let loads: Vec<_> = own.map(|(id, load)| (id.clone(), *load)).collect();
            let now = self.instant();
            let name: RouterId = format!("r{from}").into();
            for (index, table) in self.routers.iter_mut().enumerate() {
                if index != from {
                    let until = now + Duration::from_millis(600);
                    table.observe_peer(name.clone(), loads.clone(), now, until);
                }
            }
        }
    }

    fn send_request(&mut self) {
        let router = self.rng.usize(0..self.routers.len());
        let tokens = self.draw_tokens();
        let own_zone = zone(router % self.plan.engines_per_zone.len());
        let mut rng = self.rng.fork();
        let picker = TargetPicker {
            loads: &self.routers[router],
            zone: &own_zone,
            avoided: &|_| false,
            bound: &|target| target.slots,
            queue_limit: 0,
            now: self.instant(),
        };
        self.outcome.streams += 1;
        let Some(target) = picker.pick(&self.targets, || rng.f64()) else {
            self.outcome.refused += 1;
            return;
        };
        self.outcome.cross_zone += u32::from(target.zone != own_zone);
        let id: EndpointId = target.endpoint.clone();
        let mut targets = self.targets.iter();
        let index = targets
            .position(|other| other.endpoint == id)
            .expect("a target");
        self.routers[router].begin_request(&id, tokens);
        let events = (-self.rng.f64().max(1e-9).ln() * self.plan.events).ceil();
        self.engines[index].prompts.push_back(Stream {
            router,
            tokens,
            unread_tokens: f64::from(tokens),
            events_left: events.clamp(1.0, 70.0) as u32,
            sent_at: self.now_ms as f64,
            last_event_at: None,
            has_paused: false,
        });
    }

    fn draw_tokens(&mut self) -> u32 {
        let (mean, spread) = self.plan.prompt_tokens;
        let mut normal = -6.0;
        for _ in 0..12 {
            normal += self.rng.f64();
        }
        let tokens = mean * (spread * normal - spread * spread / 2.0).exp();
        tokens.clamp(40.0, f64::from(self.plan.longest_prompt)) as u32
    }

    fn advance(&mut self, index: usize) {
        let now = self.now_ms as f64;
        let Some(pass) = self.engines[index].pass.clone() else {
            self.begin_pass(index, now);
            return;
        };
        if now < pass.ends_at {
            return;
        }
        self.end_pass(index, &pass);
        self.begin_pass(index, now);
    }

    fn begin_pass(&mut self, index: usize, now: f64) {
        let engine = &mut self.engines[index];
        if engine.prompts.is_empty() && engine.decoding.is_empty() {
            return;
        }
        let mut budget = f64::from(self.plan.tokens_per_pass);
        let mut read = 0.0;
        let (mut finished_prompts, mut partial_tokens) = (0, 0.0);
        for prompt in &engine.prompts {
            if prompt.unread_tokens <= budget {
                budget -= prompt.unread_tokens;
                read += prompt.unread_tokens;
                finished_prompts += 1;
                continue;
            }
            partial_tokens = budget;
            read += budget;
            break;
        }
        let mut span = read * self.plan.prefill_ms_per_token;
        if !engine.decoding.is_empty() {
            span += self.plan.event_interval_ms + 0.6 * engine.decoding.len() as f64;
        }
        engine.pass = Some(Pass {
            ends_at: now + span,
            finished_prompts,
            partial_tokens,
        });
    }

    fn end_pass(&mut self, index: usize, pass: &Pass) {
        let engine = &mut self.engines[index];
        let id = &self.targets[index].endpoint;
        let now = pass.ends_at;
        for stream in &mut engine.decoding {
            let gap = stream.last_event_at.map_or(0.0, |at| now - at);
            stream.has_paused |= gap > 300.0;
            stream.last_event_at = Some(now);
            stream.events_left -= 1;
        }
        for _ in 0..pass.finished_prompts {
            let mut prompt = engine.prompts.pop_front().expect("a prompt that was read");
            prompt.last_event_at = Some(now);
            prompt.events_left -= 1;
            self.routers[prompt.router].finish_prefill(id, prompt.tokens);
            self.outcome.slow_first += u32::from(now - prompt.sent_at > 300.0);
            engine.decoding.push(prompt);
        }
        if let Some(first) = engine.prompts.front_mut() {
            first.unread_tokens -= pass.partial_tokens;
        }
        let outcome = &mut self.outcome;
        let routers = &mut self.routers;
        engine.decoding.retain(|stream| {
            if stream.events_left > 0 {
                return true;
            }
            outcome.paused += u32::from(stream.has_paused);
            routers[stream.router].end_request(id, 0);
            false
        });
        engine.pass = None;
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }
}

fn zone(index: usize) -> ZoneId {
    format!("z{index}").into()
}
