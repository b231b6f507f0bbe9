//! The runs of one router.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::CrashReport;
use super::RunEnd;
use super::RunSurvival;
use super::fingerprint::is_fingerprint;
use crate::ids::EndpointId;
use crate::ids::PromptPartId;
use crate::ids::RunNumber;

/// Time after its first event for which a run must live to clear its parts. Engines crash
/// up to 0.3 s after they have begun to write.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Number of endpoints whose losses are reported before any endpoint is heard or reached
/// again. A router that loses more is cut off itself.
pub const MAX_UNHEARD_LOSSES: usize = 2;
/// Time in which an event of another run at the same endpoint proves that a complete answer
/// did not crash it. Engines that crash are back after some seconds.
const PROOF_TIME: Duration = Duration::from_secs(3);
/// Time for which losses of one endpoint belong to the same crash.
const CRASH_SPAN: Duration = Duration::from_secs(1);
/// Maximum number of runs that are tracked; more than a router has open.
const MAX_RUNS: usize = 65_536;
/// Maximum number of complete runs that wait for their survival.
const MAX_FINISHED_RUNS: usize = 16_384;
/// Maximum number of survivals that wait to be taken.
const MAX_PENDING: usize = 16_384;
/// Maximum number of endpoints with a state; more than a fleet has.
const MAX_ENDPOINTS: usize = 16_384;
/// Number of a run that is not tracked.
const UNTRACKED: RunNumber = 0;

/// Watches the runs of one router for crashes and survivals.
#[derive(Clone, Debug, Default)]
pub struct RunTracker {
    last_number: RunNumber,
    runs: HashMap<RunNumber, OpenRun>,
    endpoints: HashMap<EndpointId, EndpointWatch>,
    /// Endpoints lost since any was heard or reached, and when.
    unheard_losses: BTreeMap<EndpointId, Instant>,
    finished: Vec<FinishedRun>,
    survivals: Vec<RunSurvival>,
}

#[derive(Clone, Debug)]
struct OpenRun {
    endpoint: EndpointId,
    parts: Vec<PromptPartId>,
    /// Last contact with the endpoint over the connection of this run.
    reached_at: Option<Instant>,
    started_at: Option<Instant>,
    has_survived: bool,
}

#[derive(Clone, Debug)]
struct FinishedRun {
    endpoint: EndpointId,
    parts: Vec<PromptPartId>,
    started_at: Instant,
    /// Whether its unproven survival has been told.
    is_told: bool,
}

/// What is known of an endpoint since it was last heard.
#[derive(Clone, Debug, Default)]
struct EndpointWatch {
    open_runs: usize,
    /// First loss since the endpoint was last heard or reached.
    lost_at: Option<Instant>,
    /// Last event of any run.
    heard_at: Option<Instant>,
}

impl RunTracker {
    /// Records that a request is being sent. `parts` are its fingerprint and the parts of its
    /// prompt that other requests may share; runs without any are not tracked.
    pub fn begin(&mut self, endpoint: &EndpointId, parts: &[PromptPartId]) -> RunNumber {
        if parts.is_empty() || self.runs.len() >= MAX_RUNS {
            return UNTRACKED;
        }
        self.limit_endpoints();
        self.last_number += 1;
        self.endpoints
            .entry(endpoint.clone())
            .or_default()
            .open_runs += 1;
        let run = OpenRun {
            endpoint: endpoint.clone(),
            parts: parts.to_vec(),
            reached_at: None,
            started_at: None,
            has_survived: false,
        };
        self.runs.insert(self.last_number, run);
        self.last_number
    }

    /// Records an event of the answer; the first one is the start of the run.
    pub fn record_event(&mut self, run: RunNumber, now: Instant) {
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        self.unheard_losses.clear();
        run.reached_at = Some(now);
        if let Some(watch) = self.endpoints.get_mut(&run.endpoint) {
            watch.lost_at = None;
            watch.heard_at = Some(now);
        }
        let started_at = *run.started_at.get_or_insert(now);
        if run.has_survived || now < started_at + SURVIVAL_TIME {
            return;
        }
        run.has_survived = true;
        if self.survivals.len() < MAX_PENDING {
            self.survivals.push(RunSurvival {
                endpoint: run.endpoint.clone(),
                parts: run.parts.clone(),
                started_at,
                survived_at: now,
                ended_early: false,
            });
        }
    }

    /// Records that the endpoint of a run accepted a connection or began to answer at
    /// `contact_at`: by then it was up, and the router was not cut off.
    pub fn record_contact(&mut self, run: RunNumber, contact_at: Instant) {
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        run.reached_at = run.reached_at.max(Some(contact_at));
        self.unheard_losses
            .retain(|_, lost_at| contact_at <= *lost_at);
        if let Some(watch) = self.endpoints.get_mut(&run.endpoint) {
            watch.lost_at = watch.lost_at.filter(|lost_at| contact_at <= *lost_at);
        }
    }

    /// Records the end of a run; returns what to tell all routers if its endpoint seems to
    /// have crashed. The report may be without parts: it then only tells that complete
    /// answers of that endpoint prove nothing.
    pub fn record_end(&mut self, run: RunNumber, end: RunEnd, now: Instant) -> Option<CrashReport> {
        if end == RunEnd::Complete {
            self.record_event(run, now);
        }
        let run = self.runs.remove(&run)?;
        if let Some(watch) = self.endpoints.get_mut(&run.endpoint) {
            watch.open_runs = watch.open_runs.saturating_sub(1);
        }
        match end {
            RunEnd::Complete => self.finish(run),
            RunEnd::ConnectionLost => return self.lose(run, now),
            RunEnd::Other => {}
        }
        None
    }

    /// Records that an endpoint closed an idle connection, refuses new ones or is gone;
    /// returns what to tell all routers if an answer was complete just before.
    pub fn record_lost_endpoint(
        &mut self,
        endpoint: &EndpointId,
        now: Instant,
    ) -> Option<CrashReport> {
        let parts = self.take_finished(endpoint, now);
        if parts.is_empty() {
            return None;
        }
        self.report(endpoint.clone(), parts.into_iter().collect(), None, now)
    }

    /// Returns the survivals since the last call.
    pub fn take_survivals(&mut self, now: Instant) -> Vec<RunSurvival> {
        let mut survivals = std::mem::take(&mut self.survivals);
        let endpoints = &self.endpoints;
        self.finished.retain_mut(|run| {
            let survived_at = run.started_at + SURVIVAL_TIME;
            let watch = endpoints.get(&run.endpoint);
            let heard_at = watch.and_then(|watch| watch.heard_at);
            let is_proven = heard_at.is_some_and(|heard_at| heard_at >= survived_at);
            if now < survived_at || (!is_proven && run.is_told) {
                return now < run.started_at + PROOF_TIME;
            }
            run.is_told = true;
            survivals.push(RunSurvival {
                endpoint: run.endpoint.clone(),
                parts: run.parts.clone(),
                started_at: run.started_at,
                survived_at,
                ended_early: !is_proven,
            });
            !is_proven
        });
        survivals
    }

    fn finish(&mut self, run: OpenRun) {
        let Some(started_at) = run.started_at else {
            return;
        };
        if !run.has_survived && self.finished.len() < MAX_FINISHED_RUNS {
            self.finished.push(FinishedRun {
                endpoint: run.endpoint,
                parts: run.parts,
                started_at,
                is_told: false,
            });
        }
    }

    fn lose(&mut self, run: OpenRun, now: Instant) -> Option<CrashReport> {
        let finished = self.take_finished(&run.endpoint, now);
        // The parts of the lost run come first, because long reports are cut.
        let mut parts = Vec::new();
        if !run.has_survived {
            parts = run.parts;
        }
        let others = finished.into_iter().filter(|part| !parts.contains(part));
        let others: Vec<PromptPartId> = others.collect();
        parts.extend(others);
        self.report(run.endpoint, parts, run.reached_at, now)
    }

    fn report(
        &mut self,
        endpoint: EndpointId,
        parts: Vec<PromptPartId>,
        reached_at: Option<Instant>,
        now: Instant,
    ) -> Option<CrashReport> {
        if self.unheard_losses.len() <= MAX_UNHEARD_LOSSES {
            self.unheard_losses.insert(endpoint.clone(), now);
        }
        let is_cut_off = self.unheard_losses.len() > MAX_UNHEARD_LOSSES;
        let watch = self.endpoints.get_mut(&endpoint)?;
        let lost_at = *watch.lost_at.get_or_insert(now);
        // An endpoint that was lost before and not heard since had nothing left to crash.
        let was_down = lost_at + CRASH_SPAN <= now;
        if is_cut_off || was_down {
            return None;
        }
        Some(CrashReport {
            endpoint,
            parts,
            reached_at,
        })
    }

    /// Removes the complete runs whose survival a crash of their endpoint refutes.
    fn take_finished(&mut self, endpoint: &EndpointId, now: Instant) -> BTreeSet<PromptPartId> {
        let mut parts = BTreeSet::new();
        self.finished.retain(|run| {
            let is_lost = run.endpoint == *endpoint && now < run.started_at + SURVIVAL_TIME;
            if is_lost {
                // A request whose answer was complete has not ended with its endpoint.
                let shared = run.parts.iter().filter(|part| !is_fingerprint(part));
                parts.extend(shared.cloned());
            }
            !is_lost
        });
        parts
    }

    fn limit_endpoints(&mut self) {
        if self.endpoints.len() >= MAX_ENDPOINTS {
            self.endpoints.retain(|_, watch| watch.open_runs > 0);
        }
    }
}
