//! Stop signal for the tasks of a process.

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

/// Receiver side of the stop signal.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: Receiver<()>,
}

/// Sets the stop signal when it is dropped.
#[derive(Debug)]
pub struct StopTrigger {
    _sender: Sender<()>,
}

impl StopSignal {
    /// Creates a trigger and its signal.
    pub fn new() -> (StopTrigger, Self) {
        let (sender, receiver) = channel::bounded(1);
        (StopTrigger { _sender: sender }, Self { receiver })
    }

    /// Waits until the trigger is dropped.
    pub async fn wait(&self) {
        while self.receiver.recv().await.is_ok() {}
    }

    /// Returns whether the trigger has been dropped.
    pub fn is_set(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Waits until the process receives SIGTERM or SIGINT.
    pub async fn wait_for_termination() -> std::io::Result<()> {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        signals.next().await;
        Ok(())
    }
}
