//! What travels with a request that one router relays to another.

use std::fmt;
use std::str::FromStr;

use crate::ids::Revision;
use crate::ids::RouterId;

/// State of a relayed request at the router that admitted it.
///
/// It gives no rights: the key and the route are checked by the receiver as for any request. A
/// forged head can only forgo attempts and a further hop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayHead {
    /// Router that relays the request.
    pub sender: RouterId,
    /// Version of the configuration under which it was admitted. A receiver with an older one
    /// refuses it.
    pub config_version: Revision,
    /// Attempts in which the request may have been executed. If there are any, the sender has
    /// taken a retry from its share of the budget for the next one.
    pub runs: u32,
    /// Whether the sender has counted the request for the retry budget.
    pub is_counted: bool,
}

/// A head that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("relay head is malformed")]
pub struct RelayHeadError;

impl fmt::Display for RelayHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (config, runs, is_counted) = (self.config_version, self.runs, self.is_counted);
        write!(
            f,
            "{config},{runs},{},{}",
            u8::from(is_counted),
            self.sender
        )
    }
}

impl FromStr for RelayHead {
    type Err = RelayHeadError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.splitn(4, ',');
        let mut next = || fields.next().ok_or(RelayHeadError);
        let config_version = next()?.parse().map_err(|_| RelayHeadError)?;
        let runs = next()?.parse().map_err(|_| RelayHeadError)?;
        let is_counted = flag(next()?)?;
        let sender = RouterId::from(next()?);
        if sender.is_empty() {
            return Err(RelayHeadError);
        }
        Ok(Self {
            sender,
            config_version,
            runs,
            is_counted,
        })
    }
}

fn flag(text: &str) -> Result<bool, RelayHeadError> {
    match text {
        "0" => Ok(false),
        "1" => Ok(true),
        _ => Err(RelayHeadError),
    }
}
