//! The validated configuration of the whole fleet.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::ConfigProblem;
use super::EndpointSpec;
use super::IniDocument;
use super::LimitSpec;
use super::MAX_STORE_VALUE_BYTES;
use super::ModelSpec;
use super::ServiceSpec;
use super::TeamSpec;
use super::VmSpec;
use super::ZoneSpec;
use super::spec_readers::read_domains;
use super::spec_readers::read_endpoints;
use super::spec_readers::read_limits;
use super::spec_readers::read_models;
use super::spec_readers::read_services;
use super::spec_readers::read_teams;
use super::spec_readers::read_vms;
use super::spec_readers::read_zones;
use crate::ids::DomainId;
use crate::ids::EndpointId;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::ids::ZoneId;

/// Section kinds that a configuration may contain.
const SECTION_KINDS: [&str; 8] = [
    "domain", "endpoint", "limits", "model", "service", "team", "vm", "zone",
];

/// The merged configuration files, validated as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Availability zones by name.
    pub zones: BTreeMap<ZoneId, ZoneSpec>,
    /// Availability zone of each fabric domain.
    pub domains: BTreeMap<DomainId, ZoneId>,
    /// VMs by name.
    pub vms: BTreeMap<VmId, VmSpec>,
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelSpec>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Endpoints of plain services by name.
    pub endpoints: BTreeMap<EndpointId, EndpointSpec>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, TeamSpec>,
    /// Fleet-wide limits.
    pub limits: LimitSpec,
}

impl FleetConfig {
    /// Merges and validates `files`; returns every problem found on failure.
    pub fn parse(files: &BTreeMap<SmolStr, String>) -> Result<Self, Vec<ConfigProblem>> {
        let mut problems = size_problems(files);
        let document = IniDocument::merge(files)?;
        check_section_headers(&document, &mut problems);
        let zones = read_zones(&document, &mut problems);
        let domains = read_domains(&document, &zones, &mut problems);
        let vms = read_vms(&document, &domains, &mut problems);
        let models = read_models(&document, &vms, &mut problems);
        let services = read_services(&document, &mut problems);
        let endpoints = read_endpoints(&document, &zones, &services, &mut problems);
        let teams = read_teams(&document, &mut problems);
        let limits = read_limits(&document, &mut problems);
        if problems.is_empty() {
            return Ok(Self {
                zones,
                domains,
                vms,
                models,
                services,
                endpoints,
                teams,
                limits,
            });
        }
        problems.sort();
        Err(problems)
    }

    /// Returns whether operators have taken `zone` out of service.
    ///
    /// A zone without a section counts as out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zones.get(zone).is_none_or(|spec| spec.out)
    }
}

fn size_problems(files: &BTreeMap<SmolStr, String>) -> Vec<ConfigProblem> {
    let mut problems = Vec::new();
    let mut total = 0;
    for (file, text) in files {
        total += file.len() + text.len();
        if total <= MAX_STORE_VALUE_BYTES {
            continue;
        }
        let message = format!(
            "the files up to this one take {total} bytes; the store's value size is \
             {MAX_STORE_VALUE_BYTES} bytes"
        );
        problems.push(ConfigProblem {
            file: file.clone(),
            line: 0,
            message,
        });
    }
    problems
}

fn check_section_headers(document: &IniDocument, problems: &mut Vec<ConfigProblem>) {
    for section in document.sections.values() {
        if !SECTION_KINDS.contains(&section.kind.as_str()) {
            let expected = SECTION_KINDS.join(", ");
            let header = section.header();
            let message = format!("section {header} is not known; expected one of {expected}");
            let file = section.file.clone();
            problems.push(ConfigProblem {
                file,
                line: section.line,
                message,
            });
            continue;
        }
        let needs_name = section.kind != "limits";
        if needs_name == section.name.is_empty() {
            let expected = if needs_name {
                "a name after the kind"
            } else {
                "no name"
            };
            let message = format!("section {}: expected {expected}", section.header());
            let file = section.file.clone();
            problems.push(ConfigProblem {
                file,
                line: section.line,
                message,
            });
        }
    }
}
