//! One router is cut off from the store for some seconds. Meanwhile a worker leaves the list of
//! workers without a report that it drains, and goes on serving for a while.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use standins::caller;
use standins::caller::Attempts;
use standins::caller::CallerPlan;
use standins::record::Record;
use standins::record::sleep_ms;
use standins::router;
use standins::router::Router;
use standins::router::RouterPlan;
use standins::store::SERVES;
use standins::store::SILENT;
use standins::store::Store;
use standins::worker::Arrivals;
use standins::worker::Worker;
use standins::worker::WorkerPlan;

/// `drainMs`, `stableWindowMs` and `heartbeatMs` of the deployment.
const DRAIN_MS: u64 = 2_000;
const STABLE_WINDOW_MS: u64 = 3_000;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long the router is cut off.
const CUT_MS: u64 = 4_000;
/// When the worker leaves the list, after the beginning of the cut.
const LEAVE_AFTER_MS: u64 = 1_000;
/// How long the worker still serves after it has left the list.
const LINGER_MS: u64 = 6_500;
const ROUTERS: [(&str, &str); 3] =
    [("edge-a-1", "zone-a"), ("edge-b-1", "zone-b"), ("edge-c-1", "zone-c")];
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-credit","host":"ledger.example",
"prefix":"/credit/","kind":"non_idempotent","timeoutMs":1000,"sloMs":150,"priority":2,
"service":"ledger","attempts":1,"public":true,"affinity":false,"resumable":false}],
"services":[{"name":"ledger","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,
"coldS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (root, folder, scratch) = (&arguments[1], &arguments[2], &arguments[3]);
    let record = Arc::new(Record::new());
    let code = play(Path::new(root), Path::new(scratch), &record);
    let code = code.unwrap_or_else(|error| {
        record.add(format!("the case could not run: {error}"));
        2
    });
    record.add(format!("exit {code}"));
    record.write(&format!("{folder}/record.txt"));
    ExitCode::from(code)
}

fn play(root: &Path, scratch: &Path, record: &Arc<Record>) -> std::io::Result<u8> {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let net = std::process::id() % 200 + 20;
    let store = Store::start();
    store.put("op/config", CONFIG);
    let arrivals = Arrivals::default();
    let mut workers = Vec::new();
    for (index, (_, zone)) in ROUTERS.iter().enumerate() {
        let plan = WorkerPlan {
            id: format!("i-{index}"),
            service: "ledger".to_owned(),
            zone: (*zone).to_owned(),
            ip: format!("127.{net}.1.{}", index + 1),
            slots: 6,
            work_ms: 100,
            port: 0,
            cold_ms: 0,
        };
        workers.push(Worker::start(plan, &store, record, &arrivals, HEARTBEAT)?);
    }
    let mut routers = Vec::new();
    let mut gates = BTreeMap::new();
    for (index, (name, zone)) in ROUTERS.iter().enumerate() {
        let ip = format!("127.{net}.0.{}", index + 1);
        let gate = store.gate(&format!("127.{net}.2.{}", index + 1))?;
        let plan = RouterPlan {
            name,
            zone,
            ip: &ip,
            store: gate.address,
            folder: scratch,
            root,
            other: &[],
        };
        routers.push(Router::start(&plan)?);
        gates.insert((*name).to_owned(), gate);
    }
    if !router::wait_until_ready(&routers, Instant::now() + Duration::from_secs(20)) {
        return Err(std::io::Error::other("the routers do not become ready"));
    }
    record.add("all routers are ready");
    sleep_ms(3_000);
    let stop = Arc::new(AtomicBool::new(false));
    let attempts = Attempts::default();
    let mut callers = Vec::new();
    for router in &routers {
        for number in 0..4 {
            let plan = CallerPlan {
                name: format!("{}-c{number}", router.name),
                router: router.name.clone(),
                address: router.callers,
                start: "POST /credit/2f".to_owned(),
                host: "ledger.example".to_owned(),
                deadline_ms: 1_000,
                pause_ms: 60,
            };
            callers.push(caller::start(plan, record, &attempts, &stop));
        }
    }
    sleep_ms(4_000);

    let holder = store.value("jujuberoad/placer").unwrap_or_default();
    let holder = holder.split(' ').next().unwrap_or_default().to_owned();
    let cut = if gates.contains_key(&holder) { holder } else { ROUTERS[0].0.to_owned() };
    let mut in_touch_from = 0;
    if has_trouble {
        gates[&cut].set(SILENT);
        record.add(format!("the store gives {cut} no answers any more"));
    }
    sleep_ms(LEAVE_AFTER_MS);
    let leaver = &workers[1];
    let left_at = record.now_ms();
    leaver.leave_list();
    record.add_at(left_at, format!("the store has removed the entry of {}", leaver.plan.id));
    sleep_ms(CUT_MS - LEAVE_AFTER_MS);
    if has_trouble {
        gates[&cut].set(SERVES);
        in_touch_from = record.add(format!("the store serves {cut} again")) + STABLE_WINDOW_MS;
    }
    sleep_ms(left_at + LINGER_MS - record.now_ms());
    leaver.exit();
    record.add(format!("{} has ended", leaver.plan.id));
    sleep_ms(1_000);
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    drop(routers);

    let attempts = attempts.lock().expect("attempt lock");
    let by_id: BTreeMap<&str, _> = attempts.iter().map(|one| (one.id.as_str(), one)).collect();
    let (mut late, mut lost) = (0, 0);
    for arrival in arrivals.lock().expect("arrival lock").iter() {
        let Some(attempt) = by_id.get(arrival.request.as_str()) else {
            continue;
        };
        if arrival.worker != leaver.plan.id || arrival.at_ms <= left_at {
            continue;
        }
        let is_in_touch = attempt.router != cut || in_touch_from == 0 || attempt.sent_ms > in_touch_from;
        let is_late = arrival.at_ms > left_at + DRAIN_MS && is_in_touch;
        late += u32::from(is_late);
        lost += u32::from(attempt.status != 200);
        record.add_at(
            arrival.at_ms,
            format!(
                "{} reaches {} from {}, sent at {} ms, {} ms after its entry was removed, status {}{}",
                arrival.request,
                arrival.worker,
                attempt.router,
                attempt.sent_ms,
                arrival.at_ms - left_at,
                attempt.status,
                if is_late { ": LATE" } else { "" }
            ),
        );
    }
    let served = attempts.iter().filter(|one| one.status == 200).count();
    record.add(format!("{} requests, {served} answered 200", attempts.len()));
    record.add(format!(
        "DRAIN: {late} requests reached the worker more than {DRAIN_MS} ms after its removal from \
         machines in touch; {lost} requests sent to it after its removal were not answered 200"
    ));
    if served * 10 < attempts.len() * 8 {
        return Err(std::io::Error::other("too few requests were served"));
    }
    Ok(u8::from(late > 0))
}
