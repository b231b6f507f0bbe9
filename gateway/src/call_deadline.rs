//! Deadlines for futures.

use std::time::Instant;

use futures_lite::FutureExt;
use smol::Timer;

/// Awaits `future` until `deadline`; returns `None` if the deadline passes first.
pub(crate) async fn timeout_at<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(future.await) }.or(timer).await
}
