use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::stream;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use mastknot_runtime::{
    ResponseBody, empty_response, json_response, read_request, stream_response,
};
use serde_json::{Value, json};

use super::StoreFaults;
use super::state::{Change, State};

/// Maximum length of a request body, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) type Shared = Arc<Mutex<State>>;

fn lock(state: &Shared) -> std::sync::MutexGuard<'_, State> {
    state
        .lock()
        .expect("no handler panics while it holds the lock")
}

pub(super) async fn handle(state: Shared, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let Ok(bytes) = read_request(request, MAX_BODY, BODY_TIMEOUT).await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let body: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    if path == "/control" {
        return control(&state, body);
    }
    if path == "/calls" {
        return json_response(StatusCode::OK, &lock(&state).calls);
    }
    let faults = record_call(&state, &path);
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.is_down {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match path.as_str() {
        "/v3/kv/range" => range(&state, &body, faults),
        "/v3/kv/txn" => txn(&state, &body),
        "/v3/watch" => watch(&state, &body),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn control(state: &Shared, body: Value) -> Response<ResponseBody> {
    let Ok(faults) = serde_json::from_value::<StoreFaults>(body) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let mut state = lock(state);
    state.faults = faults;
    // Wakes the tasks of open watches so that they apply the new faults.
    let revision = state.revision();
    state.revisions.send_replace(revision);
    json_response(StatusCode::OK, &faults)
}

fn record_call(state: &Shared, path: &str) -> StoreFaults {
    let mut state = lock(state);
    *state.calls.entry(path.to_owned()).or_default() += 1;
    state.faults
}

fn bytes_of(body: &Value, field: &str) -> Option<Vec<u8>> {
    STANDARD.decode(body.get(field)?.as_str()?).ok()
}

fn number_of(body: &Value, field: &str) -> u64 {
    let text = body.get(field).and_then(Value::as_str);
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn header(revision: u64) -> Value {
    json!({ "revision": revision.to_string() })
}

fn key_value(change: &Change) -> Value {
    json!({
        "key": STANDARD.encode(&change.key),
        "value": STANDARD.encode(change.value.as_deref().unwrap_or_default()),
        "mod_revision": change.revision.to_string(),
    })
}

fn range(state: &Shared, body: &Value, faults: StoreFaults) -> Response<ResponseBody> {
    let Some(from) = bytes_of(body, "key") else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let to = bytes_of(body, "range_end");
    let state = lock(state);
    // Only lists can be stale. Authority depends on reads of single keys, which are consistent.
    let stale = if to.is_some() {
        faults.stale_revisions
    } else {
        0
    };
    let at = state.revision().saturating_sub(stale);
    let mut found = state.range(&from, to.as_deref(), at);
    if body.get("sort_order").and_then(Value::as_str) == Some("DESCEND") {
        found.sort_by_key(|change| std::cmp::Reverse(change.revision));
    }
    let limit = number_of(body, "limit") as usize;
    if limit > 0 {
        found.truncate(limit);
    }
    let kvs: Vec<Value> = found.iter().map(key_value).collect();
    json_response(
        StatusCode::OK,
        &json!({ "header": header(at), "count": kvs.len().to_string(), "kvs": kvs }),
    )
}

fn txn(state: &Shared, body: &Value) -> Response<ResponseBody> {
    let mut state = lock(state);
    let compares = body.get("compare").and_then(Value::as_array);
    let holds = |compare: &Value| {
        let key = bytes_of(compare, "key").unwrap_or_default();
        state.mod_revision(&key) == number_of(compare, "mod_revision")
    };
    let succeeded = compares.is_none_or(|list| list.iter().all(holds));
    if succeeded {
        let puts = body.get("success").and_then(Value::as_array);
        for put in puts.into_iter().flatten() {
            let put = put.get("request_put").unwrap_or(&Value::Null);
            let key = bytes_of(put, "key").unwrap_or_default();
            let value = bytes_of(put, "value").unwrap_or_default();
            state.put(key, Some(value));
        }
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return empty_response(StatusCode::GATEWAY_TIMEOUT);
        }
    }
    let answer = json!({ "header": header(state.revision()), "succeeded": succeeded });
    json_response(StatusCode::OK, &answer)
}

/// State of one open watch.
struct Watch {
    state: Shared,
    revisions: tokio::sync::watch::Receiver<u64>,
    from: Vec<u8>,
    to: Option<Vec<u8>>,
    next: u64,
    is_new: bool,
}

fn watch(state: &Shared, body: &Value) -> Response<ResponseBody> {
    let request = body.get("create_request").unwrap_or(&Value::Null);
    let Some(from) = bytes_of(request, "key") else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let start = number_of(request, "start_revision");
    let (revisions, revision) = {
        let state = lock(state);
        (state.revisions.subscribe(), state.revision())
    };
    let watch = Watch {
        state: Arc::clone(state),
        revisions,
        from,
        to: bytes_of(request, "range_end"),
        next: if start == 0 { revision + 1 } else { start },
        is_new: true,
    };
    stream_response(stream::unfold(watch, |mut watch| async move {
        let line = watch.next_line().await?;
        Some((line, watch))
    }))
}

impl Watch {
    async fn next_line(&mut self) -> Option<Bytes> {
        loop {
            if let Some(line) = self.poll_line()? {
                return Some(line);
            }
            self.revisions.changed().await.ok()?;
        }
    }

    /// Returns the next line, or `Some(None)` if there is nothing to report yet, or `None` if the
    /// watch ends.
    fn poll_line(&mut self) -> Option<Option<Bytes>> {
        self.revisions.mark_unchanged();
        let state = lock(&self.state);
        if state.faults.is_down {
            return None;
        }
        if state.faults.is_watch_silent {
            return Some(None);
        }
        let changes = state.since(&self.from, self.to.as_deref(), self.next);
        if changes.is_empty() && !self.is_new {
            return Some(None);
        }
        self.is_new = false;
        self.next = state.revision() + 1;
        let event = |change: &Change| {
            let kind = if change.value.is_some() {
                "PUT"
            } else {
                "DELETE"
            };
            json!({ "type": kind, "kv": key_value(change) })
        };
        let events: Vec<Value> = changes.iter().map(event).collect();
        let result = json!({ "header": header(state.revision()), "events": events });
        let mut line = json!({ "result": result }).to_string();
        line.push('\n');
        Some(Some(Bytes::from(line)))
    }
}
