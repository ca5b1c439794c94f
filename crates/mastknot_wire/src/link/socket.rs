use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time for which sent bytes may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time after which the kernel probes a connection.
const KEEPALIVE_TIME: Duration = Duration::from_secs(30);

/// Sets socket options that send small messages without delay and detect that the other VM has silently failed.
pub(crate) fn set_up(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME / 3);
    socket.set_tcp_keepalive(&keepalive)
}
