//! What a load consists of.

use std::net::SocketAddr;

use jujuberoad::config::FleetConfig;

/// Parameters of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    /// Routers, used in turn.
    pub routers: Vec<SocketAddr>,
    /// Teams, used in turn.
    pub teams: Vec<String>,
    /// Models, used in turn.
    pub models: Vec<String>,
    /// Path prefix of a plain service; empty for none.
    pub service_prefix: String,
    /// Calls a second.
    pub rate: u64,
    /// Length of the run, in milliseconds.
    pub duration_ms: u64,
    /// Tokens of each answer.
    pub tokens: u64,
    /// Share of streams, in percent.
    pub stream_percent: u64,
    /// Share of entries in a plain service, in percent.
    pub entry_percent: u64,
    /// Different prompts.
    pub prompt_count: u64,
    /// Seed of all choices.
    pub seed: u64,
}

impl LoadPlan {
    /// Returns a mixed load for everything that `config` declares.
    pub fn mixed(
        config: &FleetConfig,
        routers: Vec<SocketAddr>,
        rate: u64,
        duration_ms: u64,
    ) -> Self {
        let service = config.services.values().next();
        Self {
            routers,
            teams: config.teams.keys().map(ToString::to_string).collect(),
            models: config.models.keys().map(ToString::to_string).collect(),
            service_prefix: service.map_or_else(String::new, |service| service.prefix.to_string()),
            rate,
            duration_ms,
            tokens: 16,
            stream_percent: 60,
            entry_percent: if service.is_some() { 15 } else { 0 },
            prompt_count: 50,
            seed: 1,
        }
    }
}
