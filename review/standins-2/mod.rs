//! Stand-ins for the platform's store, workers and clients. They use the standard library only.

#![allow(dead_code)]

pub mod caller;
pub mod http;
pub mod json;
pub mod record;
pub mod router;
pub mod store;
pub mod worker;
