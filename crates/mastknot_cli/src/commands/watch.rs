use http::StatusCode;

use super::Session;
use crate::error::CliError;
use crate::exit::Exit;

/// Runs `mastknot watch`: prints changes as they occur, one JSON object a line.
pub(crate) async fn watch(
    session: &Session,
    kind: &str,
    from: Option<u64>,
    count: Option<u64>,
) -> Result<Exit, CliError> {
    let area = if kind == "decisions" {
        "live"
    } else {
        "resources"
    };
    let from = from.map(|from| format!("&from={from}")).unwrap_or_default();
    let path = format!("/v1/{area}/{kind}?watch=true{from}");
    let mut watch = session.client.watch(session.first(), &path).await?;
    let status = watch.status();
    let mut lines_left = count.unwrap_or(u64::MAX);
    while lines_left > 0 {
        let Some(line) = watch.next().await? else {
            break;
        };
        println!("{line}");
        lines_left -= 1;
    }
    Ok(match status {
        StatusCode::OK => Exit::Done,
        StatusCode::GONE => Exit::TooOld,
        _ => Exit::NotAllowed,
    })
}
