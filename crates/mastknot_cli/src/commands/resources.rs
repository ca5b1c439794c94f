use std::path::Path;

use serde_json::{Value, json};
use snafu::ResultExt;

use super::{Session, accepted};
use crate::error::{CliError, ParseFileSnafu, ReadFileSnafu};
use crate::exit::Exit;
use crate::options::Format;

/// Kinds of resources that entries keep in memory and do not store.
const LIVE_KINDS: [&str; 5] = ["jobs", "targets", "entries", "decisions", "status"];

/// Runs `mastknot get`: prints stored or live resources.
pub(crate) async fn get(
    session: &Session,
    kind: &str,
    name: Option<&str>,
) -> Result<Exit, CliError> {
    if LIVE_KINDS.contains(&kind) {
        return get_live(session, kind).await;
    }
    let path = match name {
        Some(name) => format!("/v1/resources/{kind}/{name}"),
        None => format!("/v1/resources/{kind}"),
    };
    let answer = session.client.get(session.first(), &path).await?;
    accepted(&answer)?;
    let is_list = name.is_none() && session.target.format == Format::Table;
    let shown = if is_list {
        &answer.body["items"]
    } else {
        &answer.body
    };
    session.print(shown);
    Ok(Exit::Done)
}

async fn get_live(session: &Session, kind: &str) -> Result<Exit, CliError> {
    for entry in &session.target.entries {
        let path = format!("/v1/live/{kind}");
        let answer = session.client.get(*entry, &path).await?;
        accepted(&answer)?;
        if session.target.entries.len() > 1 {
            println!("# {entry}");
        }
        let is_table = session.target.format == Format::Table;
        match answer.body.get(kind).filter(|_| is_table) {
            Some(rows) => session.print(rows),
            None => session.print(&answer.body),
        }
    }
    Ok(Exit::Done)
}

/// Runs `mastknot apply`: writes the resources of a JSON file.
pub(crate) async fn apply(session: &Session, file: &Path) -> Result<Exit, CliError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).context(ReadFileSnafu { file: &name })?;
    let parsed: Value = serde_json::from_str(&text).context(ParseFileSnafu { file: &name })?;
    let resources = match parsed {
        Value::Array(list) => list,
        single => vec![single],
    };
    for resource in resources {
        let written = apply_one(session, resource).await?;
        session.print(&written);
    }
    Ok(Exit::Done)
}

/// Writes a resource over the version that the file names or, if it names none, over the current
/// version.
async fn apply_one(session: &Session, mut resource: Value) -> Result<Value, CliError> {
    let kind = resource["kind"].as_str().unwrap_or_default();
    let name = resource["name"].as_str().unwrap_or_default();
    let path = format!("/v1/resources/{kind}/{name}");
    if resource.get("version").is_none() {
        let current = session.client.get(session.first(), &path).await?;
        let version = current.body["version"].as_u64().unwrap_or(0);
        resource["version"] = json!(version);
    }
    let answer = session
        .client
        .put(session.first(), &path, &resource)
        .await?;
    accepted(&answer)?;
    Ok(answer.body)
}

/// Runs `mastknot delete`: deletes the current version of a stored resource.
pub(crate) async fn delete(session: &Session, kind: &str, name: &str) -> Result<Exit, CliError> {
    let path = format!("/v1/resources/{kind}/{name}");
    let current = session.client.get(session.first(), &path).await?;
    accepted(&current)?;
    let version = &current.body["version"];
    let path = format!("{path}?version={version}");
    let answer = session.client.delete(session.first(), &path).await?;
    accepted(&answer)?;
    session.print(&json!({ "kind": kind, "name": name, "version": answer.body["version"] }));
    Ok(Exit::Done)
}
