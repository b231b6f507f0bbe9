//! TCP options that make the kernel detect unreachable peers.

use std::time::Duration;

use rustix::net::sockopt;
use smol::net::TcpStream;

/// Idle time after which the kernel sends keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Time that sent data may stay unacknowledged before the kernel closes the connection;
/// longer than the slowest round trip with a few lost packets.
const TCP_USER_TIMEOUT_MS: u32 = 3_000;

/// Enables keep-alive probes and `TCP_USER_TIMEOUT`, and disables Nagle's algorithm.
pub fn set_liveness_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
    Ok(())
}
