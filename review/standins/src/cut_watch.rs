//! Workers are replaced one after the other and leave without a word, while the store cuts
//! watches that wait.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;
use crate::record::WorkFolder;
use crate::router::Router;
use crate::store::Store;
use crate::worker::Run;
use crate::worker::Worker;

/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which a worker still serves after its entry was removed.
const SERVING_TIME: Duration = Duration::from_millis(2_300);
/// Time after which the store cuts a watch that waits.
const WATCH_LIFE: Duration = Duration::from_millis(600);
/// Time between two workers that leave, and their number.
const LEAVE_GAP: Duration = Duration::from_millis(2_310);
const LEAVES: usize = 34;
const WORKERS: usize = 4;
const WORK_TIME: Duration = Duration::from_millis(60);
/// Requests of one caller are this far apart.
const CALL_GAP: Duration = Duration::from_millis(100);
const CALLERS: usize = 6;

const CONFIG: &str = r#"{"version":3,
"routes":[{"name":"r-credit","host":"site.example","prefix":"/credit/","kind":"non_idempotent",
 "timeoutMs":1000,"sloMs":150,"priority":2,"service":"ledger","attempts":1,"public":false}],
"services":[{"name":"ledger","healthPath":"/health","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
 "idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["key-one"]}]}"#;

pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let work = WorkFolder::new()?;
    let store = Store::start();
    store.put("op/config", CONFIG);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut number = 0;
    let mut start_worker = || {
        let worker = Worker::start(&format!("i-{number:02}"), WORK_TIME, &runs);
        number += 1;
        store.put(&format!("servers/{}", worker.id), &worker.entry("ledger", "ready", 1));
        worker
    };
    let mut workers: Vec<Worker> = (0..WORKERS).map(|_| start_worker()).collect();
    let router = Router::start("r1", store.address, &work.0)?;
    thread::sleep(Duration::from_secs(4));
    let began_at = Instant::now();
    let mut record = Record::new(began_at);
    record.note(began_at, format!("trouble: {has_trouble}"));
    if has_trouble {
        store.limit_watches(Some(("servers/".to_owned(), WATCH_LIFE)));
    }
    let has_ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (address, has_ended) = (router.callers, Arc::clone(&has_ended));
            thread::spawn(move || call_on(address, caller, &has_ended))
        })
        .collect();
    let mut left_at: BTreeMap<String, Instant> = BTreeMap::new();
    for round in 0..LEAVES {
        let at = began_at + Duration::from_secs(2) + LEAVE_GAP * round as u32;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        // The new worker starts first.
        workers.push(start_worker());
        // Some time between 0.3 s and 1.9 s, evenly spread.
        let spread = (round as u64 * 389) % 1_600;
        thread::sleep(Duration::from_millis(300 + spread));
        let old = workers.remove(0);
        let removed_at = store.delete(&format!("servers/{}", old.id));
        record.note(removed_at, format!("entry of {} removed: acknowledged by the store", old.id));
        left_at.insert(old.id.clone(), removed_at);
        thread::spawn(move || {
            thread::sleep(SERVING_TIME);
            old.exit();
        });
    }
    thread::sleep(Duration::from_secs(5));
    has_ended.store(true, Ordering::Relaxed);
    let mut ends: BTreeMap<String, (Instant, String)> = BTreeMap::new();
    for caller in callers {
        for (id, at, end) in caller.join().map_err(|_| "a caller failed")? {
            ends.insert(id, (at, end));
        }
    }
    let runs = runs.lock().expect("run lock");
    let (mut late, mut cut) = (0, 0);
    for run in runs.iter() {
        let Some(left_at) = left_at.get(&run.worker) else {
            continue;
        };
        let Some(age) = run.at.checked_duration_since(*left_at).filter(|age| *age > DRAIN) else {
            continue;
        };
        late += 1;
        let end = ends.get(&run.id).map_or("no end", |(_, end)| end.as_str());
        let is_cut = !end.contains(" 200 ");
        cut += usize::from(is_cut);
        record.note(
            run.at,
            format!(
                "DRAIN: {} reaches {} {} ms after its entry was removed; the client gets {end}{}",
                run.id,
                run.worker,
                age.as_millis(),
                if is_cut { " (it has run)" } else { "" }
            ),
        );
    }
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, end) in ends.values() {
        *counts.entry(end.as_str()).or_default() += 1;
    }
    let (cuts, _) = store.faults();
    let verdict = format!(
        "{} requests sent, {} run; ends {counts:?}; watches cut: {cuts}; DRAIN: {late} requests \
         reached a worker over 2,000 ms after its entry was removed, {cut} of them ran and were \
         not answered with success",
        ends.len(),
        runs.len()
    );
    record.write(folder, &verdict)?;
    Ok(late == 0)
}

fn call_on(
    address: SocketAddr,
    caller: usize,
    has_ended: &AtomicBool,
) -> Vec<(String, Instant, String)> {
    let mut ends = Vec::new();
    while !has_ended.load(Ordering::Relaxed) {
        let id = format!("{caller:04x}{:012x}", ends.len());
        let request = format!(
            "POST /credit/x HTTP/1.1\r\nHost: site.example\r\nX-Jujuberoad-Attempt-Id: {id}\r\n\
             X-Jujuberoad-Deadline-Ms: 1000\r\nAuthorization: Bearer key-one\r\n\
             Content-Length: 3\r\nConnection: close\r\n\r\none"
        );
        let sent_at = Instant::now();
        let end = match http::call(address, &request, Duration::from_secs(2)) {
            Ok(reply) => reply.first,
            Err(error) => error,
        };
        ends.push((id, sent_at, end));
        thread::sleep(CALL_GAP);
    }
    ends
}
