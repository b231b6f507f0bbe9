//! Workers that leave while the store discards its history and groups are being formed.

#[allow(dead_code)]
#[path = "common.rs"]
mod common;
#[allow(dead_code)]
#[path = "engine.rs"]
mod engine;
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
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use common::Record;
use common::SteadyCallers;
use common::has_trouble;
use common::sleep_until;
use engine::Engine;
use fleet::Router;
use fleet::RouterSpec;
use json::Json;
use json::number;
use json::object;
use json::text;
use store::Store;
use worker::Registration;
use worker::Worker;

const SERVICE: &str = "kiosk-ledger";
const OTHER_SERVICE: &str = "kiosk-ledger-archive";
const MODELS: &str = "jujube-models";
/// Time between two workers that leave.
const TURN: Duration = Duration::from_millis(4_600);
/// Number of workers that leave.
const LEAVING: usize = 22;
/// Number of workers of the same service that stay, and of all workers.
const STAYING: usize = 6;
const WORKERS: usize = 220;
/// Time that a worker serves on after it has left.
const LINGER: Duration = Duration::from_millis(4_500);
/// `drainMs` and `stableWindowMs`.
const DRAIN: Duration = Duration::from_secs(2);
const STABLE: Duration = Duration::from_secs(3);
/// Time that an engine takes to join a group.
const JOIN: Duration = Duration::from_secs(16);

fn model_service() -> Json {
    let model = object(&[
        ("name", text("m0")),
        ("size", number(2)),
        ("share", number(1)),
        ("pace", number(1)),
        ("loadS", number(16)),
        ("warmS", number(JOIN.as_secs())),
    ]);
    let engine = object(&[
        ("slots", number(17)),
        ("kvTokens", number(1_860_000)),
        ("stride", number(5)),
        ("step_ms", Json::Number(7.8)),
        ("per_seq_ms", Json::Number(0.09)),
        ("read_per_s", number(45_900)),
        ("loadsPerS", number(5)),
        ("loads_at_once", number(7)),
        ("models", Json::List(vec![model])),
    ]);
    object(&[
        ("name", text(MODELS)),
        ("healthPath", text("/health")),
        ("maxConns", number(318)),
        ("engine", engine),
    ])
}

fn main() -> ExitCode {
    ExitCode::from(run() as u8)
}

fn run() -> i32 {
    let record = Record::create();
    let store = Store::start(2);
    let route = common::route("balance", "/balance/", "idempotent", SERVICE, 2);
    let services = [SERVICE, OTHER_SERVICE].map(common::plain_service);
    let services = services.into_iter().chain([model_service()]).collect();
    store.put("op/config", &common::config(1, vec![route], services));
    let zones = ["z1", "z2", "z3"];
    let work = Duration::from_millis(15);
    // Their heartbeats make the registry change some dozens of times a second.
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|n| {
            std::thread::sleep(Duration::from_millis(worker::HEARTBEAT_MS) / WORKERS as u32);
            let service = if n < LEAVING + STAYING {
                SERVICE
            } else {
                OTHER_SERVICE
            };
            Worker::start(
                &format!("i-{n:02}"),
                service,
                zones[n % 3],
                work,
                false,
                &store,
            )
        })
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
            SteadyCallers::begin(
                &record,
                router,
                4,
                "GET /balance/1",
                Duration::from_millis(50),
            )
        })
        .collect();
    std::thread::sleep(Duration::from_millis(4_000));
    let start = Instant::now();
    let mut engines = Vec::new();
    let mut left: Vec<(Arc<Worker>, Instant)> = Vec::new();
    for turn in 0..LEAVING {
        // The hosts of these engines have restarted; they hold the weights already.
        for member in 0..2 {
            let id = format!("e-{turn:02}-{member}");
            engines.push(Engine::start(
                &id,
                MODELS,
                zones[turn % 3],
                "m0",
                JOIN,
                &store,
            ));
        }
        sleep_until(start + TURN * turn as u32 + Duration::from_millis(1_500));
        let placer = usize::from(store.value("jujuberoad/placer").starts_with("edge-1"));
        let leaving = &workers[turn];
        // The turns fall at different moments between two relays of the placer.
        std::thread::sleep(Duration::from_millis(37 * turn as u64 % 100));
        let until = Instant::now() + Duration::from_secs(1);
        let was_answered = store.wait_for_answer(placer, "servers/", Instant::now(), until);
        std::thread::sleep(Duration::from_millis(10));
        let accepted_at = leaving
            .register(&store, Registration::Left)
            .unwrap_or_else(Instant::now);
        if has_trouble() {
            store.compact();
        }
        record.at(accepted_at, &format!(
            "the store removes {}, which leaves; history discarded: {}; placer edge-{placer}, watched: {was_answered}",
            leaving.id, has_trouble()));
        left.push((Arc::clone(leaving), accepted_at));
        sleep_until(start + TURN * (turn as u32 + 1));
    }
    // The last one has its time as well.
    sleep_until(left.last().map_or(start, |(_, at)| *at) + LINGER);
    let mut served = Vec::new();
    for callers in callers {
        served.push(callers.end());
    }
    let mut broken = 0;
    for (worker, at) in &left {
        let bound_at = *at + DRAIN.max(STABLE);
        let late = worker.runs_since(bound_at);
        let late: Vec<_> = late.iter().filter(|run| run.at < *at + LINGER).collect();
        for run in &late {
            record.at(run.at, &format!("{} runs {}", worker.id, run.request));
        }
        broken += late.len();
        record.now(&format!(
            "{}: {} requests run later than 3 s after the store accepted its leaving",
            worker.id,
            late.len()
        ));
    }
    for (router, served) in routers.iter().zip(&served) {
        record.now(&format!(
            "{}: {} of {} requests answered with 200",
            router.spec.name, served.0, served.1
        ));
    }
    if served.iter().any(|(served, all)| served * 2 < *all) {
        return common::NOT_RUN;
    }
    if broken == 0 {
        common::HELD
    } else {
        common::BROKEN
    }
}
