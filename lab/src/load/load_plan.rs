//! Parameters of a load.

use std::net::SocketAddr;

use jujuberoad::config::FleetConfig;

/// Parameters of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    /// Addresses of the routers; calls go to them in turn.
    pub routers: Vec<SocketAddr>,
    /// Teams; each call picks one at random.
    pub teams: Vec<String>,
    /// Models; each call picks one at random.
    pub models: Vec<String>,
    /// Path prefix of a plain service; empty for none.
    pub service_prefix: String,
    /// Calls per second.
    pub rate: u64,
    /// Duration of the run, in milliseconds.
    pub duration_ms: u64,
    /// Number of tokens in each answer.
    pub tokens: u64,
    /// Percentage of calls that are streams.
    pub stream_percent: u64,
    /// Percentage of calls that are entries in a plain service.
    pub entry_percent: u64,
    /// Number of distinct prompts.
    pub prompt_count: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl LoadPlan {
    /// Returns a load that mixes all call kinds over the teams, models and first plain
    /// service of `config`.
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
