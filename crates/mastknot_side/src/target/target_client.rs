use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use mastknot_core::message::{NotRunReason, TaskOrder, TaskOutcome, TaskResult};
use mastknot_runtime::{HttpClient, plain_client, read_body};

/// Maximum time to connect to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a target's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Response header by which a target reports that it has not run the task.
const NOT_RUN_HEADER: &str = "mastknot-not-run";

/// HTTP client that runs tasks on one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetClient {
    http: HttpClient,
    base: Arc<str>,
}

impl TargetClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            http: plain_client(CONNECT_TIMEOUT),
            base: format!("http://{address}").into(),
        }
    }

    /// Runs a task once and returns its outcome.
    ///
    /// The outcome is `NotRun` only if it is certain that the target has not run the task.
    pub(crate) async fn run(&self, path: &str, order: TaskOrder) -> TaskOutcome {
        let timeout = Duration::from_millis(u64::from(order.deadline_ms));
        let Some(request) = self.request(path, &order) else {
            return TaskOutcome::NotRun(NotRunReason::UnknownService);
        };
        match tokio::time::timeout(timeout, self.exchange(request, timeout)).await {
            Ok(outcome) => outcome,
            Err(_) => TaskOutcome::Stopped,
        }
    }

    fn request(&self, path: &str, order: &TaskOrder) -> Option<Request<Full<Bytes>>> {
        let task = format!("{}/{}", order.task.key, order.task.index);
        Request::builder()
            .method(Method::POST)
            .uri(format!("{}{path}", self.base))
            .header(header::CONTENT_TYPE, "application/json")
            .header("mastknot-task", task)
            .header("mastknot-deadline-ms", order.deadline_ms)
            .body(Full::new(Bytes::copy_from_slice(&order.payload)))
            .ok()
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, timeout: Duration) -> TaskOutcome {
        let response = match self.http.request(request).await {
            Ok(response) => response,
            // No connection was made, so the target has not received the task.
            Err(error) if error.is_connect() => {
                return TaskOutcome::NotRun(NotRunReason::TargetRefused);
            }
            Err(_) => return TaskOutcome::Lost,
        };
        if response.headers().contains_key(NOT_RUN_HEADER) {
            return TaskOutcome::NotRun(NotRunReason::TargetDeclined);
        }
        read_outcome(response, timeout).await
    }
}

async fn read_outcome(response: Response<Incoming>, timeout: Duration) -> TaskOutcome {
    let status = response.status().as_u16();
    match read_body(response.into_body(), MAX_ANSWER_BYTES, timeout).await {
        Ok(body) => TaskOutcome::Done(TaskResult {
            status,
            body: body.as_ref().into(),
        }),
        Err(_) => TaskOutcome::Lost,
    }
}
