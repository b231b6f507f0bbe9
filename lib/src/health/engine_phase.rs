//! Start-up phases of an engine.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Phase that an engine reports, from idle to full load.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum EnginePhase {
    /// No model is loaded.
    Idle,
    /// Model weights are being loaded from the weight store.
    Loading,
    /// Ready, but limited to the concurrency of a cold start.
    Cold,
    /// Ready for full load.
    Warm,
}
