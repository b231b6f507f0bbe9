//! The records that make up a router's view.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ZoneId;

/// Identifier of a record in the platform's store that routers follow.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ViewKey {
    /// The configuration.
    Config,
    /// The agreed list of routers.
    Routers,
    /// The groups of one availability zone.
    Placement(ZoneId),
}

impl ViewKey {
    /// Returns the store key of the record.
    pub fn store_key(&self) -> String {
        match self {
            Self::Config => "config".to_owned(),
            Self::Routers => "routers".to_owned(),
            Self::Placement(zone) => format!("placement/{zone}"),
        }
    }
}
