use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// A connection on which sent bytes stay unacknowledged for so long is over: a caller that has gone silent for good
/// would otherwise keep its descriptor for the quarter of an hour in which the kernel sends again. Far above the cuts
/// that a connection survives, so that an answer that is ready still arrives after them.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(30);
/// An idle connection is probed by the kernel after this time without a word, then as often again: a silent one is
/// over 40 s after its last word at the latest.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Sets up an accepted connection: small answers go at once, and one whose other end has gone silent ends.
pub fn set_up_accepted(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}
