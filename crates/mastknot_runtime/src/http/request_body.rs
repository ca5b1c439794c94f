use std::ops::Deref;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::request_account::ChargedBytes;
use super::{BodyError, CloseReason, RequestAccount};

/// A complete body. Its connection is charged with it until the value is dropped.
#[derive(Debug, Default)]
pub struct RequestBody {
    bytes: Bytes,
    _charged: Option<ChargedBytes>,
}

impl Deref for RequestBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the complete body of a request to an [`HttpServer`](super::HttpServer), of at most `limit` bytes that arrives within `time`.
///
/// A body that is not read whole ends its connection after the answer.
pub async fn read_request(
    request: Request<Incoming>,
    limit: usize,
    time: Duration,
) -> Result<RequestBody, BodyError> {
    let account = RequestAccount::of(&request).ok_or(BodyError::Broken)?;
    let body = request.into_body();
    let is_too_long = body.size_hint().lower() > limit as u64;
    account.state.start_body();
    let read = async {
        if is_too_long {
            return Err(BodyError::TooLong { limit });
        }
        tokio::select! {
            biased;
            () = account.state.wait_evicted() => Err(BodyError::NoMemory),
            charged = collect(body, &account, limit) => charged,
        }
    };
    let read = tokio::time::timeout(time, read).await;
    match read.unwrap_or(Err(BodyError::TooSlow)) {
        Ok(charged) => Ok(RequestBody {
            bytes: account.state.end_body(),
            _charged: Some(charged),
        }),
        Err(error) => {
            refuse(&account, error);
            Err(error)
        }
    }
}

/// Appends the parts of a body as they arrive; returns the charge for all of them.
async fn collect(
    mut body: Incoming,
    account: &RequestAccount,
    limit: usize,
) -> Result<ChargedBytes, BodyError> {
    let mut charged = account.start_charge();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(BodyError::Broken);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length > limit {
            return Err(BodyError::TooLong { limit });
        }
        let missing = account.state.missing_block_bytes(data.len());
        charged.grow(missing).map_err(|_| BodyError::NoMemory)?;
        account.state.append(&data);
    }
    Ok(charged)
}

fn refuse(account: &RequestAccount, error: BodyError) {
    let reason = match error {
        BodyError::TooLong { .. } => Some(CloseReason::BodyTooLong),
        BodyError::TooSlow => Some(CloseReason::BodyTooSlow),
        // The connection that had to make room is counted by the table.
        BodyError::NoMemory if account.state.is_evicted() => None,
        BodyError::NoMemory => Some(CloseReason::NoMemory),
        BodyError::Broken => None,
    };
    if let Some(reason) = reason {
        account.record(reason);
    }
    account.state.refuse_body();
}
