//! Serves routes before endpoints that register themselves in the platform's
//! store, and forms the groups of those that hold models.
//!
//! One process on each entry VM does both. Everything outside is met through the
//! traits of [`jujuberoad_node::backends`]; decisions are made in [`jujuberoad`].

mod belief_board;
mod boot_clock;
mod call_deadline;
mod caller_api;
mod caller_request;
mod endpoint_call;
mod event_source;
mod gateway_core;
mod gateway_daemon;
mod gateway_error;
mod gateway_parts;
mod gateway_settings;
mod lock_sink;
mod metric_page;
mod operator_sink;
mod own_answer;
mod peer_exchange;
mod placer_loop;
mod plain_call;
mod readiness_api;
mod registry_sink;
mod report_poll;
mod router_sink;
mod session_keeper;
mod silence_loop;
mod slot_queue;
mod stall_board;
mod state_log;
mod store_watch;
mod stream_call;
mod stream_relay;
mod taken_target;

pub use gateway_daemon::run_gateway;
pub use gateway_error::GatewayError;
pub use gateway_parts::GatewayParts;
pub use gateway_settings::GatewaySettings;
