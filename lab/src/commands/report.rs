//! `jujube-lab report`: renders a history as one HTML page.

use std::path::Path;

use crate::fleet::FleetError;
use crate::load::CallRecord;
use crate::load::report_page;

/// Reads a history, one JSON object per line, writes the page to `page` and returns the number
/// of calls.
pub fn report(history: &Path, page: &Path) -> Result<usize, FleetError> {
    let text = std::fs::read_to_string(history)
        .map_err(FleetError::io(format!("reading {}", history.display())))?;
    let mut records: Vec<CallRecord> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let record = serde_json::from_str(line).map_err(|error| {
            FleetError::Usage(format!("{}:{}: {error}", history.display(), index + 1))
        })?;
        records.push(record);
    }
    let html = report_page(&records).map_err(|error| FleetError::Usage(error.to_string()))?;
    std::fs::write(page, html).map_err(FleetError::io(format!("writing {}", page.display())))?;
    Ok(records.len())
}
