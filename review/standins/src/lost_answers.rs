//! The store loses part of its answers for a second, while configurations come in quick
//! succession. Some seconds later, a key is taken away.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
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

/// `configApplyMs`.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// How long the store loses answers, and one of how many.
const LOSS_TIME: Duration = Duration::from_millis(1_000);
const LOSS_SHARE: f64 = 0.3;
/// Time between two configurations while it does.
const CONFIG_GAP: Duration = Duration::from_millis(240);
/// Time from the end of the loss until the key is taken away; the store is stable, and the
/// machines are in touch, after 3 s.
const CALM: Duration = Duration::from_millis(4_000);
/// Time for which the requests with that key go on.
const WATCHED_TIME: Duration = Duration::from_millis(9_000);
const ROUTERS: usize = 5;

fn config(version: u32, has_second_key: bool) -> String {
    let keys = if has_second_key {
        r#"["key-two"]"#
    } else {
        "[]"
    };
    let mut routes = String::new();
    for number in 0..version {
        routes.push_str(&format!(
            r#"{{"name":"r-{number}","host":"site.example","prefix":"/r{number}/","kind":"idempotent",
 "timeoutMs":1000,"sloMs":150,"priority":2,"service":"ledger","attempts":2,"public":false}},"#
        ));
    }
    format!(
        r#"{{"version":{version},
"routes":[{routes}{{"name":"r-credit","host":"site.example","prefix":"/credit/",
 "kind":"non_idempotent","timeoutMs":1000,"sloMs":150,"priority":2,"service":"ledger",
 "attempts":1,"public":false}}],
"services":[{{"name":"ledger","healthPath":"/health","maxConns":110}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
 "idleTimeoutMs":15000}},
"tenants":[{{"name":"t1","apiKeys":["key-one"]}},{{"name":"t2","apiKeys":{keys}}}]}}"#
    )
}

pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let work = WorkFolder::new()?;
    let store = Store::start();
    store.put("op/config", &config(3, true));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for number in 0..3 {
        let worker = Worker::start(&format!("i-{number}"), Duration::from_millis(30), &runs);
        store.put(
            &format!("servers/{}", worker.id),
            &worker.entry("ledger", "ready", 1),
        );
    }
    let mut routers = Vec::new();
    for number in 1..=ROUTERS {
        routers.push(Router::start(
            &format!("r{number}"),
            store.address,
            &work.0,
        )?);
    }
    thread::sleep(Duration::from_secs(4));
    let began_at = Instant::now();
    let mut record = Record::new(began_at);
    record.note(began_at, format!("trouble: {has_trouble}"));
    if has_trouble {
        store.lose_answers(LOSS_SHARE);
    }
    let mut version = 3;
    while began_at.elapsed() < LOSS_TIME {
        version += 1;
        let at = store.put("op/config", &config(version, true));
        record.note(
            at,
            format!("version {version}, one route more: acknowledged by the store"),
        );
        thread::sleep(CONFIG_GAP);
    }
    store.lose_answers(0.0);
    let answers_at = Instant::now();
    record.note(
        answers_at,
        format!(
            "the store loses no more answers; lost: {}",
            store.faults().1
        ),
    );
    thread::sleep(CALM);
    version += 1;
    let revoked_at = store.put("op/config", &config(version, false));
    let text = format!("version {version} without the key of t2: acknowledged by the store");
    record.note(revoked_at, text);
    let mut sent_at: BTreeMap<String, (usize, Instant)> = BTreeMap::new();
    let mut ends: BTreeMap<String, String> = BTreeMap::new();
    while revoked_at.elapsed() < WATCHED_TIME {
        for (number, router) in routers.iter().enumerate() {
            let id = format!("{number:04x}{:012x}", ends.len());
            let request = format!(
                "POST /credit/x HTTP/1.1\r\nHost: site.example\r\nX-Jujuberoad-Attempt-Id: {id}\r\n\
                 X-Jujuberoad-Deadline-Ms: 1000\r\nAuthorization: Bearer key-two\r\n\
                 Content-Length: 3\r\nConnection: close\r\n\r\none"
            );
            sent_at.insert(id.clone(), (number + 1, Instant::now()));
            let end = match http::call(router.callers, &request, Duration::from_secs(2)) {
                Ok(reply) => reply.first,
                Err(error) => error,
            };
            ends.insert(id, end);
        }
        thread::sleep(Duration::from_millis(150));
    }
    let mut late: BTreeMap<usize, usize> = BTreeMap::new();
    for run in runs.lock().expect("run lock").iter() {
        let Some((router, sent_at)) = sent_at.get(&run.id) else {
            continue;
        };
        let Some(age) = sent_at
            .checked_duration_since(revoked_at)
            .filter(|age| *age > APPLY_TIME)
        else {
            continue;
        };
        *late.entry(*router).or_default() += 1;
        record.note(
            run.at,
            format!(
                "CONFIG: {} was sent to r{router} {} ms after that, and {} runs it for {:?}; the \
                 client gets {}",
                run.id,
                age.as_millis(),
                run.worker,
                run.tenant,
                ends.get(&run.id).map_or("no end", String::as_str)
            ),
        );
    }
    let total: usize = late.values().sum();
    let verdict = format!(
        "{} requests sent; CONFIG: {total} ran with a key that was taken away over 2,000 ms \
         before they were sent, by router {late:?}",
        ends.len()
    );
    record.write(folder, &verdict)?;
    Ok(total == 0)
}
