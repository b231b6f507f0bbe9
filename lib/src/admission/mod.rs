//! Which waiting request is served next, and who is turned away.

mod call_gate;
mod drain_rate;
mod fair_queue;
mod first_come_queue;
mod first_event_clock;
mod queue_error;
mod queue_ticket;
mod request_class;
mod retry_budget;
mod return_watch;
mod wait_queue;

pub use call_gate::CallGate;
pub use drain_rate::DrainRate;
pub use fair_queue::FairQueue;
pub use first_come_queue::FirstComeQueue;
pub use first_event_clock::FirstEventClock;
pub use queue_error::QueueError;
pub use queue_ticket::QueueTicket;
pub use request_class::RequestClass;
pub use retry_budget::RetryBudget;
pub use return_watch::ReturnWatch;
pub use wait_queue::WaitQueue;
