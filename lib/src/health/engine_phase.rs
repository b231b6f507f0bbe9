//! How far an engine is from bearing full load.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The phase that an engine reports.
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
    /// Nothing is loaded.
    Idle,
    /// Weights are on their way from the weight store.
    Loading,
    /// Ready, but bears only the cold limit.
    Cold,
    /// Bears full load.
    Warm,
}
