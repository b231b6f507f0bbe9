//! Admission control: request queues, rejection of requests, memory of callers, retry
//! limits and circuit breaking.

mod body_budget;
mod circuit_breaker;
mod connection_table;
mod drain_rate;
mod fair_queue;
mod fifo_queue;
mod first_event_latency;
pub mod overload;
mod queue_error;
mod queue_ticket;
mod request_class;
mod retry_budget;
mod retry_detector;
mod wait_queue;

pub use body_budget::BodyBudget;
pub use body_budget::BodyVerdict;
pub use body_budget::SMALL_BODY_BYTES;
pub use circuit_breaker::CircuitBreaker;
pub use connection_table::ConnectionPhase;
pub use connection_table::ConnectionTable;
pub use connection_table::ConnectionVerdict;
pub use drain_rate::DrainRate;
pub use fair_queue::FairQueue;
pub use fifo_queue::FifoQueue;
pub use first_event_latency::FirstEventLatency;
pub use queue_error::QueueError;
pub use queue_ticket::QueueTicket;
pub use request_class::RequestClass;
pub use retry_budget::RetryBudget;
pub use retry_detector::RetryDetector;
pub use wait_queue::WaitQueue;
