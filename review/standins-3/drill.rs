//! A worker that has reported that it leaves, and a store that comes back from an older copy.

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
use worker::Registration;
use worker::Worker;

/// `drainMs` and `stableWindowMs` of the deployment.
const DRAIN: Duration = Duration::from_secs(2);
const STABLE: Duration = Duration::from_secs(3);
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
    sleep_until(at(6_000));
    let leaving = &workers[0];
    let Some(accepted_at) = leaving.register(&store, Registration::Left) else {
        return common::NOT_RUN;
    };
    record.now(&format!(
        "the store removes the entry of {}, which serves on for a while",
        leaving.id
    ));
    let bound_at = accepted_at + DRAIN;
    sleep_until(at(8_200));
    let early = leaving.runs_since(bound_at).len();
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
    sleep_until(back_at + Duration::from_millis(3 * worker::HEARTBEAT_MS));
    if has_trouble() {
        store.remove(&leaving.key());
        record.now(&format!(
            "the platform removes the entry of {}, silent for three heartbeats",
            leaving.id
        ));
    }
    sleep_until(back_at + Duration::from_millis(5_500));
    let served: Vec<_> = callers.into_iter().map(SteadyCallers::end).collect();
    let late = leaving.runs_since(bound_at);
    for run in &late {
        record.at(run.at, &format!("{} runs {}", leaving.id, run.request));
    }
    for (router, (served, all)) in routers.iter().zip(&served) {
        record.now(&format!(
            "{}: {served} of {all} requests answered with 200",
            router.spec.name
        ));
    }
    // Counted are only those that routers sent whose store had been without disruption for
    // `stableWindowMs`, before the store was away or afterwards.
    let in_touch = late.iter().filter(|run| run.at >= back_at + STABLE).count() + early;
    record.now(&format!(
        "run by {} later than 2 s after the store accepted its leaving: {}; of these by routers in touch: {in_touch}",
        leaving.id,
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
