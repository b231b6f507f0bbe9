//! Stand-ins for the platform, engines and services, a load generator and a demo.
//!
//! For tests and experiments only. This is the only crate that starts processes.

pub mod commands;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod standins;
