//! Registry of all stand-in VMs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use jujuberoad::ids::VmId;
use jujuberoad_node::backends::VmListing;

use super::EngineState;
use super::LabServer;

/// VMs by name, with the servers of their HTTP interfaces.
#[derive(Default)]
pub struct EngineRegistry {
    engines: Mutex<BTreeMap<VmId, Arc<Mutex<EngineState>>>>,
    servers: Mutex<BTreeMap<VmId, Arc<LabServer>>>,
}

impl EngineRegistry {
    /// Adds a VM.
    pub fn insert(&self, state: Arc<Mutex<EngineState>>) {
        let vm = state.lock().expect("engine lock").vm.clone();
        self.engines
            .lock()
            .expect("registry lock")
            .insert(vm, state);
    }

    /// Sets the server of a VM.
    pub fn set_server(&self, vm: VmId, server: Arc<LabServer>) {
        self.servers
            .lock()
            .expect("registry lock")
            .insert(vm, server);
    }

    /// Returns the state of a VM.
    pub fn engine(&self, vm: &str) -> Option<Arc<Mutex<EngineState>>> {
        self.engines.lock().expect("registry lock").get(vm).cloned()
    }

    /// Returns the server of a VM.
    pub fn server(&self, vm: &str) -> Option<Arc<LabServer>> {
        self.servers.lock().expect("registry lock").get(vm).cloned()
    }

    /// Returns the states of all VMs.
    pub fn engines(&self) -> Vec<Arc<Mutex<EngineState>>> {
        self.engines
            .lock()
            .expect("registry lock")
            .values()
            .cloned()
            .collect()
    }

    /// Returns the list of live VMs as the platform reports it.
    pub fn listings(&self) -> Vec<VmListing> {
        let mut listings = Vec::new();
        for engine in self.engines() {
            let engine = engine.lock().expect("engine lock");
            if engine.is_alive {
                listings.push(VmListing {
                    vm: engine.vm.clone(),
                    leaving: engine.is_leaving,
                });
            }
        }
        listings
    }

    /// Returns whether every member of the group that `vm` leads is alive, not frozen, has
    /// the model loaded, and follows the same generation of the group.
    pub fn is_group_intact(&self, vm: &str, now: Instant) -> bool {
        let Some(leader) = self.engine(vm) else {
            return false;
        };
        let order = leader.lock().expect("engine lock").order.clone();
        order.members.iter().all(|member| {
            self.engine(member).is_some_and(|engine| {
                let engine = engine.lock().expect("engine lock");
                let report = engine.report(now);
                let is_ready = report.phase >= jujuberoad::health::EnginePhase::Cold;
                let is_same = report.group == order.group && report.generation == order.generation;
                engine.is_alive && !engine.is_frozen && is_ready && is_same
            })
        })
    }
}
