//! No request starts on an incomplete group, nor beyond what a cold one bears.

mod testutils;

use testutils::for_seeds;
use testutils::slot_sim::ALL_RULES;
use testutils::slot_sim::SimRules;
use testutils::slot_sim::SimVerdict;
use testutils::slot_sim::run;

const SEEDS: u64 = 1_000;
const SEED_BYTES: u64 = 1 << 17;
const LENGTH_MS: u64 = 30_000;

fn run_all(rules: SimRules) -> SimVerdict {
    let mut total = SimVerdict::default();
    for_seeds(SEEDS, SEED_BYTES, |u| {
        let verdict = run(u, rules, LENGTH_MS)?;
        total.starts += verdict.starts;
        total.cold_starts += verdict.cold_starts;
        total.over_cold.extend(verdict.over_cold);
        total.incomplete.extend(verdict.incomplete);
        Ok(())
    });
    total
}

#[test]
fn starts_only_on_whole_groups_within_the_cold_limit() {
    let verdict = run_all(ALL_RULES);
    println!(
        "{} starts, {} on cold groups",
        verdict.starts, verdict.cold_starts
    );
    assert!(
        verdict.starts > 10_000,
        "{} starts prove little",
        verdict.starts
    );
    assert!(
        verdict.cold_starts > 1_000,
        "{} cold starts prove little",
        verdict.cold_starts
    );
    assert_eq!(verdict.incomplete, Vec::<String>::new());
    assert_eq!(verdict.over_cold, Vec::<String>::new());
}

#[test]
fn control_without_takeover_wait_passes_the_cold_limit() {
    let verdict = run_all(SimRules {
        takes_over: false,
        ..ALL_RULES
    });
    assert!(!verdict.over_cold.is_empty());
}

#[test]
fn control_without_deadlines_passes_the_cold_limit() {
    let verdict = run_all(SimRules {
        checks_deadline: false,
        ..ALL_RULES
    });
    assert!(!verdict.over_cold.is_empty());
    assert!(!verdict.incomplete.is_empty());
}

#[test]
fn control_without_freshness_starts_on_incomplete_groups() {
    let verdict = run_all(SimRules {
        checks_freshness: false,
        ..ALL_RULES
    });
    assert!(!verdict.incomplete.is_empty());
}
