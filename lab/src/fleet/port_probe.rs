//! Free ports for daemons, beside processes that start.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use super::FleetError;

/// Lowest port for routers; below the ephemeral range, from which the system takes the
/// ports of outgoing connections.
const FIRST_PORT: u16 = 16_000;
/// Size of the port range that one lab process uses.
const PORTS_PER_PROCESS: u16 = 300;
/// Number of disjoint port ranges; a lab process uses one of them, by its process id.
const PORT_RANGES: u32 = 50;

/// Offset of the next port to try in the range of this process.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Held while a port is probed and while a process starts. Until a new process runs its own
/// program, it holds copies of all sockets of this one, so that a probed port stays in use.
static PROBE_LOCK: Mutex<()> = Mutex::new(());

/// Finds ports that daemons can listen on.
///
/// A port that was returned is free until somebody binds it, if all processes of this one are
/// started by [`PortProbe::spawn`].
pub struct PortProbe;

impl PortProbe {
    /// Returns a loopback address whose port is free for TCP and UDP.
    ///
    /// The port is below the ephemeral range. A process returns a port again only after it
    /// has tried all others of its range.
    pub fn free_address() -> Result<SocketAddr, FleetError> {
        let first = FIRST_PORT + PORTS_PER_PROCESS * (std::process::id() % PORT_RANGES) as u16;
        let _guard = probe_guard();
        for _ in 0..PORTS_PER_PROCESS {
            let port = first + NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(FleetError::NotReady("no free port for a router".to_owned()))
    }

    /// Starts a process; returns once it runs its own program.
    pub fn spawn(command: &mut Command) -> io::Result<Child> {
        let _guard = probe_guard();
        command.spawn()
    }
}

fn probe_guard() -> MutexGuard<'static, ()> {
    PROBE_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
