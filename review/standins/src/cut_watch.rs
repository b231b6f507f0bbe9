//! Workers are replaced one after the other and leave without a word, while the store cuts
//! watches that wait.

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

/// Time for which a worker still serves after its entry was removed.
const SERVING_TIME: Duration = Duration::from_millis(2_300);
/// Time after which the store cuts a watch that waits.
const WATCH_LIFE: Duration = Duration::from_millis(600);
/// Time between two workers that leave, and their number.
const LEAVE_GAP: Duration = Duration::from_millis(2_310);
const LEAVES: usize = 34;
const WORKERS: usize = 4;
const WORK_TIME: Duration = Duration::from_millis(60);
const CALLERS: usize = 6;

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
    let router = Router::start("r1", store.address, &work.0)?;
    // The machine is in touch from now on.
    thread::sleep(Duration::from_secs(4));
    let began_at = Instant::now();
    let mut record = Record::new(began_at);
    record.note(began_at, format!("trouble: {has_trouble}"));
    if has_trouble {
        store.limit_watches("servers/", WATCH_LIFE);
    }
    let traffic = Traffic::start(&[router.callers], CALLERS);
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
        record.note(
            removed_at,
            format!("entry of {} removed: acknowledged by the store", old.id),
        );
        left_at.insert(old.id.clone(), removed_at);
        thread::spawn(move || {
            thread::sleep(SERVING_TIME);
            old.exit();
        });
    }
    thread::sleep(Duration::from_secs(5));
    let ends = traffic.end()?;
    let runs = runs.lock().expect("run lock");
    let (late, verdict) = late_arrivals::find(&mut record, &runs, &left_at, ends);
    record.write(
        folder,
        &format!("watches cut: {}; {verdict}", store.faults().0),
    )?;
    Ok(late == 0)
}
