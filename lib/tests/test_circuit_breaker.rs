//! Calls to a service during an outage.

use std::time::Duration;
use std::time::Instant;

use jujuberoad::admission::CircuitBreaker;

/// Simulates tasks that call a service every `CALL_INTERVAL_MS`, with an outage from 1 s to 9 s.
/// Returns the number of calls during the outage, and the time at which the last task
/// received its first response after it.
fn simulate(tasks: usize, seed: u64) -> (usize, u64) {
    const CALL_INTERVAL_MS: u64 = 100;
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let mut breaker = CircuitBreaker::default();
    let mut next_call_ms = vec![0_u64; tasks];
    let mut answered_at = vec![0_u64; tasks];
    let mut calls = 0;
    for ms in 0..12_000 {
        let now = start + Duration::from_millis(ms);
        for task in 0..tasks {
            if ms < next_call_ms[task] {
                continue;
            }
            if let Some(at) = breaker.try_call(now) {
                next_call_ms[task] = at.duration_since(start).as_millis() as u64;
                continue;
            }
            next_call_ms[task] = ms + CALL_INTERVAL_MS;
            if (1_000..9_000).contains(&ms) {
                calls += 1;
                breaker.record_failure(now, rng.f64());
                continue;
            }
            breaker.record_success();
            if ms >= 9_000 && answered_at[task] == 0 {
                answered_at[task] = ms;
            }
        }
    }
    (calls, answered_at.into_iter().max().unwrap_or(0))
}

/// Guards against two failures when the platform's store is unavailable for eight seconds
/// and five tasks of each router call it: all tasks keep calling it during the outage, or
/// changes made meanwhile take effect later than two seconds after its end.
#[test]
fn open_breaker_lets_one_probe_through_at_a_time() {
    for seed in 0..50 {
        let (calls, recovered_at) = simulate(5, seed);
        // At most one probe per 0.6 s, and the failures that opened the breaker.
        assert!(calls <= 8_000 / 600 + 7, "seed {seed}: {calls} calls");
        assert!(
            recovered_at <= 9_000 + 1_200,
            "seed {seed}: recovered at {recovered_at} ms"
        );
    }
}

#[test]
fn single_failure_keeps_the_breaker_closed() {
    let now = Instant::now();
    let mut breaker = CircuitBreaker::default();
    breaker.record_failure(now, 0.5);
    assert_eq!(breaker.try_call(now), None);
    breaker.record_success();
    breaker.record_failure(now, 0.5);
    assert!(!breaker.is_open());
}
