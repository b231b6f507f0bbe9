//! Converts the sections of a merged document into typed specs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smol_str::SmolStr;

use super::ConfigProblem;
use super::EndpointSpec;
use super::IniDocument;
use super::IniSection;
use super::LimitSpec;
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

pub(super) fn read_zones(
    document: &IniDocument,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<ZoneId, ZoneSpec> {
    let mut zones = BTreeMap::new();
    for section in document.sections_of_kind("zone") {
        let mut reader = SectionReader::new(section, problems);
        let region = reader.text("region");
        let out = reader.flag("out", false);
        reader.finish();
        let zone = section.name.clone();
        zones.insert(zone.clone(), ZoneSpec { zone, region, out });
    }
    zones
}

pub(super) fn read_domains(
    document: &IniDocument,
    zones: &BTreeMap<ZoneId, ZoneSpec>,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<DomainId, ZoneId> {
    let mut domains = BTreeMap::new();
    for section in document.sections_of_kind("domain") {
        let mut reader = SectionReader::new(section, problems);
        let zone = reader.text("zone");
        if !zones.contains_key(&zone) {
            reader.report_value("zone", "the name of a [zone] section");
        }
        reader.finish();
        domains.insert(section.name.clone(), zone);
    }
    domains
}

pub(super) fn read_vms(
    document: &IniDocument,
    domains: &BTreeMap<DomainId, ZoneId>,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<VmId, VmSpec> {
    let mut vms = BTreeMap::new();
    let mut owners: BTreeMap<SocketAddr, VmId> = BTreeMap::new();
    for section in document.sections_of_kind("vm") {
        let mut reader = SectionReader::new(section, problems);
        let domain = reader.text("domain");
        let zone = domains.get(&domain).cloned();
        if zone.is_none() {
            reader.report_value("domain", "the name of a [domain] section");
        }
        let address = reader.address("address");
        let accelerators = reader.count("accelerators", 8, 1);
        let checks_fence = reader.flag("checks-fence", false);
        let leaving = reader.flag("leaving", false);
        let vm = section.name.clone();
        if let Some(owner) = owners.insert(address, vm.clone()) {
            reader.report_value(
                "address",
                &format!("a unique address; {owner} already uses this one"),
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

pub(super) fn read_models(
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
    for section in document.sections_of_kind("model") {
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
            reader.report_value("vms-per-group", &expected);
        }
        if cold_slots > slots {
            reader.report_value("cold-slots", &format!("at most slots, which is {slots}"));
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

pub(super) fn read_services(
    document: &IniDocument,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<ServiceId, ServiceSpec> {
    let mut services = BTreeMap::new();
    for section in document.sections_of_kind("service") {
        let mut reader = SectionReader::new(section, problems);
        let prefix = reader.text("prefix");
        let reserved = prefix.starts_with("/v1") || prefix.len() < 2;
        if !prefix.starts_with('/') || prefix.ends_with('/') || reserved {
            reader.report_value("prefix", "a path such as /bitacora, outside /v1");
        }
        let slots = reader.count("slots", 64, 1);
        let cold_slots = reader.count("cold-slots", 4, 1);
        let repeatable = reader.flag("repeatable", false);
        if cold_slots > slots {
            reader.report_value("cold-slots", &format!("at most slots, which is {slots}"));
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

pub(super) fn read_endpoints(
    document: &IniDocument,
    zones: &BTreeMap<ZoneId, ZoneSpec>,
    services: &BTreeMap<ServiceId, ServiceSpec>,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<EndpointId, EndpointSpec> {
    let mut endpoints = BTreeMap::new();
    for section in document.sections_of_kind("endpoint") {
        let mut reader = SectionReader::new(section, problems);
        let service = reader.text("service");
        if !services.contains_key(&service) {
            reader.report_value("service", "the name of a [service] section");
        }
        let zone = reader.text("zone");
        if !zones.contains_key(&zone) {
            reader.report_value("zone", "the name of a [zone] section");
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

pub(super) fn read_teams(
    document: &IniDocument,
    problems: &mut Vec<ConfigProblem>,
) -> BTreeMap<TeamId, TeamSpec> {
    let mut teams = BTreeMap::new();
    for section in document.sections_of_kind("team") {
        let mut reader = SectionReader::new(section, problems);
        let share = reader.count("share", 1, 1);
        let queue = reader.count("queue", 256, 1);
        reader.finish();
        let team = section.name.clone();
        teams.insert(team.clone(), TeamSpec { team, share, queue });
    }
    teams
}

pub(super) fn read_limits(document: &IniDocument, problems: &mut Vec<ConfigProblem>) -> LimitSpec {
    let empty = IniSection {
        kind: "limits".into(),
        name: SmolStr::default(),
        file: SmolStr::default(),
        line: 0,
        entries: BTreeMap::new(),
    };
    let section = document.sections_of_kind("limits").next().unwrap_or(&empty);
    let mut reader = SectionReader::new(section, problems);
    let limits = LimitSpec {
        max_body_bytes: reader.size("body", 1 << 20),
        request_timeout_ms: reader.duration_ms("request", 60_000),
        queue_timeout_ms: reader.duration_ms("queue", 2_000),
        silence_timeout_ms: reader.duration_ms("silence", 1_000),
        drain_timeout_ms: reader.duration_ms("drain", 60_000),
    };
    reader.finish();
    limits
}
