use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use snafu::ResultExt;

use super::store_error::{MalformedSnafu, StatusSnafu, TimeoutSnafu, UnreachableSnafu};
use super::wire::{RangeResponse, TxnResponse, encode, prefix_end};
use super::{StoreCalls, StoreError, StoreReason, StoreWatch};
use crate::http::{HttpClient, plain_client, read_body};

/// The longest answer that is read: every value of the configuration at once.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// The longest that a connection to the store may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// A value as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Its key.
    pub key: String,
    /// Its bytes.
    pub value: Vec<u8>,
    /// The revision of the store at which it was last written.
    pub revision: u64,
}

/// What a compare-and-swap did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// It took effect at this revision.
    Swapped(u64),
    /// The value was not at the expected revision; nothing changed.
    NotSwapped,
}

/// A client of the store that counts its calls.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    base: String,
    limit: Duration,
    calls: Arc<StoreCalls>,
}

impl StoreClient {
    /// A client of the store at `address`; a call is given up on after `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self {
            http: plain_client(CONNECT_LIMIT),
            base: format!("http://{address}"),
            limit,
            calls: Arc::default(),
        }
    }

    /// The counts of its calls.
    pub fn calls(&self) -> &Arc<StoreCalls> {
        &self.calls
    }

    /// Reads one key, consistently.
    pub async fn get(
        &self,
        reason: StoreReason,
        key: &str,
    ) -> Result<Option<StoredValue>, StoreError> {
        let body = json!({ "key": encode(key) });
        let found: RangeResponse = self.call(reason, "/v3/kv/range", &body).await?;
        found.kvs.first().map(|kv| kv.to_stored()).transpose()
    }

    /// Reads all keys of a prefix, consistently, with the store's revision.
    pub async fn list(
        &self,
        reason: StoreReason,
        prefix: &str,
    ) -> Result<(u64, Vec<StoredValue>), StoreError> {
        let body = json!({ "key": encode(prefix), "range_end": encode(prefix_end(prefix)) });
        let found: RangeResponse = self.call(reason, "/v3/kv/range", &body).await?;
        let values: Result<Vec<_>, _> = found.kvs.iter().map(|kv| kv.to_stored()).collect();
        Ok((found.header.revision(), values?))
    }

    /// The highest revision at which any key of a prefix was written.
    pub async fn newest(&self, reason: StoreReason, prefix: &str) -> Result<u64, StoreError> {
        let body = json!({
            "key": encode(prefix),
            "range_end": encode(prefix_end(prefix)),
            "limit": "1",
            "sort_order": "DESCEND",
            "sort_target": "MOD",
            "keys_only": true,
        });
        let found: RangeResponse = self.call(reason, "/v3/kv/range", &body).await?;
        let newest = found.kvs.first().map(|kv| kv.to_stored()).transpose()?;
        Ok(newest.map_or(0, |value| value.revision))
    }

    /// Writes a key if it is still at `expected_revision`; zero means that it must not exist.
    pub async fn swap(
        &self,
        reason: StoreReason,
        key: &str,
        expected_revision: u64,
        value: &[u8],
    ) -> Result<SwapResult, StoreError> {
        let body = json!({
            "compare": [{
                "key": encode(key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": expected_revision.to_string(),
            }],
            "success": [{ "request_put": { "key": encode(key), "value": encode(value) } }],
        });
        let done: TxnResponse = self.call(reason, "/v3/kv/txn", &body).await?;
        if done.succeeded {
            return Ok(SwapResult::Swapped(done.header.revision()));
        }
        Ok(SwapResult::NotSwapped)
    }

    /// Watches all keys of a prefix from a revision on.
    pub async fn watch(&self, prefix: &str, from_revision: u64) -> Result<StoreWatch, StoreError> {
        let body = json!({ "create_request": {
            "key": encode(prefix),
            "range_end": encode(prefix_end(prefix)),
            "start_revision": from_revision.to_string(),
        } });
        let response = self
            .send(StoreReason::WatchConfig, "/v3/watch", &body)
            .await?;
        Ok(StoreWatch::new(response.into_body()))
    }

    async fn call<T: DeserializeOwned>(
        &self,
        reason: StoreReason,
        path: &str,
        body: &Value,
    ) -> Result<T, StoreError> {
        let response = self.send(reason, path, body).await?;
        let bytes = read_body(response.into_body(), MAX_ANSWER_BYTES, self.limit).await;
        let bytes = bytes.map_err(|_| {
            self.calls.note_failed();
            StoreError::CutShort
        })?;
        serde_json::from_slice(&bytes).context(MalformedSnafu)
    }

    async fn send(
        &self,
        reason: StoreReason,
        path: &str,
        body: &Value,
    ) -> Result<Response<Incoming>, StoreError> {
        self.calls.note(reason);
        let result = self.try_send(path, body).await;
        if result.is_err() {
            self.calls.note_failed();
        }
        result
    }

    async fn try_send(&self, path: &str, body: &Value) -> Result<Response<Incoming>, StoreError> {
        let bytes = Bytes::from(body.to_string());
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("{}{path}", self.base))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(bytes))
            .expect("the parts of the request are valid");
        let sent = tokio::time::timeout(self.limit, self.http.request(request)).await;
        let Ok(response) = sent else {
            return TimeoutSnafu.fail();
        };
        let response = response.context(UnreachableSnafu)?;
        let status = response.status();
        if !status.is_success() {
            return StatusSnafu { status }.fail();
        }
        Ok(response)
    }
}
