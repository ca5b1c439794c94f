//! An entry owns the keys that it issues, so that jobs with such keys are not forwarded.

mod common;

use common::{harness, job};

#[tokio::test(flavor = "multi_thread")]
async fn a_job_with_an_issued_key_is_not_forwarded() {
    let harness = harness().await;
    for (index, callers) in harness.callers().into_iter().enumerate() {
        let issued = harness
            .client
            .get(callers, "/v1/keys?count=5")
            .await
            .unwrap();
        let keys = issued.body["keys"].as_array().unwrap().clone();
        assert_eq!(keys.len(), 5);
        for key in keys {
            let body = job(key.as_str().unwrap(), 2);
            let answer = harness.client.post(callers, "/v1/jobs", &body).await;
            assert_eq!(answer.unwrap().state(), "complete");
        }
        let metrics = harness.entry(index).unwrap().metrics_address();
        let counters = harness.client.get(metrics, "/metrics").await.unwrap();
        assert_eq!(counters.body["entry"]["forwarded"], 0);
        assert_eq!(counters.body["entry"]["accepted"], 5);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_count_of_keys_is_refused() {
    let harness = harness().await;
    for count in ["0", "1001", "many"] {
        let path = format!("/v1/keys?count={count}");
        let answer = harness.client.get(harness.callers()[0], &path).await;
        assert_eq!(answer.unwrap().status.as_u16(), 400, "{count}");
    }
}
