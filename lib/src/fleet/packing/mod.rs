//! Packs groups of several models into fabric domains.
//!
//! A group lies inside one domain, so the sizes of domains and groups decide how many
//! groups of each model fit. [`GroupPacking`] chooses a mix for each domain such that the
//! model with the least capacity relative to its share has as much as possible. It is a
//! pure function of its input.

mod domain_room;
mod group_packing;
mod mix_change;
mod mix_search;
mod model_demand;

pub use domain_room::DomainRoom;
pub use group_packing::GroupPacking;
pub use model_demand::ModelDemand;
