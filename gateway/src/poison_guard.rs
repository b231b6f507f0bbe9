//! Keeps requests away from engines that crash on a part of their prompts.
//!
//! Every router tells its peers of crashes and survivals, and decides by itself
//! which requests it rejects. What was decided is repeated, so that routers which start later
//! or miss a message follow.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::ids::EndpointId;
use jujuberoad::ids::PromptPartId;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::RunNumber;
use jujuberoad::peer::PeerMessage;
use jujuberoad::poison::CrashEvidence;
use jujuberoad::poison::CrashReport;
use jujuberoad::poison::PartQuarantine;
use jujuberoad::poison::PoisonAction;
use jujuberoad::poison::PoisonDetector;
use jujuberoad::poison::QuarantineNotice;
use jujuberoad::poison::RunEnd;
use jujuberoad::poison::RunTracker;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::peer_exchange;

/// Interval at which evidence is sent to peers and decisions are made.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which quarantines in force are announced.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum quarantines per message, so that it fits in a datagram.
const NOTICES_PER_MESSAGE: usize = 20;

/// What this router knows of prompts that crash engines.
#[derive(Default)]
pub(crate) struct PoisonGuard {
    tracker: Mutex<RunTracker>,
    detector: Mutex<PoisonDetector>,
    /// Evidence that peers have not been told yet.
    outbox: Mutex<CrashEvidence>,
}

impl PoisonGuard {
    /// Records that a request with `parts` is being sent.
    pub(crate) fn begin_run(&self, endpoint: &EndpointId, parts: &[PromptPartId]) -> RunNumber {
        let mut tracker = self.tracker.lock().expect("tracker lock");
        tracker.begin(endpoint, parts)
    }

    /// Records an event of a run.
    pub(crate) fn record_event(&self, run: RunNumber, now: Instant) {
        let mut tracker = self.tracker.lock().expect("tracker lock");
        tracker.record_event(run, now);
    }

    /// Records that the endpoint of a run was in contact.
    pub(crate) fn record_contact(&self, run: RunNumber, contact_at: Instant) {
        let mut tracker = self.tracker.lock().expect("tracker lock");
        tracker.record_contact(run, contact_at);
    }

    /// Records the end of a run; returns whether its endpoint seems to have crashed.
    pub(crate) fn end_run(&self, run: RunNumber, end: RunEnd, now: Instant) -> bool {
        let report = {
            let mut tracker = self.tracker.lock().expect("tracker lock");
            tracker.record_end(run, end, now)
        };
        self.report_crash(report, now)
    }

    /// Records that no connection to an endpoint can be opened.
    pub(crate) fn record_lost_endpoint(&self, endpoint: &EndpointId) {
        let now = Instant::now();
        let report = {
            let mut tracker = self.tracker.lock().expect("tracker lock");
            tracker.record_lost_endpoint(endpoint, now)
        };
        self.report_crash(report, now);
    }

    /// Takes a report of this router into account and keeps it for the peers; returns whether
    /// there is one.
    fn report_crash(&self, report: Option<CrashReport>, now: Instant) -> bool {
        let Some(report) = report else {
            return false;
        };
        {
            let mut detector = self.detector.lock().expect("detector lock");
            detector.observe_crash(&report, now);
        }
        let mut outbox = self.outbox.lock().expect("outbox lock");
        outbox.crashes.push(report);
        true
    }

    /// Returns the quarantine that rejects a request with `parts`, if any.
    pub(crate) fn find_quarantine(&self, parts: &[PromptPartId]) -> Option<PartQuarantine> {
        if parts.is_empty() {
            return None;
        }
        let detector = self.detector.lock().expect("detector lock");
        detector.find_quarantine(parts, Instant::now()).cloned()
    }

    /// Records what a peer has seen.
    pub(crate) fn observe_evidence(&self, evidence: &CrashEvidence) {
        let now = Instant::now();
        let mut detector = self.detector.lock().expect("detector lock");
        for report in &evidence.crashes {
            detector.observe_crash(report, now);
        }
        for survival in &evidence.survivals {
            detector.observe_survival(survival, now);
        }
    }

    /// Answers a peer that is about to reject requests with `parts`.
    pub(crate) fn object(&self, parts: &BTreeSet<PromptPartId>) {
        let objections = {
            let detector = self.detector.lock().expect("detector lock");
            detector.objections(parts, Instant::now())
        };
        let mut outbox = self.outbox.lock().expect("outbox lock");
        outbox.survivals.extend(objections);
    }

    /// Collects what runs have shown since the last call; returns what to tell the peers.
    fn collect_evidence(&self, now: Instant) -> CrashEvidence {
        let survivals = {
            let mut tracker = self.tracker.lock().expect("tracker lock");
            tracker.take_survivals(now)
        };
        let mut detector = self.detector.lock().expect("detector lock");
        let mut evidence = std::mem::take(&mut *self.outbox.lock().expect("outbox lock"));
        for survival in &survivals {
            let reports = detector.observe_own_survival(survival, now);
            evidence.survivals.extend(reports);
        }
        evidence
    }
}

/// Starts the loop that decides and tells peers.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        let mut next_announcement = Instant::now();
        loop {
            Timer::after(POLL_INTERVAL).await;
            let now = Instant::now();
            for evidence in core.poison.collect_evidence(now).into_messages() {
                peer_exchange::broadcast(&core, PeerMessage::CrashEvidence(evidence)).await;
            }
            let actions = {
                let mut detector = core.poison.detector.lock().expect("detector lock");
                detector.poll(now)
            };
            for action in actions {
                apply_action(&core, action).await;
            }
            if now >= next_announcement {
                next_announcement = now + ANNOUNCEMENT_INTERVAL;
                announce(&core, now).await;
            }
        }
    });
}

/// Tells the peers of a decision, and logs it.
async fn apply_action(core: &GatewayCore, action: PoisonAction) {
    let message = match action {
        PoisonAction::Suspect(parts) => PeerMessage::SuspectParts(parts),
        PoisonAction::Quarantine(notice) => {
            log_quarantine(core, &notice, "imposed", None);
            PeerMessage::Quarantines(vec![notice])
        }
        PoisonAction::Lift(notice) => {
            log_quarantine(core, &notice, "lifted", None);
            PeerMessage::Quarantines(vec![notice])
        }
    };
    peer_exchange::broadcast(core, message).await;
}

async fn announce(core: &GatewayCore, now: Instant) {
    let notices = {
        let detector = core.poison.detector.lock().expect("detector lock");
        detector.announcements(now)
    };
    let in_force = notices.iter().filter(|notice| notice.valid_ms > 0).count();
    core.metrics.quarantines.set(in_force as i64);
    for notices in notices.chunks(NOTICES_PER_MESSAGE) {
        let message = PeerMessage::Quarantines(notices.to_vec());
        peer_exchange::broadcast(core, message).await;
    }
}

/// Applies the quarantines that a peer has announced.
pub(crate) fn adopt(core: &GatewayCore, notices: &[QuarantineNotice], from: &RouterId) {
    let now = Instant::now();
    for notice in notices {
        let mut detector = core.poison.detector.lock().expect("detector lock");
        let parts: Vec<PromptPartId> = notice.parts.iter().cloned().collect();
        let was_in_force = detector.find_quarantine(&parts, now).is_some();
        detector.adopt(notice, now);
        let is_in_force = detector.find_quarantine(&parts, now).is_some();
        drop(detector);
        match (was_in_force, is_in_force) {
            (false, true) => log_quarantine(core, notice, "adopted", Some(from)),
            (true, false) => log_quarantine(core, notice, "lifted", Some(from)),
            _ => {}
        }
    }
}

fn log_quarantine(
    core: &GatewayCore,
    notice: &QuarantineNotice,
    state: &str,
    from: Option<&RouterId>,
) {
    core.log.write(
        LogKind::Quarantine,
        json!({
            "parts": notice.parts,
            "crashes": notice.crashes,
            "state": state,
            "from": from,
            "remaining_ms": notice.valid_ms,
        }),
    );
}
