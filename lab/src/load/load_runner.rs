//! Sends the calls of a load at their times.

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

/// Sends an open load: calls start at their times, however long others take.
pub struct LoadRunner {
    plan: LoadPlan,
}

impl LoadRunner {
    /// Prepares to send the load of `plan`.
    pub fn new(plan: LoadPlan) -> Self {
        Self { plan }
    }

    /// Sends the load and returns the history of every call, by number.
    pub async fn run(self) -> Vec<CallRecord> {
        let pool = HttpPool::new();
        let origin = Instant::now();
        let mut random = fastrand::Rng::with_seed(self.plan.seed);
        let run = random.u32(..);
        let count = self.plan.rate * self.plan.length_ms / 1_000;
        let (sender, receiver) = channel::unbounded();
        for number in 0..count {
            let due = Duration::from_micros(number * 1_000_000 / self.plan.rate.max(1));
            smol::Timer::at(origin + due).await;
            let call = self.call(number, run, &mut random);
            let (pool, sender) = (Arc::clone(&pool), sender.clone());
            runtime::spawn(async move {
                let _ = sender.send(call.make(pool, origin).await).await;
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

    fn call(&self, number: u64, run: u32, random: &mut fastrand::Rng) -> LoadCall {
        let plan = &self.plan;
        let roll = random.u64(0..100);
        let kind = if roll < plan.entry_percent {
            CallKind::Entry
        } else if roll < plan.entry_percent + plan.stream_percent {
            CallKind::Stream
        } else {
            CallKind::Whole
        };
        let router = number as usize % plan.routers.len();
        let pick = |names: &[String], random: &mut fastrand::Rng| {
            names
                .get(random.usize(0..names.len().max(1)))
                .cloned()
                .unwrap_or_default()
        };
        LoadCall {
            call: number,
            kind,
            team: pick(&plan.teams, random),
            model: pick(&plan.models, random),
            prompt: format!("lote {} patio secado", random.u64(0..plan.prompts.max(1))),
            tokens: plan.tokens,
            service: plan.service.clone(),
            key: if kind == CallKind::Entry {
                format!("{run:08x}-{number}")
            } else {
                String::new()
            },
            router,
            address: plan.routers[router],
        }
    }
}
