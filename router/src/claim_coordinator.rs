//! Claims idempotency keys at the home routers of their shards, and serves the
//! shards to which this router is home.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use jujuberoad::claims::ClaimAction;
use jujuberoad::claims::ClaimAnswer;
use jujuberoad::claims::ClaimKey;
use jujuberoad::claims::ClaimLedger;
use jujuberoad::claims::ClaimPage;
use jujuberoad::claims::ClaimReply;
use jujuberoad::ids::Nonce;
use jujuberoad::ids::StoreVersion;
use jujuberoad::membership::ViewKey;
use jujuberoad::peer::PeerMessage;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::runtime;
use smol::channel;
use smol::channel::Sender;
use spdlog::info;
use spdlog::warn;

use crate::router_core::RouterCore;

/// Time to wait for a reply from the home before the request is sent again.
const HOME_REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which the result of a request is resent to the home of its shard.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(120);
/// Delay before the result of a request is sent again.
const COMPLETION_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Timeout of one call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a ledger with pending work is polled.
const LEDGER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Claims keys for this router's requests and owns the ledgers of the shards to
/// which this router is home.
#[derive(Default)]
pub(crate) struct ClaimCoordinator {
    shards: Mutex<HashMap<u64, ShardState>>,
}

struct ShardState {
    ledger: ClaimLedger,
    pending_replies: HashMap<u64, Sender<ClaimReply>>,
    next_claim_id: u64,
    is_running: bool,
}

impl ClaimCoordinator {
    /// Claims `key` at the home of its shard, retrying until `deadline`.
    ///
    /// Returns `None` if no reply arrives in time or the shard has no home. The
    /// claim may have been recorded nevertheless.
    pub(crate) async fn claim(
        &self,
        core: &Arc<RouterCore>,
        key: ClaimKey,
        nonce: Nonce,
        deadline: Instant,
    ) -> Option<ClaimReply> {
        while Instant::now() < deadline {
            let view = core.view_cache.view();
            let home = view.shard_home(key.shard())?;
            let attempt_deadline = deadline.min(Instant::now() + HOME_REPLY_TIMEOUT);
            let reply = if home.router == core.settings.id {
                self.claim_as_home(core, key, nonce, attempt_deadline).await
            } else {
                let remaining = attempt_deadline.saturating_duration_since(Instant::now());
                let timeout_ms = u64::try_from(remaining.as_millis()).unwrap_or(0);
                let request = PeerMessage::Claim {
                    key,
                    nonce,
                    timeout_ms,
                };
                match core
                    .peers
                    .send_request(home.peer, request, attempt_deadline)
                    .await
                {
                    Some(PeerMessage::ClaimReply(reply)) => Some(reply),
                    _ => None,
                }
            };
            match reply {
                Some(ClaimReply::NotHome) => {
                    smol::Timer::after(LEDGER_POLL_INTERVAL * 5).await;
                }
                Some(reply) => return Some(reply),
                None => {}
            }
        }
        None
    }

    /// Reports the result of a claimed request to the home of its shard.
    ///
    /// Returns after the first attempt. If the home has not recorded the result
    /// by then, a background task resends it for up to `COMPLETION_TIMEOUT`.
    pub(crate) async fn complete_claim(
        core: &Arc<RouterCore>,
        key: ClaimKey,
        nonce: Nonce,
        answer: ClaimAnswer,
    ) {
        if send_completion(core, key, nonce, answer.clone()).await == Some(true) {
            return;
        }
        let core = Arc::clone(core);
        runtime::spawn(async move {
            let deadline = Instant::now() + COMPLETION_TIMEOUT;
            while Instant::now() < deadline {
                smol::Timer::after(COMPLETION_RETRY_DELAY).await;
                if send_completion(&core, key, nonce, answer.clone()).await == Some(true) {
                    return;
                }
            }
            warn!(
                "claim: giving up on recording the result of a request outcome={}",
                answer.outcome
            );
        });
    }

    /// Claims a key in the local ledger, as the home of its shard.
    ///
    /// Returns `None` if the ledger does not decide by `deadline`.
    pub(crate) async fn claim_as_home(
        &self,
        core: &Arc<RouterCore>,
        key: ClaimKey,
        nonce: Nonce,
        deadline: Instant,
    ) -> Option<ClaimReply> {
        if !is_home(core, key.shard()) {
            return Some(ClaimReply::NotHome);
        }
        let (sender, receiver) = channel::bounded(1);
        self.with_shard(core, key.shard(), |state| {
            state.next_claim_id += 1;
            state.pending_replies.insert(state.next_claim_id, sender);
            state
                .ledger
                .claim(state.next_claim_id, key, nonce, deadline);
        });
        let timer = async {
            smol::Timer::at(deadline).await;
            None
        };
        async { receiver.recv().await.ok() }.or(timer).await
    }

    /// Queues the result of a request in the local ledger, as the home of its
    /// shard.
    ///
    /// Returns whether the result is already recorded, or `None` if this router
    /// is not the home.
    pub(crate) fn complete_as_home(
        &self,
        core: &Arc<RouterCore>,
        key: ClaimKey,
        nonce: Nonce,
        answer: ClaimAnswer,
    ) -> Option<bool> {
        if !is_home(core, key.shard()) {
            return None;
        }
        let mut is_recorded = false;
        self.with_shard(core, key.shard(), |state| {
            is_recorded = state.ledger.complete(key, nonce, answer);
        });
        Some(is_recorded)
    }

    /// Updates the state of a shard, and starts the shard's task if it is not running.
    fn with_shard(&self, core: &Arc<RouterCore>, shard: u64, update: impl FnOnce(&mut ShardState)) {
        let mut shards = self.shards.lock().expect("claim lock");
        let state = shards.entry(shard).or_insert_with(|| ShardState {
            ledger: ClaimLedger::new(Instant::now()),
            pending_replies: HashMap::new(),
            next_claim_id: 0,
            is_running: false,
        });
        update(state);
        if !state.is_running {
            state.is_running = true;
            runtime::spawn(run_shard(Arc::clone(core), shard));
        }
    }

    /// Updates the ledger of a shard and sends its replies; returns the other
    /// actions, which the caller must perform.
    fn update_ledger(
        &self,
        shard: u64,
        update: impl FnOnce(&mut ClaimLedger) -> Vec<ClaimAction>,
    ) -> Vec<ClaimAction> {
        let mut shards = self.shards.lock().expect("claim lock");
        let Some(state) = shards.get_mut(&shard) else {
            return Vec::new();
        };
        let mut store_actions = Vec::new();
        for action in update(&mut state.ledger) {
            let ClaimAction::Reply { claim_id, reply } = action else {
                store_actions.push(action);
                continue;
            };
            if let Some(sender) = state.pending_replies.remove(&claim_id) {
                let _ = sender.try_send(reply);
            }
        }
        state
            .pending_replies
            .retain(|_, sender| !sender.is_closed());
        store_actions
    }

    /// Marks the shard's task as stopped if the ledger has no pending work;
    /// returns whether the task must end.
    fn stop_if_idle(&self, shard: u64) -> bool {
        let mut shards = self.shards.lock().expect("claim lock");
        let Some(state) = shards.get_mut(&shard) else {
            return true;
        };
        state.is_running = state.ledger.has_work();
        !state.is_running
    }
}

/// Sends the result of a request to the home of its shard once.
///
/// Returns whether the home has recorded it, or `None` if no home replied.
async fn send_completion(
    core: &Arc<RouterCore>,
    key: ClaimKey,
    nonce: Nonce,
    answer: ClaimAnswer,
) -> Option<bool> {
    let view = core.view_cache.view();
    let home = view.shard_home(key.shard())?;
    if home.router == core.settings.id {
        return core.claims.complete_as_home(core, key, nonce, answer);
    }
    let request = PeerMessage::CompleteClaim { key, nonce, answer };
    let deadline = Instant::now() + HOME_REPLY_TIMEOUT;
    match core.peers.send_request(home.peer, request, deadline).await {
        Some(PeerMessage::ClaimCompleted { is_recorded }) => Some(is_recorded),
        _ => None,
    }
}

/// Returns whether this router is the home of `shard` according to a router list
/// that is recent enough to act on.
fn is_home(core: &RouterCore, shard: u64) -> bool {
    let view = core.view_cache.view();
    let is_home = view
        .shard_home(shard)
        .is_some_and(|home| home.router == core.settings.id);
    is_home
        && core
            .view_cache
            .is_fresh(&[ViewKey::Routers], Instant::now())
}

/// Polls the ledger of a shard until it has no pending work.
async fn run_shard(core: Arc<RouterCore>, shard: u64) {
    loop {
        let unix_ms = core.clock.unix_ms();
        let actions = core
            .claims
            .update_ledger(shard, |ledger| ledger.poll(Instant::now(), unix_ms));
        for action in actions {
            perform(&core, shard, action).await;
        }
        if core.claims.stop_if_idle(shard) {
            return;
        }
        smol::Timer::after(LEDGER_POLL_INTERVAL).await;
    }
}

async fn perform(core: &RouterCore, shard: u64, action: ClaimAction) {
    match action {
        ClaimAction::Load => load_pages(core, shard).await,
        ClaimAction::Write { page, expected } => write_page(core, shard, page, expected).await,
        ClaimAction::Delete { number, expected } => {
            let key = ClaimPage::store_key(shard, number);
            if let Err(problem) = core.store.delete(&key, expected, store_deadline()).await {
                warn!("claim: failed to delete {key}: {problem}");
            }
        }
        ClaimAction::Reply { .. } => {}
    }
}

async fn load_pages(core: &RouterCore, shard: u64) {
    let started_at = Instant::now();
    match read_pages(core, shard).await {
        Ok(pages) => {
            let unix_ms = core.clock.unix_ms();
            info!("claim: loaded shard={shard} pages={}", pages.len());
            let actions = core.claims.update_ledger(shard, |ledger| {
                ledger.load_succeeded(pages, started_at, unix_ms)
            });
            for action in actions {
                Box::pin(perform(core, shard, action)).await;
            }
        }
        Err(problem) => {
            warn!("claim: shard={shard} failed to read pages: {problem}");
            core.claims.update_ledger(shard, |ledger| {
                ledger.load_failed();
                Vec::new()
            });
        }
    }
}

async fn read_pages(
    core: &RouterCore,
    shard: u64,
) -> Result<Vec<(ClaimPage, StoreVersion)>, StoreError> {
    let mut pages = Vec::new();
    let keys = core
        .store
        .list(&ClaimPage::store_prefix(shard), store_deadline())
        .await?;
    for key in keys {
        let Some(stored) = core.store.get(&key, store_deadline()).await? else {
            continue;
        };
        let page = postcard::from_bytes(&stored.bytes).map_err(|_| {
            let (expected, found) = (0, stored.version);
            StoreError::Conflict {
                key,
                expected,
                found,
            }
        })?;
        pages.push((page, stored.version));
    }
    Ok(pages)
}

async fn write_page(core: &RouterCore, shard: u64, page: ClaimPage, expected: StoreVersion) {
    let key = ClaimPage::store_key(shard, page.number);
    let value = postcard::to_stdvec(&page).unwrap_or_default().into();
    let written = core
        .store
        .put(&key, expected, value, None, store_deadline())
        .await;
    core.claims.update_ledger(shard, |ledger| match &written {
        Ok(version) => ledger.write_succeeded(*version),
        Err(problem) => {
            warn!("claim: failed to write {key}: {problem}");
            ledger.write_failed();
            Vec::new()
        }
    });
}

fn store_deadline() -> Instant {
    Instant::now() + STORE_TIMEOUT
}
