//! Reverse proxy for endpoints that register themselves in the platform's store,
//! and control plane that forms groups of the endpoints that host models.
//!
//! One process on each entry VM does both. External systems are accessed through
//! the traits of [`jujuberoad_node::backends`]; the decision logic is in
//! [`jujuberoad`].

mod body_memory;
mod boot_clock;
mod bounded_body;
mod buffered_call;
mod call_deadline;
mod caller_api;
mod caller_memory;
mod caller_request;
mod cold_watch;
mod demand_sampler;
mod digest_exchange;
mod endpoint_call;
mod endpoint_guard;
mod era_watch;
mod event_source;
mod fleet_cache;
mod gateway_backends;
mod gateway_core;
mod gateway_daemon;
mod gateway_error;
mod gateway_metrics;
mod gateway_settings;
mod limit_watch;
mod local_reply;
mod lock_sink;
mod operator_sink;
mod ordered_reserve;
mod outage_clock;
mod overload_mode;
mod path_watch;
mod peer_exchange;
mod placer_loop;
mod poison_guard;
mod pool_board;
mod readiness_api;
mod registry_sink;
mod relay_api;
mod relay_call;
mod relay_guard;
mod relay_stream;
mod report_poll;
mod request_body;
mod reserved_target;
mod rest_watch;
mod router_sink;
mod run_count;
mod run_watch;
mod segmented_buffer;
mod silence_probe;
mod silence_watch;
mod slot_queue;
mod stall_monitor;
mod stall_probe;
mod state_log;
mod stop_plan;
mod store_hearsay;
mod store_session;
mod store_watch;
mod stream_attempt;
mod stream_call;
mod stream_end;
mod stream_guard;
mod stream_relay;
mod target_paces;
mod version_notes;

pub use gateway_backends::GatewayBackends;
pub use gateway_daemon::run_gateway;
pub use gateway_error::GatewayError;
pub use gateway_settings::GatewaySettings;
pub use overload_mode::OverloadMode;
