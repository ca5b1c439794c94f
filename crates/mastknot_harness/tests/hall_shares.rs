//! Operators set the weights of halls through the resource interface, over real sockets.

mod common;

use common::harness;
use serde_json::{Value, json};

const KIND: &str = "hall-share";

#[tokio::test(flavor = "multi_thread")]
async fn a_weight_is_kept_and_shown() {
    let harness = harness().await;
    for weight in [1, 10_000] {
        let hall = format!("hall-{weight}");
        let value = json!({ "weight": weight });
        harness.create(KIND, &hall, value.clone()).await.unwrap();
        let path = format!("/v1/resources/{KIND}/{hall}");
        let answer = harness.client.get(harness.operators()[0], &path).await;
        assert_eq!(answer.unwrap().body["value"], value);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_weight_is_refused() {
    let harness = harness().await;
    for value in [
        json!({ "weight": 0 }),
        json!({ "weight": 10_001 }),
        json!({ "weight": -1 }),
        json!({ "weight": "300" }),
        json!({ "weight": 300, "of": "hall-1" }),
        json!({}),
        json!(300),
        Value::Null,
    ] {
        let answer = harness.put(KIND, "hall-1", 0, value).await.unwrap();
        assert_eq!(answer.status.as_u16(), 400, "{}", answer.body);
    }
}
