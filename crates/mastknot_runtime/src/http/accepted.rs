use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection.
///
/// Without the limit, a caller that never answers again would occupy its descriptor for a quarter of an hour,
/// for which the kernel retransmits. The limit is far above the network interruptions that a connection survives, so
/// that a finished answer still arrives after one.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle time after which the kernel probes a connection, and the interval between further probes. A silent
/// connection is closed at most 40 s after the last bytes arrived on it.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Size of the kernel's buffer for what has arrived unread on a connection, in bytes. The kernel keeps up to one and a
/// half times as many.
const RECEIVE_BUFFER_BYTES: usize = 16_384;
/// Size of the kernel's buffer for answers that are not taken, in bytes.
const SEND_BUFFER_BYTES: usize = 65_536;

/// Limits what the kernel holds for each connection that `listener` accepts.
pub(super) fn limit_buffers(listener: &TcpListener) -> std::io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)
}

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
