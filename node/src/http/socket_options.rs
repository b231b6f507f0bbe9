//! TCP options that make the kernel detect unreachable peers.

use std::time::Duration;

use jujuberoad::ids::Milliseconds;
use rustix::net::sockopt;
use smol::net::TcpStream;

/// Idle time after which the kernel sends keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Enables keep-alive probes and `TCP_USER_TIMEOUT`, and disables Nagle's algorithm.
///
/// The kernel closes the connection once sent data has not been acknowledged, or a peer that
/// does not read has left no room for it, for `unacknowledged_ms`. That limit applies to
/// unanswered probes too.
pub fn set_liveness_options(
    stream: &TcpStream,
    unacknowledged_ms: Milliseconds,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    let user_timeout_ms = u32::try_from(unacknowledged_ms).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, user_timeout_ms)?;
    Ok(())
}
