//! A stream that comes from an endpoint.

use std::sync::Arc;

use jujuberoad::ids::EndpointId;
use jujuberoad::ids::ServiceId;
use smol_str::SmolStr;

use crate::caller_request::CallerRequest;
use crate::gateway_core::GatewayCore;
use crate::reserved_target::ReservedTarget;
use crate::run_watch::RunWatch;
use crate::stall_monitor::StreamNumber;
use crate::stream_guard::SilenceSignal;
use crate::stream_guard::StreamGuard;

/// Registration of a stream with the detectors of stalls and of crashes; dropping it removes
/// the stream.
pub(crate) struct EndpointGuard {
    core: Arc<GatewayCore>,
    pub(crate) reserved: ReservedTarget,
    number: StreamNumber,
    pub(crate) run: RunWatch,
    service: ServiceId,
    /// Told each time the group of the stream is found silent or dissolved.
    signal: SilenceSignal,
}

impl EndpointGuard {
    /// Registers a stream that is about to be opened at `reserved`.
    pub(crate) fn new(
        core: &Arc<GatewayCore>,
        reserved: ReservedTarget,
        request: &Arc<CallerRequest>,
    ) -> Self {
        let first_event_timeout = {
            let latency = core.first_events.lock().expect("first event lock");
            latency.first_event_timeout(&request.pool)
        };
        let run = RunWatch::new(core, request, &reserved.target.endpoint);
        let (number, silence) = core
            .stalls
            .add_stream(&reserved.target, first_event_timeout);
        Self {
            core: Arc::clone(core),
            reserved,
            number,
            run,
            service: request.pool.service.clone(),
            signal: SilenceSignal::new(silence),
        }
    }

    /// Returns the endpoint that serves the stream.
    pub(crate) fn endpoint(&self) -> &EndpointId {
        &self.reserved.target.endpoint
    }

    /// Returns whether the stream has been signalled as silent.
    pub(crate) fn was_silent(&self) -> bool {
        self.signal.was_silent()
    }
}

impl StreamGuard for EndpointGuard {
    fn observe_event(&mut self) {
        self.signal.clear();
        self.reserved.record_prompt_processed();
        self.run.record_event();
        let target = &self.reserved.target;
        self.core
            .observe_contact(&self.service, &target.endpoint, target.address);
        let stalls = &self.core.stalls;
        let recovered = stalls.observe_event(&target.endpoint, self.number);
        for member in recovered {
            self.core.clear_unreachable(&member);
        }
    }

    fn place(&self) -> &SmolStr {
        self.endpoint()
    }

    fn group(&self) -> Option<String> {
        let group = self.reserved.target.group.as_ref();
        group.map(ToString::to_string)
    }

    fn silence_signal(&self) -> SilenceSignal {
        self.signal.clone()
    }

    fn record_complete(&mut self) {
        self.run.record_complete();
    }

    fn record_lost(&mut self) {
        self.run.record_lost();
    }

    fn run_ms(&self) -> Option<u64> {
        self.run.run_ms()
    }
}

impl Drop for EndpointGuard {
    fn drop(&mut self) {
        self.core
            .stalls
            .remove_stream(&self.reserved.target.endpoint, self.number);
    }
}
