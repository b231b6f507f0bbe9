//! Ports of daemons while other processes start.

use std::net::TcpListener;
use std::net::UdpSocket;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jujube_lab::fleet::PortProbe;

/// Time for which ports are taken.
const PROBE_TIME: Duration = Duration::from_secs(2);

/// Guards against a daemon that finds its port in use by a process that has just been started:
/// a fleet then waited for it until its tests failed.
#[test]
fn free_ports_stay_free_while_processes_start() {
    let until = Instant::now() + PROBE_TIME;
    let starters = [(); 3].map(|()| {
        thread::spawn(move || {
            while Instant::now() < until {
                let mut command = Command::new("true");
                command.stdin(Stdio::null()).stdout(Stdio::null());
                let mut child = PortProbe::spawn(&mut command).expect("a process");
                child.wait().expect("its end");
            }
        })
    });
    let mut in_use = Vec::new();
    while Instant::now() < until {
        let address = PortProbe::free_address().expect("a free port");
        let listener = TcpListener::bind(address);
        let socket = UdpSocket::bind(address);
        if let Some(error) = listener.err().or(socket.err()) {
            in_use.push(format!("{address}: {error}"));
        }
    }
    for starter in starters {
        starter.join().expect("processes start");
    }
    assert_eq!(in_use, Vec::<String>::new());
}
