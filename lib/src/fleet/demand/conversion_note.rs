//! Steps of a conversion, for the log.

use strum::Display;

use crate::fleet::GroupKey;
use crate::ids::ModelId;

/// Step of a conversion that follows measured demand.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "snake_case")]
pub enum ConversionStep {
    /// The members of a group begin to load the weights of the short model.
    Started,
    /// The demand has changed before the group was closed, so it stays as it is.
    Cancelled,
    /// The group takes no further requests; its members hold the weights.
    Closed,
    /// Former members form a group of the short model.
    Formed,
    /// The former members could not form a group in time.
    Failed,
}

/// A step of a conversion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConversionNote {
    /// What has happened.
    pub step: ConversionStep,
    /// Group that is converted.
    pub group: GroupKey,
    /// Model that gives up the group.
    pub donor: ModelId,
    /// Model that the members are to serve.
    pub short: ModelId,
}
