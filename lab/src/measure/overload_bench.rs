//! Simulates fair and FIFO queueing under overload: goodput at 1, 2 and 5 times capacity.

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

/// Capacity of the service, in requests per second.
const SERVICE_RATE_PER_S: f64 = 500.0;
const DURATION_S: f64 = 60.0;
/// Time after which the caller has no use for an answer, in seconds.
const ANSWER_DEADLINE_S: f64 = 2.0;

/// Compares goodput and the time until a caller learns that its request was rejected.
pub fn overload_bench(seed: u64) -> String {
    let mut text =
        String::from("queue       load  answers in time/s  told at once  told within p99 ms\n");
    for load in [1.0, 2.0, 5.0] {
        let fifo = simulate(&mut FifoQueue::default(), f64::MAX, load, seed);
        let fair = simulate(&mut FairQueue::default(), ANSWER_DEADLINE_S, load, seed);
        let _ = writeln!(text, "first-come  {load:>3}x  {fifo}");
        let _ = writeln!(text, "fair        {load:>3}x  {fair}");
    }
    text
}

fn simulate(queue: &mut dyn WaitQueue, queue_timeout_s: f64, load: f64, seed: u64) -> String {
    let origin = Instant::now();
    let at = |seconds: f64| origin + Duration::from_secs_f64(seconds.min(1e6));
    let mut random = fastrand::Rng::with_seed(seed);
    let mut arrival_times: Vec<f64> = Vec::new();
    let mut next_arrival = 0.0;
    let (mut answered_in_time, mut rejected_on_arrival, mut rejected) = (0_u64, 0_u64, 0_u64);
    let mut rejection_times = time_histogram();
    let mut now_s = 0.0;
    while now_s < DURATION_S {
        now_s += 1.0 / SERVICE_RATE_PER_S;
        while next_arrival <= now_s {
            let id = arrival_times.len() as u64;
            arrival_times.push(next_arrival);
            let ticket = QueueTicket {
                id,
                team: format_smolstr!("team-{}", random.u8(0..10)),
                share: 1,
                team_limit: 256,
                class: RequestClass::Counter,
                expires_at: at(next_arrival + queue_timeout_s),
            };
            if queue.push(ticket, at(next_arrival)).is_err() {
                rejected_on_arrival += 1;
                rejected += 1;
                rejection_times.saturating_record(1);
            }
            next_arrival += next_interval(&mut random, SERVICE_RATE_PER_S * load);
        }
        for ticket in queue.expire(at(now_s)) {
            rejected += 1;
            rejection_times
                .saturating_record(((now_s - arrival_times[ticket.id as usize]) * 1e6) as u64);
        }
        if let Some(ticket) = queue.pop(RequestClass::Receipt, at(now_s)) {
            answered_in_time +=
                u64::from(now_s - arrival_times[ticket.id as usize] <= ANSWER_DEADLINE_S);
        }
    }
    format!(
        "{:>17.0}  {:>11.1}%  {:>18.0}",
        answered_in_time as f64 / DURATION_S,
        100.0 * rejected_on_arrival as f64 / rejected.max(1) as f64,
        quantile_ms(&rejection_times, 0.99)
    )
}
