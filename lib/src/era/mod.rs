//! Eras of the platform's store.
//!
//! The store may be restored from a copy that is some seconds old. It then loses writes that
//! it has acknowledged, and its revisions go back and are given out again. Each restore
//! begins a new era. An [`EraTracker`] tells answers of the newest era from late answers of
//! older ones, and [`era_version`] orders revisions over all eras.

mod era_tracker;
mod era_verdict;
mod store_era;

pub use era_tracker::EraTracker;
pub use era_verdict::EraVerdict;
pub use store_era::REVISIONS_PER_ERA;
pub use store_era::StoreEra;
pub use store_era::era_version;
