//! I/O layer shared by the jujuberoad daemons.
//!
//! Connects sockets, clocks and external services to the decision logic of the
//! `jujuberoad` crate, which performs no I/O. Each external service is abstracted by a
//! trait in [`backends`].

pub mod backends;
pub mod http;
pub mod peer;
pub mod runtime;
pub mod settings;
