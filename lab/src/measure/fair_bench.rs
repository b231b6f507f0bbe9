//! Fair queueing against first come: what a flood costs the other teams.

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

const TEAMS: usize = 10;
/// Requests a second that can be served.
const SERVICE_RATE: f64 = 500.0;
/// Requests a second of an ordinary team.
const TEAM_RATE: f64 = 35.0;
const LENGTH_S: f64 = 120.0;
/// Share of long texts among the requests of ordinary teams.
const RECEIPT_SHARE: f64 = 0.3;

/// Compares waiting times of nine teams with and without a tenth that floods.
pub fn fair_bench(seed: u64) -> String {
    let mut text =
        String::from("queue       flood  others p95 ms  p99 ms  counter p99 ms  turned away\n");
    for flood in [1.0, 10.0] {
        let fair = run(&mut FairQueue::default(), flood, seed);
        let first = run(&mut FifoQueue::default(), flood, seed);
        let _ = writeln!(text, "first-come  {flood:>4}x  {first}");
        let _ = writeln!(text, "fair        {flood:>4}x  {fair}");
    }
    text
}

fn run(queue: &mut dyn WaitQueue, flood: f64, seed: u64) -> String {
    let origin = Instant::now();
    let at = |seconds: f64| origin + Duration::from_secs_f64(seconds);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut next: Vec<f64> = (0..TEAMS)
        .map(|_| next_interval(&mut random, TEAM_RATE))
        .collect();
    let mut arrived: Vec<f64> = Vec::new();
    let (mut others, mut counter) = (time_histogram(), time_histogram());
    let mut turned_away = 0;
    let mut serve_at = 0.0;
    while serve_at < LENGTH_S {
        serve_at += 1.0 / SERVICE_RATE;
        for (team, due) in next.iter_mut().enumerate() {
            while *due <= serve_at {
                let rate = if team == 0 {
                    TEAM_RATE * flood
                } else {
                    TEAM_RATE
                };
                let is_receipt = random.f64() < RECEIPT_SHARE;
                let class = if is_receipt {
                    RequestClass::Receipt
                } else {
                    RequestClass::Counter
                };
                let ticket = QueueTicket {
                    id: arrived.len() as u64,
                    team: format_smolstr!("team-{team}"),
                    share: 1,
                    team_limit: 256,
                    class,
                    expires_at: at(*due + 2.0),
                };
                arrived.push(*due);
                turned_away += usize::from(queue.push(ticket, at(*due)).is_err() && team > 0);
                *due += next_interval(&mut random, rate);
            }
        }
        let now = at(serve_at);
        turned_away += queue
            .expire(now)
            .iter()
            .filter(|gone| gone.team != "team-0")
            .count();
        let Some(ticket) = queue.pop(RequestClass::Receipt, now) else {
            continue;
        };
        if ticket.team == "team-0" {
            continue;
        }
        let waited_us = ((serve_at - arrived[ticket.id as usize]) * 1e6) as u64;
        others.saturating_record(waited_us.max(1));
        if ticket.class == RequestClass::Counter {
            counter.saturating_record(waited_us.max(1));
        }
    }
    format!(
        "{:>13.1}  {:>6.1}  {:>14.1}  {turned_away:>11}",
        quantile_ms(&others, 0.95),
        quantile_ms(&others, 0.99),
        quantile_ms(&counter, 0.99)
    )
}
