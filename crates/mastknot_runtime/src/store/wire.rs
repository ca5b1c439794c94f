//! JSON bodies of the etcd gateway, which encodes 64-bit numbers as strings, and keys and values as base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use snafu::OptionExt;

use super::store_error::MalformedBase64Snafu;
use super::{StoreError, StoredValue};

pub(super) fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

fn decode(text: &str) -> Result<Vec<u8>, StoreError> {
    STANDARD.decode(text).ok().context(MalformedBase64Snafu)
}

fn decode_text(text: &str) -> Result<String, StoreError> {
    String::from_utf8(decode(text)?)
        .ok()
        .context(MalformedBase64Snafu)
}

/// Returns the end of the range of keys with a prefix: the first key after all of them.
pub(super) fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    revision: String,
}

impl Header {
    pub(super) fn revision(&self) -> u64 {
        self.revision.parse().unwrap_or(0)
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyValue {
    key: String,
    value: String,
    mod_revision: String,
}

impl KeyValue {
    pub(super) fn to_stored(&self) -> Result<StoredValue, StoreError> {
        Ok(StoredValue {
            key: decode_text(&self.key)?,
            value: decode(&self.value)?,
            revision: self.mod_revision.parse().unwrap_or(0),
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub(super) header: Header,
    pub(super) kvs: Vec<KeyValue>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    pub(super) header: Header,
    pub(super) succeeded: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchEnvelope {
    pub(super) result: WatchResponse,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) header: Header,
    pub(super) canceled: bool,
    pub(super) compact_revision: String,
    pub(super) events: Vec<Event>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Event {
    #[serde(rename = "type")]
    pub(super) kind: String,
    pub(super) kv: KeyValue,
}
