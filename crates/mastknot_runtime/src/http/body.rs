use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::{Body, Frame};
use serde::Serialize;
use snafu::Snafu;

/// The body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

/// Why a request's body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// The limit.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive in time"))]
    TooSlow,
    /// The connection broke.
    #[snafu(display("the connection broke before the body was whole"))]
    Broken,
}

/// Reads a whole body within bounds of length and time.
pub async fn read_body<B>(body: B, limit: usize, time: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limited = Limited::new(body, limit);
    let collected = tokio::time::timeout(time, limited.collect()).await;
    match collected {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong { limit }),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

/// A response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)).boxed_unsync());
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// A response without a body.
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(Bytes::new()).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// A response whose body goes on as the stream gives more.
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
