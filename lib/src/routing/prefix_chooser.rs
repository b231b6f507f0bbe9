//! Choice by target state, prompt prefix, load and zone.

use std::cmp::Reverse;

use super::ChoiceHint;
use super::TargetChooser;
use super::TargetLoad;
use crate::membership::rendezvous_score;
use crate::slots::TargetState;

/// Number of targets to which requests with the same prefix are directed.
const TARGETS_PER_PREFIX: usize = 2;

/// Number of buckets into which the load of a target is divided. Within a bucket the
/// zone and then the hash score decide, so that routers do not all pick the same target.
const LOAD_BUCKETS: u32 = 4;

/// Prefers targets with capacity, warm before unknown before cold; among those, the
/// ones assigned to the prefix, then the least loaded.
///
/// Rendezvous hashing gives all routers the same targets for a prefix, so routers
/// exchange no messages about caches. A target of the prefix whose state is unknown
/// ranks with the warm ones, so that the router requests slots there and learns its
/// state. Full targets rank below all others except closed ones, so that slots are
/// requested first where some may be free.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixChooser;

impl TargetChooser for PrefixChooser {
    fn rank(&self, loads: &[TargetLoad], hint: &ChoiceHint) -> Vec<usize> {
        let preferred = prefix_targets(loads, hint);
        let salt = hint.prefix.unwrap_or(0).to_string();
        let mut order: Vec<usize> = (0..loads.len()).collect();
        order.sort_by_cached_key(|index| {
            let load = &loads[*index];
            let is_preferred = preferred.contains(index);
            let rank = capacity_rank(load, is_preferred);
            let score = rendezvous_score(&load.target, &salt);
            let bucket = load_bucket(load);
            (
                rank,
                !is_preferred,
                bucket,
                !load.is_same_zone,
                Reverse(score),
            )
        });
        order
    }
}

fn prefix_targets(loads: &[TargetLoad], hint: &ChoiceHint) -> Vec<usize> {
    let Some(prefix) = hint.prefix else {
        return Vec::new();
    };
    let salt = prefix.to_string();
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by_cached_key(|index| Reverse(rendezvous_score(&loads[*index].target, &salt)));
    order.truncate(TARGETS_PER_PREFIX);
    order
}

fn capacity_rank(load: &TargetLoad, is_preferred: bool) -> u8 {
    let has_capacity = load.spare > 0 || load.free > 0;
    match (load.state, has_capacity) {
        (TargetState::Warm, true) => 0,
        (TargetState::Unknown, _) if is_preferred => 0,
        (TargetState::Unknown, _) => 1,
        (TargetState::Cold, true) => 2,
        (TargetState::Warm, false) => 3,
        (TargetState::Cold, false) => 4,
        (TargetState::Closed, _) => 5,
    }
}

fn load_bucket(load: &TargetLoad) -> u32 {
    let slots = load.slots.max(1);
    let available = (load.spare + load.free).min(slots);
    (slots - available) * LOAD_BUCKETS / slots
}
