//! Small configurations for tests.

use std::collections::BTreeMap;

use jujuberoad::config::FleetConfig;
use smol_str::SmolStr;

/// Returns the configuration files of a fleet with `domains` fabric domains of `vms` VMs in
/// each of three zones, and one model of `groups` groups of `vms_per_group` VMs.
pub fn fleet_files(
    domains: u64,
    vms: u64,
    vms_per_group: u64,
    groups: u64,
) -> BTreeMap<SmolStr, String> {
    let mut text = String::new();
    let mut port = 1_000;
    for zone in ["a", "b", "c"] {
        text += &format!("[zone {zone}]\nregion = r\n");
        for domain in 0..domains {
            text += &format!("[domain {zone}{domain}]\nzone = {zone}\n");
            for vm in 0..vms {
                port += 1;
                text += &format!(
                    "[vm {zone}{domain}-{vm:02}]\ndomain = {zone}{domain}\n\
                     address = 10.0.0.1:{port}\n"
                );
            }
        }
    }
    text += &format!(
        "[model m]\nversion = v1\nvms-per-group = {vms_per_group}\ngroups = {groups}\n\
         slots = 8\ncold-slots = 2\n"
    );
    BTreeMap::from([(SmolStr::from("10-fleet.ini"), text)])
}

/// Returns the parsed configuration of `fleet_files`.
pub fn fleet_config(domains: u64, vms: u64, vms_per_group: u64, groups: u64) -> FleetConfig {
    FleetConfig::parse(&fleet_files(domains, vms, vms_per_group, groups)).expect("valid files")
}
