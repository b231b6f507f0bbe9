//! Requests and parts of prompts that crash every endpoint that runs them.
//!
//! A [`RunTracker`] watches the runs of one router and turns lost connections into
//! [`CrashReport`]s and long-lived runs into [`RunSurvival`]s. A [`PoisonDetector`] combines
//! the evidence of all routers; each router decides for itself which requests it rejects.
//!
//! A request is charged as well, under its fingerprint, which counts as a part that only equal
//! requests share.
//!
//! Guarantees, given the stated evidence:
//!
//! - A request that is running at three endpoints when they crash, and has not survived within
//!   half a minute, is quarantined [`OBJECTION_TIME`] after the third crash, or after the fourth
//!   if others have crashed without it.
//! - A part that is in all crashes and never survives is quarantined [`OBJECTION_TIME`]
//!   after the third moment at which engines crashed; each crash without it makes that one
//!   moment later, up to two.
//! - A part is charged only with crashes since its last survival at any router. One that
//!   has survived within half a minute needs six moments.
//! - The parts with most crashes explain theirs; others are charged only with the rest.
//! - Parts that were in the same crashes are quarantined together: only requests that hold
//!   all of them are rejected, so that a request with one of them tells which it is.
//! - An answer that is complete before its run counts as survived clears a charged part
//!   only together with a second one, since its engine may have crashed unseen.
//! - A short answer clears a part that is charged with crashes only if its endpoint was heard
//!   afterwards.
//! - A router that hears no endpoint and opens no connection to any reports losses at
//!   [`MAX_UNHEARD_LOSSES`] endpoints at most, so that it charges no part often enough for a
//!   quarantine.
//! - A survival or a better explanation lifts a quarantine again.
//! - All state is bounded in number and pruned by time.

mod crash_event;
mod crash_evidence;
mod crash_explainer;
mod crash_report;
mod fingerprint;
mod part_quarantine;
mod poison_action;
mod poison_detector;
mod quarantine_notice;
mod run_end;
mod run_survival;
mod run_tracker;
mod survival_log;
mod survival_report;

pub use crash_evidence::CrashEvidence;
pub use crash_report::CrashReport;
pub use fingerprint::fingerprint;
pub use part_quarantine::PartQuarantine;
pub use poison_action::PoisonAction;
pub use poison_detector::OBJECTION_TIME;
pub use poison_detector::PoisonDetector;
pub use poison_detector::QUARANTINE_TIME;
pub use quarantine_notice::QuarantineNotice;
pub use run_end::RunEnd;
pub use run_survival::RunSurvival;
pub use run_tracker::MAX_UNHEARD_LOSSES;
pub use run_tracker::RunTracker;
pub use run_tracker::SURVIVAL_TIME;
pub use survival_report::SurvivalReport;
