//! State of a stand-in VM and its engine.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::health::EnginePhase;
use jujuberoad::health::MemberReport;
use jujuberoad::ids::VmId;
use jujuberoad::placement::EngineOrder;

use super::EngineCounts;
use super::EngineTiming;

/// Number of prompt prefixes that an engine caches.
const PREFIX_CACHE_CAPACITY: usize = 64;

/// State of a VM.
#[derive(Debug)]
pub struct EngineState {
    /// Name of the VM.
    pub vm: VmId,
    /// Whether it rejects orders with a lower fence than that of the last accepted order.
    pub checks_fence: bool,
    /// Whether the VM is running.
    pub is_alive: bool,
    /// Whether it is frozen: connections stay open, but no request makes progress.
    pub is_frozen: bool,
    /// Whether the platform lists it as leaving.
    pub is_leaving: bool,
    /// Size of the pieces of responses without end; 0 if responses are sound.
    pub endless_bytes: usize,
    /// The last accepted order.
    pub order: EngineOrder,
    /// Request counters.
    pub counts: EngineCounts,
    timing: EngineTiming,
    incarnation: u64,
    loaded_at: Option<Instant>,
    warm_at: Option<Instant>,
    prefixes: VecDeque<String>,
}

impl EngineState {
    /// Returns a VM that has just started, with no model loaded.
    pub fn new(vm: VmId, checks_fence: bool, timing: EngineTiming) -> Self {
        Self {
            vm,
            checks_fence,
            is_alive: true,
            is_frozen: false,
            is_leaving: false,
            endless_bytes: 0,
            order: EngineOrder::default(),
            counts: EngineCounts::default(),
            timing,
            incarnation: fastrand::u64(1..),
            loaded_at: None,
            warm_at: None,
            prefixes: VecDeque::new(),
        }
    }

    /// Restarts the VM under a new incarnation, with no model loaded and all counters at 0.
    pub fn restart(&mut self) {
        let fresh = Self::new(self.vm.clone(), self.checks_fence, self.timing);
        *self = fresh;
    }

    /// Makes a warm engine cold until its warm-up time has passed again.
    pub fn reset_to_cold(&mut self, now: Instant) {
        self.counts.cold_peak = 0;
        self.warm_at = Some(now + Duration::from_millis(self.timing.warm_ms));
    }

    /// Applies an order; returns false if its fence is stale and this VM checks fences.
    ///
    /// An order without a model unloads the engine; one for another model or version
    /// starts a load.
    pub fn apply_order(&mut self, order: EngineOrder, now: Instant) -> bool {
        if self.checks_fence && order.fence < self.order.fence {
            return false;
        }
        let is_same_model = order.model == self.order.model && order.version == self.order.version;
        if order.model.is_empty() {
            self.loaded_at = None;
            self.warm_at = None;
        } else if !is_same_model || self.loaded_at.is_none() {
            let loaded_at = now + Duration::from_millis(self.timing.load_ms);
            self.loaded_at = Some(loaded_at);
            self.warm_at = Some(loaded_at + Duration::from_millis(self.timing.warm_ms));
        }
        self.order = order;
        true
    }

    /// Returns the phase at `now`.
    pub fn phase(&self, now: Instant) -> EnginePhase {
        match (self.loaded_at, self.warm_at) {
            (None, _) | (_, None) => EnginePhase::Idle,
            (Some(loaded_at), _) if now < loaded_at => EnginePhase::Loading,
            (_, Some(warm_at)) if now < warm_at => EnginePhase::Cold,
            _ => EnginePhase::Warm,
        }
    }

    /// Returns the report at `now`.
    pub fn report(&self, now: Instant) -> MemberReport {
        MemberReport {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            group: self.order.group.clone(),
            generation: self.order.generation,
            model: self.order.model.clone(),
            version: self.order.version.clone(),
            phase: self.phase(now),
            in_flight: self.counts.in_flight,
            age_ms: 0,
            fence: self.order.fence,
        }
    }

    /// Records the start of a request.
    pub fn begin_request(&mut self, now: Instant) {
        self.counts.in_flight += 1;
        self.counts.begun += 1;
        if self.phase(now) == EnginePhase::Cold {
            self.counts.cold_peak = self.counts.cold_peak.max(self.counts.in_flight);
        }
    }

    /// Records the end of a request.
    pub fn end_request(&mut self) {
        self.counts.in_flight = self.counts.in_flight.saturating_sub(1);
    }

    /// Returns the time to the first token, and caches the prefix of the prompt.
    ///
    /// A cached prefix cuts that time to a quarter.
    pub fn prefill(&mut self, prompt: &str) -> Duration {
        let prefix: String = prompt.chars().take(256).collect();
        if self.prefixes.contains(&prefix) {
            self.counts.prefix_hits += 1;
            return Duration::from_millis(self.timing.prefill_ms / 4);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIX_CACHE_CAPACITY {
            self.prefixes.pop_front();
        }
        Duration::from_millis(self.timing.prefill_ms)
    }

    /// Returns the time to the next token.
    ///
    /// It grows linearly with the requests in progress, and doubles at `slots` of them.
    pub fn token_delay(&self, slots: u64) -> Duration {
        let load = 1.0 + self.counts.in_flight as f64 / slots.max(1) as f64;
        Duration::from_secs_f64(self.timing.token_ms as f64 * load / 1_000.0)
    }
}
