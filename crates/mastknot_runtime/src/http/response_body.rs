use std::convert::Infallible;

use bytes::Bytes;
use futures_util::Stream;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

/// The body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

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
