//! The paces of all targets that a router knows.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use super::PaceCause;
use super::PaceStep;
use super::TargetAnswer;
use super::TargetPace;
use crate::fleet::EndpointLoad;
use crate::fleet::GroupKey;
use crate::fleet::LoadTable;
use crate::fleet::PoolKey;
use crate::fleet::ServingTarget;
use crate::ids::EndpointId;
use crate::peer::TargetOutcomes;

/// Time between two comparisons of the table with the registry.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a comparison after which unknown targets may have been in use for long.
const STALE_AFTER: Duration = Duration::from_millis(3_000);
/// Shortest exclusion after which a target starts anew. Suspicions that a probe clears, and
/// pauses of engines, are shorter.
const MIN_EXCLUSION: Duration = Duration::from_millis(800);
/// Time for which a target that is gone is remembered.
const LOST_LIFETIME: Duration = Duration::from_secs(30);
/// Time until the load that peers have placed is known here; 0.22 s on average at 79 routers.
const LOAD_LAG: Duration = Duration::from_millis(250);
/// Time over which own requests are counted.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(2_000);
/// A target is late alone if its share of late answers exceeds that of the rest of its pool by
/// this factor and this share. Below them, chance alone told targets of one speed apart.
const ALONE_LATE_FACTOR: f64 = 3.0;
const ALONE_LATE_SHARE: f64 = 0.2;
/// Fewest answers of the rest of the pool for a comparison.
const MIN_REST_ANSWERS: u32 = 5;

/// Paces by endpoint.
#[derive(Clone, Debug, Default)]
pub struct PaceTable {
    entries: HashMap<EndpointId, PaceEntry>,
    /// When the table is next compared with the registry; `None` before the first time.
    refresh_at: Option<Instant>,
    arrivals: HashMap<PoolKey, PoolArrivals>,
}

#[derive(Clone, Debug)]
struct PaceEntry {
    pool: PoolKey,
    group: Option<GroupKey>,
    prefill_ms_per_token: f64,
    pace: TargetPace,
    /// Since when the target is excluded or missing.
    absent_since: Option<Instant>,
}

/// Whether a target gets requests of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    InUse,
    Absent,
    /// Excluded together with most of its pool.
    OutOfReach,
}

/// Own requests to a pool, in the current and the previous window.
#[derive(Clone, Copy, Debug)]
struct PoolArrivals {
    current: u32,
    previous: u32,
    window_end: Instant,
}

impl PaceTable {
    /// Returns whether [`Self::refresh`] is due.
    pub fn is_refresh_due(&self, now: Instant) -> bool {
        self.refresh_at.is_none_or(|at| now >= at)
    }

    /// Compares the table with the targets of the registry; `is_excluded` tells which of them get
    /// no requests of this router. Returns the targets that start.
    ///
    /// At the first comparison, after a time without any, and if more than half of a pool is new
    /// at once, new targets are taken to be in use. If more than half of a pool is excluded at
    /// once, that says more of this router's paths than of the targets, which keep their paces.
    pub fn refresh<'t>(
        &mut self,
        pools: impl Iterator<Item = (&'t PoolKey, &'t [ServingTarget])>,
        loads: &LoadTable,
        is_excluded: &dyn Fn(&ServingTarget) -> bool,
        now: Instant,
    ) -> Vec<PaceStep> {
        let is_stale = self.refresh_at.is_none_or(|at| now >= at + STALE_AFTER);
        self.refresh_at = Some(now + REFRESH_INTERVAL);
        let mut steps = Vec::new();
        let mut present = HashSet::new();
        for (pool, targets) in pools {
            let excluded = targets.iter().filter(|target| is_excluded(target)).count();
            let unknown = targets.iter().filter(|target| self.is_new(pool, target));
            let were_in_use = is_stale || 2 * unknown.count() > targets.len();
            for target in targets {
                present.insert(target.endpoint.clone());
                let presence = match is_excluded(target) {
                    true if 2 * excluded > targets.len() => Presence::OutOfReach,
                    true => Presence::Absent,
                    false => Presence::InUse,
                };
                let load = || loads.total(&target.endpoint, target.prefill_ms_per_token, now);
                steps.extend(self.refresh_one(pool, target, presence, were_in_use, load, now));
            }
        }
        for (endpoint, entry) in &mut self.entries {
            if !present.contains(endpoint) {
                entry.absent_since.get_or_insert(now);
            }
        }
        self.entries.retain(|_, entry| {
            let lost_at = entry.absent_since;
            lost_at.is_none_or(|at| now < at + LOST_LIFETIME)
        });
        steps
    }

    fn refresh_one(
        &mut self,
        pool: &PoolKey,
        target: &ServingTarget,
        presence: Presence,
        were_in_use: bool,
        load: impl Fn() -> EndpointLoad,
        now: Instant,
    ) -> Option<PaceStep> {
        let is_cold = target.cold_until.is_some_and(|until| now < until);
        let is_new = self.is_new(pool, target);
        if is_new {
            let pace = TargetPace::new(target.slots, now);
            let entry = PaceEntry {
                pool: pool.clone(),
                group: target.group.clone(),
                prefill_ms_per_token: target.prefill_ms_per_token,
                pace,
                absent_since: None,
            };
            self.entries.insert(target.endpoint.clone(), entry);
        }
        let entry = self.entries.get_mut(&target.endpoint)?;
        entry.pace.set_slots(target.slots);
        entry.pace.advance(now);
        match presence {
            Presence::Absent => {
                entry.absent_since.get_or_insert(now);
                return None;
            }
            Presence::OutOfReach => return None,
            Presence::InUse => {}
        }
        let absent_since = entry.absent_since.take();
        let cause = if is_new && (!were_in_use || is_cold) {
            PaceCause::Opened
        } else if absent_since.is_some_and(|at| now >= at + MIN_EXCLUSION) {
            PaceCause::Recovered
        } else {
            return None;
        };
        let from = entry.pace.level();
        entry.pace.start(load().requests, now);
        Some(PaceStep {
            endpoint: target.endpoint.clone(),
            cause,
            from,
            to: entry.pace.level(),
        })
    }

    fn is_new(&self, pool: &PoolKey, target: &ServingTarget) -> bool {
        let known = self.entries.get(&target.endpoint);
        known.is_none_or(|entry| entry.group != target.group || entry.pool != *pool)
    }

    /// Records an answer to a request of this router. Returns its outcome, which peers are told,
    /// and the cut that it causes, if any.
    pub fn observe(
        &mut self,
        target: &ServingTarget,
        answer: &TargetAnswer,
        loads: &LoadTable,
        now: Instant,
    ) -> (Option<TargetOutcomes>, Option<PaceStep>) {
        let outcome = answer.outcome(target);
        if let Some(entry) = self.entries.get_mut(&target.endpoint) {
            entry.pace.observe_terms(answer, target);
        }
        let Some(outcomes) = outcome else {
            return (None, None);
        };
        let step = self.add(&target.endpoint, outcomes, loads, now);
        (outcome, step)
    }

    /// Records answers to requests of peers; returns the cuts that they cause.
    pub fn observe_peers(
        &mut self,
        outcomes: &[(EndpointId, TargetOutcomes)],
        loads: &LoadTable,
        now: Instant,
    ) -> Vec<PaceStep> {
        let outcomes = outcomes.iter();
        let steps =
            outcomes.filter_map(|(endpoint, outcomes)| self.add(endpoint, *outcomes, loads, now));
        steps.collect()
    }

    /// Records a request of this router to a pool.
    pub fn record_arrival(&mut self, pool: &PoolKey, now: Instant) {
        if let Some(arrivals) = self.arrivals.get_mut(pool) {
            arrivals.advance(now);
            arrivals.current += 1;
            return;
        }
        let arrivals = PoolArrivals {
            current: 1,
            previous: 0,
            window_end: now + ARRIVAL_WINDOW,
        };
        self.arrivals.insert(pool.clone(), arrivals);
    }

    /// Returns the most requests that all routers together may have in progress at a target.
    pub fn bound(&self, target: &ServingTarget) -> u32 {
        let entry = self.entries.get(&target.endpoint);
        entry.map_or(target.slots, |entry| entry.pace.level().min(target.slots))
    }

    /// Returns whether a target has started and is below its former pace.
    pub fn is_starting(&self, endpoint: &EndpointId) -> bool {
        let entry = self.entries.get(endpoint);
        entry.is_some_and(|entry| entry.pace.is_starting())
    }

    /// Returns the chance with which a request of this router may go to a target that starts, if
    /// other targets can take it.
    ///
    /// What peers send in the meantime is known too late: all routers would fill the same room.
    /// Each of `routers` takes its share of the room, so that together they fill it once while
    /// their loads are on their way.
    pub fn start_chance(
        &self,
        target: &ServingTarget,
        load: EndpointLoad,
        routers: usize,
        now: Instant,
    ) -> f64 {
        let Some(entry) = self.entries.get(&target.endpoint) else {
            return 1.0;
        };
        if !entry.pace.is_starting() {
            return 1.0;
        }
        let Some(arrivals) = self.arrivals.get(&entry.pool) else {
            return 1.0;
        };
        let room = f64::from(entry.pace.level().saturating_sub(load.requests));
        let expected = arrivals.expected(now) * routers as f64;
        if expected <= room {
            return 1.0;
        }
        room / expected
    }

    /// Returns the number of targets with a reduced pace.
    pub fn reduced_count(&self) -> usize {
        let entries = self.entries.values();
        let present = entries.filter(|entry| entry.absent_since.is_none());
        present.filter(|entry| entry.pace.is_reduced()).count()
    }

    fn add(
        &mut self,
        endpoint: &EndpointId,
        outcomes: TargetOutcomes,
        loads: &LoadTable,
        now: Instant,
    ) -> Option<PaceStep> {
        let entry = self.entries.get_mut(endpoint)?;
        if !entry.pace.observe(outcomes, now) {
            return None;
        }
        let is_alone = self.is_late_alone(endpoint, now);
        let entry = self.entries.get_mut(endpoint)?;
        let load = loads.total(endpoint, entry.prefill_ms_per_token, now);
        let from = entry.pace.level();
        entry.pace.cut(load, is_alone, now);
        let to = entry.pace.level();
        (to < from).then(|| PaceStep {
            endpoint: endpoint.clone(),
            cause: PaceCause::Late,
            from,
            to,
        })
    }

    /// Returns whether a target is late far more often than the rest of its pool.
    fn is_late_alone(&self, endpoint: &EndpointId, now: Instant) -> bool {
        let Some(entry) = self.entries.get(endpoint) else {
            return false;
        };
        let mut rest = TargetOutcomes::default();
        for (other, other_entry) in &self.entries {
            if other == endpoint || other_entry.pool != entry.pool {
                continue;
            }
            let recent = other_entry.pace.recent(now);
            rest.on_time += recent.on_time;
            rest.late += recent.late;
        }
        let own_share = late_share(entry.pace.recent(now));
        let has_rest = rest.on_time + rest.late >= MIN_REST_ANSWERS;
        has_rest && own_share > ALONE_LATE_FACTOR * late_share(rest) + ALONE_LATE_SHARE
    }
}

impl PoolArrivals {
    fn advance(&mut self, now: Instant) {
        if now < self.window_end {
            return;
        }
        let is_recent = now < self.window_end + ARRIVAL_WINDOW;
        self.previous = if is_recent { self.current } else { 0 };
        self.current = 0;
        self.window_end = now + ARRIVAL_WINDOW;
    }

    /// Returns how many requests come until peers know of them.
    fn expected(mut self, now: Instant) -> f64 {
        self.advance(now);
        let count = self.current.max(self.previous);
        f64::from(count) * LOAD_LAG.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()
    }
}

fn late_share(outcomes: TargetOutcomes) -> f64 {
    let answers = outcomes.on_time + outcomes.late;
    f64::from(outcomes.late) / f64::from(answers.max(1))
}
