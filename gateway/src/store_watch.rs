//! Keeps local state in sync with the store.
//!
//! Each prefix has its own task, which reads the prefix in full and then watches it
//! from that version on. A failed watch is followed by a full read, so no change is
//! missed. Calls for a prefix are sequential, so results are never applied out of
//! order.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::StoreVersion;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::backends::StoreEvent;
use jujuberoad_node::backends::StoredRange;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;

/// Time for which the store holds a watch open if nothing changes.
const WATCH_TIMEOUT_MS: Milliseconds = 10_000;
/// Timeout for a full read; a slow store answers within a few hundred milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Consecutive failures after which a prefix counts as unavailable while other calls to
/// the store succeed.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;
/// Delay after a failed call while other calls to the store succeed.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Applies the contents of a watched key prefix.
pub(crate) trait PrefixSink: Send + Sync + 'static {
    /// Returns the key prefix.
    fn prefix(&self) -> String;

    /// Replaces the state with a full read; `after_outage` is set if calls for this prefix
    /// failed before it.
    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, after_outage: bool);

    /// Applies changes in order; afterwards the state reflects version `as_of`.
    fn apply(&self, core: &Arc<GatewayCore>, events: Vec<StoreEvent>, as_of: StoreVersion);

    /// Records whether the prefix is currently unreadable.
    fn set_unavailable(&self, core: &GatewayCore, is_unavailable: bool);

    /// Returns the delay between watches.
    fn watch_interval(&self, core: &GatewayCore) -> Duration;
}

/// Results of the recent calls for one prefix.
#[derive(Default)]
struct PrefixHealth {
    failures: u32,
    is_unavailable: bool,
    reason: String,
}

/// Starts the task that reads and watches a prefix.
pub(crate) fn follow(core: Arc<GatewayCore>, sink: impl PrefixSink) {
    runtime::spawn(async move {
        let mut health = PrefixHealth::default();
        loop {
            wait_for_store(&core, &sink, &mut health).await;
            let error = match read_and_watch(&core, &sink, &mut health).await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            if let StoreError::HistoryCompacted { .. } = error {
                core.log.write(
                    LogKind::Dependency,
                    json!({"on": "store", "prefix": sink.prefix(), "state": "history gone"}),
                );
                continue;
            }
            health.failures += 1;
            health.reason = error.to_string();
            if health.failures >= UNAVAILABLE_AFTER_FAILURES {
                mark_prefix_unavailable(&core, &sink, &mut health);
            }
            Timer::after(RETRY_DELAY).await;
        }
    });
}

/// Waits until the circuit breaker of the store permits a call. While it is open, a
/// prefix whose last call failed counts as unavailable.
async fn wait_for_store(core: &GatewayCore, sink: &impl PrefixSink, health: &mut PrefixHealth) {
    while let Some(retry_at) = core.try_store_call() {
        if health.failures > 0 {
            mark_prefix_unavailable(core, sink, health);
        }
        Timer::at(retry_at).await;
    }
}

fn mark_prefix_unavailable(core: &GatewayCore, sink: &impl PrefixSink, health: &mut PrefixHealth) {
    if health.is_unavailable {
        return;
    }
    health.is_unavailable = true;
    sink.set_unavailable(core, true);
    core.log.write(
        LogKind::Dependency,
        json!({
            "on": "store",
            "prefix": sink.prefix(),
            "state": "lost",
            "reason": health.reason,
        }),
    );
}

enum Never {}

async fn read_and_watch(
    core: &Arc<GatewayCore>,
    sink: &impl PrefixSink,
    health: &mut PrefixHealth,
) -> Result<Never, StoreError> {
    let prefix = sink.prefix();
    let read = core
        .backends
        .store
        .read_prefix(&prefix, Instant::now() + READ_TIMEOUT);
    // Watches do not update the circuit breaker: an interrupted watch says little
    // about the store, but the read that follows it does.
    let result = read.await;
    core.record_store_result(&result);
    let range = count_call(core, "read", result)?;
    let mut as_of = range.as_of;
    if health.is_unavailable {
        core.log.write(
            LogKind::Dependency,
            json!({"on": "store", "prefix": prefix, "state": "back", "failures": health.failures}),
        );
    }
    sink.replace(core, range, health.failures > 0);
    sink.set_unavailable(core, false);
    *health = PrefixHealth::default();
    loop {
        let watch = core
            .backends
            .store
            .watch_prefix(&prefix, as_of, WATCH_TIMEOUT_MS);
        let answer = count_call(core, "watch", watch.await)?;
        as_of = answer.as_of.max(as_of);
        sink.apply(core, answer.events, as_of);
        let watch_interval = sink.watch_interval(core);
        if !watch_interval.is_zero() {
            Timer::after(watch_interval).await;
        }
    }
}

fn count_call<T>(
    core: &GatewayCore,
    call: &str,
    result: Result<T, StoreError>,
) -> Result<T, StoreError> {
    core.metrics
        .record_call(call, if result.is_ok() { "ok" } else { "failed" });
    result
}
