//! The commands of the lab, one a file.

mod demo;
mod lab_options;
mod load;
mod up;

pub use demo::demo;
pub use lab_options::LabOptions;
pub use load::load;
pub use up::up;
