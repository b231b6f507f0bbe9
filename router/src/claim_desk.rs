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
const ASK_LIMIT: Duration = Duration::from_millis(250);
/// Time for which the end of a request is offered to the home of its shard.
const SETTLE_LIMIT: Duration = Duration::from_secs(120);
/// Pause between two offers.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);
/// Time within which the store must answer.
const STORE_LIMIT: Duration = Duration::from_millis(500);
/// Time between two looks at a ledger that has work.
const LEDGER_TICK: Duration = Duration::from_millis(10);

/// Ledgers of the shards to which this router is home.
#[derive(Default)]
pub(crate) struct ClaimDesk {
    shards: Mutex<HashMap<u64, ShardSeat>>,
}

struct ShardSeat {
    ledger: ClaimLedger,
    asks: HashMap<u64, Sender<ClaimReply>>,
    next_ask: u64,
    is_running: bool,
}

impl ClaimDesk {
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
            let view = core.board.view();
            let home = view.shard_home(key.shard())?;
            let ask_by = deadline.min(Instant::now() + ASK_LIMIT);
            let reply = if home.router == core.settings.id {
                self.claim_here(core, key, nonce, ask_by).await
            } else {
                let patience = ask_by.saturating_duration_since(Instant::now());
                let timeout_ms = u64::try_from(patience.as_millis()).unwrap_or(0);
                let question = PeerMessage::Claim {
                    key,
                    nonce,
                    timeout_ms,
                };
                match core.peers.send_request(home.peer, question, ask_by).await {
                    Some(PeerMessage::ClaimReply(reply)) => Some(reply),
                    _ => None,
                }
            };
            match reply {
                Some(ClaimReply::NotHome) => {
                    smol::Timer::after(LEDGER_TICK * 5).await;
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
    pub(crate) async fn settle(
        core: &Arc<RouterCore>,
        key: ClaimKey,
        nonce: Nonce,
        answer: ClaimAnswer,
    ) {
        if offer(core, key, nonce, answer.clone()).await == Some(true) {
            return;
        }
        let core = Arc::clone(core);
        runtime::spawn(async move {
            let give_up_at = Instant::now() + SETTLE_LIMIT;
            while Instant::now() < give_up_at {
                smol::Timer::after(SETTLE_PAUSE).await;
                if offer(&core, key, nonce, answer.clone()).await == Some(true) {
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
    pub(crate) async fn claim_here(
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
        self.with_seat(core, key.shard(), |seat| {
            seat.next_ask += 1;
            seat.asks.insert(seat.next_ask, sender);
            seat.ledger.claim(seat.next_ask, key, nonce, deadline);
        });
        let timer = async {
            smol::Timer::at(deadline).await;
            None
        };
        async { receiver.recv().await.ok() }.or(timer).await
    }

    /// Takes the end of a request as the home of its shard; returns whether it
    /// is on record, or nothing when this router is not home.
    pub(crate) fn settle_here(
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
        self.with_seat(core, key.shard(), |seat| {
            is_recorded = seat.ledger.complete(key, nonce, answer);
        });
        Some(is_recorded)
    }

    fn with_seat(&self, core: &Arc<RouterCore>, shard: u64, change: impl FnOnce(&mut ShardSeat)) {
        let mut shards = self.shards.lock().expect("claim lock");
        let seat = shards.entry(shard).or_insert_with(|| ShardSeat {
            ledger: ClaimLedger::new(Instant::now()),
            asks: HashMap::new(),
            next_ask: 0,
            is_running: false,
        });
        change(seat);
        if !seat.is_running {
            seat.is_running = true;
            runtime::spawn(run_shard(Arc::clone(core), shard));
        }
    }

    fn step(
        &self,
        shard: u64,
        step: impl FnOnce(&mut ClaimLedger) -> Vec<ClaimAction>,
    ) -> Vec<ClaimAction> {
        let mut shards = self.shards.lock().expect("claim lock");
        let Some(seat) = shards.get_mut(&shard) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        for action in step(&mut seat.ledger) {
            let ClaimAction::Reply { claim_id, reply } = action else {
                effects.push(action);
                continue;
            };
            if let Some(sender) = seat.asks.remove(&claim_id) {
                let _ = sender.try_send(reply);
            }
        }
        seat.asks.retain(|_, sender| !sender.is_closed());
        effects
    }

    /// Ends the work on a shard that has none; returns whether it has ended.
    fn rest(&self, shard: u64) -> bool {
        let mut shards = self.shards.lock().expect("claim lock");
        let Some(seat) = shards.get_mut(&shard) else {
            return true;
        };
        seat.is_running = seat.ledger.has_work();
        !seat.is_running
    }
}

/// Offers the end of a request to the home of its shard; returns whether it is
/// on record there, or nothing when no home has taken it.
async fn offer(
    core: &Arc<RouterCore>,
    key: ClaimKey,
    nonce: Nonce,
    answer: ClaimAnswer,
) -> Option<bool> {
    let view = core.board.view();
    let home = view.shard_home(key.shard())?;
    if home.router == core.settings.id {
        return core.claims.settle_here(core, key, nonce, answer);
    }
    let question = PeerMessage::CompleteClaim { key, nonce, answer };
    let deadline = Instant::now() + ASK_LIMIT;
    match core.peers.send_request(home.peer, question, deadline).await {
        Some(PeerMessage::ClaimCompleted { is_recorded }) => Some(is_recorded),
        _ => None,
    }
}

fn is_home(core: &RouterCore, shard: u64) -> bool {
    let view = core.board.view();
    let is_home = view
        .shard_home(shard)
        .is_some_and(|home| home.router == core.settings.id);
    is_home && core.board.is_fresh(&[ViewKey::Routers], Instant::now())
}

async fn run_shard(core: Arc<RouterCore>, shard: u64) {
    loop {
        let unix_ms = core.clock.unix_ms();
        let actions = core
            .claims
            .step(shard, |ledger| ledger.poll(Instant::now(), unix_ms));
        for action in actions {
            perform(&core, shard, action).await;
        }
        if core.claims.rest(shard) {
            return;
        }
        smol::Timer::after(LEDGER_TICK).await;
    }
}

async fn perform(core: &RouterCore, shard: u64, action: ClaimAction) {
    match action {
        ClaimAction::Load => load(core, shard).await,
        ClaimAction::Write { page, expected } => write(core, shard, page, expected).await,
        ClaimAction::Delete { number, expected } => {
            let key = ClaimPage::store_key(shard, number);
            if let Err(problem) = core.store.delete(&key, expected, store_deadline()).await {
                warn!("claim: delete of {key} failed: {problem}");
            }
        }
        ClaimAction::Reply { .. } => {}
    }
}

async fn load(core: &RouterCore, shard: u64) {
    let started_at = Instant::now();
    match read_pages(core, shard).await {
        Ok(pages) => {
            let unix_ms = core.clock.unix_ms();
            info!("claim: shard={shard} pages={}", pages.len());
            let actions = core.claims.step(shard, |ledger| {
                ledger.load_succeeded(pages, started_at, unix_ms)
            });
            for action in actions {
                Box::pin(perform(core, shard, action)).await;
            }
        }
        Err(problem) => {
            warn!("claim: shard={shard} pages could not be read: {problem}");
            core.claims.step(shard, |ledger| {
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

async fn write(core: &RouterCore, shard: u64, page: ClaimPage, expected: StoreVersion) {
    let key = ClaimPage::store_key(shard, page.number);
    let value = postcard::to_stdvec(&page).unwrap_or_default().into();
    let written = core
        .store
        .put(&key, expected, value, None, store_deadline())
        .await;
    core.claims.step(shard, |ledger| match &written {
        Ok(version) => ledger.write_succeeded(*version),
        Err(problem) => {
            warn!("claim: write of {key} failed: {problem}");
            ledger.write_failed();
            Vec::new()
        }
    });
}

fn store_deadline() -> Instant {
    Instant::now() + STORE_LIMIT
}
