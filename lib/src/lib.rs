//! Decisions and shared types of the jujuberoad serving system.
//!
//! Everything here is a plain data type or a state machine that takes events
//! and the current time and returns actions. The crate opens no socket, reads
//! no clock and draws no unseeded random number, so that each decision runs
//! the same way in production and under virtual time.

pub mod admission;
pub mod claims;
pub mod config;
pub mod fleet;
pub mod health;
pub mod ids;
pub mod membership;
pub mod outcome;
pub mod peer;
pub mod placement;
pub mod routing;
pub mod serving;
pub mod slots;
