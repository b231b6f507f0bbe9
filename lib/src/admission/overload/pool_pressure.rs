//! Waiting and running requests of one pool in the fleet.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Instant;

use super::WaitEstimate;
use super::WaitingRequest;
use crate::fleet::PoolKey;
use crate::ids::TeamId;
use crate::peer::PoolWaiting;

/// Unit of a team's use of a pool: one running request at weight 1.
const LEVEL_PER_REQUEST: u64 = 1_000;
/// Share of a team's use of a pool below which another team's use counts as clearly less, so that
/// its requests at other routers take precedence. Digests are too old to even out small
/// differences, and a slot that is left to a request that has gone stays idle.
const CLEARLY_LESS_PERCENT: u64 = 75;

/// Requests of one pool over all routers whose digests count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolPressure {
    /// Waiting requests that can still be on time, by priority and team.
    waiting: BTreeMap<(u32, Option<TeamId>), u32>,
    /// Running requests by team.
    running: BTreeMap<Option<TeamId>, u32>,
    /// Requests that ended in the last second, by priority.
    finished: BTreeMap<u32, u32>,
    /// Whether any peer has told of its requests for the pool.
    has_peers: bool,
    /// Weights of the teams; 1 for those without an entry.
    weights: BTreeMap<TeamId, u32>,
}

impl PoolPressure {
    /// Adds up the counts of `pool` by this router and its peers.
    pub fn new(pool: &PoolKey, own: &[PoolWaiting], peers: &[PoolWaiting]) -> Self {
        let is_pool =
            |count: &&PoolWaiting| count.service == pool.service && count.model == pool.model;
        let mut pressure = Self {
            has_peers: peers.iter().any(|count| is_pool(&count)),
            ..Self::default()
        };
        for count in own.iter().chain(peers).filter(is_pool) {
            let team = &count.team;
            let waiting = pressure.waiting.entry((count.priority, team.clone()));
            add(waiting.or_default(), count.waiting);
            add(
                pressure.running.entry(team.clone()).or_default(),
                count.running,
            );
            add(
                pressure.finished.entry(count.priority).or_default(),
                count.finished,
            );
        }
        pressure
    }

    /// Adds up the counts of several routers by pool, priority and team.
    pub fn sum_classes(counts: Vec<PoolWaiting>) -> Vec<PoolWaiting> {
        let mut sums: BTreeMap<_, PoolWaiting> = BTreeMap::new();
        for count in counts {
            let pool = (count.service.clone(), count.model.clone());
            match sums.entry((pool, count.priority, count.team.clone())) {
                Entry::Vacant(entry) => {
                    entry.insert(count);
                }
                Entry::Occupied(entry) => {
                    let sum = entry.into_mut();
                    add(&mut sum.waiting, count.waiting);
                    add(&mut sum.running, count.running);
                    add(&mut sum.finished, count.finished);
                }
            }
        }
        sums.into_values().collect()
    }

    /// Sets the weights by which teams share the pool.
    pub fn with_weights(mut self, weights: BTreeMap<TeamId, u32>) -> Self {
        self.weights = weights;
        self
    }

    /// Returns the wait of a request with `ahead` requests before it, or `None` without digests,
    /// because the requests of one router say little of those of the fleet.
    pub fn estimate_wait(&self, ahead: u32, now: Instant) -> Option<WaitEstimate> {
        let finished = if self.has_peers { self.finished() } else { 0 };
        WaitEstimate::new(ahead, finished, now)
    }

    /// Returns whether any peer has told of its requests for the pool.
    pub fn has_peers(&self) -> bool {
        self.has_peers
    }

    /// Returns the number of requests that ended in the last second.
    pub fn finished(&self) -> u32 {
        sum(self.finished.values())
    }

    /// Returns the number of those that are more urgent than `priority`.
    pub fn finished_before(&self, priority: u32) -> u32 {
        sum(self.finished.range(..priority).map(|(_, count)| count))
    }

    /// Returns the number of waiting requests that can still be on time.
    pub fn waiting(&self) -> u32 {
        sum(self.waiting.values())
    }

    /// Returns the number of running requests of a team, relative to its weight.
    pub fn team_level(&self, team: Option<&TeamId>) -> u64 {
        let running = self.running.get(&team.cloned()).copied().unwrap_or(0);
        u64::from(running) * LEVEL_PER_REQUEST / self.weight(team)
    }

    /// Returns how many waiting requests of the fleet take precedence over `request` now: those
    /// of more urgent priorities, and those of teams that use clearly less of the pool.
    pub fn preceding(&self, request: &WaitingRequest) -> u32 {
        let level = self.team_level(request.team.as_ref());
        let clearly_less = level * CLEARLY_LESS_PERCENT / 100;
        let mut preceding = 0;
        for ((priority, team), waiting) in &self.waiting {
            let is_first = *priority < request.priority
                || (*priority == request.priority && self.team_level(team.as_ref()) < clearly_less);
            if is_first {
                add(&mut preceding, *waiting);
            }
        }
        preceding
    }

    /// Returns how many requests of the fleet get a slot before a new one like `request`.
    ///
    /// Another team of the same priority comes first until it uses as much of the pool as the
    /// team of `request` does once that one is served.
    pub fn ahead_of(&self, request: &WaitingRequest) -> u32 {
        let own_team = &request.team;
        let own_key = (request.priority, own_team.clone());
        let own_waiting = self.waiting.get(&own_key).copied().unwrap_or(0);
        let own_running = self.running.get(own_team).copied().unwrap_or(0);
        let own_weight = self.weight(own_team.as_ref());
        let own_total = u64::from(own_running) + u64::from(own_waiting) + 1;
        let mut ahead = 0;
        for ((priority, team), waiting) in &self.waiting {
            if *priority > request.priority {
                continue;
            }
            if *priority < request.priority || team == own_team {
                add(&mut ahead, *waiting);
                continue;
            }
            let running = self.running.get(team).copied().unwrap_or(0);
            let entitled = own_total * self.weight(team.as_ref()) / own_weight;
            let entitled = entitled.saturating_sub(u64::from(running));
            add(
                &mut ahead,
                (*waiting).min(entitled.min(u64::from(u32::MAX)) as u32),
            );
        }
        ahead
    }

    fn weight(&self, team: Option<&TeamId>) -> u64 {
        let weight = team.and_then(|team| self.weights.get(team));
        u64::from(weight.copied().unwrap_or(1).max(1))
    }
}

/// Adds a count of a peer, which may be any number.
fn add(total: &mut u32, count: u32) {
    *total = total.saturating_add(count);
}

fn sum<'a>(counts: impl Iterator<Item = &'a u32>) -> u32 {
    counts.fold(0, |total, count| total.saturating_add(*count))
}
