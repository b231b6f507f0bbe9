//! When the decisions for overloaded fleets are in force.

use strum::Display;
use strum::EnumString;

/// Setting `[overload] mode`.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "snake_case")]
pub enum OverloadMode {
    /// Never.
    #[default]
    No,
    /// Always.
    Yes,
    /// Once the routers of the fleet are known to differ in their processor shares.
    Uneven,
}
