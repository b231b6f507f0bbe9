//! Finds requests that reached a worker too late after it had left.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::record::Record;
use crate::traffic::RequestEnd;
use crate::worker::Run;

/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Records each late request; returns how many there were, and the verdict.
pub fn find(
    record: &mut Record,
    runs: &[Run],
    left_at: &BTreeMap<String, Instant>,
    ends: Vec<RequestEnd>,
) -> (usize, String) {
    let ends: BTreeMap<String, String> = ends.into_iter().collect();
    let (mut late, mut cut) = (0, 0);
    for run in runs {
        let Some(left_at) = left_at.get(&run.worker) else {
            continue;
        };
        let Some(age) = run
            .at
            .checked_duration_since(*left_at)
            .filter(|age| *age > DRAIN)
        else {
            continue;
        };
        late += 1;
        let end = ends.get(&run.id).map_or("no end", String::as_str);
        let is_cut = !end.contains(" 200 ");
        cut += usize::from(is_cut);
        let note = if is_cut { " (it has run)" } else { "" };
        let (id, worker, age) = (&run.id, &run.worker, age.as_millis());
        record.note(
            run.at,
            format!(
                "DRAIN: {id} reaches {worker} {age} ms after that; the client gets {end}{note}"
            ),
        );
    }
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for end in ends.values() {
        *counts.entry(end.as_str()).or_default() += 1;
    }
    let verdict = format!(
        "{} requests sent, {} run; ends {counts:?}; DRAIN: {late} requests reached a worker over \
         2,000 ms after the store had acknowledged that it leaves, {cut} of them ran and were not \
         answered with success",
        ends.len(),
        runs.len()
    );
    (late, verdict)
}
