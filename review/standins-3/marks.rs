//! A zone that the operator has evacuated, and a store that comes back from an older copy.

#[allow(dead_code)]
#[path = "common.rs"]
mod common;
#[allow(dead_code)]
#[path = "fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "http.rs"]
mod http;
#[allow(dead_code)]
#[path = "json.rs"]
mod json;
#[allow(dead_code)]
#[path = "store.rs"]
mod store;
#[allow(dead_code)]
#[path = "worker.rs"]
mod worker;

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use common::Record;
use common::SteadyCallers;
use common::has_trouble;
use common::sleep_until;
use fleet::Router;
use fleet::RouterSpec;
use store::Store;
use worker::Worker;

/// `evacMs` and `stableWindowMs` of the deployment.
const EVACUATION: Duration = Duration::from_secs(5);
const STABLE: Duration = Duration::from_secs(3);
/// Time from the store's return until the operator has written its mark again.
const REWRITE: Duration = Duration::from_millis(4_500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(700);
/// Time from the store's return until it cuts the watches that wait.
const CUT: Duration = Duration::from_millis(1_200);

fn main() -> ExitCode {
    ExitCode::from(run() as u8)
}

fn run() -> i32 {
    let record = Record::create();
    let store = Store::start(2);
    let service = "kiosk-ledger";
    let routes = vec![common::route(
        "balance",
        "/balance/",
        "idempotent",
        service,
        2,
    )];
    store.put(
        "op/config",
        &common::config(1, routes, vec![common::plain_service(service)]),
    );
    let work = Duration::from_millis(15);
    let zones = ["z1", "z2", "z3"];
    let workers: Vec<_> = (0..3)
        .map(|n| Worker::start(&format!("i-{n}"), service, zones[n], work, true, &store))
        .collect();
    let routers: Vec<Router> = (0..2)
        .map(|n| {
            let spec = RouterSpec::new(&format!("edge-{n}"), zones[n], store.addresses[n]);
            Router::start(spec, None)
        })
        .collect();
    if !routers
        .iter()
        .all(|router| router.wait_ready(Duration::from_secs(10)))
    {
        record.now("a router does not get ready");
        return common::NOT_RUN;
    }
    let callers: Vec<SteadyCallers> = routers
        .iter()
        .map(|router| {
            let interval = Duration::from_millis(80);
            SteadyCallers::begin(&record, router, 4, "GET /balance/1", interval)
        })
        .collect();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    sleep_until(at(5_000));
    let copy = store.copy();
    record.now("the store is copied");
    sleep_until(at(5_500));
    let mark = common::config(0, Vec::new(), Vec::new());
    store.put("op/evacuate/z1", &mark);
    let accepted_at = Instant::now();
    record.now("the store accepts that zone z1 is evacuated");
    let bound_at = accepted_at + EVACUATION;
    let evacuated = &workers[0];
    sleep_until(at(11_000));
    let early = evacuated.runs_since(bound_at).len();
    let mut back_at = Instant::now() + AWAY;
    if has_trouble() {
        store.go_away();
        record.now("the store is away");
        sleep_until(back_at);
        store.come_back(&copy);
        back_at = Instant::now();
        record.now("the store is back from the copy, in its next era");
    }
    sleep_until(back_at + CUT);
    store.cut_watches();
    record.now("the store cuts the watches that wait");
    sleep_until(back_at + REWRITE);
    if has_trouble() {
        store.put("op/evacuate/z1", &mark);
        record.now("the operator writes the evacuation of zone z1 again");
    }
    let written_at = Instant::now();
    sleep_until(back_at + Duration::from_millis(6_000));
    let served: Vec<_> = callers.into_iter().map(SteadyCallers::end).collect();
    let late = evacuated.runs_since(bound_at);
    for run in &late {
        record.at(run.at, &format!("{} runs {}", evacuated.id, run.request));
    }
    for (router, (served, all)) in routers.iter().zip(&served) {
        record.now(&format!(
            "{}: {served} of {all} requests answered with 200",
            router.spec.name
        ));
    }
    // Counted are only those that routers sent whose store had been without disruption for
    // `stableWindowMs`, and until the operator wrote the mark again.
    let in_touch = late
        .iter()
        .filter(|run| run.at >= back_at + STABLE && run.at < written_at);
    let in_touch = in_touch.count() + early;
    record.now(&format!(
        "run in z1 later than 5 s after the store accepted its evacuation: {}; of these by routers in touch: {in_touch}",
        late.len()
    ));
    if served.iter().any(|(served, all)| served * 2 < *all) {
        return common::NOT_RUN;
    }
    if in_touch == 0 {
        common::HELD
    } else {
        common::BROKEN
    }
}
