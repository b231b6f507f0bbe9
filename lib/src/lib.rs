//! Decision logic and shared types of the jujuberoad serving system.
//!
//! Every item is a plain data type or a state machine that takes events and the
//! current time and returns actions. The crate opens no sockets, reads no clock
//! and uses no unseeded random numbers, so that every decision behaves the same
//! in production and under virtual time.

pub mod admission;
pub mod claims;
pub mod config;
pub mod era;
pub mod fleet;
pub mod health;
pub mod ids;
pub mod membership;
pub mod outcome;
pub mod pace;
pub mod peer;
pub mod placement;
pub mod poison;
pub mod routing;
pub mod serving;
pub mod slots;
