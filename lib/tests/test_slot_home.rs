//! Slot leases between a home and its routers, case by case.

use std::time::Duration;
use std::time::Instant;

use jujuberoad::health::TargetHealth;
use jujuberoad::slots::SLOT_LEASE_MS;
use jujuberoad::slots::SlotGrant;
use jujuberoad::slots::SlotHome;
use jujuberoad::slots::SlotLease;
use jujuberoad::slots::SlotRefusal;
use jujuberoad::slots::SlotRequest;

const COLD_LIMIT: u32 = 2;
const WARM_LIMIT: u32 = 8;

struct HomeCase {
    origin: Instant,
    home: SlotHome,
}

impl HomeCase {
    fn new(is_cold: bool, takes_over: bool) -> Self {
        let origin = Instant::now();
        let mut home = SlotHome::new("g".into(), 1, takes_over, origin);
        home.set_limits(WARM_LIMIT, COLD_LIMIT, 1);
        let until = origin + Duration::from_secs(60);
        home.set_health(if is_cold {
            TargetHealth::Cold { until }
        } else {
            TargetHealth::Warm { until }
        });
        Self { origin, home }
    }

    fn at(&self, ms: u64) -> Instant {
        self.origin + Duration::from_millis(ms)
    }

    fn request_slots(&mut self, lease: &mut SlotLease, wanted: u32, ms: u64) -> SlotGrant {
        let now = self.at(ms);
        let request = lease.next_request(1, wanted, now);
        self.home
            .handle_request(&request, now)
            .expect("a newer request is answered")
    }
}

fn lease(router: &str) -> SlotLease {
    SlotLease::new("g".into(), router.into(), 1)
}

fn initial_request(router: &str, number: u64, wanted: u32) -> SlotRequest {
    SlotRequest {
        target: "g".into(),
        router: router.into(),
        incarnation: 1,
        epoch: 1,
        number,
        in_use: 0,
        holding: 0,
        wanted,
        is_to_standby: false,
    }
}

#[test]
fn slots_stay_charged_when_a_smaller_grant_is_lost() {
    let mut case = HomeCase::new(true, false);
    let (mut first, mut second) = (lease("r1"), lease("r2"));
    let grant = case.request_slots(&mut first, 2, 0);
    assert!(first.apply(&grant));
    assert_eq!(case.request_slots(&mut second, 2, 50).slots, 0);
    // The next grant is smaller and is lost in transit, so r1 still acts on the first.
    let lost = case.request_slots(&mut first, 2, 100);
    assert_eq!(lost.slots, 1);
    assert!(first.acquire(1, case.at(150)).is_some());
    assert!(first.acquire(1, case.at(150)).is_some());
    // Both requests are still in progress when the first grant expires.
    let grant = case.request_slots(&mut second, 2, SLOT_LEASE_MS + 50);
    assert_eq!(grant.slots, 0);
}

#[test]
fn superseded_grant_is_not_applied() {
    let mut case = HomeCase::new(true, false);
    let (mut first, mut second) = (lease("r1"), lease("r2"));
    let late = case.request_slots(&mut first, 2, 0);
    // The router sends another request before the grant arrives, which voids that grant.
    let newer = case.request_slots(&mut first, 0, 100);
    assert!(!first.apply(&late));
    assert!(first.apply(&newer));
    assert!(first.acquire(1, case.at(150)).is_none());
    assert_eq!(case.request_slots(&mut second, 2, 200).slots, 2);
}

#[test]
fn silent_router_is_charged_until_a_later_load_report() {
    let mut case = HomeCase::new(true, false);
    let (mut first, mut second) = (lease("r1"), lease("r2"));
    let grant = case.request_slots(&mut first, 2, 0);
    assert!(first.apply(&grant));
    let late = SLOT_LEASE_MS + 500;
    assert_eq!(case.request_slots(&mut second, 2, late).slots, 0);
    // A load sampled before the router's lease expired may miss its later requests.
    case.home.observe_load(0, case.at(100), case.at(late + 10));
    assert_eq!(case.request_slots(&mut second, 2, late + 20).slots, 0);
    case.home
        .observe_load(1, case.at(late + 100), case.at(late + 110));
    assert_eq!(case.request_slots(&mut second, 2, late + 120).slots, 1);
}

#[test]
fn new_home_of_a_cold_target_waits_for_older_grants() {
    let mut case = HomeCase::new(true, true);
    let mut first = lease("r1");
    assert_eq!(
        case.request_slots(&mut first, 2, 100).refusal,
        Some(SlotRefusal::TakingOver)
    );
    case.home.observe_load(0, case.at(3_900), case.at(3_950));
    assert_eq!(
        case.request_slots(&mut first, 2, 3_990).refusal,
        Some(SlotRefusal::TakingOver)
    );
    assert_eq!(
        case.request_slots(&mut first, 2, 4_100).refusal,
        Some(SlotRefusal::TakingOver)
    );
    case.home.observe_load(1, case.at(4_200), case.at(4_250));
    assert_eq!(case.request_slots(&mut first, 2, 4_300).slots, 1);
}

#[test]
fn new_home_of_a_warm_target_grants_at_once() {
    let mut case = HomeCase::new(false, true);
    assert_eq!(case.request_slots(&mut lease("r1"), 3, 10).slots, 3);
}

#[test]
fn out_of_order_request_gets_no_answer() {
    let mut case = HomeCase::new(false, false);
    let now = case.at(10);
    assert!(
        case.home
            .handle_request(&initial_request("r1", 2, 1), now)
            .is_some()
    );
    assert!(
        case.home
            .handle_request(&initial_request("r1", 1, 5), now)
            .is_none()
    );
    assert!(
        case.home
            .handle_request(&initial_request("r1", 2, 5), now)
            .is_none()
    );
}

#[test]
fn request_with_another_epoch_is_refused() {
    let mut case = HomeCase::new(false, false);
    let request = SlotRequest {
        epoch: 2,
        ..initial_request("r1", 1, 1)
    };
    let grant = case
        .home
        .handle_request(&request, case.at(10))
        .expect("an answer");
    assert_eq!(
        (grant.slots, grant.refusal),
        (0, Some(SlotRefusal::NotHome))
    );
}

#[test]
fn slots_are_divided_between_competing_routers() {
    let mut case = HomeCase::new(false, false);
    let (mut first, mut second) = (lease("r1"), lease("r2"));
    let grant = case.request_slots(&mut first, WARM_LIMIT, 0);
    assert_eq!(grant.slots, WARM_LIMIT);
    assert!(first.apply(&grant));
    assert_eq!(case.request_slots(&mut second, WARM_LIMIT, 10).slots, 0);
    let grant = case.request_slots(&mut first, WARM_LIMIT, 20);
    assert!(first.apply(&grant));
    assert_eq!(grant.slots, WARM_LIMIT / 2);
    let _ = case.request_slots(&mut first, WARM_LIMIT, 30);
    assert_eq!(
        case.request_slots(&mut second, WARM_LIMIT, 40).slots,
        WARM_LIMIT / 2
    );
}

#[test]
fn idle_router_returns_all_slots() {
    let mut case = HomeCase::new(true, false);
    let (mut first, mut second) = (lease("r1"), lease("r2"));
    let grant = case.request_slots(&mut first, 2, 0);
    assert!(first.apply(&grant));
    assert!(first.acquire(1, case.at(10)).is_some());
    first.release();
    // It sends requests until the home charges it no slots, and then stops.
    let mut ms = 0;
    for _ in 0..5 {
        ms += 250;
        if first.is_renewal_due(case.at(ms)) {
            let grant = case.request_slots(&mut first, 0, ms);
            assert!(first.apply(&grant));
        }
    }
    assert!(!first.is_renewal_due(case.at(ms + 250)));
    assert_eq!(case.home.charge(), 0);
    assert_eq!(case.request_slots(&mut second, 2, ms + 5_000).slots, 2);
}

#[test]
fn slot_is_returned_when_its_request_outlives_the_grant() {
    let mut case = HomeCase::new(true, false);
    let (mut first, mut second) = (lease("r1"), lease("r2"));
    let grant = case.request_slots(&mut first, 2, 0);
    assert!(first.apply(&grant));
    assert!(first.acquire(1, case.at(10)).is_some());
    let grant = case.request_slots(&mut first, 0, 250);
    // The home grants no more slots while one request is still in progress.
    let refusal = Some(SlotRefusal::Full);
    assert!(first.apply(&SlotGrant {
        slots: 0,
        refusal,
        ..grant
    }));
    first.release();
    assert!(first.is_renewal_due(case.at(500)));
    let grant = case.request_slots(&mut first, 0, 500);
    assert!(first.apply(&grant));
    assert_eq!(case.home.charge(), 0);
    assert!(!first.is_renewal_due(case.at(900)));
    assert_eq!(case.request_slots(&mut second, 2, 5_000).slots, 2);
}
