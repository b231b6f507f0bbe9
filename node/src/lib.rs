//! I/O shell shared by the jujuberoad daemons.
//!
//! Turns sockets, clocks and outside services into calls of the decisions in
//! the `jujuberoad` crate. Each outside service stands behind a trait in
//! [`backends`], with one binding over HTTP.

pub mod backends;
pub mod http;
pub mod peer;
pub mod runtime;
pub mod settings;
