use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use mastknot_runtime::{HttpServer, ResponseBody, empty_response, json_response, read_request};
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::ResultExt;
use tokio::net::TcpListener;

use super::{StartRecord, WorkerFaults};
use crate::StandInError;
use crate::error::ListenSnafu;

/// Maximum length of a task body, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// Timeout for receiving a task body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum run time of a task, in milliseconds.
const MAX_RUN_MS: u64 = 60_000;

#[derive(Debug, Default)]
struct State {
    faults: WorkerFaults,
    record: StartRecord,
    /// Whether starts are recorded. Benchmarks with millions of tasks switch the record off.
    is_recording: bool,
}

type Shared = Arc<Mutex<State>>;

/// Body of a task.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Work {
    /// Run time of the task, in milliseconds.
    ms: u64,
    /// Value that the worker returns.
    value: Value,
}

/// Worker that runs in this process.
#[derive(Debug)]
pub struct WorkerStandIn {
    server: HttpServer,
    state: Shared,
}

impl WorkerStandIn {
    /// Starts a worker on an address; port 0 selects a free port.
    pub async fn start(address: &str) -> Result<Self, StandInError> {
        let context = || ListenSnafu { address };
        let listener = TcpListener::bind(address)
            .await
            .with_context(|_| context())?;
        let state: Shared = Arc::default();
        lock(&state).is_recording = true;
        let shared = Arc::clone(&state);
        let server = HttpServer::start(listener, move |request| {
            handle(Arc::clone(&shared), request)
        });
        let server = server.with_context(|_| context())?;
        Ok(Self { server, state })
    }

    /// Returns the address on which the worker listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        lock(&self.state).faults = faults;
    }

    /// Switches the recording of starts on or off.
    pub fn set_recording(&self, is_recording: bool) {
        lock(&self.state).is_recording = is_recording;
    }

    /// Returns the starts recorded so far.
    pub fn record(&self) -> StartRecord {
        lock(&self.state).record.clone()
    }

    /// Stops the server at once.
    pub fn abort(&self) {
        self.server.abort();
    }
}

fn lock(state: &Shared) -> std::sync::MutexGuard<'_, State> {
    state
        .lock()
        .expect("no handler panics while it holds the lock")
}

async fn handle(state: Shared, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let task = task_of(&request);
    let Ok(bytes) = read_request(request, MAX_BODY, BODY_TIMEOUT).await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    match path.as_str() {
        "/control" => control(&state, &bytes),
        "/starts" => json_response(StatusCode::OK, &lock(&state).record),
        _ => run(state, &task, &bytes).await,
    }
}

fn task_of(request: &Request<Incoming>) -> String {
    let header = request.headers().get("mastknot-task");
    let text = header.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

fn control(state: &Shared, bytes: &[u8]) -> Response<ResponseBody> {
    let Ok(faults) = serde_json::from_slice::<WorkerFaults>(bytes) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    lock(state).faults = faults;
    json_response(StatusCode::OK, &faults)
}

async fn run(state: Shared, task: &str, bytes: &[u8]) -> Response<ResponseBody> {
    let work: Work = serde_json::from_slice(bytes).unwrap_or_default();
    let faults = {
        let mut state = lock(&state);
        if state.faults.is_declining {
            return declined();
        }
        if state.is_recording {
            state.record.record_start(task);
        }
        let faults = state.faults;
        state.faults.lose_answers = faults.lose_answers.saturating_sub(1);
        faults
    };
    if faults.is_failing {
        let error = json!({ "error": "told to fail" });
        return json_response(StatusCode::INTERNAL_SERVER_ERROR, &error);
    }
    let percent = if faults.slow_percent == 0 {
        100
    } else {
        u64::from(faults.slow_percent)
    };
    let run_ms = (work.ms * percent / 100).min(MAX_RUN_MS);
    if run_ms > 0 {
        tokio::time::sleep(Duration::from_millis(run_ms)).await;
    }
    if faults.lose_answers > 0 {
        // Closes the connection without an answer: hyper drops it when the task of its handler
        // panics.
        std::panic::resume_unwind(Box::new("answer lost on request"));
    }
    json_response(StatusCode::OK, &json!({ "value": work.value }))
}

/// Returns the answer that guarantees that the task was not run.
fn declined() -> Response<ResponseBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let value = HeaderValue::from_static("true");
    response.headers_mut().insert("mastknot-not-run", value);
    response
}
