//! Who is served, who waits and who is refused while a pool has not enough room.

mod overload_policy;
mod pool_activity;
mod pool_pressure;
mod wait_estimate;
mod waiting_request;

pub use overload_policy::AdmissionChoice;
pub use overload_policy::OverloadPolicy;
pub use overload_policy::retry_at;
pub use pool_activity::PoolActivity;
pub use pool_activity::PoolClass;
pub use pool_pressure::PoolPressure;
pub use wait_estimate::WaitEstimate;
pub use waiting_request::RequestRank;
pub use waiting_request::WaitingRequest;
