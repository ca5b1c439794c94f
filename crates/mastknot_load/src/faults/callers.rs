//! Callers that submit, and submit the same again until they have a final answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mastknot_client::Client;
use mastknot_standin::WorkerStandIn;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::audit::Told;
use crate::keys::new_key;

/// The deadline of each submission.
const DEADLINE: Duration = Duration::from_secs(5);
/// How long after its deadline an answer may take, connection and all.
const GRACE: Duration = Duration::from_secs(3);
/// The pause before a submission is sent again without advice.
const PAUSE: Duration = Duration::from_millis(300);
/// How long a caller goes on submitting before it gives up on a final answer.
const PERSISTENCE: Duration = Duration::from_secs(12);
/// How long one goes on that was left without an answer by the last process that it asked.
const LONGEST_PERSISTENCE: Duration = Duration::from_secs(45);

/// One caller: every third sends a job, a payment, or a request that may be repeated.
pub(super) async fn call(
    client: Client,
    entries: Vec<SocketAddr>,
    workers: Arc<Vec<WorkerStandIn>>,
    number: usize,
    began: Instant,
) -> Told {
    let key = new_key().to_string();
    let value = format!("value of {key}");
    let work = json!({ "ms": 60, "value": value });
    let (path, body, tasks) = match number % 3 {
        0 => ("/v1/jobs", job(&key, &work), 6),
        1 => ("/v1/services/pay/requests", request(&key, &work), 1),
        _ => ("/v1/services/look/requests", request(&key, &work), 1),
    };
    let sent_at_ms = began.elapsed().as_millis() as u64;
    let started = Instant::now();
    let mut told = Told {
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
    // One that has met a paused process goes on until a process that runs has answered.
    while started.elapsed() < PERSISTENCE
        || (told.is_past_deadline && started.elapsed() < LONGEST_PERSISTENCE)
    {
        let entry = entries[attempt % entries.len()];
        attempt += 1;
        let posted = client.post(entry, path, &body);
        let answered = tokio::time::timeout(DEADLINE + GRACE, posted).await;
        let Ok(answered) = answered else {
            // The connection stands and nothing came: this is what must not happen, unless the
            // process at its other end is paused.
            told.is_past_deadline = true;
            told.body = None;
            continue;
        };
        told.is_past_deadline = false;
        told.body = answered.ok().map(|answer| answer.body);
        let is_not_run = told.body.as_ref().is_some_and(|b| b["ran"] == "not_run");
        if is_not_run && has_started(&workers, &told.key) {
            told.false_not_run += 1;
        }
        if is_final(&told) {
            break;
        }
        let advice = told
            .body
            .as_ref()
            .and_then(|b| b["retry_after_ms"].as_u64());
        sleep(advice.map_or(PAUSE, Duration::from_millis)).await;
    }
    told.millis = started.elapsed().as_millis() as u64;
    told
}

/// Whether any task of a submission has truly been started by now.
fn has_started(workers: &[WorkerStandIn], key: &str) -> bool {
    let records = workers.iter().map(WorkerStandIn::record);
    let mut tasks = records.flat_map(|record| record.starts.into_keys());
    tasks.any(|task| task.starts_with(key))
}

/// Complete and failed are final; a refusal or a broken connection is not.
fn is_final(told: &Told) -> bool {
    matches!(told.state(), "complete" | "failed")
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
