//! Simulates the routing policies: time to first token, time between tokens and prefix
//! cache hits by load.

use std::collections::VecDeque;
use std::fmt::Write;

use jujuberoad::routing::ChoiceHint;
use jujuberoad::routing::LeastLoadedChooser;
use jujuberoad::routing::PrefixChooser;
use jujuberoad::routing::RoundRobinChooser;
use jujuberoad::routing::TargetChooser;
use jujuberoad::routing::TargetLoad;
use jujuberoad::slots::TargetState;
use smol_str::format_smolstr;

use super::next_interval;
use super::quantile_ms;
use super::time_histogram;

const GROUP_COUNT: usize = 12;
const SLOTS_PER_GROUP: u32 = 32;
const TOKENS_PER_ANSWER: u64 = 64;
const REQUEST_COUNT: usize = 60_000;
/// Prefill time of a prompt whose prefix is not cached, on an idle group, in seconds.
const PREFILL_S: f64 = 0.16;
/// Time between tokens on an idle group, in seconds.
const TOKEN_INTERVAL_S: f64 = 0.015;
/// Capacity of the prefix cache of a group.
const CACHED_PREFIXES: usize = 48;
/// Number of distinct prefixes; their popularity is skewed, so a few make up most
/// requests.
const PREFIX_COUNT: f64 = 600.0;
/// Interval between the load reports that the baseline policies use, in seconds.
const REPORT_INTERVAL_S: f64 = 0.5;

/// A simulated group with an LRU cache of prefixes.
struct GroupModel {
    completion_times: Vec<f64>,
    reported_in_flight: u32,
    cached_prefixes: VecDeque<u64>,
}

impl GroupModel {
    fn in_flight(&mut self, now: f64) -> u32 {
        self.completion_times.retain(|end| *end > now);
        self.completion_times.len() as u32
    }

    /// Marks a prefix as the most recently used one and returns whether it was cached.
    fn access_prefix(&mut self, prefix: u64) -> bool {
        let found = self
            .cached_prefixes
            .iter()
            .position(|known_prefix| *known_prefix == prefix);
        if let Some(index) = found {
            self.cached_prefixes.remove(index);
        }
        self.cached_prefixes.push_back(prefix);
        if self.cached_prefixes.len() > CACHED_PREFIXES {
            self.cached_prefixes.pop_front();
        }
        found.is_some()
    }
}

/// Where a policy gets the load of the groups from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LoadSource {
    /// Reports that are up to one interval old.
    PeriodicReports,
    /// Slots granted by slot homes, which reflect the current load.
    SlotHomes,
}

/// Compares three routing policies at four loads.
pub fn group_choice_bench(seed: u64) -> String {
    let mut text =
        String::from("load  policy       first p95 ms  p99 ms  gap p95 ms  prefix hits\n");
    for load in [0.5, 0.7, 0.8, 0.85] {
        let round_robin = RoundRobinChooser::default();
        let policies: [(&str, &dyn TargetChooser, LoadSource); 3] = [
            ("round-robin", &round_robin, LoadSource::PeriodicReports),
            ("lagging", &LeastLoadedChooser, LoadSource::PeriodicReports),
            ("prefix", &PrefixChooser, LoadSource::SlotHomes),
        ];
        for (name, chooser, load_source) in policies {
            let results = simulate(chooser, load_source, load, seed);
            let _ = writeln!(text, "{load:.2}  {name:<12} {results}");
        }
    }
    text
}

fn simulate(chooser: &dyn TargetChooser, load_source: LoadSource, load: f64, seed: u64) -> String {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut groups: Vec<GroupModel> = (0..GROUP_COUNT)
        .map(|_| GroupModel {
            completion_times: Vec::new(),
            reported_in_flight: 0,
            cached_prefixes: VecDeque::new(),
        })
        .collect();
    // Capacity is defined with all slots in use, where a token takes twice as long as on
    // an idle group.
    let full_load_request_s = PREFILL_S + TOKENS_PER_ANSWER as f64 * TOKEN_INTERVAL_S * 2.0;
    let rate = load * GROUP_COUNT as f64 * f64::from(SLOTS_PER_GROUP) / full_load_request_s;
    let (mut first_token_times, mut token_intervals) = (time_histogram(), time_histogram());
    let (mut now, mut next_report_at, mut prefix_hits) = (0.0, 0.0, 0);
    let mut waiting: VecDeque<(f64, u64)> = VecDeque::new();
    for _ in 0..REQUEST_COUNT {
        now += next_interval(&mut random, rate);
        if now >= next_report_at {
            next_report_at = now + REPORT_INTERVAL_S;
            for group in &mut groups {
                group.reported_in_flight = group.in_flight(now);
            }
        }
        let prefix = (PREFIX_COUNT.powf(random.f64()) - 1.0) as u64;
        waiting.push_back((now, prefix));
        while let Some((arrived_at, prefix)) = waiting.pop_front() {
            let Some(index) = choose_group(chooser, load_source, &mut groups, prefix, now) else {
                waiting.push_front((arrived_at, prefix));
                break;
            };
            let group = &mut groups[index];
            let is_hit = group.access_prefix(prefix);
            prefix_hits += usize::from(is_hit);
            let in_flight = group.in_flight(now);
            // Requests beyond the slots of an engine wait in its queue.
            let queued = (in_flight + 1).saturating_sub(SLOTS_PER_GROUP);
            let slowdown =
                1.0 + f64::from(in_flight.min(SLOTS_PER_GROUP)) / f64::from(SLOTS_PER_GROUP);
            let token_interval_s = TOKEN_INTERVAL_S * slowdown;
            let queue_delay_s = f64::from(queued) * (TOKENS_PER_ANSWER as f64 * token_interval_s)
                / f64::from(SLOTS_PER_GROUP);
            let prefill_s = if is_hit { PREFILL_S / 4.0 } else { PREFILL_S };
            let first_token_s = now - arrived_at + queue_delay_s + prefill_s * slowdown;
            group.completion_times.push(
                now + queue_delay_s
                    + prefill_s * slowdown
                    + TOKENS_PER_ANSWER as f64 * token_interval_s,
            );
            first_token_times.saturating_record((first_token_s * 1e6) as u64);
            token_intervals.saturating_record((token_interval_s * 1e6) as u64);
        }
    }
    format!(
        "{:>12.0}  {:>6.0}  {:>10.1}  {:>10.1}%",
        quantile_ms(&first_token_times, 0.95),
        quantile_ms(&first_token_times, 0.99),
        quantile_ms(&token_intervals, 0.95),
        100.0 * prefix_hits as f64 / REQUEST_COUNT as f64
    )
}

fn choose_group(
    chooser: &dyn TargetChooser,
    load_source: LoadSource,
    groups: &mut [GroupModel],
    prefix: u64,
    now: f64,
) -> Option<usize> {
    let mut loads = Vec::new();
    for (index, group) in groups.iter_mut().enumerate() {
        let in_use = if load_source == LoadSource::SlotHomes {
            group.in_flight(now)
        } else {
            group.reported_in_flight
        };
        loads.push(TargetLoad {
            target: format_smolstr!("g{index}"),
            is_same_zone: index % 3 == 0,
            state: TargetState::Warm,
            spare: SLOTS_PER_GROUP.saturating_sub(in_use),
            free: SLOTS_PER_GROUP.saturating_sub(in_use),
            in_use,
            slots: SLOTS_PER_GROUP,
        });
    }
    let order = chooser.rank(
        &loads,
        &ChoiceHint {
            prefix: Some(prefix),
        },
    );
    if load_source == LoadSource::PeriodicReports {
        return order.first().copied();
    }
    order.into_iter().find(|index| loads[*index].spare > 0)
}
