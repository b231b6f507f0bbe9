//! Tells all parts of a process to stop.

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

/// Waits for the stop.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: Receiver<()>,
}

/// Causes the stop when it is dropped.
#[derive(Debug)]
pub struct StopTrigger {
    _sender: Sender<()>,
}

impl StopSignal {
    /// Returns a signal and its trigger.
    pub fn new() -> (StopTrigger, Self) {
        let (sender, receiver) = channel::bounded(1);
        (StopTrigger { _sender: sender }, Self { receiver })
    }

    /// Waits until the trigger is dropped.
    pub async fn wait(&self) {
        while self.receiver.recv().await.is_ok() {}
    }

    /// Tells whether the trigger has been dropped.
    pub fn is_set(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Waits until the process is asked to end by SIGTERM or SIGINT.
    pub async fn wait_for_termination() -> std::io::Result<()> {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        signals.next().await;
        Ok(())
    }
}
