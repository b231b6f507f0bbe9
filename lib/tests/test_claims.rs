//! A request with an idempotency key runs at most once, even when several
//! routers believe to be home of its shard and store writes are lost or late.

mod testutils;

use testutils::claim_sim::ClaimEvent;
use testutils::claim_sim::ClaimRule;
use testutils::claim_sim::ClaimVerdict;
use testutils::claim_sim::run;
use testutils::for_seeds;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::Action;
use todc_utils::linearizability::history::History;
use todc_utils::specifications::Specification;

const SEEDS: u64 = 300;
const SEED_BYTES: u64 = 1 << 14;
const LENGTH_MS: u64 = 15_000;

fn run_all(rule: ClaimRule, releases: bool) -> Vec<ClaimVerdict> {
    let mut verdicts = Vec::new();
    for_seeds(SEEDS, SEED_BYTES, |u| {
        verdicts.push(run(u, rule, releases, LENGTH_MS)?);
        Ok(())
    });
    verdicts
}

fn repeated_runs(verdicts: &[ClaimVerdict]) -> usize {
    let runs = verdicts.iter().flat_map(|verdict| verdict.runs.values());
    runs.filter(|count| **count > 1).count()
}

#[test]
fn a_claimed_key_runs_at_most_once() {
    for releases in [false, true] {
        let verdicts = run_all(ClaimRule::Guarded, releases);
        let runs: u64 = verdicts
            .iter()
            .flat_map(|verdict| verdict.runs.values())
            .sum();
        println!(
            "releases {releases}: {runs} runs in {} histories",
            verdicts.len()
        );
        assert!(runs > 500, "only {runs} runs");
        assert_eq!(repeated_runs(&verdicts), 0);
        let contradictions: Vec<&String> = verdicts
            .iter()
            .flat_map(|verdict| &verdict.contradictions)
            .collect();
        assert!(contradictions.is_empty(), "{contradictions:?}");
    }
}

#[test]
fn control_without_compare_and_swap_repeats() {
    assert!(repeated_runs(&run_all(ClaimRule::NoCompare, false)) > 0);
}

#[test]
fn control_that_runs_ungranted_claims_repeats() {
    assert!(repeated_runs(&run_all(ClaimRule::RunsUngranted, false)) > 0);
}

/// A claim and whether it was granted; `None` if its router received no reply.
#[derive(Clone, Debug)]
struct ClaimCall {
    nonce: u64,
    granted: Option<bool>,
}

struct ClaimRegister;

impl Specification for ClaimRegister {
    type State = Option<u64>;
    type Operation = ClaimCall;

    fn init() -> Self::State {
        None
    }

    fn apply(call: &ClaimCall, state: &Self::State) -> (bool, Self::State) {
        let is_free = state.is_none();
        let is_valid = call.granted.is_none_or(|granted| granted == is_free);
        (is_valid, state.or(Some(call.nonce)))
    }
}

fn is_linearizable(events: &[&ClaimEvent]) -> bool {
    let mut actions = Vec::new();
    for (process, event) in events.iter().enumerate() {
        let call = ClaimCall {
            nonce: event.nonce,
            granted: None,
        };
        actions.push((event.called, 0, process, Action::Call(call)));
        let granted = event.returned.map(|_| event.granted);
        let response = ClaimCall {
            nonce: event.nonce,
            granted,
        };
        let returned = event.returned.unwrap_or(u64::MAX);
        actions.push((returned, 1, process, Action::Response(response)));
    }
    actions.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    let actions = actions
        .into_iter()
        .map(|(_, _, process, action)| (process, action));
    WGLChecker::<ClaimRegister>::is_linearizable(History::from_actions(actions.collect()))
}

#[test]
fn claims_of_a_key_are_linearizable() {
    for verdict in run_all(ClaimRule::Guarded, false) {
        for key in 0..4 {
            let events: Vec<&ClaimEvent> = verdict
                .events
                .iter()
                .filter(|event| event.key == key)
                .take(12)
                .collect();
            if !events.is_empty() {
                assert!(is_linearizable(&events), "{events:?}");
            }
        }
    }
}

#[test]
fn control_history_with_two_grants_is_rejected() {
    let event = |nonce: u64, called: u64| ClaimEvent {
        key: 0,
        nonce,
        called,
        returned: Some(called + 5),
        granted: true,
        is_released: false,
    };
    assert!(is_linearizable(&[&event(1, 0)]));
    assert!(!is_linearizable(&[&event(1, 0), &event(2, 10)]));
}
