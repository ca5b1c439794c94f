//! Callers that repeat a submission until they have a final answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mastknot_client::Client;
use mastknot_standin::WorkerStandIn;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::audit::CallerResult;
use crate::keys::new_key;

/// Deadline of each submission.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time after the deadline of a submission until its answer must have been received, which covers
/// the connection.
const GRACE: Duration = Duration::from_secs(3);
/// Pause before a submission is sent again if the answer names no retry time.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time after which a caller gives up on a final answer.
const MAX_RETRY_TIME: Duration = Duration::from_secs(12);
/// Time after which a caller gives up whose last call got no answer.
const MAX_RETRY_TIME_UNANSWERED: Duration = Duration::from_secs(45);

/// Runs one caller. Callers take turns: the first sends a job, the second a payment, and the third
/// a request to a repeatable service.
pub(super) async fn call(
    client: Client,
    entries: Vec<SocketAddr>,
    workers: Arc<Vec<WorkerStandIn>>,
    number: usize,
    run_started: Instant,
) -> CallerResult {
    let key = new_key().to_string();
    let value = format!("value of {key}");
    let work = json!({ "ms": 60, "value": value });
    let (path, body, tasks) = match number % 3 {
        0 => ("/v1/jobs", job(&key, &work), 6),
        1 => ("/v1/services/pay/requests", request(&key, &work), 1),
        _ => ("/v1/services/look/requests", request(&key, &work), 1),
    };
    let sent_at_ms = run_started.elapsed().as_millis() as u64;
    let started = Instant::now();
    let mut result = CallerResult {
        key,
        tasks,
        is_repeatable: number % 3 == 2,
        value,
        body: None,
        millis: 0,
        sent_at_ms,
        is_past_deadline: false,
        false_not_run: 0,
    };
    let mut attempt = number;
    // A caller whose last call reached a paused process continues until a running process answers.
    while started.elapsed() < MAX_RETRY_TIME
        || (result.is_past_deadline && started.elapsed() < MAX_RETRY_TIME_UNANSWERED)
    {
        let entry = entries[attempt % entries.len()];
        attempt += 1;
        let posted = client.post(entry, path, &body);
        let answered = tokio::time::timeout(DEADLINE + GRACE, posted).await;
        let Ok(answered) = answered else {
            // The connection is open but no answer came in time. This is a violation unless the
            // called process is paused.
            result.is_past_deadline = true;
            result.body = None;
            continue;
        };
        result.is_past_deadline = false;
        result.body = answered.ok().map(|answer| answer.body);
        let is_not_run = result.body.as_ref().is_some_and(|b| b["ran"] == "not_run");
        if is_not_run && has_started(&workers, &result.key) {
            result.false_not_run += 1;
        }
        if is_final(&result) {
            break;
        }
        let retry_after_ms = result
            .body
            .as_ref()
            .and_then(|b| b["retry_after_ms"].as_u64());
        sleep(retry_after_ms.map_or(RETRY_PAUSE, Duration::from_millis)).await;
    }
    result.millis = started.elapsed().as_millis() as u64;
    result
}

/// Returns whether a worker has started any task of a submission.
fn has_started(workers: &[WorkerStandIn], key: &str) -> bool {
    let records = workers.iter().map(WorkerStandIn::record);
    let mut tasks = records.flat_map(|record| record.starts.into_keys());
    tasks.any(|task| task.starts_with(key))
}

/// Returns whether an answer is final: complete and failed are, a refusal or a broken connection is
/// not.
fn is_final(result: &CallerResult) -> bool {
    matches!(result.state(), "complete" | "failed")
}

fn job(key: &str, work: &Value) -> Value {
    json!({
        "key": key,
        "team": "team",
        "customer": "customer",
        "service": "pay",
        "deadline_ms": DEADLINE.as_millis() as u64,
        "tasks": vec![work.clone(); 6],
    })
}

fn request(key: &str, work: &Value) -> Value {
    json!({
        "key": key,
        "team": "team",
        "customer": "customer",
        "deadline_ms": DEADLINE.as_millis() as u64,
        "body": work,
    })
}
