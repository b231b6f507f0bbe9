//! Borders to everything outside the system, and their HTTP bindings.

mod backend_clock;
mod call_error;
mod data_path;
mod engine_control;
mod http_data_path;
mod http_engine_control;
mod http_platform_store;
mod http_vm_directory;
mod platform_store;
mod store_error;
mod stored_value;
mod system_clock;
mod vm_directory;
mod vm_listing;

pub use backend_clock::BackendClock;
pub use call_error::CallError;
pub use call_error::CallStep;
pub use data_path::DataPath;
pub use engine_control::EngineControl;
pub use http_data_path::HttpDataPath;
pub use http_engine_control::HttpEngineControl;
pub use http_platform_store::HttpPlatformStore;
pub use http_vm_directory::HttpVmDirectory;
pub use platform_store::PlatformStore;
pub use store_error::StoreError;
pub use stored_value::StoredValue;
pub use system_clock::SystemClock;
pub use vm_directory::VmDirectory;
pub use vm_listing::VmListing;
