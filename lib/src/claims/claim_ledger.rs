//! The home's side of claims: batches them into pages.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::CLAIM_RETENTION_MS;
use super::CLAIM_WRITE_MS;
use super::ClaimAction;
use super::ClaimAnswer;
use super::ClaimEntry;
use super::ClaimKey;
use super::ClaimPage;
use super::ClaimReply;
use super::PAGE_ENTRIES;
use crate::ids::Milliseconds;
use crate::ids::Nonce;
use crate::ids::StoreVersion;
use crate::outcome::Outcome;

/// Time after which pages are read anew before the next write.
const LOADED_VALID_MS: Milliseconds = CLAIM_RETENTION_MS / 4;

/// Claims of one shard.
///
/// The ledger has at most one read or write under way. A write whose fate is
/// unknown or that met a newer page is followed by a read, and the claims in
/// it are settled by what the read shows.
#[derive(Clone, Debug)]
pub struct ClaimLedger {
    pages: BTreeMap<u64, (ClaimPage, StoreVersion)>,
    loaded_until: Option<Instant>,
    is_busy: bool,
    writing: Option<ClaimPage>,
    next_write_at: Instant,
    asks: Vec<ClaimAsk>,
    settles: Vec<ClaimSettle>,
}

#[derive(Clone, Debug)]
struct ClaimAsk {
    ask: u64,
    key: ClaimKey,
    nonce: Nonce,
    expires_at: Instant,
}

/// The end of a claimed request that is not on record yet.
#[derive(Clone, Debug)]
struct ClaimSettle {
    key: ClaimKey,
    nonce: Nonce,
    answer: ClaimAnswer,
}

impl ClaimLedger {
    /// Becomes home to a shard; nothing is known of its pages yet.
    pub fn new(now: Instant) -> Self {
        Self {
            pages: BTreeMap::new(),
            loaded_until: None,
            is_busy: false,
            writing: None,
            next_write_at: now,
            asks: Vec::new(),
            settles: Vec::new(),
        }
    }

    /// Takes a request for `key`; the host is told the answer under `ask`.
    ///
    /// After `expires_at` the request is dropped without an answer. A claim
    /// that is already under way then may still be recorded.
    pub fn ask(&mut self, ask: u64, key: ClaimKey, nonce: Nonce, expires_at: Instant) {
        self.asks.push(ClaimAsk {
            ask,
            key,
            nonce,
            expires_at,
        });
    }

    /// Takes the end of the request that claimed `key` with `nonce`.
    ///
    /// Whoever asks from now on is told that end. Returns whether it is on
    /// record, so that it need not be offered again.
    pub fn settle(&mut self, key: ClaimKey, nonce: Nonce, answer: ClaimAnswer) -> bool {
        let recorded = self.entry(&key).filter(|(_, entry)| entry.nonce == nonce);
        if recorded.is_some_and(|(_, entry)| entry.answer.is_some()) {
            return true;
        }
        let is_known = self
            .settles
            .iter()
            .any(|settle| settle.key == key && settle.nonce == nonce);
        if !is_known {
            self.settles.push(ClaimSettle { key, nonce, answer });
        }
        false
    }

    /// Tells whether something waits to be done.
    pub fn has_work(&self) -> bool {
        !self.asks.is_empty() || !self.settles.is_empty()
    }

    /// Returns what to do next; call again after each event and after some time.
    pub fn poll(&mut self, now: Instant, unix_ms: u64) -> Vec<ClaimAction> {
        self.asks.retain(|ask| now < ask.expires_at);
        if self.is_busy || !self.has_work() {
            return Vec::new();
        }
        if self.loaded_until.is_none_or(|until| now >= until) {
            self.is_busy = true;
            return vec![ClaimAction::Load];
        }
        let mut actions = self.answer_known();
        if now < self.next_write_at {
            return actions;
        }
        let Some((page, expected)) = self.next_page(unix_ms) else {
            return actions;
        };
        self.is_busy = true;
        self.writing = Some(page.clone());
        self.next_write_at = now + Duration::from_millis(CLAIM_WRITE_MS);
        actions.push(ClaimAction::Write { page, expected });
        actions
    }

    /// Takes the pages that a read has found; the read began at `started_at`.
    pub fn loaded(
        &mut self,
        pages: Vec<(ClaimPage, StoreVersion)>,
        started_at: Instant,
        unix_ms: u64,
    ) -> Vec<ClaimAction> {
        self.is_busy = false;
        self.writing = None;
        self.pages = pages
            .into_iter()
            .map(|page| (page.0.number, page))
            .collect();
        self.loaded_until = Some(started_at + Duration::from_millis(LOADED_VALID_MS));
        let mut actions = self.answer_known();
        actions.extend(self.delete_expired(unix_ms));
        actions
    }

    /// Takes word that the read failed; it is tried again.
    pub fn load_failed(&mut self) {
        self.is_busy = false;
    }

    /// Takes word that the write under way took effect and made `version`.
    pub fn wrote(&mut self, version: StoreVersion) -> Vec<ClaimAction> {
        self.is_busy = false;
        let Some(page) = self.writing.take() else {
            return Vec::new();
        };
        self.pages.insert(page.number, (page, version));
        self.drop_settled();
        self.answer_known()
    }

    /// Takes word that the write under way met a newer page, or that its fate
    /// is unknown; the pages are read anew.
    pub fn write_failed(&mut self) {
        self.is_busy = false;
        self.writing = None;
        self.loaded_until = None;
    }

    fn entry(&self, key: &ClaimKey) -> Option<(u64, &ClaimEntry)> {
        let mut pages = self.pages.values().rev();
        pages.find_map(|(page, _)| page.entries.get(key).map(|entry| (page.number, entry)))
    }

    fn answer_known(&mut self) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let asks = std::mem::take(&mut self.asks);
        for ask in asks {
            let Some((_, entry)) = self.entry(&ask.key) else {
                self.asks.push(ask);
                continue;
            };
            if entry.nonce == ask.nonce && entry.answer.is_none() {
                actions.push(ClaimAction::Reply {
                    ask: ask.ask,
                    reply: ClaimReply::Granted,
                });
                continue;
            }
            if is_free(entry) && entry.nonce != ask.nonce {
                self.asks.push(ask);
                continue;
            }
            let answer = entry
                .answer
                .as_ref()
                .or_else(|| self.pending_answer(&ask.key, entry));
            let reply = ClaimReply::Held(answer.cloned());
            actions.push(ClaimAction::Reply {
                ask: ask.ask,
                reply,
            });
        }
        actions
    }

    fn pending_answer(&self, key: &ClaimKey, entry: &ClaimEntry) -> Option<&ClaimAnswer> {
        let settle = self.settles.iter().find(|settle| {
            settle.key == *key
                && settle.nonce == entry.nonce
                && settle.answer.outcome != Outcome::NotRun
        });
        settle.map(|settle| &settle.answer)
    }

    /// Returns the page to be written next: one whose claims have ended, or
    /// the open page with new claims, or the open page to be sealed.
    fn next_page(&self, unix_ms: u64) -> Option<(ClaimPage, StoreVersion)> {
        let open = self.pages.last_key_value().map(|(number, _)| *number);
        let is_open = |number: u64| open == Some(number) && !self.pages[&number].0.is_sealed;
        for ClaimSettle { key, nonce, .. } in &self.settles {
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
            _ => (self.fresh_page(open, unix_ms), 0),
        };
        page = self.with_answers(page);
        if version > 0 && page.entries.len() >= PAGE_ENTRIES {
            page.is_sealed = true;
            return Some((page, version));
        }
        for ask in &self.asks {
            let is_taken = self
                .entry(&ask.key)
                .is_some_and(|(_, entry)| !is_free(entry));
            let is_here = page
                .entries
                .get(&ask.key)
                .is_some_and(|entry| !is_free(entry));
            if is_taken || is_here {
                continue;
            }
            page.entries.insert(
                ask.key,
                ClaimEntry {
                    nonce: ask.nonce,
                    answer: None,
                },
            );
        }
        Some((page, version))
    }

    fn fresh_page(&self, open: Option<u64>, unix_ms: u64) -> ClaimPage {
        let number = open.map_or(0, |number| number + 1);
        ClaimPage {
            number,
            opened_unix_ms: unix_ms,
            ..ClaimPage::default()
        }
    }

    fn with_answers(&self, mut page: ClaimPage) -> ClaimPage {
        for ClaimSettle { key, nonce, answer } in &self.settles {
            let Some(entry) = page.entries.get_mut(key) else {
                continue;
            };
            if entry.nonce == *nonce && entry.answer.is_none() {
                entry.answer = Some(answer.clone());
            }
        }
        page
    }

    /// Forgets the ends that are on record or have no claim to belong to.
    fn drop_settled(&mut self) {
        let settles = std::mem::take(&mut self.settles);
        for settle in settles {
            let entry = self.entry(&settle.key).map(|(_, entry)| entry);
            let is_pending =
                entry.is_some_and(|entry| entry.nonce == settle.nonce && entry.answer.is_none());
            if is_pending {
                self.settles.push(settle);
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

/// Tells whether the key may be claimed again because its request did not run.
fn is_free(entry: &ClaimEntry) -> bool {
    entry
        .answer
        .as_ref()
        .is_some_and(|answer| answer.outcome == Outcome::NotRun)
}
