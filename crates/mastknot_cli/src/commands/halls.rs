//! Commands that drain halls, return them to service and list them.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use http::StatusCode;
use mastknot_core::config::DRAINED_HALL_KIND;
use serde_json::{Value, json};

use super::{Session, accepted};
use crate::error::CliError;
use crate::exit::Exit;

/// One row of `mastknot get halls`.
#[derive(Clone, Copy, Debug, Default)]
struct HallRow {
    targets: u64,
    running: u64,
    /// Time at which the hall was drained, in milliseconds since 1970; `None` if it is not drained.
    drained_since_ms: Option<u64>,
}

/// Runs `mastknot drain-hall`: the targets of the hall get no new work and finish what they run.
pub(crate) async fn drain(session: &Session, hall: &str, reason: &str) -> Result<Exit, CliError> {
    let path = path_of(hall);
    let current = session.client.get(session.first(), &path).await?;
    if current.status.is_success() {
        // The hall is drained already: its time and reason stay as they are.
        session.print(&current.body);
        return Ok(Exit::Done);
    }
    let resource = json!({
        "kind": DRAINED_HALL_KIND,
        "name": hall,
        "version": current.body["version"].as_u64().unwrap_or(0),
        "value": { "since_ms": now_ms(), "reason": reason },
    });
    let answer = session
        .client
        .put(session.first(), &path, &resource)
        .await?;
    accepted(&answer)?;
    session.print(&answer.body);
    Ok(Exit::Done)
}

/// Runs `mastknot return-hall`: the targets of the hall get work again.
pub(crate) async fn return_to_service(session: &Session, hall: &str) -> Result<Exit, CliError> {
    let path = path_of(hall);
    let current = session.client.get(session.first(), &path).await?;
    if current.status == StatusCode::NOT_FOUND {
        session.print(&json!({ "hall": hall, "state": "not drained" }));
        return Ok(Exit::Done);
    }
    accepted(&current)?;
    let path = format!("{path}?version={}", current.body["version"]);
    let answer = session.client.delete(session.first(), &path).await?;
    accepted(&answer)?;
    session.print(&json!({ "hall": hall, "state": "returned", "version": answer.body["version"] }));
    Ok(Exit::Done)
}

/// Runs `mastknot get halls`: prints the targets of each hall, the tasks that run there for the
/// queried entries, and how long the hall has been drained.
pub(crate) async fn list(session: &Session) -> Result<Exit, CliError> {
    let mut halls: BTreeMap<String, HallRow> = BTreeMap::new();
    for (entry_index, entry) in session.target.entries.iter().enumerate() {
        let answer = session.client.get(*entry, "/v1/live/targets").await?;
        accepted(&answer)?;
        for target in answer.body.as_array().into_iter().flatten() {
            let row = halls.entry(text(&target["hall"])).or_default();
            row.targets += u64::from(entry_index == 0);
            row.running += target["running"].as_u64().unwrap_or_default();
        }
    }
    let path = format!("/v1/resources/{DRAINED_HALL_KIND}");
    let drained = session.client.get(session.first(), &path).await?;
    accepted(&drained)?;
    let items = drained.body["items"].as_array().into_iter().flatten();
    for item in items.filter(|item| !item["value"].is_null()) {
        let row = halls.entry(text(&item["name"])).or_default();
        row.drained_since_ms = Some(item["value"]["since_ms"].as_u64().unwrap_or_default());
    }
    let rows: Vec<Value> = halls
        .iter()
        .map(|(hall, row)| row.resource_json(hall))
        .collect();
    session.print(&Value::from(rows));
    Ok(Exit::Done)
}

impl HallRow {
    fn resource_json(&self, hall: &str) -> Value {
        let for_s = self
            .drained_since_ms
            .map(|since| now_ms().saturating_sub(since) / 1_000);
        json!({
            "hall": hall,
            "targets": self.targets,
            "running": self.running,
            "is_drained": self.drained_since_ms.is_some(),
            "drained_since_ms": self.drained_since_ms,
            "drained_for_s": for_s,
        })
    }
}

fn path_of(hall: &str) -> String {
    format!("/v1/resources/{DRAINED_HALL_KIND}/{hall}")
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
