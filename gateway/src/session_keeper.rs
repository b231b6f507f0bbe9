//! The lease of this process, its entry among the routers, and the placer's lock.

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
use jujuberoad_node::backends::StoreChange;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::boot_clock;
use crate::gateway_core::GatewayCore;

/// Prefix of the routers' entries.
pub(crate) const ROUTER_PREFIX: &str = "jujuberoad/routers/";
/// Key of the placer's lock.
pub(crate) const PLACER_KEY: &str = "jujuberoad/placer";
/// Time to live of a lease: a standby takes over this long after a kill.
const LEASE_MS: Milliseconds = 2_000;
/// Pause between renewals; three fit in a lease.
const RENEW_PACE: Duration = Duration::from_millis(600);
/// Times that a right is handed over, as datagrams are lost now and then.
const HANDOVER_TRIES: u32 = 3;
/// Time for one call to the store.
const CALL_LIMIT: Duration = Duration::from_millis(900);

/// What is known of leases and of the placer's lock.
#[derive(Default)]
pub(crate) struct SessionState {
    lease: Option<LeaseId>,
    right: OrderAuthority,
    /// Whether the store shows a holder of the lock.
    is_lock_held: bool,
    has_entry: bool,
    has_read: bool,
}

/// Shared by the keeper and those who need its right.
#[derive(Default)]
pub(crate) struct Session {
    state: Mutex<SessionState>,
}

impl Session {
    /// Returns the fence under which orders may be given now.
    pub(crate) fn order_fence(&self) -> Option<Fence> {
        self.lock().right.current(boot_clock::now())
    }

    /// Ends the right under a fence that an engine has refused.
    pub(crate) fn end_term(&self, fence: Fence) {
        self.lock().right.revoke(fence);
    }

    /// Takes the fence of a peer that forms groups; an earlier one here ends.
    pub(crate) fn observe_peer_fence(&self, fence: Fence) {
        self.lock().right.observe_peer_fence(fence);
    }

    /// Takes over the right of a peer that stops while the store is away.
    pub(crate) fn take_over(&self, fence: Fence) -> bool {
        self.lock().right.take_over(fence)
    }

    /// Takes what the store shows of the lock: its version, and whether it names this
    /// router; nothing where nobody holds it.
    pub(crate) fn observe_lock(&self, held: Option<(StoreVersion, bool)>) {
        let mut state = self.lock();
        state.has_read = true;
        state.is_lock_held = held.is_some();
        // A write whose answer was lost shows here.
        match held {
            Some((version, true)) if state.lease.is_some() => {
                if state.right.fence().is_none() {
                    state.right.lock_acquired(version);
                }
            }
            // Also a right that was handed over ends when the store shows a holder.
            _ => state.right.lock_lost(),
        }
    }

    /// Notes that the own entry in the list of routers is gone.
    pub(crate) fn entry_lost(&self) {
        self.lock().has_entry = false;
    }

    fn lock(&self) -> MutexGuard<'_, SessionState> {
        self.state.lock().expect("session lock")
    }
}

/// Opens and renews the lease for ever, and takes the lock when it is free.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        loop {
            if core.is_stopping() {
                return;
            }
            while let Some(again_at) = core.try_store_gate() {
                Timer::at(again_at).await;
            }
            let result = keep_once(&core).await;
            core.note_store_answer(&result);
            if let Err(error) = &result {
                core.metrics.note_call("lease", "failed");
                core.session.lock().right.store_failed();
                note_failure(&core, error);
            }
            Timer::after(RENEW_PACE).await;
        }
    });
}

/// Gives the lease back, so that a standby takes over at once.
pub(crate) async fn end(core: &GatewayCore) {
    let lease = {
        let mut state = core.session.lock();
        state.lease.take()
    };
    let Some(lease) = lease else {
        return;
    };
    let ended = core
        .parts
        .store
        .end_lease(lease, Instant::now() + CALL_LIMIT);
    match ended.await {
        Ok(()) => core.session.lock().right.lock_lost(),
        // Nobody else can take the lock from a store that is away, so the right is
        // kept until the process ends.
        Err(error) => {
            core.session.lock().right.store_failed();
            let reason = error.to_string();
            core.log.write(
                LogKind::Lease,
                json!({"lease": lease, "state": "not ended", "reason": reason}),
            );
        }
    }
}

/// Hands a right that could not be given back to a peer, when the process ends.
pub(crate) async fn hand_over(core: &GatewayCore) {
    let Some(fence) = core.session.order_fence() else {
        return;
    };
    core.session.end_term(fence);
    let heir = {
        let peers = core.peer_addresses.lock().expect("peer lock");
        let mut others = peers.iter().filter(|(id, _)| **id != core.settings.id);
        others.next().map(|(id, address)| (id.clone(), *address))
    };
    let Some((heir, address)) = heir else {
        return;
    };
    for _ in 0..HANDOVER_TRIES {
        core.peers
            .tell(address, PeerMessage::Handover { fence })
            .await;
    }
    core.log.write(
        LogKind::Lease,
        json!({"fence": fence, "state": "handed over", "to": heir}),
    );
}

async fn keep_once(core: &GatewayCore) -> Result<(), StoreError> {
    let deadline = Instant::now() + CALL_LIMIT;
    let asked_at = boot_clock::now();
    let ttl_ms = LEASE_MS.max(core.settings.shortest_lease_ms);
    let known = core.session.lock().lease;
    let lease = match known {
        Some(lease) => {
            core.parts.store.renew_lease(lease, deadline).await?;
            lease
        }
        None => core.parts.store.open_lease(ttl_ms, deadline).await?,
    };
    core.metrics.note_call("lease", "ok");
    {
        let mut state = core.session.lock();
        state.lease = Some(lease);
        // Counted from before the call, so it never outlasts the store's count.
        let valid_until = asked_at + Duration::from_millis(ttl_ms);
        state.right.lease_renewed(valid_until);
    }
    write_entry(core, lease).await?;
    take_lock(core, lease).await
}

async fn write_entry(core: &GatewayCore, lease: LeaseId) -> Result<(), StoreError> {
    if core.session.lock().has_entry {
        return Ok(());
    }
    let key = format!("{ROUTER_PREFIX}{}", core.settings.id);
    let value = Bytes::from(core.settings.peers.to_string());
    let change = StoreChange {
        writes: vec![(key, value, Some(lease))],
        ..StoreChange::default()
    };
    let deadline = Instant::now() + CALL_LIMIT;
    core.parts.store.transact(change, deadline).await?;
    core.session.lock().has_entry = true;
    Ok(())
}

/// Takes the placer's lock if it is free.
pub(crate) async fn take_lock(core: &GatewayCore, lease: LeaseId) -> Result<(), StoreError> {
    {
        let state = core.session.lock();
        if state.right.fence().is_some() || state.is_lock_held || !state.has_read {
            return Ok(());
        }
    }
    let change = StoreChange {
        conditions: vec![(PLACER_KEY.to_owned(), 0)],
        writes: vec![(
            PLACER_KEY.to_owned(),
            Bytes::from(core.settings.id.to_string()),
            Some(lease),
        )],
        deletions: Vec::new(),
    };
    let deadline = Instant::now() + CALL_LIMIT;
    match core.parts.store.transact(change, deadline).await {
        Ok(version) => {
            core.session.lock().right.lock_acquired(version);
            core.log
                .write(LogKind::Lease, json!({"placer": true, "fence": version}));
            Ok(())
        }
        // Somebody else was faster; the watch will show who.
        Err(StoreError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

fn note_failure(core: &GatewayCore, error: &StoreError) {
    let mut state = core.session.lock();
    let had_right = state.right.fence().is_some();
    if let StoreError::LeaseLapsed(_) = error {
        state.lease = None;
        state.right.lease_expired();
        state.has_entry = false;
    }
    drop(state);
    core.log.write(
        LogKind::Lease,
        json!({"state": "failed", "reason": error.to_string(), "placer": had_right}),
    );
}
