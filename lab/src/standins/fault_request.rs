//! Faults that tests can inject into the stand-ins.

use serde::Deserialize;
use serde::Serialize;
use strum::{Display, EnumString};

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A VM stops; new connections are refused.
    Kill,
    /// A VM starts again, under a new incarnation.
    Revive,
    /// A VM stops making progress; its connections stay open.
    Freeze,
    /// A frozen VM continues.
    Thaw,
    /// A warm engine becomes cold.
    Cold,
    /// The platform lists a VM as leaving.
    Leave,
    /// The responses of a VM to completion requests have no end: they consist of pieces of
    /// `amount` bytes, or are sound again if that is 0.
    Endless,
    /// The key-value service answers 503 to all calls for `amount` milliseconds.
    StoreOut,
    /// The key-value service delays each call by `amount` milliseconds.
    StoreSlow,
    /// The next `amount` PUT requests to the key-value service are processed, but their
    /// responses are never sent.
    StoreLoses,
    /// The next `amount` runs of plain services complete, but their responses are never sent.
    ServiceLoses,
    /// Each run of a plain service takes `amount` milliseconds.
    ServiceSlow,
}

/// A fault and the VM that it affects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultRequest {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Name of the VM; empty for faults of the store and the services.
    #[serde(default)]
    pub vm: String,
    /// Parameter of the fault, as described at its kind.
    #[serde(default)]
    pub amount: u64,
}
