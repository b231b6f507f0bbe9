//! How urgently a caller waits.

use strum::{Display, EnumIter, EnumString};

/// Class of a request; an earlier one is always served first.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestClass {
    /// Somebody stands at the counter or on the patio and waits.
    #[default]
    Counter,
    /// A long text, such as a receipt, that may take its time.
    Receipt,
}
