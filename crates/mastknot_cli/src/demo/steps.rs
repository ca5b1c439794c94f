use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mastknot_client::Answer;
use mastknot_core::types::{SubmissionKey, WallTime};
use mastknot_harness::Harness;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::Reporter;
use crate::commands::sentence;
use crate::error::CliError;

/// Maximum time until another entry owns the keys of a crashed entry.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(5);

fn new_key() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis() as u64;
    SubmissionKey::new(WallTime::from_millis(millis), rand::random()).to_string()
}

fn job(key: &str, tasks: Vec<Value>) -> Value {
    json!({
        "key": key,
        "team": "kalahari",
        "customer": "kapana-stand-7",
        "service": "quotes",
        "deadline_ms": 5_000,
        "tasks": tasks,
    })
}

fn tasks(count: u64) -> Vec<Value> {
    (0..count)
        .map(|index| json!({ "ms": 50 + 5 * (index % 10), "value": index }))
        .collect()
}

fn ensure(step: &str, holds: bool, answer: &Answer) -> Result<(), CliError> {
    if holds {
        return Ok(());
    }
    let problem = format!("{} {}", answer.status, answer.body);
    let step = step.to_owned();
    Err(CliError::DemoStep { step, problem })
}

/// Runs all steps and stops with an error at the first one whose guarantee does not hold.
pub(crate) async fn run_all(
    mut harness: Harness,
    reporter: &mut Reporter,
) -> Result<Harness, CliError> {
    configure(&harness, reporter).await?;
    let (key, body) = run_job(&harness, reporter).await?;
    resubmit(&harness, reporter, &key, &body).await?;
    reuse_key(&harness, reporter, &key).await?;
    pay(&harness, reporter).await?;
    refuse(&harness, reporter).await?;
    drain(&harness, reporter).await?;
    change_configuration(&harness, reporter).await?;
    crash(&mut harness, reporter).await?;
    audit(&harness, reporter)?;
    Ok(harness)
}

async fn configure(harness: &Harness, reporter: &mut Reporter) -> Result<(), CliError> {
    let quotes = json!({ "path": "/quote", "repeatable": true });
    let payments = json!({ "path": "/pay", "repeatable": false });
    harness.create("service", "quotes", quotes).await?;
    harness.create("service", "payments", payments).await?;
    let team = json!({ "quota": 64, "weight": 2 });
    harness.create("team", "kalahari", team).await?;
    let status = harness
        .client
        .get(harness.operators()[0], "/v1/live/status")
        .await?;
    reporter.step(
        "configure",
        "two services and a team are in force on every node",
        status.body,
    );
    Ok(())
}

async fn run_job(harness: &Harness, reporter: &mut Reporter) -> Result<(String, Value), CliError> {
    let key = new_key();
    let body = job(&key, tasks(20));
    let entry = harness.callers()[0];
    let answer = harness.client.post(entry, "/v1/jobs", &body).await?;
    ensure("job", answer.state() == "complete", &answer)?;
    let answers = answer.body["answers"].as_array().map_or(0, Vec::len);
    ensure("job", answers == 20, &answer)?;
    let decisions = decisions(harness, &key).await?;
    let facts = json!({
        "key": key,
        "answers": answers,
        "decisions": decisions.len(),
        "first placement": placement(&decisions),
    });
    reporter.step("job", "a job of 20 tasks has its complete answer", facts);
    Ok((key, answer.body["answers"].clone()))
}

async fn decisions(harness: &Harness, key: &str) -> Result<Vec<Value>, CliError> {
    let mut all = Vec::new();
    for operators in harness.operators() {
        let path = format!("/v1/explain/{key}");
        let answer = harness.client.get(operators, &path).await?;
        all.extend(answer.body.as_array().cloned().unwrap_or_default());
    }
    Ok(all)
}

fn placement(decisions: &[Value]) -> String {
    let placed = decisions.iter().find(|d| d["rule"] == "best_credit");
    placed.map(sentence).unwrap_or_default()
}

async fn resubmit(
    harness: &Harness,
    reporter: &mut Reporter,
    key: &str,
    answers: &Value,
) -> Result<(), CliError> {
    let starts = harness.starts().total();
    let other = harness.callers()[1];
    let body = job(key, tasks(20));
    let answer = harness.client.post(other, "/v1/jobs", &body).await?;
    let is_same = answer.body["answers"] == *answers;
    ensure(
        "resubmit",
        is_same && harness.starts().total() == starts,
        &answer,
    )?;
    reporter.step(
        "resubmit",
        "the same job sent to the other entry has the same answer, and nothing ran again",
        json!({ "starts before": starts, "starts after": harness.starts().total() }),
    );
    Ok(())
}

async fn reuse_key(harness: &Harness, reporter: &mut Reporter, key: &str) -> Result<(), CliError> {
    let body = job(key, tasks(3));
    let entry = harness.callers()[0];
    let answer = harness.client.post(entry, "/v1/jobs", &body).await?;
    ensure("reuse", answer.text("reason") == "key_reused", &answer)?;
    reporter.step(
        "reuse a key",
        "the same key with other content is refused and nothing runs",
        answer.body,
    );
    Ok(())
}

async fn pay(harness: &Harness, reporter: &mut Reporter) -> Result<(), CliError> {
    let key = new_key();
    let body = json!({
        "key": key,
        "team": "kalahari",
        "customer": "family-restaurant-3",
        "deadline_ms": 2_000,
        "body": { "ms": 80, "value": "paid N$ 120" },
    });
    let path = "/v1/services/payments/requests";
    let mut answers = Vec::new();
    for entry in harness.callers() {
        answers.push(harness.client.post(entry, path, &body).await?);
    }
    let first = &answers[0];
    let is_same = answers.iter().all(|a| a.body == first.body);
    let starts = harness.starts().starts.get(&format!("{key}/0")).copied();
    ensure(
        "pay",
        first.state() == "complete" && is_same && starts == Some(1),
        first,
    )?;
    reporter.step(
        "pay once",
        "a payment sent through both entries ran once and was answered alike",
        json!({ "starts": starts, "answer": first.body["answers"][0]["body"] }),
    );
    Ok(())
}

async fn refuse(harness: &Harness, reporter: &mut Reporter) -> Result<(), CliError> {
    let key = new_key();
    let mut body = job(&key, tasks(1_000));
    body["deadline_ms"] = json!(300);
    let entry = harness.callers()[0];
    let answer = harness.client.post(entry, "/v1/jobs", &body).await?;
    let is_refused = answer.text("reason") == "deadline_too_close";
    ensure(
        "refuse",
        is_refused && answer.text("ran") == "not_run",
        &answer,
    )?;
    reporter.step(
        "refuse early",
        "1,000 tasks within 300 ms cannot be done, now or later: refused at once",
        answer.body,
    );
    Ok(())
}

async fn drain(harness: &Harness, reporter: &mut Reporter) -> Result<(), CliError> {
    let target = "side-4";
    for operators in harness.operators() {
        let path = format!("/v1/targets/{target}/drain");
        harness.client.post(operators, &path, &json!({})).await?;
    }
    let before = harness.workers[3].record().total();
    let body = job(&new_key(), tasks(20));
    let entry = harness.callers()[0];
    let answer = harness.client.post(entry, "/v1/jobs", &body).await?;
    let after = harness.workers[3].record().total();
    ensure(
        "drain",
        answer.state() == "complete" && before == after,
        &answer,
    )?;
    reporter.step(
        "drain a target",
        "a leaving target gets nothing new; the job ran on the others",
        json!({ "target": target, "starts before": before, "starts after": after }),
    );
    Ok(())
}

async fn change_configuration(harness: &Harness, reporter: &mut Reporter) -> Result<(), CliError> {
    let operators = harness.operators()[0];
    let path = "/v1/resources/team/kalahari";
    let current = harness.client.get(operators, path).await?;
    let version = current.body["version"].as_u64().unwrap_or(0);
    let changed = json!({ "quota": 128, "weight": 2 });
    let started = Instant::now();
    let first = harness.put("team", "kalahari", version, changed).await?;
    ensure("configuration", first.status.is_success(), &first)?;
    let accepted = first.body["version"].as_u64().unwrap_or(0);
    harness.wait_in_force(accepted).await?;
    let in_force_ms = started.elapsed().as_millis() as u64;
    // A second operator writes over the old version and gets a conflict that names the difference.
    let outdated = json!({ "quota": 32, "weight": 2 });
    let second = harness.put("team", "kalahari", version, outdated).await?;
    ensure("configuration", second.text("error") == "conflict", &second)?;
    reporter.step(
        "change the configuration",
        "in force on every node; a second operator with the old version gets a conflict",
        json!({
            "version": accepted,
            "in force everywhere after ms": in_force_ms,
            "conflict names": second.body["changed"],
        }),
    );
    Ok(())
}

async fn crash(harness: &mut Harness, reporter: &mut Reporter) -> Result<(), CliError> {
    harness.crash_entry(1).await;
    let started = Instant::now();
    let mut refusals = 0;
    loop {
        let body = job(&new_key(), tasks(4));
        let entry = harness.callers()[0];
        let answer = harness.client.post(entry, "/v1/jobs", &body).await?;
        let alone = harness
            .client
            .get(harness.operators()[0], "/v1/live/entries")
            .await?;
        let members = alone.body["entries"].as_array().map_or(0, Vec::len);
        if answer.state() == "complete" && members == 1 {
            break;
        }
        refusals += u32::from(answer.state() == "refused");
        ensure("crash", started.elapsed() < TAKEOVER_LIMIT, &answer)?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    reporter.step(
        "lose an entry",
        "the other entry took its keys over",
        json!({
            "taken over after ms": started.elapsed().as_millis() as u64,
            "refused meanwhile": refusals,
        }),
    );
    Ok(())
}

fn audit(harness: &Harness, reporter: &mut Reporter) -> Result<(), CliError> {
    let record = harness.starts();
    let twice = record.started_twice();
    reporter.step(
        "audit",
        "the workers' own record of true starts",
        json!({ "starts": record.total(), "started twice": twice }),
    );
    if twice.is_empty() {
        return Ok(());
    }
    let problem = format!("started twice: {twice:?}");
    let step = "audit".to_owned();
    Err(CliError::DemoStep { step, problem })
}
