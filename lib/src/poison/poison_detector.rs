//! Decides which parts a router serves no more.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::CrashReport;
use super::PartQuarantine;
use super::PoisonAction;
use super::QuarantineNotice;
use super::RunSurvival;
use super::SurvivalReport;
use super::crash_event::CrashEvent;
use super::crash_explainer::CrashExplainer;
use super::crash_explainer::CrashExplanation;
use super::crash_report::is_usable;
use super::survival_log::SurvivalLog;
use crate::ids::PromptPartId;

/// Time for which a decision waits for survivals that peers know of.
pub const OBJECTION_TIME: Duration = Duration::from_millis(200);
/// Time after the last crash for which requests are rejected.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time for which crashes are charged.
const EVENT_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a lifted quarantine is announced and not adopted again.
const LIFT_RETENTION: Duration = Duration::from_secs(30);
/// Minimum time between survivals of a part that are told to peers.
const TELL_INTERVAL: Duration = Duration::from_millis(500);
/// Charges from which a survival is told at once.
const URGENT_CHARGES: usize = 2;
/// Maximum number of crashes that are charged.
const MAX_EVENTS: usize = 256;
/// Maximum number of quarantines, and of lifted ones.
const MAX_QUARANTINES: usize = 256;
/// Maximum number of parts of a quarantine.
const MAX_QUARANTINE_PARTS: usize = 32;
/// Maximum number of parts whose last telling is remembered.
const MAX_TOLD: usize = 4_096;

/// Combines the crashes and survivals that all routers have seen.
#[derive(Clone, Debug, Default)]
pub struct PoisonDetector {
    events: VecDeque<CrashEvent>,
    /// Time of the newest event that was removed by age or number.
    pruned_until: Option<Instant>,
    survivals: SurvivalLog,
    explanations: Vec<CrashExplanation>,
    is_stale: bool,
    /// Explanations that wait for objections, by parts, with the time of their decision.
    pending: BTreeMap<BTreeSet<PromptPartId>, Instant>,
    quarantines: BTreeMap<BTreeSet<PromptPartId>, PartQuarantine>,
    lifted: BTreeMap<BTreeSet<PromptPartId>, Instant>,
    told_at: HashMap<PromptPartId, Instant>,
}

impl PoisonDetector {
    /// Records a crash that this router or a peer reports.
    pub fn observe_crash(&mut self, report: &CrashReport, now: Instant) {
        if !is_usable(&report.endpoint) {
            return;
        }
        self.is_stale = true;
        let mut events = self.events.iter_mut().rev();
        if let Some(event) = events.find(|event| event.includes(report, now)) {
            event.merge(report);
            return;
        }
        self.events.push_back(CrashEvent::new(report, now));
        if self.events.len() > MAX_EVENTS {
            let removed = self.events.pop_front();
            self.pruned_until = removed.map(|event| event.happened_at);
        }
    }

    /// Records a survival of this router; returns what to tell the peers.
    pub fn observe_own_survival(
        &mut self,
        survival: &RunSurvival,
        now: Instant,
    ) -> Vec<SurvivalReport> {
        let mut reports = Vec::new();
        let ended_early = survival.ended_early;
        if ended_early && self.has_crashed_since(survival) {
            return reports;
        }
        let age = now.saturating_duration_since(survival.survived_at);
        for part in &survival.parts {
            if self.record_survival(part, survival.survived_at, ended_early, now) {
                reports.push(survival_report(part, age, ended_early));
            }
        }
        reports
    }

    /// Records a survival that a peer tells of.
    pub fn observe_survival(&mut self, report: &SurvivalReport, now: Instant) {
        let age = Duration::from_millis(report.age_ms);
        if let Some(survived_at) = now.checked_sub(age) {
            self.record_survival(&report.part, survived_at, report.ended_early, now);
        }
    }

    /// Returns the survivals that object to a peer's suspicion.
    pub fn objections(&self, parts: &BTreeSet<PromptPartId>, now: Instant) -> Vec<SurvivalReport> {
        let mut reports = Vec::new();
        for part in parts.iter().take(MAX_QUARANTINE_PARTS) {
            let Some(survived_at) = self.survivals.last(part) else {
                continue;
            };
            if self.survivals.is_recent(part, now) {
                let age = now.saturating_duration_since(survived_at);
                reports.push(survival_report(part, age, false));
            }
        }
        reports
    }

    /// Returns whether a part has survived lately at any router, as far as this one knows.
    pub fn recently_survived(&self, part: &str, now: Instant) -> bool {
        self.survivals.is_recent(part, now)
    }

    /// Advances the decisions; returns what to tell all peers. To be called every 0.1 s.
    pub fn poll(&mut self, now: Instant) -> Vec<PoisonAction> {
        self.prune(now);
        if self.is_stale {
            self.is_stale = false;
            let held = self.quarantines.keys().flatten().collect();
            let explainer = CrashExplainer::new(&self.events, &self.survivals, held);
            self.explanations = explainer.explain();
        }
        let mut actions = Vec::new();
        self.decide(now, &mut actions);
        self.lift_unexplained(now, &mut actions);
        actions
    }

    /// Returns the quarantine that rejects a request with `parts`, if any.
    pub fn find_quarantine(&self, parts: &[PromptPartId], now: Instant) -> Option<&PartQuarantine> {
        let mut quarantines = self.quarantines.values();
        quarantines.find(|quarantine| now < quarantine.until && quarantine.rejects(parts))
    }

    /// Applies an announcement of a peer.
    pub fn adopt(&mut self, notice: &QuarantineNotice, now: Instant) {
        if notice.parts.len() > MAX_QUARANTINE_PARTS || !notice.parts.iter().all(|p| is_usable(p)) {
            return;
        }
        if notice.valid_ms == 0 {
            if !self.is_explained(&notice.parts) && self.quarantines.remove(&notice.parts).is_some()
            {
                self.remember_lift(notice.parts.clone(), now);
            }
            return;
        }
        let survivals = &self.survivals;
        let parts = notice.parts.iter();
        let parts: BTreeSet<PromptPartId> = parts
            .filter(|part| !survivals.is_recent(part, now))
            .cloned()
            .collect();
        if parts.is_empty() || self.lifted.contains_key(&notice.parts) {
            return;
        }
        self.quarantine(PartQuarantine {
            parts,
            crashes: notice.crashes,
            decided_at: now,
            until: now + Duration::from_millis(notice.valid_ms).min(QUARANTINE_TIME),
            first_crash: None,
        });
    }

    /// Returns what to announce to peers from time to time.
    pub fn announcements(&self, now: Instant) -> Vec<QuarantineNotice> {
        let quarantines = self.quarantines.values();
        let mut notices: Vec<QuarantineNotice> = quarantines
            .map(|quarantine| quarantine.notice(now))
            .collect();
        notices.retain(|notice| notice.valid_ms > 0);
        notices.extend(self.lifted.keys().cloned().map(lift_notice));
        notices
    }

    /// Returns whether peers need to know of a survival.
    fn record_survival(
        &mut self,
        part: &PromptPartId,
        survived_at: Instant,
        ended_early: bool,
        now: Instant,
    ) -> bool {
        if !is_usable(part) {
            return false;
        }
        let charges = self.charges(part);
        if ended_early && charges > 0 {
            return self.must_tell(part, charges, false, now);
        }
        self.is_stale |= charges > 0;
        self.survivals.record(part, survived_at);
        let is_quarantined = self.clear_quarantines(part, survived_at, now);
        let is_pending = self.pending.keys().any(|parts| parts.contains(part));
        self.must_tell(part, charges, is_quarantined || is_pending, now)
    }

    fn has_crashed_since(&self, survival: &RunSurvival) -> bool {
        let mut events = self.events.iter();
        events.any(|event| {
            event.endpoint == survival.endpoint && event.happened_at >= survival.started_at
        })
    }

    /// Returns the number of crashes since the last survival that a part may have caused.
    fn charges(&self, part: &str) -> usize {
        let survived_at = self.survivals.last(part);
        let events = self.events.iter().rev();
        events
            .take_while(|event| survived_at.is_none_or(|at| at < event.happened_at))
            .filter(|event| event.parts.contains(part))
            .count()
    }

    fn must_tell(&mut self, part: &PromptPartId, charges: usize, held: bool, now: Instant) -> bool {
        if charges == 0 && !held {
            return false;
        }
        let told_at = self.told_at.get(part);
        let is_recent = told_at.is_some_and(|told_at| now < *told_at + TELL_INTERVAL);
        if is_recent && charges < URGENT_CHARGES && !held {
            return false;
        }
        if self.told_at.len() < MAX_TOLD {
            self.told_at.insert(part.clone(), now);
        }
        true
    }

    /// Removes a part that survived from quarantines that rest on no events of this router;
    /// the others follow from the explanations. Returns whether it was in any.
    fn clear_quarantines(&mut self, part: &str, survived_at: Instant, now: Instant) -> bool {
        let quarantines = self.quarantines.values();
        let holding: Vec<PartQuarantine> = quarantines
            .filter(|q| q.parts.contains(part))
            .cloned()
            .collect();
        for mut quarantine in holding.iter().cloned() {
            let is_refuted = quarantine.decided_at <= survived_at;
            if self.is_covered(&quarantine) || !is_refuted {
                continue;
            }
            self.quarantines.remove(&quarantine.parts);
            self.remember_lift(quarantine.parts.clone(), now);
            quarantine.parts.remove(part);
            if !quarantine.parts.is_empty() {
                self.quarantine(quarantine);
            }
        }
        !holding.is_empty()
    }

    /// Returns whether all events that a quarantine rests on are still charged.
    fn is_covered(&self, quarantine: &PartQuarantine) -> bool {
        let Some(first_crash) = quarantine.first_crash else {
            return false;
        };
        self.pruned_until.is_none_or(|until| until < first_crash)
    }

    fn is_explained(&self, parts: &BTreeSet<PromptPartId>) -> bool {
        let mut explanations = self.explanations.iter();
        explanations.any(|explanation| {
            explanation.parts.is_subset(parts) || explanation.parts.is_superset(parts)
        })
    }

    fn decide(&mut self, now: Instant, actions: &mut Vec<PoisonAction>) {
        let mut explanations = self.explanations.clone();
        explanations
            .retain(|found| !found.is_disputed || self.quarantines.contains_key(&found.parts));
        self.pending
            .retain(|parts, _| explanations.iter().any(|found| found.parts == *parts));
        for explanation in explanations {
            let parts = &explanation.parts;
            let mut quarantines = self.quarantines.values_mut();
            let wider = quarantines.find(|quarantine| quarantine.parts.is_subset(parts));
            if let Some(quarantine) = wider {
                quarantine.renew(&explanation);
                continue;
            }
            if let Some(decided_at) = self.pending.get(parts) {
                if now < *decided_at + OBJECTION_TIME {
                    continue;
                }
                self.pending.remove(parts);
                let quarantine = PartQuarantine::new(explanation, now);
                actions.push(PoisonAction::Quarantine(quarantine.notice(now)));
                self.lifted.remove(&quarantine.parts);
                self.quarantine(quarantine);
            } else if self.pending.len() < MAX_QUARANTINES {
                self.pending.insert(parts.clone(), now);
                actions.push(PoisonAction::Suspect(parts.clone()));
            }
        }
    }

    fn lift_unexplained(&mut self, now: Instant, actions: &mut Vec<PoisonAction>) {
        let quarantines = self.quarantines.values();
        let unexplained: Vec<BTreeSet<PromptPartId>> = quarantines
            .filter(|quarantine| self.is_covered(quarantine))
            .filter(|quarantine| !self.is_explained(&quarantine.parts))
            .map(|quarantine| quarantine.parts.clone())
            .collect();
        for parts in unexplained {
            self.quarantines.remove(&parts);
            self.remember_lift(parts.clone(), now);
            actions.push(PoisonAction::Lift(lift_notice(parts)));
        }
    }

    /// Puts a quarantine in force unless a wider one is; it replaces narrower ones.
    fn quarantine(&mut self, quarantine: PartQuarantine) {
        let parts = &quarantine.parts;
        if let Some(same) = self.quarantines.get_mut(parts) {
            same.until = same.until.max(quarantine.until);
            same.crashes = same.crashes.max(quarantine.crashes);
            return;
        }
        if self.quarantines.keys().any(|wider| wider.is_subset(parts)) {
            return;
        }
        self.quarantines
            .retain(|narrower, _| !narrower.is_superset(parts));
        if self.quarantines.len() < MAX_QUARANTINES {
            self.quarantines.insert(parts.clone(), quarantine);
        }
    }

    fn remember_lift(&mut self, parts: BTreeSet<PromptPartId>, now: Instant) {
        if self.lifted.len() < MAX_QUARANTINES {
            self.lifted.insert(parts, now + LIFT_RETENTION);
        }
    }

    fn prune(&mut self, now: Instant) {
        while let Some(event) = self.events.front() {
            if now < event.happened_at + EVENT_RETENTION {
                break;
            }
            self.pruned_until = Some(event.happened_at);
            self.events.pop_front();
            self.is_stale = true;
        }
        self.survivals.prune(now);
        self.quarantines
            .retain(|_, quarantine| now < quarantine.until);
        self.lifted.retain(|_, until| now < *until);
        self.told_at
            .retain(|_, told_at| now < *told_at + TELL_INTERVAL);
    }
}

fn survival_report(part: &PromptPartId, age: Duration, ended_early: bool) -> SurvivalReport {
    SurvivalReport {
        part: part.clone(),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        ended_early,
    }
}

fn lift_notice(parts: BTreeSet<PromptPartId>) -> QuarantineNotice {
    QuarantineNotice {
        parts,
        crashes: 0,
        valid_ms: 0,
    }
}
