//! Measures how the time of single decisions and the size of records grow with the fleet,
//! for capacity planning.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::claims::ClaimAnswer;
use jujuberoad::claims::ClaimEntry;
use jujuberoad::claims::ClaimKey;
use jujuberoad::claims::ClaimPage;
use jujuberoad::claims::MAX_PAGE_ENTRIES;
use jujuberoad::health::EnginePhase;
use jujuberoad::health::MemberReport;
use jujuberoad::health::TargetHealth;
use jujuberoad::membership::HomeTable;
use jujuberoad::outcome::Outcome;
use jujuberoad::peer::PeerMessage;
use jujuberoad::routing::ChoiceHint;
use jujuberoad::routing::PrefixChooser;
use jujuberoad::routing::TargetChooser;
use jujuberoad::routing::TargetLoad;
use jujuberoad::slots::SlotGrant;
use jujuberoad::slots::SlotHome;
use jujuberoad::slots::SlotRequest;
use jujuberoad::slots::TargetState;
use smol_str::format_smolstr;

use super::fleet_fixture::FleetFixture;
use super::propagation_bench::frame_bytes;
use super::propagation_bench::router_list;

/// Minimum time for which each operation is repeated.
const MEASUREMENT_TIME: Duration = Duration::from_millis(150);

/// Returns a table of the time of each decision at three sizes and the encoded size of
/// records.
pub fn scaling_bench() -> String {
    let mut text = String::from("decision                          size   us each\n");
    for routers in [5, 50, 380] {
        write_time_row(
            &mut text,
            "home of one target, by routers",
            routers,
            home_lookup_us(routers),
        );
    }
    for holders in [3, 27, 380] {
        write_time_row(
            &mut text,
            "slot request at home, by routers",
            holders,
            slot_request_us(holders),
        );
    }
    for groups in [3, 12, 111] {
        write_time_row(
            &mut text,
            "choice of a group, by groups",
            groups,
            group_choice_us(groups),
        );
    }
    let mut records = String::from("\nrecord                            size     bytes\n");
    for vm_count in [30, 120, 890] {
        let fleet = FleetFixture::new(vm_count);
        write_time_row(
            &mut text,
            "configuration parsed, by VMs",
            vm_count,
            fleet.parse_us(),
        );
        write_time_row(
            &mut text,
            "table of targets built, by VMs",
            vm_count,
            fleet.route_table_us(),
        );
        write_time_row(
            &mut text,
            "zone planned, by VMs of fleet",
            vm_count,
            fleet.plan_us(),
        );
        write_size_row(
            &mut records,
            "configuration, by VMs",
            vm_count,
            fleet.config_bytes(),
        );
        write_size_row(
            &mut records,
            "placement of a zone, by VMs",
            vm_count,
            fleet.placement_bytes(),
        );
    }
    for routers in [5, 50, 380] {
        let bytes = serde_json::to_vec(&router_list(routers)).map_or(0, |bytes| bytes.len());
        write_size_row(&mut records, "list of routers", routers, bytes);
    }
    write_size_row(
        &mut records,
        "slot request and grant",
        1,
        slot_exchange_bytes(),
    );
    write_size_row(
        &mut records,
        "report of an engine (JSON)",
        1,
        engine_report_bytes(),
    );
    write_size_row(
        &mut records,
        "page of claims, 128 B answers",
        MAX_PAGE_ENTRIES,
        claim_page_bytes(),
    );
    text + &records
}

fn write_time_row(text: &mut String, name: &str, size: usize, us: f64) {
    let _ = writeln!(text, "{name:<32} {size:>5}  {us:>8.2}");
}

fn write_size_row(text: &mut String, name: &str, size: usize, bytes: usize) {
    let _ = writeln!(text, "{name:<32} {size:>5}  {bytes:>8}");
}

/// Repeats `operation` and returns its mean time in microseconds.
pub(super) fn mean_time_us(mut operation: impl FnMut()) -> f64 {
    let started_at = Instant::now();
    let mut count = 0_u64;
    while started_at.elapsed() < MEASUREMENT_TIME {
        operation();
        count += 1;
    }
    started_at.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn home_lookup_us(routers: usize) -> f64 {
    let list = router_list(routers);
    let table = HomeTable::new(&list);
    let mut number = 0_u64;
    mean_time_us(|| {
        number += 1;
        std::hint::black_box(table.home(&format!("group-{}", number % 111), "z1"));
    })
}

fn slot_request(router: usize, number: u64) -> SlotRequest {
    SlotRequest {
        target: "region-1-zone-1-g17".into(),
        router: format_smolstr!("router-{router:03}"),
        incarnation: u64::MAX,
        epoch: 1_000,
        number,
        in_use: 1,
        holding: 1,
        wanted: 1,
        is_to_standby: false,
    }
}

fn slot_request_us(holders: usize) -> f64 {
    let origin = Instant::now();
    let mut home = SlotHome::new("region-1-zone-1-g17".into(), 1_000, false, origin);
    home.set_limits(64, 2, 1);
    home.set_health(TargetHealth::Warm {
        until: origin + Duration::from_secs(3_600),
    });
    let (mut router, mut number) = (0, 1);
    mean_time_us(|| {
        std::hint::black_box(home.handle_request(&slot_request(router, number), origin));
        router += 1;
        if router == holders {
            router = 0;
            number += 1;
        }
    })
}

fn group_choice_us(groups: usize) -> f64 {
    let loads: Vec<TargetLoad> = (0..groups)
        .map(|index| TargetLoad {
            target: format_smolstr!("region-1-zone-1-g{index}"),
            is_same_zone: index % 10 == 0,
            state: TargetState::Warm,
            spare: index as u32 % 3,
            free: index as u32 % 20,
            in_use: 3,
            slots: 64,
        })
        .collect();
    let mut prefix = 0;
    mean_time_us(|| {
        prefix += 1;
        std::hint::black_box(PrefixChooser.rank(
            &loads,
            &ChoiceHint {
                prefix: Some(prefix),
            },
        ));
    })
}

/// Returns the encoded size of a slot request and its grant.
fn slot_exchange_bytes() -> usize {
    let grant = SlotGrant {
        target: "region-1-zone-1-g17".into(),
        epoch: 1_000,
        number: 100_000,
        slots: 3,
        valid_ms: 1_000,
        generation: 40,
        is_cold: false,
        free: 20,
        refusal: None,
    };
    let request = frame_bytes(PeerMessage::SlotRequest(slot_request(300, 100_000)));
    request + frame_bytes(PeerMessage::SlotGrant(grant))
}

fn engine_report_bytes() -> usize {
    let report = MemberReport {
        vm: "region-1-zone-1-080".into(),
        incarnation: u64::MAX,
        group: "region-1-zone-1-g17".into(),
        generation: 40,
        model: "modelo-secado".into(),
        version: "2026-11".into(),
        phase: EnginePhase::Warm,
        in_flight: 60,
        age_ms: 100,
        fence: 12,
    };
    serde_json::to_vec(&report).map_or(0, |bytes| bytes.len())
}

fn claim_page_bytes() -> usize {
    let mut page = ClaimPage::default();
    for index in 0..MAX_PAGE_ENTRIES {
        let answer = ClaimAnswer {
            outcome: Outcome::Answered,
            status: 201,
            body: vec![b'x'; 128],
            is_truncated: false,
        };
        let key = ClaimKey::from_parts("team", "service", &index.to_string());
        page.entries.insert(
            key,
            ClaimEntry {
                nonce: u64::MAX,
                answer: Some(answer),
            },
        );
    }
    postcard::to_stdvec(&page).map_or(0, |bytes| bytes.len())
}
