use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use mastknot_runtime::{HttpClient, plain_client, read_body};
use serde_json::Value;
use snafu::ResultExt;

use crate::error::{MalformedSnafu, RequestSnafu};
use crate::{Answer, ClientError, Watch};

/// Maximum time for making a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// HTTP client for calls to entries. It keeps connections open for reuse and never retries a request by itself.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    timeout: Duration,
}

impl Client {
    /// Creates a client that waits for an answer for at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            http: plain_client(CONNECT_TIMEOUT),
            timeout,
        }
    }

    /// Sends a GET request for `path`.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Answer, ClientError> {
        self.call(address, Method::GET, path, None).await
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Answer, ClientError> {
        self.call(address, Method::POST, path, Some(body)).await
    }

    /// Sends a PUT request with a JSON body.
    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Answer, ClientError> {
        self.call(address, Method::PUT, path, Some(body)).await
    }

    /// Sends a DELETE request for `path`.
    pub async fn delete(&self, address: SocketAddr, path: &str) -> Result<Answer, ClientError> {
        self.call(address, Method::DELETE, path, None).await
    }

    /// Opens a watch at `path`, whose body continues until the entry ends it.
    pub async fn watch(&self, address: SocketAddr, path: &str) -> Result<Watch, ClientError> {
        let response = self.send(address, Method::GET, path, None).await?;
        Ok(Watch::new(address, response))
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Answer, ClientError> {
        let called = self.try_call(address, method, path, body);
        match tokio::time::timeout(self.timeout, called).await {
            Ok(answer) => answer,
            Err(_) => Err(ClientError::Timeout {
                address: address.to_string(),
            }),
        }
    }

    async fn try_call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Answer, ClientError> {
        let response = self.send(address, method, path, body).await?;
        let status = response.status();
        let bytes = read_body(response.into_body(), MAX_ANSWER_BYTES, self.timeout).await;
        let address = address.to_string();
        let Ok(bytes) = bytes else {
            return Err(ClientError::CutShort { address });
        };
        let body = if bytes.is_empty() {
            Value::Null
        } else {
            serde_json::from_slice(&bytes).context(MalformedSnafu { address })?
        };
        Ok(Answer { status, body })
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Response<Incoming>, ClientError> {
        let bytes = body.map(|body| Bytes::from(body.to_string()));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(bytes.unwrap_or_default()))
            .context(RequestSnafu)?;
        let address = address.to_string();
        self.http.request(request).await.map_err(|source| {
            if source.is_connect() {
                ClientError::NotConnected { address, source }
            } else {
                ClientError::Broken { address, source }
            }
        })
    }
}
