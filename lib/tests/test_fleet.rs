//! Tests of endpoint state, fleet-wide limits, target choice and order authority.

mod testutils;

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use insta::assert_snapshot;
use jujuberoad::fleet::AvoidList;
use jujuberoad::fleet::EndpointLoad;
use jujuberoad::fleet::EndpointRecord;
use jujuberoad::fleet::EndpointState;
use jujuberoad::fleet::EndpointTable;
use jujuberoad::fleet::EngineReport;
use jujuberoad::fleet::GroupIndex;
use jujuberoad::fleet::GroupKey;
use jujuberoad::fleet::GroupMembership;
use jujuberoad::fleet::LoadTable;
use jujuberoad::fleet::MemberFault;
use jujuberoad::fleet::MemberState;
use jujuberoad::fleet::OrderAuthority;
use jujuberoad::fleet::PoolKey;
use jujuberoad::fleet::ProbeBackoff;
use jujuberoad::fleet::QuotaDivider;
use jujuberoad::fleet::RateLimits;
use jujuberoad::fleet::RetryAllowance;
use jujuberoad::fleet::SendPacer;
use jujuberoad::fleet::ServingTarget;
use jujuberoad::fleet::StallDetector;
use jujuberoad::fleet::TargetPicker;
use jujuberoad::fleet::TargetTable;
use jujuberoad::fleet::check_endpoint_name;
use jujuberoad::ids::RouterId;
use jujuberoad::serving::EngineProfile;
use jujuberoad::serving::ServiceProfile;
use jujuberoad::serving::ServingConfig;
use jujuberoad::serving::TrafficLimits;
use testutils::draw;
use testutils::for_seeds;
use testutils::replica_sim::model;

fn key(group: &str) -> GroupKey {
    GroupKey {
        group: group.into(),
        epoch: 1,
    }
}

fn member(id: &str, group: &str, rank: usize, state: MemberState) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        incarnation: 1,
        service: "engines".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z1".into(),
        domain: "d1".into(),
        slots: 8,
        state: EndpointState::Ready,
        cold_until: None,
        membership: Some(GroupMembership {
            key: key(group),
            rank,
            state,
        }),
        model: Some("m".into()),
        staged: vec!["m".into()],
        entry_writes: 1,
        has_newer_report: false,
        version: "v1".into(),
    }
}

fn config(size: usize) -> ServingConfig {
    let engine = EngineProfile {
        slots: 8,
        models: vec![model("m", size, 1.0, 10_000, 1_000)],
        ..EngineProfile::default()
    };
    let service = ServiceProfile {
        name: "engines".into(),
        engine: Some(engine),
        ..ServiceProfile::default()
    };
    ServingConfig::new(1, Vec::new(), vec![service], None, TrafficLimits::default())
}

fn targets(table: &EndpointTable, out: &[&str]) -> Vec<String> {
    targets_at(table, out, Instant::now())
}

fn targets_at(table: &EndpointTable, out: &[&str], now: Instant) -> Vec<String> {
    let config = config(2);
    let groups = GroupIndex::build(table, &config, now);
    let out: BTreeSet<_> = out.iter().map(|zone| (*zone).into()).collect();
    let targets = TargetTable::build(table, &groups, &config, &out);
    let pool = PoolKey {
        service: "engines".into(),
        model: Some("m".into()),
    };
    targets
        .pool(&pool)
        .iter()
        .map(|target| target.endpoint.to_string())
        .collect()
}

#[test]
fn only_whole_open_groups_take_requests() {
    let whole = [
        member("a", "g", 0, MemberState::Open),
        member("b", "g", 1, MemberState::Ready),
    ];
    let mut lines = Vec::new();
    let mut note = |what: &str, records: &[EndpointRecord], out: &[&str]| {
        let mut table = EndpointTable::default();
        table.replace_all(records.to_vec(), None);
        lines.push(format!("{what}: {:?}", targets(&table, out)));
    };
    note("whole", &whole, &[]);
    note("zone out", &whole, &["z1"]);
    note("member missing", &whole[..1], &[]);
    note("head missing", &whole[1..], &[]);
    let mut records = whole.clone();
    records[1].state = EndpointState::Draining;
    note("member leaving", &records, &[]);
    let mut records = whole.clone();
    records[1] = member("b", "g", 1, MemberState::Joining);
    note("member joining", &records, &[]);
    let mut records = whole.clone();
    records[1] = member("b", "other", 1, MemberState::Ready);
    note("member elsewhere", &records, &[]);
    let mut records = whole;
    records[0] = member("a", "g", 0, MemberState::Closing);
    note("head closing", &records, &[]);
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn entries_that_expired_in_an_outage_are_kept_for_a_grace_period() {
    let now = Instant::now();
    let grace = now + Duration::from_secs(2);
    let mut table = EndpointTable::default();
    table.upsert(member("a", "g", 0, MemberState::Open));
    table.upsert(member("b", "g", 1, MemberState::Ready));
    table.replace_all(vec![member("a", "g", 0, MemberState::Open)], Some(grace));
    assert_eq!(table.len(), 2);
    assert!(!table.expire(now));
    table.upsert(member("b", "g", 1, MemberState::Ready));
    assert!(!table.expire(grace));
    table.remove("a", Some(grace));
    assert!(table.expire(grace));
    assert_eq!(table.len(), 1);
}

#[test]
fn a_report_overrides_an_entry_written_before_it() {
    let mut table = EndpointTable::default();
    table.upsert(member("a", "old", 0, MemberState::Ready));
    let report = EngineReport {
        incarnation: 1,
        membership: Some(GroupMembership {
            key: key("new"),
            rank: 0,
            state: MemberState::Open,
        }),
        model: Some("m".into()),
        ..EngineReport::default()
    };
    // While the registry is readable, a report may be older than the entry. The entry is
    // not written again, so the outdated group from the report would persist.
    assert!(!table.apply_report("a", report.clone()));
    table.set_registry_unavailable(true);
    assert!(table.apply_report("a", report.clone()));
    let group = |table: &EndpointTable| {
        let record = table.get("a").expect("an endpoint");
        let membership = record.membership.as_ref();
        membership.map(|joined| joined.key.group.to_string())
    };
    // The same entry is read again after an outage.
    table.upsert(member("a", "old", 0, MemberState::Ready));
    assert_eq!(group(&table).as_deref(), Some("new"));
    // The entry is written again.
    let mut entry = member("a", "third", 0, MemberState::Ready);
    entry.entry_writes = 2;
    table.upsert(entry);
    assert_eq!(group(&table).as_deref(), Some("third"));
    // Another incarnation under the same name.
    let other_life = EngineReport {
        incarnation: 2,
        ..report
    };
    assert!(!table.apply_report("a", other_life));
}

/// The retries of all routers in any window stay within the limit for that window, for
/// any distribution of requests over routers.
#[test]
fn retries_of_all_routers_stay_within_the_shared_limit() {
    const WINDOW_MS: u64 = 10_000;
    for_seeds(200, 4_000, |u| {
        let start = Instant::now();
        let routers = draw(u, 1, 6)? as usize;
        let (ratio, fixed) = (0.2, draw(u, 0, 120)? as f64);
        let mut shares = vec![RetryAllowance::new(WINDOW_MS, ratio, fixed); routers];
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        let mut at_ms = 0;
        for _ in 0..400 {
            at_ms += draw(u, 0, 120)?;
            let now = start + Duration::from_millis(at_ms);
            let router = draw(u, 0, routers as u64 - 1)? as usize;
            if draw(u, 0, 2)? > 0 {
                shares[router].observe_request(now);
                requests.push(at_ms);
            } else if shares[router].try_take(routers, now) {
                retries.push(at_ms);
            }
        }
        for end in &retries {
            let inside = |at: &&u64| **at <= *end && **at + WINDOW_MS > *end;
            let made = requests.iter().filter(inside).count() as f64;
            let taken = retries.iter().filter(inside).count() as f64;
            assert!(
                taken <= ratio * made + fixed,
                "{taken} of {made} at {end} ms"
            );
        }
        Ok(())
    });
}

#[test]
fn a_stall_of_all_streams_is_detected_in_time() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut detector = StallDetector::new(start);
    assert_eq!(detector.stall_deadline(), None);
    detector.stream_started(at(0));
    // A full batch sends events every 50 ms, two per step.
    for pass in 1..40 {
        detector.observe_event(at(pass * 50));
        detector.observe_event(at(pass * 50 + 1));
    }
    let stall_deadline = detector.stall_deadline().expect("a running stream");
    let silence = stall_deadline - at(39 * 50 + 1);
    // Gaps of 200 to 300 ms meet the objectives; the prefill of a long prompt adds 45 ms.
    assert!(silence >= Duration::from_millis(95), "{silence:?}");
    assert!(silence <= Duration::from_millis(200), "{silence:?}");
    detector.stream_ended();
    assert_eq!(detector.stall_deadline(), None);
}

fn target(id: &str, zone: &str) -> ServingTarget {
    ServingTarget {
        endpoint: id.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.into(),
        group: None,
        members: Vec::new(),
        slots: 4,
        cold_until: None,
        cold_requests_per_second: 0.0,
        prefill_ms_per_token: 0.02,
        event_interval_ms: 40.0,
        event_interval_ms_per_request: 0.5,
    }
}

/// Concurrent requests never exceed the slots of a target, pending prefill weighs more
/// than running answers, and a target in the own zone wins a tie.
#[test]
fn the_target_with_the_soonest_first_event_is_picked() {
    let targets = [target("far", "z2"), target("near", "z1")];
    let mut loads = LoadTable::default();
    let now = Instant::now();
    let pick = |loads: &LoadTable| {
        let picker = TargetPicker {
            loads,
            zone: "z1",
            avoided: &|_| false,
            bound: &|target| target.slots,
            queue_limit: 0,
            now,
        };
        picker
            .pick(&targets, || 0.5)
            .map(|target| target.endpoint.to_string())
    };
    let mut order = Vec::new();
    while let Some(endpoint) = pick(&loads) {
        loads.begin_request(&endpoint.as_str().into(), 1_000);
        order.push(endpoint);
    }
    assert_snapshot!(order.join(" "), @"near far near far near far near far");
    // The load of a peer counts until its report expires.
    let mut loads = LoadTable::default();
    let full = EndpointLoad {
        requests: 4,
        pending_prefill_tokens: 0,
    };
    let until = now + Duration::from_millis(500);
    loads.observe_peer("r2".into(), vec![("near".into(), full)], now, until);
    assert_eq!(pick(&loads).as_deref(), Some("far"));
    loads.expire(until);
    assert_eq!(pick(&loads).as_deref(), Some("near"));
}

#[test]
fn orders_are_given_under_a_lease_or_while_nobody_can_take_the_lock() {
    let at = Duration::from_millis;
    let mut authority = OrderAuthority::default();
    authority.lease_renewed(at(2_000));
    assert_eq!(authority.current(at(0)), None);
    authority.lock_acquired(7);
    let mut lines = Vec::new();
    let mut note = |what: &str, authority: &OrderAuthority, now: u64| {
        lines.push(format!("{what}: {:?}", authority.current(at(now))));
    };
    note("leased", &authority, 1_999);
    note("woken from a freeze", &authority, 2_000);
    let mut away = authority.clone();
    away.store_failed(at(1_900));
    note("store away", &away, 4_800);
    note("suspended while the store was away", &away, 9_000);
    let mut suspended = away.clone();
    suspended.store_failed(at(9_000));
    note("a call fails after the suspension", &suspended, 9_000);
    for now in (4_000..=9_000).step_by(1_000) {
        away.store_failed(at(now));
    }
    note("calls keep failing", &away, 9_000);
    let mut overtaken = away.clone();
    overtaken.observe_peer_fence(6);
    note("a peer with a lower fence", &overtaken, 9_000);
    overtaken.observe_peer_fence(8);
    note("a peer with a higher fence", &overtaken, 9_000);
    overtaken.lease_renewed(at(12_000));
    note("its lease holds again", &overtaken, 9_000);
    let mut refused = away.clone();
    refused.revoke(7);
    note("refused by an engine", &refused, 9_000);
    refused.lock_lost();
    refused.lock_acquired(9);
    note("the lock won anew", &refused, 9_000);
    away.lease_expired();
    note("lapsed by the store's word", &away, 9_000);
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn authority_is_handed_over_only_while_the_store_is_unreachable() {
    let at = Duration::from_millis;
    let mut successor = OrderAuthority::default();
    successor.lease_renewed(at(2_000));
    assert!(!successor.take_over(7));
    successor.store_failed(at(1_900));
    assert!(successor.take_over(7));
    assert_eq!(successor.current(at(4_800)), Some(7));
    // A failed call shows for 3 s that the store is unreachable.
    successor.store_failed(at(4_800));
    assert_eq!(successor.current(at(7_700)), Some(7));
    assert_eq!(successor.current(at(9_000)), None);
    // A repeated or older handover message has no effect.
    assert!(!successor.take_over(7) && !successor.take_over(6));
    // Once the store responds and shows the lock as lost, the lease alone gives no authority.
    let mut returned = successor.clone();
    returned.lock_lost();
    returned.lease_renewed(at(12_000));
    assert_eq!(returned.current(at(10_000)), None);
    // An engine has seen a higher fence.
    successor.revoke(7);
    assert_eq!(successor.current(at(7_700)), None);
    assert!(!successor.take_over(7));
}

fn dividers(count: usize, now: Instant) -> Vec<QuotaDivider> {
    let ids: Vec<RouterId> = (0..count).map(|index| format!("r{index}").into()).collect();
    let divider = |own: &RouterId| {
        let mut divider = QuotaDivider::new(own.clone(), 10_000);
        ids.iter().for_each(|id| divider.add(id));
        divider.list_read(now);
        divider
    };
    ids.iter().map(divider).collect()
}

/// A zone recovers with cold endpoints while there are more routers than requests per
/// second that a cold endpoint may get. Shares that are all rounded down would leave the
/// endpoint idle while it is cold.
#[test]
fn router_shares_add_up_to_the_cold_rate() {
    let now = Instant::now();
    let settled = now + Duration::from_secs(2);
    for (count, rate) in [(1, 14.0), (5, 14.0), (31, 14.0), (380, 14.0), (31, 0.0)] {
        let dividers = dividers(count, now);
        for endpoint in ["e1", "e2", "e3"] {
            let shares = dividers
                .iter()
                .map(|divider| divider.share_of(endpoint, rate, settled));
            assert_eq!(shares.sum::<u32>(), rate as u32, "{count} routers");
        }
    }
    // Different routers get the remainder for different endpoints.
    let dividers = dividers(31, now);
    let serving = |endpoint: &str| -> Vec<u32> {
        let shares = dividers.iter();
        shares
            .map(|divider| divider.share_of(endpoint, 14.0, settled))
            .collect()
    };
    assert_ne!(serving("e1"), serving("e2"));
}

/// All router entries expire at once when leases run out during a store outage. The limit
/// on the sum over all routers must not grow because of it.
#[test]
fn routers_that_leave_the_list_count_until_the_window_ends() {
    let now = Instant::now();
    let mut divider = dividers(31, now).remove(0);
    assert_eq!(divider.share_of("e1", 1_000.0, now), 0);
    assert!(divider.router_count(now) > 31);
    let lapsed = now + Duration::from_secs(5);
    assert_eq!(divider.router_count(lapsed), 31);
    for index in 0..31 {
        divider.remove(&format!("r{index}"), lapsed);
    }
    assert_eq!(divider.router_count(lapsed + Duration::from_secs(9)), 31);
    assert_eq!(divider.router_count(lapsed + Duration::from_secs(11)), 1);
}

#[test]
fn requests_to_a_cold_endpoint_stay_within_its_rate() {
    for_seeds(100, 400, |u| {
        let mut pacer = SendPacer::default();
        let start = Instant::now();
        let divider = dividers(1, start).remove(0);
        let start = start + Duration::from_secs(2);
        let limits = RateLimits {
            cold_per_second: Some(3.0),
            named: None,
        };
        let mut now = start;
        let mut sends = Vec::new();
        for _ in 0..200 {
            now += Duration::from_millis(draw(u, 1, 60)?);
            if pacer.may_send(&"e1".into(), limits, &divider, now) {
                pacer.record_send(&"e1".into(), now);
                sends.push(now);
            }
        }
        for (index, first) in sends.iter().enumerate() {
            let inside = sends[index..]
                .iter()
                .filter(|at| **at < *first + Duration::from_secs(1));
            assert!(inside.count() <= 3);
        }
        Ok(())
    });
}

/// One slow host slows down its whole group. It responds to every probe, so only its
/// report distinguishes it from the other members.
#[test]
fn probes_distinguish_slow_and_moved_members() {
    let group = key("g");
    let report = |joined: &str, step_time_percent: u32| EngineReport {
        membership: Some(GroupMembership {
            key: key(joined),
            rank: 1,
            state: MemberState::Ready,
        }),
        step_time_percent,
        ..EngineReport::default()
    };
    let judge = |report: &EngineReport| MemberFault::from_report(report, Some(&group));
    assert_eq!(judge(&report("g", 130)), None);
    let slow = judge(&report("g", 400)).expect("a fault");
    let moved = judge(&report("h", 400)).expect("a fault");
    let alone = judge(&EngineReport::default()).expect("a fault");
    assert_snapshot!(format!("{slow}; {moved}; {alone}"), @"step time is 400% of nominal; is in group h@1; is in no group");
    assert!(moved.precedence() < slow.precedence());
}

#[test]
fn repeated_probes_back_off() {
    let start = Instant::now();
    let mut backoff = ProbeBackoff::new(start);
    let mut probes = Vec::new();
    for ms in (0..10_000).step_by(20) {
        let now = start + Duration::from_millis(ms);
        if backoff.is_due(now) {
            backoff.record_probe(now);
            probes.push(ms.to_string());
        }
    }
    assert_snapshot!(probes.join(" "), @"0 260 760 1760 3760 5760 7760 9760");
    // After a period without probes, the delay starts over.
    let later = start + Duration::from_secs(20);
    backoff.record_probe(later);
    assert!(backoff.is_due(later + Duration::from_millis(250)));
}

/// A router that has just started cannot distinguish an endpoint that is gone from one
/// whose entry expired during a registry outage.
#[test]
fn open_groups_with_a_majority_serve_until_the_registry_settles() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.set_settles_at(now + Duration::from_secs(2));
    table.upsert(member("a", "g", 0, MemberState::Open));
    assert_eq!(targets_at(&table, &[], now), Vec::<String>::new());
    table.upsert(member("c", "h", 1, MemberState::Ready));
    assert_eq!(targets_at(&table, &[], now), Vec::<String>::new());
    table.upsert(member("b", "g", 1, MemberState::Ready));
    assert_eq!(targets_at(&table, &[], now), ["a"]);
    let engines: Vec<_> = ["d", "e", "f"].into_iter().enumerate().collect();
    for (rank, id) in engines {
        let state = if rank == 0 {
            MemberState::Open
        } else {
            MemberState::Ready
        };
        table.upsert(member(id, "i", rank, state));
    }
    let config = config(4);
    let serving = |now: Instant| {
        let groups = GroupIndex::build(&table, &config, now);
        groups.groups[&key("i")].is_serving()
    };
    assert!(serving(now));
    assert!(!serving(now + Duration::from_secs(2)));
}

/// If many hosts are slow at once, excluding all of them would leave too few.
#[test]
fn only_a_fraction_of_endpoints_is_avoided_for_being_slow() {
    let now = Instant::now();
    let until = now + Duration::from_secs(3);
    let mut list = AvoidList::default();
    let ids: Vec<_> = (0..8).map(|index| format!("e{index}").into()).collect();
    let marked: Vec<bool> = ids
        .iter()
        .map(|id| list.mark_slow(id, ids.len(), now, until))
        .collect();
    assert_eq!(marked.iter().filter(|is_marked| **is_marked).count(), 2);
    assert_eq!(list.endpoints(now).len(), 2);
    assert!(list.endpoints(until).is_empty());
}

/// Guards against endpoints whose names change on their way through URLs, headers or logs, and
/// against sound ones that are left out.
#[test]
fn endpoint_names_are_checked() {
    let longest = "n".repeat(200);
    let sound = [
        "i-7f3a91c2",
        "I_1.b-2~c",
        "7",
        "host.example:8080",
        "worker@host",
        &longest,
    ];
    for name in sound {
        assert_eq!(check_endpoint_name(name), Ok(()), "{name:?}");
    }
    let invalid = [
        "", "..", "-", "i-1/2", "i 1", "i+1", "i&1", "i\n", "i\0", "\u{e9}1",
    ];
    let reasons = invalid.map(|name| match check_endpoint_name(name) {
        Ok(()) => format!("{name:?}: sound"),
        Err(error) => format!("{name:?}: {error}"),
    });
    assert_snapshot!(reasons.join("\n"), @r#"
    "": the name has neither a letter nor a digit
    "..": the name has neither a letter nor a digit
    "-": the name has neither a letter nor a digit
    "i-1/2": the name has the character '/'
    "i 1": the name has the character ' '
    "i+1": the name has the character '+'
    "i&1": the name has the character '&'
    "i\n": the name has the character '\n'
    "i\0": the name has the character '\0'
    "é1": the name has the character 'é'
    "#);
}
