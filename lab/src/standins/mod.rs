//! In-process stand-ins for the platform, the engines and the plain services.

mod admin_handler;
mod engine_counts;
mod engine_handler;
mod engine_registry;
mod engine_state;
mod engine_timing;
mod fault_request;
mod http_utils;
mod kv_state;
mod lab_server;
mod platform_handler;
mod service_handler;
mod token_text;

pub use admin_handler::AdminHandler;
pub use engine_counts::EngineCounts;
pub use engine_handler::EngineHandler;
pub use engine_registry::EngineRegistry;
pub use engine_state::EngineState;
pub use engine_timing::EngineTiming;
pub use fault_request::FaultKind;
pub use fault_request::FaultRequest;
pub use kv_state::KvState;
pub use lab_server::LabServer;
pub use platform_handler::PlatformHandler;
pub use service_handler::ServiceHandler;
pub use service_handler::ServiceState;
pub use token_text::token_text;
