//! Order and rejection of requests in the fair queue, and the retry budget.

use std::time::Duration;
use std::time::Instant;

use jujuberoad::admission::FairQueue;
use jujuberoad::admission::QueueError;
use jujuberoad::admission::QueueTicket;
use jujuberoad::admission::RequestClass;
use jujuberoad::admission::RetryBudget;
use jujuberoad::admission::WaitQueue;

fn ticket(id: u64, team: &str, class: RequestClass, expires_at: Instant) -> QueueTicket {
    QueueTicket {
        id,
        team: team.into(),
        share: 1,
        team_limit: 100,
        class,
        expires_at,
    }
}

fn drain(queue: &mut FairQueue, now: Instant) -> Vec<u64> {
    let mut order = Vec::new();
    while let Some(ticket) = queue.pop(RequestClass::Receipt, now) {
        order.push(ticket.id);
    }
    order
}

#[test]
fn flooding_team_does_not_delay_others() {
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    let mut queue = FairQueue::default();
    for id in 0..10 {
        queue
            .push(ticket(id, "flood", RequestClass::Counter, late), now)
            .expect("room");
    }
    queue
        .push(ticket(100, "quiet", RequestClass::Counter, late), now)
        .expect("room");
    assert_eq!(drain(&mut queue, now)[..3], [0, 100, 1]);
}

#[test]
fn teams_are_served_by_share() {
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    let mut queue = FairQueue::default();
    for id in 0..6 {
        let heavy = ticket(id, "heavy", RequestClass::Counter, late);
        queue
            .push(QueueTicket { share: 2, ..heavy }, now)
            .expect("room");
        queue
            .push(ticket(id + 10, "light", RequestClass::Counter, late), now)
            .expect("room");
    }
    assert_eq!(drain(&mut queue, now)[..6], [0, 10, 1, 2, 11, 3]);
}

#[test]
fn urgent_requests_precede_long_ones_of_the_same_team() {
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    let mut queue = FairQueue::default();
    queue
        .push(ticket(1, "a", RequestClass::Receipt, late), now)
        .expect("room");
    queue
        .push(ticket(2, "a", RequestClass::Counter, late), now)
        .expect("room");
    assert!(
        queue
            .pop(RequestClass::Counter, now)
            .is_some_and(|ticket| ticket.id == 2)
    );
    assert!(queue.pop(RequestClass::Counter, now).is_none());
    assert!(
        queue
            .pop(RequestClass::Receipt, now)
            .is_some_and(|ticket| ticket.id == 1)
    );
}

#[test]
fn flooding_team_loses_urgent_priority() {
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    let mut queue = FairQueue::default();
    for id in 0..90 {
        queue
            .push(ticket(id, "flood", RequestClass::Counter, late), now)
            .expect("room");
    }
    queue
        .push(ticket(100, "quiet", RequestClass::Receipt, late), now)
        .expect("room");
    let order = drain(&mut queue, now);
    let place = order.iter().position(|id| *id == 100);
    assert!(
        place.is_some_and(|place| (1..10).contains(&place)),
        "{place:?}"
    );
}

#[test]
fn full_team_queue_rejects_with_retry_time() {
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    let mut queue = FairQueue::default();
    let limited = |id: u64| QueueTicket {
        team_limit: 1,
        ..ticket(id, "a", RequestClass::Counter, late)
    };
    queue.push(limited(1), now).expect("room");
    let error = queue.push(limited(2), now).expect_err("the team is full");
    assert!(matches!(error, QueueError::TeamFull { .. }));
    assert!(error.retry_at() >= now + Duration::from_secs(1));
}

#[test]
fn unreachable_deadline_is_rejected_at_once() {
    let start = Instant::now();
    let mut queue = FairQueue::default();
    // One request per second is dequeued while another stays in the queue.
    for second in 0..12 {
        let now = start + Duration::from_secs(second);
        let late = now + Duration::from_secs(600);
        queue
            .push(ticket(second * 2, "a", RequestClass::Counter, late), now)
            .expect("room");
        queue
            .push(
                ticket(second * 2 + 1, "a", RequestClass::Counter, late),
                now,
            )
            .expect("room");
        assert!(queue.pop(RequestClass::Counter, now).is_some());
    }
    let now = start + Duration::from_secs(12);
    let soon = ticket(99, "a", RequestClass::Counter, now + Duration::from_secs(5));
    let error = queue.push(soon, now).expect_err("12 seconds of work wait");
    assert!(
        matches!(error, QueueError::DeadlineUnreachable { ahead: 12, .. }),
        "{error}"
    );
    assert!(error.retry_at() >= now + Duration::from_secs(10));
}

#[test]
fn idle_time_does_not_lower_the_drain_rate() {
    let start = Instant::now();
    let mut queue = FairQueue::default();
    let mut id = 0;
    // Every hour, three requests arrive at once and are served within 3 ms.
    for hour in 0..8 {
        let now = start + Duration::from_secs(3_600 * hour);
        for _ in 0..3 {
            id += 1;
            let late = now + Duration::from_secs(2);
            queue
                .push(ticket(id, "a", RequestClass::Counter, late), now)
                .expect("room");
        }
        for step in 0..3 {
            let now = now + Duration::from_millis(step);
            assert!(queue.pop(RequestClass::Counter, now).is_some());
        }
    }
}

#[test]
fn expired_and_cancelled_requests_are_removed() {
    let now = Instant::now();
    let soon = now + Duration::from_secs(1);
    let mut queue = FairQueue::default();
    for id in 0..4 {
        queue
            .push(ticket(id, "a", RequestClass::Counter, soon), now)
            .expect("room");
    }
    assert!(queue.cancel(2));
    assert!(!queue.cancel(2));
    assert_eq!(queue.expire(soon).len(), 3);
    assert!(queue.is_empty());
    queue
        .push(ticket(9, "a", RequestClass::Counter, soon), now)
        .expect("room");
    assert_eq!(drain(&mut queue, now), [9]);
}

#[test]
fn retry_budget_allows_one_retry_per_twenty_requests() {
    let mut budget = RetryBudget::default();
    while budget.try_withdraw() {}
    for _ in 0..100 {
        budget.deposit();
    }
    let mut retries = 0;
    while budget.try_withdraw() {
        retries += 1;
    }
    assert_eq!(retries, 5);
}
