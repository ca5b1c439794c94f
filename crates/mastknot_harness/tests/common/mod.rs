//! Helpers shared by the tests that use real sockets.
#![allow(dead_code)]

use std::time::{SystemTime, UNIX_EPOCH};

use mastknot_client::Answer;
use mastknot_core::types::{SubmissionKey, WallTime};
use mastknot_harness::{Harness, Plan};
use serde_json::{Value, json};

/// Returns a new key whose time differs from now by `offset_ms` milliseconds.
pub fn key(offset_ms: i64) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let millis = (since_epoch.as_millis() as u64).saturating_add_signed(offset_ms);
    SubmissionKey::new(WallTime::from_millis(millis), rand::random()).to_string()
}

/// Returns a job of `count` tasks that end at once.
pub fn job(key: &str, count: usize) -> Value {
    json!({
        "key": key,
        "team": "team",
        "customer": "customer",
        "service": "pay",
        "tasks": (0..count).map(|index| json!({ "ms": 0, "value": index })).collect::<Vec<_>>(),
    })
}

/// Starts two entries and two sides with the service `pay`.
pub async fn harness() -> Harness {
    let plan = Plan::new(["hall-1", "hall-2"]).entries(2).sides(2).slots(4);
    let harness = Harness::start(plan).await.unwrap();
    let pay = json!({ "path": "/pay" });
    harness.create("service", "pay", pay).await.unwrap();
    harness
}

/// Submits a job to the first entry and returns the answer.
pub async fn post(harness: &Harness, body: &Value) -> Answer {
    let entry = harness.callers()[0];
    harness.client.post(entry, "/v1/jobs", body).await.unwrap()
}
