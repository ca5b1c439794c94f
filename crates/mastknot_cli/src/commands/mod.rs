//! Commands that call entries, and the local commands `check` and `explain --logs`.

mod check;
mod explain;
mod explain_logs;
mod halls;
mod resources;
mod wait;
mod watch;

pub(crate) use check::check;
pub(crate) use explain::sentence;
pub(crate) use explain_logs::{explain_logs, summarize_logs};

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use mastknot_client::{Answer, Client};
use serde_json::json;

use crate::error::CliError;
use crate::exit::Exit;
use crate::options::{Action, Format, Target};
use crate::output::{print_json, print_table};

/// Timeout of a call to an entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// HTTP client and options shared by all commands that call entries.
pub(crate) struct Session {
    pub(crate) client: Client,
    pub(crate) target: Target,
}

impl Session {
    /// Returns the entry through which stored resources are read and written.
    pub(crate) fn first(&self) -> SocketAddr {
        self.target.entries[0]
    }

    pub(crate) fn print(&self, value: &serde_json::Value) {
        match self.target.format {
            Format::Json => print_json(value),
            Format::Table => print_table(value),
        }
    }
}

/// Runs a command that calls entries.
pub(crate) async fn run(target: Target, action: Action) -> Result<Exit, CliError> {
    let session = Session {
        client: Client::new(CALL_TIMEOUT),
        target,
    };
    match action {
        Action::Get { kind, .. } if kind == "halls" => halls::list(&session).await,
        Action::Get { kind, name } => resources::get(&session, &kind, name.as_deref()).await,
        Action::Apply { file } => resources::apply(&session, &file).await,
        Action::Delete { kind, name } => resources::delete(&session, &kind, &name).await,
        Action::Watch { kind, from, count } => watch::watch(&session, &kind, from, count).await,
        Action::Wait { version, timeout } => wait::wait(&session, version, timeout).await,
        Action::Explain { key } => explain::explain(&session, &key).await,
        Action::Drain { target } => drain(&session, &target).await,
        Action::DrainHall { hall, reason } => halls::drain(&session, &hall, &reason).await,
        Action::ReturnHall { hall } => halls::return_to_service(&session, &hall).await,
    }
}

async fn drain(session: &Session, target: &str) -> Result<Exit, CliError> {
    let path = format!("/v1/targets/{target}/drain");
    for entry in &session.target.entries {
        let answer = session.client.post(*entry, &path, &json!({})).await?;
        accepted(&answer)?;
    }
    session.print(&json!({ "target": target, "state": "draining" }));
    Ok(Exit::Done)
}

/// Returns an error with the matching exit code if an entry refused the call.
pub(crate) fn accepted(answer: &Answer) -> Result<(), CliError> {
    if answer.status.is_success() {
        return Ok(());
    }
    let exit = match answer.status {
        StatusCode::CONFLICT => Exit::Conflict,
        StatusCode::NOT_FOUND => Exit::NotFound,
        StatusCode::GATEWAY_TIMEOUT => Exit::Undecided,
        StatusCode::GONE => Exit::TooOld,
        status if status.is_client_error() => Exit::NotAllowed,
        _ => Exit::Unreachable,
    };
    let mut problem = format!("{}: {}", answer.text("error"), answer.text("problem"));
    if exit == Exit::Conflict {
        let version = &answer.body["current_version"];
        let changed = &answer.body["changed"];
        problem = format!("{problem} (now at version {version}, differs in {changed})");
    }
    Err(CliError::Refused { exit, problem })
}
