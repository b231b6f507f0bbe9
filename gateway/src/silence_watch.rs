//! Tells when the endpoint of a stream is suspected to be lost.

use std::time::Instant;

use futures_lite::FutureExt;
use jujuberoad::ids::EndpointId;
use smol::Timer;

use crate::stream_guard::SilenceSignal;

/// What ends a wait for a run.
pub(crate) enum Wakeup<T> {
    /// An output of the run.
    Original(T),
    /// A sign of silence, by its reason.
    Silence(&'static str),
}

/// The signs by which an endpoint is known to be silent.
pub(crate) struct SilenceWatch {
    pub(crate) endpoint: EndpointId,
    pub(crate) signal: SilenceSignal,
    /// When a stream without an event counts as silent; `None` for a stream that has not begun.
    pub(crate) idle_deadline: Option<Instant>,
}

impl SilenceWatch {
    /// Waits for a sign of silence, until `wake_at` at the latest.
    pub(crate) async fn wait<T>(&self, wake_at: Option<Instant>) -> Wakeup<T> {
        let signalled = async {
            self.signal.wait().await;
            Wakeup::Silence("the group fell silent")
        };
        let idle = async {
            match wake_at {
                Some(wake_at) => Timer::at(wake_at).await,
                None => std::future::pending().await,
            };
            Wakeup::Silence("no event arrived in time")
        };
        signalled.or(idle).await
    }
}
