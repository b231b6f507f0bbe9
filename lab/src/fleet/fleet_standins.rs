//! All stand-ins for one configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use jujuberoad::config::FleetConfig;
use smol_str::SmolStr;

use super::FleetError;
use crate::standins::AdminHandler;
use crate::standins::EngineHandler;
use crate::standins::EngineRegistry;
use crate::standins::EngineState;
use crate::standins::EngineTiming;
use crate::standins::KvState;
use crate::standins::LabServer;
use crate::standins::PlatformHandler;
use crate::standins::ServiceHandler;
use crate::standins::ServiceState;

/// Stand-ins for platform, engines and services, all on loopback addresses.
pub struct FleetStandins {
    /// The configuration files, with the addresses of the stand-ins.
    pub files: BTreeMap<SmolStr, String>,
    /// The parsed configuration.
    pub config: FleetConfig,
    /// State of the key-value service.
    pub kv: Arc<Mutex<KvState>>,
    /// The stand-in VMs.
    pub registry: Arc<EngineRegistry>,
    /// State of the plain services.
    pub services: Arc<Mutex<ServiceState>>,
    /// Address of the stand-in platform.
    pub platform: SocketAddr,
    /// Address of the admin interface, for faults and counters.
    pub admin: SocketAddr,
    servers: Vec<Arc<LabServer>>,
}

impl FleetStandins {
    /// Starts a stand-in for each VM and endpoint that `files` declare, for the platform
    /// and for the admin interface.
    pub async fn start(
        files: BTreeMap<SmolStr, String>,
        timing: EngineTiming,
    ) -> Result<Self, FleetError> {
        let config = FleetConfig::parse(&files).map_err(jujube::CommandError::Invalid)?;
        let kv = Arc::new(Mutex::new(KvState::default()));
        let registry = Arc::new(EngineRegistry::default());
        let services = Arc::new(Mutex::new(ServiceState::default()));
        let mut standin_addresses = BTreeMap::new();
        let mut servers = Vec::new();
        let slots = config
            .models
            .values()
            .map(|model| model.slots)
            .max()
            .unwrap_or(1);
        for vm in config.vms.values() {
            let engine = EngineState::new(vm.vm.clone(), vm.checks_fence, timing);
            let engine = Arc::new(Mutex::new(engine));
            registry.insert(Arc::clone(&engine));
            let handler = EngineHandler::new(engine, Arc::clone(&registry), slots);
            let server = start_server(handler).await?;
            standin_addresses.insert(vm.address, server.address());
            registry.set_server(vm.vm.clone(), server);
        }
        for endpoint in config.endpoints.values() {
            let state = Arc::clone(&services);
            let server =
                start_server(ServiceHandler::new(endpoint.endpoint.clone(), state)).await?;
            standin_addresses.insert(endpoint.address, server.address());
            servers.push(server);
        }
        let platform =
            start_server(PlatformHandler::new(Arc::clone(&kv), Arc::clone(&registry))).await?;
        let admin = AdminHandler::new(
            Arc::clone(&kv),
            Arc::clone(&registry),
            Arc::clone(&services),
        );
        let admin = start_server(admin).await?;
        let (platform_address, admin_address) = (platform.address(), admin.address());
        servers.extend([platform, admin]);
        let files = substitute_addresses(files, &standin_addresses);
        let config = FleetConfig::parse(&files).map_err(jujube::CommandError::Invalid)?;
        Ok(Self {
            files,
            config,
            kv,
            registry,
            services,
            platform: platform_address,
            admin: admin_address,
            servers,
        })
    }

    /// Returns the number of servers other than those of the VMs.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }
}

async fn start_server(
    handler: Arc<dyn jujuberoad_node::http::HttpHandler>,
) -> Result<Arc<LabServer>, FleetError> {
    LabServer::start(handler)
        .await
        .map_err(FleetError::io("starting a stand-in"))
}

/// Replaces the address in each `address` line by that of its stand-in.
fn substitute_addresses(
    files: BTreeMap<SmolStr, String>,
    standin_addresses: &BTreeMap<SocketAddr, SocketAddr>,
) -> BTreeMap<SmolStr, String> {
    let mut result = BTreeMap::new();
    for (name, text) in files {
        let mut lines = Vec::new();
        for line in text.lines() {
            let value = line
                .split_once('=')
                .filter(|(key, _)| key.trim() == "address");
            let address = value.and_then(|(_, value)| value.trim().parse::<SocketAddr>().ok());
            match address.and_then(|address| standin_addresses.get(&address)) {
                Some(address) => lines.push(format!("address = {address}")),
                None => lines.push(line.to_owned()),
            }
        }
        result.insert(name, lines.join("\n") + "\n");
    }
    result
}
