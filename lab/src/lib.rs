//! Stand-ins for everything outside the system, a load tool and a demo.
//!
//! For tests and trials only. This is the one program that starts processes.

pub mod commands;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod standins;
