//! Overload: answers in time at 1, 2 and 5 times capacity.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::admission::FairQueue;
use jujuberoad::admission::FifoQueue;
use jujuberoad::admission::QueueTicket;
use jujuberoad::admission::RequestClass;
use jujuberoad::admission::WaitQueue;
use smol_str::format_smolstr;

use super::next_interval;
use super::quantile_ms;
use super::time_histogram;

const SERVICE_RATE: f64 = 500.0;
const LENGTH_S: f64 = 60.0;
/// Time after which an answer is of no use to its caller, in seconds.
const USEFUL_S: f64 = 2.0;

/// Compares goodput and the time until a caller is told that it is turned away.
pub fn overload_bench(seed: u64) -> String {
    let mut text =
        String::from("queue       load  answers in time/s  told at once  told within p99 ms\n");
    for load in [1.0, 2.0, 5.0] {
        let first = run(&mut FifoQueue::default(), f64::MAX, load, seed);
        let fair = run(&mut FairQueue::default(), USEFUL_S, load, seed);
        let _ = writeln!(text, "first-come  {load:>3}x  {first}");
        let _ = writeln!(text, "fair        {load:>3}x  {fair}");
    }
    text
}

fn run(queue: &mut dyn WaitQueue, patience_s: f64, load: f64, seed: u64) -> String {
    let origin = Instant::now();
    let at = |seconds: f64| origin + Duration::from_secs_f64(seconds.min(1e6));
    let mut random = fastrand::Rng::with_seed(seed);
    let mut arrived: Vec<f64> = Vec::new();
    let mut next = 0.0;
    let (mut useful, mut at_once, mut turned_away) = (0_u64, 0_u64, 0_u64);
    let mut told = time_histogram();
    let mut now_s = 0.0;
    while now_s < LENGTH_S {
        now_s += 1.0 / SERVICE_RATE;
        while next <= now_s {
            let id = arrived.len() as u64;
            arrived.push(next);
            let ticket = QueueTicket {
                id,
                team: format_smolstr!("team-{}", random.u8(0..10)),
                share: 1,
                team_limit: 256,
                class: RequestClass::Counter,
                expires_at: at(next + patience_s),
            };
            if queue.push(ticket, at(next)).is_err() {
                at_once += 1;
                turned_away += 1;
                told.saturating_record(1);
            }
            next += next_interval(&mut random, SERVICE_RATE * load);
        }
        for ticket in queue.expire(at(now_s)) {
            turned_away += 1;
            told.saturating_record(((now_s - arrived[ticket.id as usize]) * 1e6) as u64);
        }
        if let Some(ticket) = queue.pop(RequestClass::Receipt, at(now_s)) {
            useful += u64::from(now_s - arrived[ticket.id as usize] <= USEFUL_S);
        }
    }
    format!(
        "{:>17.0}  {:>11.1}%  {:>18.0}",
        useful as f64 / LENGTH_S,
        100.0 * at_once as f64 / turned_away.max(1) as f64,
        quantile_ms(&told, 0.99)
    )
}
