//! A router starts no work on a record that was superseded more than 3 seconds
//! ago, and the versions that it holds never decrease. Guards against views that
//! look newer than they are after delayed responses, pauses or partitions.

mod testutils;

use testutils::for_seeds;
use testutils::view_sim::ViewRule;
use testutils::view_sim::ViewVerdict;
use testutils::view_sim::run;

const SEEDS: u64 = 300;
const SEED_BYTES: u64 = 1 << 17;
const LENGTH_MS: u64 = 60_000;

fn run_all(rule: ViewRule) -> ViewVerdict {
    let mut total = ViewVerdict::default();
    for_seeds(SEEDS, SEED_BYTES, |u| {
        let verdict = run(u, rule, LENGTH_MS)?;
        total.checks += verdict.checks;
        total.fresh_checks += verdict.fresh_checks;
        total.outage_checks += verdict.outage_checks;
        total.stale_in_outage += verdict.stale_in_outage;
        total.stale.extend(verdict.stale);
        total.regressions.extend(verdict.regressions);
        Ok(())
    });
    total
}

#[test]
fn routers_start_no_work_on_records_older_than_three_seconds() {
    let verdict = run_all(ViewRule::Guarded);
    println!(
        "{} checks, {} fresh, {} of them in an outage, {} of those stale",
        verdict.checks, verdict.fresh_checks, verdict.outage_checks, verdict.stale_in_outage
    );
    assert!(verdict.fresh_checks > verdict.checks / 2);
    assert!(verdict.outage_checks > 1_000);
    assert_eq!(verdict.stale, Vec::<String>::new());
    assert_eq!(verdict.regressions, Vec::<String>::new());
}

#[test]
fn control_that_counts_from_arrival_acts_on_old_records() {
    assert!(!run_all(ViewRule::CountsFromArrival).stale.is_empty());
}

#[test]
fn control_that_skips_the_vote_acts_on_old_records() {
    assert!(!run_all(ViewRule::SkipsVote).stale.is_empty());
}

#[test]
fn a_failed_store_call_makes_the_store_unreachable_at_once() {
    use jujuberoad::membership::ViewGuard;
    use jujuberoad::membership::ViewKey;
    use std::time::Duration;
    use std::time::Instant;

    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let span = Duration::from_millis(2_000);
    let mut guard = ViewGuard::default();
    guard.accept(&ViewKey::Config, 1);
    guard.confirm(&ViewKey::Config, 1, at(0));
    assert!(guard.reaches_store(span, at(500)));
    guard.record_store_failure(at(600));
    assert!(!guard.reaches_store(span, at(610)));
    // The response to a query sent before the failure does not clear it.
    guard.confirm(&ViewKey::Config, 1, at(550));
    assert!(!guard.reaches_store(span, at(700)));
    guard.confirm(&ViewKey::Config, 1, at(800));
    assert!(guard.reaches_store(span, at(900)));
}
