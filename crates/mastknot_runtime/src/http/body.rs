use std::convert::Infallible;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame};
use serde::Serialize;
use snafu::Snafu;

/// The body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

/// Reasons why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive in time"))]
    TooSlow,
    /// The connection broke before the body was complete.
    #[snafu(display("the connection broke before the body was whole"))]
    Broken,
}

/// Multiple of the limit up to which a body that is too long is read and discarded, so that its sender can read the
/// answer instead of finding its connection closed.
const DISCARD_FACTOR: usize = 4;

/// Reads a complete body of at most `limit` bytes that arrives within `time`.
pub async fn read_body<B>(body: B, limit: usize, time: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    match tokio::time::timeout(time, collect(body, limit)).await {
        Ok(collected) => collected,
        Err(_) => Err(BodyError::TooSlow),
    }
}

async fn collect<B>(mut body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut contents = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(BodyError::Broken);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length <= limit {
            contents.extend_from_slice(&data);
        } else if length > limit.saturating_mul(DISCARD_FACTOR) {
            break;
        }
    }
    if length > limit {
        return Err(BodyError::TooLong { limit });
    }
    Ok(contents.freeze())
}

/// Builds a response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)).boxed_unsync());
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Builds a response with a plain-text body.
pub fn text_response(text: String) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(Bytes::from(text)).boxed_unsync());
    let plain = header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// Builds a response without a body.
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(Bytes::new()).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Builds a response whose body is the lines that the stream yields, sent as they become available.
pub fn stream_response<S>(lines: S) -> Response<ResponseBody>
where
    S: Stream<Item = Bytes> + Send + 'static,
{
    use futures_util::StreamExt;
    let frames = lines.map(|line| Ok::<_, Infallible>(Frame::data(line)));
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let json = header::HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
