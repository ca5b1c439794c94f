//! Invalid input is answered with a typed error and starts no task, and the process keeps working.

mod common;

use bytes::BytesMut;
use common::{harness, job, key, post};
use expect_test::expect;
use mastknot_harness::Harness;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Returns state, reason and `ran` of an answer, without the key.
fn answer_summary(body: &Value) -> String {
    let field = |name: &str| body[name].as_str().unwrap_or("-").to_owned();
    let reason = if body["reason"].is_null() {
        field("error")
    } else {
        field("reason")
    };
    format!("{} {} {}", field("state"), reason, field("ran"))
}

async fn assert_still_works(harness: &Harness) {
    let answer = post(harness, &job(&key(0), 2)).await;
    assert_eq!(answer.state(), "complete", "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_submissions_are_refused_and_run_nothing() {
    let harness = harness().await;
    let no_service = json!({ "service": "none" });
    let changed = |change: Value| {
        let mut body = job(&key(0), 1);
        body.as_object_mut()
            .unwrap()
            .extend(change.as_object().unwrap().clone());
        body
    };
    let cases = [
        ("no task", job(&key(0), 0)),
        ("1,001 tasks", job(&key(0), 1_001)),
        ("unknown service", changed(no_service)),
        ("key from the future", job(&key(60_000), 1)),
        ("key too old", job(&key(-3_600_000), 1)),
        (
            "key of no time",
            job("6f9619ff-8b86-4d01-b42d-00c04fc964ff", 1),
        ),
        ("unknown field", changed(json!({ "priority": 3 }))),
        ("deadline of zero", changed(json!({ "deadline_ms": 0 }))),
        ("empty team", changed(json!({ "team": "" }))),
    ];
    let mut seen = String::new();
    for (name, body) in cases {
        let answer = post(&harness, &body).await;
        let status = answer.status.as_u16();
        seen += &format!("{name}: {status} {}\n", answer_summary(&answer.body));
    }
    expect![[r#"
        no task: 400 refused bad_task_count not_run
        1,001 tasks: 400 refused bad_task_count not_run
        unknown service: 404 refused unknown_service not_run
        key from the future: 400 refused key_from_future not_run
        key too old: 400 refused key_too_old unknown
        key of no time: 400 error malformed not_run
        unknown field: 400 error malformed not_run
        deadline of zero: 400 error malformed not_run
        empty team: 400 error malformed not_run
    "#]]
    .assert_eq(&seen);
    assert_eq!(harness.starts().total(), 0);
    assert_still_works(&harness).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused() {
    let harness = harness().await;
    let mut body = job(&key(0), 1);
    body["tasks"] = json!(["x".repeat(5 * 1024 * 1024)]);
    let answer = post(&harness, &body).await;
    assert_eq!(
        (answer.status.as_u16(), answer.text("error")),
        (413, "body_too_long")
    );
    assert_eq!(harness.starts().total(), 0);
    assert_still_works(&harness).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reused_key_is_refused_by_either_entry() {
    let harness = harness().await;
    let key = key(0);
    assert_eq!(post(&harness, &job(&key, 2)).await.state(), "complete");
    for entry in harness.callers() {
        let answer = harness.client.post(entry, "/v1/jobs", &job(&key, 3)).await;
        assert_eq!(
            answer_summary(&answer.unwrap().body),
            "refused key_reused not_run"
        );
    }
    assert_eq!(harness.starts().total(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_any_listener_ends_only_its_own_connection() {
    let harness = harness().await;
    let entry = harness.entry(0).unwrap();
    let listeners = [
        entry.callers_address(),
        entry.operators_address(),
        entry.metrics_address(),
        entry.links_address(),
    ];
    for address in listeners {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&[0xff; 4096]).await.unwrap();
        let mut rest = Vec::new();
        // The entry may either close or reset the connection.
        let _ = stream.read_to_end(&mut rest).await;
    }
    assert_still_works(&harness).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_oversized_frame_is_refused_before_it_is_read() {
    let mut decoder = mastknot_wire::FrameDecoder::default();
    let mut bytes = BytesMut::new();
    bytes.extend_from_slice(&u32::MAX.to_be_bytes());
    decoder.push(&bytes);
    let problem = decoder
        .next::<mastknot_core::message::EntryMessage>()
        .unwrap_err();
    expect!["a frame of 4294967295 bytes is longer than the allowed 16777216"]
        .assert_eq(&problem.to_string());
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_resources_are_refused_whole_and_name_the_field() {
    let harness = harness().await;
    let cases = [
        ("service", "x", json!({ "path": "run" })),
        (
            "service",
            "x",
            json!({ "path": "/run", "max_deadline_ms": 0 }),
        ),
        ("service", "x", json!({ "path": "/run", "timeout": "5s" })),
        ("team", "x", json!({ "quota": 0 })),
        ("team", "x", json!({ "quota": "many" })),
        ("planet", "x", json!({})),
    ];
    let mut seen = String::new();
    for (kind, name, value) in cases {
        let answer = harness.put(kind, name, 0, value).await.unwrap();
        let status = answer.status.as_u16();
        seen += &format!("{kind}: {status} {}\n", answer.text("problem"));
    }
    expect![[r#"
        service: 400 `value.path` is run, allowed is a path that begins with `/`
        service: 400 `value.max_deadline_ms` is 0, allowed is 1 to 600000
        service: 400 `value`: unknown field `timeout`, expected one of `path`, `repeatable`, `max_deadline_ms`, `typical_ms`, `accelerators`, `memory_mib`
        team: 400 `value.quota` is 0, allowed is 1 to 1000000
        team: 400 `value`: invalid type: string "many", expected u32
        planet: 400 unknown kind "planet"; the kinds are service, team, profile, configuration, drained-hall, hall-share
    "#]].assert_eq(&seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_operators_at_once_make_one_conflict_that_names_the_field() {
    let harness = harness().await;
    let first = harness.put("team", "t", 0, json!({ "quota": 5 })).await;
    let second = harness.put("team", "t", 0, json!({ "quota": 6 })).await;
    assert!(first.unwrap().status.is_success());
    let second = second.unwrap();
    assert_eq!(second.status.as_u16(), 409);
    assert_eq!(second.body["changed"], json!(["/quota"]));
}
