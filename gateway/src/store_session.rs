//! The store lease of this process, its router entry and the placer's lock.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jujuberoad::era::StoreEra;
use jujuberoad::fleet::OrderAuthority;
use jujuberoad::ids::Fence;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::Nonce;
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
use crate::peer_exchange;

/// Key prefix of router entries.
pub(crate) const ROUTER_PREFIX: &str = "jujuberoad/routers/";
/// Key of the placer's lock.
pub(crate) const PLACER_KEY: &str = "jujuberoad/placer";
/// Lease TTL; a standby takes over this long after the placer is killed.
const LEASE_TTL_MS: Milliseconds = 2_000;
/// Interval between renewals; three fit in a lease.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Number of copies sent of a handover message, because datagrams may be lost.
const HANDOVER_SENDS: u32 = 3;
/// Time between acquiring the lock in an era that a restore of the store has begun and the
/// first order. Peers hear of the new fence within a digest interval, so that a holder of
/// the last era that is cut off from the store stops first.
const NEW_ERA_ORDER_DELAY: Duration = Duration::from_millis(400);
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
    /// Random number by which this router recognizes a lock that it has acquired in the
    /// current era, even if the answer was lost.
    lock_nonce: Option<Nonce>,
    /// Era of the store that the lease and the lock belong to, once it is known.
    era: Option<StoreEra>,
    /// Whether the store was restored while this process ran.
    was_restored: bool,
}

/// Session state, shared by the renewal task and the tasks that send orders.
#[derive(Default)]
pub(crate) struct StoreSession {
    state: Mutex<SessionState>,
}

impl StoreSession {
    /// Returns the fencing token under which orders may be sent now, if any, while the
    /// newest era of the store is `era`.
    pub(crate) fn order_fence(&self, era: StoreEra) -> Option<Fence> {
        let state = self.lock();
        let authority = &state.order_authority;
        authority
            .current(boot_clock::now())
            .filter(|_| authority.era() == era)
    }

    /// Returns the fencing token that peers are told, also while orders are still delayed.
    pub(crate) fn announced_fence(&self, era: StoreEra) -> Option<Fence> {
        let state = self.lock();
        let authority = &state.order_authority;
        authority
            .announced(boot_clock::now())
            .filter(|_| authority.era() == era)
    }

    /// Records that a call to the store failed.
    pub(crate) fn note_store_failure(&self) {
        self.lock().order_authority.store_failed(boot_clock::now());
    }

    /// Forgets what an older era of the store has granted. A lease, a lock or an entry of
    /// that era may reappear in the restored copy, but gives no authority.
    pub(crate) fn begin_era(&self, era: StoreEra) {
        let mut state = self.lock();
        let mut order_authority = std::mem::take(&mut state.order_authority);
        order_authority.era_begun(era);
        // Whether the lock is held in the new era is found out by trying to acquire it: the
        // watch of the lock may have read it before this task was woken.
        *state = SessionState {
            era: Some(era),
            was_restored: true,
            has_read_lock: true,
            order_authority,
            ..SessionState::default()
        };
    }

    /// Returns the era that the lease and the lock belong to. The first era that the store
    /// shows to this process is taken over without further ado.
    fn era_or_adopt(&self, newest: StoreEra) -> StoreEra {
        let mut state = self.lock();
        if let Some(era) = state.era {
            return era;
        }
        state.era = Some(newest);
        state.order_authority.era_begun(newest);
        newest
    }

    /// Returns the era of the session, once the store has shown one.
    pub(crate) fn era(&self) -> Option<StoreEra> {
        self.lock().era
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

    /// Records the state of the lock in the store: its version and value, or `None` if it is
    /// free.
    pub(crate) fn observe_lock(&self, held: Option<(StoreVersion, &[u8])>) {
        let mut state = self.lock();
        state.has_read_lock = true;
        state.is_lock_held = held.is_some();
        let nonce = state.lock_nonce;
        // The lock may have been acquired by a write whose response was lost.
        match held {
            Some((version, value)) if nonce.is_some_and(|nonce| has_nonce(value, nonce)) => {
                if state.order_authority.fence().is_none() {
                    state.acquire(version);
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

    /// Returns the number under which the lock is to be acquired.
    fn lock_nonce(&self) -> Nonce {
        *self
            .lock()
            .lock_nonce
            .get_or_insert_with(|| fastrand::u64(..))
    }

    fn lock(&self) -> MutexGuard<'_, SessionState> {
        self.state.lock().expect("session lock")
    }
}

impl SessionState {
    fn acquire(&mut self, fence: Fence) {
        self.order_authority.lock_acquired(fence);
        if self.was_restored {
            let orders_from = boot_clock::now() + NEW_ERA_ORDER_DELAY;
            self.order_authority.delay_orders(orders_from);
        }
    }
}

/// Returns whether a value of the lock names the holder's random number.
fn has_nonce(value: &[u8], nonce: Nonce) -> bool {
    let text = std::str::from_utf8(value).unwrap_or_default();
    let held = text.rsplit_once(' ').map(|(_, held)| held);
    held == Some(nonce.to_string().as_str())
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
            core.session.note_store_failure();
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
    let Some(fence) = core.order_fence() else {
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

/// Gives the placer's lock up, so that a peer that reaches the engines acquires it.
pub(crate) async fn release_placer_lock(core: &GatewayCore) {
    let Some(fence) = core.order_fence() else {
        return;
    };
    let transaction = StoreTransaction {
        era: core.session.era().unwrap_or(0),
        conditions: vec![(PLACER_KEY.to_owned(), fence)],
        deletions: vec![PLACER_KEY.to_owned()],
        ..StoreTransaction::default()
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    let released = core.backends.store.transact(transaction, deadline).await;
    let (state, reason) = match released {
        Ok(_) => {
            let mut session = core.session.lock();
            session.order_authority.lock_lost();
            session.lock_nonce = None;
            ("released", "the path to the engines is lost".to_owned())
        }
        Err(error) => ("not released", error.to_string()),
    };
    core.log.write(
        LogKind::Lease,
        json!({"fence": fence, "state": state, "reason": reason}),
    );
}

/// Opens or renews the lease, registers this router and acquires a free lock.
pub(crate) async fn renew_session(core: &GatewayCore) -> Result<(), StoreError> {
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
        let newest = core.backends.store.eras().newest();
        let era = core.session.era_or_adopt(newest);
        let mut state = core.session.lock();
        if state.era != Some(newest) || era != newest {
            // The session begins anew in the era that has begun.
            return Ok(());
        }
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
        era: core.session.era().unwrap_or(0),
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
    if core.has_lost_engines() {
        return Ok(());
    }
    let nonce = core.session.lock_nonce();
    let transaction = StoreTransaction {
        era: core.session.era().unwrap_or(0),
        conditions: vec![(PLACER_KEY.to_owned(), 0)],
        writes: vec![(
            PLACER_KEY.to_owned(),
            Bytes::from(format!("{} {nonce}", core.settings.id)),
            Some(lease),
        )],
        deletions: Vec::new(),
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    match core.backends.store.transact(transaction, deadline).await {
        Ok(version) => {
            core.session.lock().acquire(version);
            peer_exchange::announce_fence(core).await;
            core.log
                .write(LogKind::Lease, json!({"placer": true, "fence": version}));
            Ok(())
        }
        // Another router acquired the lock first; the watch reports when it is free.
        Err(StoreError::Conflict { .. }) => {
            core.session.lock().is_lock_held = true;
            Ok(())
        }
        Err(error) => Err(error),
    }
}

/// Logs a failed call of the session; an expired lease ends what belonged to it.
pub(crate) fn handle_failure(core: &GatewayCore, error: &StoreError) {
    let mut state = core.session.lock();
    let had_authority = state.order_authority.fence().is_some();
    if let StoreError::LeaseExpired(_) = error {
        state.lease = None;
        state.order_authority.lease_expired();
        state.lock_nonce = None;
        state.has_entry = false;
    }
    drop(state);
    core.log.write(
        LogKind::Lease,
        json!({"state": "failed", "reason": error.to_string(), "placer": had_authority}),
    );
}
