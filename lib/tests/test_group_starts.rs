//! No request starts on an incomplete group or beyond the limit of a cold group.
//!
//! Each control run disables one mechanism and must then detect a violation.

mod testutils;

use testutils::for_seeds;
use testutils::slot_sim::ALL_RULES;
use testutils::slot_sim::SimOutcome;
use testutils::slot_sim::SimRules;
use testutils::slot_sim::run;

const SEEDS: u64 = 1_000;
const SEED_BYTES: u64 = 1 << 17;
const LENGTH_MS: u64 = 30_000;

fn run_all(rules: SimRules) -> SimOutcome {
    let mut total = SimOutcome::default();
    for_seeds(SEEDS, SEED_BYTES, |u| {
        let outcome = run(u, rules, LENGTH_MS)?;
        total.starts += outcome.starts;
        total.cold_starts += outcome.cold_starts;
        total.over_cold_limit.extend(outcome.over_cold_limit);
        total.incomplete.extend(outcome.incomplete);
        Ok(())
    });
    total
}

#[test]
fn requests_start_only_on_complete_groups_within_the_cold_limit() {
    let outcome = run_all(ALL_RULES);
    println!(
        "{} starts, {} on cold groups",
        outcome.starts, outcome.cold_starts
    );
    assert!(
        outcome.starts > 10_000,
        "only {} starts, too few for a meaningful result",
        outcome.starts
    );
    assert!(
        outcome.cold_starts > 1_000,
        "only {} cold starts, too few for a meaningful result",
        outcome.cold_starts
    );
    assert_eq!(outcome.incomplete, Vec::<String>::new());
    assert_eq!(outcome.over_cold_limit, Vec::<String>::new());
}

#[test]
fn control_without_takeover_wait_exceeds_the_cold_limit() {
    let outcome = run_all(SimRules {
        takes_over: false,
        ..ALL_RULES
    });
    assert!(!outcome.over_cold_limit.is_empty());
}

#[test]
fn control_without_deadlines_exceeds_the_cold_limit() {
    let outcome = run_all(SimRules {
        checks_deadline: false,
        ..ALL_RULES
    });
    assert!(!outcome.over_cold_limit.is_empty());
    assert!(!outcome.incomplete.is_empty());
}

#[test]
fn control_without_freshness_starts_on_incomplete_groups() {
    let outcome = run_all(SimRules {
        checks_freshness: false,
        ..ALL_RULES
    });
    assert!(!outcome.incomplete.is_empty());
}
