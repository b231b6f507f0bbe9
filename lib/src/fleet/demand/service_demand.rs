//! Measured use of the models of one service, compared with each other.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::ModelShortage;
use super::PoolDemand;
use super::PoolSample;
use crate::ids::ModelId;

/// Use of its slots above which a model can be short.
const SHORT_USE: f64 = 0.5;
/// A short model uses more than this multiple of another model's use.
const SHORT_RATIO: f64 = 2.0;
/// Time for which both must hold without a break. Bursts on one route last about 4 s.
const SHORT_TIME: Duration = Duration::from_millis(6_000);
/// Time over which the present use is averaged; single samples vary with the arrival of
/// requests.
const PRESENT_SPAN: Duration = Duration::from_millis(1_000);
/// Time over which the use must be high on average. Periodic waves have periods of 11 and
/// 15 s, so the crest of a wave alone does not make a model short.
const WAVE_SPAN: Duration = Duration::from_millis(15_000);
/// Mean use below which a conversion that has not closed its group yet is given up.
const RELEASE_USE: f64 = 0.4;
/// Longest time between two samples; after a longer gap, the measurement starts anew.
const MAX_SAMPLE_GAP: Duration = Duration::from_millis(1_000);

/// Use of the slots of all models of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceDemand {
    pools: BTreeMap<ModelId, PoolDemand>,
    sampled_at: Option<Instant>,
    /// Time since which the first model has used far more of its slots than the second.
    uneven_since: BTreeMap<(ModelId, ModelId), Instant>,
    /// Shortages as of the last sample, the shortest model first.
    shortages: Vec<ModelShortage>,
}

impl ServiceDemand {
    /// Adds the samples of all models taken at `now`; returns the shortages that are new.
    pub(super) fn observe(&mut self, samples: Vec<PoolSample>, now: Instant) -> Vec<ModelShortage> {
        let has_gap = self.sampled_at.is_some_and(|at| at + MAX_SAMPLE_GAP < now);
        if has_gap {
            *self = Self::default();
        }
        self.sampled_at = Some(now);
        self.pools
            .retain(|model, _| samples.iter().any(|sample| sample.model == *model));
        for sample in samples {
            let pool = self.pools.entry(sample.model.clone()).or_default();
            pool.observe(sample, now);
        }
        self.compare_models(now);
        let shortages = self.find_shortages(now);
        let mut new = shortages.clone();
        new.retain(|shortage| !self.shortages.contains(shortage));
        self.shortages = shortages;
        new
    }

    /// Returns the mean use of a model's slots over the last second.
    pub(super) fn present_use(&self, model: &str, now: Instant) -> f64 {
        let pool = self.pools.get(model);
        pool.map_or(0.0, |pool| pool.mean_use(PRESENT_SPAN, now))
    }

    /// Returns whether a model still needs the group that is being converted for it.
    pub(super) fn still_needs(&self, model: &str, now: Instant) -> bool {
        let pool = self.pools.get(model);
        pool.is_some_and(|pool| pool.mean_use(WAVE_SPAN, now) > RELEASE_USE)
    }

    /// Returns how many groups a model can give up.
    pub(super) fn spare_groups(&self, model: &str) -> usize {
        let pool = self.pools.get(model);
        pool.map_or(0, |pool| pool.spare_groups())
    }

    /// Returns the pairs of a short model and one with far less use, the shortest first.
    pub(super) fn shortages(&self, now: Instant) -> &[ModelShortage] {
        let is_recent = self.sampled_at.is_some_and(|at| now <= at + MAX_SAMPLE_GAP);
        if is_recent { &self.shortages } else { &[] }
    }

    fn find_shortages(&self, now: Instant) -> Vec<ModelShortage> {
        let mut shortages = Vec::new();
        for ((short, donor), since) in &self.uneven_since {
            if now < *since + SHORT_TIME || !self.is_uneven(short, donor, WAVE_SPAN, now) {
                continue;
            }
            shortages.push(ModelShortage {
                short: short.clone(),
                donor: donor.clone(),
            });
        }
        let order = |shortage: &ModelShortage| {
            let short_use = self.present_use(&shortage.short, now);
            (-short_use, self.present_use(&shortage.donor, now))
        };
        shortages.sort_by(|left, right| {
            let (left, right) = (order(left), order(right));
            left.0.total_cmp(&right.0).then(left.1.total_cmp(&right.1))
        });
        shortages
    }

    fn compare_models(&mut self, now: Instant) {
        let mut uneven = BTreeMap::new();
        for short in self.pools.keys() {
            for donor in self.pools.keys() {
                if !self.is_uneven(short, donor, PRESENT_SPAN, now) {
                    continue;
                }
                let pair = (short.clone(), donor.clone());
                let since = self.uneven_since.get(&pair).copied().unwrap_or(now);
                uneven.insert(pair, since);
            }
        }
        self.uneven_since = uneven;
    }

    fn is_uneven(&self, short: &str, donor: &str, span: Duration, now: Instant) -> bool {
        let (Some(short), Some(donor)) = (self.pools.get(short), self.pools.get(donor)) else {
            return false;
        };
        let short_use = short.mean_use(span, now);
        short_use > SHORT_USE && short_use > SHORT_RATIO * donor.mean_use(span, now)
    }
}
