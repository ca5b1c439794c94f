use std::net::SocketAddr;

use bytes::BytesMut;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use snafu::ResultExt;

use crate::ClientError;
use crate::error::MalformedSnafu;

/// An open watch, which yields one JSON value per line.
#[derive(Debug)]
pub struct Watch {
    address: String,
    status: StatusCode,
    body: Incoming,
    buffer: BytesMut,
}

impl Watch {
    pub(crate) fn new(address: SocketAddr, response: Response<Incoming>) -> Self {
        Self {
            address: address.to_string(),
            status: response.status(),
            body: response.into_body(),
            buffer: BytesMut::new(),
        }
    }

    /// Returns the HTTP status. Status 410 means that the requested revision is too old and the caller has to list
    /// again.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Waits for the next line; returns `None` when the watch has ended.
    ///
    /// Fails if the connection breaks or the line is not valid JSON.
    pub async fn next(&mut self) -> Result<Option<Value>, ClientError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return self.parse(&line).map(Some);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) => {
                    let address = self.address.clone();
                    return Err(ClientError::CutShort { address });
                }
                None if self.buffer.is_empty() => return Ok(None),
                // An error answer is a single JSON object without a line break.
                None => {
                    let rest = self.buffer.split();
                    return self.parse(&rest).map(Some);
                }
            }
        }
    }

    fn parse(&self, line: &[u8]) -> Result<Value, ClientError> {
        let address = &self.address;
        serde_json::from_slice(line).context(MalformedSnafu { address })
    }
}
