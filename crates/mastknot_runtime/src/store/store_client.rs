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

/// Maximum size of an answer, in bytes. An answer may hold all values of the configuration.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Maximum time for making a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A key in the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Key of the value.
    pub key: String,
    /// Bytes of the value.
    pub value: Vec<u8>,
    /// Revision of the store at which the key was last written.
    pub revision: u64,
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The value was written at this revision.
    Swapped(u64),
    /// The key was not at the expected revision, so nothing was written.
    NotSwapped,
}

/// Client of the store that counts its calls.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    base: String,
    timeout: Duration,
    calls: Arc<StoreCalls>,
}

impl StoreClient {
    /// Creates a client of the store at `address`. A call waits for its answer for at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http: plain_client(CONNECT_TIMEOUT),
            base: format!("http://{address}"),
            timeout,
            calls: Arc::default(),
        }
    }

    /// Returns the counters of calls.
    pub fn calls(&self) -> &Arc<StoreCalls> {
        &self.calls
    }

    /// Reads one key, with a linearizable read. Returns `None` if the key does not exist.
    pub async fn get(
        &self,
        reason: StoreReason,
        key: &str,
    ) -> Result<Option<StoredValue>, StoreError> {
        let body = json!({ "key": encode(key) });
        let found: RangeResponse = self.call(reason, "/v3/kv/range", &body).await?;
        found.kvs.first().map(|kv| kv.to_stored()).transpose()
    }

    /// Reads all keys with a prefix, with a linearizable read. Returns them with the revision of the store.
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

    /// Returns the highest revision at which any key with a prefix was written, or 0 if there is no key.
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

    /// Writes a key if it is still at `expected_revision`; zero means that the key must not exist.
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

    /// Opens a watch on all keys with a prefix, which starts at `from_revision`.
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
        let bytes = read_body(response.into_body(), MAX_ANSWER_BYTES, self.timeout).await;
        let bytes = bytes.map_err(|_| {
            self.calls.record_failed();
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
        self.calls.record(reason);
        let result = self.try_send(path, body).await;
        if result.is_err() {
            self.calls.record_failed();
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
        let sent = tokio::time::timeout(self.timeout, self.http.request(request)).await;
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
