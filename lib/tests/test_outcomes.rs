//! Each caller gets the complete answer to its own request, and a request that is
//! reported as not run has not run.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use jujuberoad::outcome::Outcome;
use jujuberoad::routing::AttemptFailure;
use jujuberoad::routing::AttemptHistory;
use jujuberoad::routing::RetryStep;
use jujuberoad::routing::SequenceChecker;
use jujuberoad::routing::StreamStep;
use testutils::draw;
use testutils::for_seeds;
use testutils::once_in;

const TOKENS: u64 = 40;

/// Relays a stream that is cut, resumed at a wrong index or mixed up with the stream of
/// another request. Returns the delivered tokens, or `None` if the stream did not finish.
fn relay_stream(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    checks: bool,
) -> arbtest::arbitrary::Result<Option<Vec<(u64, u64)>>> {
    let mut checker = SequenceChecker::new("mine".into());
    let mut delivered = Vec::new();
    for _attempt in 0..30 {
        // The engine may resume before or after the requested index.
        let from = match draw(u, 0, 4)? {
            0 => checker.next_index().saturating_sub(draw(u, 0, 5)?),
            1 => checker.next_index() + draw(u, 0, 2)?,
            _ => checker.next_index(),
        };
        let is_crossed = once_in(u, 5)?;
        let owner = if is_crossed { "other" } else { "mine" };
        for index in from..TOKENS {
            if once_in(u, 12)? {
                break;
            }
            let step = if checks {
                checker.observe(owner, index)
            } else {
                StreamStep::Forward
            };
            match step {
                StreamStep::Forward => delivered.push((index, u64::from(is_crossed))),
                StreamStep::Repeated => {}
                StreamStep::Broken => break,
            }
        }
        let is_done = if checks {
            checker.next_index() == TOKENS
        } else {
            !delivered.is_empty()
        };
        if is_done {
            return Ok(Some(delivered));
        }
    }
    Ok(None)
}

fn count_answers(checks: bool) -> (u64, u64) {
    let (mut whole, mut broken) = (0, 0);
    for_seeds(2_000, 1 << 11, |u| {
        let Some(delivered) = relay_stream(u, checks)? else {
            return Ok(());
        };
        let expected: Vec<(u64, u64)> = (0..TOKENS).map(|index| (index, 0)).collect();
        if delivered == expected {
            whole += 1;
        } else {
            broken += 1;
        }
        Ok(())
    });
    (whole, broken)
}

#[test]
fn callers_get_each_token_of_their_own_answer_once_and_in_order() {
    let (whole, broken) = count_answers(true);
    assert!(whole > 1_000, "{whole} whole answers prove little");
    assert_eq!(broken, 0);
}

#[test]
fn control_without_sequence_check_breaks_answers() {
    let (_, broken) = count_answers(false);
    assert!(broken > 0);
}

#[test]
fn each_failure_ends_in_a_truthful_outcome() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut table = String::new();
    for was_sent in [false, true] {
        for was_refused in [false, true] {
            for is_repeatable in [false, true] {
                for (limit, deadline, may_retry) in [
                    ("none", later, true),
                    ("budget", later, false),
                    ("time", now, true),
                ] {
                    let failure = AttemptFailure {
                        was_sent,
                        was_refused,
                    };
                    let mut history = AttemptHistory::new(is_repeatable, deadline);
                    let step = history.record_failure(failure, may_retry, now);
                    let may_have_run = was_sent && !was_refused;
                    if may_have_run {
                        assert_ne!(step, RetryStep::End(Outcome::NotRun));
                        assert!(is_repeatable || step == RetryStep::End(Outcome::Unknown));
                    }
                    table += &format!(
                        "sent {was_sent} refused {was_refused} repeatable {is_repeatable} \
                         limit {limit}: {step:?}\n"
                    );
                }
            }
        }
    }
    insta::assert_snapshot!(table);
}

#[test]
fn an_attempt_that_may_have_run_is_remembered() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let sent = AttemptFailure {
        was_sent: true,
        was_refused: false,
    };
    let unsent = AttemptFailure {
        was_sent: false,
        was_refused: false,
    };
    let mut history = AttemptHistory::new(true, later);
    assert_eq!(history.record_failure(sent, true, now), RetryStep::Retry);
    assert_eq!(history.outcome(), Outcome::Unknown);
    assert_eq!(
        history.record_failure(unsent, false, now),
        RetryStep::End(Outcome::Unknown)
    );
    let mut history = AttemptHistory::new(false, later);
    assert_eq!(history.record_failure(unsent, true, now), RetryStep::Retry);
    assert_eq!(
        history.record_failure(sent, true, now),
        RetryStep::End(Outcome::Unknown)
    );
}
