//! The term of an active placer, which is fenced against earlier placers.

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

/// Time after which an order that has been sent can no longer reach its engine.
pub const ORDER_TIMEOUT_MS: Milliseconds = 1_000;
/// Time without a report after which a VM counts as missing.
pub const VM_MISSING_AFTER_MS: Milliseconds = 3_000;

/// Writes the record of one zone under one fence.
///
/// A term begins with a compare-and-swap that raises the fence in the record.
/// After that no earlier placer can write the record, even one that still
/// considers itself active. The first orders wait until those of the earlier
/// placer can no longer arrive, because not all engines reject orders with an
/// old fence.
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
    /// Begins a term with the record that was read from the store.
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

    /// Tells whether orders may be sent to engines at `now`.
    pub fn may_order(&self, now: Instant) -> bool {
        self.is_fenced && self.pending.is_none() && now >= self.orders_from
    }

    /// Tells whether VMs without a report at `now` may be treated as missing.
    pub fn may_place(&self, now: Instant) -> bool {
        self.is_fenced && self.pending.is_none() && now >= self.places_from
    }

    /// Returns the write that raises the fence, or `None` once it has been raised.
    pub fn raise_fence(&mut self, nonce: Nonce) -> Option<PlacementWrite> {
        if self.is_fenced {
            return None;
        }
        let fence = self.record.fence + 1;
        Some(self.propose_as(self.record.clone(), fence, nonce))
    }

    /// Returns the write that makes `record` the current one.
    pub fn propose(&mut self, record: PlacementRecord, nonce: Nonce) -> PlacementWrite {
        let fence = self.record.fence;
        self.propose_as(record, fence, nonce)
    }

    /// Handles the store's answer to the proposed write.
    pub fn answered(&mut self, answer: WriteAnswer) -> TermStep {
        match answer {
            WriteAnswer::Written(version) => self.accept(version),
            WriteAnswer::Refused => TermStep::End,
            WriteAnswer::InDoubt => TermStep::ReadBack,
        }
    }

    /// Handles the result of the read that follows a write in doubt.
    ///
    /// If the store does not hold the record of that write, the write may still
    /// take effect later. The term then ends, and in the next one the first
    /// compare-and-swap detects such a late write.
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
