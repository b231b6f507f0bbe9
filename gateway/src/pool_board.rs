//! Waiting, running and ended requests by pool, of this router and of its peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::admission::overload::PoolActivity;
use jujuberoad::admission::overload::PoolClass;
use jujuberoad::admission::overload::PoolPressure;
use jujuberoad::fleet::PoolKey;
use jujuberoad::peer::PoolWaiting;

use crate::gateway_core::GatewayCore;

/// Age at which the sum over peers is read anew. A peer sends no two digests within this time.
const PEER_SUM_LIFETIME: Duration = Duration::from_millis(50);

/// Counts of this router, and the sum over its peers as last read.
#[derive(Default)]
pub(crate) struct PoolBoard {
    own: Mutex<PoolActivity>,
    peers: Mutex<PeerSum>,
}

#[derive(Default)]
struct PeerSum {
    counts: Arc<[PoolWaiting]>,
    valid_until: Option<Instant>,
}

impl PoolBoard {
    /// Returns the counts of this router, for its digests.
    pub(crate) fn own_waiting(&self, now: Instant) -> Vec<PoolWaiting> {
        self.own.lock().expect("pool activity lock").snapshot(now)
    }

    /// Returns the number of waiting requests that can still be on time, by priority.
    pub(crate) fn waiting_by_priority(&self, now: Instant) -> BTreeMap<u32, u32> {
        let mut by_priority = BTreeMap::new();
        for count in self.own_waiting(now) {
            *by_priority.entry(count.priority).or_insert(0) += count.waiting;
        }
        by_priority
    }
}

/// Returns the requests of a pool over all routers; without digests, those of this one.
pub(crate) fn pool_pressure(core: &GatewayCore, pool: &PoolKey, now: Instant) -> PoolPressure {
    let peers = {
        let mut sum = core.pool_activity.peers.lock().expect("peer sum lock");
        if sum.valid_until.is_none_or(|until| now >= until) {
            sum.counts = PoolPressure::sum_classes(core.digests.fleet_waiting(now)).into();
            sum.valid_until = Some(now + PEER_SUM_LIFETIME);
        }
        Arc::clone(&sum.counts)
    };
    let own = core.pool_activity.own_waiting(now);
    PoolPressure::new(pool, &own, &peers)
}

/// A request that is counted as waiting while it can be on time.
pub(crate) struct WaitCount<'a> {
    core: &'a GatewayCore,
    /// Absent once the request can no longer be on time.
    class: Option<&'a PoolClass>,
}

impl<'a> WaitCount<'a> {
    /// Counts a request that begins to wait.
    pub(crate) fn new(core: &'a GatewayCore, class: &'a PoolClass) -> Self {
        let mut own = core.pool_activity.own.lock().expect("pool activity lock");
        own.begin_wait(class);
        drop(own);
        Self {
            core,
            class: Some(class),
        }
    }

    /// Stops counting the request.
    pub(crate) fn end(&mut self) {
        if let Some(class) = self.class.take() {
            let own = &self.core.pool_activity.own;
            own.lock().expect("pool activity lock").end_wait(class);
        }
    }
}

impl Drop for WaitCount<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

/// A request that is counted as running until this is dropped.
pub(crate) struct RunningCount {
    core: Arc<GatewayCore>,
    class: PoolClass,
}

impl RunningCount {
    /// Counts a request that has got a slot.
    pub(crate) fn new(core: &Arc<GatewayCore>, class: PoolClass) -> Self {
        let mut own = core.pool_activity.own.lock().expect("pool activity lock");
        own.begin_run(&class);
        drop(own);
        Self {
            core: Arc::clone(core),
            class,
        }
    }
}

impl Drop for RunningCount {
    fn drop(&mut self) {
        let own = &self.core.pool_activity.own;
        let mut own = own.lock().expect("pool activity lock");
        own.end_run(&self.class, Instant::now());
    }
}
