//! Why a round of placement ended early.

use jujuberoad::ids::ZoneId;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::StoreError;

/// A step of placement that failed; the next round tries again.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum ZoneError {
    /// The platform's store did not do what was asked.
    #[error("zone {zone}: {step}: {source}")]
    Store {
        /// The availability zone.
        zone: ZoneId,
        /// What was being done.
        step: &'static str,
        /// What went wrong.
        source: StoreError,
    },
    /// The platform's list of VMs could not be read.
    #[error("zone {zone}: list of VMs: {source}")]
    Directory {
        /// The availability zone.
        zone: ZoneId,
        /// What went wrong.
        source: CallError,
    },
    /// A record in the store is not what its key promises.
    #[error("zone {zone}: record {key:?}: {message}")]
    Record {
        /// The availability zone.
        zone: ZoneId,
        /// Key of the record.
        key: String,
        /// What is wrong with it.
        message: String,
    },
    /// Another placer has written the record in between.
    #[error("zone {zone}: fence {fence} is in force, another placer is active")]
    Fenced {
        /// The availability zone.
        zone: ZoneId,
        /// Fence found in the record.
        fence: u64,
    },
}
