//! Keeps local state in sync with the store.
//!
//! Each prefix has its own task, which reads the prefix in full and then watches it
//! from that version on. A failed watch is followed by a full read, so no change is
//! missed. Calls for a prefix are sequential, so results are never applied out of
//! order.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use futures_lite::FutureExt;
use jujuberoad::era::StoreEra;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::StoreVersion;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::backends::StoreEvent;
use jujuberoad_node::backends::StoreEvents;
use jujuberoad_node::backends::StoredRange;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;
use strum::Display;

use crate::gateway_core::GatewayCore;

/// Longest time for which the store holds a watch open if nothing changes.
pub(crate) const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);
/// Shortest such time, so that a watch is not a poll.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(500);
/// Time beyond the wait after which a watch fails. The store responds within milliseconds, a
/// slow one within a few hundred.
const WATCH_ANSWER_TIME: Duration = Duration::from_millis(900);
/// Time for the full read that follows a failed watch.
const REREAD_TIME: Duration = Duration::from_millis(500);
/// Timeout for a full read; a slow store answers within a few hundred milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Consecutive failures after which a prefix counts as unavailable while other calls to
/// the store succeed.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;
/// Delay after a failed call while other calls to the store succeed.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// What a full read follows.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ReadCause {
    /// A start, or a watch that was interrupted beside calls that succeed.
    Routine,
    /// Failed calls: entries may have lapsed while the store was away.
    Outage,
    /// A restore of the store from a copy: what is missing may have been lost.
    Restore,
}

/// Applies the contents of a watched key prefix.
#[async_trait]
pub(crate) trait PrefixSink: Send + Sync + 'static {
    /// Returns the key prefix.
    fn prefix(&self) -> String;

    /// Replaces the state with a full read.
    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, cause: ReadCause);

    /// Applies changes in order; afterwards the state reflects version `as_of`, which is the
    /// newest one unless `may_be_cut`.
    fn apply(
        &self,
        core: &Arc<GatewayCore>,
        events: Vec<StoreEvent>,
        as_of: StoreVersion,
        may_be_cut: bool,
    );

    /// Records whether the prefix is currently unreadable.
    fn set_unavailable(&self, core: &GatewayCore, is_unavailable: bool);

    /// Returns the delay between watches.
    fn watch_interval(&self, core: &GatewayCore) -> Duration;

    /// Returns the time for which the store may hold a watch open. A watch whose answer is
    /// lost hides changes for that long.
    fn watch_wait(&self, _core: &GatewayCore) -> Duration {
        MAX_WATCH_WAIT
    }

    /// Waits until a watch in progress that waits for `wait` is to be dropped and renewed at once.
    async fn until_outdated(&self, _core: &GatewayCore, _wait: Duration) {
        std::future::pending().await
    }

    /// Waits until the next watch is due; returns the version after which it starts. The
    /// state reflects version `as_of` or, if other routers relay changes, a newer one.
    async fn wait(&self, core: &GatewayCore, as_of: StoreVersion) -> StoreVersion {
        let watch_interval = self.watch_interval(core);
        if !watch_interval.is_zero() {
            Timer::after(watch_interval).await;
        }
        as_of
    }
}

/// Returns the longest wait of a watch that is renewed within `settle_time` even if it is never
/// answered.
///
/// Nothing shows that an answer was lost: the connection looks sound, and the store answers all
/// other calls.
pub(crate) fn bounded_watch_wait(settle_time: Duration) -> Duration {
    settle_time
        .saturating_sub(WATCH_ANSWER_TIME + REREAD_TIME)
        .clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
}

/// Results of the recent calls for one prefix.
#[derive(Default)]
struct PrefixHealth {
    /// Era of the last full read.
    era: Option<StoreEra>,
    /// When the store last answered for the prefix.
    confirmed_at: Option<Instant>,
    /// Consecutive failures, without those of watches that were interrupted.
    failures: u32,
    is_unavailable: bool,
    reason: String,
}

impl PrefixHealth {
    /// Returns whether other calls have failed since the store last answered for the prefix.
    fn has_missed_calls(&self, core: &GatewayCore) -> bool {
        let outages = &core.store_outages;
        self.confirmed_at
            .is_some_and(|confirmed_at| outages.has_failed_since(confirmed_at))
    }
}

/// A failed call for one prefix.
enum FollowError {
    Read(StoreError),
    Watch(StoreError),
}

/// Starts the task that reads and watches a prefix.
pub(crate) fn follow(core: Arc<GatewayCore>, sink: impl PrefixSink) {
    runtime::spawn(async move {
        let mut health = PrefixHealth::default();
        loop {
            wait_for_store(&core, &sink, &mut health).await;
            let (error, is_watch) = match read_and_watch(&core, &sink, &mut health).await {
                Ok(never) => match never {},
                Err(FollowError::Read(error)) => (error, false),
                Err(FollowError::Watch(error)) => (error, true),
            };
            if let StoreError::EraChanged { .. } = error {
                continue;
            }
            if let StoreError::HistoryCompacted { .. } = error {
                core.log.write(
                    LogKind::Dependency,
                    json!({"on": "store", "prefix": sink.prefix(), "state": "history gone"}),
                );
                continue;
            }
            // A watch may be cut at any time; other calls show whether the store is away.
            let is_interrupted = is_watch && matches!(error, StoreError::Call(_));
            health.failures += u32::from(!is_interrupted);
            health.reason = error.to_string();
            if health.failures >= UNAVAILABLE_AFTER_FAILURES {
                mark_prefix_unavailable(&core, &sink, &mut health);
            }
            Timer::after(RETRY_DELAY).await;
        }
    });
}

/// Waits until the circuit breaker of the store permits a call. While it is open, a
/// prefix counts as unavailable whose last call failed, or whose watch was cut meanwhile.
async fn wait_for_store(core: &GatewayCore, sink: &impl PrefixSink, health: &mut PrefixHealth) {
    while let Some(retry_at) = core.try_store_call() {
        if health.failures > 0 || health.has_missed_calls(core) {
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
) -> Result<Never, FollowError> {
    let prefix = sink.prefix();
    let read = core
        .backends
        .store
        .read_prefix(&prefix, Instant::now() + READ_TIMEOUT);
    // Watches do not update the circuit breaker: an interrupted watch says little
    // about the store, but the read that follows it does.
    let result = read.await;
    core.record_store_result(&result);
    let range = count_call(core, "read", result).map_err(FollowError::Read)?;
    log_unreadable(core, &prefix, &range.unreadable);
    let mut as_of = range.as_of;
    if health.is_unavailable {
        core.log.write(
            LogKind::Dependency,
            json!({"on": "store", "prefix": prefix, "state": "back", "failures": health.failures}),
        );
    }
    let era = range.era;
    let cause = match health.era {
        Some(known) if known != era => ReadCause::Restore,
        _ if health.failures > 0 || health.has_missed_calls(core) => ReadCause::Outage,
        _ => ReadCause::Routine,
    };
    sink.replace(core, range, cause);
    sink.set_unavailable(core, false);
    *health = PrefixHealth {
        era: Some(era),
        confirmed_at: Some(Instant::now()),
        ..PrefixHealth::default()
    };
    let mut is_renewal = false;
    loop {
        let mut wait = sink.watch_wait(core);
        if is_renewal {
            // Part of the time in which a change has to be read has passed.
            wait = wait.min(MIN_WATCH_WAIT);
        }
        let watch = async {
            let watch = watch_while_valid(core, &prefix, era, as_of, wait);
            Some(watch.await)
        };
        let outdated = async {
            sink.until_outdated(core, wait).await;
            None
        };
        let Some(result) = watch.or(outdated).await else {
            core.metrics.record_call("watch", "dropped");
            is_renewal = true;
            continue;
        };
        is_renewal = false;
        let answer = count_call(core, "watch", result).map_err(FollowError::Watch)?;
        log_unreadable(core, &prefix, &answer.unreadable);
        health.confirmed_at = Some(Instant::now());
        as_of = answer.as_of.max(as_of);
        let may_be_cut = answer.may_be_cut();
        sink.apply(core, answer.events, as_of, may_be_cut);
        if may_be_cut {
            // The rest is due already.
            is_renewal = true;
            continue;
        }
        as_of = sink.wait(core, as_of).await.max(as_of);
    }
}

/// Watches a prefix; fails as soon as any call shows that a new era of the store has begun or
/// that the store answers again after an outage.
async fn watch_while_valid(
    core: &GatewayCore,
    prefix: &str,
    era: StoreEra,
    after: StoreVersion,
    wait: Duration,
) -> Result<StoreEvents, StoreError> {
    let store = &core.backends.store;
    let restored = async {
        store.eras().wait_beyond(era).await;
        Err(StoreError::EraChanged {
            key: prefix.to_owned(),
            expected: era,
            found: store.eras().newest(),
        })
    };
    let outages = &core.store_outages;
    let known_outages = outages.ended();
    let outdated = async {
        outages.wait_beyond(known_outages).await;
        let prefix = prefix.to_owned();
        Err(StoreError::WatchOutdated { prefix })
    };
    let wait_ms = wait.as_millis() as Milliseconds;
    let deadline = Instant::now() + wait + WATCH_ANSWER_TIME;
    let watch = store.watch_prefix(prefix, era, after, wait_ms, deadline);
    restored.or(outdated).or(watch).await
}

/// Logs what is wrong with the first of the items below `prefix` that cannot be read.
fn log_unreadable(core: &GatewayCore, prefix: &str, reasons: &[String]) {
    let Some(reason) = reasons.first() else {
        return;
    };
    core.log.write(
        LogKind::Damaged,
        json!({"what": prefix, "items": reasons.len(), "reason": reason}),
    );
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
