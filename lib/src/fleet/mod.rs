//! Dynamically registered endpoints and the groups that they form.
//!
//! An [`EndpointTable`] holds the known registry entries. A [`GroupIndex`] derives the
//! groups from them, and a [`ReplicaPlanner`] issues the orders that form and repair
//! groups. A [`StallDetector`] detects a group that has stopped sending events.

mod avoid_list;
mod delta_step;
mod endpoint_record;
mod endpoint_state;
mod endpoint_table;
mod engine_report;
mod group_index;
mod group_key;
mod group_membership;
mod group_summary;
mod limit_statement;
mod limit_table;
mod load_table;
mod member_fault;
mod member_state;
mod order_answer;
mod order_authority;
mod packing;
mod planned_order;
mod planner_input;
mod probe_backoff;
mod quota_divider;
mod registry_change;
mod registry_delta;
mod replica_order;
mod replica_planner;
mod retry_allowance;
mod send_log;
mod send_pacer;
mod serving_target;
mod stall_detector;
mod target_picker;
mod target_table;

pub use avoid_list::AvoidList;
pub use delta_step::DeltaStep;
pub use endpoint_record::EndpointRecord;
pub use endpoint_state::EndpointState;
pub use endpoint_table::EndpointTable;
pub use engine_report::EngineReport;
pub use group_index::GroupIndex;
pub use group_key::GroupKey;
pub use group_membership::GroupMembership;
pub use group_summary::GroupSummary;
pub use limit_statement::LimitStatement;
pub use limit_table::LimitTable;
pub use load_table::EndpointLoad;
pub use load_table::LoadTable;
pub use member_fault::MemberFault;
pub use member_state::MemberState;
pub use order_answer::OrderAnswer;
pub use order_authority::BootTime;
pub use order_authority::OrderAuthority;
pub use packing::DomainRoom;
pub use packing::GroupPacking;
pub use packing::ModelDemand;
pub use planned_order::PlannedOrder;
pub use planner_input::PlannerInput;
pub use probe_backoff::ProbeBackoff;
pub use quota_divider::QuotaDivider;
pub use registry_change::RegistryChange;
pub use registry_delta::RegistryDelta;
pub use replica_order::ReplicaOrder;
pub use replica_planner::ReplicaPlanner;
pub use retry_allowance::RetryAllowance;
pub use send_log::SendLog;
pub use send_pacer::RateLimits;
pub use send_pacer::SendPacer;
pub use serving_target::ServingTarget;
pub use stall_detector::StallDetector;
pub use target_picker::TargetPicker;
pub use target_table::PoolKey;
pub use target_table::TargetTable;
