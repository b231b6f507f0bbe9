//! Choice by state, prefix, load and distance.

use std::cmp::Reverse;

use super::ChoiceHint;
use super::TargetChooser;
use super::TargetLoad;
use crate::membership::rendezvous_score;
use crate::slots::WalletState;

/// Targets on which requests with the same prefix are gathered.
const PREFIX_TARGETS: usize = 2;

/// Steps into which the load of a target is divided; within a step, nearness
/// and chance decide, so that routers do not all run to the same target.
const LOAD_STEPS: u32 = 4;

/// Prefers warm targets, then those that hold the prefix, then the least loaded.
///
/// All routers find the same targets for a prefix by rendezvous hashing, so no
/// message about caches is needed. A target that holds the prefix is passed
/// over when it has no slot free.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixChooser;

impl TargetChooser for PrefixChooser {
    fn rank(&self, loads: &[TargetLoad], hint: &ChoiceHint) -> Vec<usize> {
        let gathered = prefix_targets(loads, hint);
        let salt = hint.prefix.unwrap_or(0).to_string();
        let mut order: Vec<usize> = (0..loads.len()).collect();
        order.sort_by_cached_key(|index| {
            let load = &loads[*index];
            let has_room = load.spare > 0 || load.free > 0;
            let holds_prefix = has_room && gathered.contains(index);
            let chance = rendezvous_score(&load.target, &salt);
            let step = load_step(load);
            (
                state_rank(load.state),
                !holds_prefix,
                step,
                !load.is_near,
                Reverse(chance),
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
    order.truncate(PREFIX_TARGETS);
    order
}

fn state_rank(state: WalletState) -> u8 {
    match state {
        WalletState::Warm => 0,
        WalletState::Unknown => 1,
        WalletState::Cold => 2,
        WalletState::Closed => 3,
    }
}

fn load_step(load: &TargetLoad) -> u32 {
    let slots = load.slots.max(1);
    let room = (load.spare + load.free).min(slots);
    (slots - room) * LOAD_STEPS / slots
}
