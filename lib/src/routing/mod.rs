//! Request routing: the table of targets and the choice among them.

mod attempt_history;
mod choice_hint;
mod closed_reason;
mod event_limit;
mod event_splitter;
mod least_loaded_chooser;
mod model_name;
mod prefix_chooser;
mod retry_step;
mod round_robin_chooser;
mod route_table;
mod route_target;
mod sequence_checker;
mod target_chooser;
mod target_kind;
mod target_load;

pub use attempt_history::AttemptHistory;
pub use choice_hint::ChoiceHint;
pub use closed_reason::ClosedReason;
pub use event_limit::EventLimit;
pub use event_splitter::EventSplitter;
pub use event_splitter::WholeEvent;
pub use least_loaded_chooser::LeastLoadedChooser;
pub use model_name::ModelName;
pub use prefix_chooser::PrefixChooser;
pub use retry_step::AttemptFailure;
pub use retry_step::RetryStep;
pub use round_robin_chooser::RoundRobinChooser;
pub use route_table::RouteTable;
pub use route_target::RouteTarget;
pub use sequence_checker::SequenceChecker;
pub use sequence_checker::StreamStep;
pub use target_chooser::TargetChooser;
pub use target_kind::TargetKind;
pub use target_load::TargetLoad;
