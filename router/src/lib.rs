//! The entry daemon of jujuberoad.
//!
//! Admits callers' requests, chooses a whole and healthy target for each,
//! streams the answers back and decides about retries. Beside that, each
//! router is home to some targets and claim shards.

mod acquire_error;
mod acquire_request;
mod body_reader;
mod caller_api;
mod caller_request;
mod claim_desk;
mod desk_state;
mod held_slot;
mod home_desk;
mod home_poller;
mod lease_keeper;
mod model_call;
mod outage_watch;
mod peer_desk;
mod problem_reply;
mod router_core;
mod router_daemon;
mod router_view;
mod service_call;
mod slot_choice;
mod slot_demand;
mod slot_desk;
mod slot_requester;
mod status_page;
mod target_attempt;
mod target_finder;
mod token_event;
mod token_stream;
mod view_board;
mod view_keeper;

pub use router_daemon::RouterDaemon;
