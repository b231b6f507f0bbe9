//! The bytes that routers send to each other, which other builds have to read as well.
//!
//! The snapshots were made by the build of 297c99a. A change of them is a change of the protocol.

use std::collections::BTreeSet;

use insta::assert_snapshot;
use jujuberoad::fleet::EndpointLoad;
use jujuberoad::fleet::EndpointRecord;
use jujuberoad::fleet::EndpointState;
use jujuberoad::fleet::EngineReport;
use jujuberoad::fleet::GroupKey;
use jujuberoad::fleet::GroupMembership;
use jujuberoad::fleet::LimitNotice;
use jujuberoad::fleet::MemberState;
use jujuberoad::fleet::RegistryDelta;
use jujuberoad::peer::PEER_VERSION;
use jujuberoad::peer::PeerDigest;
use jujuberoad::peer::PeerFrame;
use jujuberoad::peer::PeerMessage;
use jujuberoad::peer::PoolWaiting;
use jujuberoad::peer::RelayHead;
use jujuberoad::peer::TargetOutcomes;
use jujuberoad::peer::VersionNote;
use jujuberoad::poison::CrashEvidence;
use jujuberoad::poison::CrashReport;
use jujuberoad::poison::QuarantineNotice;
use jujuberoad::poison::SurvivalReport;

fn membership() -> GroupMembership {
    GroupMembership {
        key: GroupKey {
            group: "g7".into(),
            epoch: 12,
        },
        rank: 1,
        state: MemberState::Open,
    }
}

fn report() -> EngineReport {
    EngineReport {
        incarnation: 1_700_000_000_000,
        membership: Some(membership()),
        model: Some("wide".into()),
        staged: vec!["wide".into(), "slim".into()],
        sequence: 3,
        step_time_percent: 150,
    }
}

fn delta() -> RegistryDelta {
    let record = EndpointRecord {
        id: "i-1".into(),
        incarnation: 1_700_000_000_000,
        service: "engines".into(),
        address: ([10, 1, 0, 40], 7_340).into(),
        zone: "z1".into(),
        domain: "d1".into(),
        slots: 17,
        state: EndpointState::Draining,
        cold_until: None,
        membership: Some(membership()),
        model: Some("wide".into()),
        staged: vec!["wide".into()],
        entry_writes: 5,
        has_newer_report: true,
        version: "v1".into(),
    };
    let now = std::time::Instant::now();
    let written = jujuberoad::fleet::RegistryChange::new(8, "i-1".into(), Some(record), now);
    let removed = jujuberoad::fleet::RegistryChange::new(9, "i-2".into(), None, now);
    RegistryDelta {
        from: 7,
        to: 9,
        changes: vec![written, removed],
    }
}

/// The messages of gateways, by name.
fn messages() -> Vec<(&'static str, PeerMessage)> {
    let load = EndpointLoad {
        requests: 3,
        pending_prefill_tokens: 900,
    };
    let parts = BTreeSet::from(["ab".into(), "cd".into()]);
    let evidence = CrashEvidence {
        crashes: vec![CrashReport {
            endpoint: "i-1".into(),
            parts: vec!["ab".into()],
            reached_at: None,
        }],
        survivals: vec![SurvivalReport {
            part: "cd".into(),
            age_ms: 40,
            ended_early: true,
        }],
    };
    let quarantine = QuarantineNotice {
        parts: parts.clone(),
        crashes: 3,
        valid_ms: 600_000,
    };
    let limit = LimitNotice {
        endpoint: "i-1".into(),
        limit: Some(5_000),
        asked_age_ms: 30,
        answered_age_ms: 10,
    };
    vec![
        (
            "loads",
            PeerMessage::Loads {
                loads: vec![("i-1".into(), load)],
                placer: Some(41),
            },
        ),
        (
            "registry delta",
            PeerMessage::RegistryDelta {
                placer: 41,
                age_ms: 20,
                delta: delta(),
            },
        ),
        (
            "engine reports",
            PeerMessage::EngineReports {
                placer: 41,
                reports: vec![("i-1".into(), report())],
            },
        ),
        ("handover", PeerMessage::Handover { fence: 41 }),
        (
            "group failure",
            PeerMessage::GroupFailure {
                endpoint: "i-1".into(),
                group: membership().key,
                lost: Some("i-2".into()),
            },
        ),
        ("crash evidence", PeerMessage::CrashEvidence(evidence)),
        ("suspect parts", PeerMessage::SuspectParts(parts)),
        ("quarantines", PeerMessage::Quarantines(vec![quarantine])),
        ("request limits", PeerMessage::RequestLimits(vec![limit])),
        (
            "lost paths",
            PeerMessage::LostPaths(BTreeSet::from(["engines".into()])),
        ),
    ]
}

/// The messages about load that go through hubs, by name.
fn hub_messages() -> Vec<(&'static str, PeerMessage)> {
    let load = EndpointLoad {
        requests: 3,
        pending_prefill_tokens: 900,
    };
    let digest = PeerDigest {
        least_cpu_millicores: 120,
        most_cpu_millicores: 500,
        loads: vec![("i-1".into(), load)],
        placer: Some(41),
        waiting: vec![PoolWaiting {
            service: "engines".into(),
            model: Some("wide".into()),
            priority: 1,
            team: Some("one".into()),
            waiting: 4,
            running: 30,
            finished: 200,
        }],
        outcomes: vec![(
            "i-1".into(),
            TargetOutcomes {
                on_time: 5,
                late: 1,
            },
        )],
        operator_version: Some(VersionNote {
            era: 2,
            version: 33_554_500,
            age_ms: 140,
        }),
    };
    vec![
        ("hub query", PeerMessage::HubQuery),
        ("hub info", PeerMessage::HubInfo { zone: "z1".into() }),
        ("member digest", PeerMessage::MemberDigest(digest.clone())),
        ("fleet digest", PeerMessage::FleetDigest(digest)),
        (
            "empty fleet digest",
            PeerMessage::FleetDigest(PeerDigest::default()),
        ),
    ]
}

fn frame(message: PeerMessage) -> PeerFrame {
    PeerFrame {
        version: PEER_VERSION,
        sender: "r1".into(),
        exchange: 7,
        message,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Guards against frames that another build reads as something else, or not at all.
#[test]
fn frames_have_the_bytes_of_the_last_build() {
    let mut lines = Vec::new();
    for (name, message) in messages() {
        let frame = frame(message);
        let bytes = postcard::to_stdvec(&frame).expect("a frame serializes");
        let read: PeerFrame = postcard::from_bytes(&bytes).expect("a frame");
        assert_eq!(read, frame, "{name}");
        lines.push(format!("{name}: {}", hex(&bytes)));
    }
    assert_snapshot!(lines.join("\n"));
}

/// Guards against digests that another build reads as something else, or not at all.
#[test]
fn digests_have_the_same_bytes_in_all_builds() {
    let mut lines = Vec::new();
    for (name, message) in hub_messages() {
        let frame = frame(message);
        let bytes = postcard::to_stdvec(&frame).expect("a frame serializes");
        let read: PeerFrame = postcard::from_bytes(&bytes).expect("a frame");
        assert_eq!(read, frame, "{name}");
        lines.push(format!("{name}: {}", hex(&bytes)));
    }
    assert_snapshot!(lines.join("\n"));
}

/// A message that a later build has added cannot be read, and is not taken for another one.
#[test]
fn frames_with_an_unknown_message_are_refused() {
    let last = frame(PeerMessage::FleetDigest(PeerDigest::default()));
    let mut bytes = postcard::to_stdvec(&last).expect("a frame serializes");
    let query = frame(PeerMessage::HubQuery);
    let query = postcard::to_stdvec(&query).expect("a frame serializes");
    let message = query.len() - 1;
    bytes[message] += 1;
    assert!(postcard::from_bytes::<PeerFrame>(&bytes).is_err());
}

/// Guards against relayed requests whose head another build cannot read.
#[test]
fn relay_heads_have_the_text_of_the_last_build() {
    let head = RelayHead {
        sender: "edge-1".into(),
        config_version: 12,
        runs: 1,
        is_counted: true,
    };
    assert_snapshot!(head.to_string(), @"12,1,1,edge-1");
    assert_eq!("12,1,1,edge-1".parse(), Ok(head));
}
