//! Calls to a service that is away.

use std::time::Duration;
use std::time::Instant;

use jujuberoad::admission::CallGate;

/// Plays tasks that call every `PACE_MS` while a service is away from 1 s to 9 s; returns
/// the calls made in the outage, and when the last task had an answer after it.
fn play(tasks: usize, seed: u64) -> (usize, u64) {
    const PACE_MS: u64 = 100;
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let mut gate = CallGate::default();
    let mut next = vec![0_u64; tasks];
    let mut answered_at = vec![0_u64; tasks];
    let mut calls = 0;
    for ms in 0..12_000 {
        let now = start + Duration::from_millis(ms);
        for task in 0..tasks {
            if ms < next[task] {
                continue;
            }
            if let Some(at) = gate.try_pass(now) {
                next[task] = at.duration_since(start).as_millis() as u64;
                continue;
            }
            next[task] = ms + PACE_MS;
            if (1_000..9_000).contains(&ms) {
                calls += 1;
                gate.note_failure(now, rng.f64());
                continue;
            }
            gate.note_answer();
            if ms >= 9_000 && answered_at[task] == 0 {
                answered_at[task] = ms;
            }
        }
    }
    (calls, answered_at.into_iter().max().unwrap_or(0))
}

/// The pattern: the platform's store is away for eight seconds, and five tasks of each
/// router go on asking for it. What changed meanwhile is to be in force two seconds after
/// it is back.
#[test]
fn one_call_at_a_time_looks_whether_a_service_is_back() {
    for seed in 0..50 {
        let (calls, back_at) = play(5, seed);
        // One look in 0.6 s at least, and the failures that told of the outage.
        assert!(calls <= 8_000 / 600 + 7, "seed {seed}: {calls} calls");
        assert!(
            back_at <= 9_000 + 1_200,
            "seed {seed}: back at {back_at} ms"
        );
    }
}

#[test]
fn a_single_failure_holds_nobody() {
    let now = Instant::now();
    let mut gate = CallGate::default();
    gate.note_failure(now, 0.5);
    assert_eq!(gate.try_pass(now), None);
    gate.note_answer();
    gate.note_failure(now, 0.5);
    assert!(!gate.is_away());
}
