//! Choice by state, prefix, load and distance.

use std::cmp::Reverse;

use super::ChoiceHint;
use super::TargetChooser;
use super::TargetLoad;
use crate::membership::rendezvous_score;
use crate::slots::TargetState;

/// Targets on which requests with the same prefix are gathered.
const PREFIX_TARGETS: usize = 2;

/// Steps into which the load of a target is divided; within a step, nearness
/// and chance decide, so that routers do not all run to the same target.
const LOAD_STEPS: u32 = 4;

/// Prefers targets with room, warm before unknown before cold; among those, the
/// ones that hold the prefix, then the least loaded.
///
/// All routers find the same targets for a prefix by rendezvous hashing, so no
/// message about caches is needed. One that this router does not know yet comes
/// first all the same, so that it gets known. Full targets come last, so that
/// slots are asked for where there may be some.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixChooser;

impl TargetChooser for PrefixChooser {
    fn rank(&self, loads: &[TargetLoad], hint: &ChoiceHint) -> Vec<usize> {
        let gathered = prefix_targets(loads, hint);
        let salt = hint.prefix.unwrap_or(0).to_string();
        let mut order: Vec<usize> = (0..loads.len()).collect();
        order.sort_by_cached_key(|index| {
            let load = &loads[*index];
            let is_gathered = gathered.contains(index);
            let rank = room_rank(load, is_gathered);
            let chance = rendezvous_score(&load.target, &salt);
            let step = load_step(load);
            (rank, !is_gathered, step, !load.is_near, Reverse(chance))
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
    order.truncate(PREFIX_TARGETS);
    order
}

fn room_rank(load: &TargetLoad, is_gathered: bool) -> u8 {
    let has_room = load.spare > 0 || load.free > 0;
    match (load.state, has_room) {
        (TargetState::Warm, true) => 0,
        (TargetState::Unknown, _) if is_gathered => 0,
        (TargetState::Unknown, _) => 1,
        (TargetState::Cold, true) => 2,
        (TargetState::Warm, false) => 3,
        (TargetState::Cold, false) => 4,
        (TargetState::Closed, _) => 5,
    }
}

fn load_step(load: &TargetLoad) -> u32 {
    let slots = load.slots.max(1);
    let room = (load.spare + load.free).min(slots);
    (slots - room) * LOAD_STEPS / slots
}
