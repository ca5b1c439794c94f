//! Operators drain a hall and return it to service through the resource interface, over real
//! sockets.

mod common;

use common::{harness, job, key, post};
use mastknot_harness::Harness;
use serde_json::{Value, json};

const KIND: &str = "drained-hall";

/// Returns the number of tasks that each worker has started.
fn starts(harness: &Harness) -> Vec<u64> {
    let workers = harness.workers.iter();
    workers.map(|worker| worker.record().total()).collect()
}

/// Returns a job of twelve tasks that run for 30 milliseconds each.
fn long_job() -> Value {
    let mut body = job(&key(0), 12);
    for task in body["tasks"].as_array_mut().unwrap() {
        task["ms"] = json!(30);
    }
    body
}

async fn version_of(harness: &Harness, hall: &str) -> u64 {
    let path = format!("/v1/resources/{KIND}/{hall}");
    let answer = harness.client.get(harness.operators()[0], &path).await;
    answer.unwrap().body["version"].as_u64().unwrap()
}

async fn return_to_service(harness: &Harness, hall: &str) {
    let version = version_of(harness, hall).await;
    let path = format!("/v1/resources/{KIND}/{hall}?version={version}");
    let answer = harness.client.delete(harness.operators()[0], &path).await;
    let answer = answer.unwrap();
    assert!(answer.status.is_success(), "{}", answer.body);
    let version = answer.body["version"].as_u64().unwrap();
    harness.wait_in_force(version).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_hall_starts_nothing_until_it_is_returned() {
    let harness = harness().await;
    assert_eq!(post(&harness, &job(&key(0), 8)).await.state(), "complete");
    let value = json!({ "since_ms": 1, "reason": "power" });
    harness.create(KIND, "hall-1", value).await.unwrap();
    let before = starts(&harness);
    for _ in 0..4 {
        assert_eq!(post(&harness, &job(&key(0), 6)).await.state(), "complete");
    }
    let drained = starts(&harness);
    assert_eq!(drained[0], before[0], "nothing starts in hall-1");
    assert!(drained[1] > before[1]);
    return_to_service(&harness, "hall-1").await;
    // The twelve tasks of a long job fill the four slots of the other hall three times over.
    let mut jobs = 0;
    while starts(&harness)[0] == drained[0] {
        jobs += 1;
        assert!(jobs <= 20, "hall-1 takes work again");
        assert_eq!(post(&harness, &long_job()).await.state(), "complete");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_drained_hall_is_refused() {
    let harness = harness().await;
    for value in [
        json!({ "since": 1 }),
        json!({ "since_ms": "now" }),
        json!(3),
        Value::Null,
    ] {
        let answer = harness.put(KIND, "hall-1", 0, value).await.unwrap();
        assert_eq!(answer.status.as_u16(), 400, "{}", answer.body);
    }
    assert_eq!(post(&harness, &job(&key(0), 4)).await.state(), "complete");
}
