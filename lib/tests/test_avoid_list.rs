//! Tests of how long endpoints that do not respond are excluded.

use std::time::Duration;
use std::time::Instant;

use insta::assert_snapshot;
use jujuberoad::fleet::AvoidList;
use jujuberoad::fleet::SilenceKind;
use jujuberoad::ids::EndpointId;

/// Time for which each failed request excludes an endpoint.
const COOLDOWN: Duration = Duration::from_millis(4_500);
/// Interval of the checks.
const STEP_MS: u64 = 100;
/// Length of a case.
const CASE_MS: u64 = 9_000;

/// Name, when requests fail and in which way, and what probes show that are due.
type SilenceCase = (&'static str, &'static [(u64, SilenceKind)], SilenceKind);

/// Guards against probes of a silent endpoint that prolong the time for which it is excluded:
/// requests were then refused although it was free again.
#[test]
fn probes_do_not_prolong_an_exclusion() {
    let cases: [SilenceCase; 5] = [
        (
            "pauses",
            &[(0, SilenceKind::Unanswered)],
            SilenceKind::Unanswered,
        ),
        (
            "dark",
            &[(0, SilenceKind::NotAccepted)],
            SilenceKind::NotAccepted,
        ),
        (
            "refused at once",
            &[(0, SilenceKind::Refused)],
            SilenceKind::Refused,
        ),
        (
            "refused later",
            &[(0, SilenceKind::Unanswered)],
            SilenceKind::Refused,
        ),
        (
            "a second request",
            &[
                (0, SilenceKind::Unanswered),
                (1_000, SilenceKind::Unanswered),
            ],
            SilenceKind::Unanswered,
        ),
    ];
    let lines: Vec<String> = cases.iter().map(play).collect();
    assert_snapshot!(lines.join("\n"));
}

/// Returns how often the endpoint of a case is probed, and until when it may be a pause and is
/// excluded.
fn play((name, requests, probe): &SilenceCase) -> String {
    let start = Instant::now();
    let endpoint = EndpointId::from("e1");
    let mut avoided = AvoidList::default();
    let (mut probes, mut silent_until, mut excluded_until) = (0, 0, 0);
    for at_ms in (0..CASE_MS).step_by(STEP_MS as usize) {
        let now = start + Duration::from_millis(at_ms);
        for (request_ms, kind) in *requests {
            if *request_ms == at_ms {
                avoided.mark_unreachable(&endpoint, *kind, now, now + COOLDOWN);
            }
        }
        for due in avoided.take_due_probes(now) {
            probes += 1;
            avoided.observe_probe(&due, *probe, now);
        }
        if avoided.silent_endpoints(now).contains(&endpoint) {
            silent_until = at_ms + STEP_MS;
        }
        if avoided.endpoints(now).contains(&endpoint) {
            excluded_until = at_ms + STEP_MS;
        }
    }
    format!(
        "{name}: {probes} probes, silent until {silent_until}, excluded until {excluded_until} ms"
    )
}
