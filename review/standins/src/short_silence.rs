//! The store is silent for 1.5 s. Some seconds after it is back, workers drain and leave.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::late_arrivals;
use crate::record::Record;
use crate::record::WorkFolder;
use crate::router::Router;
use crate::store::Store;
use crate::traffic::CONFIG;
use crate::traffic::Traffic;
use crate::worker::Run;
use crate::worker::Worker;

/// Length of the silence.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time from the end of the silence until the first worker drains; the store is stable, and the
/// machines are in touch, after 3 s.
const CALM: Duration = Duration::from_millis(3_300);
/// Time for which a worker still serves after it has announced that it drains.
const SERVING_TIME: Duration = Duration::from_millis(2_400);
const WORK_TIME: Duration = Duration::from_millis(60);
const WORKERS: usize = 4;
const CALLERS: usize = 5;

pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let work = WorkFolder::new()?;
    let store = Store::start();
    store.put("op/config", CONFIG);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut number = 0;
    let mut start_worker = || {
        let worker = Worker::start(&format!("i-{number:02}"), WORK_TIME, &runs);
        number += 1;
        store.put(
            &format!("servers/{}", worker.id),
            &worker.entry("ledger", "ready", 1),
        );
        worker
    };
    let mut workers: Vec<Worker> = (0..WORKERS).map(|_| start_worker()).collect();
    let routers = [
        Router::start("r1", store.address, &work.0)?,
        Router::start("r2", store.address, &work.0)?,
    ];
    thread::sleep(Duration::from_secs(4));
    let began_at = Instant::now();
    let mut record = Record::new(began_at);
    record.note(began_at, format!("trouble: {has_trouble}"));
    let traffic = Traffic::start(&routers.each_ref().map(|router| router.callers), CALLERS);
    thread::sleep(Duration::from_secs(2));
    // Workers are added, one just before the silence.
    for gap_ms in [700, 700, 150] {
        workers.push(start_worker());
        thread::sleep(Duration::from_millis(gap_ms));
    }
    if has_trouble {
        store.set_silent(true);
        record.note(Instant::now(), "the store falls silent");
    }
    thread::sleep(SILENCE);
    if has_trouble {
        store.set_silent(false);
        record.note(Instant::now(), "the store answers again");
    }
    thread::sleep(CALM);
    let mut left_at: BTreeMap<String, Instant> = BTreeMap::new();
    for _ in 0..WORKERS {
        let old = workers.remove(0);
        let key = format!("servers/{}", old.id);
        let drains_at = store.put(&key, &old.entry("ledger", "draining", 2));
        record.note(
            drains_at,
            format!("{} is draining: acknowledged by the store", old.id),
        );
        left_at.insert(old.id.clone(), drains_at);
        let store = store.clone();
        thread::spawn(move || {
            thread::sleep(SERVING_TIME);
            old.exit();
            store.delete(&key);
        });
        thread::sleep(Duration::from_millis(600));
    }
    thread::sleep(Duration::from_secs(5));
    let ends = traffic.end()?;
    let runs = runs.lock().expect("run lock");
    let (late, verdict) = late_arrivals::find(&mut record, &runs, &left_at, ends);
    record.write(
        folder,
        &format!("calls not answered: {}; {verdict}", store.faults().1),
    )?;
    Ok(late == 0)
}
