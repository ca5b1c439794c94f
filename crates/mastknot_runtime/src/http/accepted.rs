use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection.
///
/// Without the limit, a caller that never answers again would occupy its descriptor for a quarter of an hour,
/// for which the kernel retransmits. The limit is far above the network interruptions that a connection survives, so
/// that a finished answer still arrives after one.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle time after which the kernel probes a connection, and the interval between further probes. A silent
/// connection is closed at most 40 s after the last bytes arrived on it.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Sets socket options on an accepted connection: small answers are sent without delay, and the kernel closes the
/// connection if the other end has gone silent.
pub fn set_up_accepted(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}
