//! A worker that has started again and is cold, and a store that comes back from an older copy.

#[allow(dead_code)]
#[path = "cold_worker.rs"]
mod cold_worker;
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

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cold_worker::COLD;
use cold_worker::COLD_PER_S;
use cold_worker::ColdWorker;
use cold_worker::SERVICE;
use common::Record;
use common::SteadyCallers;
use common::has_trouble;
use common::sleep_until;
use fleet::Router;
use fleet::RouterSpec;
use json::Json;
use json::number;
use store::Store;

/// `coldPerS` x `coldOver` + `coldSlack`.
const BOUND: usize = 44;
/// Time for which a worker that crashes is down.
const DOWN: Duration = Duration::from_millis(600);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    ExitCode::from(run() as u8)
}

fn run() -> i32 {
    let record = Record::create();
    let store = Store::start(2);
    let routes = vec![common::route(
        "balance",
        "/balance/",
        "idempotent",
        SERVICE,
        2,
    )];
    let mut service = common::plain_service(SERVICE);
    if let Json::Object(fields) = &mut service {
        fields.insert("coldPerS".to_owned(), number(COLD_PER_S));
    }
    store.put("op/config", &common::config(1, routes, vec![service]));
    let zones = ["z1", "z2", "z3"];
    let workers: Vec<Arc<ColdWorker>> = (0..6)
        .map(|n| ColdWorker::start(format!("i-{n}"), zones[n % 3], &store))
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
            let interval = Duration::from_millis(25);
            SteadyCallers::begin(&record, router, 10, "GET /balance/1", interval)
        })
        .collect();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    sleep_until(at(5_000));
    let copy = store.copy();
    record.now("the store is copied");
    sleep_until(at(6_000));
    let cold = &workers[0];
    cold.crash();
    record.now(&format!("{} crashes", cold.id));
    std::thread::sleep(DOWN);
    cold.restart(&store);
    let cold_from = Instant::now();
    record.now(&format!(
        "{} starts again under its id and is cold for 3 s",
        cold.id
    ));
    sleep_until(cold_from + Duration::from_millis(800));
    if has_trouble() {
        store.go_away();
        record.now("the store is away");
        std::thread::sleep(AWAY);
        store.come_back(&copy);
        record.now("the store is back from the copy, in its next era");
    }
    sleep_until(cold_from + COLD);
    std::thread::sleep(Duration::from_secs(1));
    let served: Vec<_> = callers.into_iter().map(SteadyCallers::end).collect();
    for (router, (served, all)) in routers.iter().zip(&served) {
        record.now(&format!(
            "{}: {served} of {all} requests answered with 200",
            router.spec.name
        ));
    }
    let (most, begin) = cold.busiest_second(cold_from, cold_from + COLD);
    record.at(
        begin,
        "the second in which the cold worker got most requests begins",
    );
    record.now(&format!(
        "most requests that {} got in one second while it was cold: {most}; allowed are {BOUND}",
        cold.id
    ));
    if served.iter().any(|(served, all)| served * 2 < *all) {
        return common::NOT_RUN;
    }
    if most <= BOUND {
        common::HELD
    } else {
        common::BROKEN
    }
}
