//! The concurrency limit of one target.

use std::time::Duration;
use std::time::Instant;

use super::OutcomeWindow;
use super::TargetAnswer;
use crate::fleet::EndpointLoad;
use crate::fleet::ServingTarget;
use crate::peer::TargetOutcomes;

/// Smallest pace at which a target starts, and below which it is never cut.
const MIN_START: u32 = 2;
/// Share of its slots with which a target starts, if that is more.
const START_SLOT_DIVISOR: u32 = 8;
/// Longest time that a round waits for as many answers as the pace. A router that sees few
/// answers of a target, because its peers report none, raises the pace by time.
const ROUND_LIMIT: Duration = Duration::from_millis(1_000);
/// Time after which a round without any answer raises the pace as well.
const SILENT_ROUND_LIMIT: Duration = Duration::from_millis(2_000);
/// Time after a cut in which answers are not counted: they belong to requests that were sent
/// before it.
const CUT_SETTLE_TIME: Duration = Duration::from_millis(400);
/// Time after the last cut or start for which the former pace is remembered.
const FORMER_LIFETIME: Duration = Duration::from_millis(2_000);
/// Weight of a new answer in the means of prompts and objectives.
const ANSWER_WEIGHT: f64 = 0.1;
/// Fewest late answers in a round that cut the pace. A single one may be an accident.
const MIN_LATE: u32 = 2;

/// Number of requests that all routers together may have in progress at one target.
#[derive(Clone, Debug)]
pub struct TargetPace {
    slots: u32,
    level: u32,
    /// Whether the pace has not reached its former level since the start.
    is_starting: bool,
    /// Pace up to which a round on time doubles it.
    former: u32,
    /// When the former pace is forgotten.
    former_until: Instant,
    round: TargetOutcomes,
    round_end: Instant,
    silent_round_end: Instant,
    /// Until when answers are not counted.
    settled_at: Instant,
    recent: OutcomeWindow,
    mean_tokens: f64,
    /// Mean number of requests that meet their objective if they begin together; `None` before
    /// the first own answer.
    startable: Option<f64>,
    /// Mean number of streams within the longest pause.
    steady: f64,
}

impl TargetPace {
    /// Creates the pace of a target that has been in use: all of its slots.
    pub fn new(slots: u32, now: Instant) -> Self {
        Self {
            slots,
            level: slots,
            is_starting: false,
            former: slots,
            former_until: now,
            round: TargetOutcomes::default(),
            round_end: now + ROUND_LIMIT,
            silent_round_end: now + SILENT_ROUND_LIMIT,
            settled_at: now,
            recent: OutcomeWindow::new(now),
            mean_tokens: 0.0,
            startable: None,
            steady: f64::INFINITY,
        }
    }

    /// Returns the pace at which a target with `slots` starts.
    pub fn start_level(slots: u32) -> u32 {
        (slots / START_SLOT_DIVISOR).max(MIN_START).min(slots)
    }

    /// Returns the current pace.
    pub fn level(&self) -> u32 {
        self.level
    }

    /// Returns whether the pace is below the slots.
    pub fn is_reduced(&self) -> bool {
        self.level < self.slots
    }

    /// Returns whether the target has started and is below its former pace.
    pub fn is_starting(&self) -> bool {
        self.is_starting
    }

    /// Returns the outcomes of the last seconds.
    pub fn recent(&self, now: Instant) -> TargetOutcomes {
        let mut recent = self.recent;
        recent.advance(now);
        recent.total()
    }

    /// Sets the number of slots. A pace at the ceiling follows it.
    pub fn set_slots(&mut self, slots: u32) {
        let was_full = self.level >= self.slots;
        self.slots = slots;
        self.level = if was_full {
            slots
        } else {
            self.level.min(slots)
        };
        self.former = self.former.min(slots).max(self.level);
    }

    /// Starts the target anew. `carried` requests run there already, which peers have sent.
    pub fn start(&mut self, carried: u32, now: Instant) {
        self.former = self.level;
        self.former_until = now + FORMER_LIFETIME;
        let level = Self::start_level(self.slots).max(carried);
        self.level = level.min(self.former);
        self.is_starting = self.level < self.former;
        self.recent = OutcomeWindow::new(now);
        self.begin_round(now);
    }

    /// Learns what requests of the target are like from an own answer.
    pub fn observe_terms(&mut self, answer: &TargetAnswer, target: &ServingTarget) {
        let tokens = f64::from(answer.prompt_tokens);
        let is_first = self.startable.is_none();
        let weight = if is_first { 1.0 } else { ANSWER_WEIGHT };
        self.mean_tokens += weight * (tokens - self.mean_tokens);
        let most = f64::from(self.slots);
        let startable = answer.startable_requests(target, self.mean_tokens);
        let steady = answer.steady_requests(target).min(most);
        let mean = self.startable.unwrap_or(0.0);
        self.startable = Some(mean + weight * (startable.min(most) - mean));
        let mean = if is_first { 0.0 } else { self.steady };
        self.steady = mean + weight * (steady - mean);
    }

    /// Counts answers; returns whether enough of them are late for a cut.
    pub fn observe(&mut self, outcomes: TargetOutcomes, now: Instant) -> bool {
        self.recent.add(outcomes, now);
        self.advance(now);
        if now < self.settled_at {
            return false;
        }
        self.round.on_time = self.round.on_time.saturating_add(outcomes.on_time);
        self.round.late = self.round.late.saturating_add(outcomes.late);
        let answers = self.round.on_time.saturating_add(self.round.late);
        let size = answers.max(self.level);
        if self.round.late >= MIN_LATE && self.round.late > size / 10 {
            return true;
        }
        if answers >= self.level {
            self.end_round(now);
        }
        false
    }

    /// Cuts the pace to three quarters of what the target carried, but not below its floor.
    ///
    /// A target that is `alone` late among its pool does not keep to its profile, so only the
    /// start level is its floor.
    pub fn cut(&mut self, load: EndpointLoad, alone: bool, now: Instant) {
        let least = Self::start_level(self.slots);
        let floor = if alone {
            least
        } else {
            self.needed(load).max(least)
        };
        // The answers of a slow target came at this concurrency, which may be far below the pace.
        let carried = if alone {
            self.level.min(load.requests.max(least))
        } else {
            self.level
        };
        self.is_starting = false;
        self.level = (carried - carried / 4).max(floor).min(self.level);
        self.former = self.level;
        self.former_until = now + FORMER_LIFETIME;
        self.settled_at = now + CUT_SETTLE_TIME;
        self.begin_round(now);
    }

    /// Ends rounds whose time is over.
    pub fn advance(&mut self, now: Instant) {
        if now >= self.former_until {
            self.former = self.slots;
        }
        let has_answers = self.round != TargetOutcomes::default();
        if now >= self.silent_round_end || (has_answers && now >= self.round_end) {
            self.end_round(now);
        }
    }

    /// Returns the least pace at which an engine that keeps to its profile loses no throughput:
    /// the streams that have begun, and as many requests as meet their objective if they begin
    /// together.
    fn needed(&self, load: EndpointLoad) -> u32 {
        let Some(startable) = self.startable else {
            return self.slots;
        };
        let waiting = if self.mean_tokens > 0.0 {
            f64::from(load.pending_prefill_tokens) / self.mean_tokens
        } else {
            0.0
        };
        let begun = (f64::from(load.requests) - waiting).max(0.0);
        let needed = (begun + startable).min(self.steady);
        (needed.ceil() as u32).min(self.slots)
    }

    fn end_round(&mut self, now: Instant) {
        if self.round.late == 0 {
            let raised = if self.level < self.former {
                self.level.saturating_mul(2).min(self.former)
            } else {
                self.level + 1
            };
            self.level = raised.min(self.slots);
            self.is_starting &= self.level < self.former;
        }
        self.begin_round(now);
    }

    fn begin_round(&mut self, now: Instant) {
        self.round = TargetOutcomes::default();
        self.round_end = now + ROUND_LIMIT;
        self.silent_round_end = now + SILENT_ROUND_LIMIT;
    }
}
