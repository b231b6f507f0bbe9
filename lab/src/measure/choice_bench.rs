//! Choice of a group: first-token times, token gaps and prefix hits by load.

use jujuberoad::slots::TargetState;
use std::collections::VecDeque;
use std::fmt::Write;

use jujuberoad::routing::ChoiceHint;
use jujuberoad::routing::LeastLoadedChooser;
use jujuberoad::routing::PrefixChooser;
use jujuberoad::routing::RoundRobinChooser;
use jujuberoad::routing::TargetChooser;
use jujuberoad::routing::TargetLoad;
use smol_str::format_smolstr;

use super::next_interval;
use super::quantile_ms;
use super::time_histogram;

const GROUPS: usize = 12;
const SLOTS: u32 = 32;
const TOKENS: u64 = 64;
const REQUESTS: usize = 60_000;
/// Time to the first token of a prompt that is not cached, in seconds.
const PREFILL_S: f64 = 0.16;
/// Time between tokens of an empty group, in seconds.
const TOKEN_S: f64 = 0.015;
/// Prefixes that a group remembers.
const CACHED: usize = 48;
/// Different prefixes; a few are far more frequent than the rest.
const PREFIXES: f64 = 600.0;
/// Age of the reports by which the baseline chooses, in seconds.
const LAG_S: f64 = 0.5;

struct GroupModel {
    ends: Vec<f64>,
    lagging: u32,
    cached: VecDeque<u64>,
}

impl GroupModel {
    fn in_flight(&mut self, now: f64) -> u32 {
        self.ends.retain(|end| *end > now);
        self.ends.len() as u32
    }

    fn holds(&mut self, prefix: u64) -> bool {
        let found = self.cached.iter().position(|cached| *cached == prefix);
        if let Some(index) = found {
            self.cached.remove(index);
        }
        self.cached.push_back(prefix);
        if self.cached.len() > CACHED {
            self.cached.pop_front();
        }
        found.is_some()
    }
}

/// How far the chooser sees.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sight {
    /// Reports with a lag.
    Lagging,
    /// Slots granted by homes.
    Slots,
}

/// Compares three ways of choosing at four loads.
pub fn choice_bench(seed: u64) -> String {
    let mut text =
        String::from("load  policy       first p95 ms  p99 ms  gap p95 ms  prefix hits\n");
    for load in [0.5, 0.7, 0.8, 0.85] {
        let round_robin = RoundRobinChooser::default();
        let policies: [(&str, &dyn TargetChooser, Sight); 3] = [
            ("round-robin", &round_robin, Sight::Lagging),
            ("lagging", &LeastLoadedChooser, Sight::Lagging),
            ("prefix", &PrefixChooser, Sight::Slots),
        ];
        for (name, chooser, sight) in policies {
            let line = run(chooser, sight, load, seed);
            let _ = writeln!(text, "{load:.2}  {name:<12} {line}");
        }
    }
    text
}

fn run(chooser: &dyn TargetChooser, sight: Sight, load: f64, seed: u64) -> String {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut groups: Vec<GroupModel> = (0..GROUPS)
        .map(|_| GroupModel {
            ends: Vec::new(),
            lagging: 0,
            cached: VecDeque::new(),
        })
        .collect();
    // Capacity is that of full groups at the pace they have then.
    let full_time = PREFILL_S + TOKENS as f64 * TOKEN_S * 2.0;
    let rate = load * GROUPS as f64 * f64::from(SLOTS) / full_time;
    let (mut first, mut gaps) = (time_histogram(), time_histogram());
    let (mut now, mut next_report, mut hits) = (0.0, 0.0, 0);
    let mut waiting: VecDeque<(f64, u64)> = VecDeque::new();
    for _ in 0..REQUESTS {
        now += next_interval(&mut random, rate);
        if now >= next_report {
            next_report = now + LAG_S;
            for group in &mut groups {
                group.lagging = group.in_flight(now);
            }
        }
        let prefix = (PREFIXES.powf(random.f64()) - 1.0) as u64;
        waiting.push_back((now, prefix));
        while let Some((arrived, prefix)) = waiting.pop_front() {
            let Some(index) = choose(chooser, sight, &mut groups, prefix, now) else {
                waiting.push_front((arrived, prefix));
                break;
            };
            let group = &mut groups[index];
            let hit = group.holds(prefix);
            hits += usize::from(hit);
            let in_flight = group.in_flight(now);
            // An engine beyond its slots lets the rest wait for its turn.
            let excess = (in_flight + 1).saturating_sub(SLOTS);
            let crowd = 1.0 + f64::from(in_flight.min(SLOTS)) / f64::from(SLOTS);
            let gap = TOKEN_S * crowd;
            let turn = f64::from(excess) * (TOKENS as f64 * gap) / f64::from(SLOTS);
            let prefill = if hit { PREFILL_S / 4.0 } else { PREFILL_S };
            let first_s = now - arrived + turn + prefill * crowd;
            group
                .ends
                .push(now + turn + prefill * crowd + TOKENS as f64 * gap);
            first.saturating_record((first_s * 1e6) as u64);
            gaps.saturating_record((gap * 1e6) as u64);
        }
    }
    format!(
        "{:>12.0}  {:>6.0}  {:>10.1}  {:>10.1}%",
        quantile_ms(&first, 0.95),
        quantile_ms(&first, 0.99),
        quantile_ms(&gaps, 0.95),
        100.0 * hits as f64 / REQUESTS as f64
    )
}

fn choose(
    chooser: &dyn TargetChooser,
    sight: Sight,
    groups: &mut [GroupModel],
    prefix: u64,
    now: f64,
) -> Option<usize> {
    let mut loads = Vec::new();
    for (index, group) in groups.iter_mut().enumerate() {
        let in_use = if sight == Sight::Slots {
            group.in_flight(now)
        } else {
            group.lagging
        };
        loads.push(TargetLoad {
            target: format_smolstr!("g{index}"),
            is_same_zone: index % 3 == 0,
            state: TargetState::Warm,
            spare: SLOTS.saturating_sub(in_use),
            free: SLOTS.saturating_sub(in_use),
            in_use,
            slots: SLOTS,
        });
    }
    let order = chooser.rank(
        &loads,
        &ChoiceHint {
            prefix: Some(prefix),
        },
    );
    if sight == Sight::Lagging {
        return order.first().copied();
    }
    order.into_iter().find(|index| loads[*index].spare > 0)
}
