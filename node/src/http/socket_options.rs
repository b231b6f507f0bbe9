//! Options by which the kernel notices connections that have gone silent.

use std::time::Duration;

use rustix::net::sockopt;
use smol::net::TcpStream;

/// Idle time after which the kernel probes a connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is given up.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which unacknowledged bytes end a connection; above the longest
/// round trip with a few lost packets.
const TCP_USER_TIMEOUT_MS: u32 = 3_000;

/// Sets keep-alive probes and a limit on unacknowledged bytes, and sends at once.
pub fn set_liveness_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
    Ok(())
}
