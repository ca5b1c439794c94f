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

/// How long a new connection may take to open its stream.
const OPEN_LIMIT: Duration = Duration::from_secs(5);

type Opened = (Request<h2::RecvStream>, h2::server::SendResponse<Bytes>);

/// A link that another process has dialed.
#[derive(Debug)]
pub enum Accepted {
    /// A side.
    Side(Link<EntryMessage, SideMessage>),
    /// A peer.
    Peer(Link<PeerMessage, PeerMessage>),
    /// A side that runs sized tasks under leases.
    Agent(Link<EntryOrder, SideReport>),
}

/// Takes the link of a new connection.
pub async fn accept(stream: TcpStream, stats: Arc<LinkStats>) -> Result<Accepted, LinkError> {
    if set_up(&stream).is_err() {
        return NoStreamSnafu.fail();
    }
    let opened = timeout(OPEN_LIMIT, open(stream)).await;
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
        // Drives the connection; a link has no second stream.
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

fn reject(mut respond: h2::server::SendResponse<Bytes>) -> Result<(), LinkError> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::NOT_FOUND;
    respond.send_response(response, true).context(H2Snafu)?;
    Ok(())
}
