use std::time::Duration;

use tokio::time::Instant;

use super::{Session, accepted};
use crate::error::CliError;
use crate::exit::Exit;

/// Time between two reads of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs `mastknot wait --in-force`: waits until a configuration version is in force on every node.
pub(crate) async fn wait(
    session: &Session,
    version: Option<u64>,
    timeout: Duration,
) -> Result<Exit, CliError> {
    let deadline = Instant::now() + timeout;
    loop {
        let answer = session
            .client
            .get(session.first(), "/v1/live/status")
            .await?;
        accepted(&answer)?;
        let status = &answer.body;
        let is_known = version.is_none_or(|wanted| status["version"].as_u64() >= Some(wanted));
        let is_everywhere = status["nodes_in_force"] == status["nodes"];
        if is_known && is_everywhere {
            session.print(status);
            return Ok(Exit::Done);
        }
        if Instant::now() >= deadline {
            session.print(status);
            return Ok(Exit::NotYet);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
