use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

use super::BodyError;

/// Reads the complete body of a peer's answer, of at most `limit` bytes, that arrives within `time`.
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
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(BodyError::Broken);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if contents.len() + data.len() > limit {
            return Err(BodyError::TooLong { limit });
        }
        contents.extend_from_slice(&data);
    }
    Ok(contents.freeze())
}
