use serde_json::Value;

use super::{Session, accepted};
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::Format;

/// Runs `mastknot explain`: prints every decision that the entries keep about a submission key.
pub(crate) async fn explain(session: &Session, key: &str) -> Result<Exit, CliError> {
    let mut found = Vec::new();
    for entry in &session.target.entries {
        let path = format!("/v1/explain/{key}");
        let answer = session.client.get(*entry, &path).await?;
        accepted(&answer)?;
        let decisions = answer.body.as_array().cloned().unwrap_or_default();
        found.extend(decisions.into_iter().map(|decision| (*entry, decision)));
    }
    if found.is_empty() {
        eprintln!("mastknot: no decision about {key} is kept; ask every entry with --entry");
        return Ok(Exit::NotFound);
    }
    for (entry, decision) in found {
        match session.target.format {
            Format::Json => println!("{decision}"),
            Format::Table => println!("{entry} {}", sentence(&decision)),
        }
    }
    Ok(Exit::Done)
}

/// Returns one decision as a sentence.
pub(crate) fn sentence(decision: &Value) -> String {
    let text = |field: &str| decision[field].as_str().unwrap_or("?").to_owned();
    let subject = match decision["task"].as_u64() {
        Some(task) => format!("task {task}"),
        None => "submission".to_owned(),
    };
    let waited = decision["waited_micros"].as_u64().unwrap_or(0) as f64 / 1_000.0;
    let config = &decision["config_version"];
    let description = match decision["rule"].as_str().unwrap_or_default() {
        "accepted" => format!(
            "accepted: {} tasks ahead, expected wait {} ms",
            decision["ahead"], decision["expected_wait_ms"]
        ),
        "refused" => format!(
            "refused: {} (expected wait {} ms)",
            text("reason"),
            decision["expected_wait_ms"]
        ),
        "best_credit" => format!(
            "placed on {}: best of {}; waited {waited:.1} ms",
            text("chosen"),
            candidates(decision)
        ),
        "not_run_again" => format!(
            "goes back to the queue: {} did not run it ({})",
            text("chosen"),
            text("reason")
        ),
        "unknown_again" => format!(
            "started again: its outcome on {} is unknown and the service is repeatable",
            text("chosen")
        ),
        "hedge" => format!(
            "hedged on {}: best of {}; the first attempt is slow",
            text("chosen"),
            candidates(decision)
        ),
        "failed" => format!(
            "failed as a whole: {}; after {waited:.1} ms",
            text("reason")
        ),
        "completed" => format!("completed after {waited:.1} ms"),
        other => format!("{other}: {decision}"),
    };
    format!(
        "#{} {subject} {description} [configuration {config}]",
        decision["id"]
    )
}

fn candidates(decision: &Value) -> String {
    let list = decision["candidates"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let describe = |candidate: &Value| {
        let side = candidate["side"].as_str().unwrap_or("?");
        let (score, idle) = (&candidate["score"], &candidate["idle"]);
        format!("{side} (score {score}, {idle} idle credits)")
    };
    let texts: Vec<String> = list.iter().map(describe).collect();
    texts.join(", ")
}
