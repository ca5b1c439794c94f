use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::ResultExt;

use super::store_error::{CompactedSnafu, CutShortSnafu, MalformedSnafu};
use super::wire::WatchEnvelope;
use super::{StoreError, StoredValue};

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchItem {
    /// A key was written.
    Put(StoredValue),
    /// A key was deleted. The value has the revision of the deletion and no bytes.
    Delete(StoredValue),
}

/// Changes that a watch reports together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// Revision of the store when the event was sent.
    pub revision: u64,
    /// Changes in their order; empty in the event that confirms the opening of the watch.
    pub items: Vec<WatchItem>,
}

/// An open watch.
///
/// > **Caution:** a watch can skip or repeat changes, or end silently. Compare revisions.
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

    /// Waits for the next event; returns `None` when the store has ended the watch.
    ///
    /// Fails if the connection breaks, the event can't be read, or the requested revision has been compacted.
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
