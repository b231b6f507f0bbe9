//! The fewest parts that explain the crashes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::crash_event::CrashEvent;
use super::fingerprint::is_fingerprint;
use super::survival_log::SurvivalLog;
use crate::ids::PromptPartId;

/// Crashes within this time count as one moment: connections that are reset together, or
/// a domain that goes dark.
const MOMENT_SPAN: Duration = Duration::from_millis(100);
/// Moments in a row after which a part without a recent survival is poison, if no other
/// engine has crashed meanwhile.
const UNPROVEN_MOMENTS: usize = 3;
/// Maximum number of further moments, one for each crash that the part does not explain.
const MAX_EXTRA_MOMENTS: usize = 2;
/// The same for a fingerprint, in crashes.
const MAX_EXTRA_CRASHES: usize = 1;
/// Moments in a row after which a part with a recent survival is poison.
const PROVEN_MOMENTS: usize = 6;
/// Moments after which parts that explain equally many, but different crashes are all
/// poison.
const TIE_MOMENTS: usize = 5;

/// Parts that explain crashes; several if they were in exactly the same ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CrashExplanation {
    pub(super) parts: BTreeSet<PromptPartId>,
    /// Whether other parts explain as many, but different crashes.
    pub(super) is_disputed: bool,
    pub(super) crashes: u32,
    pub(super) first_crash: Instant,
    pub(super) last_crash: Instant,
}

/// Finds the parts that explain most crashes, then those that explain most of the rest.
pub(super) struct CrashExplainer<'a> {
    events: &'a VecDeque<CrashEvent>,
    survivals: &'a SurvivalLog,
    /// Parts of quarantines in force; their decision is not made harder by later crashes.
    held: BTreeSet<&'a PromptPartId>,
    /// Events that no part explains yet.
    open_events: Vec<bool>,
    /// Unexplained events by part; only parts that may be poison.
    charges: HashMap<&'a PromptPartId, Vec<usize>>,
}

/// How well a part explains events: whether it is unproven, moments, events. An unproven
/// part explains them better than a proven one that comes with it.
type ChargeWeight = (bool, usize, usize);

impl<'a> CrashExplainer<'a> {
    /// Charges each part with the events since its last survival.
    pub(super) fn new(
        events: &'a VecDeque<CrashEvent>,
        survivals: &'a SurvivalLog,
        held: BTreeSet<&'a PromptPartId>,
    ) -> Self {
        let mut charges: HashMap<&PromptPartId, Vec<usize>> = HashMap::new();
        for (index, event) in events.iter().enumerate() {
            for part in &event.parts {
                let survived_at = survivals.last(part);
                if survived_at.is_none_or(|survived_at| survived_at < event.happened_at) {
                    charges.entry(part).or_default().push(index);
                }
            }
        }
        charges.retain(|_, events| events.len() >= UNPROVEN_MOMENTS);
        Self {
            events,
            survivals,
            held,
            open_events: vec![true; events.len()],
            charges,
        }
    }

    /// Returns the explanations, the best first.
    pub(super) fn explain(mut self) -> Vec<CrashExplanation> {
        let mut explanations = Vec::new();
        while let Some(weight) = self.best_weight() {
            let rivals = self.rivals(weight);
            for (events, parts) in &rivals {
                let mut others = rivals.keys().filter(|other| *other != events);
                let has_rival = others.any(|other| other.iter().any(|e| events.contains(e)));
                let is_disputed = has_rival && weight.1 < TIE_MOMENTS;
                for parts in split_fingerprints(parts) {
                    let is_disputed = is_disputed && !parts.iter().any(|part| is_fingerprint(part));
                    explanations.push(self.explanation(&parts, events, is_disputed));
                }
            }
            let poison: BTreeSet<PromptPartId> = rivals.into_values().flatten().collect();
            self.discharge(&poison);
        }
        explanations
    }

    fn best_weight(&self) -> Option<ChargeWeight> {
        let charges = self.charges.iter();
        charges
            .filter_map(|(part, events)| self.weight(part, events))
            .max()
    }

    /// Returns the parts with the best weight by the events that they explain.
    fn rivals(&self, weight: ChargeWeight) -> BTreeMap<Vec<usize>, BTreeSet<PromptPartId>> {
        let mut rivals: BTreeMap<Vec<usize>, BTreeSet<PromptPartId>> = BTreeMap::new();
        for (part, events) in &self.charges {
            if self.weight(part, events) == Some(weight) {
                let parts = rivals.entry(events.clone()).or_default();
                parts.insert((*part).clone());
            }
        }
        rivals
    }

    fn is_proven(&self, part: &str, events: &[usize]) -> bool {
        let first = events.first().and_then(|index| self.events.get(*index));
        first.is_some_and(|first| self.survivals.is_recent(part, first.happened_at))
    }

    /// Returns the weight of a charge if it suffices for the part to be poison.
    ///
    /// For a fingerprint, crashes of several endpoints at the same moment count as well: a wrong
    /// decision concerns no other request.
    fn weight(&self, part: &PromptPartId, events: &[usize]) -> Option<ChargeWeight> {
        let is_proven = self.is_proven(part, events);
        let moments = self.count_moments(events);
        if !is_proven && is_fingerprint(part) {
            let needed = UNPROVEN_MOMENTS + self.count_others(events).min(MAX_EXTRA_CRASHES);
            return (events.len() >= needed).then_some((true, moments, events.len()));
        }
        let needed = if is_proven {
            PROVEN_MOMENTS
        } else if self.held.contains(part) {
            UNPROVEN_MOMENTS
        } else {
            UNPROVEN_MOMENTS + self.count_others(events).min(MAX_EXTRA_MOMENTS)
        };
        (moments >= needed).then_some((!is_proven, moments, events.len()))
    }

    /// Returns the number of unexplained events since the first one of a charge beside it.
    fn count_others(&self, events: &[usize]) -> usize {
        let first = events.first().copied().unwrap_or(0);
        let open = self.open_events[first..].iter().filter(|is_open| **is_open);
        open.count().saturating_sub(events.len())
    }

    fn count_moments(&self, events: &[usize]) -> usize {
        let mut count = 0;
        let mut ends_at: Option<Instant> = None;
        for index in events {
            let happened_at = self.events[*index].happened_at;
            if ends_at.is_none_or(|ends_at| ends_at <= happened_at) {
                count += 1;
                ends_at = Some(happened_at + MOMENT_SPAN);
            }
        }
        count
    }

    fn explanation(
        &self,
        parts: &BTreeSet<PromptPartId>,
        events: &[usize],
        is_disputed: bool,
    ) -> CrashExplanation {
        let happened_at = |index: Option<&usize>| self.events[*index.unwrap_or(&0)].happened_at;
        CrashExplanation {
            parts: parts.clone(),
            is_disputed,
            crashes: u32::try_from(events.len()).unwrap_or(u32::MAX),
            first_crash: happened_at(events.first()),
            last_crash: happened_at(events.last()),
        }
    }

    /// Removes all events that poison explains, also those before an alleged survival.
    fn discharge(&mut self, poison: &BTreeSet<PromptPartId>) {
        for (event, is_open) in self.events.iter().zip(&mut self.open_events) {
            *is_open &= !poison.iter().any(|part| event.parts.contains(part));
        }
        let open_events = &self.open_events;
        self.charges.retain(|_, events| {
            events.retain(|event| open_events[*event]);
            events.len() >= UNPROVEN_MOMENTS
        });
    }
}

/// Returns the sets of parts that one request can hold: a request has one fingerprint.
fn split_fingerprints(parts: &BTreeSet<PromptPartId>) -> Vec<BTreeSet<PromptPartId>> {
    let (fingerprints, shared): (Vec<_>, Vec<_>) =
        parts.iter().cloned().partition(|part| is_fingerprint(part));
    if fingerprints.is_empty() {
        return vec![parts.clone()];
    }
    let with_shared = |fingerprint| shared.iter().cloned().chain([fingerprint]).collect();
    fingerprints.into_iter().map(with_shared).collect()
}
