//! Keeps the view up to date: relays watch the store, others ask relays.

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

/// Time for which one watch waits.
const WATCH_SPAN: Duration = Duration::from_millis(900);
/// Pause after a watch that failed.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Time between two questions to the relays.
const PING_PERIOD: Duration = Duration::from_millis(500);
/// Time within which a relay must answer.
const PING_LIMIT: Duration = Duration::from_millis(400);
/// Silence of the relays after which the store is asked directly.
const RELAY_PATIENCE: Duration = Duration::from_millis(2_100);
/// Time within which the store must answer a read.
const READ_LIMIT: Duration = Duration::from_millis(1_000);
/// Longest wait before a changed record is read, so that not all routers read at once.
const READ_JITTER_MS: u64 = 500;

/// Follows the records of the platform's store.
pub(crate) struct ViewKeeper {
    core: Arc<RouterCore>,
    watched: Mutex<BTreeSet<ViewKey>>,
    reading: Mutex<BTreeSet<ViewKey>>,
}

impl ViewKeeper {
    /// Starts to follow the records.
    pub(crate) fn start(core: Arc<RouterCore>) {
        let keeper = Arc::new(Self {
            core,
            watched: Mutex::default(),
            reading: Mutex::default(),
        });
        runtime::spawn(keeper.run());
    }

    async fn run(self: Arc<Self>) {
        loop {
            let next_at = Instant::now() + PING_PERIOD;
            if self.is_relay() {
                self.watch_all();
            } else {
                self.ask_relays().await;
            }
            smol::Timer::at(next_at).await;
        }
    }

    fn is_relay(&self) -> bool {
        let view = self.core.board.view();
        let settings = &self.core.settings;
        RelayPlan::new(&view.list).is_relay(&settings.id, &settings.zone)
    }

    fn keys(&self) -> BTreeSet<ViewKey> {
        let view = self.core.board.view();
        let zones = view.config.iter().flat_map(|config| config.zones.keys());
        let mut keys: BTreeSet<ViewKey> =
            zones.map(|zone| ViewKey::Placement(zone.clone())).collect();
        keys.insert(ViewKey::Config);
        keys.insert(ViewKey::Routers);
        keys
    }

    fn watch_all(self: &Arc<Self>) {
        for key in self.keys() {
            if self.watched.lock().expect("watch lock").insert(key.clone()) {
                runtime::spawn(Arc::clone(self).watch(key));
            }
        }
    }

    /// Watches one record for as long as this router is a relay.
    async fn watch(self: Arc<Self>, key: ViewKey) {
        while self.is_relay() && self.keys().contains(&key) {
            self.watch_once(&key).await;
        }
        self.watched.lock().expect("watch lock").remove(&key);
    }

    async fn watch_once(&self, key: &ViewKey) {
        let board = &self.core.board;
        let known = board.with_guard(|guard| guard.held_versions().get(key));
        let asked_at = Instant::now();
        let store_key = key.store_key();
        let watched = self
            .core
            .store
            .watch(&store_key, known, asked_at + WATCH_SPAN)
            .await;
        match watched {
            Ok(Some(stored)) => board.install(key, &stored, asked_at),
            Ok(None) => {
                board.with_guard(|guard| guard.confirm(key, known, asked_at));
                if known == 0 {
                    smol::Timer::after(WATCH_PAUSE).await;
                }
            }
            Err(problem) => {
                warn!("view: watch of {store_key} failed: {problem}");
                board.with_guard(|guard| guard.record_store_failure(Instant::now()));
                smol::Timer::after(WATCH_PAUSE).await;
            }
        }
    }

    /// Asks one relay after the other until one has heard from the store; which
    /// one is first differs from router to router.
    async fn ask_relays(self: &Arc<Self>) {
        let view = self.core.board.view();
        let mut relays = RelayPlan::new(&view.list).relays(&self.core.settings.zone);
        if self.core.incarnation.is_multiple_of(2) {
            relays.reverse();
        }
        for relay in relays {
            if self.ask_relay(relay).await {
                break;
            }
        }
        let now = Instant::now();
        let hears_store = self
            .core
            .board
            .with_guard(|guard| guard.reaches_store(RELAY_PATIENCE, now));
        if !hears_store {
            for key in self.keys() {
                self.read_soon(key, 0);
            }
        }
    }

    /// Returns whether the relay has lately heard from the store.
    async fn ask_relay(self: &Arc<Self>, relay: &RouterEntry) -> bool {
        let board = &self.core.board;
        let digest = board.with_guard(|guard| guard.held_versions().digest());
        let asked_at = Instant::now();
        let ping = PeerMessage::Ping { digest };
        match self
            .core
            .peers
            .send_request(relay.peer, ping, asked_at + PING_LIMIT)
            .await
        {
            Some(PeerMessage::PongSame {
                age_ms: Some(age_ms),
                ..
            }) => {
                let confirmed_at = asked_at - Duration::from_millis(age_ms);
                board.with_guard(|guard| {
                    // A record that arrived in the meantime is not confirmed by this.
                    if guard.held_versions().digest() == digest {
                        guard.confirm_held(confirmed_at);
                    }
                });
                true
            }
            Some(PeerMessage::Pong { confirmed, .. }) => {
                for word in &confirmed {
                    self.learn(word, asked_at);
                }
                !confirmed.is_empty()
            }
            Some(PeerMessage::PongSame {
                reaches_store: false,
                ..
            }) => {
                board.with_guard(|guard| guard.record_store_failure(Instant::now()));
                false
            }
            _ => false,
        }
    }

    fn learn(self: &Arc<Self>, word: &ConfirmedVersion, asked_at: Instant) {
        let confirmed_at = asked_at - Duration::from_millis(word.age_ms);
        let is_newer = self
            .core
            .board
            .with_guard(|guard| guard.confirm(&word.key, word.version, confirmed_at));
        if is_newer {
            self.read_soon(word.key.clone(), READ_JITTER_MS);
        }
    }

    fn read_soon(self: &Arc<Self>, key: ViewKey, jitter_ms: Milliseconds) {
        if !self.reading.lock().expect("read lock").insert(key.clone()) {
            return;
        }
        let keeper = Arc::clone(self);
        runtime::spawn(async move {
            let jitter = fastrand::u64(0..=jitter_ms);
            smol::Timer::after(Duration::from_millis(jitter)).await;
            keeper.read(&key).await;
            keeper.reading.lock().expect("read lock").remove(&key);
        });
    }

    async fn read(&self, key: &ViewKey) {
        let asked_at = Instant::now();
        match self
            .core
            .store
            .get(&key.store_key(), asked_at + READ_LIMIT)
            .await
        {
            Ok(Some(stored)) => self.core.board.install(key, &stored, asked_at),
            Ok(None) => {}
            Err(problem) => warn!("view: read of {} failed: {problem}", key.store_key()),
        }
    }
}
