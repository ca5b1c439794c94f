use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request};
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::socket::set_up;
use super::{Link, LinkKind, LinkReceiver, LinkSender, LinkStats, WINDOW_BYTES};
use crate::error::{ConnectSnafu, ConnectTimeoutSnafu, H2Snafu, LinkError, RequestSnafu};
use crate::frame::WireMessage;

/// Dials a link. The connection and the answer to its request have to be complete within `limit`.
///
/// Fails if the connection can't be made in time, or the other end does not speak h2.
pub async fn connect<S: WireMessage, R: WireMessage>(
    address: SocketAddr,
    kind: LinkKind,
    limit: Duration,
    stats: Arc<LinkStats>,
) -> Result<Link<S, R>, LinkError> {
    match timeout(limit, dial(address, kind, stats)).await {
        Ok(link) => link,
        Err(_) => ConnectTimeoutSnafu { address }.fail(),
    }
}

async fn dial<S: WireMessage, R: WireMessage>(
    address: SocketAddr,
    kind: LinkKind,
    stats: Arc<LinkStats>,
) -> Result<Link<S, R>, LinkError> {
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(LinkError::Refused { address });
        }
        Err(source) => return Err(LinkError::Connect { address, source }),
    };
    set_up(&stream).context(ConnectSnafu { address })?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    let (client, connection) = builder.handshake(stream).await.context(H2Snafu)?;
    tokio::spawn(connection);
    let mut client = client.ready().await.context(H2Snafu)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{}", kind.path()))
        .body(())
        .context(RequestSnafu)?;
    let (response, body) = client.send_request(request, false).context(H2Snafu)?;
    let response = response.await.context(H2Snafu)?;
    Ok(Link {
        sender: LinkSender::start(body, Arc::clone(&stats)),
        receiver: LinkReceiver::new(response.into_body(), stats),
    })
}
