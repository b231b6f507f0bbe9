//! A stream that comes through a peer.

use std::time::Instant;

use smol::channel;
use smol::channel::Sender;
use smol_str::SmolStr;

use crate::relay_call::RelayPermit;
use crate::stream_guard::SilenceSignal;
use crate::stream_guard::StreamGuard;

/// A stream that comes through a peer, which watches the endpoint.
pub(crate) struct RelayGuard {
    permit: RelayPermit,
    started_at: Option<Instant>,
    /// Keeps the signal of silence open, which never comes here.
    _silence: Sender<()>,
    signal: SilenceSignal,
}

impl RelayGuard {
    pub(crate) fn new(permit: RelayPermit) -> Self {
        let (sender, receiver) = channel::bounded(1);
        Self {
            permit,
            started_at: None,
            _silence: sender,
            signal: SilenceSignal::new(receiver),
        }
    }
}

impl StreamGuard for RelayGuard {
    fn observe_event(&mut self) {
        self.started_at.get_or_insert_with(Instant::now);
    }

    fn place(&self) -> &SmolStr {
        &self.permit.peer
    }

    fn group(&self) -> Option<String> {
        None
    }

    fn silence_signal(&self) -> SilenceSignal {
        self.signal.clone()
    }

    fn record_complete(&mut self) {}

    fn record_lost(&mut self) {}

    fn run_ms(&self) -> Option<u64> {
        let started_at = self.started_at?;
        Some(started_at.elapsed().as_millis() as u64)
    }
}
