//! Measures how much of its groups' slots each model uses, and decides which model is short.
//!
//! The router that plans groups sees the load of all routers, so it can measure the use of
//! each model's slots. [`DemandMonitor`] holds these measurements and decides when the use of
//! two models has differed for long enough that one of them should give up a group.

mod conversion_note;
mod demand_monitor;
mod model_shortage;
mod pool_demand;
mod pool_sample;
mod service_demand;

pub use conversion_note::ConversionNote;
pub use conversion_note::ConversionStep;
pub use demand_monitor::DemandMonitor;
pub use model_shortage::ModelShortage;
pub use pool_demand::PoolDemand;
pub use pool_sample::PoolSample;
