//! Faults that the stand-ins can be told to show.

use serde::Deserialize;
use serde::Serialize;
use strum::{Display, EnumString};

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A VM goes away; connections are refused.
    Kill,
    /// A VM starts again, under a new incarnation.
    Revive,
    /// A VM stops to move; its connections stay open.
    Freeze,
    /// A frozen VM moves again.
    Thaw,
    /// A warm VM turns cold.
    Cold,
    /// The platform's list calls a VM leaving.
    Leave,
    /// The key-value service refuses all calls for `amount` milliseconds.
    StoreOut,
    /// Each answer of the key-value service takes `amount` milliseconds longer.
    StoreSlow,
    /// The next `amount` writes take effect without an answer.
    StoreLoses,
    /// The next `amount` runs of plain services end without an answer.
    ServiceLoses,
    /// Each run of a plain service takes `amount` milliseconds.
    ServiceSlow,
}

/// A fault and whom it strikes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultRequest {
    /// What happens.
    pub kind: FaultKind,
    /// VM to which it happens, for faults of VMs.
    #[serde(default)]
    pub vm: String,
    /// How much of it, as the kind says.
    #[serde(default)]
    pub amount: u64,
}
