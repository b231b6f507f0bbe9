//! Concurrency limits of targets, found from how they answer.

mod outcome_window;
mod pace_step;
mod pace_table;
mod paced_picker;
mod target_answer;
mod target_pace;

pub use outcome_window::OutcomeWindow;
pub use pace_step::PaceCause;
pub use pace_step::PaceStep;
pub use pace_table::PaceTable;
pub use paced_picker::PacedPicker;
pub use target_answer::TargetAnswer;
pub use target_pace::TargetPace;
