//! A run of a request at an endpoint, watched for a crash of that endpoint.

use std::sync::Arc;
use std::time::Instant;

use jujuberoad::ids::EndpointId;
use jujuberoad::ids::RunNumber;
use jujuberoad::poison::RunEnd;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallStep;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::caller_request::CallerRequest;
use crate::gateway_core::GatewayCore;

/// Reports the events and the end of a run to the poison guard. A run that is dropped before
/// its end counts as cancelled.
pub(crate) struct RunWatch {
    core: Arc<GatewayCore>,
    request: Arc<CallerRequest>,
    endpoint: EndpointId,
    number: RunNumber,
    started_at: Option<Instant>,
    ended_at: Option<Instant>,
}

impl RunWatch {
    /// Starts to watch a run that is about to be sent.
    pub(crate) fn new(
        core: &Arc<GatewayCore>,
        request: &Arc<CallerRequest>,
        endpoint: &EndpointId,
    ) -> Self {
        let number = core.poison.begin_run(endpoint, &request.crash_parts);
        Self {
            core: Arc::clone(core),
            request: Arc::clone(request),
            endpoint: endpoint.clone(),
            number,
            started_at: None,
            ended_at: None,
        }
    }

    /// Records that the endpoint was in contact at `contact_at`: a connection was opened, or
    /// the head of a response arrived.
    pub(crate) fn record_contact(&self, contact_at: Instant) {
        self.core.poison.record_contact(self.number, contact_at);
    }

    /// Records an event of the answer.
    pub(crate) fn record_event(&mut self) {
        let now = Instant::now();
        self.started_at.get_or_insert(now);
        self.core.poison.record_event(self.number, now);
    }

    /// Records that the answer came whole.
    pub(crate) fn record_complete(&mut self) {
        self.end(RunEnd::Complete);
    }

    /// Records a failed call.
    pub(crate) fn record_error(&mut self, error: &CallError) {
        let is_io_step = matches!(error.step, CallStep::Send | CallStep::Read);
        let is_in_time = Instant::now() < self.request.deadline;
        if error.was_sent && is_io_step && is_in_time {
            if let Some(opened_at) = error.connected_at {
                self.record_contact(opened_at);
            }
            self.record_lost();
        }
    }

    /// Records that the connection was lost before the end of the answer.
    pub(crate) fn record_lost(&mut self) {
        if self.end(RunEnd::ConnectionLost) {
            self.core.metrics.crashes.inc();
            self.core.log.write(
                LogKind::Crash,
                json!({
                    "request": self.request.id,
                    "route": self.request.route.name,
                    "endpoint": self.endpoint,
                    "started": self.started_at.is_some(),
                    "run_ms": self.run_ms(),
                    "fingerprint": self.request.fingerprint,
                    "prompt_parts": self.request.head.shared_prompt_parts[..],
                }),
            );
        }
    }

    /// Returns the time from the first event of the run until its end or until now; `None` if
    /// it had no event.
    pub(crate) fn run_ms(&self) -> Option<u64> {
        let ended_at = self.ended_at.unwrap_or_else(Instant::now);
        let run = ended_at.duration_since(self.started_at?);
        Some(run.as_millis() as u64)
    }

    /// Records the end of the run; returns whether its endpoint seems to have crashed.
    fn end(&mut self, end: RunEnd) -> bool {
        if self.ended_at.is_some() {
            return false;
        }
        let now = Instant::now();
        self.ended_at = Some(now);
        self.core.poison.end_run(self.number, end, now)
    }
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        self.end(RunEnd::Other);
    }
}
