use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// After this long without an acknowledgement for sent bytes, the connection counts as broken.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(5);
/// An idle connection is probed this often, by the kernel.
const KEEPALIVE: Duration = Duration::from_secs(30);

/// Sets a socket up for small messages and for noticing a silent death of the other VM.
pub(crate) fn set_up(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE / 3);
    socket.set_tcp_keepalive(&keepalive)
}
