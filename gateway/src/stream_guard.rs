//! What is told of the events and the end of a stream while it is forwarded.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use smol::channel::Receiver;
use smol_str::SmolStr;

/// The source of a stream that is being forwarded; dropping it ends the run there.
pub(crate) trait StreamGuard: Send {
    /// Records that events have arrived, which makes earlier signals of silence void.
    fn observe_event(&mut self);

    /// Returns the endpoint or the router that the stream comes from.
    fn place(&self) -> &SmolStr;

    /// Returns the group that serves the stream, if this router knows it.
    fn group(&self) -> Option<String>;

    /// Returns a signal that does not borrow the guard.
    fn silence_signal(&self) -> SilenceSignal;

    /// Records that the answer came whole.
    fn record_complete(&mut self);

    /// Records that the connection was lost before the end of the answer.
    fn record_lost(&mut self);

    /// Returns the time from the first event of the run until its end or until now; `None` if
    /// it had no event.
    fn run_ms(&self) -> Option<u64>;
}

/// Tells that the group of a stream is suspected to be lost.
#[derive(Clone)]
pub(crate) struct SilenceSignal {
    silence: Receiver<()>,
    was_silent: Arc<AtomicBool>,
}

impl SilenceSignal {
    /// Creates a signal from the messages of `silence`.
    pub(crate) fn new(silence: Receiver<()>) -> Self {
        Self {
            silence,
            was_silent: Arc::default(),
        }
    }

    /// Waits for the next signal; forever once the stream has ended.
    pub(crate) async fn wait(&self) {
        if self.silence.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
        self.was_silent.store(true, Ordering::Relaxed);
    }

    /// Drops pending signals.
    pub(crate) fn clear(&self) {
        while self.silence.try_recv().is_ok() {}
    }

    /// Returns whether a signal has been taken.
    pub(crate) fn was_silent(&self) -> bool {
        self.was_silent.load(Ordering::Relaxed)
    }
}
