//! Requests load reports from the engines of an availability zone.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::config::VmSpec;
use jujuberoad::health::MemberReport;
use jujuberoad_node::backends::EngineControl;
use jujuberoad_node::runtime;
use smol::channel;

/// Time within which an engine must answer with its report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Requests the reports of all engines on `vms` concurrently.
///
/// Engines that fail or do not answer in time are missing from the result.
pub(crate) async fn poll_reports(
    control: &Arc<dyn EngineControl>,
    vms: Vec<&VmSpec>,
) -> Vec<MemberReport> {
    let (sender, receiver) = channel::unbounded();
    let deadline = Instant::now() + REPORT_TIMEOUT;
    for vm in vms {
        let control = Arc::clone(control);
        let sender = sender.clone();
        let address = vm.address;
        runtime::spawn(async move {
            if let Ok(report) = control.report(address, deadline).await {
                let _ = sender.send(report).await;
            }
        });
    }
    drop(sender);
    let mut reports = Vec::new();
    while let Ok(report) = receiver.recv().await {
        reports.push(report);
    }
    reports
}
