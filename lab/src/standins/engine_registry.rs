//! All VMs of a stand-in fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use jujuberoad::ids::VmId;
use jujuberoad_node::backends::VmListing;

use super::EngineState;
use super::LabServer;

/// VMs by name, and the sockets at which they answer.
#[derive(Default)]
pub struct EngineRegistry {
    engines: Mutex<BTreeMap<VmId, Arc<Mutex<EngineState>>>>,
    servers: Mutex<BTreeMap<VmId, Arc<LabServer>>>,
}

impl EngineRegistry {
    /// Adds a VM.
    pub fn insert(&self, state: Arc<Mutex<EngineState>>) {
        let vm = state.lock().expect("engine lock").vm.clone();
        self.engines.lock().expect("world lock").insert(vm, state);
    }

    /// Notes at which socket a VM answers.
    pub fn set_server(&self, vm: VmId, server: Arc<LabServer>) {
        self.servers.lock().expect("world lock").insert(vm, server);
    }

    /// Returns a VM.
    pub fn engine(&self, vm: &str) -> Option<Arc<Mutex<EngineState>>> {
        self.engines.lock().expect("world lock").get(vm).cloned()
    }

    /// Returns the socket of a VM.
    pub fn server(&self, vm: &str) -> Option<Arc<LabServer>> {
        self.servers.lock().expect("world lock").get(vm).cloned()
    }

    /// Returns all VMs.
    pub fn engines(&self) -> Vec<Arc<Mutex<EngineState>>> {
        self.engines
            .lock()
            .expect("world lock")
            .values()
            .cloned()
            .collect()
    }

    /// Returns the platform's list of VMs.
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

    /// Tells whether all members of the group that `vm` leads run for it.
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
