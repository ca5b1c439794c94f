use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use mastknot_runtime::{HttpServer, ResponseBody, empty_response, json_response, read_body};
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::ResultExt;
use tokio::net::TcpListener;

use super::{StartRecord, WorkerFaults};
use crate::StandInError;
use crate::error::ListenSnafu;

/// The longest task body.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// How long a body may take.
const BODY_TIME: Duration = Duration::from_secs(5);
/// The longest that a task can ask to run.
const MAX_RUN_MS: u64 = 60_000;

#[derive(Debug, Default)]
struct State {
    faults: WorkerFaults,
    record: StartRecord,
    /// Whether starts are recorded; a bench of millions switches it off.
    is_recording: bool,
}

type Shared = Arc<Mutex<State>>;

/// What a task asks of the worker.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Work {
    /// How long it runs, in milliseconds.
    ms: u64,
    /// What it answers.
    value: Value,
}

/// A worker in this process.
#[derive(Debug)]
pub struct WorkerStandIn {
    server: HttpServer,
    state: Shared,
}

impl WorkerStandIn {
    /// Starts a worker at an address; port 0 takes a free one.
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

    /// The address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what it does wrong.
    pub fn set_faults(&self, faults: WorkerFaults) {
        lock(&self.state).faults = faults;
    }

    /// Switches the record of starts on or off.
    pub fn set_recording(&self, is_recording: bool) {
        lock(&self.state).is_recording = is_recording;
    }

    /// The starts so far.
    pub fn record(&self) -> StartRecord {
        lock(&self.state).record.clone()
    }

    /// Stops listening at once.
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
    let Ok(bytes) = read_body(request.into_body(), MAX_BODY, BODY_TIME).await else {
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
            state.record.note(task);
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
        // The connection breaks: hyper drops it when a handler panics in its task.
        std::panic::resume_unwind(Box::new("answer lost on request"));
    }
    json_response(StatusCode::OK, &json!({ "value": work.value }))
}

/// The answer that says, for certain, that the task was not run.
fn declined() -> Response<ResponseBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let value = HeaderValue::from_static("true");
    response.headers_mut().insert("mastknot-not-run", value);
    response
}
