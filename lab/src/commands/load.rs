//! `jujube-lab load`: sends a mixed load to a running fleet.

use std::io::Write;
use std::path::Path;

use crate::fleet::FleetError;
use crate::load::LoadPlan;
use crate::load::LoadReport;
use crate::load::LoadRunner;

/// Sends the load of `plan` and returns its report; writes the records to `history`, if given,
/// as one JSON object per line.
pub async fn load(plan: LoadPlan, history: Option<&Path>) -> Result<LoadReport, FleetError> {
    let records = LoadRunner::new(plan).run().await;
    if let Some(path) = history {
        let file =
            std::fs::File::create(path).map_err(FleetError::io("creating the history file"))?;
        let mut writer = std::io::BufWriter::new(file);
        for record in &records {
            let line = serde_json::to_string(record).unwrap_or_default();
            writeln!(writer, "{line}").map_err(FleetError::io("writing the history file"))?;
        }
    }
    Ok(LoadReport::of(&records))
}
