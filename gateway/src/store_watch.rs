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
const WATCH_MS: Milliseconds = 10_000;
/// Time for a full read; a slow store answers within some hundred milliseconds.
const READ_LIMIT: Duration = Duration::from_millis(1_500);
/// First and longest pause after a failed call: calls that the store turns away are
/// billed too, and configurations are to be in force two seconds after it is back.
const RETRY_PACE: (Duration, Duration) = (Duration::from_millis(120), Duration::from_millis(800));
/// Failures in a row after which the store counts as lost.
const LOST_AFTER: u32 = 2;

/// What a watched prefix is about.
pub(crate) trait PrefixSink: Send + Sync + 'static {
    /// The prefix.
    fn prefix(&self) -> String;

    /// Takes a full read; `after_outage` tells that calls have failed before it.
    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, after_outage: bool);

    /// Takes changes in order; they are known as of `as_of`.
    fn apply(&self, core: &Arc<GatewayCore>, events: Vec<StoreEvent>, as_of: StoreVersion);

    /// Takes whether the prefix can be read.
    fn note_contact(&self, core: &GatewayCore, is_lost: bool);

    /// Pause between two watches.
    fn pace(&self, core: &GatewayCore) -> Duration;
}

/// Follows a prefix for ever.
pub(crate) fn follow(core: Arc<GatewayCore>, sink: impl PrefixSink) {
    runtime::spawn(async move {
        let mut failures = 0;
        loop {
            let error = match follow_once(&core, &sink, &mut failures).await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            let prefix = sink.prefix();
            if let StoreError::HistoryGone { .. } = error {
                core.log.write(
                    LogKind::Dependency,
                    json!({"on": "store", "prefix": prefix, "state": "history gone"}),
                );
                continue;
            }
            failures += 1;
            if failures == LOST_AFTER {
                sink.note_contact(&core, true);
                core.log.write(
                    LogKind::Dependency,
                    json!({
                        "on": "store",
                        "prefix": prefix,
                        "state": "lost",
                        "reason": error.to_string(),
                    }),
                );
            }
            Timer::after(retry_pause(failures)).await;
        }
    });
}

/// Returns a pause that doubles with each failure, spread over the routers.
fn retry_pause(failures: u32) -> Duration {
    let doubled = RETRY_PACE.0 * 2_u32.pow(failures.clamp(1, 8) - 1);
    doubled
        .min(RETRY_PACE.1)
        .mul_f64(0.75 + 0.5 * fastrand::f64())
}

enum Never {}

async fn follow_once(
    core: &Arc<GatewayCore>,
    sink: &impl PrefixSink,
    failures: &mut u32,
) -> Result<Never, StoreError> {
    let prefix = sink.prefix();
    let read = core
        .parts
        .store
        .read_prefix(&prefix, Instant::now() + READ_LIMIT);
    let range = note(core, "read", read.await)?;
    let mut as_of = range.as_of;
    if *failures >= LOST_AFTER {
        core.log.write(
            LogKind::Dependency,
            json!({"on": "store", "prefix": prefix, "state": "back", "failures": *failures}),
        );
    }
    sink.replace(core, range, *failures > 0);
    sink.note_contact(core, false);
    *failures = 0;
    loop {
        let watch = core.parts.store.watch_prefix(&prefix, as_of, WATCH_MS);
        let answer = note(core, "watch", watch.await)?;
        as_of = answer.as_of.max(as_of);
        sink.apply(core, answer.events, as_of);
        let pace = sink.pace(core);
        if !pace.is_zero() {
            Timer::after(pace).await;
        }
    }
}

fn note<T>(core: &GatewayCore, call: &str, result: Result<T, StoreError>) -> Result<T, StoreError> {
    core.metrics
        .note_call(call, if result.is_ok() { "ok" } else { "failed" });
    result
}
