//! The router daemon of jujuberoad.
//!
//! Admits requests, chooses a complete and healthy target for each, streams
//! the responses back and retries failed attempts. Each router is also the home
//! of some targets and claim shards.

mod acquire_error;
mod acquire_request;
mod body_reader;
mod caller_api;
mod caller_request;
mod claim_coordinator;
mod held_slot;
mod home_registry;
mod lease_keeper;
mod model_call;
mod outage_detector;
mod peer_responder;
mod problem_reply;
mod report_poller;
mod router_core;
mod router_daemon;
mod router_view;
mod scheduler_state;
mod service_call;
mod slot_choice;
mod slot_demand;
mod slot_requester;
mod slot_scheduler;
mod status_page;
mod target_attempt;
mod target_finder;
mod token_event;
mod token_stream;
mod view_cache;
mod view_updater;

pub use router_daemon::RouterDaemon;
