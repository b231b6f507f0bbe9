//! Priority classes of requests.

use strum::{Display, EnumIter, EnumString};

/// Priority class of a request, the most urgent first.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestClass {
    /// Interactive request: a person is waiting for the response.
    #[default]
    Counter,
    /// Long-running request that is not urgent, such as writing the text of a receipt.
    Receipt,
}
