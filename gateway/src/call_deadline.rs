//! Waiting with a deadline.

use std::time::Instant;

use futures_lite::FutureExt;
use smol::Timer;

/// Waits for `future` until `deadline`; returns nothing when that passes first.
pub(crate) async fn by_deadline<T>(
    deadline: Instant,
    future: impl Future<Output = T>,
) -> Option<T> {
    let timer = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(future.await) }.or(timer).await
}
