//! Serving configuration set by the operator: routes, services, teams and limits.
//!
//! A [`ServingConfig`] is accepted as a whole. Each request uses a single version of it
//! until it ends.

mod engine_profile;
mod model_profile;
mod route_kind;
mod route_spec;
mod service_profile;
mod service_share;
mod serving_config;
mod team_access;
mod traffic_limits;

pub use engine_profile::EngineProfile;
pub use model_profile::ModelProfile;
pub use route_kind::RouteKind;
pub use route_spec::RouteSpec;
pub use service_profile::ServiceProfile;
pub use service_share::ServiceShare;
pub use serving_config::ServingConfig;
pub use team_access::TeamAccess;
pub use traffic_limits::TrafficLimits;
