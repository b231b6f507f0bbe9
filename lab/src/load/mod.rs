//! The load tool: sends a mixed load and records the result of every call.

mod call_kind;
mod call_record;
mod load_call;
mod load_plan;
mod load_report;
mod load_runner;
mod report_page;

pub use call_kind::CallKind;
pub use call_record::CallRecord;
pub use load_call::LoadCall;
pub use load_plan::LoadPlan;
pub use load_report::LoadReport;
pub use load_runner::LoadRunner;
pub use report_page::PlotError;
pub use report_page::report_page;
