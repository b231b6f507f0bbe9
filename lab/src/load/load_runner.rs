//! Sends the calls of a load on schedule.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad_node::http::HttpPool;
use jujuberoad_node::runtime;
use smol::channel;

use super::CallKind;
use super::CallRecord;
use super::LoadCall;
use super::LoadPlan;

/// Open-loop load generator: each call starts on schedule, however long earlier calls take.
pub struct LoadRunner {
    plan: LoadPlan,
}

impl LoadRunner {
    /// Creates a runner for the load of `plan`.
    pub fn new(plan: LoadPlan) -> Self {
        Self { plan }
    }

    /// Sends the load, waits for all calls and returns their records, ordered by number.
    pub async fn run(self) -> Vec<CallRecord> {
        let pool = HttpPool::new();
        let run_started_at = Instant::now();
        let mut rng = fastrand::Rng::with_seed(self.plan.seed);
        let run_id = rng.u32(..);
        let call_count = self.plan.rate * self.plan.duration_ms / 1_000;
        let (sender, receiver) = channel::unbounded();
        for number in 0..call_count {
            let start_offset = Duration::from_micros(number * 1_000_000 / self.plan.rate.max(1));
            smol::Timer::at(run_started_at + start_offset).await;
            let call = self.next_call(number, run_id, &mut rng);
            let (pool, sender) = (Arc::clone(&pool), sender.clone());
            runtime::spawn(async move {
                let _ = sender.send(call.send(pool, run_started_at).await).await;
            });
        }
        drop(sender);
        let mut records = Vec::new();
        while let Ok(record) = receiver.recv().await {
            records.push(record);
        }
        records.sort_by_key(|record| record.call);
        records
    }

    fn next_call(&self, number: u64, run_id: u32, rng: &mut fastrand::Rng) -> LoadCall {
        let plan = &self.plan;
        let percent = rng.u64(0..100);
        let kind = if percent < plan.entry_percent {
            CallKind::Entry
        } else if percent < plan.entry_percent + plan.stream_percent {
            CallKind::Stream
        } else {
            CallKind::Whole
        };
        let router = number as usize % plan.routers.len();
        let pick = |names: &[String], rng: &mut fastrand::Rng| {
            names
                .get(rng.usize(0..names.len().max(1)))
                .cloned()
                .unwrap_or_default()
        };
        LoadCall {
            call: number,
            kind,
            team: pick(&plan.teams, rng),
            model: pick(&plan.models, rng),
            prompt: format!("lote {} patio secado", rng.u64(0..plan.prompt_count.max(1))),
            tokens: plan.tokens,
            service_prefix: plan.service_prefix.clone(),
            key: if kind == CallKind::Entry {
                format!("{run_id:08x}-{number}")
            } else {
                String::new()
            },
            router,
            address: plan.routers[router],
        }
    }
}
