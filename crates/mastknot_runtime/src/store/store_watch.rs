use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::ResultExt;

use super::store_error::{CompactedSnafu, CutShortSnafu, MalformedSnafu};
use super::wire::WatchEnvelope;
use super::{StoreError, StoredValue};

/// One change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchItem {
    /// A key was written.
    Put(StoredValue),
    /// A key was deleted at the revision of the value, whose bytes are empty.
    Delete(StoredValue),
}

/// What a watch sent at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// The store's revision when it was sent.
    pub revision: u64,
    /// The changes; none when the watch was only opened.
    pub items: Vec<WatchItem>,
}

/// A watch that stands.
///
/// > **Caution:** a watch can skip, repeat or end silently. Compare revisions.
#[derive(Debug)]
pub struct StoreWatch {
    body: Incoming,
    buffer: BytesMut,
}

impl StoreWatch {
    pub(super) fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// The next event; none when the store has ended the watch.
    pub async fn next(&mut self) -> Result<Option<WatchEvent>, StoreError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return parse(&line).map(Some);
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let Ok(frame) = frame else {
                return CutShortSnafu.fail();
            };
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}

fn parse(line: &[u8]) -> Result<WatchEvent, StoreError> {
    let envelope: WatchEnvelope = serde_json::from_slice(line).context(MalformedSnafu)?;
    let response = envelope.result;
    if response.canceled {
        let oldest: u64 = response.compact_revision.parse().unwrap_or(0);
        return CompactedSnafu { oldest }.fail();
    }
    let item = |event: &super::wire::Event| {
        let value = event.kv.to_stored()?;
        Ok(match event.kind.as_str() {
            "DELETE" => WatchItem::Delete(value),
            _ => WatchItem::Put(value),
        })
    };
    let items: Result<Vec<_>, StoreError> = response.events.iter().map(item).collect();
    Ok(WatchEvent {
        revision: response.header.revision(),
        items: items?,
    })
}
