//! Crowds of bodies in virtual time.

use std::time::Duration;
use std::time::Instant;

use arbtest::arbtest;
use jujuberoad::admission::BodyBudget;
use jujuberoad::admission::BodyVerdict;
use jujuberoad::admission::ConnectionPhase;
use jujuberoad::admission::ConnectionTable;
use jujuberoad::admission::ConnectionVerdict;
use jujuberoad::admission::SMALL_BODY_BYTES;
use jujuberoad::ids::BodyId;

const TOTAL: u64 = 16 << 20;
const LARGE: u64 = 4 << 20;
const STEP: u64 = 64 << 10;

/// Lets `bytes` of a body arrive in steps; returns the first verdict that is no grant.
fn fill(budget: &mut BodyBudget, id: BodyId, bytes: u64, now: Instant) -> BodyVerdict {
    let mut evicted = Vec::new();
    for _ in 0..bytes.div_ceil(STEP) {
        budget.observe(id, STEP, now);
        match budget.reserve(id, STEP.min(bytes), now) {
            BodyVerdict::Granted(victims) => evicted.extend(victims),
            refusal => return refusal,
        }
    }
    BodyVerdict::Granted(evicted)
}

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Guards against bodies that stop one byte short and keep their memory from those that move.
#[test]
fn stopped_bodies_make_room_for_moving_ones() {
    let start = Instant::now();
    let mut budget = BodyBudget::new(TOTAL);
    let mut held = Vec::new();
    for _ in 0..60 {
        let id = budget.begin_request(start);
        match fill(&mut budget, id, LARGE, start) {
            BodyVerdict::Granted(_) => held.push(id),
            _ => budget.release(id),
        }
    }
    assert_eq!(held.len(), 2);
    let later = start + seconds(1.0);
    let moving = budget.begin_request(later);
    let verdict = fill(&mut budget, moving, LARGE, later);
    assert_eq!(verdict, BodyVerdict::Granted(vec![held[0]]));
    assert!(!budget.complete(held[0]));
    assert_eq!(budget.reserve(held[0], 1, later), BodyVerdict::Evicted);
}

/// Guards against slow but sound callers that lose their bodies while they move.
#[test]
fn slow_moving_bodies_are_kept() {
    let start = Instant::now();
    let mut budget = BodyBudget::new(TOTAL);
    let slow = budget.begin_request(start);
    let stopped = budget.begin_request(start);
    for id in [slow, stopped] {
        let verdict = fill(&mut budget, id, LARGE - STEP, start);
        assert_eq!(verdict, BodyVerdict::Granted(Vec::new()));
    }
    for tenth in 1..20 {
        budget.observe(slow, 1 << 10, start + seconds(0.1 * f64::from(tenth)));
    }
    let later = start + seconds(2.0);
    let moving = budget.begin_request(later);
    let verdict = fill(&mut budget, moving, LARGE, later);
    assert_eq!(verdict, BodyVerdict::Granted(vec![stopped]));
    // Both others move, so a third one is told that there is no room.
    let third = budget.begin_request(later);
    assert_eq!(fill(&mut budget, third, LARGE, later), BodyVerdict::NoRoom);
    assert!(budget.complete(slow));
}

/// Guards against callers that keep their memory by single bytes.
#[test]
fn single_bytes_are_no_progress() {
    let start = Instant::now();
    let mut budget = BodyBudget::new(TOTAL);
    let trickling = [(); 2].map(|()| budget.begin_request(start));
    for id in trickling {
        fill(&mut budget, id, LARGE, start);
        for tenth in 0..20 {
            budget.observe(id, 1, start + seconds(0.1 * f64::from(tenth)));
        }
    }
    let later = start + seconds(2.0);
    let moving = budget.begin_request(later);
    let verdict = fill(&mut budget, moving, LARGE, later);
    assert_eq!(verdict, BodyVerdict::Granted(vec![trickling[0]]));
}

/// Guards against small bodies and answers without room while large bodies are held.
#[test]
fn small_bodies_and_answers_have_room_of_their_own() {
    let start = Instant::now();
    let mut budget = BodyBudget::new(TOTAL);
    for _ in 0..60 {
        let id = budget.begin_request(start);
        if fill(&mut budget, id, LARGE, start) == BodyVerdict::NoRoom {
            budget.release(id);
        } else {
            assert!(budget.complete(id));
        }
    }
    let granted = BodyVerdict::Granted(Vec::new());
    for _ in 0..32 {
        let small = budget.begin_request(start);
        assert_eq!(budget.reserve(small, SMALL_BODY_BYTES, start), granted);
        assert!(budget.complete(small));
    }
    let answer = budget.begin_answer(start);
    assert_eq!(budget.reserve(answer, LARGE, start), granted);
    // An answer displaces what arrives, even if it moves.
    let arriving = budget.begin_request(start);
    assert_eq!(budget.reserve(arriving, SMALL_BODY_BYTES, start), granted);
    let room = TOTAL - TOTAL / 16 - budget.used_bytes();
    let large = budget.begin_answer(start);
    assert_eq!(
        budget.reserve(large, room + 1, start),
        BodyVerdict::Granted(vec![arriving])
    );
    // Large answers leave room to small ones.
    let larger = budget.begin_answer(start);
    assert_eq!(budget.reserve(larger, LARGE, start), BodyVerdict::NoRoom);
    let short = budget.begin_answer(start);
    assert_eq!(budget.reserve(short, SMALL_BODY_BYTES, start), granted);
    budget.release(answer);
    budget.release(large);
    budget.release(short);
    assert_eq!(budget.used_bytes(), 2 * LARGE + 32 * SMALL_BODY_BYTES);
}

/// Guards against sums that drift from what is held, or exceed the budget.
#[test]
fn reservations_stay_within_the_budget() {
    arbtest(|input| {
        let start = Instant::now();
        let mut budget = BodyBudget::new(1_000_000);
        let mut ids = vec![];
        let mut now = start;
        while !input.is_empty() {
            now += Duration::from_millis(input.int_in_range(0..=400)?);
            let pick = input.int_in_range(0..=5u8)?;
            if pick == 0 || ids.is_empty() {
                let is_answer = input.arbitrary::<bool>()?;
                ids.push(if is_answer {
                    budget.begin_answer(now)
                } else {
                    budget.begin_request(now)
                });
                continue;
            }
            let id = *input.choose(&ids)?;
            match pick {
                1 => budget.release(id),
                2 => drop(budget.complete(id)),
                3 => budget.observe(id, input.int_in_range(0..=4_000)?, now),
                _ => drop(budget.reserve(id, input.int_in_range(0..=300_000)?, now)),
            }
            assert!(budget.used_bytes() <= 1_000_000);
        }
        for id in ids {
            budget.release(id);
        }
        assert_eq!(budget.used_bytes(), 0);
        Ok(())
    });
}

/// Guards against connections that take the place of requests in progress at an endpoint.
#[test]
fn connections_without_progress_are_closed_first() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(3);
    let ids = [0, 1, 2].map(
        |second| match table.open(start + seconds(f64::from(second))) {
            ConnectionVerdict::Opened(id, None) => id,
            verdict => panic!("{verdict:?}"),
        },
    );
    let now = start + seconds(10.0);
    assert!(table.set_phase(ids[0], ConnectionPhase::Forwarded));
    assert!(table.set_phase(ids[1], ConnectionPhase::Receiving));
    table.observe(ids[2], now);
    let mut closed = Vec::new();
    for _ in 0..2 {
        let ConnectionVerdict::Opened(id, Some(victim)) = table.open(now) else {
            panic!("no connection is closed");
        };
        assert!(table.set_phase(id, ConnectionPhase::Forwarded));
        closed.push(victim);
    }
    // The idle one first, although it moved last; then the one whose request still arrives.
    assert_eq!(closed, [ids[2], ids[1]]);
    assert!(!table.set_phase(ids[1], ConnectionPhase::Forwarded));
    assert_eq!(table.open(now), ConnectionVerdict::NoRoom);
    table.close(ids[0]);
    assert_eq!(table.len(), 2);
    assert!(matches!(
        table.open(now),
        ConnectionVerdict::Opened(_, None)
    ));
}
