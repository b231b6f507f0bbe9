//! Keeps the view up to date: relays watch the store, other routers query relays.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::ids::Milliseconds;
use jujuberoad::membership::ConfirmedVersion;
use jujuberoad::membership::RelayPlan;
use jujuberoad::membership::RouterEntry;
use jujuberoad::membership::ViewKey;
use jujuberoad::peer::PeerMessage;
use jujuberoad_node::runtime;
use spdlog::warn;

use crate::router_core::RouterCore;

/// Timeout of one watch call, which returns early when the record changes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a watch is retried after a failure or while the record is missing.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval between queries to the relays.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one query to a relay.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a confirmation of the store's state from any relay after which records
/// are read directly from the store.
const RELAY_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_100);
/// Timeout of one read from the store.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum random delay before a changed record is read, so that the routers do not
/// all read at once.
const MAX_READ_JITTER_MS: u64 = 500;

/// Copies records from the platform's store to the view cache as they change.
pub(crate) struct ViewUpdater {
    core: Arc<RouterCore>,
    active_watches: Mutex<BTreeSet<ViewKey>>,
    pending_reads: Mutex<BTreeSet<ViewKey>>,
}

impl ViewUpdater {
    /// Starts the updater.
    pub(crate) fn start(core: Arc<RouterCore>) {
        let updater = Arc::new(Self {
            core,
            active_watches: Mutex::default(),
            pending_reads: Mutex::default(),
        });
        runtime::spawn(updater.run());
    }

    async fn run(self: Arc<Self>) {
        loop {
            let next_at = Instant::now() + PING_INTERVAL;
            if self.is_relay() {
                self.watch_all();
            } else {
                self.query_relays().await;
            }
            smol::Timer::at(next_at).await;
        }
    }

    fn is_relay(&self) -> bool {
        let view = self.core.view_cache.view();
        let settings = &self.core.settings;
        RelayPlan::new(&view.list).is_relay(&settings.id, &settings.zone)
    }

    /// Returns the keys of all records that make up the view.
    fn keys(&self) -> BTreeSet<ViewKey> {
        let view = self.core.view_cache.view();
        let zones = view.config.iter().flat_map(|config| config.zones.keys());
        let mut keys: BTreeSet<ViewKey> =
            zones.map(|zone| ViewKey::Placement(zone.clone())).collect();
        keys.insert(ViewKey::Config);
        keys.insert(ViewKey::Routers);
        keys
    }

    fn watch_all(self: &Arc<Self>) {
        for key in self.keys() {
            if self
                .active_watches
                .lock()
                .expect("watch lock")
                .insert(key.clone())
            {
                runtime::spawn(Arc::clone(self).watch(key));
            }
        }
    }

    /// Watches one record while this router is a relay and the record is in use.
    async fn watch(self: Arc<Self>, key: ViewKey) {
        while self.is_relay() && self.keys().contains(&key) {
            self.watch_once(&key).await;
        }
        self.active_watches.lock().expect("watch lock").remove(&key);
    }

    async fn watch_once(&self, key: &ViewKey) {
        let view_cache = &self.core.view_cache;
        let known_version = view_cache.with_guard(|guard| guard.held_versions().get(key));
        let requested_at = Instant::now();
        let store_key = key.store_key();
        let result = self
            .core
            .store
            .watch(&store_key, known_version, requested_at + WATCH_TIMEOUT)
            .await;
        match result {
            Ok(Some(stored)) => view_cache.install(key, &stored, requested_at),
            Ok(None) => {
                view_cache.with_guard(|guard| guard.confirm(key, known_version, requested_at));
                if known_version == 0 {
                    smol::Timer::after(WATCH_RETRY_DELAY).await;
                }
            }
            Err(problem) => {
                warn!("view: failed to watch {store_key}: {problem}");
                view_cache.with_guard(|guard| guard.record_store_failure(Instant::now()));
                smol::Timer::after(WATCH_RETRY_DELAY).await;
            }
        }
    }

    /// Queries the relays in turn until one reports confirmed record versions.
    ///
    /// Half of the routers query in reverse order, which spreads the load.
    async fn query_relays(self: &Arc<Self>) {
        let view = self.core.view_cache.view();
        let mut relays = RelayPlan::new(&view.list).relays(&self.core.settings.zone);
        if self.core.incarnation.is_multiple_of(2) {
            relays.reverse();
        }
        for relay in relays {
            if self.query_relay(relay).await {
                break;
            }
        }
        let now = Instant::now();
        let is_store_reachable = self
            .core
            .view_cache
            .with_guard(|guard| guard.reaches_store(RELAY_SILENCE_TIMEOUT, now));
        if !is_store_reachable {
            for key in self.keys() {
                self.schedule_read(key, 0);
            }
        }
    }

    /// Queries a relay; returns whether it reports confirmed record versions.
    async fn query_relay(self: &Arc<Self>, relay: &RouterEntry) -> bool {
        let view_cache = &self.core.view_cache;
        let digest = view_cache.with_guard(|guard| guard.held_versions().digest());
        let requested_at = Instant::now();
        let ping = PeerMessage::Ping { digest };
        match self
            .core
            .peers
            .send_request(relay.peer, ping, requested_at + PING_TIMEOUT)
            .await
        {
            Some(PeerMessage::PongSame {
                age_ms: Some(age_ms),
                ..
            }) => {
                let confirmed_at = requested_at - Duration::from_millis(age_ms);
                view_cache.with_guard(|guard| {
                    // The response does not confirm a record installed after the ping.
                    if guard.held_versions().digest() == digest {
                        guard.confirm_held(confirmed_at);
                    }
                });
                true
            }
            Some(PeerMessage::Pong { confirmed, .. }) => {
                for confirmation in &confirmed {
                    self.apply_confirmation(confirmation, requested_at);
                }
                !confirmed.is_empty()
            }
            Some(PeerMessage::PongSame {
                reaches_store: false,
                ..
            }) => {
                view_cache.with_guard(|guard| guard.record_store_failure(Instant::now()));
                false
            }
            _ => false,
        }
    }

    /// Records that `confirmation` names the newest version, and schedules a read
    /// if the held one is older.
    fn apply_confirmation(
        self: &Arc<Self>,
        confirmation: &ConfirmedVersion,
        requested_at: Instant,
    ) {
        let confirmed_at = requested_at - Duration::from_millis(confirmation.age_ms);
        let is_newer = self.core.view_cache.with_guard(|guard| {
            guard.confirm(&confirmation.key, confirmation.version, confirmed_at)
        });
        if is_newer {
            self.schedule_read(confirmation.key.clone(), MAX_READ_JITTER_MS);
        }
    }

    /// Reads a record after a random delay of at most `jitter_ms`, unless a read is
    /// already pending.
    fn schedule_read(self: &Arc<Self>, key: ViewKey, jitter_ms: Milliseconds) {
        if !self
            .pending_reads
            .lock()
            .expect("read lock")
            .insert(key.clone())
        {
            return;
        }
        let updater = Arc::clone(self);
        runtime::spawn(async move {
            let jitter = fastrand::u64(0..=jitter_ms);
            smol::Timer::after(Duration::from_millis(jitter)).await;
            updater.read(&key).await;
            updater
                .pending_reads
                .lock()
                .expect("read lock")
                .remove(&key);
        });
    }

    async fn read(&self, key: &ViewKey) {
        let requested_at = Instant::now();
        match self
            .core
            .store
            .get(&key.store_key(), requested_at + READ_TIMEOUT)
            .await
        {
            Ok(Some(stored)) => self.core.view_cache.install(key, &stored, requested_at),
            Ok(None) => {}
            Err(problem) => warn!("view: failed to read {}: {problem}", key.store_key()),
        }
    }
}
