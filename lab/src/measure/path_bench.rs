//! Measures requests and streams through one router, and sent directly to an engine for
//! comparison.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use jujuberoad_node::http::HttpPool;
use jujuberoad_node::runtime;
use serde_json::json;
use smol::channel;

use super::ProcessUsage;
use crate::fleet::FleetError;
use crate::fleet::LabFleet;

/// Deadline of each request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest time that the histogram records, in microseconds; longer times are clamped.
const MAX_TIME_US: u64 = 60_000_000;

/// A closed-loop load: each caller has at most one request in flight.
#[derive(Clone, Debug)]
pub struct PathBench {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Duration of the run, in milliseconds.
    pub duration_ms: u64,
    /// Number of tokens in each answer.
    pub tokens: u64,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Target rate over all callers, in requests per second; 0 sends without pauses.
    pub rate: u64,
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct PathFigures {
    /// Successful answers per second.
    pub answers_per_second: f64,
    /// Tokens per second over all successful answers.
    pub tokens_per_second: f64,
    /// Time to the complete answer at the 50th, 95th and 99th percentile, in
    /// microseconds.
    pub answer_us: [u64; 3],
    /// Requests without a successful, complete answer.
    pub failures: u64,
    /// Mean CPU usage of the router, in cores; 0 in runs that bypass it.
    pub router_cores: f64,
    /// Resident memory of the router at the end of the run, in bytes; 0 in runs that
    /// bypass it.
    pub router_bytes: u64,
}

/// Address, headers and model of the requests.
#[derive(Clone)]
struct PathTarget {
    address: SocketAddr,
    headers: Vec<(&'static str, String)>,
    model: String,
}

impl PathBench {
    /// Runs the load against the first router of `fleet`.
    pub async fn through_router(&self, fleet: &LabFleet) -> PathFigures {
        let target = PathTarget {
            address: fleet.nodes[0].http,
            headers: vec![("jujube-team", "team-one".to_owned())],
            model: "model-small".to_owned(),
        };
        let process = fleet.processes.id("jujube-router/router-1").unwrap_or(0);
        let before = ProcessUsage::of(process);
        let started_at = Instant::now();
        let mut figures = self.run(target).await;
        let after = ProcessUsage::of(process);
        let seconds = started_at.elapsed().as_secs_f64();
        figures.router_cores = (after.cpu_seconds - before.cpu_seconds) / seconds;
        figures.router_bytes = after.resident_bytes;
        figures
    }

    /// Runs the load against the leader of the first `model-small` group, bypassing the
    /// router.
    pub async fn straight_to_engine(&self, fleet: &LabFleet) -> Result<PathFigures, FleetError> {
        let status = jujube::status(&fleet.store).await?;
        let group = status
            .groups
            .iter()
            .find(|group| group.model == "model-small");
        let Some(group) = group else {
            return Err(FleetError::NotReady("no group of model-small".to_owned()));
        };
        let leader = &group.members[0];
        let address = fleet.standins.config.vms[leader.as_str()].address;
        let headers = vec![
            ("jujube-group", group.group.clone()),
            ("jujube-generation", group.generation.to_string()),
            ("jujube-request-id", "0".to_owned()),
        ];
        let target = PathTarget {
            address,
            headers,
            model: "model-small".to_owned(),
        };
        Ok(self.run(target).await)
    }

    async fn run(&self, target: PathTarget) -> PathFigures {
        let pool = HttpPool::new();
        let ends_at = Instant::now() + Duration::from_millis(self.duration_ms);
        let started_at = Instant::now();
        let (sender, receiver) = channel::unbounded();
        for caller in 0..self.callers {
            let (bench, target) = (self.clone(), target.clone());
            let (pool, sender) = (Arc::clone(&pool), sender.clone());
            runtime::spawn(async move {
                bench
                    .run_caller(ends_at, caller, &target, &pool, &sender)
                    .await;
            });
        }
        drop(sender);
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, 3).expect("the bounds are valid");
        let (mut answers, mut failures) = (0_u64, 0_u64);
        while let Ok(answer) = receiver.recv().await {
            match answer {
                Some(elapsed_us) => {
                    histogram.saturating_record(elapsed_us);
                    answers += 1;
                }
                None => failures += 1,
            }
        }
        let seconds = started_at.elapsed().as_secs_f64();
        let rate = answers as f64 / seconds;
        PathFigures {
            answers_per_second: rate,
            tokens_per_second: rate * self.tokens as f64,
            answer_us: [0.50, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile)),
            failures,
            router_cores: 0.0,
            router_bytes: 0,
        }
    }

    async fn run_caller(
        &self,
        ends_at: Instant,
        caller: usize,
        target: &PathTarget,
        pool: &Arc<HttpPool>,
        sender: &channel::Sender<Option<u64>>,
    ) {
        let callers_us = self.callers as u64 * 1_000_000;
        let request_interval =
            Duration::from_micros(callers_us.checked_div(self.rate).unwrap_or(0));
        let mut send_at =
            Instant::now() + request_interval.mul_f64(caller as f64 / self.callers as f64);
        while Instant::now() < ends_at {
            if self.rate > 0 {
                smol::Timer::at(send_at).await;
                send_at += request_interval;
            }
            let started_at = Instant::now();
            let is_answered = self.send_request(target, pool).await;
            let elapsed = started_at.elapsed().as_micros();
            let elapsed_us = u64::try_from(elapsed).unwrap_or(u64::MAX);
            let _ = sender.send(is_answered.then_some(elapsed_us)).await;
        }
    }

    async fn send_request(&self, target: &PathTarget, pool: &Arc<HttpPool>) -> bool {
        let body = json!({
            "model": target.model,
            "stream": self.stream,
            "max_tokens": self.tokens,
            "messages": [{ "role": "user", "content": "lote" }],
        });
        let mut request = Request::builder()
            .method("POST")
            .uri("/v1/chat/completions")
            .header("host", "jujube");
        for (name, value) in &target.headers {
            request = request.header(*name, value);
        }
        let Ok(request) = request.body(Full::new(Bytes::from(body.to_string()))) else {
            return false;
        };
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let Ok(response) = pool.send(target.address, request, false, deadline).await else {
            return false;
        };
        let is_success = response.status().is_success();
        let body = response.into_body().collect().await;
        is_success && body.is_ok_and(|body| !body.to_bytes().is_empty())
    }
}

impl fmt::Display for PathFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [p50, p95, p99] = self.answer_us;
        write!(
            f,
            "{:>8.0} answers/s {:>8.0} tokens/s  p50 {p50} us p95 {p95} us p99 {p99} us  \
             failures {}  router {:.2} cores {:.1} MB",
            self.answers_per_second,
            self.tokens_per_second,
            self.failures,
            self.router_cores,
            self.router_bytes as f64 / 1e6
        )
    }
}
