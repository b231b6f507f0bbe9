//! Keeps the beliefs up with the store.
//!
//! Each prefix has a task of its own that reads it in full, then watches it from
//! that version on. A watch that fails is followed by a full read, so nothing is
//! missed; an answer is never applied after a newer one, as one call follows the
//! other.

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

/// Time that the store holds a watch open when nothing changes.
const WATCH_TIMEOUT_MS: Milliseconds = 10_000;
/// Time for a full read; a slow store answers within some hundred milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Failures in a row after which a prefix counts as lost, where others are answered.
const LOST_AFTER_FAILURES: u32 = 2;
/// Pause before the call after a failed one while the store answers others.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// What a watched prefix is about.
pub(crate) trait PrefixSink: Send + Sync + 'static {
    /// The prefix.
    fn prefix(&self) -> String;

    /// Takes a full read; `after_outage` tells that calls have failed before it.
    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, after_outage: bool);

    /// Takes changes in order; they are known as of `as_of`.
    fn apply(&self, core: &Arc<GatewayCore>, events: Vec<StoreEvent>, as_of: StoreVersion);

    /// Takes whether the prefix can be read.
    fn set_lost(&self, core: &GatewayCore, is_lost: bool);

    /// Pause between two watches.
    fn watch_interval(&self, core: &GatewayCore) -> Duration;
}

/// How the calls for one prefix have gone.
#[derive(Default)]
struct PrefixHealth {
    failures: u32,
    is_lost: bool,
    reason: String,
}

/// Follows a prefix for ever.
pub(crate) fn follow(core: Arc<GatewayCore>, sink: impl PrefixSink) {
    runtime::spawn(async move {
        let mut health = PrefixHealth::default();
        loop {
            wait_for_store(&core, &sink, &mut health).await;
            let error = match read_and_watch(&core, &sink, &mut health).await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            if let StoreError::HistoryGone { .. } = error {
                core.log.write(
                    LogKind::Dependency,
                    json!({"on": "store", "prefix": sink.prefix(), "state": "history gone"}),
                );
                continue;
            }
            health.failures += 1;
            health.reason = error.to_string();
            if health.failures >= LOST_AFTER_FAILURES {
                mark_prefix_lost(&core, &sink, &mut health);
            }
            Timer::after(RETRY_DELAY).await;
        }
    });
}

/// Waits until the store may be called; while others find it away, so is the prefix
/// whose last call has failed.
async fn wait_for_store(core: &GatewayCore, sink: &impl PrefixSink, health: &mut PrefixHealth) {
    while let Some(retry_at) = core.store_blocked_until() {
        if health.failures > 0 {
            mark_prefix_lost(core, sink, health);
        }
        Timer::at(retry_at).await;
    }
}

fn mark_prefix_lost(core: &GatewayCore, sink: &impl PrefixSink, health: &mut PrefixHealth) {
    if health.is_lost {
        return;
    }
    health.is_lost = true;
    sink.set_lost(core, true);
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
    // A watch that is cut says little of the store; the read after it does.
    let result = read.await;
    core.record_store_result(&result);
    let range = count_call(core, "read", result)?;
    let mut as_of = range.as_of;
    if health.is_lost {
        core.log.write(
            LogKind::Dependency,
            json!({"on": "store", "prefix": prefix, "state": "back", "failures": health.failures}),
        );
    }
    sink.replace(core, range, health.failures > 0);
    sink.set_lost(core, false);
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
