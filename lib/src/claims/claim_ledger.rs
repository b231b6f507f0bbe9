//! State machine of a shard's home router: batches claims into pages.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::CLAIM_RETENTION_MS;
use super::CLAIM_WRITE_INTERVAL_MS;
use super::ClaimAction;
use super::ClaimAnswer;
use super::ClaimEntry;
use super::ClaimKey;
use super::ClaimPage;
use super::ClaimReply;
use super::MAX_PAGE_ENTRIES;
use crate::ids::Milliseconds;
use crate::ids::Nonce;
use crate::ids::StoreVersion;
use crate::outcome::Outcome;

/// Time after which cached pages must be reloaded before they are used.
const PAGE_CACHE_TTL_MS: Milliseconds = CLAIM_RETENTION_MS / 4;

/// Claims of one shard.
///
/// At most one load or write is in flight at a time. After a write that failed
/// its version check or whose result is unknown, the ledger reloads the pages
/// and decides the claims of that write from the loaded entries.
#[derive(Clone, Debug)]
pub struct ClaimLedger {
    pages: BTreeMap<u64, (ClaimPage, StoreVersion)>,
    cache_valid_until: Option<Instant>,
    is_call_in_flight: bool,
    page_in_flight: Option<ClaimPage>,
    next_write_at: Instant,
    pending_claims: Vec<PendingClaim>,
    completions: Vec<PendingCompletion>,
}

#[derive(Clone, Debug)]
struct PendingClaim {
    claim_id: u64,
    key: ClaimKey,
    nonce: Nonce,
    expires_at: Instant,
}

/// The result of a claimed request that has not been written to a page yet.
#[derive(Clone, Debug)]
struct PendingCompletion {
    key: ClaimKey,
    nonce: Nonce,
    answer: ClaimAnswer,
}

impl ClaimLedger {
    /// Creates a ledger that loads the pages of its shard on the first claim.
    pub fn new(now: Instant) -> Self {
        Self {
            pages: BTreeMap::new(),
            cache_valid_until: None,
            is_call_in_flight: false,
            page_in_flight: None,
            next_write_at: now,
            pending_claims: Vec::new(),
            completions: Vec::new(),
        }
    }

    /// Queues a claim of `key`; the reply carries `claim_id`.
    ///
    /// The claim is dropped without a reply after `expires_at`. If its write is
    /// already in flight by then, the claim may still be recorded.
    pub fn claim(&mut self, claim_id: u64, key: ClaimKey, nonce: Nonce, expires_at: Instant) {
        self.pending_claims.push(PendingClaim {
            claim_id,
            key,
            nonce,
            expires_at,
        });
    }

    /// Queues the result of the request that claimed `key` with `nonce`.
    ///
    /// Later claims of the key receive this result unless it is
    /// `Outcome::NotRun`, which makes the key claimable again once recorded.
    /// Returns whether a result is already recorded; the caller sends its
    /// result again until this returns true.
    pub fn complete(&mut self, key: ClaimKey, nonce: Nonce, answer: ClaimAnswer) -> bool {
        let recorded = self.entry(&key).filter(|(_, entry)| entry.nonce == nonce);
        if recorded.is_some_and(|(_, entry)| entry.answer.is_some()) {
            return true;
        }
        let is_known = self
            .completions
            .iter()
            .any(|completion| completion.key == key && completion.nonce == nonce);
        if !is_known {
            self.completions
                .push(PendingCompletion { key, nonce, answer });
        }
        false
    }

    /// Returns whether claims or results are pending.
    pub fn has_work(&self) -> bool {
        !self.pending_claims.is_empty() || !self.completions.is_empty()
    }

    /// Returns the next actions. Must be called after each event and periodically.
    pub fn poll(&mut self, now: Instant, unix_ms: u64) -> Vec<ClaimAction> {
        self.pending_claims.retain(|claim| now < claim.expires_at);
        if self.is_call_in_flight || !self.has_work() {
            return Vec::new();
        }
        if self.cache_valid_until.is_none_or(|until| now >= until) {
            self.is_call_in_flight = true;
            return vec![ClaimAction::Load];
        }
        let mut actions = self.reply_to_pending();
        if now < self.next_write_at {
            return actions;
        }
        let Some((page, expected)) = self.next_page(unix_ms) else {
            return actions;
        };
        self.is_call_in_flight = true;
        self.page_in_flight = Some(page.clone());
        self.next_write_at = now + Duration::from_millis(CLAIM_WRITE_INTERVAL_MS);
        actions.push(ClaimAction::Write { page, expected });
        actions
    }

    /// Replaces the cached pages by those of a load that began at `started_at`.
    pub fn load_succeeded(
        &mut self,
        pages: Vec<(ClaimPage, StoreVersion)>,
        started_at: Instant,
        unix_ms: u64,
    ) -> Vec<ClaimAction> {
        self.is_call_in_flight = false;
        self.page_in_flight = None;
        self.pages = pages
            .into_iter()
            .map(|page| (page.0.number, page))
            .collect();
        self.cache_valid_until = Some(started_at + Duration::from_millis(PAGE_CACHE_TTL_MS));
        let mut actions = self.reply_to_pending();
        actions.extend(self.delete_expired(unix_ms));
        actions
    }

    /// Records that the load failed; the next `poll` retries it.
    pub fn load_failed(&mut self) {
        self.is_call_in_flight = false;
    }

    /// Records that the write in flight succeeded and created `version`.
    pub fn write_succeeded(&mut self, version: StoreVersion) -> Vec<ClaimAction> {
        self.is_call_in_flight = false;
        let Some(page) = self.page_in_flight.take() else {
            return Vec::new();
        };
        self.pages.insert(page.number, (page, version));
        self.drop_recorded();
        self.reply_to_pending()
    }

    /// Records that the write in flight failed its version check or that its
    /// result is unknown; the pages are reloaded.
    pub fn write_failed(&mut self) {
        self.is_call_in_flight = false;
        self.page_in_flight = None;
        self.cache_valid_until = None;
    }

    fn entry(&self, key: &ClaimKey) -> Option<(u64, &ClaimEntry)> {
        let mut pages = self.pages.values().rev();
        pages.find_map(|(page, _)| page.entries.get(key).map(|entry| (page.number, entry)))
    }

    fn reply_to_pending(&mut self) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let claims = std::mem::take(&mut self.pending_claims);
        for claim in claims {
            let Some((_, entry)) = self.entry(&claim.key) else {
                self.pending_claims.push(claim);
                continue;
            };
            if entry.nonce == claim.nonce && entry.answer.is_none() {
                actions.push(ClaimAction::Reply {
                    claim_id: claim.claim_id,
                    reply: ClaimReply::Granted,
                });
                continue;
            }
            if is_reclaimable(entry) && entry.nonce != claim.nonce {
                self.pending_claims.push(claim);
                continue;
            }
            let answer = entry
                .answer
                .as_ref()
                .or_else(|| self.unrecorded_answer(&claim.key, entry));
            let reply = ClaimReply::AlreadyClaimed(answer.cloned());
            actions.push(ClaimAction::Reply {
                claim_id: claim.claim_id,
                reply,
            });
        }
        actions
    }

    fn unrecorded_answer(&self, key: &ClaimKey, entry: &ClaimEntry) -> Option<&ClaimAnswer> {
        let completion = self.completions.iter().find(|completion| {
            completion.key == *key
                && completion.nonce == entry.nonce
                && completion.answer.outcome != Outcome::NotRun
        });
        completion.map(|completion| &completion.answer)
    }

    /// Returns the next page to write: a closed page that receives results, the
    /// open page with new claims, or the full open page with its seal.
    fn next_page(&self, unix_ms: u64) -> Option<(ClaimPage, StoreVersion)> {
        let open = self.pages.last_key_value().map(|(number, _)| *number);
        let is_open = |number: u64| open == Some(number) && !self.pages[&number].0.is_sealed;
        for PendingCompletion { key, nonce, .. } in &self.completions {
            let Some((number, entry)) = self.entry(key) else {
                continue;
            };
            if entry.nonce != *nonce || is_open(number) {
                continue;
            }
            let (page, version) = &self.pages[&number];
            return Some((self.with_answers(page.clone()), *version));
        }
        let (mut page, version) = match open {
            Some(number) if is_open(number) => self.pages[&number].clone(),
            _ => (self.new_page(open, unix_ms), 0),
        };
        page = self.with_answers(page);
        if version > 0 && page.entries.len() >= MAX_PAGE_ENTRIES {
            page.is_sealed = true;
            return Some((page, version));
        }
        for claim in &self.pending_claims {
            let is_taken = self
                .entry(&claim.key)
                .is_some_and(|(_, entry)| !is_reclaimable(entry));
            let is_here = page
                .entries
                .get(&claim.key)
                .is_some_and(|entry| !is_reclaimable(entry));
            if is_taken || is_here {
                continue;
            }
            page.entries.insert(
                claim.key,
                ClaimEntry {
                    nonce: claim.nonce,
                    answer: None,
                },
            );
        }
        Some((page, version))
    }

    fn new_page(&self, open: Option<u64>, unix_ms: u64) -> ClaimPage {
        let number = open.map_or(0, |number| number + 1);
        ClaimPage {
            number,
            opened_unix_ms: unix_ms,
            ..ClaimPage::default()
        }
    }

    fn with_answers(&self, mut page: ClaimPage) -> ClaimPage {
        for PendingCompletion { key, nonce, answer } in &self.completions {
            let Some(entry) = page.entries.get_mut(key) else {
                continue;
            };
            if entry.nonce == *nonce && entry.answer.is_none() {
                entry.answer = Some(answer.clone());
            }
        }
        page
    }

    /// Drops results that are recorded or whose claim is not in any page.
    fn drop_recorded(&mut self) {
        let completions = std::mem::take(&mut self.completions);
        for completion in completions {
            let entry = self.entry(&completion.key).map(|(_, entry)| entry);
            let is_pending = entry
                .is_some_and(|entry| entry.nonce == completion.nonce && entry.answer.is_none());
            if is_pending {
                self.completions.push(completion);
            }
        }
    }

    fn delete_expired(&self, unix_ms: u64) -> Vec<ClaimAction> {
        let newest = self.pages.last_key_value().map(|(number, _)| *number);
        let mut actions = Vec::new();
        for (number, (page, version)) in &self.pages {
            let is_old = page.opened_unix_ms + CLAIM_RETENTION_MS < unix_ms;
            if Some(*number) == newest || !is_old {
                continue;
            }
            actions.push(ClaimAction::Delete {
                number: *number,
                expected: *version,
            });
        }
        actions
    }
}

/// Returns whether the key may be claimed again because its request did not run.
fn is_reclaimable(entry: &ClaimEntry) -> bool {
    entry
        .answer
        .as_ref()
        .is_some_and(|answer| answer.outcome == Outcome::NotRun)
}
