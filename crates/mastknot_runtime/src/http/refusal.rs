//! Answers of the server itself, and how a connection ends whose request was refused.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::metered_stream::READ_BYTES;
use super::read_turns::ConnectionTurns;

/// Answer to a head that is longer than allowed.
pub(super) const HEAD_TOO_LONG: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Answer to a head that did not become whole in time.
pub(super) const HEAD_TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Answer to a request that was not read because there is no room for it.
pub(super) const NO_ROOM: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n";
/// Answer to a request that was ended for others after its time. It may have run.
pub(super) const OVERDUE: &[u8] =
    b"HTTP/1.1 504 Gateway Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Time for which a refused caller is listened to, so that it can read the refusal.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read and discarded from a refused caller.
const LINGER_BYTES: usize = 4_194_304;

/// Sends an answer of the server itself, as far as it fits into the connection at once.
pub(super) fn send(stream: &TcpStream, answer: &[u8]) {
    // A caller that does not read its answers loses this one.
    let _ = stream.try_write(answer);
}

/// Ends a connection whose caller may still be sending: reads and discards until it has read the refusal.
///
/// A connection that is closed with unread bytes is reset, and its caller may never see the refusal.
pub(super) async fn linger(mut stream: TcpStream, turns: &mut ConnectionTurns) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let discarded = discard(&stream, turns);
    let _ = tokio::time::timeout(LINGER_TIME, discarded).await;
}

async fn discard(stream: &TcpStream, turns: &mut ConnectionTurns) {
    let mut part = [0; READ_BYTES];
    let mut total = 0;
    while total < LINGER_BYTES && stream.readable().await.is_ok() {
        turns.pass().await;
        match stream.try_read(&mut part) {
            Ok(0) => return,
            Ok(read) => total += read,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
