//! An accepted record is in force within 3 seconds, or the router takes no
//! new work; versions never fall.

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
        total.looks += verdict.looks;
        total.fresh_looks += verdict.fresh_looks;
        total.outage_looks += verdict.outage_looks;
        total.behind_in_outage += verdict.behind_in_outage;
        total.behind.extend(verdict.behind);
        total.fallen.extend(verdict.fallen);
        Ok(())
    });
    total
}

#[test]
fn routers_act_on_no_record_older_than_three_seconds() {
    let verdict = run_all(ViewRule::Guarded);
    println!(
        "{} looks, {} fresh, {} of them in an outage, {} of those behind",
        verdict.looks, verdict.fresh_looks, verdict.outage_looks, verdict.behind_in_outage
    );
    assert!(verdict.fresh_looks > verdict.looks / 2);
    assert!(verdict.outage_looks > 1_000);
    assert_eq!(verdict.behind, Vec::<String>::new());
    assert_eq!(verdict.fallen, Vec::<String>::new());
}

#[test]
fn control_that_counts_from_arrival_acts_on_old_records() {
    assert!(!run_all(ViewRule::CountsFromArrival).behind.is_empty());
}

#[test]
fn control_that_trusts_itself_acts_on_old_records() {
    assert!(!run_all(ViewRule::TrustsItself).behind.is_empty());
}

#[test]
fn a_store_that_was_found_missing_counts_as_lost_at_once() {
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
    guard.note_store_failure(at(600));
    assert!(!guard.reaches_store(span, at(610)));
    // An answer to an earlier question proves nothing about now.
    guard.confirm(&ViewKey::Config, 1, at(550));
    assert!(!guard.reaches_store(span, at(700)));
    guard.confirm(&ViewKey::Config, 1, at(800));
    assert!(guard.reaches_store(span, at(900)));
}
