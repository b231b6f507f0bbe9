//! The checked configuration of the whole fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smol_str::SmolStr;

use super::ConfigProblem;
use super::EndpointSpec;
use super::IniDocument;
use super::IniSection;
use super::LimitSpec;
use super::MAX_STORE_VALUE_BYTES;
use super::ModelSpec;
use super::SectionReader;
use super::ServiceSpec;
use super::TeamSpec;
use super::VmSpec;
use super::ZoneSpec;
use crate::ids::DomainId;
use crate::ids::EndpointId;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::ids::ZoneId;

/// Kinds of section that a configuration may hold.
const SECTION_KINDS: [&str; 8] = [
    "domain", "endpoint", "limits", "model", "service", "team", "vm", "zone",
];

/// Everything that operators have declared, checked as a whole.
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
    /// Limits of the fleet.
    pub limits: LimitSpec,
}

impl FleetConfig {
    /// Merges and checks `files`; on failure returns every problem found.
    pub fn parse(files: &BTreeMap<SmolStr, String>) -> Result<Self, Vec<ConfigProblem>> {
        let mut problems = size_problems(files);
        let document = IniDocument::merge(files)?;
        refuse_unknown_kinds(&document, &mut problems);
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

    /// Tells whether operators have taken `zone` out of service.
    ///
    /// A zone that the configuration does not name counts as out.
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

fn refuse_unknown_kinds(document: &IniDocument, problems: &mut Vec<ConfigProblem>) {
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
                "a name behind the kind"
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

fn read_zones(
    document: &IniDocument,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<ZoneId, ZoneSpec> {
    let mut zones = BTreeMap::new();
    for section in document.of_kind("zone") {
        let mut reader = SectionReader::new(section, problems);
        let region = reader.text("region");
        let out = reader.flag("out", false);
        reader.finish();
        let zone = section.name.clone();
        zones.insert(zone.clone(), ZoneSpec { zone, region, out });
    }
    zones
}

fn read_domains(
    document: &IniDocument,
    zones: &BTreeMap<ZoneId, ZoneSpec>,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<DomainId, ZoneId> {
    let mut domains = BTreeMap::new();
    for section in document.of_kind("domain") {
        let mut reader = SectionReader::new(section, problems);
        let zone = reader.text("zone");
        if !zones.contains_key(&zone) {
            reader.refuse("zone", "the name of a [zone] section");
        }
        reader.finish();
        domains.insert(section.name.clone(), zone);
    }
    domains
}

fn read_vms(
    document: &IniDocument,
    domains: &BTreeMap<DomainId, ZoneId>,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<VmId, VmSpec> {
    let mut vms = BTreeMap::new();
    let mut owners: BTreeMap<SocketAddr, VmId> = BTreeMap::new();
    for section in document.of_kind("vm") {
        let mut reader = SectionReader::new(section, problems);
        let domain = reader.text("domain");
        let zone = domains.get(&domain).cloned();
        if zone.is_none() {
            reader.refuse("domain", "the name of a [domain] section");
        }
        let address = reader.address("address");
        let accelerators = reader.count("accelerators", 8, 1);
        let checks_fence = reader.flag("checks-fence", false);
        let leaving = reader.flag("leaving", false);
        let vm = section.name.clone();
        if let Some(owner) = owners.insert(address, vm.clone()) {
            reader.refuse(
                "address",
                &format!("an address of its own; {owner} has this one"),
            );
        }
        reader.finish();
        let zone = zone.unwrap_or_default();
        let spec = VmSpec {
            vm: vm.clone(),
            domain,
            zone,
            address,
            accelerators,
            checks_fence,
            leaving,
        };
        vms.insert(vm, spec);
    }
    vms
}

fn read_models(
    document: &IniDocument,
    vms: &BTreeMap<VmId, VmSpec>,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<ModelId, ModelSpec> {
    let mut domain_sizes: BTreeMap<&DomainId, u64> = BTreeMap::new();
    for vm in vms.values() {
        *domain_sizes.entry(&vm.domain).or_default() += 1;
    }
    let largest_domain = domain_sizes.values().copied().max().unwrap_or(0);
    let mut models = BTreeMap::new();
    for section in document.of_kind("model") {
        let mut reader = SectionReader::new(section, problems);
        let version = reader.text("version");
        let adapters = reader.list("adapters");
        let vms_per_group = reader.count("vms-per-group", 1, 1);
        let groups = reader.count("groups", 1, 0);
        let slots = reader.count("slots", 16, 1);
        let cold_slots = reader.count("cold-slots", 1, 1);
        if vms_per_group > largest_domain {
            let expected =
                format!("at most {largest_domain}, the VMs of the largest fabric domain");
            reader.refuse("vms-per-group", &expected);
        }
        if cold_slots > slots {
            reader.refuse("cold-slots", &format!("at most slots, which is {slots}"));
        }
        reader.finish();
        let model = section.name.clone();
        let spec = ModelSpec {
            model: model.clone(),
            version,
            adapters,
            vms_per_group,
            groups,
            slots,
            cold_slots,
        };
        models.insert(model, spec);
    }
    models
}

fn read_services(
    document: &IniDocument,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<ServiceId, ServiceSpec> {
    let mut services = BTreeMap::new();
    for section in document.of_kind("service") {
        let mut reader = SectionReader::new(section, problems);
        let prefix = reader.text("prefix");
        let reserved = prefix.starts_with("/v1") || prefix.len() < 2;
        if !prefix.starts_with('/') || prefix.ends_with('/') || reserved {
            reader.refuse("prefix", "a path such as /bitacora, outside /v1");
        }
        let slots = reader.count("slots", 64, 1);
        let cold_slots = reader.count("cold-slots", 4, 1);
        let repeatable = reader.flag("repeatable", false);
        if cold_slots > slots {
            reader.refuse("cold-slots", &format!("at most slots, which is {slots}"));
        }
        reader.finish();
        let service = section.name.clone();
        let spec = ServiceSpec {
            service: service.clone(),
            prefix,
            slots,
            cold_slots,
            repeatable,
        };
        services.insert(service, spec);
    }
    services
}

fn read_endpoints(
    document: &IniDocument,
    zones: &BTreeMap<ZoneId, ZoneSpec>,
    services: &BTreeMap<ServiceId, ServiceSpec>,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<EndpointId, EndpointSpec> {
    let mut endpoints = BTreeMap::new();
    for section in document.of_kind("endpoint") {
        let mut reader = SectionReader::new(section, problems);
        let service = reader.text("service");
        if !services.contains_key(&service) {
            reader.refuse("service", "the name of a [service] section");
        }
        let zone = reader.text("zone");
        if !zones.contains_key(&zone) {
            reader.refuse("zone", "the name of a [zone] section");
        }
        let address = reader.address("address");
        let leaving = reader.flag("leaving", false);
        reader.finish();
        let endpoint = section.name.clone();
        let spec = EndpointSpec {
            endpoint: endpoint.clone(),
            service,
            zone,
            address,
            leaving,
        };
        endpoints.insert(endpoint, spec);
    }
    endpoints
}

fn read_teams(
    document: &IniDocument,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<TeamId, TeamSpec> {
    let mut teams = BTreeMap::new();
    for section in document.of_kind("team") {
        let mut reader = SectionReader::new(section, problems);
        let share = reader.count("share", 1, 1);
        let queue = reader.count("queue", 256, 1);
        reader.finish();
        let team = section.name.clone();
        teams.insert(team.clone(), TeamSpec { team, share, queue });
    }
    teams
}

fn read_limits(document: &IniDocument, problems: &mut Vec<ConfigProblem>) -> LimitSpec {
    let empty = IniSection {
        kind: "limits".into(),
        name: SmolStr::default(),
        file: SmolStr::default(),
        line: 0,
        entries: BTreeMap::new(),
    };
    let section = document.of_kind("limits").next().unwrap_or(&empty);
    let mut reader = SectionReader::new(section, problems);
    let limits = LimitSpec {
        body_bytes: reader.size("body", 1 << 20),
        request_limit_ms: reader.span("request", 60_000),
        queue_limit_ms: reader.span("queue", 2_000),
        silence_limit_ms: reader.span("silence", 1_000),
        drain_limit_ms: reader.span("drain", 60_000),
    };
    reader.finish();
    limits
}
