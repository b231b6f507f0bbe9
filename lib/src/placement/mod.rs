//! Assignment of VMs to groups.
//!
//! One record holds all groups of an availability zone. A VM belongs to exactly
//! one zone, so a single compare-and-swap decides its group and no two groups can
//! contain it.

mod domain_planner;
mod drain_tracker;
mod engine_order;
mod first_fit_planner;
mod group_record;
mod group_state;
mod member_record;
mod placement_planner;
mod placement_record;
mod placement_write;
mod placer_term;
mod plan_input;
mod replica_share;
mod spare_plan;
mod term_step;
mod vm_status;
mod write_answer;

pub use domain_planner::DomainPlanner;
pub use drain_tracker::DrainTracker;
pub use engine_order::EngineOrder;
pub use first_fit_planner::FirstFitPlanner;
pub use group_record::GroupRecord;
pub use group_state::GroupState;
pub use member_record::MemberRecord;
pub use placement_planner::PlacementPlanner;
pub use placement_record::PlacementRecord;
pub use placement_write::PlacementWrite;
pub use placer_term::ORDER_TIMEOUT_MS;
pub use placer_term::PlacerTerm;
pub use placer_term::VM_MISSING_AFTER_MS;
pub use plan_input::PlanInput;
pub use replica_share::ReplicaShare;
pub use term_step::TermStep;
pub use vm_status::VmStatus;
pub use write_answer::WriteAnswer;
