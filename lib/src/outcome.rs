//! The possible outcomes of a request.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// The outcome of a request as reported to its caller.
///
/// The name of each variant is the value of the `jujube-outcome` header.
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
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint responded and the response was forwarded.
    Answered,
    /// No endpoint has run the request, and none will.
    NotRun,
    /// An endpoint may have run the request; it will not be retried.
    Unknown,
}
