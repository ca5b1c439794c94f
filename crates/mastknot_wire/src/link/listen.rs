use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use mastknot_core::job::{EntryOrder, SideReport};
use mastknot_core::message::{EntryMessage, PeerMessage, SideMessage};
use snafu::{OptionExt, ResultExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::socket::set_up;
use super::{Link, LinkKind, LinkReceiver, LinkSender, LinkStats, WINDOW_BYTES};
use crate::error::{H2Snafu, LinkError, NoStreamSnafu, UnknownPathSnafu};
use crate::frame::WireMessage;

/// Maximum time in which a new connection has to open its stream.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

type Opened = (Request<h2::RecvStream>, h2::server::SendResponse<Bytes>);

/// A link that another process dialed, by the kind of process.
#[derive(Debug)]
pub enum Accepted {
    /// Link of a side.
    Side(Link<EntryMessage, SideMessage>),
    /// Link of another entry.
    Peer(Link<PeerMessage, PeerMessage>),
    /// Link of a side that runs tasks with capacity requirements under leases.
    Agent(Link<EntryOrder, SideReport>),
}

/// Accepts the link of a new connection.
///
/// Fails if the other end opens no stream in time, does not speak h2 or requests an unknown path.
pub async fn accept(stream: TcpStream, stats: Arc<LinkStats>) -> Result<Accepted, LinkError> {
    if set_up(&stream).is_err() {
        return NoStreamSnafu.fail();
    }
    let opened = timeout(OPEN_TIMEOUT, open(stream)).await;
    let (request, respond) = opened.ok().context(NoStreamSnafu)??;
    let path = request.uri().path();
    let Some(kind) = LinkKind::from_path(path) else {
        let path = path.to_owned();
        reject(respond)?;
        return UnknownPathSnafu { path }.fail();
    };
    let body = request.into_body();
    Ok(match kind {
        LinkKind::Side => Accepted::Side(start(body, respond, stats)?),
        LinkKind::Peer => Accepted::Peer(start(body, respond, stats)?),
        LinkKind::Agent => Accepted::Agent(start(body, respond, stats)?),
    })
}

/// Performs the h2 handshake and waits for the first stream.
async fn open(stream: TcpStream) -> Result<Opened, LinkError> {
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(1);
    let mut connection = builder
        .handshake::<_, Bytes>(stream)
        .await
        .context(H2Snafu)?;
    let opened = connection.accept().await.context(NoStreamSnafu)?;
    let opened = opened.context(H2Snafu)?;
    tokio::spawn(async move {
        // The loop drives the connection. A link has only one stream, so further ones are dropped.
        while let Some(Ok((_, respond))) = connection.accept().await {
            drop(respond);
        }
    });
    Ok(opened)
}

fn start<S: WireMessage, R: WireMessage>(
    body: h2::RecvStream,
    mut respond: h2::server::SendResponse<Bytes>,
    stats: Arc<LinkStats>,
) -> Result<Link<S, R>, LinkError> {
    let stream = respond
        .send_response(Response::new(()), false)
        .context(H2Snafu)?;
    Ok(Link {
        sender: LinkSender::start(stream, Arc::clone(&stats)),
        receiver: LinkReceiver::new(body, stats),
    })
}

/// Answers a request for an unknown path with status 404.
fn reject(mut respond: h2::server::SendResponse<Bytes>) -> Result<(), LinkError> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::NOT_FOUND;
    respond.send_response(response, true).context(H2Snafu)?;
    Ok(())
}
