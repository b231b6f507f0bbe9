//! The time of office of an active placer.

use std::time::Duration;
use std::time::Instant;

use super::PlacementRecord;
use super::PlacementWrite;
use super::TermStep;
use super::WriteAnswer;
use crate::ids::Milliseconds;
use crate::ids::Nonce;
use crate::ids::StoreVersion;
use crate::ids::ZoneId;

/// Time within which an engine takes an order or never does.
pub const ORDER_TIMEOUT_MS: Milliseconds = 1_000;
/// Time without a report after which a VM counts as missing.
pub const VM_MISSING_AFTER_MS: Milliseconds = 3_000;

/// Writes the record of one zone under one fence.
///
/// A term begins by raising the fence in the record with a compare-and-swap.
/// From then on no earlier placer can write the record, whatever it believes.
/// Orders wait until those of the earlier placer can no longer arrive, because
/// not all engines refuse orders with an old fence.
#[derive(Clone, Debug)]
pub struct PlacerTerm {
    record: PlacementRecord,
    version: StoreVersion,
    pending: Option<PlacementRecord>,
    is_fenced: bool,
    orders_from: Instant,
    places_from: Instant,
}

impl PlacerTerm {
    /// Begins a term on the record that a read has found.
    pub fn begin(
        zone: &ZoneId,
        found: Option<(PlacementRecord, StoreVersion)>,
        now: Instant,
    ) -> Self {
        let (record, version) = found.unwrap_or((PlacementRecord::empty(zone.clone()), 0));
        Self {
            record,
            version,
            pending: None,
            is_fenced: false,
            orders_from: now + Duration::from_millis(ORDER_TIMEOUT_MS),
            places_from: now + Duration::from_millis(VM_MISSING_AFTER_MS),
        }
    }

    /// Returns the record in force.
    pub fn record(&self) -> &PlacementRecord {
        &self.record
    }

    /// Tells whether engines may be ordered at `now`.
    pub fn may_order(&self, now: Instant) -> bool {
        self.is_fenced && self.pending.is_none() && now >= self.orders_from
    }

    /// Tells whether VMs that are silent at `now` may be taken for missing.
    pub fn may_place(&self, now: Instant) -> bool {
        self.is_fenced && self.pending.is_none() && now >= self.places_from
    }

    /// Returns the write that raises the fence, while that has not been done.
    pub fn raise_fence(&mut self, nonce: Nonce) -> Option<PlacementWrite> {
        if self.is_fenced {
            return None;
        }
        let fence = self.record.fence + 1;
        Some(self.propose_as(self.record.clone(), fence, nonce))
    }

    /// Returns the write that puts `record` into force.
    pub fn propose(&mut self, record: PlacementRecord, nonce: Nonce) -> PlacementWrite {
        let fence = self.record.fence;
        self.propose_as(record, fence, nonce)
    }

    /// Takes the store's answer to the proposed write.
    pub fn answered(&mut self, answer: WriteAnswer) -> TermStep {
        match answer {
            WriteAnswer::Written(version) => self.accept(version),
            WriteAnswer::Refused => TermStep::End,
            WriteAnswer::InDoubt => TermStep::ReadBack,
        }
    }

    /// Takes what a read after a write in doubt has found.
    ///
    /// A record that is not there yet may still arrive. The term ends then, and
    /// the next one meets that record at its first compare-and-swap.
    pub fn read_back(&mut self, found: Option<(PlacementRecord, StoreVersion)>) -> TermStep {
        let own = self.pending.as_ref().map(|record| record.nonce);
        match found {
            Some((record, version)) if Some(record.nonce) == own => self.accept(version),
            _ => TermStep::End,
        }
    }

    fn propose_as(
        &mut self,
        mut record: PlacementRecord,
        fence: u64,
        nonce: Nonce,
    ) -> PlacementWrite {
        record.fence = fence;
        record.nonce = nonce;
        self.pending = Some(record.clone());
        PlacementWrite {
            record,
            expected: self.version,
        }
    }

    fn accept(&mut self, version: StoreVersion) -> TermStep {
        let Some(record) = self.pending.take() else {
            return TermStep::End;
        };
        self.record = record;
        self.version = version;
        self.is_fenced = true;
        TermStep::Continue
    }
}
