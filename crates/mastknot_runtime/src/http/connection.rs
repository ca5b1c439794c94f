use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;

use futures_util::FutureExt;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::answer_tracking::TrackedBody;
use super::connection_state::{ConnectionState, Phase};
use super::deadline::Deadline;
use super::limits::MAX_HEAD_BYTES;
use super::metered_stream::MeteredStream;
use super::read_turns::ConnectionTurns;
use super::refusal::{HEAD_TOO_LONG, HEAD_TOO_SLOW, NO_ROOM, OVERDUE, linger, send};
use super::request_account::ConnectionPlace;
use super::{CloseReason, RequestAccount, RequestLimits, ResponseBody, empty_response};

/// Bytes of a request line or a header beside its own text.
const REQUEST_LINE_EXTRA: usize = "  HTTP/1.1\r\n".len();
const HEADER_EXTRA: usize = ": \r\n".len();
const HEAD_END: usize = "\r\n".len();

/// What one connection needs beside its stream.
pub(super) struct ConnectionParts {
    pub(super) account: RequestAccount,
    pub(super) limits: watch::Receiver<RequestLimits>,
    pub(super) turns: ConnectionTurns,
    /// Becomes true, or loses its sender, when the server stops.
    pub(super) stopping: watch::Receiver<bool>,
}

/// Why a connection ends.
enum End {
    /// The connection is over by the protocol, or broken.
    Over,
    /// A time limit of the connection is over in this phase.
    Expired(Phase),
    /// The connection has to make room for others in this phase.
    Evicted(Phase),
}

/// Serves one connection to its end, and ends it so that its caller sees a refusal.
pub(super) async fn serve_connection<H, F>(
    stream: TcpStream,
    parts: ConnectionParts,
    handler: Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let ConnectionParts {
        account,
        limits,
        turns,
        stopping,
    } = parts;
    let _place = ConnectionPlace(account.clone());
    let served = (account.clone(), limits.clone());
    let service = service_fn(move |request| {
        let (account, limits) = served.clone();
        let handler = Arc::clone(&handler);
        let head_bytes = head_bytes(&request);
        let has_body = !request.body().is_end_stream();
        let has_size_checked = account.state.start_request(head_bytes, has_body);
        let is_too_long = !has_size_checked && head_bytes > limits.borrow().head_bytes;
        let handled = async move {
            match is_too_long {
                true => refuse_head(&account),
                false => handle(request, account, &*handler).await,
            }
        };
        Box::pin(handled.map(Ok::<_, Infallible>))
    });
    let stream = MeteredStream::new(stream, turns, account.clone(), limits.clone());
    // The limits of this server hold, which follow the settings also on open connections.
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(stream, service);
    let end = run(&mut connection, &account, limits, stopping).await;
    record_end(&account, &end);
    finish(connection.into_parts().io, &account, &end).await;
}

/// Runs a connection until it is over by the protocol, by its limits or for others. When the server stops, the
/// connection ends after the request in flight.
async fn run<S>(
    connection: &mut http1::Connection<MeteredStream, S>,
    account: &RequestAccount,
    limits: watch::Receiver<RequestLimits>,
    mut stopping: watch::Receiver<bool>,
) -> End
where
    S: HttpService<Incoming, ResBody = TrackedBody> + Unpin,
    S::Future: Unpin,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let state = &account.state;
    let mut deadline = Deadline::new(Arc::clone(state), limits);
    let mut evicted = pin!(state.wait_evicted());
    let mut stopped = pin!(stopping.wait_for(|is_stopping| *is_stopping));
    let (mut is_evicted, mut is_stopping) = (false, false);
    poll_fn(|cx| {
        is_evicted = is_evicted || evicted.as_mut().poll(cx).is_ready();
        let phase = state.phase();
        // A body that has to go is refused by its handler.
        if is_evicted && !matches!(phase, Phase::Body | Phase::Closing) {
            return Poll::Ready(End::Evicted(phase));
        }
        if connection.poll_without_shutdown(cx).is_ready() {
            return Poll::Ready(End::Over);
        }
        if !is_stopping && stopped.as_mut().poll(cx).is_ready() {
            is_stopping = true;
            Pin::new(&mut *connection).graceful_shutdown();
            if connection.poll_without_shutdown(cx).is_ready() {
                return Poll::Ready(End::Over);
            }
        }
        deadline
            .poll_expired(cx)
            .map(|()| End::Expired(state.phase()))
    })
    .await
}

/// Ends a connection. Its caller gets the last answer of the server, if there is one.
async fn finish(stream: MeteredStream, account: &RequestAccount, end: &End) {
    let MeteredStream {
        stream, mut turns, ..
    } = stream;
    let state = &account.state;
    let answer = last_answer(state, end);
    if let Some(answer) = answer {
        send(&stream, answer);
    }
    // A connection that makes room for others goes at once.
    if answer.is_some() || state.is_cut_short() {
        state.start_closing();
        tokio::select! {
            biased;
            () = state.wait_evicted() => {}
            () = Box::pin(linger(stream, &mut turns)) => {}
        }
    }
}

fn record_end(account: &RequestAccount, end: &End) {
    match end {
        End::Expired(Phase::Head) => account.record(CloseReason::HeadTooSlow),
        End::Expired(Phase::Resting) => account.record(CloseReason::Idle),
        End::Over if account.state.is_head_too_long() => account.record(CloseReason::HeadTooLong),
        End::Over | End::Expired(_) | End::Evicted(_) => {}
    }
}

/// Returns the answer that the server itself gives at the end of a connection.
fn last_answer(state: &ConnectionState, end: &End) -> Option<&'static [u8]> {
    match end {
        End::Over if state.is_head_too_long() && state.phase() == Phase::Head => {
            Some(HEAD_TOO_LONG)
        }
        End::Over if state.is_without_memory() => Some(NO_ROOM),
        End::Expired(Phase::Head) => Some(HEAD_TOO_SLOW),
        End::Evicted(Phase::Resting | Phase::Head) => Some(NO_ROOM),
        End::Evicted(Phase::Answer) => Some(OVERDUE),
        End::Over | End::Expired(_) | End::Evicted(_) => None,
    }
}

/// Answers one request, and records its course.
async fn handle<H, F>(
    mut request: Request<Incoming>,
    account: RequestAccount,
    handler: &H,
) -> Response<TrackedBody>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<ResponseBody>>,
{
    let state = Arc::clone(&account.state);
    request.extensions_mut().insert(account);
    let mut response = handler(request).await;
    if state.phase() == Phase::Closing {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.map(|body| TrackedBody::new(body, state))
}

/// Answers a request whose head is longer than allowed.
fn refuse_head(account: &RequestAccount) -> Response<TrackedBody> {
    account.state.refuse_head();
    let mut response = empty_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response.map(|body| TrackedBody::new(body, Arc::clone(&account.state)))
}

/// Returns the size of a request's head, written as clients usually write it, in bytes.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let target = request.uri().to_string().len();
    let line = request.method().as_str().len() + target + REQUEST_LINE_EXTRA;
    let headers = request.headers().iter();
    let header = |(name, value): (&http::HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_EXTRA
    };
    line + headers.map(header).sum::<usize>() + HEAD_END
}
