//! The store lease of this process, its router entry and the placer's lock.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jujuberoad::fleet::OrderAuthority;
use jujuberoad::ids::Fence;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::StoreVersion;
use jujuberoad::peer::PeerMessage;
use jujuberoad_node::backends::LeaseId;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::backends::StoreTransaction;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::boot_clock;
use crate::gateway_core::GatewayCore;

/// Key prefix of router entries.
pub(crate) const ROUTER_PREFIX: &str = "jujuberoad/routers/";
/// Key of the placer's lock.
pub(crate) const PLACER_KEY: &str = "jujuberoad/placer";
/// Lease TTL; a standby takes over this long after the placer is killed.
const LEASE_TTL_MS: Milliseconds = 2_000;
/// Interval between renewals; three fit in a lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Number of copies sent of a handover message, because datagrams may be lost.
const HANDOVER_SENDS: u32 = 3;
/// Timeout for a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// State of the lease, the router entry and the placer's lock.
#[derive(Default)]
pub(crate) struct SessionState {
    lease: Option<LeaseId>,
    order_authority: OrderAuthority,
    /// Whether the lock is held, according to the last read of the store.
    is_lock_held: bool,
    has_entry: bool,
    has_read_lock: bool,
}

/// Session state, shared by the renewal task and the tasks that send orders.
#[derive(Default)]
pub(crate) struct StoreSession {
    state: Mutex<SessionState>,
}

impl StoreSession {
    /// Returns the fencing token under which orders may be sent now, if any.
    pub(crate) fn order_fence(&self) -> Option<Fence> {
        self.lock().order_authority.current(boot_clock::now())
    }

    /// Ends the term of a fence that an engine has refused.
    pub(crate) fn end_term(&self, fence: Fence) {
        self.lock().order_authority.revoke(fence);
    }

    /// Records the fence of a peer that is the placer; ends an older term of this router.
    pub(crate) fn observe_peer_fence(&self, fence: Fence) {
        self.lock().order_authority.observe_peer_fence(fence);
    }

    /// Takes over the term of a peer that stops during a store outage; returns whether it
    /// was accepted.
    pub(crate) fn take_over(&self, fence: Fence) -> bool {
        self.lock().order_authority.take_over(fence)
    }

    /// Records the state of the lock in the store: its version and whether this router
    /// holds it, or `None` if it is free.
    pub(crate) fn observe_lock(&self, held: Option<(StoreVersion, bool)>) {
        let mut state = self.lock();
        state.has_read_lock = true;
        state.is_lock_held = held.is_some();
        // The lock may have been acquired by a write whose response was lost.
        match held {
            Some((version, true)) if state.lease.is_some() => {
                if state.order_authority.fence().is_none() {
                    state.order_authority.lock_acquired(version);
                }
            }
            // Also ends authority that a peer handed over during an outage, once the
            // store can be read again.
            _ => state.order_authority.lock_lost(),
        }
    }

    /// Records that this router's entry has disappeared from the store.
    pub(crate) fn mark_entry_lost(&self) {
        self.lock().has_entry = false;
    }

    fn lock(&self) -> MutexGuard<'_, SessionState> {
        self.state.lock().expect("session lock")
    }
}

/// Starts the loop that opens and renews the lease and acquires the lock when it is free.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        loop {
            if core.is_stopping() {
                return;
            }
            while let Some(retry_at) = core.try_store_call() {
                Timer::at(retry_at).await;
            }
            let result = renew_session(&core).await;
            core.record_store_result(&result);
            if let Err(error) = &result {
                core.metrics.record_call("lease", "failed");
                core.session.lock().order_authority.store_failed();
                handle_failure(&core, error);
            }
            Timer::after(RENEW_INTERVAL).await;
        }
    });
}

/// Revokes the lease, so that a standby can take over at once.
pub(crate) async fn end(core: &GatewayCore) {
    let lease = {
        let mut state = core.session.lock();
        state.lease.take()
    };
    let Some(lease) = lease else {
        return;
    };
    let ended = core
        .backends
        .store
        .end_lease(lease, Instant::now() + CALL_TIMEOUT);
    match ended.await {
        Ok(()) => core.session.lock().order_authority.lock_lost(),
        // No other router can acquire the lock while the store is unavailable, so this
        // router keeps the authority until it exits.
        Err(error) => {
            core.session.lock().order_authority.store_failed();
            let reason = error.to_string();
            core.log.write(
                LogKind::Lease,
                json!({"lease": lease, "state": "not ended", "reason": reason}),
            );
        }
    }
}

/// Hands the authority to send orders over to a peer before exiting, if the lock could
/// not be released in the store.
pub(crate) async fn hand_over(core: &GatewayCore) {
    let Some(fence) = core.session.order_fence() else {
        return;
    };
    core.session.end_term(fence);
    let successor = {
        let peers = core.peer_addresses.lock().expect("peer lock");
        let mut others = peers.iter().filter(|(id, _)| **id != core.settings.id);
        others.next().map(|(id, address)| (id.clone(), *address))
    };
    let Some((successor, address)) = successor else {
        return;
    };
    for _ in 0..HANDOVER_SENDS {
        core.peers
            .send_one_way(address, PeerMessage::Handover { fence })
            .await;
    }
    core.log.write(
        LogKind::Lease,
        json!({"fence": fence, "state": "handed over", "to": successor}),
    );
}

async fn renew_session(core: &GatewayCore) -> Result<(), StoreError> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let called_at = boot_clock::now();
    let ttl_ms = LEASE_TTL_MS.max(core.settings.shortest_lease_ms);
    let known = core.session.lock().lease;
    let lease = match known {
        Some(lease) => {
            core.backends.store.renew_lease(lease, deadline).await?;
            lease
        }
        None => core.backends.store.open_lease(ttl_ms, deadline).await?,
    };
    core.metrics.record_call("lease", "ok");
    {
        let mut state = core.session.lock();
        state.lease = Some(lease);
        // Measured from before the call, so the local lease expires before the store's.
        let valid_until = called_at + Duration::from_millis(ttl_ms);
        state.order_authority.lease_renewed(valid_until);
    }
    register_router(core, lease).await?;
    acquire_placer_lock(core, lease).await
}

async fn register_router(core: &GatewayCore, lease: LeaseId) -> Result<(), StoreError> {
    if core.session.lock().has_entry {
        return Ok(());
    }
    let key = format!("{ROUTER_PREFIX}{}", core.settings.id);
    let value = Bytes::from(core.settings.peers.to_string());
    let transaction = StoreTransaction {
        writes: vec![(key, value, Some(lease))],
        ..StoreTransaction::default()
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    core.backends.store.transact(transaction, deadline).await?;
    core.session.lock().has_entry = true;
    Ok(())
}

/// Acquires the placer's lock if it is free.
pub(crate) async fn acquire_placer_lock(
    core: &GatewayCore,
    lease: LeaseId,
) -> Result<(), StoreError> {
    {
        let state = core.session.lock();
        if state.order_authority.fence().is_some() || state.is_lock_held || !state.has_read_lock {
            return Ok(());
        }
    }
    let transaction = StoreTransaction {
        conditions: vec![(PLACER_KEY.to_owned(), 0)],
        writes: vec![(
            PLACER_KEY.to_owned(),
            Bytes::from(core.settings.id.to_string()),
            Some(lease),
        )],
        deletions: Vec::new(),
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    match core.backends.store.transact(transaction, deadline).await {
        Ok(version) => {
            core.session.lock().order_authority.lock_acquired(version);
            core.log
                .write(LogKind::Lease, json!({"placer": true, "fence": version}));
            Ok(())
        }
        // Another router acquired the lock first; the watch reports the holder.
        Err(StoreError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

fn handle_failure(core: &GatewayCore, error: &StoreError) {
    let mut state = core.session.lock();
    let had_authority = state.order_authority.fence().is_some();
    if let StoreError::LeaseExpired(_) = error {
        state.lease = None;
        state.order_authority.lease_expired();
        state.has_entry = false;
    }
    drop(state);
    core.log.write(
        LogKind::Lease,
        json!({"state": "failed", "reason": error.to_string(), "placer": had_authority}),
    );
}
