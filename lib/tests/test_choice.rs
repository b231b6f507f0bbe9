//! Ranking of targets by `PrefixChooser`.

use jujuberoad::routing::ChoiceHint;
use jujuberoad::routing::PrefixChooser;
use jujuberoad::routing::TargetChooser;
use jujuberoad::routing::TargetLoad;
use jujuberoad::slots::TargetState;

fn load(target: &str, state: TargetState, spare: u32, free: u32) -> TargetLoad {
    TargetLoad {
        target: target.into(),
        is_same_zone: false,
        state,
        spare,
        free,
        in_use: 0,
        slots: 8,
    }
}

fn order(loads: &[TargetLoad], prefix: Option<u64>) -> Vec<&str> {
    let hint = ChoiceHint { prefix };
    let order = PrefixChooser.rank(loads, &hint);
    order
        .into_iter()
        .map(|index| loads[index].target.as_str())
        .collect()
}

#[test]
fn full_targets_come_after_unknown_ones() {
    let loads = [
        load("full", TargetState::Warm, 0, 0),
        load("closed", TargetState::Closed, 0, 0),
        load("cold", TargetState::Cold, 1, 0),
        load("unknown", TargetState::Unknown, 0, 0),
        load("warm", TargetState::Warm, 1, 0),
    ];
    assert_eq!(
        order(&loads, None),
        ["warm", "unknown", "cold", "full", "closed"]
    );
}

#[test]
fn near_targets_come_before_far_ones_of_the_same_load() {
    let mut loads = [
        load("far", TargetState::Warm, 4, 0),
        load("near", TargetState::Warm, 4, 0),
    ];
    loads[1].is_same_zone = true;
    assert_eq!(order(&loads, None), ["near", "far"]);
    loads[1].spare = 1;
    assert_eq!(order(&loads, None), ["far", "near"]);
}

#[test]
fn a_prefix_gathers_on_the_same_targets_whatever_else_is_known() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let warm: Vec<TargetLoad> = names
        .iter()
        .map(|name| load(name, TargetState::Warm, 4, 0))
        .collect();
    for prefix in 0..20 {
        let best: Vec<&str> = order(&warm, Some(prefix))[..2].to_vec();
        let mut partly = warm.clone();
        for load in &mut partly {
            if best.contains(&load.target.as_str()) {
                load.state = TargetState::Unknown;
                load.spare = 0;
            }
        }
        let mut known = order(&partly, Some(prefix))[..2].to_vec();
        let mut expected = best.clone();
        known.sort_unstable();
        expected.sort_unstable();
        assert_eq!(known, expected);
    }
}
