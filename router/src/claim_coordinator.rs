//! Claims of idempotency keys: asks homes, and is home to some shards.

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

/// Time within which a home must answer before it is asked again.
const HOME_REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which the end of a request is offered to the home of its shard.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause between two offers.
const COMPLETION_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time within which the store must answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks at a ledger that has work.
const LEDGER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Ledgers of the shards to which this router is home.
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
    /// Claims `key` at the home of its shard; nothing when that is not done by
    /// the deadline. The claim may have been recorded all the same then.
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
                match core.peers.ask(home.peer, request, attempt_deadline).await {
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

    /// Tells the home of the shard how a claimed request ended.
    ///
    /// Returns once the home knows it, or after a short time; it goes on being
    /// offered until it is on record.
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
                "claim: the end of a request could not be recorded outcome={}",
                answer.outcome
            );
        });
    }

    /// Claims a key as the home of its shard.
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

    /// Takes the end of a request as the home of its shard; returns whether it
    /// is on record, or nothing when this router is not home.
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

    /// Ends the work on a shard that has none; returns whether it has ended.
    fn stop_if_idle(&self, shard: u64) -> bool {
        let mut shards = self.shards.lock().expect("claim lock");
        let Some(state) = shards.get_mut(&shard) else {
            return true;
        };
        state.is_running = state.ledger.has_work();
        !state.is_running
    }
}

/// Offers the end of a request to the home of its shard; returns whether it is
/// on record there, or nothing when no home has taken it.
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
    match core.peers.ask(home.peer, request, deadline).await {
        Some(PeerMessage::ClaimCompleted { is_recorded }) => Some(is_recorded),
        _ => None,
    }
}

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
                warn!("claim: delete of {key} failed: {problem}");
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
            info!("claim: shard={shard} pages={}", pages.len());
            let actions = core.claims.update_ledger(shard, |ledger| {
                ledger.load_succeeded(pages, started_at, unix_ms)
            });
            for action in actions {
                Box::pin(perform(core, shard, action)).await;
            }
        }
        Err(problem) => {
            warn!("claim: shard={shard} pages could not be read: {problem}");
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
            warn!("claim: write of {key} failed: {problem}");
            ledger.write_failed();
            Vec::new()
        }
    });
}

fn store_deadline() -> Instant {
    Instant::now() + STORE_TIMEOUT
}
